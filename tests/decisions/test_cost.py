"""The cost of a decision, a list update and a gossip round must not grow with the fleet.

Cost is measured in executed bytecodes, which other load on the machine does not change. Loops
inside the interpreter's built-in functions are not included; a ratio of process times, measured
alternately, bounds them.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from functools import partial

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.gossip.scheduler import MAX_AWAY_PEERS, MAX_FINAL_CHARGES
from hazelhollow.decisions.state.customer_accounts import MAX_FORGET_CHECKS
from hazelhollow.decisions.state.period_charges import ClosedCount
from hazelhollow.decisions.state.replicated_accounts import MAX_COUNTS_A_ROUND
from tests.decisions.helpers import (
    CLASSES,
    CUSTOMERS,
    LIMITERS,
    MARGIN,
    SERVERS,
    actions_of,
    answer,
    ask,
    bytecodes,
    endpoint_entries,
    endpoint_list,
    engine_of_size,
    engine_with_charges,
    entry,
    make_engine,
    table_of,
)


def ask_into(
    actions: list[api.Action], engine: DecisionEngine, now: float, kind: str, customer: str
) -> None:
    """Sends a request and appends its actions to a list."""
    actions.extend(ask(engine, now, kind, customer=customer))


def handle_event_and_request(engine: DecisionEngine, event: api.Event, now: float) -> None:
    """Handles an event, then a request."""
    engine.handle(event, now)
    ask(engine, now, "c0")


def decision_costs(
    engine: DecisionEngine, now: float, count: int, cost: Callable[[Callable[[], object]], float]
) -> list[float]:
    """Returns the cost of each of `count` requests, not counting their immediate answers."""
    costs, classes = [], list(engine.context.classes)
    for number in range(count):
        now += 1 / 204
        customer, kind = (
            str(engine.context.random.randrange(CUSTOMERS)),
            classes[number * 7919 % len(classes)],
        )
        actions: list[api.Action] = []
        request = partial(ask_into, actions, engine, now, kind, customer)
        costs.append(cost(request))
        for send in actions_of(actions, api.StartAttempt):
            answer(engine, send, now)
    return costs


def seconds(call: Callable[[], object]) -> float:
    start = time.process_time()
    call()
    return time.process_time() - start


@pytest.mark.parametrize("limiters", [LIMITERS, 3])
def test_decision_cost_does_not_grow_with_fleet_size(limiters: int) -> None:
    small, large = (
        engine_of_size(200, 1, 200, limiters),
        engine_of_size(SERVERS, CLASSES, CUSTOMERS, limiters),
    )
    for compared in (small, large):
        decision_costs(compared, 100.0, 5, bytecodes)  # excludes the work after a full list
    costs = [
        statistics.median(decision_costs(compared, 101.0, 60, bytecodes))
        for compared in (small, large)
    ]
    assert costs[1] <= MARGIN * costs[0]
    ratios = []
    for turn in range(9):
        spent = [
            sum(decision_costs(compared, 102.0 + turn, 60, seconds)) for compared in (small, large)
        ]
        ratios.append(spent[1] / spent[0])
    # iterating over all endpoints, classes or customers costs ten times as much
    assert statistics.median(ratios) <= 2 * MARGIN


def test_list_change_cost_does_not_grow_with_list_size() -> None:
    costs = {}
    for count in (200, SERVERS):
        engine = engine_of_size(count, 1, 0)
        ask(engine, 100.0, "c0")
        change_costs = []
        for number in range(9):
            for event in (
                endpoint_list("change", entry(f"s{number}", state="draining")),
                endpoint_list("change", entry(f"s{number}", started=101.0)),
                endpoint_list("change", entry(f"new{number}")),
                endpoint_list("change", entry(f"s{number}", state="gone")),
            ):
                now = 101.0 + number
                change_costs.append(
                    bytecodes(partial(handle_event_and_request, engine, event, now))
                )
        costs[count] = statistics.median(change_costs)
    assert costs[SERVERS] <= MARGIN * costs[200]


def test_full_list_without_changes_costs_little() -> None:
    table, unchanged = table_of(*endpoint_entries(SERVERS)), endpoint_entries(SERVERS)
    same = bytecodes(lambda: table.apply(endpoint_list("full", *unchanged), 100.0))
    first = dict(table.endpoints)
    new = bytecodes(
        lambda: table.apply(endpoint_list("full", *endpoint_entries(SERVERS, "t")), 100.0)
    )
    assert same <= new / 4 and not first.keys() & table.endpoints.keys()


def round_costs(engine: DecisionEngine, count: int, start: float = 101.5) -> list[int]:
    return [
        bytecodes(lambda turn=turn: engine.handle(api.TimerFired("beat"), start + turn / 15))  # type: ignore[misc]
        for turn in range(count)
    ]


def test_round_cost_does_not_grow_with_number_of_charged_customers() -> None:
    few, many = (
        round_costs(engine_with_charges(1000), 30),
        round_costs(engine_with_charges(10_000), 30),
    )
    assert max(many) <= MARGIN * max(few)


def test_final_charges_of_many_customers_are_spread_over_several_rounds() -> None:
    engine = engine_with_charges(3 * MAX_FINAL_CHARGES)
    for peer in engine.gossip.unsent:
        engine.gossip.unsent[peer].clear()
    engine.gossip.messages.rate = engine.gossip.messages.level = 0.0
    engine.gossip.charged_this_period = dict.fromkeys(engine.accounts)
    counts = []
    for turn in range(4):
        engine.handle(api.TimerFired("beat"), 101.6 + turn / 15)
        counts.append(len(engine.gossip.unsent[1]))
    assert counts == [
        MAX_FINAL_CHARGES,
        2 * MAX_FINAL_CHARGES,
        3 * MAX_FINAL_CHARGES,
        3 * MAX_FINAL_CHARGES,
    ]


def test_forgetting_many_customers_is_complete_and_spread_over_rounds() -> None:
    highest_costs = []
    for customers in (2 * MAX_FORGET_CHECKS, 100 * MAX_FORGET_CHECKS):
        engine = engine_of_size(4, 1, customers)
        highest_costs.append(max(round_costs(engine, 120, 110.0)))
        assert not engine.accounts and not engine.customer_accounts.checks
    assert highest_costs[1] <= MARGIN * highest_costs[0]


def test_idle_customers_add_no_cost_to_a_round() -> None:
    costs = []
    for customers in (10, 20_000):
        engine = engine_of_size(4, 1, customers)
        for account in engine.accounts.values():
            account.last_used_at = 1000.0  # as if a peer had reported a charge
        engine.customer_accounts.checks.sort()
        round_costs(engine, 20_000 // MAX_FORGET_CHECKS + 30, 103.0)
        costs.append(sum(round_costs(engine, 30, 120.0)))
    assert costs[1] <= MARGIN * costs[0]


def test_old_updates_for_absent_peers_are_dropped_over_several_rounds() -> None:
    peers = 4 * MAX_AWAY_PEERS + 3
    engine = make_engine(0, limiter_count=peers + 2)
    engine.handle(api.MembershipChanged(True, (0, peers + 1)), 100.0)  # one other member is up
    for peer in range(1, peers + 2):
        engine.gossip.unsent[peer] = {("a", 100): "", ("b", 102): "", ("c", 103): ""}
    engine.context.period = 103
    engine.gossip.begin_period()
    for rounds in range(1, 6):
        engine.gossip.drop_old_updates()
        trimmed = [
            peer
            for peer, updates in engine.gossip.unsent.items()
            if set(updates) == {("b", 102), ("c", 103)}
        ]
        assert len(trimmed) == min(rounds * MAX_AWAY_PEERS, peers)
    # its updates are sent, or dropped as outdated then
    assert len(engine.gossip.unsent[peers + 1]) == 3


PEER_INCARNATIONS = ("1.a", "2.b")


def engine_with_replicated_counts(customers: int) -> DecisionEngine:
    """Returns an engine that replicates counts.

    Each of three members charged one unit to each customer in period 100.
    """
    engine = make_engine(0, limiter_count=3)
    engine.handle(api.MembershipChanged(True, (0, 1, 2), counts_replicated=True), 100.0)
    for number in range(customers):
        account = engine.customer_accounts.get(
            gossip.base36(number), engine.context.plans["basic"], 0, 3
        )
        account.charges.advance(100)
        account.charges.charge(1.0, 100)
        for incarnation in PEER_INCARNATIONS:
            # the incarnation began then
            account.charges.merge_count(incarnation, ClosedCount(99, 99, 0.0))
            account.charges.merge_report(incarnation, 100, 1.0)
        engine.replicated_accounts.mark_charged(account)
    return engine


def test_round_emits_a_bounded_number_of_closed_counts_and_each_once() -> None:
    customers, emitted_keys = 3 * MAX_COUNTS_A_ROUND + 5, list[str]()
    engine = engine_with_replicated_counts(customers)
    engine.context.now, engine.context.period = 102.0, 102
    while counts := actions_of(
        engine.replicated_accounts.drain_grown_counts(MAX_COUNTS_A_ROUND), api.ReplicateCount
    ):
        # the counts of one customer stay together
        assert len(counts) <= MAX_COUNTS_A_ROUND + len(PEER_INCARNATIONS)
        emitted_keys += [count.key for count in counts]
    names = sorted(gossip.base36(number) for number in range(customers))
    assert sorted(emitted_keys) == sorted(names * (1 + len(PEER_INCARNATIONS)))


def test_accounts_with_an_open_period_are_examined_once_per_period() -> None:
    engine = engine_with_replicated_counts(3 * MAX_COUNTS_A_ROUND)
    engine.context.now, engine.context.period = 101.0, 101
    for _ in range(3):
        assert engine.replicated_accounts.drain_grown_counts(MAX_COUNTS_A_ROUND) == []
    before = list(engine.replicated_accounts.unclosed)
    assert len(before) == 3 * MAX_COUNTS_A_ROUND
    assert (
        engine.replicated_accounts.drain_grown_counts(MAX_COUNTS_A_ROUND) == []
        and list(engine.replicated_accounts.unclosed) == before
    )


def test_continuous_charges_to_some_customers_do_not_delay_others_counts() -> None:
    engine, emitted_keys = engine_with_replicated_counts(2 * MAX_COUNTS_A_ROUND), set[str]()
    for period in range(102, 125):  # one round per period: fewer rounds than there are counts
        engine.context.now, engine.context.period = float(period), period
        for number in range(MAX_COUNTS_A_ROUND):
            account = engine.accounts[gossip.base36(number)]
            account.charges.advance(period)
            account.charges.charge(1.0, period)
            engine.replicated_accounts.mark_charged(account)
        emitted_keys |= {
            count.key
            for count in actions_of(
                engine.replicated_accounts.drain_grown_counts(MAX_COUNTS_A_ROUND),
                api.ReplicateCount,
            )
        }
    assert len(emitted_keys) == 2 * MAX_COUNTS_A_ROUND


def _collect(take: Callable[[int], list[api.Action]], collected: list[api.Action]) -> None:
    collected += take(MAX_COUNTS_A_ROUND)


def test_closing_counts_costs_nothing_for_customers_without_charges() -> None:
    costs = []
    for idle in (0, 5000):
        engine = make_engine(0, limiter_count=3)
        engine.handle(api.MembershipChanged(True, (0, 1, 2), counts_replicated=True), 100.0)
        for number in range(idle):
            engine.customer_accounts.get(gossip.base36(number), engine.context.plans["basic"], 0, 3)
        actions_of(ask(engine, 100.0), api.StartAttempt)
        closed: list[api.Action] = []
        for now in (101.0, 102.0, 103.0, 104.0):
            engine.context.now, engine.context.period = now, int(now)
            take = engine.replicated_accounts.drain_grown_counts
            costs.append(bytecodes(partial(_collect, take, closed)))
        assert [c.replicated_count.total for c in actions_of(closed, api.ReplicateCount)] == [
            1.0
        ] and not engine.replicated_accounts.unclosed
    assert sum(costs[4:]) <= MARGIN * sum(costs[:4])
