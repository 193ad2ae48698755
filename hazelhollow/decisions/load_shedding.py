"""Load shedding: whether a request can be answered in time, and is worth its work.

A request is rejected if no endpoint may get it, or if its expected wait is too long. The wait is
the best endpoint's delay less the request's own work. In a large fleet, where a limiter does not
see the queues, the learned queue wait is used if it is longer; it is scaled by a random factor so
that not all limiters shed at once. The wait may be at most a share of the limit of the request's
class (`wait_limit`):

| request                                     | share of the limit     |
| ------------------------------------------- | ---------------------- |
| within its quota, first attempt of a client | `OVERLOAD_WAIT_SHARE`  |
| beyond its quota                            | `LOW_VALUE_WAIT_SHARE` |
| a client's retry past its objective         | `LOW_VALUE_WAIT_SHARE` |

The Retry-After of a rejection is in `rejections.py`.
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

LOW_VALUE_WAIT_SHARE = 0.1  # of the wait limit of its class
DEMAND_SPAN = 300.0  # requests over which demand is averaged
# The wait limit of a class of less than mean value is multiplied by (value / mean value) to this
# power.
YIELD_POWER = 2.0
# Share of the deadline: two values of the time left that differ by no more count as the same client
# timeout.
TIME_LEFT_TOLERANCE = 0.01
MIN_DEMAND_SHARE = 0.01  # a class's share of the demand counts as at least this


class LoadShedding:
    """Rejects requests whose expected wait is too long for their value.

    Attributes:
        demand: Recent demand within quotas.
        time_left: Statistics of the time that clients leave for an answer, by class.
    """

    def __init__(self, context: DecisionContext, load: LoadEstimate) -> None:
        self._context, self._load = context, load
        self.demand = RecentDemand(DEMAND_SPAN)
        self.time_left = {name: TimeLeftStatistics() for name in context.classes}

    def reconfigure(self, before: dict[str, RequestClass], settings: Settings) -> None:
        """Applies changed classes."""
        for changed in changed_classes(before, settings.classes):
            learned = self.time_left.setdefault(changed.name, TimeLeftStatistics())
            if changed.name not in before or before[changed.name].deadline != changed.deadline:
                learned.reset()

    def record_demand(self, request: PendingRequest, work: float) -> None:
        """Records the demand of a request within its quota, of `work` seconds."""
        request_class = request.request_class
        weight = request_class.priority_weight * request.event.units
        self.demand.add(request_class.name, weight, work)

    def rejects(self, request: PendingRequest, choice: Choice, work: float) -> bool:
        """Rejects a request that would wait too long at its endpoint; returns whether it did."""
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
        """Whether a request is a client's retry after the latency objective has passed.

        Such a request must not displace one that can be in time. Its age is the class's deadline
        less its time left. However, a time left that many requests have is the clients' usual
        timeout and says nothing about age. In a large fleet each limiter sees too few requests to
        recognize common values, and only the longest time left seen counts as usual.
        """
        context, request_class = self._context, request.request_class
        time_left = request.event.time_left
        statistics = self.time_left[request_class.name]
        is_usual = (
            statistics.is_common(time_left, TIME_LEFT_TOLERANCE * request_class.deadline)
            if context.small_fleet
            else statistics.is_longest(time_left)
        )
        marked_as_first = context.settings.clients_mark_retries and not request.event.is_retry
        age = request_class.deadline - time_left
        return not (is_usual or marked_as_first) and age > request_class.latency_objective

    def wait_limit(self, request_class: RequestClass) -> float:
        """Returns the longest wait that a class may cause, in seconds.

        This is the shortest objective among the classes of at least its value, so that a class with
        a long objective does not fill the queues. It is reduced for a class of less than mean value
        (`YIELD_POWER`). Before this reduction, the value of the least valuable class is raised by
        the weight that the objective function gives to the worst-served class (`class_weight`). In
        a large fleet, whose limiters do not see the queues, the limit is the tightest objective,
        scaled by the class's value relative to the highest.
        """
        classes = self._load.classes
        value = classes.value(request_class.name)
        if not self._context.small_fleet:
            return self._load.tightest_objective * value / classes.highest_value()
        objective = classes.tightest_objective_from(value)
        if request_class.name == classes.least_valuable():
            share = max(self.demand.share_of(request_class.name), MIN_DEMAND_SHARE)
            value *= 1.0 + self._context.settings.class_weight / share
        reduction = min(1.0, value / (self.demand.mean_value() or value)) ** YIELD_POWER
        return float(objective * reduction)
