"""Parses the platform's settings document: the simulator's `hello`, or a limiter's settings file.

This is the only place where the platform's names are mapped to those of `Settings`:

| platform                                      | `Settings`                                  |
| --------------------------------------------- | ------------------------------------------- |
| `position`, `balancers`, `step`               | `limiter_id`, `limiter_count`, `tick`       |
| `grades`                                      | `classes`                                   |
| grade: `credit`, `late_share`                 | `priority_weight`, `late_weight`            |
| grade: `window`, `objective`                  | `dedup_window`, `latency_objective`         |
| grade: `effect` `pure`, `token`, `side_effect` | `effect` `safe`, `keyed`, `unsafe`         |
| `tariffs`                                     | `plans`                                     |
| tariff: `per_second`, `most_at_once`          | `rate`, `burst`                             |
| tariff: `max_out`, `over_worth`, `hard_burst` | `open_limit`, `excess_weight`, `ceiling_burst` |
| `policy_limits`: `parallel_tries`, `cancelling` | `hedging`, `cancellation`                 |
| `family_info`: `inbox_per_s`                  | `gossip_messages_per_s`                     |
| `safety`: `cold`, `cold_from`                 | `warm_up_time`, `warm_up_initial_share`     |
| `safety`: `tip_multiple`, `tip_after`         | `overload_multiple`, `overload_window`      |
| `goal`: `whole`, `worst_window`, `worst_class` | `class_weight`                             |
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from hazelhollow.decisions.settings import Plan, RequestClass, Settings
from hazelhollow.simulator.fields import Fields

_EFFECTS = {"pure": "safe", "token": "keyed", "side_effect": "unsafe"}
_DEDUP_SCOPES = {"all": "all", "zone": "zone", "cell": "cell"}
_MIN_GOAL = 1e-6  # lower bound of the weight of all classes together, which is a divisor


class KnownSettings(NamedTuple):
    """A document that was parsed earlier, and its settings."""

    document: Mapping[str, Any]
    settings: Settings


def parse_settings(params: Fields, previous: KnownSettings | None = None) -> Settings:
    """Returns the settings of a document.

    Classes that are the same objects as in the `previous` document are not parsed again.

    Raises:
        WireError: A field is missing or has a wrong type or value.
        ValueError: The settings are inconsistent or out of range.
    """
    info, limits = params.part("family_info"), params.part("policy_limits")
    safety, costs, goal = params.part("safety"), params.part("costs"), params.part("goal")
    return Settings(
        limiter_id=params.integer("position"),
        limiter_count=params.integer("balancers"),
        classes=_request_classes(params, previous),
        plans=tuple(_plan(item) for item in params.parts("tariffs")),
        zone=params.text("zone", ""),
        tick=params.number("step", 0.001),
        max_units=info.number("max_units", 1.0),
        post_paid=info.flag("post_paid"),
        max_attempts=limits.integer("max_attempts", 1),
        hedging=limits.flag("parallel_tries"),
        cancellation=limits.flag("cancelling"),
        peers=limits.flag("peers"),
        gossip_messages_per_s=info.number("inbox_per_s", 60.0),
        # This applies even if `retry_after` is false. The simulator then drops the advice, but real
        # clients can use it: `-BUSY MS` costs nothing and saves them from guessing a delay.
        max_retry_after=limits.number("max_retry_after", 0.0),
        clients_mark_retries=params.part("clients").flag("marks_retry"),
        warm_up_time=safety.number("cold", 0.0),
        warm_up_initial_share=safety.number("cold_from", 1.0),
        overload_multiple=safety.number("tip_multiple", 1.0),
        overload_window=safety.number("tip_after", 1.0),
        poll_endpoints=params.text("registry_mode", "push") == "ask",
        cross_zone_price=costs.number("cross_zone", 0.0),
        class_weight=_class_weight(goal),
    )


def _class_weight(goal: Fields) -> float:
    """Returns the goal's weight of the worst-served class relative to that of all classes."""
    all_classes = goal.number("whole", 1.0) + goal.number("worst_window", 0.0)
    return goal.number("worst_class", 0.0) / max(all_classes, _MIN_GOAL)


def _request_classes(params: Fields, previous: KnownSettings | None) -> tuple[RequestClass, ...]:
    if previous is None:
        return tuple(_request_class(item) for item in params.parts("grades"))
    parsed_items: Sequence[Any] = previous.document.get("grades") or ()
    class_by_id = dict(zip(map(id, parsed_items), previous.settings.classes, strict=True))
    items = params.items("grades")
    return tuple(
        class_by_id.get(id(item)) or _request_class(params.entry("grades", item)) for item in items
    )


def _request_class(item: Fields) -> RequestClass:
    """Parses a class.

    A keyed class has to say which endpoints drop a repeat, and for how long: each default would let
    some deployment execute a request twice. Other classes have no use for either.
    """
    effect = item.one_of("effect", _EFFECTS)
    is_keyed = effect == "keyed"
    return RequestClass(
        name=item.text("name"),
        latency_objective=item.number("objective"),
        deadline=item.number("deadline"),
        priority_weight=item.number("credit", 1.0),
        effect=effect,
        dedup_scope=item.one_of("dedup_scope", _DEDUP_SCOPES) if is_keyed else "all",
        dedup_window=item.number("window", None if is_keyed else 0.0),
        late_weight=item.number("late_share", 0.0),
    )


def _plan(item: Fields) -> Plan:
    return Plan(
        name=item.text("name"),
        rate=item.number("per_second", 0.0),
        burst=item.number("most_at_once", 0.0),
        open_limit=item.integer("max_out", 0),
        price=item.number("price", 1.0),
        excess_weight=item.number("over_worth", 0.0),
        excess_cost=item.number("excess_cost", 0.0),
        ceiling_rate=item.number("ceiling_rate", 0.0),
        ceiling_burst=item.number("hard_burst", 0.0),
    )
