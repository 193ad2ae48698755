"""Slow start: an endpoint that has just started gets less work until it is warm.

On the platform, a warming endpoint fails if, over `overload_window` seconds, it is sent more than
`overload_multiple` times its share of a warm endpoint's load. The share rises linearly from
`warm_up_initial_share` at its start to 1 after `warm_up_time`:

    share = initial + (1 - initial) * age / warm_up_time
    part  = min(1, min(MAX_SHARE_MULTIPLE, SAFE_PART_OF_MULTIPLE * overload_multiple) * share)

Each limiter enforces this limit by itself, without messages: in any `overload_window` it sends a
warming endpoint at most `part` of what it sends a warm one of the same weight. The sum over any
number of limiters therefore stays within the limit, too. If less than one request remains of a
limiter's part, the limiter sends one at random, so that the sum holds on average;
`SAFE_PART_OF_MULTIPLE` leaves a margin for random variation.

`warm_up_time` is 0 by default, which disables slow start. An endpoint whose start is unknown counts
as warm.
"""

from __future__ import annotations

from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.state.endpoint import MEAN_CONCURRENCY, Endpoint
from hazelhollow.decisions.state.endpoint_table import EndpointTable
from hazelhollow.decisions.state.sliding_window import SlidingWindow

# Limits of the load, as multiples of the endpoint's share; the lower one applies.
MAX_SHARE_MULTIPLE = 2.0
SAFE_PART_OF_MULTIPLE = 0.75  # of `overload_multiple`: a margin below the platform's limit


class SlowStart:
    """Limits the work sent to endpoints that are warming up.

    Attributes:
        sent_to_warm: Seconds of work sent to warm endpoints in the window.
    """

    def __init__(self, context: DecisionContext, table: EndpointTable) -> None:
        self._context, self._table = context, table
        self.sent_to_warm = SlidingWindow(context.settings.overload_window)

    def may_send(self, endpoint: Endpoint, work: float) -> bool:
        """Whether an endpoint may get a request with `work` seconds of expected work.

        If less than one request remains of its share, it gets one at random, so that the sum over
        many limiters is right on average.
        """
        context, settings = self._context, self._context.settings
        if not endpoint.is_warming_up(context.now, settings):
            return True
        age = max(context.now - endpoint.entry.started, 0.0)
        initial = settings.warm_up_initial_share
        share = initial + (1 - initial) * age / settings.warm_up_time
        safe_multiple = min(MAX_SHARE_MULTIPLE, SAFE_PART_OF_MULTIPLE * settings.overload_multiple)
        part = min(1.0, safe_multiple * share)
        room = self._sent_per_warm_slot(endpoint) * endpoint.concurrency * part
        room -= endpoint.recent_work.sum(context.now)
        return context.random.random() * work < room

    def _sent_per_warm_slot(self, endpoint: Endpoint) -> float:
        """Returns the work sent to warm endpoints in the window, per unit of their concurrency.

        If none is warm, it is the work that the endpoint could do in the window, split evenly
        between the limiters.
        """
        context, settings = self._context, self._context.settings
        warm = self._table.warm_concurrency(context.now)
        if not warm:
            return settings.overload_window / endpoint.work_factor / settings.limiter_count
        return self.sent_to_warm.sum(context.now) / max(warm, MEAN_CONCURRENCY)

    def record_sent(self, endpoint: Endpoint, work: float) -> None:
        """Records the start of an attempt with `work` seconds of expected work."""
        now = self._context.now
        if endpoint.is_warming_up(now, self._context.settings):
            endpoint.recent_work.add(now, work)
        else:
            self.sent_to_warm.add(now, work)
