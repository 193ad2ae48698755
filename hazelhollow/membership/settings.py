"""The settings that a member has when it starts."""

from __future__ import annotations

from dataclasses import dataclass

from hazelhollow.membership.codec import MAX_TEXT_BYTES


@dataclass(frozen=True)
class MembershipSettings:
    """Settings of one member.

    `limiter_id` is its id, below `member_count`, the size of the fleet. `seed` seeds all its random
    draws. `max_text_bytes` limits the text of a datagram. `versions` are those of the settings that
    it acts on, sent with its record. `address` is packed (`records.pack_address`), where the
    configuration does not list it.
    """

    limiter_id: int
    member_count: int
    seed: int
    max_text_bytes: int = MAX_TEXT_BYTES
    versions: str = ""
    address: str = ""
