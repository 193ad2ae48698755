"""What one customer was charged, by period and by the limiter that charged it.

Time is cut into periods of a second. The current period and the one before it are open: they may
still get charges, by this limiter or by reports of others. Older ones are closed. Where counts are
replicated, a closed period's charges go into a running count for each incarnation of a limiter, so
that what a lost report would have said can be made up for; else they are dropped.

A charge must count once, whatever way and however often it is heard of:

| heard by               | counted as                                                            |
| ---------------------- | --------------------------------------------------------------------- |
| own charge             | added to `own`                                                        |
| report of a peer       | replaces the peer's total for that period; the difference is charged  |
| replicated count       | what it has beyond the known count and the reports of its periods     |
| any, of a closed count | nothing                                                               |
"""

from __future__ import annotations

from typing import NamedTuple


class ClosedCount(NamedTuple):
    """What an incarnation of a limiter charged in closed periods.

    Attributes:
        since: The period from which on it counts; 0 is not known.
        through: The last period that it has charges of.
        total: Units.
    """

    since: int = 0
    through: int = 0
    total: float = 0.0


_NOTHING_COUNTED = ClosedCount()


class PeriodCharges:
    """The charges of one customer.

    Attributes:
        period: The current period, as of the last `advance`.
        since: The first period in which this limiter knew the customer; 0 before any.
        complete_since: The period from which on all charges are known here.
        own: This limiter's charges by open period, in units.
        own_closed: The same of all closed periods together.
        own_last_period: The last closed period in which this limiter charged.
        newly_closed: Incarnations, "" for this limiter's own, whose closed count has grown since
            this was last emptied.
        reported: Units by a peer's incarnation (`number.incarnation`) and open period.
        closed_counts: The same of closed periods, by incarnation; None where counts are not
            replicated.
    """

    __slots__ = (
        "period",
        "since",
        "complete_since",
        "own",
        "own_closed",
        "own_last_period",
        "newly_closed",
        "reported",
        "closed_counts",
    )

    def __init__(self, period: int) -> None:
        self.period = period
        self.since = self.complete_since = self.own_last_period = 0
        self.own_closed = 0.0
        self.newly_closed: set[str] = set()
        self.own: dict[int, float] = {}
        self.reported: dict[tuple[str, int], float] = {}
        self.closed_counts: dict[str, ClosedCount] | None = None

    def advance(self, period: int) -> None:
        """Closes the periods before the one before `period`."""
        if period > self.period:
            self.period = period
            self.since, self.complete_since = self.since or period, self.complete_since or period
            if self.closed_counts is not None:
                self._close_before(period - 1, self.closed_counts)
            self.own = {k: v for k, v in self.own.items() if k >= period - 1}
            self.reported = {k: v for k, v in self.reported.items() if k[1] >= period - 1}

    def _close_before(self, oldest_open: int, counts: dict[str, ClosedCount]) -> None:
        for period, total in self.own.items():
            if period < oldest_open and total:
                self.own_closed += total
                self.own_last_period = max(self.own_last_period, period)
                self.newly_closed.add("")
        for (incarnation, period), total in self.reported.items():
            if period < oldest_open and total:
                since, through, known = counts.get(incarnation, _NOTHING_COUNTED)
                counts[incarnation] = ClosedCount(since, max(through, period), known + total)
                self.newly_closed.add(incarnation)

    def charge(self, units: float, period: int) -> float:
        """Charges units, or refunds them if they are below zero; returns what was charged.

        A refund belongs to the period of its charge: no period's total falls below zero.
        """
        before = self.own.get(period, 0.0)
        self.own[period] = max(before + units, 0.0)
        return self.own[period] - before

    def merge_report(self, incarnation: str, period: int, total: float) -> float:
        """Takes a peer's total for an open period; returns the units that it adds.

        A repeated report adds nothing, and the next report makes up for a lost one.
        """
        if period < self.period - 1 or (
            self.closed_counts
            and period <= self.closed_counts.get(incarnation, _NOTHING_COUNTED).through
        ):
            return 0.0
        before = self.reported.get((incarnation, period), 0.0)
        self.reported[incarnation, period] = total
        return total - before

    def merge_count(self, incarnation: str, count: ClosedCount) -> float:
        """Takes a replicated count of closed periods; returns the units that it adds.

        Reports of those periods are part of it. The first count of an incarnation that began
        before this limiter knew the customer adds nothing: it was taken into account then.
        """
        assert self.closed_counts is not None
        known = self.closed_counts.get(incarnation)
        if known and count.since < known.since:
            return 0.0  # it counts from an earlier period: older than what is known
        began, through, counted = known or _NOTHING_COUNTED
        reported = sum(
            units
            for (peer, period), units in self.reported.items()
            if peer == incarnation and period <= count.through
        )
        if began and count.since > began:
            counted, through = 0.0, 0  # the peer had forgotten the customer and counts anew
        added = count.total - counted - reported
        self.reported = {
            k: v for k, v in self.reported.items() if k[0] != incarnation or k[1] > count.through
        }
        self.closed_counts[incarnation] = ClosedCount(
            count.since, max(count.through, through), max(count.total, counted + reported)
        )
        return max(added, 0.0) if began or count.since >= self.complete_since else 0.0

    def reported_rate(self, span: float) -> float:
        """Units a second that peers charged in the open periods, which `span` seconds lie in."""
        return sum(self.reported.values()) / span if self.reported else 0.0

    def open_total(self) -> float:
        """Units of the open periods, by all limiters."""
        return sum(self.own.values()) + sum(self.reported.values())
