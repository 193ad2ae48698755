"""Supervision: which attempts are cancelled so that another takes their place.

| rule       | applies to                           | when                                      |
| ---------- | ------------------------------------ | ----------------------------------------- |
| `hung`     | a safe request, no byte of an answer | in flight for `HANGING_FACTOR` times its  |
|            |                                      | expected time and `max_silence`, low load |
| `stalled`  | a part of a short answer             | no byte for 0.5 s (`AnswerStalled`), once |
|            |                                      | per request                               |
| `last try` | a part of any answer, not forwarded  | no byte for `max_silence`, and only       |
|            |                                      | 0.3 to 0.5 s of the request's time left   |

Once a byte of an answer is here, the age of the attempt says nothing about it: its silence counts
from the last byte. A part of an answer that pauses is given up late, since it may be all that any
endpoint has for this request so far, and a second answer may pause as well.

An attempt is cancelled only if another one can start at once: there is an endpoint, the retry
budget pays for it, and it is expected to end in time. Attempts are therefore cancelled one by one:
the next one is judged when the retry of the one before has started (`cancel_next`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from hazelhollow.decisions.actions import CancelAttempt, CancelReason
from hazelhollow.decisions.attempts import Attempts
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.events import AnswersProgressed, AnswerStalled
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.outlier_detection import EVERY_CLASS, OutlierDetection
from hazelhollow.decisions.retry import HANGING_FACTOR
from hazelhollow.decisions.state.pending_requests import Attempt, PendingRequest, PendingRequests

# The rest of a request's time in which another attempt can still be answered: a multiple of its
# expected work, within bounds.
LAST_TRY_FACTOR = 2.0
MIN_LAST_TRY_S, MAX_LAST_TRY_S = 0.3, 0.5


class OverdueAttempt(NamedTuple):
    """An attempt that is to be cancelled if another one can take its place."""

    request: PendingRequest
    number: int
    reason: CancelReason


class Supervision:
    """Cancels attempts that make no progress."""

    def __init__(
        self,
        context: DecisionContext,
        pending: PendingRequests,
        load: LoadEstimate,
        outliers: OutlierDetection,
        attempts: Attempts,
    ) -> None:
        self._context, self._pending, self._load = context, pending, load
        self._outliers, self._attempts = outliers, attempts
        self._overdue: deque[OverdueAttempt] = deque()

    def answers_progressed(self, event: AnswersProgressed) -> None:
        """Notes when the last bytes of incomplete answers arrived."""
        for progress in event.answers:
            attempt = self._pending.attempt_in_flight(progress.id, progress.attempt)
            if attempt is not None:
                attempt.progressed_at = progress.at
                endpoint = attempt.endpoint
                endpoint.last_progress_at = max(endpoint.last_progress_at, progress.at)

    def answer_stalled(self, event: AnswerStalled) -> None:
        """Cancels an attempt whose short answer has stopped half way, if another can start.

        Otherwise the rest may still arrive in time, and nothing would be gained. If the answer of
        another endpoint has stopped as well, the pause is the request's.
        """
        attempt = self._pending.attempt_in_flight(event.id, event.attempt)
        if attempt is None:
            return
        request = self._pending.by_id[event.id]
        if not any(other.has_stalled for other in request.attempts):
            attempt.has_stalled = self._cancel(
                OverdueAttempt(request, event.attempt, "stalled"), request.retry_until
            )

    def cancel_overdue(self) -> None:
        """Cancels the attempts that are overdue; called once per round."""
        self._overdue = deque([*self._hung(), *self._without_further_bytes()])
        self.cancel_next()

    def cancel_next(self) -> None:
        """Cancels the next overdue attempt whose request can have another one."""
        while self._overdue:
            overdue = self._overdue.popleft()
            if self._cancel(overdue, overdue.request.deadline):
                return

    def _hung(self) -> Iterator[OverdueAttempt]:
        """Yields attempts without an answer, at low load: in an overload all attempts wait."""
        if not self._context.settings.cancellation or not self._load.is_low():
            return
        now, max_silence = self._context.now, self._outliers.max_silence()
        for request, number in self._pending.hanging_attempts(now, HANGING_FACTOR, max_silence):
            in_time = now + self._load.mean_attempt_time < request.objective_at
            if request.request_class.effect == "safe" and in_time:
                yield OverdueAttempt(request, number, "hung")

    def _without_further_bytes(self) -> Iterator[OverdueAttempt]:
        """Yields attempts whose answers have stopped, if this is the last time for another one."""
        now, max_silence = self._context.now, self._outliers.max_silence()
        for request, number in self._pending.begun_attempts():
            last_try = LAST_TRY_FACTOR * self._load.work_of(request)
            last_try = min(max(last_try, MIN_LAST_TRY_S), MAX_LAST_TRY_S)
            is_silent = now - request.attempts[number].progressed_at > max_silence
            if is_silent and request.deadline - now <= last_try:
                yield OverdueAttempt(request, number, "last try")

    def _cancel(self, overdue: OverdueAttempt, retry_until: float) -> bool:
        """Cancels an attempt if another one can take its place at once; returns whether it did."""
        request, number, reason = overdue
        attempt = request.attempts[number]
        if request.ended or not attempt.in_flight or attempt.is_cancelled:
            return False
        if not self._attempts.can_replace(request, attempt, retry_until):
            return False
        request.retry_until = retry_until
        attempt.is_cancelled = True
        self._context.actions.append(CancelAttempt(request.event.id, number, reason))
        self._record_failure(request, attempt, reason)
        return True

    def _record_failure(
        self, request: PendingRequest, attempt: Attempt, reason: CancelReason
    ) -> None:
        """A hung attempt is a failure only if its endpoint answers nobody."""
        if reason != "hung":
            self._outliers.record_failure(attempt.endpoint, request.request_class.name)
        elif self._outliers.is_silent(attempt.endpoint):
            self._outliers.record_failure(attempt.endpoint, EVERY_CLASS)
