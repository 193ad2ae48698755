"""Endpoint selection: which endpoint gets an attempt.

The attempt goes to the eligible endpoint with the lowest expected delay:

    delay = work_factor * (work + backlog / concurrency)

The backlog is the work that this limiter and, in a small fleet, its peers have in flight at the
endpoint. For ranking, a cross-zone price and each earlier attempt of the request at the endpoint
count as additional delay.

Candidates are examined in rounds, until a round contains an eligible endpoint:

| fleet | round                                                                            |
| ----- | -------------------------------------------------------------------------------- |
| large | twice a small sample of this limiter's subset, then one of all endpoints          |
| large | a small sample of all endpoints, including ejected ones                           |
| any   | all endpoints, or a random sample of `MAX_COMPARED` of them                       |
| any   | the same, including ejected ones: if most are ejected, the rest would be          |
|       | overloaded                                                                        |
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
# The delay that a cross-zone attempt counts as, in latency objectives per unit of its price.
ZONE_DELAY_OBJECTIVES = 2.0
SUBSET_LIFETIME_S = 1.0 * PERIOD_S  # time after which the subset is recomputed


class Choice(NamedTuple):
    """The chosen endpoint and its expected delay in seconds; no endpoint if none is eligible."""

    endpoint: Endpoint | None
    delay: float


class SelectionRules(NamedTuple):
    """The rules that decide whether an endpoint may get an attempt."""

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

    def invalidate_subset(self) -> None:
        """Causes the subset to be recomputed, since the endpoint table has changed."""
        self._subset_until = 0.0

    def choose(self, request: PendingRequest, work: float) -> Choice:
        """Returns the best endpoint for another attempt with `work` seconds of expected work."""
        context, request_class = self._context, request.request_class
        settings, random = context.settings, context.random
        peer_loads = self._peer_loads.total()
        retry = request.is_repetition()
        zone_delay = (
            ZONE_DELAY_OBJECTIVES * settings.cross_zone_price * request_class.latency_objective
        )
        best: tuple[float, float, float, Endpoint] | None = None
        for include_ejected, endpoints in self.rounds(request.required_group() if retry else None):
            for endpoint in endpoints:
                if not self._is_eligible(request, endpoint, work, include_ejected):
                    continue
                delay = endpoint.work_factor * (
                    work + endpoint.backlog(peer_loads) / endpoint.concurrency
                )
                penalty = zone_delay * (endpoint.entry.zone != settings.zone)
                if retry:
                    penalty += request.attempts_at(endpoint) * request_class.latency_objective
                # The limiters of a large fleet know little of the endpoints' loads, and would all
                # choose the same endpoint without a random factor.
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

    def _is_eligible(
        self, request: PendingRequest, endpoint: Endpoint, work: float, include_ejected: bool
    ) -> bool:
        """Whether an endpoint may get an attempt."""
        if not self._table.may_get_new_work(endpoint):
            return False
        if request.is_repetition() and not may_attempt(
            request, endpoint, self._context.settings, self._context.now
        ):
            return False
        if (
            not include_ejected
            and (endpoint.in_flight or endpoint.outlier_records)
            and not self._outliers.may_serve(endpoint, request.request_class.name)
        ):
            return False
        return not endpoint.entry.started or self._slow_start.may_send(endpoint, work)

    def rounds(self, group: EndpointGroup | None = None) -> Iterator[tuple[bool, list[Endpoint]]]:
        """Yields the candidates of each round, and whether ejected ones are eligible.

        `group` is the only zone or cell that may get the attempt, if there is such a restriction.
        """
        random, table = self._context.random, self._table
        endpoints = table.all()
        is_large_table = len(endpoints) > MAX_COMPARED
        if is_large_table:
            endpoints = table.all_up() if group is None else table.all_of(group)
        if not self._context.small_fleet and len(endpoints) > CANDIDATES:
            preferred = self._current_subset() if not is_large_table or group is None else endpoints
            for include_ejected, candidates in (
                (False, preferred),
                (False, preferred),
                (False, endpoints),
                (True, endpoints),
            ):
                yield (
                    include_ejected,
                    random.sample(candidates, min(len(candidates), CANDIDATES)),
                )
        if len(endpoints) > MAX_COMPARED:
            endpoints = random.sample(endpoints, MAX_COMPARED)
        yield False, endpoints
        yield True, endpoints

    def _current_subset(self) -> list[Endpoint]:
        """Returns this limiter's subset of the warm endpoints and of those that are warming up."""
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
        """Returns the endpoints that get no new work: not up, silent or ejected for every class."""
        table = self._table
        unhealthy = {
            name
            for name, endpoint in table.up.items()
            if (endpoint.outlier_records or endpoint.in_flight)
            and not self._outliers.may_serve(endpoint, EVERY_CLASS)
        }
        return unhealthy | (table.endpoints.keys() - table.up.keys())
