"""What a member knows of itself and the fleet when it starts."""

from __future__ import annotations

from dataclasses import dataclass

from hazelhollow.membership.codec import MAX_TEXT_BYTES


@dataclass(frozen=True)
class MembershipSettings:
    """Settings of one member.

    `limiter_id`: its id, below `member_count`, the size of the fleet. `seed`: of all random draws.
    `max_text_bytes`: that the text of a datagram may have. `versions`: of the settings that it
    acts on, sent along with its record. `address`: packed (`records.pack_address`), where the
    configuration does not list it.
    """

    limiter_id: int
    member_count: int
    seed: int
    max_text_bytes: int = MAX_TEXT_BYTES
    versions: str = ""
    address: str = ""
