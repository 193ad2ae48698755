"""Stored values, replies, and the encoding of replies.

Source of the encoding: the public specification of the Redis serialization protocol, version 2.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Union

MAX_INT, MIN_INT = 2**63 - 1, -(2**63)
MAX_PLAIN_FLOAT = 1e17  # from here on an integral double is written with an exponent
_INT = re.compile(rb"-?(0|[1-9][0-9]*)")
_FLOAT = re.compile(rb"[+-]?(\d+\.?\d*([eE][+-]?\d+)?|\.\d+([eE][+-]?\d+)?|inf|infinity)", re.I)


class Status(bytes):
    """A simple string, such as `+OK`."""


class CommandError(Exception):
    """An error reply; its first word is the error code, as clients expect."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.text = text


class NullArray:
    """The reply of EXEC if a watched key has changed."""


OK, QUEUED, NULL_ARRAY = Status(b"OK"), Status(b"QUEUED"), NullArray()
WRONG_TYPE = "WRONGTYPE Operation against a key holding the wrong kind of value"
NOT_INT = "ERR value is not an integer or out of range"
NOT_FLOAT = "ERR value is not a valid float"
SYNTAX = "ERR syntax error"
OVERFLOW = "ERR increment or decrement would overflow"
NOT_FINITE = "ERR increment would produce NaN or Infinity"
OUT_OF_MEMORY = "OOM command not allowed when used memory > 'maxmemory'."

Reply = Union[bytes, int, None, list["Reply"], NullArray, CommandError]


class SortedSet(dict[bytes, float]):
    """Scores by member."""

    def ranked(self) -> list[tuple[bytes, float]]:
        """Returns members and scores ordered by score, then by member."""
        return sorted(self.items(), key=lambda item: (item[1], item[0]))


Hash = dict[bytes, bytes]
Value = Union[bytes, Hash, SortedSet]


@dataclass
class Entry:
    """One key's value, its expiry time (seconds of the keyspace's clock) and its version."""

    value: Value
    expires_at: float | None = None
    version: int = 0


@dataclass
class Database:
    """One numbered database: its entries by key."""

    entries: dict[bytes, Entry] = field(default_factory=dict)


def parse_integer(text: bytes, error: str = NOT_INT) -> int:
    """Parses a 64-bit integer as Redis does.

    Raises:
        CommandError: the text is not such an integer; the reply is `error`.
    """
    if not _INT.fullmatch(text) or text == b"-0" or not MIN_INT <= int(text) <= MAX_INT:
        raise CommandError(error)
    return int(text)


def parse_float(text: bytes, error: str = NOT_FLOAT) -> float:
    """Parses a double as Redis does.

    Raises:
        CommandError: the text is not a double; the reply is `error`.
    """
    if not _FLOAT.fullmatch(text):
        raise CommandError(error)
    return float(text)


def add_integers(old: int, amount: int) -> int:
    """Returns the sum.

    Raises:
        CommandError: the sum does not fit 64 bits.
    """
    total = old + amount
    if not MIN_INT <= total <= MAX_INT:
        raise CommandError(OVERFLOW)
    return total


def add_floats(old: float, amount: float) -> float:
    """Returns the sum.

    Raises:
        CommandError: the sum is not finite.
    """
    total = old + amount
    if total - total != 0:
        raise CommandError(NOT_FINITE)
    return total


def format_float(value: float) -> bytes:
    """Formats a double as Redis does: at most 17 digits, without superfluous ones."""
    if value == int(value) and abs(value) < MAX_PLAIN_FLOAT:
        return b"%d" % int(value)
    return repr(value).encode()


def encode(reply: Reply) -> bytes:
    """Returns the encoded reply."""
    if isinstance(reply, Status):
        return b"+%b\r\n" % reply
    if isinstance(reply, bytes):
        return b"$%d\r\n%b\r\n" % (len(reply), reply)
    if isinstance(reply, CommandError):
        return b"-%b\r\n" % reply.text.replace("\r", " ").replace("\n", " ").encode()
    if isinstance(reply, int):
        return b":%d\r\n" % reply
    if isinstance(reply, list):
        return b"*%d\r\n" % len(reply) + b"".join(map(encode, reply))
    return b"*-1\r\n" if isinstance(reply, NullArray) else b"$-1\r\n"
