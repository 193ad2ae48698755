"""Rejections: all reasons for them, and the Retry-After of each.

The driver answers a rejection with `-BUSY` and the Retry-After in milliseconds, rounded up. All
rejections go through `reject`, which caps the Retry-After at `Settings.max_retry_after`; if that is
0, the default, the answer is `-BUSY` alone. The reason is only counted (`refusals`): it is neither
sent nor stored for each request.

| reason      | rule                                                      | Retry-After            |
| ----------- | --------------------------------------------------------- | ---------------------- |
| `unknown`   | `admission`: class or plan unknown, no units, no time left | 0                     |
| `away`      | `admission`: `MembershipChanged.may_admit` is off         | a period, 1 s          |
| `ceiling`   | `quota`: this limiter's share of the ceiling lacks units  | missing units / rate   |
| `quota`     | `quota`: the quota lacks units                            | missing units / rate   |
| `quota`     | `quota`: a plan without a rate is at its `open_limit`     | a period, 1 s          |
| `open`      | `quota`: enough units, the plan has an `open_limit`       | 0                      |
| `reserve`   | `quota`: enough units, the plan has no `open_limit`       | 0                      |
| `late`      | `load_shedding`: as the next two, for a late retry        | `overload_retry_after` |
| `pressure`  | `load_shedding`: the wait is too long for its class       | `overload_retry_after` |
| `no server` | `load_shedding`: no endpoint may get it                   | `overload_retry_after` |
| `given up`  | `attempts`: no further attempt is allowed                 | `overload_retry_after` |

For `ceiling` the rate is this limiter's share. For `quota` it is the plan's rate, although the
quota refills more slowly while a debt is repaid or a share is reserved for unreachable members. If
there are enough units, either too many requests are in flight or the last units are reserved for
peers; the reason is chosen by the plan alone. A late retry is one past its latency objective.
"""

from __future__ import annotations

from typing import Literal

from hazelhollow.decisions.actions import RejectRequest, RetryDenial
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.settings import RequestClass

# The names under which rejections are counted; the operators' documentation lists them.
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
# Of the latency objective: long enough to relieve an overload, short enough for the retry to be in
# time.
OVERLOAD_RETRY_AFTER_SHARE = 0.25


def reject(
    context: DecisionContext,
    request_id: str,
    seconds: float,
    reason: Reason,
    retry_denial: RetryDenial | None = None,
) -> None:
    """Rejects a request with a Retry-After of `seconds`, capped by the settings."""
    retry_after = min(max(seconds, 0.0), context.settings.max_retry_after)
    context.actions.append(RejectRequest(request_id, retry_after, reason, retry_denial))


def overload_retry_after(request_class: RequestClass) -> float:
    """Returns the Retry-After in an overload, in seconds."""
    return OVERLOAD_RETRY_AFTER_SHARE * request_class.latency_objective
