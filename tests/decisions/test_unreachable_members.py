"""Quotas of members that cannot be heard."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip import codec as gossip
from tests.decisions.helpers import (
    LIMITERS,
    make,
)

RING = 12  # limiters


changes_of_view = st.lists(
    st.tuples(
        st.floats(0.01, 3.0),  # seconds since the one before
        st.frozensets(st.integers(0, RING - 1), max_size=5),  # who cannot be heard
        st.lists(
            st.tuples(st.integers(0, RING - 1), st.floats(0.0, 2.0)), max_size=2
        ),  # parts that nobody used
    ),
    min_size=1,
    max_size=8,
)


sets_of_customers = st.lists(
    st.tuples(st.integers(0, RING - 1), st.integers(1, RING)), min_size=1, max_size=6
)


def kept_apart(
    sets: list[tuple[int, int]], told: list[tuple[float, frozenset[int], list[tuple[int, float]]]]
) -> list[Any]:
    """What an engine knows of customers of these sets, after these changes to who can be heard."""
    plan = api.Plan("basic", 10.0, 40.0, excess_cost=1.0)
    engine = make(1, limiter_count=RING, plans=(plan,), gossip_messages_per_s=60.0)
    everybody, now = tuple(range(RING)), 100.0
    engine.handle(api.MembershipChanged(True, everybody, counts_replicated=True), now)
    for number, (first, spread) in enumerate(sets):
        engine.customer_accounts.get(gossip.base36(number), plan, first, spread)
    for passed, lost, unused in told:
        now += passed
        present = tuple(n for n in everybody if n not in lost)
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
    found = []
    for account in engine.accounts.values():
        account.quota.refill(engine.context.now)
        engine.customer_accounts.reserve_for_unreachable(
            account
        )  # what is left to others is reckoned up to now
        aside = {
            number: pytest.approx(units)
            for number, units in account.reserved_for_unreachable.items()
        }
        found.append(
            (
                pytest.approx(account.quota.level),
                account.quota.rate,
                account.hubs,
                aside,
                account.unreachable,
            )
        )
    return found


@given(sets_of_customers, changes_of_view)
def test_a_change_of_who_can_be_heard_is_taken_as_if_all_customers_were_gone_through(
    sets: list[tuple[int, int]], told: list[tuple[float, frozenset[int], list[tuple[int, float]]]]
) -> None:
    quick = kept_apart(sets, told)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            "hazelhollow.decisions.state.accounts._set_mask",
            lambda first, spread, limiters: (1 << limiters) - 1,
        )
        assert quick == kept_apart(sets, told)


def test_of_many_customers_those_are_looked_at_whose_members_cannot_be_heard() -> None:
    engine = make(1, limiter_count=LIMITERS, gossip_messages_per_s=60.0)
    engine.handle(api.MembershipChanged(True, tuple(range(LIMITERS))), 100.0)
    for number in range(LIMITERS):
        engine.customer_accounts.get(
            gossip.base36(number), engine.context.plans["basic"], number, 40
        )
    looked_at = list[Any]()
    engine.customer_accounts.reserve_for_unreachable = looked_at.append  # type: ignore[method-assign, assignment]
    engine.handle(
        api.MembershipChanged(True, tuple(range(1, LIMITERS)), unreachable_but_serving=(0,)), 101.0
    )
    assert {account.set_start for account in looked_at} == {
        0,
        *range(LIMITERS - 39, LIMITERS),
    } and len(looked_at) == 40
