"""The simulator's wire: JSON lines to events, actions to JSON lines. Translation only."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import orjson

from hazelhollow.decisions import interface as api

_EFFECTS = {"pure": "safe", "token": "keyed", "side_effect": "unsafe"}
_STATUSES = {
    "success": "ok",
    "failure": "error",
    "overloaded": "full",
    "timed_out": "timeout",
    "unreachable": "connect_failed",
    "broken": "reset",
    "withdrawn": "cancelled",
    "void": "never_sent",
}
_STATES = {"live": "up", "quiescing": "draining", "dead": "gone"}
_LISTS = {"patch": "change", "whole": "full", "stale_copy": "cached", "broken": "failed"}
_REPORTS = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "busy",
    "svc_ms": "latency_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
}
_REPORTED = {*_REPORTS, *_REPORTS.values()}
_FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")  # so neither `nan`, `inf` nor below nothing
_MOST_REPORT = 256  # bytes
_REPEAT = 2  # the bit of `opts` that marks a client's repeat


class WireError(Exception):
    """A line that is not of this wire; its text names the message and the field."""


class Fields:
    """A message's fields, read with the message named in every complaint."""

    def __init__(self, name: str, values: Any) -> None:
        if not isinstance(values, dict):
            raise WireError(f"{name}: the fields are not an object")
        self.name = name
        self._values = values

    def _checked(self, key: str, kind: type | tuple[type, ...], default: Any) -> Any:
        value = self._values.get(key)
        if value is None:
            if default is None:
                raise WireError(f"{self.name}: field '{key}' is missing")
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise WireError(f"{self.name}: field '{key}' has a wrong type")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        return str(self._checked(key, str, default))

    def number(self, key: str, default: float | None = None) -> float:
        return float(self._checked(key, (int, float), default))

    def integer(self, key: str, default: int | None = None) -> int:
        return int(self._checked(key, (int, float), default))

    def flag(self, key: str) -> bool:
        return bool(self._checked(key, bool, False))

    def one_of(self, key: str, table: Mapping[str, str]) -> Any:
        word = self.text(key)
        if word not in table:
            raise WireError(f"{self.name}: field '{key}' is '{word}', which is unknown")
        return table[word]

    def part(self, key: str, needed: bool = False) -> Fields:
        return Fields(f"{self.name}.{key}", self._checked(key, dict, None if needed else {}))

    def parts(self, key: str) -> list[Fields]:
        return [self.entry(key, item) for item in self.items(key)]

    def items(self, key: str) -> list[Any]:
        """A list of anything."""
        found: list[Any] = self._checked(key, list, [])
        return found

    def entry(self, key: str, item: Any) -> Fields:
        """An entry of the list of that name."""
        return Fields(f"{self.name}.{key}", item)

    def texts(self, key: str) -> list[str]:
        items = self._checked(key, list, [])
        if not all(isinstance(item, str) for item in items):
            raise WireError(f"{self.name}: field '{key}' has a wrong type")
        return list(items)

    def raw(self, key: str) -> dict[str, Any] | None:
        """An object whose form is another module's concern."""
        value: dict[str, Any] = self._checked(key, dict, {})
        return value or None

    def report(self) -> dict[str, float]:
        values = self._checked("metrics", dict, {})
        return {
            _REPORTS[k]: float(v)
            for k, v in values.items()
            if k in _REPORTS and type(v) in (int, float)
        }


def read_report(text: bytes) -> dict[str, float]:
    """A load report as a real backend host words it: `inflight=7,queue=2`.

    What cannot be read is left out, and so are figures on use, which an error line may hold before
    it.
    """
    report = {}
    for item in text.decode("ascii", "replace").split(",") if len(text) <= _MOST_REPORT else ():
        name, _, value = item.partition("=")
        if name in _REPORTED and _FIGURE.fullmatch(value):
            report[_REPORTS.get(name, name)] = float(value)
    return report


def read_cost(text: bytes, most: float) -> float:
    """The true units of a request in the figures on use, `used=37,cost=4`; 0 where they name none.

    What cannot be true is a complaint: a figure that is believed is taken from a budget or given
    back to it.
    """
    if len(text) > _MOST_REPORT:
        raise WireError(f"figures on use of {len(text)} bytes")
    items = (
        [item.partition("=") for item in text.decode("ascii", "replace").split(",")] if text else []
    )
    costs = [value for name, _, value in items if name == "cost"]
    if not costs:
        return 0.0
    if len(costs) > 1 or not _FIGURE.fullmatch(costs[0]) or not 0 < float(costs[0]) <= most:
        raise WireError(f"figures on use that cannot be: {text[:60]!r}")
    return float(costs[0])


def parse_line(line: str) -> tuple[str, Fields]:
    """The name and the fields of one message."""
    try:
        value = orjson.loads(line)
    except ValueError:
        raise WireError(f"line is not JSON: {line.strip()[:60]}") from None
    if not isinstance(value, dict) or len(value) != 1:
        raise WireError("line is not an object with a single key")
    ((name, fields),) = value.items()
    return name, Fields(name, fields)


def parse_hello(fields: Fields) -> tuple[api.Settings, int]:
    """A start: the settings and the seed."""
    return parse_settings(fields.part("params", needed=True)), fields.integer("rng_seed")


class KnownSettings(NamedTuple):
    """A document that was parsed before, and its settings."""

    document: Mapping[str, Any]
    settings: api.Settings


def parse_settings(params: Fields, before: KnownSettings | None = None) -> api.Settings:
    """The settings, which a real limiter's configuration holds in the same form.

    Classes that are the same objects as in the document `before` are not parsed again.
    """
    info, limits = params.part("family_info"), params.part("policy_limits")
    safety, costs, goal = params.part("safety"), params.part("costs"), params.part("goal")
    all_worth = max(goal.number("whole", 1.0) + goal.number("worst_window", 0.0), 1e-6)
    return api.Settings(
        limiter_id=params.integer("position"),
        limiter_count=params.integer("balancers"),
        classes=_request_classes(params, before),
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
        # Also where `retry_after` is false: the simulator drops the advice then, but `-BUSY MS`
        # costs nothing and a client that reads it need not guess when to come back.
        max_retry_after=limits.number("max_retry_after", 0.0),
        clients_mark_retries=params.part("clients").flag("marks_retry"),
        warm_up_time=safety.number("cold", 0.0),
        warm_up_initial_share=safety.number("cold_from", 1.0),
        overload_multiple=safety.number("tip_multiple", 1.0),
        overload_window=safety.number("tip_after", 1.0),
        poll_endpoints=params.text("registry_mode", "push") == "ask",
        cross_zone_price=costs.number("cross_zone", 0.0),
        class_weight=goal.number("worst_class", 0.0) / all_worth,
    )


def _request_classes(params: Fields, before: KnownSettings | None) -> tuple[api.RequestClass, ...]:
    if before is None:
        return tuple(_request_class(item) for item in params.parts("grades"))
    told: Sequence[Any] = before.document.get("grades") or ()
    known = dict(zip(map(id, told), before.settings.classes, strict=True))
    items = params.items("grades")
    return tuple(
        known.get(id(item)) or _request_class(params.entry("grades", item)) for item in items
    )


def _request_class(item: Fields) -> api.RequestClass:
    return api.RequestClass(
        name=item.text("name"),
        latency_objective=item.number("objective"),
        deadline=item.number("deadline"),
        priority_weight=item.number("credit", 1.0),
        effect=item.one_of("effect", _EFFECTS),
        dedup_scope=item.text("dedup_scope", "all"),  # type: ignore[arg-type]
        dedup_window=item.number("window", 0.0),
        late_weight=item.number("late_share", 0.0),
    )


def _plan(item: Fields) -> api.Plan:
    return api.Plan(
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


def _servers(f: Fields) -> api.EndpointsUpdated:
    entries = tuple(
        api.EndpointEntry(
            name=item.text("server"),
            state=item.one_of("stage_state", _STATES),
            zone=item.text("zone", ""),
            cell=item.integer("cluster", 0),
            weight=item.number("weight", 1.0),
            started=item.number("up_since", 0.0),
        )
        for item in f.parts("lines")
    )
    return api.EndpointsUpdated(f.one_of("kind", _LISTS), entries)


def _request(f: Fields) -> api.RequestArrived:
    return api.RequestArrived(
        id=f.text("tid"),
        class_name=f.text("lane"),
        plan_name=f.text("terms", ""),
        customer=f.text("holder", ""),
        units=f.number("quota_units", 0.0),
        time_left=f.number("budget"),
        set_start=f.integer("set_from", 0),
        set_size=f.integer("entry_points", 1),
        is_retry=bool(f.integer("opts", 0) & _REPEAT),
    )


def _outcome(f: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        id=f.text("tid"),
        attempt=f.integer("go", 0),
        endpoint=f.text("server"),
        status=f.one_of("status", _STATUSES),
        elapsed=f.number("time_taken", 0.0),
        final=f.flag("ended"),
        true_units=f.number("settled", 0.0),
        report=f.report(),
    )


def _probed(f: Fields) -> api.ProbeEnded:
    return api.ProbeEnded(
        f.text("server"), f.one_of("status", _STATUSES), f.number("time_taken", 0.0), f.report()
    )


_EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "membership": _servers,
    "demand": _request,
    "under_way": lambda f: api.AttemptStarted(f.text("tid"), f.integer("go", 0), f.text("server")),
    "completed": _outcome,
    "vanished": lambda f: api.ClientDisconnected(f.text("tid")),
    "wakeup": lambda f: api.TimerFired(f.text("token")),
    "probe_result": _probed,
    "whisper": lambda f: api.GossipReceived(f.integer("sender", 0), f.text("payload", "")),
    "sum": lambda f: api.SharedCountRead(
        f.text("counter_key"), f.one_of("status", _STATUSES), f.number("level", 0.0)
    ),
}


def parse_event(name: str, fields: Fields) -> api.Event:
    """The event of one message that is for a running instance."""
    if name not in _EVENTS:
        raise WireError(f"{name}: unknown event")
    return _EVENTS[name](fields)


_ACTIONS: dict[type, tuple[str, Callable[[Any], dict[str, Any]]]] = {
    api.StartAttempt: ("send", lambda a: {"tid": a.id, "server": a.endpoint, "limit": a.timeout}),
    api.CancelAttempt: ("retract", lambda a: {"tid": a.id, "go": a.attempt}),
    api.RejectRequest: ("push_back", lambda a: {"tid": a.id, "hold_off": a.retry_after}),
    api.FailRequest: ("error", lambda a: {"tid": a.id}),
    api.SetTimer: ("defer", lambda a: {"delay": a.delay, "token": a.name}),
    api.SendGossip: ("share", lambda a: {"whom": a.limiter_id, "payload": a.text}),
    api.SubscribeToEndpoints: ("keep_informed", lambda a: {"active": True}),
    api.WriteLog: ("print", lambda a: {"msg": a.text}),
}


def action_line(instance: int, action: api.Action) -> str:
    name, fields = _ACTIONS[type(action)]
    return _line(name, {"who": instance, **fields(action)})


def fault_line(instance: int, text: str) -> str:
    return _line("give_in", {"who": instance, "msg": text})


def end_line() -> str:
    return _line("ack", {})


def _line(name: str, fields: dict[str, Any]) -> str:
    return orjson.dumps({name: fields}).decode() + "\n"
