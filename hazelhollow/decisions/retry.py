"""Retries: whether a request may have another attempt, and how it ends otherwise.

The decision depends on whether an attempt may have run, which is assumed unless its status is in
`NEVER_RAN`. Once one may have run, the effect of the class determines where another may be sent:

| effect   | another attempt                                                             |
| -------- | --------------------------------------------------------------------------- |
| `safe`   | at any endpoint                                                             |
| `keyed`  | in the zone or cell (`dedup_scope`) of all that may have run, or anywhere   |
|          | (`all`), within `dedup_window` after the start of the first of them         |
| `unsafe` | nowhere                                                                     |

This holds for the id, not only for this request: what ran for an earlier request of the same id
counts as well (`state/executions.py`).

In addition, the request must not have ended, its deadline must not have passed, it must have had
fewer than `max_attempts` attempts, and none of them may be in flight. A hung attempt is cancelled
for a retry only if the effect is `safe` (`attempts.py`). The retry budget must not be exhausted
(each admitted request adds `RETRIES_PER_REQUEST`), and the attempt must be expected to end before
the latency objective and the deadline. Otherwise the request ends: with a rejection if repeating it
is harmless, else with a failure. The driver cancels an attempt that has not been sent completely
when the deduplication window ends (`StartAttempt.send_by`).
"""

from __future__ import annotations

from hazelhollow.decisions.events import AttemptEnded, Status
from hazelhollow.decisions.settings import RequestClass, Settings
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.pending_requests import Attempt, PendingRequest

# Statuses of attempts that the endpoint did not execute.
NEVER_RAN: tuple[Status, ...] = ("full", "connect_failed", "never_sent")
RETRIES_PER_REQUEST = 0.1  # low enough that retries cannot sustain an overload
# An attempt counts as hung after this multiple of its expected time, but not before
# MAX_SILENCE_SHARE of the tightest objective (outlier_detection.py).
HANGING_FACTOR = 8.0


def may_attempt(
    request: PendingRequest, endpoint: Endpoint, settings: Settings, now: float
) -> bool:
    """Whether another attempt of a request may be sent to an endpoint."""
    if (
        request.ended
        or now >= request.deadline
        or len(request.attempts) >= request.max_attempts
        or request.has_attempt_in_flight()
    ):
        return False
    effect, scope = request.request_class.effect, request.request_class.dedup_scope
    ran = request.executions()
    if not ran or effect == "safe":
        return True
    # One tick early, which is the resolution of the driver's timers.
    if effect == "unsafe" or now + settings.tick >= request.repeatable_until():
        return False
    return all(execution.is_dropped_at(endpoint.entry, scope) for execution in ran)


def may_reject(request: PendingRequest) -> bool:
    """Whether a request may be rejected, which implies that repeating it is harmless."""
    return is_always_rejectable(request.request_class) or not request.executions()


def is_always_rejectable(request_class: RequestClass) -> bool:
    """Whether repeating a request is harmless even if it may have run."""
    return request_class.effect == "safe" or (
        request_class.effect == "keyed" and request_class.dedup_scope == "all"
    )


def cost_of_retry(attempt: Attempt, event: AttemptEnded) -> float:
    """Returns the cost of a retry after an attempt, from 0 to 1, for the retry budget.

    An attempt that was aborted immediately cost the endpoints nothing, so that repeating it can't
    sustain an overload. A retry after `full` costs 1.
    """
    return 1.0 if event.status == "full" else min(event.elapsed / attempt.work, 1.0)


class RetryBudget:
    """The retry budget: each admitted request adds a fraction of a retry.

    Attributes:
        available: Retries that may still start; at capacity initially.
    """

    __slots__ = ("available",)
    CAPACITY = 1.0 / RETRIES_PER_REQUEST

    def __init__(self) -> None:
        self.available = self.CAPACITY

    def request_admitted(self) -> None:
        """Adds the fraction of a retry for an admitted request."""
        self.available = min(self.available + RETRIES_PER_REQUEST, self.CAPACITY)

    def can_spend(self, cost: float) -> bool:
        """Whether a retry of that cost may start."""
        return self.available >= cost

    def spend(self, cost: float) -> None:
        """Deducts the cost of a retry that starts."""
        self.available -= cost
