"""Processor time and datagrams by role, summed over the limiters of a process."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from hazelhollow.configuration.distribution import codec as configuration_codec
from hazelhollow.membership import codec as membership_codec
from hazelhollow.replication import codec as replication_codec
from hazelhollow.scale.results import HEADER_BYTES, Role, RoleSums

STEPS_PER_DOUBLING = 16  # of the histogram of turns, for each doubling of their time
REFERENCE_LOOP_STEPS = 2000
ROLES_BY_LETTER = {
    membership_codec.DIALECT[0]: Role.VIEW,
    replication_codec.DIALECT[0]: Role.REPLICATION,
    configuration_codec.DATAGRAM_PREFIX[0]: Role.AUDIT,
}


def datagram_role(text: str) -> Role:
    """Whose a datagram is: the gossip's where no other knows its first letter."""
    return ROLES_BY_LETTER.get(text[:1], Role.GOSSIP)


class RoleTotals(msgspec.Struct):
    """What one role came to.

    `turns`: by step of their time, as `step_of` counts them. Times in nanoseconds of the processor.
    """

    calls: int = 0
    cpu_ns: int = 0
    longest_ns: int = 0
    turns: dict[int, int] = msgspec.field(default_factory=dict)
    datagrams_out: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    bytes_in: int = 0

    def add(self, other: RoleTotals) -> None:
        """Another process's sums of the same role."""
        self.longest_ns = max(self.longest_ns, other.longest_ns)
        for name in ("calls", "cpu_ns", "datagrams_out", "bytes_out", "datagrams_in", "bytes_in"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for step, count in other.turns.items():
            self.turns[step] = self.turns.get(step, 0) + count

    def p99_ns(self) -> float:
        """The upper end of the step in which the turn lies that 99 in 100 are not longer than.

        The longest bounds it.
        """
        left = 0.99 * sum(self.turns.values())
        for step in sorted(self.turns):
            left -= self.turns[step]
            if left <= 0:
                return min(math.exp2((step + 1) / STEPS_PER_DOUBLING), float(self.longest_ns))
        return 0.0


def histogram_step(nanoseconds: int) -> int:
    """The step of the histogram that a turn falls into."""
    return int(math.log2(max(nanoseconds, 1)) * STEPS_PER_DOUBLING)


def zero_totals() -> dict[Role, RoleTotals]:
    """Sums of nothing."""
    return {role: RoleTotals() for role in Role}


def to_records(sums: dict[Role, RoleTotals]) -> tuple[RoleSums, ...]:
    """The sums as the results hold them: seconds, and the histogram as its 99th in a hundred."""
    return tuple(
        RoleSums(
            role=role,
            calls=one.calls,
            cpu_s=one.cpu_ns / 1e9,
            longest_turn_s=one.longest_ns / 1e9,
            turn_p99_s=one.p99_ns() / 1e9,
            datagrams_out=one.datagrams_out,
            bytes_out=one.bytes_out,
            datagrams_in=one.datagrams_in,
            bytes_in=one.bytes_in,
        )
        for role, one in sums.items()
    )


class Meter:
    """Of one process.

    A turn is one call from outside into a limiter, and all that it leads to: a call within a turn
    is part of it. The processor time of this thread is read before and after.
    """

    def __init__(self, processor_ns: Callable[[], int] = time.thread_time_ns) -> None:
        self._processor_ns = processor_ns
        self._busy = False
        self.sums = zero_totals()

    def turn(self, role: Role, call: Callable[..., Any], *args: Any) -> Any:
        """Makes the call and counts it, also where it raises."""
        if self._busy:
            return call(*args)
        self._busy, before = True, self._processor_ns()
        try:
            return call(*args)
        finally:
            spent = self._processor_ns() - before
            self._busy = False
            self._count(self.sums[role], spent)

    @staticmethod
    def _count(one: RoleTotals, spent: int) -> None:
        one.calls += 1
        one.cpu_ns += spent
        one.longest_ns = max(one.longest_ns, spent)
        step = histogram_step(spent)
        one.turns[step] = one.turns.get(step, 0) + 1

    def more(self, role: Role, spent: int) -> None:
        """Processor time beside turns that is a role's all the same.

        The system's, in which its datagrams are read.
        """
        self.sums[role].cpu_ns += spent

    def sent(self, role: Role, size: int) -> None:
        one = self.sums[role]
        one.datagrams_out += 1
        one.bytes_out += size

    def came(self, role: Role, size: int) -> None:
        one = self.sums[role]
        one.datagrams_in += 1
        one.bytes_in += size

    def take(self) -> dict[Role, RoleTotals]:
        """What was counted so far; from here on it counts anew."""
        found, self.sums = self.sums, zero_totals()
        return found

    def longest_turn_s(self) -> float:
        """Of any role, since it was counted anew."""
        return max(one.longest_ns for one in self.sums.values()) / 1e9


class Traffic(msgspec.Struct):
    """Bytes sent by the limiters of a process, headers included, by second since the window began.

    The sum over all, and the most that one sent in it.
    """

    sums: dict[int, int] = msgspec.field(default_factory=dict)
    most: dict[int, int] = msgspec.field(default_factory=dict)

    def add(self, other: Traffic) -> None:
        for second, size in other.sums.items():
            self.sums[second] = self.sums.get(second, 0) + size
        for second, size in other.most.items():
            self.most[second] = max(self.most.get(second, 0), size)

    def worst(self, seconds: int, members: int, window_s: float) -> float:
        """Bytes a second of the mean member in the worst stretch of so many seconds.

        Or in the whole window if it is shorter.
        """
        length = max(1, min(seconds, math.floor(window_s)))
        starts = range(min(self.sums, default=0), max(self.sums, default=0) + 1)
        found = [sum(self.sums.get(start + n, 0) for n in range(length)) for start in starts]
        return max(found, default=0) / length / max(members, 1)


def sum_traffic(counters: Iterable[Counter[int]]) -> Traffic:
    """Of each limiter's bytes by second."""
    whole = Traffic()
    for counter in counters:
        whole.add(Traffic(dict(counter), dict(counter)))
    return whole


def size_on_wire(text_bytes: int) -> int:
    """Bytes of a datagram with its headers."""
    return text_bytes + HEADER_BYTES


def reference_loop_ns() -> int:
    """Processor time that a fixed loop of plain Python takes now."""
    before, whole = time.thread_time_ns(), 0
    for step in range(REFERENCE_LOOP_STEPS):
        whole += step & 7
    return time.thread_time_ns() - before
