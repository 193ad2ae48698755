"""Estimate of the endpoints' load, learned from the duration of attempts.

The queue wait is the time that recent answers took beyond their work. Each answer moves it up or
down by a fixed step, depending on whether the answer waited longer. It therefore converges to the
median, and a few slow or failing endpoints do not look like an overload.
"""

from __future__ import annotations

from collections.abc import Sequence

from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.settings import Settings
from hazelhollow.decisions.state.class_statistics import INITIAL_WORK_DIVISOR, ClassStatistics
from hazelhollow.decisions.state.pending_requests import Attempt, PendingRequest

LEARNING_RATE = 0.1  # weight of the newest sample in a moving average
# A deviation from the expected time is attributed to the endpoint, the class and the request size:
# the learning step of each is divided by its divisor.
ENDPOINT_STEP_DIVISOR = 2
CLASS_STEP_DIVISOR = 5
SIZE_STEP_DIVISOR = 20
# Shares of the tightest objective: a queue wait above the first is an overload. One below the
# second is a low load, at which queueing does not explain a hung attempt.
OVERLOAD_WAIT_SHARE = 0.35
LOW_WAIT_SHARE = 0.1
WAIT_HALF_LIFE_S = 2.0 * PERIOD_S  # of the queue wait in the absence of answers


class LoadEstimate:
    """This limiter's estimates of the work of requests and the load of endpoints.

    Attributes:
        classes: Units, work and value of each class.
        tightest_objective: The shortest latency objective of all classes, in seconds.
        mean_attempt_time: The mean duration of an attempt, in seconds.
        queue_wait: The time that recent answers waited, in seconds.
    """

    __slots__ = ("_context", "classes", "tightest_objective", "mean_attempt_time", "queue_wait")

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.classes = ClassStatistics(context.settings.classes)
        self.tightest_objective = self.classes.tightest_objective()
        self.mean_attempt_time = self.tightest_objective / INITIAL_WORK_DIVISOR
        self.queue_wait = 0.0

    def reconfigure(self, settings: Settings) -> None:
        """Applies changed classes; what was learned of those that remain is kept."""
        self.classes.reconfigure(settings.classes)
        self.tightest_objective = self.classes.tightest_objective()

    def work_of(self, request: PendingRequest) -> float:
        """Returns the expected work of a request, in seconds."""
        return self.classes.work_of(request.request_class.name, request.event.units, request.size)

    def is_overloaded(self) -> bool:
        """Whether answers wait so long that a late one is no sign of a faulty endpoint."""
        return not self.queue_wait < OVERLOAD_WAIT_SHARE * self.tightest_objective

    def is_low(self) -> bool:
        """Whether answers hardly wait."""
        return self.queue_wait < LOW_WAIT_SHARE * self.tightest_objective

    def learn_answer(self, attempt: Attempt, request: PendingRequest, elapsed: float) -> None:
        """Learns from an attempt that was answered successfully after `elapsed` seconds.

        Upward steps are bounded, so that many slow answers make an endpoint look slow, but a few
        costly requests do not.
        """
        self.mean_attempt_time += LEARNING_RATE * (elapsed - self.mean_attempt_time)
        expected = max(attempt.expected_time(), self._context.settings.tick)
        step = LEARNING_RATE * min(elapsed / expected - 1, 1.0)
        by_class, by_size = 1 + step / CLASS_STEP_DIVISOR, 1 + step / SIZE_STEP_DIVISOR
        self.classes.learn_work(request.request_class, request.size, by_class, by_size)
        attempt.endpoint.work_factor *= 1 + step / ENDPOINT_STEP_DIVISOR

    def learn_wait(self, waited: bool) -> None:
        """Learns whether an attempt that ended had waited longer than `queue_wait`."""
        step = LEARNING_RATE * self.tightest_objective * (1 if waited else -1)
        self.queue_wait = max(0.0, self.queue_wait + step)

    def learn_peer_wait(self, objectives: float) -> None:
        """Learns a peer's queue wait, given as a multiple of the tightest objective."""
        peer_wait = objectives * self.tightest_objective
        self.queue_wait += LEARNING_RATE * (peer_wait - self.queue_wait)

    def learn_from_attempts_in_flight(self, attempts: Sequence[Attempt], interval: float) -> None:
        """Learns from recently started attempts in flight, once every `interval` seconds.

        When endpoints suddenly slow down, the answers that would show it are late, and attempts in
        flight show it sooner. While everything is rejected there is no evidence, and the queue wait
        decays.
        """
        now = self._context.now
        late = sum(now - a.started_at > 2 * a.work + self.queue_wait for a in attempts)
        self.queue_wait *= 0.5 ** (interval / WAIT_HALF_LIFE_S)
        if 2 * late > len(attempts):
            self.queue_wait += LEARNING_RATE * self.tightest_objective
