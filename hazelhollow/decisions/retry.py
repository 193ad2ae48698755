"""Retries: whether a request may have another attempt, and what ends it.

What an attempt may have done decides. It may have run unless its status is in `NEVER_RAN`. Once one
may have run, the effect of the class says where another may go:

| effect   | another attempt                                                             |
| -------- | --------------------------------------------------------------------------- |
| `safe`   | at any endpoint                                                             |
| `keyed`  | in the zone or cell (`dedup_scope`) of all that may have run, or anywhere   |
|          | (`all`); before `dedup_window` after the start of the first of them is over |
| `unsafe` | never                                                                       |

Besides, the request must not have ended, its deadline must not have passed, `max_attempts` must not
be used up, and none of its attempts may be in flight; one that hangs is cancelled for a retry only
where the effect is `safe` (`attempts.py`). The retry budget must have room (`RETRIES_PER_REQUEST`
for each admitted request), and the attempt must be expected to end before the latency objective and
the deadline. Else the request ends: by a rejection where asking again is harmless, else by a
failure. The driver withdraws an attempt of which not all was sent when the
window ends (`StartAttempt.send_by`).
"""

from __future__ import annotations

from hazelhollow.decisions.events import AttemptEnded, Status
from hazelhollow.decisions.settings import Settings
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.pending_requests import Attempt, PendingRequest

# How an attempt ends of which the endpoint did nothing.
NEVER_RAN: tuple[Status, ...] = ("full", "connect_failed", "never_sent")
RETRIES_PER_REQUEST = 0.1  # retries cannot feed an overload
# Times an attempt's expected time after which it hangs, but not before MAX_SILENCE_SHARE of the
# tightest objective (outlier_detection.py).
HANGING_FACTOR = 8.0


def may_attempt(
    request: PendingRequest, endpoint: Endpoint, settings: Settings, now: float
) -> bool:
    """Whether a further attempt of a request may go to an endpoint."""
    if (
        request.ended
        or now >= request.deadline
        or len(request.attempts) >= request.max_attempts
        or request.has_attempt_in_flight()
    ):
        return False
    effect, scope = request.request_class.effect, request.request_class.dedup_scope
    ran = [attempt for attempt in request.attempts if attempt.may_have_run]
    if not ran or effect == "safe":
        return True
    # One tick early: the driver's timers are no finer.
    if effect == "unsafe" or now + settings.tick >= request.repeatable_until():
        return False
    return scope == "all" or all(
        getattr(attempt.endpoint.entry, scope) == getattr(endpoint.entry, scope) for attempt in ran
    )


def may_reject(request: PendingRequest) -> bool:
    """Whether a request may end by a rejection, which promises that asking again is harmless."""
    request_class = request.request_class
    harmless = request_class.effect == "safe" or (
        request_class.effect == "keyed" and request_class.dedup_scope == "all"
    )
    return harmless or not any(attempt.may_have_run for attempt in request.attempts)


def cost_of_retry(attempt: Attempt, event: AttemptEnded) -> float:
    """What a retry after that attempt takes off the retry budget, from 0 to 1.

    What broke off at once cost the endpoints nothing, so that another attempt can't feed an
    overload. An endpoint that is full costs a whole retry.
    """
    return 1.0 if event.status == "full" else min(event.elapsed / attempt.work, 1.0)


class RetryBudget:
    """Retries that may still start: each admitted request adds a part of one.

    Attributes:
        available: Retries; full at the start.
    """

    __slots__ = ("available",)
    CAPACITY = 1.0 / RETRIES_PER_REQUEST

    def __init__(self) -> None:
        self.available = self.CAPACITY

    def request_admitted(self) -> None:
        """Adds a request's part."""
        self.available = min(self.available + RETRIES_PER_REQUEST, self.CAPACITY)

    def can_spend(self, cost: float) -> bool:
        """Whether a retry of that cost may start."""
        return self.available >= cost

    def spend(self, cost: float) -> None:
        """A retry of that cost starts."""
        self.available -= cost
