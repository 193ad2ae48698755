"""The description of a data command: its handler, arity, whether it writes, where its keys are."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from hazelhollow.standins.redis.keyspace import Keyspace
from hazelhollow.standins.redis.values import Reply

Handler = Callable[[Keyspace, int, list[bytes]], Reply]  # keyspace, database, arguments


class KeyPositions(NamedTuple):
    """Where a command's keys are among its arguments, as COMMAND INFO says it.

    `last` is from the end if negative.
    """

    first: int
    last: int
    step: int


NO_KEY = KeyPositions(0, 0, 0)
ONE_KEY = KeyPositions(1, 1, 1)
ALL_KEYS = KeyPositions(1, -1, 1)


def arity_fits(arguments: list[bytes], arity: int) -> bool:
    """Whether there are as many arguments as an arity says.

    It counts the name, and below 0 means at least so many.
    """
    return len(arguments) == arity if arity > 0 else len(arguments) >= -arity


@dataclass(frozen=True)
class Command:
    """One command on data."""

    run: Handler
    arity: int
    writes: bool = False
    needs_memory: bool = False  # refused when memory is short
    keys: KeyPositions = NO_KEY
    in_script: bool = True

    def keys_of(self, arguments: list[bytes]) -> list[bytes]:
        """The keys among the arguments of a call."""
        first, last, step = self.keys
        return (
            arguments[first : (len(arguments) + last if last < 0 else last) + 1 : step]
            if first
            else []
        )

    def fits(self, arguments: list[bytes]) -> bool:
        """Whether a call has as many arguments as it must."""
        return arity_fits(arguments, self.arity)


def reader(run: Handler, arity: int, keys: KeyPositions = ONE_KEY) -> Command:
    """A command that only reads."""
    return Command(run, arity, keys=keys)


def writer(run: Handler, arity: int, keys: KeyPositions = ONE_KEY) -> Command:
    """A command that writes and needs memory for it."""
    return Command(run, arity, writes=True, needs_memory=True, keys=keys)


def remover(run: Handler, arity: int, keys: KeyPositions = ONE_KEY) -> Command:
    """A command that writes and needs no memory for it."""
    return Command(run, arity, writes=True, keys=keys)
