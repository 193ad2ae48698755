"""What a decision, a list and a beat cost does not grow with the fleet.

And what is kept up for that says the same as the plain definitions, which stand here.

Cost is counted in bytecodes, which no other load on the machine changes; loops that run inside the
interpreter's own functions are not in it, and are held by a ratio of process times, taken in turns.
"""

from __future__ import annotations

import random
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from types import FrameType
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.endpoint_selection import MAX_COMPARED
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.gossip.scheduler import MAX_AWAY_PEERS, MAX_FINAL_CHARGES
from hazelhollow.decisions.load_estimate import LEARNING_RATE
from hazelhollow.decisions.load_shedding import DEMAND_SPAN, YIELD_POWER
from hazelhollow.decisions.outlier_detection import MAX_RECORDS
from hazelhollow.decisions.state.accounts import Account, Opening
from hazelhollow.decisions.state.class_statistics import ClassStatistics, RecentDemand
from hazelhollow.decisions.state.customer_accounts import MAX_FORGET_CHECKS
from hazelhollow.decisions.state.endpoint import MEAN_CONCURRENCY, Endpoint
from hazelhollow.decisions.state.endpoint_table import EndpointTable
from hazelhollow.decisions.state.max_tree import MaxTree
from hazelhollow.decisions.state.period_charges import ClosedCount
from hazelhollow.decisions.state.replicated_accounts import MAX_COUNTS_A_ROUND
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import KnownSettings, parse_settings
from tests.test_gateway import answer, ask, entry, make, only, servers

SERVERS, CLASSES, CUSTOMERS, LIMITERS = 14_000, 11_000, 73_000, 930
MARGIN = 1.5


def bytecodes(call: Callable[[], object]) -> int:
    """How many are executed."""
    count = 0

    def trace(frame: FrameType, event: str, argument: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def listed(count: int, prefix: str = "s") -> list[api.EndpointEntry]:
    return [
        api.EndpointEntry(f"{prefix}{n}", "up", "abc"[n % 3], n // 4, 1.0) for n in range(count)
    ]


def kinds(count: int) -> tuple[api.RequestClass, ...]:
    return tuple(
        api.RequestClass(f"c{n}", 1.0 + n % 7 / 10, 4.0, 1.0 + n % 3, "safe") for n in range(count)
    )


def gateway_of(
    hosts: int, classes: int, customers: int, gateways: int = LIMITERS
) -> DecisionEngine:
    """With so many customers known, each of a set of three."""
    gateway = make(1, limiter_count=gateways, classes=kinds(classes), gossip_messages_per_s=60.0)
    gateway.handle(servers("full", *listed(hosts)), 100.0)
    for number in range(customers):
        gateway.customer_accounts.get(
            gossip.base36(number), gateway.context.plans["basic"], number % gateways, 3
        )
    return gateway


def decide_some(
    gateway: DecisionEngine, now: float, count: int, cost: Callable[[Callable[[], object]], float]
) -> list[float]:
    """The cost of each of so many requests, whose answers come at once and are not counted."""
    costs, classes = [], list(gateway.context.classes)
    for number in range(count):
        now += 1 / 204
        customer, kind = (
            str(gateway.context.random.randrange(CUSTOMERS)),
            classes[number * 7919 % len(classes)],
        )
        actions: list[api.Action] = []
        costs.append(cost(lambda: actions.extend(ask(gateway, now, kind, customer=customer))))  # noqa: B023
        for send in only(actions, api.StartAttempt):
            answer(gateway, send, now)
    return costs


def seconds(call: Callable[[], object]) -> float:
    start = time.process_time()
    call()
    return time.process_time() - start


@pytest.mark.parametrize("gateways", [LIMITERS, 3])
def test_a_decision_costs_at_the_planned_size_what_it_costs_at_a_small_one(gateways: int) -> None:
    small, large = (
        gateway_of(200, 1, 200, gateways),
        gateway_of(SERVERS, CLASSES, CUSTOMERS, gateways),
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
        gateway = gateway_of(count, 1, 0)
        ask(gateway, 100.0, "c0")
        found = []
        for number in range(9):
            for event in (
                servers("change", entry(f"s{number}", state="draining")),
                servers("change", entry(f"s{number}", started=101.0)),
                servers("change", entry(f"new{number}")),
                servers("change", entry(f"s{number}", state="gone")),
            ):
                now = 101.0 + number
                both = lambda: (gateway.handle(event, now), ask(gateway, now, "c0"))  # noqa: B023, E731
                found.append(bytecodes(both))
        costs[count] = statistics.median(found)
    assert costs[SERVERS] <= MARGIN * costs[200]


def test_a_whole_list_that_says_what_is_known_costs_little() -> None:
    table, known = table_of(*listed(SERVERS)), listed(SERVERS)
    same = bytecodes(lambda: table.apply(servers("full", *known), 100.0))
    first = dict(table.endpoints)
    new = bytecodes(lambda: table.apply(servers("full", *listed(SERVERS, "t")), 100.0))
    assert same <= new / 4 and not first.keys() & table.endpoints.keys()


def charged(customers: int, gateways: int = 3) -> DecisionEngine:
    """A second and a half after the first of so many customers, each of whom was charged once."""
    gateway = make(0, limiter_count=gateways, gossip_messages_per_s=60.0)
    gateway.handle(api.TimerFired("beat"), 100.0)
    gateway.gossip.messages.level = 0.0
    for number in range(customers):
        now = 100.0 + 1.5 * number / customers
        account = gateway.customer_accounts.get(
            gossip.base36(number), gateway.context.plans["basic"], 0, 3
        )
        gateway.context.now, gateway.context.period = now, int(now)
        gateway.quota.record_charge(account, 1.0, int(now))
    return gateway


def beats(gateway: DecisionEngine, count: int, start: float = 101.5) -> list[int]:
    return [
        bytecodes(lambda turn=turn: gateway.handle(api.TimerFired("beat"), start + turn / 15))  # type: ignore[misc]
        for turn in range(count)
    ]


def test_a_beat_costs_what_it_may_send_however_many_customers_were_charged() -> None:
    few, many = beats(charged(1000), 30), beats(charged(10_000), 30)
    assert max(many) <= MARGIN * max(few)


def test_final_figures_of_many_customers_are_told_by_and_by() -> None:
    gateway = charged(3 * MAX_FINAL_CHARGES)
    for peer in gateway.gossip.unsent:
        gateway.gossip.unsent[peer].clear()
    gateway.gossip.messages.rate = gateway.gossip.messages.level = 0.0
    gateway.gossip.charged_this_period = dict.fromkeys(gateway.accounts)
    counts = []
    for turn in range(4):
        gateway.handle(api.TimerFired("beat"), 101.6 + turn / 15)
        counts.append(len(gateway.gossip.unsent[1]))
    assert counts == [
        MAX_FINAL_CHARGES,
        2 * MAX_FINAL_CHARGES,
        3 * MAX_FINAL_CHARGES,
        3 * MAX_FINAL_CHARGES,
    ]


def test_forgetting_many_customers_takes_no_long_turn_and_forgets_all() -> None:
    worst = []
    for customers in (2 * MAX_FORGET_CHECKS, 100 * MAX_FORGET_CHECKS):
        gateway = gateway_of(4, 1, customers)
        worst.append(max(beats(gateway, 120, 110.0)))
        assert not gateway.accounts and not gateway.customer_accounts.checks
    assert worst[1] <= MARGIN * worst[0]


def test_customers_that_are_not_used_cost_no_beat() -> None:
    costs = []
    for customers in (10, 20_000):
        gateway = gateway_of(4, 1, customers)
        for account in gateway.accounts.values():
            account.last_used_at = 1000.0  # as if told of
        gateway.customer_accounts.checks.sort()
        beats(gateway, 20_000 // MAX_FORGET_CHECKS + 30, 103.0)
        costs.append(sum(beats(gateway, 30, 120.0)))
    assert costs[1] <= MARGIN * costs[0]


def test_old_news_for_peers_that_are_away_go_in_beats_of_a_bounded_number() -> None:
    peers = 4 * MAX_AWAY_PEERS + 3
    gateway = make(0, limiter_count=peers + 2)
    gateway.handle(api.MembershipChanged(True, (0, peers + 1)), 100.0)  # one other is there
    for peer in range(1, peers + 2):
        gateway.gossip.unsent[peer] = {("a", 100): "", ("b", 102): "", ("c", 103): ""}
    gateway.context.period = 103
    gateway.gossip.begin_period()
    for beat in range(1, 6):
        gateway.gossip.drop_old_updates()
        short = [
            peer
            for peer, news in gateway.gossip.unsent.items()
            if set(news) == {("b", 102), ("c", 103)}
        ]
        assert len(short) == min(beat * MAX_AWAY_PEERS, peers)
    assert len(gateway.gossip.unsent[peers + 1]) == 3  # its news are told, or found too old then


LIVES = ("1.a", "2.b")  # of the peers


def charged_by_many(customers: int) -> DecisionEngine:
    """Counts are kept.

    And so many customers were charged one unit each by each of three members in the period of 100.
    """
    gateway = make(0, limiter_count=3)
    gateway.handle(api.MembershipChanged(True, (0, 1, 2), counts_replicated=True), 100.0)
    for number in range(customers):
        account = gateway.customer_accounts.get(
            gossip.base36(number), gateway.context.plans["basic"], 0, 3
        )
        account.charges.advance(100)
        account.charges.charge(1.0, 100)
        for incarnation in LIVES:
            account.charges.merge_count(incarnation, ClosedCount(99, 99, 0.0))  # it began then
            account.charges.merge_report(incarnation, 100, 1.0)
        gateway.replicated_accounts.mark_charged(account)
    return gateway


def test_a_beat_hands_on_a_bounded_number_of_closed_counts_and_each_is_told_once() -> None:
    customers, told = 3 * MAX_COUNTS_A_ROUND + 5, list[str]()
    gateway = charged_by_many(customers)
    gateway.context.now, gateway.context.period = 102.0, 102
    while counts := only(
        gateway.replicated_accounts.take_closed(MAX_COUNTS_A_ROUND), api.ReplicateCount
    ):
        assert len(counts) <= MAX_COUNTS_A_ROUND + len(LIVES)  # those of one customer together
        told += [count.key for count in counts]
    names = sorted(gossip.base36(number) for number in range(customers))
    assert sorted(told) == sorted(names * (1 + len(LIVES)))


def test_customers_whose_period_is_still_open_are_looked_at_once_a_period() -> None:
    gateway = charged_by_many(3 * MAX_COUNTS_A_ROUND)
    gateway.context.now, gateway.context.period = 101.0, 101
    for _ in range(3):
        assert gateway.replicated_accounts.take_closed(MAX_COUNTS_A_ROUND) == []
    before = list(gateway.replicated_accounts.unclosed)
    assert len(before) == 3 * MAX_COUNTS_A_ROUND
    assert (
        gateway.replicated_accounts.take_closed(MAX_COUNTS_A_ROUND) == []
        and list(gateway.replicated_accounts.unclosed) == before
    )


def test_customers_that_are_charged_all_the_time_do_not_keep_others_counts_from_closing() -> None:
    gateway, told = charged_by_many(2 * MAX_COUNTS_A_ROUND), set[str]()
    for period in range(102, 125):  # one beat a period: fewer than there are counts
        gateway.context.now, gateway.context.period = float(period), period
        for number in range(MAX_COUNTS_A_ROUND):
            account = gateway.accounts[gossip.base36(number)]
            account.charges.advance(period)
            account.charges.charge(1.0, period)
            gateway.replicated_accounts.mark_charged(account)
        told |= {
            count.key
            for count in only(
                gateway.replicated_accounts.take_closed(MAX_COUNTS_A_ROUND), api.ReplicateCount
            )
        }
    assert len(told) == 2 * MAX_COUNTS_A_ROUND


def _take_all(take: Callable[[int], list[api.Action]], found: list[api.Action]) -> None:
    found += take(MAX_COUNTS_A_ROUND)


def test_counts_that_are_kept_close_without_a_look_at_customers_that_were_not_charged() -> None:
    costs = []
    for idle in (0, 5000):
        gateway = make(0, limiter_count=3)
        gateway.handle(api.MembershipChanged(True, (0, 1, 2), counts_replicated=True), 100.0)
        for number in range(idle):
            gateway.customer_accounts.get(
                gossip.base36(number), gateway.context.plans["basic"], 0, 3
            )
        only(ask(gateway, 100.0), api.StartAttempt)
        closed: list[api.Action] = []
        for now in (101.0, 102.0, 103.0, 104.0):
            gateway.context.now, gateway.context.period = now, int(now)
            take = gateway.replicated_accounts.take_closed
            costs.append(bytecodes(partial(_take_all, take, closed)))
        assert [c.replicated_count.total for c in only(closed, api.ReplicateCount)] == [
            1.0
        ] and not gateway.replicated_accounts.unclosed
    assert sum(costs[4:]) <= MARGIN * sum(costs[:4])


# What is kept up, against the plain definitions


def plain_limit(
    gateway: DecisionEngine, kind: api.RequestClass, worth: dict[str, float], work: float
) -> float:
    """As it was reckoned for each request, over all classes.

    `worth`, `work`: what was asked for lately.
    """
    learned = gateway.load.classes
    value = {
        c.name: c.priority_weight * learned.units[c.name] / learned.work[c.name]
        for c in gateway.settings.classes
    }
    if not gateway.context.small_fleet:
        return gateway.load.tightest_objective * value[kind.name] / max(value.values())
    longest = min(
        c.latency_objective for c in gateway.settings.classes if value[c.name] >= value[kind.name]
    )
    cheapest = min(value, key=value.__getitem__)
    part = worth.get(cheapest, 0.0) / sum(worth.values()) if worth else 0.0
    value[cheapest] *= 1.0 + gateway.settings.class_weight / max(part, 0.01)
    mean = (sum(worth.values()) / work if work else 0.0) or value[kind.name]
    return float(longest * min(1.0, value[kind.name] / mean) ** YIELD_POWER)


class_lists = st.lists(
    st.tuples(st.sampled_from([0.5, 1.0, 2.0, 9.0]), st.sampled_from([0.5, 1.0, 3.0])),
    min_size=1,
    max_size=9,
).map(
    lambda pairs: tuple(
        api.RequestClass(f"c{n}", aim, 20.0, worth, "safe") for n, (aim, worth) in enumerate(pairs)
    )
)
lessons = st.lists(
    st.tuples(
        st.integers(0, 8), st.sampled_from([1.0, 2.0, 5.0]), st.sampled_from([0.9, 1.0, 1.1, 1.5])
    ),
    max_size=40,
)


@hyp(max_examples=150, deadline=None)
@given(class_lists, class_lists, lessons, st.sampled_from([1, 3, 40]), st.sampled_from([0.0, 0.5]))
def test_the_limit_of_a_class_is_what_a_look_at_all_classes_says(
    classes: tuple[api.RequestClass, ...],
    later: tuple[api.RequestClass, ...],
    learned: list[tuple[int, float, float]],
    gateways: int,
    weight: float,
) -> None:
    gateway = make(0, limiter_count=gateways, classes=classes, class_weight=weight)
    worth, work = dict[str, float](), 0.0
    for turn, (number, units, factor) in enumerate(learned):
        if turn == 20:
            gateway.retune(replace(gateway.settings, classes=later))
        kind = gateway.settings.classes[number % len(gateway.settings.classes)]
        gateway.load.classes.learn_units(kind, units, LEARNING_RATE)
        gateway.load.classes.learn_work(kind, 1, factor, 1.0)
        gateway.load_shedding.demand.add(
            kind.name, kind.priority_weight * units, gateway.load.classes.work[kind.name]
        )
        worth = {name: amount * (1.0 - 1.0 / DEMAND_SPAN) for name, amount in worth.items()}
        worth[kind.name] = worth.get(kind.name, 0.0) + kind.priority_weight * units
        work = work * (1.0 - 1.0 / DEMAND_SPAN) + gateway.load.classes.work[kind.name]
        for one in gateway.settings.classes:
            assert gateway.load_shedding.wait_limit(one) == pytest.approx(
                plain_limit(gateway, one, worth, work), rel=1e-9
            )
    means = gateway.load.classes.units
    assert gateway.load.classes.mean_units() == pytest.approx(sum(means.values()) / len(means))


@given(
    st.lists(st.floats(0, 9), min_size=1, max_size=20),
    st.lists(st.tuples(st.integers(0, 19), st.floats(0, 9))),
)
def test_the_highest_of_many_and_the_first_that_is_as_high(
    start: list[float], puts: list[tuple[int, float]]
) -> None:
    tree, plain = MaxTree(start), list(start)
    for place, value in puts:
        plain[place % len(plain)] = value
        tree.put(place % len(plain), value)
        assert tree.max() == max(plain)
        for least in plain:
            assert tree.first_at_least(least) == next(n for n, v in enumerate(plain) if v >= least)


@given(
    st.lists(st.floats(0, 9), min_size=1, max_size=40),
    st.integers(0, 39),
    st.lists(st.floats(0, 9)),
)
def test_numbers_put_at_many_places_at_once_are_as_those_put_one_by_one(
    start: list[float], first: int, values: list[float]
) -> None:
    first %= len(start)
    values = values[: len(start) - first]
    at_once, one_by_one = MaxTree(start), MaxTree(start)
    at_once.put_all(first, values)
    for place, value in enumerate(values, first):
        one_by_one.put(place, value)
    assert at_once._nodes == one_by_one._nodes


told_classes = st.lists(
    st.builds(
        api.RequestClass,
        name=st.sampled_from("abcdef"),
        latency_objective=st.sampled_from([0.1, 0.2, 0.5]),
        deadline=st.just(1.0),
        priority_weight=st.sampled_from([0.5, 1.0, 2.0]),
        effect=st.just("safe"),
    ),
    min_size=1,
    unique_by=lambda kind: kind.name,
)


def shown(stats: ClassStatistics, kinds: Sequence[api.RequestClass]) -> list[Any]:
    values = [stats.value(kind.name) for kind in kinds]
    aims = [stats.tightest_objective_from(value) for value in values]
    return [values, aims, stats.highest_value(), stats.least_valuable(), stats.tightest_objective()]


changes_of_a_class = st.tuples(
    st.integers(0, 5),
    st.sampled_from([0.1, 0.2, 0.3, 0.5]),
    st.sampled_from([0.5, 1.0, 2.0]),
    st.floats(0.5, 2.0),
)


@given(told_classes, told_classes, st.lists(changes_of_a_class, max_size=6))
def test_settings_changed_class_by_class_are_as_if_all_were_told_anew(
    first: list[api.RequestClass],
    last: list[api.RequestClass],
    changes: list[tuple[int, float, float, float]],
) -> None:
    told = [(first, 1.0)]
    for number, aim, worth, factor in changes:
        kinds = list(told[-1][0])
        kinds[number % len(kinds)] = replace(
            kinds[number % len(kinds)], latency_objective=aim, priority_weight=worth
        )
        told.append((kinds, factor))
    stats = ClassStatistics(first)
    for kinds, factor in [*told, (last, 1.0), (first, 1.0)]:
        stats.retune(kinds)
        plain = ClassStatistics(kinds)
        plain.units, plain.work = dict(stats.units), dict(stats.work)
        plain._place_all(kinds)
        assert shown(stats, kinds) == shown(plain, kinds)
        stats.learn_work(kinds[0], 1, factor, 1.0)


def test_one_changed_class_of_many_is_parsed_and_placed_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    grades = [
        {"name": f"c{n}", "objective": 0.5, "deadline": 1.0, "effect": "pure"} for n in range(50)
    ]
    document = {"position": 0, "balancers": 1, "grades": grades}
    before = KnownSettings(document, parse_settings(Fields("settings", document)))
    gateway = DecisionEngine(before.settings, 1)
    changed = {
        **document,
        "grades": [{**one, "objective": 0.4} if n == 7 else one for n, one in enumerate(grades)],
    }
    after = parse_settings(Fields("settings", changed), before)
    assert after == parse_settings(Fields("settings", changed))
    assert [n for n in range(50) if after.classes[n] is not before.settings.classes[n]] == [7]
    monkeypatch.setattr(ClassStatistics, "_place_all", None)  # what costs as much as all classes
    gateway.retune(after)
    assert gateway.load.classes.tightest_objective() == gateway.load.tightest_objective == 0.4


def test_messages_name_classes_that_came_with_a_change() -> None:
    one, two, three = kinds(3)
    gateway = make(1, classes=(one, two))
    gateway.retune(replace(gateway.settings, classes=(two, three)))
    assert gateway.receiver.class_of == {
        gossip.name_tag(kind.name): kind.name for kind in (two, three)
    }


def test_an_entry_that_only_looks_the_same_is_parsed_again() -> None:
    grade = {"name": "c", "objective": 1, "deadline": 1.0, "effect": "pure"}
    document = {"position": 0, "balancers": 1, "grades": [grade]}
    before = KnownSettings(document, parse_settings(Fields("settings", document)))
    wrong = {**document, "grades": [{**grade, "objective": True}]}  # which is equal to 1
    with pytest.raises(WireError, match="objective"):
        parse_settings(Fields("settings", wrong), before)


def test_a_class_that_is_listed_no_more_is_learned_of_and_counts_no_more() -> None:
    one, two = kinds(2)
    stats = ClassStatistics((one, two))
    stats.retune((two,))
    stats.learn_work(one, 1, 0.001, 1.0)  # a request of it was still out
    assert stats.highest_value() == stats.value("c1") and stats.least_valuable() == "c1"
    stats.retune((one, two))
    assert stats.highest_value() == stats.value("c0")


def test_what_was_asked_for_lately_fades() -> None:
    asked = RecentDemand(10.0)
    asked.add("a", 4.0, 2.0)
    assert asked.mean_value() == 2.0 and asked.share_of("a") == 1.0 and asked.share_of("b") == 0.0
    for _ in range(200):
        asked.add("b", 1.0, 1.0)
    assert asked.share_of("a") < 1e-6 and asked.mean_value() == pytest.approx(1.0)


class PlainTable:
    """The list as it was kept: every change a pass over all servers."""

    def __init__(self, told: api.Settings) -> None:
        self.told, self.entries, self.incarnations = (
            told,
            dict[str, api.EndpointEntry](),
            Counter[str](),
        )
        self.banned: set[str] = set()

    def apply(self, event: api.EndpointsUpdated) -> None:
        if event.kind not in ("change", "failed"):
            self.entries = {
                e.name: self.entries[e.name] for e in event.entries if e.name in self.entries
            }
        for one in event.entries:
            known = self.entries.get(one.name)
            if one.state == "gone":
                self.entries.pop(one.name, None)
            else:
                self.incarnations[one.name] += known is None or known.started != one.started
                self.entries[one.name] = one

    def cold(self, one: api.EndpointEntry, now: float) -> bool:
        return 0 < one.started > now - self.told.warm_up_time

    def width(self, one: api.EndpointEntry) -> float:
        mean = sum(e.weight for e in self.entries.values()) / len(self.entries) or 1.0
        return max(MEAN_CONCURRENCY * one.weight / mean, MEAN_CONCURRENCY / 4)

    def up(self) -> list[api.EndpointEntry]:
        return [e for e in self.entries.values() if e.state == "up" and e.name not in self.banned]


TOLD = make().settings


def table_of(*entries: api.EndpointEntry) -> EndpointTable:
    table = EndpointTable(TOLD)
    table.apply(servers("full", *entries), 100.0)
    return table


names = st.integers(0, 9).map(lambda n: f"s{n}")
entries = st.builds(
    api.EndpointEntry,
    names,
    st.sampled_from(["up", "up", "draining", "gone"]),
    st.sampled_from("ab"),
    st.integers(0, 1),
    st.sampled_from([0.1, 1.0, 2.0]),
    st.sampled_from([0.0, 50.0, 95.0, 104.0]),
)
steps = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(["full", "cached", "change", "failed"]), st.lists(entries, max_size=9)
        ),
        st.tuples(st.sampled_from(["ban", "unban", "wait"]), names),
    ),
    max_size=14,
)


@pytest.mark.parametrize("bulk", [0, 64])
def test_the_table_of_servers_is_what_a_look_at_all_servers_says(
    bulk: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`bulk` 0: each list is taken as one that changes much."""
    for module in ("endpoint_table", "endpoint_ring"):
        monkeypatch.setattr(f"hazelhollow.decisions.state.{module}.MAX_CHANGES_IN_PLACE", bulk)
    # so that names in messages collide
    monkeypatch.setattr("hazelhollow.decisions.state.endpoint.TAG_COUNT", 5)

    @hyp(max_examples=60, deadline=None)
    @given(steps)
    def check(some: list[tuple[str, Any]]) -> None:
        table, plain, now = EndpointTable(TOLD), PlainTable(TOLD), 100.0
        incarnations: dict[str, tuple[int, Endpoint]] = {}
        for what, words in some:
            if what == "wait":
                now += 3.0
            elif what in ("ban", "unban"):
                table.override(words, what == "ban", now)
                plain.banned = plain.banned | {words} if what == "ban" else plain.banned - {words}
            else:
                table.apply(servers(what, *words), now)
                plain.apply(servers(what, *words))
            same_as(table, plain, now)
            for name, server in table.endpoints.items():  # the same one until it has started anew
                incarnation, before = incarnations.get(name, (0, server))
                assert (server is before) == (
                    incarnation == plain.incarnations[name]
                ) or not incarnation
                incarnations[name] = plain.incarnations[name], server

    check()


def same_as(table: EndpointTable, plain: PlainTable, now: float) -> None:
    known = list(plain.entries.values())
    assert [s.entry for s in table.endpoints.values()] == known == [s.entry for s in table.all()]
    assert [s.concurrency for s in table.all()] == pytest.approx([plain.width(e) for e in known])
    assert {s.entry.name for s in table.all_up()} == {e.name for e in plain.up()}
    warm = [plain.width(e) for e in known if not plain.cold(e, now)]
    assert table.warm_concurrency(now) == pytest.approx(sum(warm))
    for cold in (False, True):
        ring = sorted(
            (table.endpoints[e.name].tag, e.name) for e in plain.up() if plain.cold(e, now) == cold
        )
        assert table.ring(cold, now) == ring
    for zone in "ab":
        in_zone = {e.name for e in plain.up() if e.zone == zone}
        assert {s.entry.name for s in table.all_of(("zone", zone))} == in_zone
    tagged = {server.tag: server for server in table.endpoints.values()}
    assert all(table.by_tag(tag) is server for tag, server in tagged.items())
    assert not [tag for tag in gossip._DIGITS if tag not in tagged and table.by_tag(tag)]


def test_lists_of_servers_are_kept_until_a_change_and_the_order_of_tags_beyond_it() -> None:
    table = table_of(*listed(200))
    assert table.all() is table.all() and table.all_up() is table.all_up()
    order = table.ring(False, 100.0)
    table.apply(servers("change", entry("new")), 100.0)
    assert table.ring(False, 100.0) is order and len(order) == 201


# Few of many


def test_up_to_so_many_servers_all_are_compared_where_loads_are_known_and_no_more_beyond() -> None:
    for count in (MAX_COMPARED, MAX_COMPARED + 1, 500):
        gateway = make(0, limiter_count=3)
        gateway.handle(servers("full", *listed(count)), 100.0)
        drawn = [some for _, some in gateway.selection.rounds()]
        assert all(len(some) == MAX_COMPARED for some in drawn)
        assert count > MAX_COMPARED or drawn[0] == list(gateway.endpoints.values())


@pytest.mark.parametrize("gateways", [3, LIMITERS])
def test_among_many_servers_the_one_that_is_up_is_found(gateways: int) -> None:
    gateway = make(0, limiter_count=gateways)
    gateway.handle(
        servers("full", *(replace(e, state="draining") for e in listed(500)), entry("last")), 100.0
    )
    assert [send.endpoint for send in only(ask(gateway, 100.1), api.StartAttempt)] == ["last"]
    assert gateway.unavailable_endpoints() == {f"s{n}" for n in range(500)}


@pytest.mark.parametrize("gateways", [3, LIMITERS])
def test_among_many_servers_a_repeat_finds_those_that_drop_it(gateways: int) -> None:
    order = api.RequestClass(
        "order",
        latency_objective=3.0,
        deadline=4.0,
        priority_weight=1.0,
        effect="keyed",
        dedup_scope="cell",
        dedup_window=2.0,
    )
    for turn in range(10):
        gateway = make(turn % 3, limiter_count=gateways, classes=(order,))
        gateway.handle(servers("full", *listed(500)), 100.0)
        (send,) = only(ask(gateway, 100.0, "order"), api.StartAttempt)
        (again,) = only(answer(gateway, send, 100.1, "reset"), api.StartAttempt)
        assert (
            gateway.endpoints[again.endpoint].entry.cell
            == gateway.endpoints[send.endpoint].entry.cell
        )


# What is bounded


def test_of_a_large_set_those_heard_of_come_first_and_the_rest_by_chance() -> None:
    account = Account(make().context.plans["basic"], "3", Opening(1.0, 0.0, 0.0, False))
    account.place_set(7, 500, replace(TOLD, limiter_count=600))
    account.charges.reported = {
        ("9.aa", 5): 2.0,
        ("300.bb", 5): 7.0,
        ("9.aa", 4): 1.0,
        ("3.cc", 5): 9.0,
        ("8.d", 5): 0.0,
    }
    seen = Counter[int]()
    for turn in range(60):
        told = account.busiest_members(600, 40, random.Random(turn))
        assert told[:2] == [300, 9] and len(set(told)) == len(told) == 40  # 3 is no member
        assert all(account.includes(number, 600) for number in told)
        seen.update(told[2:])
    assert len(seen) > 400
    assert account.busiest_members(600, 1, random.Random(1)) == [300]
    assert sorted(account.busiest_members(600, 500, random.Random(1))) == sorted(
        account.members(600)
    )


def test_a_server_that_has_failed_many_classes_long_ago_keeps_few_of_them() -> None:
    gateway = make(0, limiter_count=LIMITERS, classes=kinds(300))
    server = gateway.endpoints["s0"]
    for number in range(300):
        gateway.context.now = 100.0 + number
        gateway.outliers.record_failure(server, f"c{number}")
    assert len(server.outlier_records) <= MAX_RECORDS and "c299" in server.outlier_records


def test_failures_are_told_latest_first_and_forgotten() -> None:
    gateway = make(0, limiter_count=LIMITERS)
    for number, tag in enumerate("abcab"):
        gateway.context.now = 100.0 + number
        gateway.outliers.note_for_peers(tag, "k")
    assert gateway.outliers.latest_failures(2, 10.0) == [("a", "k"), ("b", "k")]
    assert (
        gateway.outliers.latest_failures(3, 3.0) == [("c", "k"), ("a", "k"), ("b", "k")][-2 - 1 :]
    )
    gateway.context.now = 200.0
    assert gateway.outliers.latest_failures(3, 3.0) == [] and not gateway.outliers.recent_failures


def test_news_that_are_too_old_cost_their_words_only_once() -> None:
    gateway = charged(50)
    waiting = {(f"gone{n}", 50): "" for n in range(3000)}
    for _ in range(7):
        assert gateway.composer.fill_datagram("head", waiting) == "head"
    assert not waiting


# Members that cannot be heard

RING = 12  # gateways
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
    """What a gateway knows of customers of these sets, after these changes to who can be heard."""
    plan = api.Plan("basic", 10.0, 40.0, excess_cost=1.0)
    gateway = make(1, limiter_count=RING, plans=(plan,), gossip_messages_per_s=60.0)
    everybody, now = tuple(range(RING)), 100.0
    gateway.handle(api.MembershipChanged(True, everybody, counts_replicated=True), now)
    for number, (first, spread) in enumerate(sets):
        gateway.customer_accounts.get(gossip.base36(number), plan, first, spread)
    for passed, lost, unused in told:
        now += passed
        present = tuple(n for n in everybody if n not in lost)
        gateway.handle(
            api.MembershipChanged(
                True,
                present,
                unreachable_but_serving=tuple(sorted(lost)),
                unused=tuple(unused),
                counts_replicated=True,
            ),
            now,
        )
    gateway.context.now = now + 0.5
    found = []
    for account in gateway.accounts.values():
        account.quota.refill(gateway.context.now)
        gateway.customer_accounts.reserve_for_unreachable(
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
            lambda first, spread, gateways: (1 << gateways) - 1,
        )
        assert quick == kept_apart(sets, told)


def test_of_many_customers_those_are_looked_at_whose_members_cannot_be_heard() -> None:
    gateway = make(1, limiter_count=LIMITERS, gossip_messages_per_s=60.0)
    gateway.handle(api.MembershipChanged(True, tuple(range(LIMITERS))), 100.0)
    for number in range(LIMITERS):
        gateway.customer_accounts.get(
            gossip.base36(number), gateway.context.plans["basic"], number, 40
        )
    looked_at = list[Any]()
    gateway.customer_accounts.reserve_for_unreachable = looked_at.append  # type: ignore[method-assign, assignment]
    gateway.handle(
        api.MembershipChanged(True, tuple(range(1, LIMITERS)), unreachable_but_serving=(0,)), 101.0
    )
    assert {account.set_start for account in looked_at} == {
        0,
        *range(LIMITERS - 39, LIMITERS),
    } and len(looked_at) == 40
