"""CPU and memory of what an operator file switches on, in calm runs that take turns."""

from __future__ import annotations

import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hazelhollow.fault_injection.loopback_cluster import OperatorFile
from hazelhollow.fault_injection.plan import Load, Plan
from hazelhollow.fault_injection.run import FaultInjectionRun, Progress

UNLIMITED = 1e6  # units and units a second


@dataclass(frozen=True)
class CostOptions:
    """The runs to make: limiters, requests a second at each, seconds of load, and rounds."""

    instances: int
    rate: float
    seconds: float
    rounds: int


def cost(
    options: CostOptions, ways: dict[str, OperatorFile | None], progress: Progress
) -> dict[str, Any]:
    """CPU a request in µs and most memory in MB by operator file.

    Also each one's ratio to the first and to the one before it, taken round by round, so that a
    machine whose speed drifts does not matter; medians.
    """
    plan = Plan(
        name="cost",
        instances=options.instances,
        hosts=2,
        seconds=options.seconds,
        per_second=UNLIMITED,
        burst=UNLIMITED,
        load=(Load(customer="00000000b4d65521", rate=options.rate),),
    )
    cpu: dict[str, list[float]] = {way: [] for way in ways}
    memory: dict[str, float] = dict.fromkeys(ways, 0.0)
    for number in range(options.rounds):
        order = list(ways) if number % 2 == 0 else list(reversed(ways))  # no way always comes first
        for way in order:
            progress(f"round {number + 1} of {options.rounds}, {way}")
            found = FaultInjectionRun(
                plan,
                Path(tempfile.mkdtemp(prefix="hazelhollow-cost-")),
                operator=ways[way],
            ).run()
            cpu[way].append(found["cpu_per_request_us"])
            memory[way] = max(memory[way], found["most_memory_mb"])
    names = list(ways)
    return {
        "requests_per_limiter_s": options.rate,
        "ways": {
            way: {
                "cpu_per_request_us": round(statistics.median(cpu[way]), 1),
                "most_memory_mb": memory[way],
                "cpu_ratio_to_first": _ratio(cpu[way], cpu[names[0]]),
                "cpu_ratio_to_before": _ratio(cpu[way], cpu[names[max(0, place - 1)]]),
            }
            for place, way in enumerate(names)
        },
    }


def _ratio(values: list[float], references: list[float]) -> float:
    ratios = [value / reference for value, reference in zip(values, references, strict=True)]
    return round(statistics.median(ratios), 4)
