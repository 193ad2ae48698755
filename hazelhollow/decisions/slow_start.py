"""Slow start: an endpoint that has just started gets less until it is warm.

The platform's rule: an endpoint that is warming up fails if, over `overload_window` seconds, it is
sent more than `overload_multiple` times its share of a warm endpoint's load. Its share rises
evenly, from `warm_up_initial_share` at its start to all of it after `warm_up_time`:

    share = initial + (1 - initial) * age / warm_up_time
    part  = min(1, min(MAX_SHARE_MULTIPLE, SAFE_PART_OF_MULTIPLE * overload_multiple) * share)

Each limiter holds the ceiling for itself, with no message to the others: in any `overload_window`
it sends such an endpoint `part` of what it sends a warm one of that weight itself. As each limiter
keeps to its own, the sum over all limiters, however many, keeps to it, too. Where less than one
request is left of a limiter's part it sends one by chance, so the sum holds in the mean;
`SAFE_PART_OF_MULTIPLE` leaves room for chance.

`warm_up_time` is 0 by default: no slow start. An endpoint whose start is unknown counts as warm.
"""

from __future__ import annotations

from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.state.endpoint import MEAN_CONCURRENCY, Endpoint
from hazelhollow.decisions.state.endpoint_table import EndpointTable
from hazelhollow.decisions.state.sliding_window import SlidingWindow

# Limits of the load, as multiples of the endpoint's share; the lower one holds.
MAX_SHARE_MULTIPLE = 2.0
SAFE_PART_OF_MULTIPLE = 0.75  # of `overload_multiple`: a margin below the platform's limit


class SlowStart:
    """Holds endpoints that are warming up to their share.

    Attributes:
        sent_to_warm: Seconds of work sent to warm endpoints in the window.
    """

    def __init__(self, context: DecisionContext, table: EndpointTable) -> None:
        self._context, self._table = context, table
        self.sent_to_warm = SlidingWindow(context.settings.overload_window)

    def may_send(self, endpoint: Endpoint, work: float) -> bool:
        """Whether an endpoint may get a request of `work` seconds.

        Where less than one request is left of its share, it gets one by chance, so that the sum
        over many limiters is right.
        """
        context, settings = self._context, self._context.settings
        if not endpoint.is_warming_up(context.now, settings):
            return True
        age = max(context.now - endpoint.entry.started, 0.0)
        initial = settings.warm_up_initial_share
        share = initial + (1 - initial) * age / settings.warm_up_time
        safe = min(MAX_SHARE_MULTIPLE, SAFE_PART_OF_MULTIPLE * settings.overload_multiple)
        part = min(1.0, safe * share)
        room = self._sent_per_warm_slot(endpoint) * endpoint.concurrency * part
        room -= endpoint.recent_work.sum(context.now)
        return context.random.random() * work < room

    def _sent_per_warm_slot(self, endpoint: Endpoint) -> float:
        """Work sent in the window for each request that the warm endpoints work on at once.

        With none warm, what the endpoint could do, split evenly between the limiters.
        """
        context, settings = self._context, self._context.settings
        warm = self._table.warm_concurrency(context.now)
        if not warm:
            return settings.overload_window / endpoint.work_factor / settings.limiter_count
        return self.sent_to_warm.sum(context.now) / max(warm, MEAN_CONCURRENCY)

    def record_sent(self, endpoint: Endpoint, work: float) -> None:
        """An attempt of `work` seconds starts."""
        now = self._context.now
        if endpoint.is_warming_up(now, self._context.settings):
            endpoint.recent_work.add(now, work)
        else:
            self.sent_to_warm.add(now, work)
