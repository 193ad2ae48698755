"""The description of a data command: handler, arity, effects and the positions of its keys."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from hazelhollow.standins.redis.keyspace import Keyspace
from hazelhollow.standins.redis.values import Reply

Handler = Callable[[Keyspace, int, list[bytes]], Reply]  # keyspace, database, arguments


class KeyPositions(NamedTuple):
    """The positions of a command's keys among its arguments, as COMMAND INFO reports them.

    A negative `last` counts from the end.
    """

    first: int
    last: int
    step: int


NO_KEY = KeyPositions(0, 0, 0)
ONE_KEY = KeyPositions(1, 1, 1)
ALL_KEYS = KeyPositions(1, -1, 1)


def arity_fits(arguments: list[bytes], arity: int) -> bool:
    """Whether the number of arguments matches an arity.

    The arity includes the command's name; a negative one gives the minimum number of arguments.
    """
    return len(arguments) == arity if arity > 0 else len(arguments) >= -arity


@dataclass(frozen=True)
class Command:
    """One data command."""

    run: Handler
    arity: int
    writes: bool = False
    needs_memory: bool = False  # refused when the server is out of memory
    keys: KeyPositions = NO_KEY
    in_script: bool = True  # allowed in scripts

    def keys_of(self, arguments: list[bytes]) -> list[bytes]:
        """Returns the keys among the arguments of a call."""
        first, last, step = self.keys
        return (
            arguments[first : (len(arguments) + last if last < 0 else last) + 1 : step]
            if first
            else []
        )

    def fits(self, arguments: list[bytes]) -> bool:
        """Whether a call has a valid number of arguments."""
        return arity_fits(arguments, self.arity)


def reader(run: Handler, arity: int, keys: KeyPositions = ONE_KEY) -> Command:
    """Returns a command that only reads."""
    return Command(run, arity, keys=keys)


def writer(run: Handler, arity: int, keys: KeyPositions = ONE_KEY) -> Command:
    """Returns a command that writes and may need more memory."""
    return Command(run, arity, writes=True, needs_memory=True, keys=keys)


def remover(run: Handler, arity: int, keys: KeyPositions = ONE_KEY) -> Command:
    """Returns a command that writes but needs no more memory."""
    return Command(run, arity, writes=True, keys=keys)
