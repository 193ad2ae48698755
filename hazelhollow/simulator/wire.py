"""The simulator's wire format: converts JSON lines to events and actions to JSON lines.

A line is an object with a single key, the name of the message, whose value holds the fields. This
is the only place where the names of the wire are mapped to those of events and actions:

| message in     | event                | message out     | action                 |
| -------------- | -------------------- | --------------- | ---------------------- |
| `membership`   | `EndpointsUpdated`   | `send`          | `StartAttempt`         |
| `demand`       | `RequestArrived`     | `retract`       | `CancelAttempt`        |
| `under_way`    | `AttemptStarted`     | `push_back`     | `RejectRequest`        |
| `completed`    | `AttemptEnded`       | `error`         | `FailRequest`          |
| `vanished`     | `ClientDisconnected` | `defer`         | `SetTimer`             |
| `wakeup`       | `TimerFired`         | `share`         | `SendGossip`           |
| `probe_result` | `ProbeEnded`         | `keep_informed` | `SubscribeToEndpoints` |
| `whisper`      | `GossipReceived`     | `print`         | `WriteLog`             |
| `sum`          | `SharedCountRead`    |                 |                        |

`hello` starts an instance with its settings (`settings_document.py`), `halt` ends it. The adapter
handles the clock (`frame`) and the end of a batch.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from hazelhollow.decisions import actions, events
from hazelhollow.decisions.settings import Settings
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import parse_settings

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
_ENDPOINT_STATES = {"live": "up", "quiescing": "draining", "dead": "gone"}
_LIST_KINDS = {"patch": "change", "whole": "full", "stale_copy": "cached", "broken": "failed"}
_RETRY_BIT = 2  # bit of the field `opts` with which a client marks a retry
_QUOTED_CHARACTERS = 60  # length of the quoted text of an invalid line


def parse_line(line: str) -> tuple[str, Fields]:
    """Returns the name and the fields of a message.

    Raises:
        WireError: The line is not a message.
    """
    try:
        value = orjson.loads(line)
    except ValueError:
        raise WireError(f"line is not JSON: {line.strip()[:_QUOTED_CHARACTERS]}") from None
    if not isinstance(value, dict) or len(value) != 1:
        raise WireError("line is not an object with a single key")
    ((name, fields),) = value.items()
    return name, Fields(name, fields)


def parse_hello(fields: Fields) -> tuple[Settings, int]:
    """Returns the settings and the seed of an instance that starts."""
    return parse_settings(fields.part("params", needed=True)), fields.integer("rng_seed")


def parse_event(name: str, fields: Fields) -> events.Event:
    """Returns the event of a message to a running instance.

    Raises:
        WireError: The message is unknown, or a field is missing or invalid.
    """
    if name not in _EVENTS:
        raise WireError(f"{name}: unknown event")
    return _EVENTS[name](fields)


def action_line(instance: int, action: actions.Action) -> str:
    """Returns the line for an action of an instance."""
    name, fields = _ACTIONS[type(action)]
    return _line(name, {"who": instance, **fields(action)})


def fault_line(instance: int, text: str) -> str:
    """Returns the line that reports a fault of an instance."""
    return _line("give_in", {"who": instance, "msg": text})


def end_line() -> str:
    """Returns the line that ends the reply to a batch."""
    return _line("ack", {})


def _endpoints_updated(fields: Fields) -> events.EndpointsUpdated:
    entries = tuple(
        events.EndpointEntry(
            name=item.text("server"),
            state=item.one_of("stage_state", _ENDPOINT_STATES),
            zone=item.text("zone", ""),
            cell=item.integer("cluster", events.unknown_cell(item.text("server"))),
            weight=item.number("weight", 1.0),
            started=item.number("up_since", 0.0),
        )
        for item in fields.parts("lines")
    )
    return events.EndpointsUpdated(fields.one_of("kind", _LIST_KINDS), entries)


def _request_arrived(fields: Fields) -> events.RequestArrived:
    return events.RequestArrived(
        id=fields.text("tid"),
        class_name=fields.text("lane"),
        plan_name=fields.text("terms", ""),
        customer=fields.text("holder", ""),
        units=fields.number("quota_units", 0.0),
        time_left=fields.number("budget"),
        set_start=fields.integer("set_from", 0),
        set_size=fields.integer("entry_points", 1),
        is_retry=bool(fields.integer("opts", 0) & _RETRY_BIT),
    )


def _attempt_started(fields: Fields) -> events.AttemptStarted:
    return events.AttemptStarted(fields.text("tid"), fields.integer("go", 0), fields.text("server"))


def _attempt_ended(fields: Fields) -> events.AttemptEnded:
    return events.AttemptEnded(
        id=fields.text("tid"),
        attempt=fields.integer("go", 0),
        endpoint=fields.text("server"),
        status=fields.one_of("status", _STATUSES),
        elapsed=fields.number("time_taken", 0.0),
        final=fields.flag("ended"),
        true_units=fields.number("settled", 0.0),
        report=fields.report(),
    )


def _client_disconnected(fields: Fields) -> events.ClientDisconnected:
    return events.ClientDisconnected(fields.text("tid"))


def _timer_fired(fields: Fields) -> events.TimerFired:
    return events.TimerFired(fields.text("token"))


def _probe_ended(fields: Fields) -> events.ProbeEnded:
    return events.ProbeEnded(
        fields.text("server"),
        fields.one_of("status", _STATUSES),
        fields.number("time_taken", 0.0),
        fields.report(),
    )


def _gossip_received(fields: Fields) -> events.GossipReceived:
    return events.GossipReceived(fields.integer("sender", 0), fields.text("payload", ""))


def _shared_count_read(fields: Fields) -> events.SharedCountRead:
    return events.SharedCountRead(
        fields.text("counter_key"),
        fields.one_of("status", _STATUSES),
        fields.number("level", 0.0),
    )


_EVENTS: dict[str, Callable[[Fields], events.Event]] = {
    "membership": _endpoints_updated,
    "demand": _request_arrived,
    "under_way": _attempt_started,
    "completed": _attempt_ended,
    "vanished": _client_disconnected,
    "wakeup": _timer_fired,
    "probe_result": _probe_ended,
    "whisper": _gossip_received,
    "sum": _shared_count_read,
}

_ACTIONS: dict[type, tuple[str, Callable[[Any], dict[str, Any]]]] = {
    actions.StartAttempt: (
        "send",
        lambda a: {"tid": a.id, "server": a.endpoint, "limit": a.timeout},
    ),
    actions.CancelAttempt: ("retract", lambda a: {"tid": a.id, "go": a.attempt}),
    actions.RejectRequest: ("push_back", lambda a: {"tid": a.id, "hold_off": a.retry_after}),
    actions.FailRequest: ("error", lambda a: {"tid": a.id}),
    actions.SetTimer: ("defer", lambda a: {"delay": a.delay, "token": a.name}),
    actions.SendGossip: ("share", lambda a: {"whom": a.limiter_id, "payload": a.text}),
    actions.SubscribeToEndpoints: ("keep_informed", lambda _: {"active": True}),
    actions.WriteLog: ("print", lambda a: {"msg": a.text}),
}


def _line(name: str, fields: dict[str, Any]) -> str:
    return orjson.dumps({name: fields}).decode() + "\n"
