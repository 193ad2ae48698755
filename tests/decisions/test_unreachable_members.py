"""Quotas of sets with unreachable members."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip import codec as gossip
from tests.decisions.helpers import (
    LIMITERS,
    make_engine,
)

LIMITER_COUNT = 12


changes_of_view = st.lists(
    st.tuples(
        st.floats(0.01, 3.0),  # seconds since the previous change
        st.frozensets(st.integers(0, LIMITER_COUNT - 1), max_size=5),  # unreachable members
        st.lists(
            st.tuples(st.integers(0, LIMITER_COUNT - 1), st.floats(0.0, 2.0)), max_size=2
        ),  # members and seconds of their share that were not used
    ),
    min_size=1,
    max_size=8,
)


sets_of_customers = st.lists(
    st.tuples(st.integers(0, LIMITER_COUNT - 1), st.integers(1, LIMITER_COUNT)),
    min_size=1,
    max_size=6,
)


def accounts_after(
    sets: list[tuple[int, int]], views: list[tuple[float, frozenset[int], list[tuple[int, float]]]]
) -> list[Any]:
    """Returns the accounts of customers with these sets after changes of the reachable members."""
    plan = api.Plan("basic", 10.0, 40.0, excess_cost=1.0)
    engine = make_engine(1, limiter_count=LIMITER_COUNT, plans=(plan,), gossip_messages_per_s=60.0)
    all_members, now = tuple(range(LIMITER_COUNT)), 100.0
    engine.handle(api.MembershipChanged(True, all_members, counts_replicated=True), now)
    for number, (first, spread) in enumerate(sets):
        engine.customer_accounts.get(gossip.base36(number), plan, first, spread)
    for elapsed, lost, unused in views:
        now += elapsed
        present = tuple(n for n in all_members if n not in lost)
        engine.handle(
            api.MembershipChanged(
                True,
                present,
                unreachable_but_serving=tuple(sorted(lost)),
                unused=tuple(unused),
                counts_replicated=True,
            ),
            now,
        )
    engine.context.now = now + 0.5
    states = []
    for account in engine.accounts.values():
        account.quota.refill(engine.context.now)
        engine.customer_accounts.reserve_for_unreachable(account)  # accrues the reserves up to now
        reserved = {
            number: pytest.approx(units)
            for number, units in account.reserved_for_unreachable.items()
        }
        states.append(
            (
                pytest.approx(account.quota.level),
                account.quota.rate,
                account.hubs,
                reserved,
                account.unreachable,
            )
        )
    return states


@given(sets_of_customers, changes_of_view)
def test_reachability_change_equals_an_update_of_all_accounts(
    sets: list[tuple[int, int]], views: list[tuple[float, frozenset[int], list[tuple[int, float]]]]
) -> None:
    """The membership update skips accounts by their set mask, which must not change the result."""
    selective = accounts_after(sets, views)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            "hazelhollow.decisions.state.accounts._set_mask",
            lambda first, spread, limiters: (1 << limiters) - 1,
        )
        assert selective == accounts_after(sets, views)


def test_unreachable_member_updates_only_accounts_of_its_sets() -> None:
    engine = make_engine(1, limiter_count=LIMITERS, gossip_messages_per_s=60.0)
    engine.handle(api.MembershipChanged(True, tuple(range(LIMITERS))), 100.0)
    for number in range(LIMITERS):
        engine.customer_accounts.get(
            gossip.base36(number), engine.context.plans["basic"], number, 40
        )
    updated = list[Any]()
    engine.customer_accounts.reserve_for_unreachable = updated.append  # type: ignore[method-assign, assignment]
    engine.handle(
        api.MembershipChanged(True, tuple(range(1, LIMITERS)), unreachable_but_serving=(0,)), 101.0
    )
    assert {account.set_start for account in updated} == {
        0,
        *range(LIMITERS - 39, LIMITERS),
    } and len(updated) == 40
