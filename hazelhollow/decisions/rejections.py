"""Rejections: every reason for one, and the wait that goes with it.

The driver answers a rejection by `-BUSY` and the wait in milliseconds. Each rejection goes through
`reject`, which holds the wait to `max_retry_after`.

| reason      | rule                                                      | wait                |
| ----------- | --------------------------------------------------------- | ------------------- |
| `unknown`   | `admission`: class or plan unknown, or nothing asked for  | 0                   |
| `away`      | `admission`: membership forbids new work                  | a period            |
| `ceiling`   | `quota`: this limiter's part of the ceiling is used up    | until it is back    |
| `quota`     | `quota`: the quota lacks units                            | until they are back |
| `open`      | `quota`: too many requests are in flight                  | 0                   |
| `reserve`   | `quota`: the quota's last units are left to peers         | 0                   |
| `late`      | `load_shedding`: a retry past its objective would wait    | `overload_wait`     |
| `pressure`  | `load_shedding`: the wait is too long for its class       | `overload_wait`     |
| `no server` | `load_shedding`: no endpoint may get it                   | `overload_wait`     |
| `given up`  | `attempts`: no further attempt is allowed                 | `overload_wait`     |
"""

from __future__ import annotations

from typing import Literal

from hazelhollow.decisions.actions import RejectRequest
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.settings import RequestClass

# The names under which rejections are counted; operators' pages name them.
Reason = Literal[
    "unknown",
    "away",
    "ceiling",
    "quota",
    "open",
    "reserve",
    "late",
    "pressure",
    "no server",
    "given up",
]
# Of the latency objective: long enough to relieve an overload, short enough to be back in time.
OVERLOAD_RETRY_AFTER_SHARE = 0.25


def reject(context: DecisionContext, request_id: str, wait: float, reason: Reason) -> None:
    """Rejects a request; `wait`: seconds until asking again may help, which bounds hold."""
    retry_after = min(max(wait, 0.0), context.settings.max_retry_after)
    context.actions.append(RejectRequest(request_id, retry_after, reason))


def overload_wait(request_class: RequestClass) -> float:
    """Seconds for which a client is to stay away in an overload."""
    return OVERLOAD_RETRY_AFTER_SHARE * request_class.latency_objective
