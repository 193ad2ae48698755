"""Mistakes planted in the product on purpose, which the model checker must find.

Each one replaces one function of the product with a faulty version inside `plant_mistake`.
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
    """Replaces a function of the product with one of MISTAKES within the context."""
    owner, attribute, make_faulty = MISTAKES[name]
    original = getattr(owner, attribute)
    setattr(owner, attribute, make_faulty(original))
    try:
        yield
    finally:
        setattr(owner, attribute, original)


def _without_closed_counts(original: Callable[..., float]) -> Callable[..., float]:
    def merge_report(charges: PeriodCharges, incarnation: str, period: int, total: float) -> float:
        counts, charges.closed_counts = charges.closed_counts, {}
        try:
            return original(charges, incarnation, period, total)
        finally:
            charges.closed_counts = counts

    return merge_report


def _without_reports(original: Callable[..., float]) -> Callable[..., float]:
    def merge_count(charges: PeriodCharges, incarnation: str, count: ClosedCount) -> float:
        reported, charges.reported = charges.reported, {}
        try:
            return original(charges, incarnation, count)
        finally:
            charges.reported = reported

    return merge_count


def _last_writer_wins(_original: Callable[..., CountValue]) -> Callable[..., CountValue]:
    return lambda _, later: later


def _without_own_charges(original: Callable[..., None]) -> Callable[..., None]:
    def catch_up(
        replicated: ReplicatedAccounts, account: Account, event: api.AccountReplicated
    ) -> None:
        own, own_closed = account.charges.own, account.charges.own_closed
        account.charges.own, account.charges.own_closed = {}, 0.0
        original(replicated, account, event)
        account.charges.own, account.charges.own_closed = own, own_closed

    return catch_up


# By the name that `--plant` takes: owner, function, and the wrapper that makes it faulty.
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
