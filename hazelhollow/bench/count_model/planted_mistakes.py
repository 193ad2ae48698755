"""Mistakes put into the product on purpose, which the model must find.

Each replaces one function of the product by a wrong one for as long as `plant_mistake` lasts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.state.accounts import Account
from hazelhollow.decisions.state.period_charges import ClosedCount, PeriodCharges
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts
from hazelhollow.replication import count_table
from hazelhollow.replication.count_table import CountValue


@contextmanager
def plant_mistake(name: str) -> Iterator[None]:
    """Run the product with one of MISTAKES in it."""
    owner, attribute, make_wrong = MISTAKES[name]
    right = getattr(owner, attribute)
    setattr(owner, attribute, make_wrong(right))
    try:
        yield
    finally:
        setattr(owner, attribute, right)


def _without_closed_counts(right: Callable[..., float]) -> Callable[..., float]:
    def merge_report(charges: PeriodCharges, incarnation: str, period: int, total: float) -> float:
        counts, charges.closed_counts = charges.closed_counts, {}
        try:
            return right(charges, incarnation, period, total)
        finally:
            charges.closed_counts = counts

    return merge_report


def _without_reports(right: Callable[..., float]) -> Callable[..., float]:
    def merge_count(charges: PeriodCharges, incarnation: str, count: ClosedCount) -> float:
        reported, charges.reported = charges.reported, {}
        try:
            return right(charges, incarnation, count)
        finally:
            charges.reported = reported

    return merge_count


def _last_writer_wins(_right: Callable[..., CountValue]) -> Callable[..., CountValue]:
    return lambda _, later: later


def _without_own_charges(right: Callable[..., None]) -> Callable[..., None]:
    def catch_up(
        replicated: ReplicatedAccounts, account: Account, event: api.AccountReplicated
    ) -> None:
        own, own_closed = account.charges.own, account.charges.own_closed
        account.charges.own, account.charges.own_closed = {}, 0.0
        right(replicated, account, event)
        account.charges.own, account.charges.own_closed = own, own_closed

    return catch_up


# By the name that the command takes: owner, function, and what makes it wrong.
MISTAKES: dict[str, tuple[Any, str, Callable[..., Any]]] = {
    "late gossip counts beside its count": (PeriodCharges, "merge_report", _without_closed_counts),
    "a count forgets what gossip told": (PeriodCharges, "merge_count", _without_reports),
    "who spoke last is right": (count_table, "merge", _last_writer_wins),
    "catch-up forgets what was charged meanwhile": (
        ReplicatedAccounts,
        "_catch_up",
        _without_own_charges,
    ),
}
