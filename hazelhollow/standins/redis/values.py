"""What the stand-in keeps and answers, and the bytes of an answer (RESP2, as the public protocol page has it)."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Union

MOST_INT, LEAST_INT = 2**63 - 1, -(2**63)
_INT = re.compile(rb"-?(0|[1-9][0-9]*)")
_FLOAT = re.compile(rb"[+-]?(\d+\.?\d*([eE][+-]?\d+)?|\.\d+([eE][+-]?\d+)?|inf|infinity)", re.I)


class Status(bytes):
    """A simple string: `+OK`."""


class Fault(Exception):
    """An error line; its first word is the code, as clients expect."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.text = text


class NullArray:
    """What EXEC gives when a watched key has changed."""


OK, QUEUED, NULL_ARRAY = Status(b"OK"), Status(b"QUEUED"), NullArray()
WRONG_TYPE = "WRONGTYPE Operation against a key holding the wrong kind of value"
NOT_INT = "ERR value is not an integer or out of range"
NOT_FLOAT = "ERR value is not a valid float"
SYNTAX = "ERR syntax error"

Answer = Union[bytes, int, None, list["Answer"], NullArray, Fault]


class Sorted(dict[bytes, float]):
    """A sorted set: scores by member."""

    def ranked(self) -> list[tuple[bytes, float]]:
        return sorted(self.items(), key=lambda item: (item[1], item[0]))


Hash = dict[bytes, bytes]
Stored = Union[bytes, Hash, Sorted]


@dataclass
class Entry:
    """One key: its value, when it ends (seconds of the engine's clock) and how often it has changed."""

    value: Stored
    expires: float | None = None
    version: int = 0


@dataclass
class Database:
    entries: dict[bytes, Entry] = field(default_factory=dict)


def integer(text: bytes, trouble: str = NOT_INT) -> int:
    if not _INT.fullmatch(text) or text == b"-0" or not LEAST_INT <= int(text) <= MOST_INT:
        raise Fault(trouble)
    return int(text)


def number(text: bytes, trouble: str = NOT_FLOAT) -> float:
    if not _FLOAT.fullmatch(text):
        raise Fault(trouble)
    return float(text)


def write_number(value: float) -> bytes:
    """As Redis words a double: at most 17 digits and no needless ones."""
    if value == int(value) and abs(value) < 1e17:
        return b"%d" % int(value)
    return repr(value).encode()


def encode(answer: Answer) -> bytes:
    if isinstance(answer, Status):
        return b"+%b\r\n" % answer
    if isinstance(answer, bytes):
        return b"$%d\r\n%b\r\n" % (len(answer), answer)
    if isinstance(answer, Fault):
        return b"-%b\r\n" % answer.text.replace("\r", " ").replace("\n", " ").encode()
    if isinstance(answer, int):
        return b":%d\r\n" % answer
    if isinstance(answer, list):
        return b"*%d\r\n" % len(answer) + b"".join(map(encode, answer))
    return b"*-1\r\n" if isinstance(answer, NullArray) else b"$-1\r\n"
