"""RESP2 as clients write and read it. Shares no code with the limiter, whose answers it judges."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum, auto

_BULK = re.compile(rb"\$(0|[1-9][0-9]*)\r\n")
_LINE = re.compile(rb"([-+])([^\r\n]*)\r\n")


class Kind(Enum):
    """What an answer tells the client."""

    VALUE = auto()
    BUSY = auto()
    ERROR = auto()
    STATUS = auto()


@dataclass(frozen=True)
class Answer:
    """One complete answer; `text` is the value, or the line without its first byte."""

    kind: Kind
    text: bytes


class UnsoundAnswerError(Exception):
    """The limiter wrote something that is no answer of the protocol."""


@dataclass
class AnswerReader:
    """Reads answers from the bytes of a connection.

    Attributes:
        received: Bytes that belong to no complete answer yet.
    """

    received: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[Answer]:
        """Adds received bytes; returns the answers that they complete.

        Raises:
            UnsoundAnswerError: The bytes are no answer.
        """
        self.received += data
        answers = []
        while answer := self._next():
            answers.append(answer)
        return answers

    def _next(self) -> Answer | None:
        received = self.received
        if not received:
            return None
        bulk = _BULK.match(received)
        if bulk:
            start, end = bulk.end(), bulk.end() + int(bulk[1])
            if len(received) < end + 2:
                return None
            value, terminator = bytes(received[start:end]), received[end : end + 2]
            if terminator != b"\r\n":
                raise UnsoundAnswerError(f"value of {len(value)} bytes without its end")
            del received[: end + 2]
            return Answer(Kind.VALUE, value)
        line = _LINE.match(received)
        if line:
            kind, text = bytes(line[1]), bytes(line[2])
            del received[: line.end()]
            if kind == b"+":
                return Answer(Kind.STATUS, text)
            is_busy = re.fullmatch(rb"BUSY( [1-9][0-9]*)?", text)
            return Answer(Kind.BUSY if is_busy else Kind.ERROR, text)
        if received[:1] not in b"$+-" or b"\r\n" in received:
            raise UnsoundAnswerError(f"no answer: {bytes(received[:60])!r}")
        return None


def encode(*arguments: bytes) -> bytes:
    """Encodes a command."""
    parts = [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n%b" % (len(arguments), b"".join(parts))
