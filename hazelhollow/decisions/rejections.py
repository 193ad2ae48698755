"""Rejections: every reason for one, and the Retry-After that goes with it.

The driver answers a rejection by `-BUSY` and the Retry-After in milliseconds, rounded up. Each
rejection goes through `reject`, which caps it at `Settings.max_retry_after`; with that 0, its
default, every rejection is `-BUSY` alone. The reason is counted (`refusals`), neither sent nor kept
for each request.

| reason      | rule                                                      | Retry-After            |
| ----------- | --------------------------------------------------------- | ---------------------- |
| `unknown`   | `admission`: class or plan unknown, no units, no time left | 0                     |
| `away`      | `admission`: `MembershipChanged.may_admit` is off         | a period, 1 s          |
| `ceiling`   | `quota`: this limiter's part of the ceiling lacks units   | lacking units / rate   |
| `quota`     | `quota`: the quota lacks units                            | lacking units / rate   |
| `quota`     | `quota`: a plan without a rate is at its `open_limit`     | a period, 1 s          |
| `open`      | `quota`: units are there, the plan has an `open_limit`    | 0                      |
| `reserve`   | `quota`: units are there, the plan has no `open_limit`    | 0                      |
| `late`      | `load_shedding`: the next two, a retry past its objective | `overload_retry_after` |
| `pressure`  | `load_shedding`: the wait is too long for its class       | `overload_retry_after` |
| `no server` | `load_shedding`: no endpoint may get it                   | `overload_retry_after` |
| `given up`  | `attempts`: no further attempt is allowed                 | `overload_retry_after` |

For `ceiling` the rate is this limiter's part. For `quota` it is the plan's: while a debt is paid
back or a part is left to members that can't be heard, the quota refills more slowly than that.
Where units are there, either too many requests are in flight or the last units are left to peers;
the reason goes by the plan alone.
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


def reject(context: DecisionContext, request_id: str, seconds: float, reason: Reason) -> None:
    """Rejects a request; `seconds` until asking again may help, capped by the settings."""
    retry_after = min(max(seconds, 0.0), context.settings.max_retry_after)
    context.actions.append(RejectRequest(request_id, retry_after, reason))


def overload_retry_after(request_class: RequestClass) -> float:
    """Seconds for which a client is to stay away in an overload."""
    return OVERLOAD_RETRY_AFTER_SHARE * request_class.latency_objective
