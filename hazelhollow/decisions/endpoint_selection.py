"""Endpoint selection: which endpoint gets an attempt.

The one of least expected delay among those that may get it:

    delay = work_factor * (work + backlog / concurrency)

where the backlog is what this limiter and, in a small fleet, its peers have in flight there. To
rank, the price of crossing zones and each earlier attempt of the request at the endpoint count as a
delay, too.

Endpoints are looked at in rounds, until one has an endpoint that may get the attempt:

| fleet | round                                                                            |
| ----- | -------------------------------------------------------------------------------- |
| large | twice a few drawn of this limiter's subset, then a few of all                     |
| large | a few of all, ejected ones too                                                    |
| any   | all, at most `MAX_COMPARED` of them drawn by chance                               |
| any   | the same, ejected ones too: with most ejected the rest would be overloaded        |
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.outlier_detection import EVERY_CLASS, OutlierDetection
from hazelhollow.decisions.retry import may_attempt
from hazelhollow.decisions.slow_start import SlowStart
from hazelhollow.decisions.state.endpoint import MEAN_CONCURRENCY, Endpoint
from hazelhollow.decisions.state.endpoint_table import EndpointGroup, EndpointTable
from hazelhollow.decisions.state.peer_loads import PeerLoads
from hazelhollow.decisions.state.pending_requests import PendingRequest
from hazelhollow.decisions.subsetting import subset

CANDIDATES = 4  # endpoints compared in a round of a large fleet
MAX_COMPARED = 60  # endpoints compared in any round
ZONE_DELAY_OBJECTIVES = 2.0  # objectives of delay that crossing zones counts as, times its price
SUBSET_LIFETIME_S = 1.0 * PERIOD_S  # after which the subset is taken anew


class Choice(NamedTuple):
    """An endpoint and its expected delay in seconds; no endpoint where none may get the attempt."""

    endpoint: Endpoint | None
    delay: float


class SelectionRules(NamedTuple):
    """The rules that say of an endpoint whether it may get an attempt."""

    outliers: OutlierDetection
    slow_start: SlowStart


class EndpointSelection:
    """Chooses endpoints from the table."""

    def __init__(
        self,
        context: DecisionContext,
        table: EndpointTable,
        rules: SelectionRules,
        peer_loads: PeerLoads,
    ) -> None:
        self._context, self._table, self._peer_loads = context, table, peer_loads
        self._outliers, self._slow_start = rules
        self._subset: list[Endpoint] = []
        self._subset_until = 0.0

    def list_changed(self) -> None:
        """The table has changed; the subset is taken anew."""
        self._subset_until = 0.0

    def choose(self, request: PendingRequest, work: float) -> Choice:
        """The best endpoint for a further attempt of `work` seconds."""
        context, request_class = self._context, request.request_class
        settings, random = context.settings, context.random
        peer_loads = self._peer_loads.total()
        retry = bool(request.attempts)
        zone_delay = (
            ZONE_DELAY_OBJECTIVES * settings.cross_zone_price * request_class.latency_objective
        )
        best: tuple[float, float, float, Endpoint] | None = None
        for ejected_too, endpoints in self.rounds(request.required_group() if retry else None):
            for endpoint in endpoints:
                if not self._may_get(request, endpoint, work, ejected_too):
                    continue
                delay = endpoint.work_factor * (
                    work + endpoint.backlog(peer_loads) / endpoint.concurrency
                )
                penalty = zone_delay * (endpoint.entry.zone != settings.zone)
                if retry:
                    penalty += request.attempts_at(endpoint) * request_class.latency_objective
                # Many limiters that know little of an endpoint's load would all go to the same.
                random_load_factor = (
                    1.0
                    if context.small_fleet
                    else random.expovariate(endpoint.concurrency / MEAN_CONCURRENCY)
                )
                rank = (random_load_factor * delay + penalty, random.random(), delay, endpoint)
                best = rank if best is None or rank[:2] < best[:2] else best
            if best:
                return Choice(best[3], best[2])
        return Choice(None, 0.0)

    def _may_get(
        self, request: PendingRequest, endpoint: Endpoint, work: float, ejected_too: bool
    ) -> bool:
        """Whether an endpoint may get an attempt."""
        if not self._table.may_get_new_work(endpoint):
            return False
        if request.attempts and not may_attempt(
            request, endpoint, self._context.settings, self._context.now
        ):
            return False
        if (
            not ejected_too
            and (endpoint.in_flight or endpoint.outlier_records)
            and not self._outliers.may_serve(endpoint, request.request_class.name)
        ):
            return False
        return not endpoint.entry.started or self._slow_start.may_send(endpoint, work)

    def rounds(self, group: EndpointGroup | None = None) -> Iterator[tuple[bool, list[Endpoint]]]:
        """The endpoints to look at, round by round, and whether ejected ones count.

        `group`: the only zone or cell that may get the attempt.
        """
        random, table = self._context.random, self._table
        endpoints = table.all()
        many = len(endpoints) > MAX_COMPARED
        if many:
            endpoints = table.all_up() if group is None else table.all_of(group)
        if not self._context.small_fleet and len(endpoints) > CANDIDATES:
            near = self._current_subset() if not many or group is None else endpoints
            for ejected_too, some in (
                (False, near),
                (False, near),
                (False, endpoints),
                (True, endpoints),
            ):
                yield ejected_too, random.sample(some, min(len(some), CANDIDATES))
        if len(endpoints) > MAX_COMPARED:
            endpoints = random.sample(endpoints, MAX_COMPARED)
        yield False, endpoints
        yield True, endpoints

    def _current_subset(self) -> list[Endpoint]:
        """The endpoints that this limiter keeps to, of the warm and of those warming up."""
        now, settings = self._context.now, self._context.settings
        if now >= self._subset_until:
            self._subset_until = now + SUBSET_LIFETIME_S
            rings = [self._table.ring(warming_up, now) for warming_up in (False, True)]
            self._subset = [
                self._table.endpoints[name]
                for ring in rings
                for _, name in subset(ring, settings.limiter_id, settings.limiter_count)
            ]
        return self._subset

    def unavailable(self) -> set[str]:
        """Names of listed endpoints that get nothing new: not up, or ejected for every class."""
        table = self._table
        unfit = {
            name
            for name, endpoint in table.up.items()
            if (endpoint.outlier_records or endpoint.in_flight)
            and not self._outliers.may_serve(endpoint, EVERY_CLASS)
        }
        return unfit | (table.endpoints.keys() - table.up.keys())
