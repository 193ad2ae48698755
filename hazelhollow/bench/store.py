"""Runs of `hazelhollow bench store`: month-end load on limiters that lease limits from a store.

`run_job` runs one job and checks it against exact token buckets; `summary` builds the report.
"""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog

from hazelhollow.bench import load
from hazelhollow.bench.checker import Bucket
from hazelhollow.bench.store_faults import (
    EVEN_SPLIT,
    LIMITER_FAULTS,
    NO_STORE,
    WITH_ALL_CUSTOMERS,
    draw_kinds,
    draw_store_faults,
    schedule_limiter_faults,
)
from hazelhollow.bench.world import START, WARM_UP_S, LimiterSite, SiteOptions
from hazelhollow.decisions import interface as api
from hazelhollow.operator.load import read
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.standins.redis.node import Node

LOG_LEVEL_ABOVE_ALL = 50  # of structlog; suppresses messages up to `error`


@dataclass(frozen=True)
class Job:
    """The parameters of one run. Equal jobs give equal results.

    Args:
        seed: Seed of all draws.
        kind: A kind of faults, EVEN_SPLIT or NO_STORE.
        limiters: Number of limiters.
        seconds: Duration of the load.
        hold: Which limits the store keeps: both, ceilings or quotas.
        with_store: Whether there is a store; without one, quotas are kept by gossip and ceilings
            are split evenly.
        plans: The plans whose limits the store keeps; if empty, those with a ceiling.
        uneven: Whether most requests of a customer arrive at one limiter.
    """

    seed: int
    kind: str
    limiters: int
    seconds: float
    hold: str = "both"
    with_store: bool = True
    plans: tuple[str, ...] = ()
    uneven: bool = False


class Result(msgspec.Struct):
    """The result of one run.

    An overshoot is a share of a customer's burst, and the greatest of any customer. "Stored" refers
    to customers whose limits the store keeps; "admissible" units are those that a single limiter
    with exact accounting would have admitted.
    """

    seed: int
    kind: str
    requests: int
    stored_requests: int
    store_calls: float
    overshoot: float  # greatest overshoot of a limit that must hold
    broken: bool  # whether such a limit was exceeded by more than the tolerance
    quota_overshoot: float
    admissible_units: float
    admissible_rejected_units: float
    absences: float  # how often a limiter fell back to its even share
    late_answers: float


class LimitWatch:
    """Exact token buckets for the customers whose limits the store keeps.

    `quotas` and `ceilings` are charged with what the limiters of the run sent, the ideal buckets
    with what a single limiter that receives all requests would have sent.
    """

    def __init__(self, site: LimiterSite, job: Job) -> None:
        customers = [customer for customer in site.customers if _is_stored(customer.plan, job)]
        self.quotas = {c.id: _quota_bucket(c.plan) for c in customers}
        self.ceilings = {c.id: _ceiling_bucket(c.plan) for c in customers if c.plan.ceiling_rate}
        self._ideal = {
            c.id: [
                _quota_bucket(c.plan),
                *([_ceiling_bucket(c.plan)] if c.plan.ceiling_rate else []),
            ]
            for c in customers
        }
        self._admissible_units = dict.fromkeys(self.quotas, 0.0)
        self._sent_units = dict.fromkeys(self.quotas, 0.0)
        # Arrivals that the ideal limiter admitted, by identity; it does not see their retries. The
        # references keep the arrivals alive, so that no later one gets the same identity.
        self._ideal_admitted: dict[int, load.Arrival] = {}
        self._timeline = site.timeline
        self.requests = 0

    def record(self, arrival: load.Arrival, admitted: bool) -> None:
        """Records a request and whether a limiter admitted it."""
        now, units, key = self._timeline.now, arrival.units, arrival.customer.id
        if key not in self.quotas:
            return
        self.requests += 1
        counted = now >= START + WARM_UP_S  # an overshoot, in contrast, counts from the start
        ideal = self._ideal[key]
        if (
            id(arrival) not in self._ideal_admitted
            and min(bucket.refill(now) for bucket in ideal) >= units
        ):
            self._ideal_admitted[id(arrival)] = arrival
            self._admissible_units[key] += units if counted else 0.0
            for bucket in ideal:
                bucket.take(units, now)
        if admitted:
            self._sent_units[key] += units if counted else 0.0
            for buckets in (self.quotas, self.ceilings):
                if key in buckets:
                    buckets[key].take(units, now)

    def admissible_units(self) -> float:
        """Returns the units that the ideal limiter would have admitted."""
        return sum(self._admissible_units.values())

    def admissible_rejected_units(self) -> float:
        """Returns the admissible units that this run did not admit, computed per customer."""
        return sum(
            max(units - self._sent_units[key], 0.0) for key, units in self._admissible_units.items()
        )


def _is_stored(plan: api.Plan, job: Job) -> bool:
    return plan.name in job.plans or bool(plan.ceiling_rate and not job.plans)


def _quota_bucket(plan: api.Plan) -> Bucket:
    return Bucket(plan.rate, plan.burst, START)


def _ceiling_bucket(plan: api.Plan) -> Bucket:
    return Bucket(plan.ceiling_rate, plan.ceiling_burst, START)


def store_settings(hold: str, plans: tuple[str, ...]) -> StoreSettings:
    """Returns the settings of the store as read from an operator file, with defaults."""
    names = ", ".join(f'"{name}"' for name in plans)
    text = f'store: {{address: "127.0.0.1:6379", hold: "{hold}", plans: [{names}]}}'
    settings = read(text.encode(), "bench").store
    assert settings
    return settings


def run_job(job: Job) -> Result:
    """Runs a job. The result depends on the job alone, not on other runs in parallel."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(LOG_LEVEL_ABOVE_ALL))
    draw = random.Random(f"faults {job.kind} {job.seed}")
    kinds = draw_kinds(job.kind, draw)
    store_faults = draw_store_faults(kinds, draw)
    site = LimiterSite(
        SiteOptions(
            job.seed,
            job.limiters,
            job.seconds,
            store_settings(job.hold, job.plans) if job.with_store else None,
            lambda clock: Node(clock, job.seed, "", store_faults),
            job.uneven,
        )
    )
    for kind in kinds:
        if kind in LIMITER_FAULTS:
            schedule_limiter_faults(kind, site, draw)
    watch = LimitWatch(site, job)
    if job.kind not in WITH_ALL_CUSTOMERS:
        site.customers = [c for c in site.customers if c.id in watch.quotas]
    site.log.on_request = watch.record
    site.run()
    return _result(job, site, watch)


def _result(job: Job, site: LimiterSite, watch: LimitWatch) -> Result:
    largest_request = max(load.UNITS)
    must_hold = (
        watch.ceilings if job.hold == "ceilings" else {**watch.quotas, **watch.ceilings}
    ).values()
    counts = [limiter.ledger.counts for limiter in site.limiters if limiter.ledger]
    return Result(
        seed=job.seed,
        kind=job.kind,
        requests=site.log.requests,
        stored_requests=watch.requests,
        store_calls=site.store_calls(),
        overshoot=max((bucket.overshoot_share() for bucket in must_hold), default=0.0),
        broken=any(bucket.is_broken(largest_request) for bucket in must_hold),
        quota_overshoot=max((b.overshoot_share() for b in watch.quotas.values()), default=0.0),
        admissible_units=watch.admissible_units(),
        admissible_rejected_units=watch.admissible_rejected_units(),
        absences=sum(count["absences"] for count in counts),
        late_answers=sum(count["late"] for count in counts),
    )


def run_jobs(jobs: list[Job], processes: int) -> Iterator[Result]:
    """Yields the results in the order of the jobs, each as soon as it is available."""
    if processes <= 1:
        yield from map(run_job, jobs)
        return
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        yield from pool.imap(run_job, jobs, chunksize=1)


def summary(results: list[Result]) -> dict[str, Any]:
    """Returns the report: figures of the runs with a store and of both comparisons."""
    even_split = [result for result in results if result.kind == EVEN_SPLIT]
    no_store = [result for result in results if result.kind == NO_STORE]
    with_store = [result for result in results if result.kind not in (EVEN_SPLIT, NO_STORE)]
    without_faults = [result for result in with_store if result.kind == "none"] or with_store
    overshoots = sorted(max(0.0, result.overshoot) for result in with_store)
    return {
        "runs": len(with_store),
        "broken": sum(result.broken for result in with_store),
        "worst_overshoot_share": _percentile(overshoots, 1.0),
        "overshoot_p50_p99_max": [_percentile(overshoots, share) for share in (0.5, 0.99, 1.0)],
        "calls_per_request": _ratio(
            sum(result.store_calls for result in without_faults),
            sum(result.requests for result in without_faults),
        ),
        "refused_with_room_share": _rejected_share(without_faults),
        "refused_with_room_share_even_split": _rejected_share(even_split),
        "refused_with_room_share_no_store": _rejected_share(no_store),
        "worst_overshoot_of_quota_no_store": round(
            max((result.quota_overshoot for result in no_store), default=0.0), 4
        ),
        "by_fault": {
            kind: _summary_of_kind([result for result in with_store if result.kind == kind])
            for kind in dict.fromkeys(result.kind for result in with_store)
        },
    }


def _summary_of_kind(results: list[Result]) -> dict[str, Any]:
    return {
        "runs": len(results),
        "broken": sum(result.broken for result in results),
        "worst_overshoot_share": round(max(0.0, *[result.overshoot for result in results]), 4),
        "calls_per_kept_request": _ratio(
            sum(result.store_calls for result in results),
            sum(result.stored_requests for result in results),
        ),
        "refused_with_room_share": _rejected_share(results),
        "went_to_even_share": sum(result.absences for result in results),
        "late_answers": sum(result.late_answers for result in results),
        "broken_seeds": [result.seed for result in results if result.broken],
    }


def _percentile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    value = ordered[min(len(ordered) - 1, int(share * len(ordered)))]
    return round(value, 4) + 0.0  # not -0.0


def _rejected_share(results: list[Result]) -> float:
    return _ratio(
        sum(result.admissible_rejected_units for result in results),
        sum(result.admissible_units for result in results),
    )


def _ratio(dividend: float, divisor: float) -> float:
    return round(dividend / divisor, 5) if divisor else 0.0
