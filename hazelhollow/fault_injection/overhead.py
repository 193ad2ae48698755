"""CPU and memory overhead of the features that operator files enable.

The operator files are compared in alternating runs without faults.
"""

from __future__ import annotations

import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hazelhollow.fault_injection.loopback_cluster import OperatorFile
from hazelhollow.fault_injection.plan import Load, Plan
from hazelhollow.fault_injection.run import FaultInjectionRun, Progress

UNLIMITED = 1e6  # units, and units per second


@dataclass(frozen=True)
class CostOptions:
    """The runs to make.

    Attributes:
        instances: number of limiters.
        rate: requests per second at each limiter.
        seconds: duration of the load in each run.
        rounds: number of runs for each operator file.
    """

    instances: int
    rate: float
    seconds: float
    rounds: int


def cost(
    options: CostOptions, variants: dict[str, OperatorFile | None], progress: Progress
) -> dict[str, Any]:
    """Measures the CPU time per request (µs) and the peak memory (MB) with each operator file.

    It also gives the ratio of each CPU time to that of the first variant and to that of the
    previous one. Ratios are computed round by round, so that a machine whose speed drifts does not
    distort them. CPU times and ratios are medians.
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
    cpu: dict[str, list[float]] = {variant: [] for variant in variants}
    memory: dict[str, float] = dict.fromkeys(variants, 0.0)
    for number in range(options.rounds):
        # The order alternates, so that no variant always runs first.
        order = list(variants) if number % 2 == 0 else list(reversed(variants))
        for variant in order:
            progress(f"round {number + 1} of {options.rounds}, {variant}")
            figures = FaultInjectionRun(
                plan,
                Path(tempfile.mkdtemp(prefix="hazelhollow-cost-")),
                operator=variants[variant],
            ).run()
            cpu[variant].append(figures["cpu_per_request_us"])
            memory[variant] = max(memory[variant], figures["most_memory_mb"])
    names = list(variants)
    return {
        "requests_per_limiter_s": options.rate,
        "ways": {
            variant: {
                "cpu_per_request_us": round(statistics.median(cpu[variant]), 1),
                "most_memory_mb": memory[variant],
                "cpu_ratio_to_first": _median_ratio(cpu[variant], cpu[names[0]]),
                "cpu_ratio_to_before": _median_ratio(
                    cpu[variant], cpu[names[max(0, position - 1)]]
                ),
            }
            for position, variant in enumerate(names)
        },
    }


def _median_ratio(values: list[float], references: list[float]) -> float:
    ratios = [value / reference for value, reference in zip(values, references, strict=True)]
    return round(statistics.median(ratios), 4)
