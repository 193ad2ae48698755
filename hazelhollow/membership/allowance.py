"""What the view may send, and what of it is the most useful. No I/O, no clock."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class Use(Enum):
    """What a datagram is for, the most useful first.

    The value is the share of the burst that it leaves to those before it (trunk reservation), so
    that a table in pieces never keeps an answer from going out.
    """

    ANSWER = 0.0  # one that is not given makes a member that is up look dead
    PROBE = 0.25  # its own; where those take all that there is, answers still find room
    ASK = 0.3  # others, to probe for this one
    SUSPECT = 0.35  # a ping to one that is suspected, so that it can refute
    DOUBT = 0.4  # a ping to one whose death others tell
    ABSENT = 0.43  # a ping to one that is held dead, which finds out that a cut has healed
    PIECE = 0.45  # records that another's table lacks
    TABLE = 0.6  # what asks for those: rarer, the less is left to answer it with
    NEWS = 0.65  # records that ride along


class Allowance(Protocol):
    """The view's part of a budget. Bytes are of texts; headers are the allowance's matter."""

    @property
    def burst(self) -> float:
        """Bytes."""

    def available_bytes(self, now: float) -> float:
        """Bytes of text that may leave now in one datagram."""

    def take(self, length: int, now: float, keep: float = 0.0) -> bool:
        """Whether a text of that length may leave now.

        `keep`: share of the burst that must be left.
        """

    def drop(self) -> None:
        """A message was given up."""
