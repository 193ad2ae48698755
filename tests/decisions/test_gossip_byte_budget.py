"""Gossip under a budget of bytes."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.gossip.outbox import (
    HEADER_BYTES,
    MAX_WAITING,
    GossipOutbox,
    PendingUpdate,
)
from hazelhollow.decisions.gossip.scheduler import GossipScheduler
from tests.decisions.helpers import (
    actions_of,
    answer,
    ask,
    count_admitted,
    make,
)

BUDGET = 600.0  # bytes a second


def budgeted(limiters: int = 3, budget: float = BUDGET, **changes: float) -> DecisionEngine:
    engine = make(0, limiter_count=limiters, gossip_bytes_per_s=budget, **changes)
    engine.handle(api.TimerFired("beat"), 100.0)
    return engine


def told(actions: list[api.Action]) -> list[api.SendGossip]:
    return actions_of(actions, api.SendGossip)


def words(texts: list[api.SendGossip], peer: int) -> list[str]:
    """Customers' keys, in the order in which the peer is told."""
    return [
        word.split(":")[0]
        for t in texts
        if t.limiter_id == peer
        for word in t.text.split()
        if ":" in word
    ]


def key(engine: DecisionEngine, customer: str) -> str:
    return engine.customer_accounts.key_of_customer(customer)


@hyp(max_examples=30, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 0.4), st.integers(0, 40), st.integers(1, 4)), max_size=120),
    st.sampled_from([3, 40]),
)
def test_over_no_window_is_more_sent_than_the_budget_and_its_burst(
    asked: list[tuple[float, int, int]], limiters: int
) -> None:
    engine, now, sent = budgeted(limiters), 100.0, list[tuple[float, int]]()
    for wait, customer, units in asked:
        now += wait
        for event in (None, api.TimerFired("beat")):
            spread = 3 if limiters == 3 else 30
            actions = (
                engine.handle(event, now)
                if event
                else ask(engine, now, customer=f"{customer}", units=float(units), set_size=spread)
            )
            sent += [(now, len(t.text) + HEADER_BYTES) for t in told(actions)]
            for send in actions_of(actions, api.StartAttempt):
                answer(engine, send, now)
    for first in range(len(sent)):
        total = 0
        for at, size in sent[first:]:
            total += size
            assert total <= BUDGET * (1.0 + at - sent[first][0]) + 1e-6


def test_updates_of_one_customer_are_told_once_with_the_newest_total() -> None:
    engine = budgeted()
    for _ in range(5):
        ask(engine, 101.1, units=2.0)
    texts = told(engine.handle(api.TimerFired("beat"), 101.5))
    assert words(texts, 1) == [key(engine, "c")] == words(texts, 2)
    assert all(gossip._tenths(10.0) in t.text for t in texts)
    assert not told(engine.handle(api.TimerFired("beat"), 101.9))  # nothing is told again
    assert not words(
        told(engine.handle(api.TimerFired("beat"), 102.1)), 1
    )  # nor the final figure, which is known


def test_who_is_near_its_limit_is_told_before_the_calm() -> None:
    engine = budgeted(2, 400.0)
    for number in range(60):
        assert count_admitted(engine, 100.5, 1, customer=f"calm{number}", units=2.0, set_size=2)
    assert count_admitted(engine, 100.5, 3, customer="near", units=2.0, set_size=2) == 3
    (text, *_) = told(engine.handle(api.TimerFired("beat"), 100.6))
    assert words([text], 1)[0] == key(engine, "near")


def test_small_charges_of_a_calm_customer_are_told_each_round_and_only_what_is_new() -> None:
    engine = budgeted()
    engine.gossip.outbox.bytes.capacity = 100 * BUDGET  # type: ignore[union-attr]  # so that there is not plenty
    for now in (101.1, 101.4, 101.7):
        ask(engine, now, units=1.0)
        assert words(told(engine.handle(api.TimerFired("beat"), now + 0.1)), 1) == [
            key(engine, "c")
        ]
        assert not told(engine.handle(api.TimerFired("beat"), now + 0.2))
    assert not words(
        told(engine.handle(api.TimerFired("beat"), 102.1)), 1
    )  # the final figure is known


def test_updates_that_nobody_can_use_any_more_are_dropped_and_not_written() -> None:
    engine = budgeted()
    engine.gossip.outbox.bytes.rate = 0.0  # type: ignore[union-attr]
    engine.gossip.outbox.bytes.level = 0.0  # type: ignore[union-attr]
    ask(engine, 101.1, units=4.0)
    engine.gossip.outbox.bytes.rate = BUDGET  # type: ignore[union-attr]
    rendered: list[str] = []
    engine.composer.charge_report = lambda name, period: rendered.append(name) or ""  # type: ignore[method-assign, func-returns-value]
    engine.handle(api.TimerFired("beat"), 110.0)
    assert not rendered and not engine.gossip.outbox.waiting  # type: ignore[union-attr]


def test_updates_that_became_useless_while_they_waited_are_neither_written_nor_told() -> None:
    worth = {"kept": 1.0, "gone": 1.0}
    outbox, rendered = GossipOutbox(BUDGET, lambda peer, news: worth[news[0]]), list[str]()
    for name in worth:
        assert outbox.put(1, (name, 5), "")
    worth["gone"] = 0.0

    def render(name: str, period: int) -> str:
        rendered.append(name)
        return f" {name}"

    line = outbox.fill_datagram(1, "head", render, lambda news: 1.0)
    assert line == "head kept" and rendered == ["kept"]
    assert list(outbox.sent_units) == [(1, "kept", 5)] and not outbox.waiting


def test_what_was_told_and_what_waits_of_old_periods_is_forgotten() -> None:
    engine = budgeted()
    assert engine.gossip.outbox
    ask(engine, 101.1, units=2.0)
    assert told(engine.handle(api.TimerFired("beat"), 101.2))
    assert engine.gossip.outbox.sent_units
    engine.gossip.outbox.bytes.rate = engine.gossip.outbox.bytes.level = 0.0
    ask(engine, 101.3, units=2.0)
    assert engine.gossip.outbox.waiting
    engine.handle(api.TimerFired("beat"), 110.0)
    assert not engine.gossip.outbox.sent_units and not engine.gossip.outbox.waiting


def test_what_waits_is_bounded_and_the_most_useful_stays() -> None:
    outbox = GossipOutbox(BUDGET, lambda peer, news: 1.0 + news[1])
    for number in range(10 * MAX_WAITING):
        outbox.put(1, (f"k{number}", number % 977), "")
    assert len(outbox.waiting[1]) <= MAX_WAITING
    assert max(period for _, period in outbox.waiting[1]) == 976


def test_without_a_budget_nothing_is_held_back_and_a_large_fleet_is_told_at_once() -> None:
    assert make(0).gossip.outbox is None
    assert told(ask(make(0, limiter_count=40), 100.0, set_size=30))
    scarce = budgeted(40)
    assert told(ask(scarce, 100.1, set_size=30, units=4.0))  # there is plenty
    scarce.gossip.outbox.bytes.level = scarce.gossip.outbox.bytes.capacity / 2 - 1.0  # type: ignore[union-attr]
    assert not told(ask(scarce, 100.1, set_size=30, units=4.0, customer="d"))
    # by then there is room for a whole datagram
    assert told(scarce.handle(api.TimerFired("beat"), 100.4))


@pytest.mark.parametrize("value", [-1.0, float("nan")])
def test_a_budget_that_cannot_be_is_named(value: float) -> None:
    with pytest.raises(ValueError, match="gossip_bytes_per_s"):
        replace(make().settings, gossip_bytes_per_s=value)


def drawn_run(
    engine: DecisionEngine, events: list[tuple[float, int, int, int]], spread: int
) -> list[api.Action]:
    """All actions of a run of requests (ids are the run's own), answers, gossip and rounds."""
    actions, now = list[api.Action](), 100.0
    for number, (wait, customer, units, sender) in enumerate(events):
        now += wait
        asked = ask(
            engine,
            now,
            id=f"q{number}",
            customer=f"{customer}",
            units=float(units),
            set_size=spread,
        )
        actions += asked
        for send in actions_of(asked, api.StartAttempt):
            actions += answer(engine, send, now + 0.01)
        text = gossip.encode_header(int(now) % 36, 0.1, "abc") + gossip.encode(
            gossip.ChargeReport(
                key(engine, f"{customer}"), gossip.name_tag("basic"), 0, spread, 0, float(units)
            )
        )
        actions += engine.handle(api.GossipReceived(sender, text), now + 0.01)
        actions += engine.handle(api.TimerFired("beat"), now + 0.02)
        now += 0.02
    return actions


@hyp(max_examples=40, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.4), st.integers(0, 20), st.integers(1, 4), st.integers(1, 2)),
        max_size=80,
    ),
    st.sampled_from([(3, 3), (40, 30)]),
)
def test_a_budget_of_zero_changes_no_action(
    events: list[tuple[float, int, int, int]], size: tuple[int, int]
) -> None:
    """Against an engine whose code for the budget is not there at all."""
    limiters, spread = size

    class WithoutBudget(GossipScheduler):
        def _enqueue_under_budget(
            self, outbox: GossipOutbox, peer: int, update: PendingUpdate, text: str
        ) -> None:
            raise AssertionError("there is no budget")

        def _send_most_useful(self, at_once: bool = False) -> None:
            return

        def usefulness(self, peer: int, update: PendingUpdate) -> float:
            raise AssertionError("there is no budget")

    without, with_field = (
        make(0, limiter_count=limiters),
        make(0, limiter_count=limiters, gossip_bytes_per_s=0.0),
    )
    without.gossip.__class__ = WithoutBudget
    expected = drawn_run(without, events, spread)
    assert drawn_run(with_field, events, spread) == expected
    if events:
        assert told(expected)  # the run gossips


def test_a_round_looks_at_no_more_than_it_may_send_and_a_bounded_number_beside() -> None:
    """Counted, with ten thousand customers waiting for each of four peers, and a hundred."""
    looked_at = {}
    for customers in (100, 10_000):
        engine = budgeted(40)
        assert engine.gossip.outbox
        engine.gossip.outbox.bytes.rate = engine.gossip.outbox.bytes.level = 0.0  # all of it waits
        engine.handle(api.TimerFired("beat"), 100.5)
        for number in range(customers):
            engine.gossip.enqueue([1, 2, 3, 4], account_of(engine, number), engine.context.period)
        engine.gossip.outbox.bytes.rate, engine.gossip.outbox.bytes.level = BUDGET, BUDGET
        worth = Mock(side_effect=engine.gossip.outbox._usefulness)
        engine.gossip.outbox._usefulness = worth
        datagrams = len(told(engine.handle(api.TimerFired("beat"), 100.6)))
        assert datagrams >= 1
        looked_at[customers] = worth.call_count / datagrams
    assert looked_at[10_000] <= MAX_WAITING and looked_at[100] <= 100


def account_of(engine: DecisionEngine, number: int) -> str:
    """Of a customer that was charged something in this period."""
    account = engine.customer_accounts.get(
        gossip.base36(number), engine.context.plans["basic"], 0, 30
    )
    account.charges.advance(engine.context.period)
    account.charges.charge(4.0, engine.context.period)
    return account.name
