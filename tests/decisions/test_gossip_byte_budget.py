"""Gossip under a byte budget."""

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
    make_engine,
)

BUDGET = 600.0  # bytes per second


def budgeted(limiters: int = 3, budget: float = BUDGET, **changes: float) -> DecisionEngine:
    engine = make_engine(0, limiter_count=limiters, gossip_bytes_per_s=budget, **changes)
    engine.handle(api.TimerFired("beat"), 100.0)
    return engine


def sent_gossip(actions: list[api.Action]) -> list[api.SendGossip]:
    return actions_of(actions, api.SendGossip)


def reported_keys(sends: list[api.SendGossip], peer: int) -> list[str]:
    """Returns customers' keys in the order in which their charges are sent to the peer."""
    return [
        item.split(":")[0]
        for t in sends
        if t.limiter_id == peer
        for item in t.text.split()
        if ":" in item
    ]


def key(engine: DecisionEngine, customer: str) -> str:
    return engine.customer_accounts.key_of_customer(customer)


@hyp(max_examples=30, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 0.4), st.integers(0, 40), st.integers(1, 4)), max_size=120),
    st.sampled_from([3, 40]),
)
def test_bytes_sent_in_any_window_stay_within_budget_and_burst(
    requests: list[tuple[float, int, int]], limiters: int
) -> None:
    engine, now, sent = budgeted(limiters), 100.0, list[tuple[float, int]]()
    for wait, customer, units in requests:
        now += wait
        for event in (None, api.TimerFired("beat")):
            members = 3 if limiters == 3 else 30
            actions = (
                engine.handle(event, now)
                if event
                else ask(engine, now, customer=f"{customer}", units=float(units), set_size=members)
            )
            sent += [(now, len(t.text) + HEADER_BYTES) for t in sent_gossip(actions)]
            for send in actions_of(actions, api.StartAttempt):
                answer(engine, send, now)
    for first in range(len(sent)):
        total = 0
        for at, size in sent[first:]:
            total += size
            assert total <= BUDGET * (1.0 + at - sent[first][0]) + 1e-6


def test_charges_of_one_customer_are_sent_once_with_the_latest_total() -> None:
    engine = budgeted()
    for _ in range(5):
        ask(engine, 101.1, units=2.0)
    sends = sent_gossip(engine.handle(api.TimerFired("beat"), 101.5))
    assert reported_keys(sends, 1) == [key(engine, "c")] == reported_keys(sends, 2)
    assert all(gossip._tenths(10.0) in t.text for t in sends)
    assert not sent_gossip(engine.handle(api.TimerFired("beat"), 101.9))  # nothing is sent twice
    assert not reported_keys(
        sent_gossip(engine.handle(api.TimerFired("beat"), 102.1)), 1
    )  # the final total has been sent already


def test_customer_near_its_limit_is_reported_before_others() -> None:
    engine = budgeted(2, 400.0)
    for number in range(60):
        assert count_admitted(engine, 100.5, 1, customer=f"calm{number}", units=2.0, set_size=2)
    assert count_admitted(engine, 100.5, 3, customer="near", units=2.0, set_size=2) == 3
    (first_send, *_) = sent_gossip(engine.handle(api.TimerFired("beat"), 100.6))
    assert reported_keys([first_send], 1)[0] == key(engine, "near")


def test_each_round_reports_small_charges_only_if_they_are_new() -> None:
    engine = budgeted()
    engine.gossip.outbox.bytes.capacity = 100 * BUDGET  # type: ignore[union-attr]  # keeps the level below half of the burst
    for now in (101.1, 101.4, 101.7):
        ask(engine, now, units=1.0)
        assert reported_keys(sent_gossip(engine.handle(api.TimerFired("beat"), now + 0.1)), 1) == [
            key(engine, "c")
        ]
        assert not sent_gossip(engine.handle(api.TimerFired("beat"), now + 0.2))
    assert not reported_keys(
        sent_gossip(engine.handle(api.TimerFired("beat"), 102.1)), 1
    )  # the final total has been sent already


def test_updates_of_closed_periods_are_dropped_without_rendering() -> None:
    engine = budgeted()
    engine.gossip.outbox.bytes.rate = 0.0  # type: ignore[union-attr]
    engine.gossip.outbox.bytes.level = 0.0  # type: ignore[union-attr]
    ask(engine, 101.1, units=4.0)
    engine.gossip.outbox.bytes.rate = BUDGET  # type: ignore[union-attr]
    rendered: list[str] = []
    engine.composer.charge_report = lambda name, period: rendered.append(name) or ""  # type: ignore[method-assign, func-returns-value]
    engine.handle(api.TimerFired("beat"), 110.0)
    assert not rendered and not engine.gossip.outbox.waiting  # type: ignore[union-attr]


def test_update_that_became_useless_while_waiting_is_not_sent() -> None:
    usefulness_by_name = {"kept": 1.0, "gone": 1.0}
    outbox, rendered = (
        GossipOutbox(BUDGET, lambda peer, pending: usefulness_by_name[pending[0]]),
        list[str](),
    )
    for name in usefulness_by_name:
        assert outbox.put(1, (name, 5), "")
    usefulness_by_name["gone"] = 0.0

    def render(name: str, period: int) -> str:
        rendered.append(name)
        return f" {name}"

    datagram = outbox.fill_datagram(1, "head", render, lambda pending: 1.0)
    assert datagram == "head kept" and rendered == ["kept"]
    assert list(outbox.sent_units) == [(1, "kept", 5)] and not outbox.waiting


def test_outbox_forgets_amounts_and_updates_of_closed_periods() -> None:
    engine = budgeted()
    assert engine.gossip.outbox
    ask(engine, 101.1, units=2.0)
    assert sent_gossip(engine.handle(api.TimerFired("beat"), 101.2))
    assert engine.gossip.outbox.sent_units
    engine.gossip.outbox.bytes.rate = engine.gossip.outbox.bytes.level = 0.0
    ask(engine, 101.3, units=2.0)
    assert engine.gossip.outbox.waiting
    engine.handle(api.TimerFired("beat"), 110.0)
    assert not engine.gossip.outbox.sent_units and not engine.gossip.outbox.waiting


def test_outbox_is_bounded_and_keeps_the_most_useful_updates() -> None:
    outbox = GossipOutbox(BUDGET, lambda peer, pending: 1.0 + pending[1])
    for number in range(10 * MAX_WAITING):
        outbox.put(1, (f"k{number}", number % 977), "")
    assert len(outbox.waiting[1]) <= MAX_WAITING
    assert max(period for _, period in outbox.waiting[1]) == 976


def test_large_fleet_sends_at_once_unless_the_budget_is_low() -> None:
    """Without a byte budget there is no outbox, and updates are always sent at once."""
    assert make_engine(0).gossip.outbox is None
    assert sent_gossip(ask(make_engine(0, limiter_count=40), 100.0, set_size=30))
    low_engine = budgeted(40)
    # More than half of the burst is left.
    assert sent_gossip(ask(low_engine, 100.1, set_size=30, units=4.0))
    low_engine.gossip.outbox.bytes.level = low_engine.gossip.outbox.bytes.capacity / 2 - 1.0  # type: ignore[union-attr]
    assert not sent_gossip(ask(low_engine, 100.1, set_size=30, units=4.0, customer="d"))
    # By the next round the budget allows a full datagram.
    assert sent_gossip(low_engine.handle(api.TimerFired("beat"), 100.4))


@pytest.mark.parametrize("value", [-1.0, float("nan")])
def test_invalid_budget_error_names_the_setting(value: float) -> None:
    with pytest.raises(ValueError, match="gossip_bytes_per_s"):
        replace(make_engine().settings, gossip_bytes_per_s=value)


def run_events(
    engine: DecisionEngine, events: list[tuple[float, int, int, int]], members: int
) -> list[api.Action]:
    """Returns all actions of a run of requests, answers, gossip and rounds.

    Request ids are numbered per run, so that the actions of two runs can be compared.
    """
    actions, now = list[api.Action](), 100.0
    for number, (wait, customer, units, sender) in enumerate(events):
        now += wait
        arrival_actions = ask(
            engine,
            now,
            id=f"q{number}",
            customer=f"{customer}",
            units=float(units),
            set_size=members,
        )
        actions += arrival_actions
        for send in actions_of(arrival_actions, api.StartAttempt):
            actions += answer(engine, send, now + 0.01)
        text = gossip.encode_header(int(now) % 36, 0.1, "abc") + gossip.encode(
            gossip.ChargeReport(
                key(engine, f"{customer}"), gossip.name_tag("basic"), 0, members, 0, float(units)
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
def test_budget_of_zero_changes_no_action(
    events: list[tuple[float, int, int, int]], size: tuple[int, int]
) -> None:
    """Compares the actions with those of an engine without any code for the budget."""
    limiters, members = size

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
        make_engine(0, limiter_count=limiters),
        make_engine(0, limiter_count=limiters, gossip_bytes_per_s=0.0),
    )
    without.gossip.__class__ = WithoutBudget
    expected = run_events(without, events, members)
    assert run_events(with_field, events, members) == expected
    if events:
        assert sent_gossip(expected)  # the run must send gossip for the comparison to be meaningful


def test_updates_examined_per_datagram_are_bounded() -> None:
    """Counts the updates examined with 100 and with 10,000 customers waiting for 4 peers each."""
    examined = {}
    for customers in (100, 10_000):
        engine = budgeted(40)
        assert engine.gossip.outbox
        # All updates wait.
        engine.gossip.outbox.bytes.rate = engine.gossip.outbox.bytes.level = 0.0
        engine.handle(api.TimerFired("beat"), 100.5)
        for number in range(customers):
            engine.gossip.enqueue([1, 2, 3, 4], account_of(engine, number), engine.context.period)
        engine.gossip.outbox.bytes.rate, engine.gossip.outbox.bytes.level = BUDGET, BUDGET
        usefulness_calls = Mock(side_effect=engine.gossip.outbox._usefulness)
        engine.gossip.outbox._usefulness = usefulness_calls
        datagrams = len(sent_gossip(engine.handle(api.TimerFired("beat"), 100.6)))
        assert datagrams >= 1
        examined[customers] = usefulness_calls.call_count / datagrams
    assert examined[10_000] <= MAX_WAITING and examined[100] <= 100


def account_of(engine: DecisionEngine, number: int) -> str:
    """Returns the name of an account with charges in the current period."""
    account = engine.customer_accounts.get(
        gossip.base36(number), engine.context.plans["basic"], 0, 30
    )
    account.charges.advance(engine.context.period)
    account.charges.charge(4.0, engine.context.period)
    return account.name
