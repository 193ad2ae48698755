"""Load shedding: whether a request could be answered in time, or is worth the work.

A request is rejected if no endpoint may get it, or if its wait is too long. Its wait is what the
best endpoint's delay is beyond the request's own work; in a large fleet, where a limiter sees no
queue, the queue wait learned from answers if that is longer, by chance, so that not all limiters
shed at once. It may be up to a share of the limit of its class (`wait_limit`):

| request                                     | share of the limit     |
| ------------------------------------------- | ---------------------- |
| within its quota, first attempt of a client | `OVERLOAD_WAIT_SHARE`  |
| beyond its quota                            | `LOW_VALUE_WAIT_SHARE` |
| a client's retry past its objective         | `LOW_VALUE_WAIT_SHARE` |

The wait that a rejection advises is in `rejections.py`.
"""

from __future__ import annotations

from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.endpoint_selection import Choice
from hazelhollow.decisions.load_estimate import OVERLOAD_WAIT_SHARE, LoadEstimate
from hazelhollow.decisions.rejections import Reason, overload_retry_after, reject
from hazelhollow.decisions.settings import RequestClass, Settings
from hazelhollow.decisions.state.class_statistics import (
    RecentDemand,
    TimeLeftStatistics,
    changed_classes,
)
from hazelhollow.decisions.state.pending_requests import PendingRequest

LOW_VALUE_WAIT_SHARE = 0.1  # of the limit of its class
DEMAND_SPAN = 300.0  # requests over which it is learned what is asked for
YIELD_POWER = 2.0  # of its value against the mean, by which a class of less value gives way
# Of the deadline: requests whose time left differs by less come from clients of one habit.
TIME_LEFT_TOLERANCE = 0.01
MIN_DEMAND_SHARE = 0.01  # a class's share of the demand counts as at least this


class LoadShedding:
    """Rejects requests that wait too long for what they are worth.

    Attributes:
        demand: What was asked for lately, within quotas.
        time_left: How much time clients leave, by class.
    """

    def __init__(self, context: DecisionContext, load: LoadEstimate) -> None:
        self._context, self._load = context, load
        self.demand = RecentDemand(DEMAND_SPAN)
        self.time_left = {name: TimeLeftStatistics() for name in context.classes}

    def reconfigure(self, before: dict[str, RequestClass], settings: Settings) -> None:
        """Takes over other classes in place of those before."""
        for changed in changed_classes(before, settings.classes):
            known = self.time_left.setdefault(changed.name, TimeLeftStatistics())
            if changed.name not in before or before[changed.name].deadline != changed.deadline:
                known.reset()

    def record_demand(self, request: PendingRequest, work: float) -> None:
        """A request within its quota asks for `work` seconds."""
        request_class = request.request_class
        weight = request_class.priority_weight * request.event.units
        self.demand.add(request_class.name, weight, work)

    def rejects(self, request: PendingRequest, choice: Choice, work: float) -> bool:
        """Rejects a request that would wait too long at the chosen endpoint; whether it did."""
        context, request_class = self._context, request.request_class
        endpoint, delay = choice
        wait = delay - (endpoint.work_factor if endpoint else 1.0) * work
        limit = self.wait_limit(request_class)
        if not context.small_fleet:
            wait = max(wait, self._load.queue_wait * context.random.uniform(0.5, 1.0))
        late = self._is_late_retry(request)
        low_value = late or not request.within_quota
        share = LOW_VALUE_WAIT_SHARE if low_value else OVERLOAD_WAIT_SHARE
        if endpoint is not None and wait <= share * limit:
            return False
        reason: Reason = "late" if late else "pressure" if endpoint else "no server"
        reject(context, request.event.id, overload_retry_after(request_class), reason)
        return True

    def _is_late_retry(self, request: PendingRequest) -> bool:
        """Whether a client asks again when its objective has passed.

        Such a request must not take the place of one that can be in time. Its age shows in the
        time that it has left, against the deadline. But time left that many requests come with is
        the clients' habit and says nothing of age; in a large fleet each limiter sees too few to
        tell, and only the longest seen counts as a habit.
        """
        context, request_class = self._context, request.request_class
        time_left = request.event.time_left
        statistics = self.time_left[request_class.name]
        usual = (
            statistics.is_common(time_left, TIME_LEFT_TOLERANCE * request_class.deadline)
            if context.small_fleet
            else statistics.is_longest(time_left)
        )
        said_first = context.settings.clients_mark_retries and not request.event.is_retry
        age = request_class.deadline - time_left
        return not (usual or said_first) and age > request_class.latency_objective

    def wait_limit(self, request_class: RequestClass) -> float:
        """Seconds: the queue that a class may fill.

        The shortest objective among the classes of at least its value, so that a class of a long
        objective doesn't take all. A class of less value than the mean gives way by a power of
        that, but not the least valuable one as far as the goal weighs the worst-served class. A
        large fleet, whose limiters see no queue, keeps to the tightest objective.
        """
        classes = self._load.classes
        value = classes.value(request_class.name)
        if not self._context.small_fleet:
            return self._load.tightest_objective * value / classes.highest_value()
        objective = classes.tightest_objective_from(value)
        if request_class.name == classes.least_valuable():
            share = max(self.demand.share_of(request_class.name), MIN_DEMAND_SHARE)
            value *= 1.0 + self._context.settings.class_weight / share
        yielding = min(1.0, value / (self.demand.mean_value() or value)) ** YIELD_POWER
        return float(objective * yielding)
