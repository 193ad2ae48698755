"""Shared helpers of the decision tests: an engine in a fleet of three, and events for it."""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable, Sequence
from types import FrameType
from typing import Any, TypeVar

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.state.endpoint_table import EndpointTable

LOOKUP = api.RequestClass(
    "lookup", latency_objective=1.0, deadline=4.0, priority_weight=1.0, effect="safe"
)
ISSUE = api.RequestClass(
    "issue", latency_objective=2.0, deadline=6.0, priority_weight=1.0, effect="unsafe"
)
HOLD = api.RequestClass(
    "hold",
    latency_objective=1.0,
    deadline=4.0,
    priority_weight=1.0,
    effect="keyed",
    dedup_scope="zone",
    dedup_window=2.0,
)
BASIC = api.Plan("basic", rate=4.0, burst=12.0, excess_cost=1.0)
HARD = api.Plan("hard", rate=4.0, burst=12.0, excess_cost=1.0, ceiling_rate=8.0, ceiling_burst=24.0)


def make_engine(own_id: int = 0, **changes: Any) -> DecisionEngine:
    values: dict[str, object] = dict(
        limiter_id=own_id,
        limiter_count=3,
        classes=(LOOKUP, ISSUE, HOLD),
        plans=(BASIC, HARD),
        zone="a",
        max_units=4.0,
        max_attempts=3,
        peers=True,
        gossip_messages_per_s=100.0,
        max_retry_after=2.0,
        warm_up_time=10.0,
        warm_up_initial_share=0.2,
        overload_multiple=4.0,
        overload_window=2.0,
    )
    engine = DecisionEngine(api.Settings(**{**values, **changes}), seed=7)
    engine.handle(endpoint_list("cached", *(entry(f"s{i}", "ab"[i % 2]) for i in range(4))), 0.0)
    return engine


def entry(name: str, zone: str = "a", state: str = "up", started: float = 0.0) -> api.EndpointEntry:
    return api.EndpointEntry(name, state, zone, 0, 1.0, started)  # type: ignore[arg-type]


def endpoint_list(kind: str, *entries: api.EndpointEntry) -> api.EndpointsUpdated:
    return api.EndpointsUpdated(kind, entries)  # type: ignore[arg-type]


_ids = itertools.count()


T = TypeVar("T")


def ask(
    engine: DecisionEngine, now: float, kind: str = "lookup", **changes: Any
) -> list[api.Action]:
    values: dict[str, object] = dict(
        id=f"r{next(_ids)}",
        class_name=kind,
        plan_name="basic",
        customer="c",
        units=1.0,
        time_left=4.0,
        set_start=0,
        set_size=3,
    )
    return engine.handle(api.RequestArrived(**{**values, **changes}), now)


def actions_of(actions: Sequence[api.Action], kind: type[T]) -> list[T]:
    return [a for a in actions if isinstance(a, kind)]


def answer(
    engine: DecisionEngine, send: api.StartAttempt, now: float, status: str = "ok", **more: object
) -> list[api.Action]:
    final = status == "ok"
    event = api.AttemptEnded(send.id, 0, send.endpoint, status, 0.1, final=final, **more)  # type: ignore[arg-type]
    return engine.handle(event, now)


def count_admitted(engine: DecisionEngine, now: float, requests: int, **changes: Any) -> int:
    """Sends `requests` requests and returns how many are admitted; each is answered at once."""
    sent = 0
    for _ in range(requests):
        for send in actions_of(ask(engine, now, **changes), api.StartAttempt):
            answer(engine, send, now)
            sent += 1
    return sent


SERVERS, CLASSES, CUSTOMERS, LIMITERS = 14_000, 11_000, 73_000, 930
MARGIN = 1.5


def bytecodes(call: Callable[[], object]) -> int:
    """Returns the number of bytecodes that a call executes."""
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


def endpoint_entries(count: int, prefix: str = "s") -> list[api.EndpointEntry]:
    return [
        api.EndpointEntry(f"{prefix}{n}", "up", "abc"[n % 3], n // 4, 1.0) for n in range(count)
    ]


def request_classes(count: int) -> tuple[api.RequestClass, ...]:
    return tuple(
        api.RequestClass(f"c{n}", 1.0 + n % 7 / 10, 4.0, 1.0 + n % 3, "safe") for n in range(count)
    )


def engine_of_size(
    endpoints: int, classes: int, customers: int, limiters: int = LIMITERS
) -> DecisionEngine:
    """Returns an engine with `customers` open accounts, each of a set of three limiters."""
    engine = make_engine(
        1, limiter_count=limiters, classes=request_classes(classes), gossip_messages_per_s=60.0
    )
    engine.handle(endpoint_list("full", *endpoint_entries(endpoints)), 100.0)
    for number in range(customers):
        engine.customer_accounts.get(
            gossip.base36(number), engine.context.plans["basic"], number % limiters, 3
        )
    return engine


def engine_with_charges(customers: int, limiters: int = 3) -> DecisionEngine:
    """Returns an engine that charged each of `customers` customers once within 1.5 seconds."""
    engine = make_engine(0, limiter_count=limiters, gossip_messages_per_s=60.0)
    engine.handle(api.TimerFired("beat"), 100.0)
    engine.gossip.messages.level = 0.0
    for number in range(customers):
        now = 100.0 + 1.5 * number / customers
        account = engine.customer_accounts.get(
            gossip.base36(number), engine.context.plans["basic"], 0, 3
        )
        engine.context.now, engine.context.period = now, int(now)
        engine.quota.record_charge(account, 1.0, int(now))
    return engine


ENGINE_SETTINGS = make_engine().settings


def table_of(*entries: api.EndpointEntry) -> EndpointTable:
    table = EndpointTable(ENGINE_SETTINGS)
    table.apply(endpoint_list("full", *entries), 100.0)
    return table


CHEAP = api.RequestClass(
    "cheap", latency_objective=1.5, deadline=6.0, priority_weight=2.0, effect="safe"
)
DEAR = api.RequestClass(
    "dear", latency_objective=1.0, deadline=4.0, priority_weight=6.0, effect="unsafe"
)


def customers_with_equal_keys(engine: DecisionEngine) -> tuple[str, str]:
    """Returns two customers with the same key in messages."""
    seen: dict[str, str] = {}
    for number in range(200_000):
        customer = f"{number:016x}"
        other = seen.setdefault(engine.customer_accounts.key_of_customer(customer), customer)
        if other != customer:
            return other, customer
    raise AssertionError("no two of 200,000 customers have the same key")
