"""How loaded the endpoints are, learned from how long attempts take.

The queue wait is how long answers have waited lately beyond their work. It is learned in equal
steps by whether each answer waited longer than it: so it settles at the median, and a few slow or
failing endpoints are not taken for an overload.
"""

from __future__ import annotations

from collections.abc import Sequence

from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.settings import Settings
from hazelhollow.decisions.state.class_statistics import INITIAL_WORK_DIVISOR, ClassStatistics
from hazelhollow.decisions.state.pending_requests import Attempt, PendingRequest

LEARNING_RATE = 0.1  # weight of the newest sample in a learned mean
# An unexpected time is put down to the endpoint, the class and the size in these parts of a step.
ENDPOINT_STEP_DIVISOR = 2
CLASS_STEP_DIVISOR = 5
SIZE_STEP_DIVISOR = 20
# Shares of the tightest objective: a queue wait beyond the first is an overload, one below the
# second is nothing that an overload explains.
OVERLOAD_WAIT_SHARE = 0.35
CALM_WAIT_SHARE = 0.1
WAIT_HALF_LIFE_S = 2.0 * PERIOD_S  # of the queue wait, while no answer tells of it


class LoadEstimate:
    """What this limiter has learned of the work of requests and the load of endpoints.

    Attributes:
        classes: Units, work and value of each class.
        tightest_objective: The shortest latency objective of all classes, in seconds.
        mean_attempt_time: Seconds that an attempt is in flight.
        queue_wait: Seconds that answers waited lately.
    """

    __slots__ = ("_context", "classes", "tightest_objective", "mean_attempt_time", "queue_wait")

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.classes = ClassStatistics(context.settings.classes)
        self.tightest_objective = self.classes.tightest_objective()
        self.mean_attempt_time = self.tightest_objective / INITIAL_WORK_DIVISOR
        self.queue_wait = 0.0

    def reconfigure(self, settings: Settings) -> None:
        """Takes over other classes; what was learned of those that stay is kept."""
        self.classes.reconfigure(settings.classes)
        self.tightest_objective = self.classes.tightest_objective()

    def work_of(self, request: PendingRequest) -> float:
        """Seconds of work that a request is expected to be."""
        return self.classes.work_of(request.request_class.name, request.event.units, request.size)

    def is_overloaded(self) -> bool:
        """Answers wait so long that lateness says nothing of a single endpoint."""
        return not self.queue_wait < OVERLOAD_WAIT_SHARE * self.tightest_objective

    def is_calm(self) -> bool:
        """Answers hardly wait."""
        return self.queue_wait < CALM_WAIT_SHARE * self.tightest_objective

    def learn_answer(self, attempt: Attempt, request: PendingRequest, elapsed: float) -> None:
        """An attempt was answered well after `elapsed` seconds.

        Steps up are bounded: a few costly requests must not pass for a slow endpoint; many slow
        answers must.
        """
        self.mean_attempt_time += LEARNING_RATE * (elapsed - self.mean_attempt_time)
        expected = max(attempt.expected_time(), self._context.settings.tick)
        step = LEARNING_RATE * min(elapsed / expected - 1, 1.0)
        by_class, by_size = 1 + step / CLASS_STEP_DIVISOR, 1 + step / SIZE_STEP_DIVISOR
        self.classes.learn_work(request.request_class, request.size, by_class, by_size)
        attempt.endpoint.work_factor *= 1 + step / ENDPOINT_STEP_DIVISOR

    def learn_wait(self, waited: bool) -> None:
        """An attempt ended that waited longer than `queue_wait`, or did not."""
        step = LEARNING_RATE * self.tightest_objective * (1 if waited else -1)
        self.queue_wait = max(0.0, self.queue_wait + step)

    def learn_peer_wait(self, objectives: float) -> None:
        """A peer said what its queue wait is, in tightest objectives."""
        peer_wait = objectives * self.tightest_objective
        self.queue_wait += LEARNING_RATE * (peer_wait - self.queue_wait)

    def learn_from_attempts_in_flight(self, attempts: Sequence[Attempt], interval: float) -> None:
        """Learns, once every `interval` seconds, from attempts that started lately and go on.

        In a sudden slowing the answers that would tell of it are late; what is in flight tells
        sooner. With everything rejected nothing tells, and the queue wait fades.
        """
        now = self._context.now
        late = sum(now - a.started_at > 2 * a.work + self.queue_wait for a in attempts)
        self.queue_wait *= 0.5 ** (interval / WAIT_HALF_LIFE_S)
        if 2 * late > len(attempts):
            self.queue_wait += LEARNING_RATE * self.tightest_objective
