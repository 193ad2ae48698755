"""What a stand-in endpoint writes for one request, step by step, faults included."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Union


@dataclass(frozen=True)
class Write:
    """Writes bytes."""

    data: bytes


@dataclass(frozen=True)
class Pause:
    """Writes nothing for that many seconds."""

    seconds: float


class End(Enum):
    """Ends the connection, or leaves it open without a further byte."""

    CLOSE = auto()
    RESET = auto()
    HANG = auto()


Step = Union[Write, Pause, End]
AnswerScript = Sequence[Step]
# Returns the script for a request, given the arguments of its command.
ScriptWriter = Callable[[list[bytes]], AnswerScript]


def answer(value: bytes, figures: bytes | None = None, report: bytes | None = None) -> bytes:
    """Encodes an endpoint's complete answer."""
    return b"*3\r\n" + b"".join(
        b"$-1\r\n" if part is None else b"$%d\r\n%b\r\n" % (len(part), part)
        for part in (value, figures, report)
    )


def in_pieces(data: bytes, pieces: int, pause: float) -> list[Step]:
    """Returns a script that writes the bytes in that many pieces, with a pause between them."""
    size = -(-len(data) // pieces)
    steps: list[Step] = []
    for start in range(0, len(data), size):
        if start:
            steps.append(Pause(pause))
        steps.append(Write(data[start : start + size]))
    return steps
