"""Processor time and datagrams by role, summed over the limiters of one process.

A worker has one `Meter`. `Meter.measure_call` makes and measures every call into a limiter;
`record_sent` and `record_received` count every datagram. The coordinator adds up the `RoleTotals`
and `Traffic` of all workers and converts them to the records of `scale.results`.
"""

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

STEPS_PER_DOUBLING = 16  # histogram steps for each doubling of a call's duration
REFERENCE_LOOP_STEPS = 2000  # iterations of the loop that measures the machine's speed
ROLES_BY_LETTER = {
    membership_codec.DIALECT[0]: Role.VIEW,
    replication_codec.DIALECT[0]: Role.REPLICATION,
    configuration_codec.DATAGRAM_PREFIX[0]: Role.AUDIT,
}


def datagram_role(text: str) -> Role:
    """Returns the role of a datagram by its first letter; gossip if no other role matches."""
    return ROLES_BY_LETTER.get(text[:1], Role.GOSSIP)


class RoleTotals(msgspec.Struct):
    """Totals of one role.

    Attributes:
        calls: Calls from outside into a limiter.
        cpu_ns: Processor nanoseconds of these calls and of reading datagrams.
        longest_ns: Processor nanoseconds of the longest call.
        turns: Histogram of the calls' durations: number of calls by `histogram_step`.
        datagrams_out: Datagrams sent.
        bytes_out: Bytes of their text, without headers.
        datagrams_in: Datagrams received.
        bytes_in: Bytes of their text, without headers.
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
        """Adds another process's totals of the same role."""
        self.longest_ns = max(self.longest_ns, other.longest_ns)
        for name in ("calls", "cpu_ns", "datagrams_out", "bytes_out", "datagrams_in", "bytes_in"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for step, count in other.turns.items():
            self.turns[step] = self.turns.get(step, 0) + count

    def p99_ns(self) -> float:
        """Returns the 99th percentile of the calls' durations in nanoseconds.

        It is the upper bound of a histogram step, but at most the longest call.
        """
        remaining = 0.99 * sum(self.turns.values())
        for step in sorted(self.turns):
            remaining -= self.turns[step]
            if remaining <= 0:
                return min(math.exp2((step + 1) / STEPS_PER_DOUBLING), float(self.longest_ns))
        return 0.0


def histogram_step(nanoseconds: int) -> int:
    """Returns the histogram step of a call of that duration."""
    return int(math.log2(max(nanoseconds, 1)) * STEPS_PER_DOUBLING)


def zero_totals() -> dict[Role, RoleTotals]:
    """Returns zero totals for every role."""
    return {role: RoleTotals() for role in Role}


def to_records(totals_by_role: dict[Role, RoleTotals]) -> tuple[RoleSums, ...]:
    """Converts totals to result records, with the histogram reduced to its 99th percentile."""
    return tuple(
        RoleSums(
            role=role,
            calls=totals.calls,
            cpu_s=totals.cpu_ns / 1e9,
            longest_turn_s=totals.longest_ns / 1e9,
            turn_p99_s=totals.p99_ns() / 1e9,
            datagrams_out=totals.datagrams_out,
            bytes_out=totals.bytes_out,
            datagrams_in=totals.datagrams_in,
            bytes_in=totals.bytes_in,
        )
        for role, totals in totals_by_role.items()
    )


class Meter:
    """Measures the limiters of one process.

    A measured call is one from outside into a limiter. A call within a measured call counts as part
    of the outer one. The meter reads the thread's processor time before and after each measured
    call.

    Args:
        processor_ns: Reads the processor time in nanoseconds.
    """

    def __init__(self, processor_ns: Callable[[], int] = time.thread_time_ns) -> None:
        self._processor_ns = processor_ns
        self._in_call = False
        self.totals = zero_totals()

    def measure_call(self, role: Role, call: Callable[..., Any], *args: Any) -> Any:
        """Makes the call, counts it even if it raises, and returns its result."""
        if self._in_call:
            return call(*args)
        self._in_call, before = True, self._processor_ns()
        try:
            return call(*args)
        finally:
            spent = self._processor_ns() - before
            self._in_call = False
            self._count(self.totals[role], spent)

    @staticmethod
    def _count(totals: RoleTotals, spent_ns: int) -> None:
        totals.calls += 1
        totals.cpu_ns += spent_ns
        totals.longest_ns = max(totals.longest_ns, spent_ns)
        step = histogram_step(spent_ns)
        totals.turns[step] = totals.turns.get(step, 0) + 1

    def add_cpu_time(self, role: Role, spent_ns: int) -> None:
        """Adds processor time outside of measured calls, such as that of reading datagrams."""
        self.totals[role].cpu_ns += spent_ns

    def record_sent(self, role: Role, size: int) -> None:
        """Counts a datagram that was sent; `size`: bytes of its text."""
        totals = self.totals[role]
        totals.datagrams_out += 1
        totals.bytes_out += size

    def record_received(self, role: Role, size: int) -> None:
        """Counts a datagram that was received; `size`: bytes of its text."""
        totals = self.totals[role]
        totals.datagrams_in += 1
        totals.bytes_in += size

    def drain_totals(self) -> dict[Role, RoleTotals]:
        """Returns the totals so far and resets them."""
        drained, self.totals = self.totals, zero_totals()
        return drained

    def longest_turn_s(self) -> float:
        """Returns the processor seconds of the longest call of any role since the last reset."""
        return max(totals.longest_ns for totals in self.totals.values()) / 1e9


class Traffic(msgspec.Struct):
    """Bytes sent by the limiters of a process, headers included, by second of the window.

    Attributes:
        sums: Bytes of all limiters together.
        most: Bytes of the limiter that sent the most in that second.
    """

    sums: dict[int, int] = msgspec.field(default_factory=dict)
    most: dict[int, int] = msgspec.field(default_factory=dict)

    def add(self, other: Traffic) -> None:
        """Adds the traffic of other limiters."""
        for second, size in other.sums.items():
            self.sums[second] = self.sums.get(second, 0) + size
        for second, size in other.most.items():
            self.most[second] = max(self.most.get(second, 0), size)

    def worst_mean_rate(self, seconds: int, members: int, window_s: float) -> float:
        """Returns the bytes a second of the mean member in the worst interval of the window.

        Args:
            seconds: Length of the interval; capped at the length of the window.
            members: Number of limiters.
            window_s: Length of the window in seconds.
        """
        length = max(1, min(seconds, math.floor(window_s)))
        starts = range(min(self.sums, default=0), max(self.sums, default=0) + 1)
        interval_sums = [
            sum(self.sums.get(start + n, 0) for n in range(length)) for start in starts
        ]
        return max(interval_sums, default=0) / length / max(members, 1)


def sum_traffic(counters: Iterable[Counter[int]]) -> Traffic:
    """Returns the traffic of several limiters, given the bytes by second of each."""
    total = Traffic()
    for counter in counters:
        total.add(Traffic(dict(counter), dict(counter)))
    return total


def size_on_wire(text_bytes: int) -> int:
    """Returns the bytes of a datagram including its IPv4 and UDP headers."""
    return text_bytes + HEADER_BYTES


def reference_loop_ns() -> int:
    """Returns the processor nanoseconds of a fixed Python loop, which gauge the machine's speed."""
    before, total = time.thread_time_ns(), 0
    for step in range(REFERENCE_LOOP_STEPS):
        total += step & 7
    return time.thread_time_ns() - before
