"""`hazelhollow bench store`.

Seeded runs of month-end load against the stand-in, without faults and with each kind.
"""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog

from hazelhollow.bench import load
from hazelhollow.bench.checker import Bucket
from hazelhollow.bench.world import START, WARM_UP, Fleet, Member
from hazelhollow.decisions import interface as api
from hazelhollow.operator.load import read
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.standins.redis.faults import Fault
from hazelhollow.standins.redis.node import Node

EVEN, TODAY = "even_split", "no_store"  # for comparison

Plan = Callable[[random.Random], list[Fault]]


def terms(hold: str = "both", plans: tuple[str, ...] = ()) -> StoreSettings:
    """The store's settings with their defaults, as an operator file gives them."""
    names = ", ".join(f'"{name}"' for name in plans)
    store = read(
        f'store: {{address: "127.0.0.1:6379", hold: "{hold}", plans: [{names}]}}'.encode(), "bench"
    ).store
    assert store
    return store


def _share(kind: str, share: float, **more: Any) -> Plan:
    """Hits some commands for a long middle part of the run."""
    return lambda chance: [
        Fault(kind, at=chance.uniform(2, 6), lasts=chance.uniform(10, 20), share=share, **more)
    ]


def _spell(kind: str, least: float, most: float) -> Plan:
    """All commands for a while, twice."""
    return lambda chance: [
        Fault(kind, at=at + chance.uniform(0, 6), lasts=chance.uniform(least, most))
        for at in (4, 22)
    ]


def _moments(kind: str, **more: Any) -> Plan:
    return lambda chance: [Fault(kind, at=at + chance.uniform(0, 8), **more) for at in (4, 14, 24)]


FAULTS: dict[str, Plan] = {
    "none": lambda chance: [],
    # never there: each limiter has its even share of the same limits
    EVEN: lambda chance: [Fault("down")],
    TODAY: lambda chance: [],  # no store: quotas by gossip, ceilings evenly split
    "slow": _share("slow", 0.2, delay=0.08),
    "late": _share("late", 0.2, delay=0.1),
    "lost": _share("lost", 0.03),
    "cut_before": _share("cut_before", 0.03),
    "cut_after": _share("cut_after", 0.03),
    "half": _share("half", 0.03),
    "garbage": _share("garbage", 0.03),
    "restart_empty": _moments("restart_empty", lasts=0.6),
    "restart_old": _moments("restart_old", lasts=0.4, age=4.0),
    "flush_scripts": _moments("flush_scripts", every=3.0),
    "flush_data": _moments("flush_data"),
    "loading": _spell("loading", 1.0, 4.0),
    "readonly": _spell("readonly", 1.0, 4.0),
    "oom": _spell("oom", 1.0, 4.0),
    "busy": _spell("busy", 1.0, 4.0),
    "stall": _spell("stall", 0.5, 3.0),
    "down": _spell("down", 6.0, 12.0),
    "clock_jump": lambda chance: [
        Fault("clock_jump", at=chance.uniform(5, 20), by=by)
        for by in (30.0, -45.0, chance.uniform(-3, 3))
    ],
}
# What goes wrong with limiters while the store is well.
MEMBERS = ("partition", "kill", "pause", "clocks")
# played with all customers; the others with those whose limits the store keeps
WHOLE = ("none", EVEN, TODAY)
KINDS = tuple(k for k in (*FAULTS, *MEMBERS, "mixed") if k not in (EVEN, TODAY))


@dataclass(frozen=True)
class Job:
    """One run.

    `store`: with it, or as limiters do without (quotas by gossip, ceilings evenly split).
    """

    seed: int
    kind: str
    limiters: int
    seconds: float
    hold: str = "both"
    store: bool = True
    plans: tuple[str, ...] = ()
    uneven: bool = False


class Result(msgspec.Struct):
    """What one run showed. Shares are of one customer's burst (overshoot) or of requests."""

    seed: int
    kind: str
    requests: int
    kept_requests: int  # of the customers whose limits the store keeps
    calls: float
    over: float  # the worst overshoot of a customer's ceiling
    broken: bool
    over_quota: float
    with_room: float  # units that one limiter with an exact ledger would have let in ...
    refused_with_room: float  # ... and that were refused here
    away: float
    late: float


class Watch:
    """Independent buckets beside the run.

    What was sent, and what one limiter that had it all to itself would have sent.
    """

    def __init__(self, fleet: Fleet, job: Job) -> None:
        held = [
            c
            for c in fleet.customers
            if c.plan.name in job.plans or (c.plan.ceiling_rate and not job.plans)
        ]
        self.quota = {c.id: _quota(c.plan) for c in held}
        self.ceiling = {c.id: _ceiling(c.plan) for c in held if c.plan.ceiling_rate}
        self.ideal = {
            c.id: [_quota(c.plan), *([_ceiling(c.plan)] if c.plan.ceiling_rate else [])]
            for c in held
        }
        self.could, self.did = dict.fromkeys(self.quota, 0.0), dict.fromkeys(self.quota, 0.0)
        # arrivals that the ideal has let in: it sees no retries of those
        self._taken: set[int] = set()
        self._kept: list[load.Arrival] = []  # so that no other arrival gets the same identity
        self._world = fleet.world
        self.requests = 0

    def see(self, arrival: load.Arrival, sent: bool) -> None:
        now, units, key = self._world.now, arrival.units, arrival.customer.id
        if key not in self.quota:
            return
        self.requests += 1
        counted = now >= START + WARM_UP  # what passes a limit counts from the first moment on
        if id(arrival) not in self._taken and min(b.fill(now) for b in self.ideal[key]) >= units:
            self._taken.add(id(arrival))
            self._kept.append(arrival)
            self.could[key] += units if counted else 0.0
            for bucket in self.ideal[key]:
                bucket.take(units, now)
        if sent:
            self.did[key] += units if counted else 0.0
            for book in (self.quota, self.ceiling):
                if key in book:
                    book[key].take(units, now)

    def short(self) -> float:
        """Units that the ideal would have let in and this run did not, customer by customer."""
        return sum(max(self.could[key] - self.did[key], 0.0) for key in self.could)


def _quota(plan: api.Plan) -> Bucket:
    return Bucket(plan.rate, plan.burst, START)


def _ceiling(plan: api.Plan) -> Bucket:
    return Bucket(plan.ceiling_rate, plan.ceiling_burst, START)


def play(job: Job) -> Result:
    """One run; the same job gives the same result, whatever runs beside it."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    chance = random.Random(f"faults {job.kind} {job.seed}")
    kinds = (
        [job.kind]
        if job.kind != "mixed"
        else chance.sample([k for k in KINDS if k not in ("none", EVEN, TODAY, "mixed")], 3)
    )
    plan = [fault for kind in kinds if kind in FAULTS for fault in FAULTS[kind](chance)]
    fleet = Fleet(
        job.seed,
        job.limiters,
        job.seconds,
        terms(job.hold, job.plans) if job.store else None,
        lambda clock: Node(clock, job.seed, "", plan),
        job.uneven,
    )
    for kind in kinds:
        if kind in MEMBERS:
            _trouble(kind, fleet, chance)
    watch = Watch(fleet, job)
    if job.kind not in WHOLE:
        fleet.customers = [c for c in fleet.customers if c.id in watch.quota]
    fleet.log.on_request = watch.see
    fleet.run()
    largest = max(load.UNITS)
    hard = watch.ceiling if job.hold == "ceilings" else {**watch.quota, **watch.ceiling}
    counts = [m.ledger.counts for m in fleet.members if m.ledger]
    return Result(
        seed=job.seed,
        kind=job.kind,
        requests=fleet.log.requests,
        kept_requests=watch.requests,
        calls=fleet.calls(),
        over=max((b.over_share() for b in hard.values()), default=0.0),
        broken=any(b.broken(largest) for b in hard.values()),
        over_quota=max((b.over_share() for b in watch.quota.values()), default=0.0),
        with_room=sum(watch.could.values()),
        refused_with_room=watch.short(),
        away=sum(c["absences"] for c in counts),
        late=sum(c["late"] for c in counts),
    )


def _trouble(kind: str, fleet: Fleet, chance: random.Random) -> None:
    members = chance.sample(fleet.members, max(1, len(fleet.members) // 3))
    for member in members:
        if kind == "clocks":
            member.skew = chance.uniform(-0.05, 0.05)
            continue
        at = START + chance.uniform(3, 9)
        while at < START + fleet.seconds:
            lasts = {
                "partition": chance.uniform(2, 14),
                "kill": chance.uniform(1.7, 7.6),
                "pause": chance.uniform(0.3, 5),
            }[kind]
            fleet.world.at(at, _begin, kind, member)
            fleet.world.at(at + lasts, _end, kind, member)
            at += lasts + chance.uniform(3, 9)


def _begin(kind: str, member: Member) -> None:
    if kind == "partition":
        member.cut_off = True
    elif kind == "pause":
        member.pause(True)
    elif not member.dead:
        member.kill()


def _end(kind: str, member: Member) -> None:
    if kind == "partition":
        member.cut_off = False
    elif kind == "pause":
        member.pause(False)
    elif member.dead:
        member.start()


def play_all(jobs: list[Job], processes: int) -> Iterator[Result]:
    """The results in the order of the jobs, as they come."""
    if processes <= 1:
        yield from map(play, jobs)
        return
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        yield from pool.imap(play, jobs, chunksize=1)


def summary(results: list[Result]) -> dict[str, Any]:
    """The report's top level.

    The even split and the way without a store are told apart from the runs with one.
    """
    even = [r for r in results if r.kind == EVEN]
    today = [r for r in results if r.kind == TODAY]
    results = [r for r in results if r.kind not in (EVEN, TODAY)]
    overs = sorted(max(0.0, r.over) for r in results)
    calm = [r for r in results if r.kind == "none"] or results

    def at(share: float) -> float:
        return (
            round(overs[min(len(overs) - 1, int(share * len(overs)))], 4) + 0.0 if overs else 0.0
        )  # not -0.0

    return {
        "runs": len(results),
        "broken": sum(r.broken for r in results),
        "worst_overshoot_share": at(1.0),
        "overshoot_p50_p99_max": [at(0.5), at(0.99), at(1.0)],
        "calls_per_request": _ratio(sum(r.calls for r in calm), sum(r.requests for r in calm)),
        "refused_with_room_share": _refused(calm),
        "refused_with_room_share_even_split": _refused(even),
        "refused_with_room_share_no_store": _refused(today),
        "worst_overshoot_of_quota_no_store": round(
            max((r.over_quota for r in today), default=0.0), 4
        ),
        "by_fault": {
            kind: _of_kind([r for r in results if r.kind == kind])
            for kind in dict.fromkeys(r.kind for r in results)
        },
    }


def _refused(results: list[Result]) -> float:
    return _ratio(sum(r.refused_with_room for r in results), sum(r.with_room for r in results))


def _of_kind(results: list[Result]) -> dict[str, Any]:
    return {
        "runs": len(results),
        "broken": sum(r.broken for r in results),
        "worst_overshoot_share": round(max(0.0, *[r.over for r in results]), 4),
        "calls_per_kept_request": _ratio(
            sum(r.calls for r in results), sum(r.kept_requests for r in results)
        ),
        "refused_with_room_share": _refused(results),
        "went_to_even_share": sum(r.away for r in results),
        "late_answers": sum(r.late for r in results),
        "broken_seeds": [r.seed for r in results if r.broken],
    }


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 5) if whole else 0.0
