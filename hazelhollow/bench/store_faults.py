"""Kinds of faults in the runs of `store`: of the shared store, and of limiters.

A kind yields either a list of faults for the stand-in, drawn from the run's own generator, or a
schedule of calls on limiters.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from hazelhollow.bench.simulated_limiter import SimulatedLimiter
from hazelhollow.bench.world import START, LimiterSite
from hazelhollow.standins.redis.faults import Fault

# Two kinds for comparison. The store is always down, so that each limiter uses its even share.
EVEN_SPLIT = "even_split"
# There is no store: quotas are kept by gossip and ceilings are split evenly.
NO_STORE = "no_store"

FaultDraw = Callable[[random.Random], list[Fault]]


def _share_of_commands(kind: str, share: float, **options: Any) -> FaultDraw:
    """Affects a share of commands for a long period in the middle of the run."""
    return lambda draw: [
        Fault(kind, at=draw.uniform(2, 6), lasts=draw.uniform(10, 20), share=share, **options)
    ]


def _in_two_periods(kind: str, shortest_s: float, longest_s: float) -> FaultDraw:
    """Affects all commands during two periods."""
    return lambda draw: [
        Fault(kind, at=at + draw.uniform(0, 6), lasts=draw.uniform(shortest_s, longest_s))
        for at in (4, 22)
    ]


def _three_times(kind: str, **options: Any) -> FaultDraw:
    """Occurs three times."""
    return lambda draw: [Fault(kind, at=at + draw.uniform(0, 8), **options) for at in (4, 14, 24)]


STORE_FAULTS: dict[str, FaultDraw] = {
    "none": lambda _: [],
    EVEN_SPLIT: lambda _: [Fault("down")],
    NO_STORE: lambda _: [],
    "slow": _share_of_commands("slow", 0.2, delay=0.08),
    "late": _share_of_commands("late", 0.2, delay=0.1),
    "lost": _share_of_commands("lost", 0.03),
    "cut_before": _share_of_commands("cut_before", 0.03),
    "cut_after": _share_of_commands("cut_after", 0.03),
    "half": _share_of_commands("half", 0.03),
    "garbage": _share_of_commands("garbage", 0.03),
    "restart_empty": _three_times("restart_empty", lasts=0.6),
    "restart_old": _three_times("restart_old", lasts=0.4, age=4.0),
    "flush_scripts": _three_times("flush_scripts", every=3.0),
    "flush_data": _three_times("flush_data"),
    "loading": _in_two_periods("loading", 1.0, 4.0),
    "readonly": _in_two_periods("readonly", 1.0, 4.0),
    "oom": _in_two_periods("oom", 1.0, 4.0),
    "busy": _in_two_periods("busy", 1.0, 4.0),
    "stall": _in_two_periods("stall", 0.5, 3.0),
    "down": _in_two_periods("down", 6.0, 12.0),
    "clock_jump": lambda draw: [
        Fault("clock_jump", at=draw.uniform(5, 20), by=by)
        for by in (30.0, -45.0, draw.uniform(-3, 3))
    ],
}
# Faults of limiters while the store is healthy, with the shortest and longest duration of each.
# Clock skew is not listed because it lasts for the entire run.
LIMITER_FAULT_DURATIONS_S = {"partition": (2, 14), "kill": (1.7, 7.6), "pause": (0.3, 5)}
LIMITER_FAULTS = ("partition", "kill", "pause", "clocks")
MIXED = "mixed"  # MIXED_KINDS kinds at once
MIXED_KINDS = 3
CLOCK_SKEW_S = 0.05  # maximum, in either direction
FAULT_GAP_S = (3, 9)  # before the first fault of a limiter and between two faults
# Run with all customers; other kinds only with customers whose limits the store keeps.
WITH_ALL_CUSTOMERS = ("none", EVEN_SPLIT, NO_STORE)
KINDS = tuple(
    kind for kind in (*STORE_FAULTS, *LIMITER_FAULTS, MIXED) if kind not in (EVEN_SPLIT, NO_STORE)
)


def draw_kinds(kind: str, draw: random.Random) -> list[str]:
    """Returns the kinds to run: `kind` alone, or a random selection for MIXED."""
    if kind != MIXED:
        return [kind]
    return draw.sample([k for k in KINDS if k not in ("none", MIXED)], MIXED_KINDS)


def draw_store_faults(kinds: list[str], draw: random.Random) -> list[Fault]:
    """Draws the faults of the store for these kinds."""
    return [fault for kind in kinds if kind in STORE_FAULTS for fault in STORE_FAULTS[kind](draw)]


def schedule_limiter_faults(kind: str, site: LimiterSite, draw: random.Random) -> None:
    """Schedules repeated faults of a kind in LIMITER_FAULTS for a third of the limiters."""
    for limiter in draw.sample(site.limiters, max(1, len(site.limiters) // 3)):
        if kind == "clocks":
            limiter.clock_skew = draw.uniform(-CLOCK_SKEW_S, CLOCK_SKEW_S)
            continue
        at = START + draw.uniform(*FAULT_GAP_S)
        while at < START + site.options.seconds:
            durations = {
                name: draw.uniform(*span) for name, span in LIMITER_FAULT_DURATIONS_S.items()
            }
            site.timeline.at(at, _begin_fault, kind, limiter)
            site.timeline.at(at + durations[kind], _end_fault, kind, limiter)
            at += durations[kind] + draw.uniform(*FAULT_GAP_S)


def _begin_fault(kind: str, limiter: SimulatedLimiter) -> None:
    if kind == "partition":
        limiter.is_cut_off = True
    elif kind == "pause":
        limiter.pause()
    elif not limiter.is_down:
        limiter.kill()


def _end_fault(kind: str, limiter: SimulatedLimiter) -> None:
    if kind == "partition":
        limiter.is_cut_off = False
    elif kind == "pause":
        limiter.resume()
    elif limiter.is_down:
        limiter.start()
