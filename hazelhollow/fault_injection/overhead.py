"""What the view costs.

Calm drills in turn, without an operator file, with one that switches nothing on, and with the view.
"""

from __future__ import annotations

import statistics
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hazelhollow.fault_injection.plan import Load, Plan
from hazelhollow.fault_injection.run import FaultInjectionRun, Progress

Operator = Callable[[str, Path], str]


def quiet_file(name: str, home: Path) -> str:
    """An operator file that switches on nothing but its own way of logging."""
    return 'package operator\nlog: format: "console"\n'


def cost(
    instances: int,
    rate: float,
    seconds: float,
    rounds: int,
    ways: dict[str, Operator | None],
    progress: Progress,
) -> dict[str, Any]:
    """CPU a request in µs and most memory in MB by way.

    And each way's ratio to the first and to the one before it, round by round, so that a machine
    whose speed drifts does not matter; medians.
    """
    load = (Load(customer="00000000b4d65521", rate=rate),)
    plan = Plan(
        name="cost",
        instances=instances,
        hosts=2,
        seconds=seconds,
        per_second=1e6,
        burst=1e6,
        load=load,
    )
    cpu: dict[str, list[float]] = {way: [] for way in ways}
    memory: dict[str, float] = dict.fromkeys(ways, 0.0)
    for number in range(rounds):
        order = list(ways) if number % 2 == 0 else list(reversed(ways))  # nobody always comes first
        for way in order:
            progress(f"round {number + 1} of {rounds}, {way}")
            found = FaultInjectionRun(
                plan,
                Path(tempfile.mkdtemp(prefix="hazelhollow-cost-")),
                lambda text: None,
                ways[way],
            ).run()
            cpu[way].append(found["cpu_per_request_us"])
            memory[way] = max(memory[way], found["most_memory_mb"])
    names = list(ways)
    return {
        "requests_per_limiter_s": rate,
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


def _ratio(one: list[float], other: list[float]) -> float:
    return round(statistics.median(a / b for a, b in zip(one, other, strict=True)), 4)
