"""The limit on what membership may send, and the priority of each kind of datagram."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class Purpose(Enum):
    """The purpose of a datagram, from the highest priority to the lowest.

    The value is the share of the burst that must remain for the purposes before it (trunk
    reservation), so that a table sent in several datagrams never blocks an answer.
    """

    ANSWER = 0.0  # without an answer, this member would look dead
    PROBE = 0.25  # own pings; even when they exhaust their share, answers can be sent
    PROBE_REQUEST = 0.3  # asks others to ping on behalf of this member
    SUSPECT = 0.35  # a ping to a suspect, so that it can refute
    CONFIRMATION = 0.4  # a ping to a member whose death others report
    ABSENT = 0.43  # a ping to a dead member, to detect that a partition has healed
    RECORDS = 0.45  # records that the recipient's table lacks
    TABLE_DIGEST = 0.6  # requests such records; sent less often when little is left for answers
    PIGGYBACK = 0.65  # records piggybacked on other datagrams


class Allowance(Protocol):
    """Membership's part of the control budget, in bytes of text without headers."""

    @property
    def burst(self) -> float:
        """The capacity of the token bucket in bytes."""

    def available_bytes(self, now: float) -> float:
        """The bytes of text that one datagram may contain now."""

    def take(self, length: int, now: float, keep_share: float = 0.0) -> bool:
        """Whether a text of that length may be sent now; consumes its bytes if so.

        `keep_share`: fraction of the burst that must remain, 0 to 1.
        """

    def drop(self) -> None:
        """Counts a message that was dropped instead of being sent later."""
