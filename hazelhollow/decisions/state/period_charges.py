"""Charges of one customer, by period and by the limiter that made them.

Time is divided into one-second periods. The current period and the one before it are open: this
limiter and the reports of its peers may still add charges to them. Older periods are closed. Where
counts are replicated, the charges of a closed period are added to a running count for each
incarnation of a limiter, which later makes up for lost reports; otherwise they are dropped.

Each charge is counted exactly once, however often and by whatever path it is reported:

| source                 | effect                                                              |
| ---------------------- | ------------------------------------------------------------------- |
| charge by this limiter | is added to `own`                                                   |
| report of a peer       | replaces the peer's total of the period and charges the difference  |
| replicated count       | charges its excess over the stored count and reports of its periods |
| report already counted | is ignored                                                          |
"""

from __future__ import annotations

from typing import NamedTuple


class ClosedCount(NamedTuple):
    """The charges of one incarnation of a limiter in closed periods.

    Attributes:
        since: The first period that the count covers; 0 if it is not known.
        through: The last period with charges in the count.
        total: Units charged.
    """

    since: int = 0
    through: int = 0
    total: float = 0.0


_NOTHING_COUNTED = ClosedCount()


class PeriodCharges:
    """The charges of one customer.

    Attributes:
        period: The current period, as of the last `advance`.
        since: The first period in which this limiter had the customer's account; 0 before that.
        complete_since: The first period from which this limiter has every charge.
        own: Units that this limiter charged, by open period.
        own_closed: Units that this limiter charged in all closed periods together.
        own_last_period: The last closed period in which this limiter charged.
        newly_closed: Incarnations whose closed count has grown since this set was last emptied; ""
            stands for this limiter's own count.
        reported: Units that peers charged, by incarnation (`number.incarnation`) and open period.
        closed_counts: Counts of closed periods by a peer's incarnation; None where counts are not
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
        """Makes `period` the current one and closes the periods older than its predecessor."""
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
                since, through, closed = counts.get(incarnation, _NOTHING_COUNTED)
                counts[incarnation] = ClosedCount(since, max(through, period), closed + total)
                self.newly_closed.add(incarnation)

    def charge(self, units: float, period: int) -> float:
        """Charges units, or refunds them if they are negative, and returns the change of the total.

        A refund belongs to the period of its charge, so that no period's total falls below zero.
        """
        before = self.own.get(period, 0.0)
        self.own[period] = max(before + units, 0.0)
        return self.own[period] - before

    def merge_report(self, incarnation: str, period: int, total: float) -> float:
        """Stores a peer's total for an open period and returns the units that this adds.

        Reports carry totals, so that a repeated report adds nothing and the next report makes up
        for a lost one.
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
        """Merges a replicated count of closed periods and returns the units that this adds.

        The count includes the reports of its periods. The first count received of an incarnation
        adds nothing if it starts before this limiter knew the customer: the level with which the
        account was opened already reflects it.
        """
        assert self.closed_counts is not None
        stored = self.closed_counts.get(incarnation)
        if stored and count.since < stored.since:
            return 0.0  # the stored count started later and has replaced this one
        stored_since, through, counted = stored or _NOTHING_COUNTED
        reported = sum(
            units
            for (peer, period), units in self.reported.items()
            if peer == incarnation and period <= count.through
        )
        if stored_since and count.since > stored_since:
            counted, through = 0.0, 0  # the peer forgot the customer and restarted its count
        added = count.total - counted - reported
        self.reported = {
            k: v for k, v in self.reported.items() if k[0] != incarnation or k[1] > count.through
        }
        self.closed_counts[incarnation] = ClosedCount(
            count.since, max(count.through, through), max(count.total, counted + reported)
        )
        return max(added, 0.0) if stored_since or count.since >= self.complete_since else 0.0

    def reported_rate(self, span: float) -> float:
        """Returns the units per second that peers charged in the open periods.

        `span` is the time in seconds that the open periods cover so far.
        """
        return sum(self.reported.values()) / span if self.reported else 0.0

    def open_total(self) -> float:
        """Returns the units that all limiters charged in the open periods."""
        return sum(self.own.values()) + sum(self.reported.values())
