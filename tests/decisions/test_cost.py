"""What a decision, a list and a gossip round cost does not grow with the fleet.

Cost is counted in bytecodes, which no other load on the machine changes; loops that run inside the
interpreter's own functions are not in it, and are held by a ratio of process times, taken in turns.
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
    make,
    table_of,
)


def ask_into(
    actions: list[api.Action], engine: DecisionEngine, now: float, kind: str, customer: str
) -> None:
    """One request, whose actions are added to a list."""
    actions.extend(ask(engine, now, kind, customer=customer))


def handle_and_ask(engine: DecisionEngine, event: api.Event, now: float) -> None:
    """An event, and a request after it."""
    engine.handle(event, now)
    ask(engine, now, "c0")


def decide_some(
    engine: DecisionEngine, now: float, count: int, cost: Callable[[Callable[[], object]], float]
) -> list[float]:
    """The cost of each of so many requests, whose answers come at once and are not counted."""
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
def test_a_decision_costs_at_the_planned_size_what_it_costs_at_a_small_one(limiters: int) -> None:
    small, large = (
        engine_of_size(200, 1, 200, limiters),
        engine_of_size(SERVERS, CLASSES, CUSTOMERS, limiters),
    )
    for one in (small, large):
        decide_some(one, 100.0, 5, bytecodes)  # what follows a whole list
    costs = [statistics.median(decide_some(one, 101.0, 60, bytecodes)) for one in (small, large)]
    assert costs[1] <= MARGIN * costs[0]
    ratios = []
    for turn in range(9):
        spent = [sum(decide_some(one, 102.0 + turn, 60, seconds)) for one in (small, large)]
        ratios.append(spent[1] / spent[0])
    # a pass over all of anything costs ten times as much
    assert statistics.median(ratios) <= 2 * MARGIN


def test_a_change_to_the_list_costs_what_it_changes() -> None:
    costs = {}
    for count in (200, SERVERS):
        engine = engine_of_size(count, 1, 0)
        ask(engine, 100.0, "c0")
        found = []
        for number in range(9):
            for event in (
                endpoint_list("change", entry(f"s{number}", state="draining")),
                endpoint_list("change", entry(f"s{number}", started=101.0)),
                endpoint_list("change", entry(f"new{number}")),
                endpoint_list("change", entry(f"s{number}", state="gone")),
            ):
                now = 101.0 + number
                found.append(bytecodes(partial(handle_and_ask, engine, event, now)))
        costs[count] = statistics.median(found)
    assert costs[SERVERS] <= MARGIN * costs[200]


def test_a_whole_list_that_says_what_is_known_costs_little() -> None:
    table, known = table_of(*endpoint_entries(SERVERS)), endpoint_entries(SERVERS)
    same = bytecodes(lambda: table.apply(endpoint_list("full", *known), 100.0))
    first = dict(table.endpoints)
    new = bytecodes(
        lambda: table.apply(endpoint_list("full", *endpoint_entries(SERVERS, "t")), 100.0)
    )
    assert same <= new / 4 and not first.keys() & table.endpoints.keys()


def beats(engine: DecisionEngine, count: int, start: float = 101.5) -> list[int]:
    return [
        bytecodes(lambda turn=turn: engine.handle(api.TimerFired("beat"), start + turn / 15))  # type: ignore[misc]
        for turn in range(count)
    ]


def test_a_round_costs_what_it_may_send_however_many_customers_were_charged() -> None:
    few, many = beats(engine_with_charges(1000), 30), beats(engine_with_charges(10_000), 30)
    assert max(many) <= MARGIN * max(few)


def test_final_charges_of_many_customers_are_told_over_several_rounds() -> None:
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


def test_forgetting_many_customers_takes_no_long_turn_and_forgets_all() -> None:
    worst = []
    for customers in (2 * MAX_FORGET_CHECKS, 100 * MAX_FORGET_CHECKS):
        engine = engine_of_size(4, 1, customers)
        worst.append(max(beats(engine, 120, 110.0)))
        assert not engine.accounts and not engine.customer_accounts.checks
    assert worst[1] <= MARGIN * worst[0]


def test_idle_customers_cost_nothing_in_a_round() -> None:
    costs = []
    for customers in (10, 20_000):
        engine = engine_of_size(4, 1, customers)
        for account in engine.accounts.values():
            account.last_used_at = 1000.0  # as if told of
        engine.customer_accounts.checks.sort()
        beats(engine, 20_000 // MAX_FORGET_CHECKS + 30, 103.0)
        costs.append(sum(beats(engine, 30, 120.0)))
    assert costs[1] <= MARGIN * costs[0]


def test_old_updates_for_peers_that_are_away_are_dropped_a_bounded_number_a_round() -> None:
    peers = 4 * MAX_AWAY_PEERS + 3
    engine = make(0, limiter_count=peers + 2)
    engine.handle(api.MembershipChanged(True, (0, peers + 1)), 100.0)  # one other is there
    for peer in range(1, peers + 2):
        engine.gossip.unsent[peer] = {("a", 100): "", ("b", 102): "", ("c", 103): ""}
    engine.context.period = 103
    engine.gossip.begin_period()
    for beat in range(1, 6):
        engine.gossip.drop_old_updates()
        short = [
            peer
            for peer, news in engine.gossip.unsent.items()
            if set(news) == {("b", 102), ("c", 103)}
        ]
        assert len(short) == min(beat * MAX_AWAY_PEERS, peers)
    assert len(engine.gossip.unsent[peers + 1]) == 3  # its news are told, or found too old then


INCARNATIONS = ("1.a", "2.b")  # of the peers


def charged_by_many(customers: int) -> DecisionEngine:
    """An engine that replicates counts.

    Each customer was charged one unit by each of three members in the period of 100.
    """
    engine = make(0, limiter_count=3)
    engine.handle(api.MembershipChanged(True, (0, 1, 2), counts_replicated=True), 100.0)
    for number in range(customers):
        account = engine.customer_accounts.get(
            gossip.base36(number), engine.context.plans["basic"], 0, 3
        )
        account.charges.advance(100)
        account.charges.charge(1.0, 100)
        for incarnation in INCARNATIONS:
            account.charges.merge_count(incarnation, ClosedCount(99, 99, 0.0))  # it began then
            account.charges.merge_report(incarnation, 100, 1.0)
        engine.replicated_accounts.mark_charged(account)
    return engine


def test_a_round_hands_on_a_bounded_number_of_closed_counts_and_each_once() -> None:
    customers, told = 3 * MAX_COUNTS_A_ROUND + 5, list[str]()
    engine = charged_by_many(customers)
    engine.context.now, engine.context.period = 102.0, 102
    while counts := actions_of(
        engine.replicated_accounts.take_closed(MAX_COUNTS_A_ROUND), api.ReplicateCount
    ):
        assert len(counts) <= MAX_COUNTS_A_ROUND + len(
            INCARNATIONS
        )  # those of one customer together
        told += [count.key for count in counts]
    names = sorted(gossip.base36(number) for number in range(customers))
    assert sorted(told) == sorted(names * (1 + len(INCARNATIONS)))


def test_customers_whose_period_is_still_open_are_looked_at_once_a_period() -> None:
    engine = charged_by_many(3 * MAX_COUNTS_A_ROUND)
    engine.context.now, engine.context.period = 101.0, 101
    for _ in range(3):
        assert engine.replicated_accounts.take_closed(MAX_COUNTS_A_ROUND) == []
    before = list(engine.replicated_accounts.unclosed)
    assert len(before) == 3 * MAX_COUNTS_A_ROUND
    assert (
        engine.replicated_accounts.take_closed(MAX_COUNTS_A_ROUND) == []
        and list(engine.replicated_accounts.unclosed) == before
    )


def test_customers_that_are_charged_all_the_time_do_not_keep_others_counts_from_closing() -> None:
    engine, told = charged_by_many(2 * MAX_COUNTS_A_ROUND), set[str]()
    for period in range(102, 125):  # one round a period: fewer than there are counts
        engine.context.now, engine.context.period = float(period), period
        for number in range(MAX_COUNTS_A_ROUND):
            account = engine.accounts[gossip.base36(number)]
            account.charges.advance(period)
            account.charges.charge(1.0, period)
            engine.replicated_accounts.mark_charged(account)
        told |= {
            count.key
            for count in actions_of(
                engine.replicated_accounts.take_closed(MAX_COUNTS_A_ROUND), api.ReplicateCount
            )
        }
    assert len(told) == 2 * MAX_COUNTS_A_ROUND


def _take_all(take: Callable[[int], list[api.Action]], found: list[api.Action]) -> None:
    found += take(MAX_COUNTS_A_ROUND)


def test_counts_close_without_a_look_at_customers_that_were_not_charged() -> None:
    costs = []
    for idle in (0, 5000):
        engine = make(0, limiter_count=3)
        engine.handle(api.MembershipChanged(True, (0, 1, 2), counts_replicated=True), 100.0)
        for number in range(idle):
            engine.customer_accounts.get(gossip.base36(number), engine.context.plans["basic"], 0, 3)
        actions_of(ask(engine, 100.0), api.StartAttempt)
        closed: list[api.Action] = []
        for now in (101.0, 102.0, 103.0, 104.0):
            engine.context.now, engine.context.period = now, int(now)
            take = engine.replicated_accounts.take_closed
            costs.append(bytecodes(partial(_take_all, take, closed)))
        assert [c.replicated_count.total for c in actions_of(closed, api.ReplicateCount)] == [
            1.0
        ] and not engine.replicated_accounts.unclosed
    assert sum(costs[4:]) <= MARGIN * sum(costs[:4])
