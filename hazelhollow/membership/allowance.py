"""What membership may send, and which of its datagrams go first."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class Purpose(Enum):
    """What a datagram is for, the most useful first.

    The value is the share of the burst that it leaves to those before it (trunk reservation), so
    that a table sent in pieces never keeps an answer from going out.
    """

    ANSWER = 0.0  # a member whose answer is missing looks dead
    PROBE = 0.25  # own pings; when those take all that there is, answers still find room
    PROBE_REQUEST = 0.3  # asks others to ping for this member
    SUSPECT = 0.35  # a ping to a suspect, so that it can refute
    CONFIRMATION = 0.4  # a ping to a member whose death others report
    ABSENT = 0.43  # a ping to a dead member: finds out that a partition has healed
    RECORDS = 0.45  # records that another's table lacks
    TABLE_DIGEST = 0.6  # asks for those: rarer, the less is left to answer it with
    NEWS = 0.65  # records that ride along with other datagrams


class Allowance(Protocol):
    """Membership's part of the control budget. Bytes are of texts, without headers."""

    @property
    def burst(self) -> float:
        """Bytes that a full bucket holds."""

    def available_bytes(self, now: float) -> float:
        """Bytes of text that may leave now in one datagram."""

    def take(self, length: int, now: float, keep_share: float = 0.0) -> bool:
        """Whether a text of that length may leave now, and spends it if so.

        `keep_share`: share of the burst that must be left, 0 to 1.
        """

    def drop(self) -> None:
        """Counts a message that was given up."""
