"""Plots of the figures. Only this module imports matplotlib, which is optional."""

from __future__ import annotations

from typing import Any

from matplotlib.figure import Figure

SETTLING_TIMES = {
    "one_suspected": "a crash suspected",
    "one_dead": "a crash agreed on",
    "half_dead": "a crash of half",
    "split": "a split",
    "heal": "its heal",
}
COSTS = {"messages": "datagrams", "bytes": "bytes"}


def plot_fleet(results: dict[str, Any], file: str) -> None:
    """Plots the report of `bench.fleet` by fleet size; the file's suffix selects the format."""
    sizes = [int(size) for size in results]
    figure = Figure(figsize=(10, 5))
    left, right = figure.subplots(1, 2)
    for key, label in SETTLING_TIMES.items():
        left.plot(sizes, [row[key]["median"] for row in results.values()], marker="o", label=label)
    for key, label in COSTS.items():
        medians = [row[key]["median"] for row in results.values()]
        right.plot(sizes, medians, marker="o", label=f"{label} a second and member")
    left.set(
        xscale="log",
        xlabel="members",
        ylabel="seconds until all agree",
        title="Settling",
        ylim=(0, None),
    )
    right.set(
        xscale="log",
        yscale="log",
        xlabel="members",
        title="Cost while nothing happens",
        ylim=(1, 1000),
    )
    for side in (left, right):
        side.legend(fontsize=8, loc="upper center", bbox_to_anchor=(0.5, -0.18), ncols=2)
        side.set_xticks(sizes, [str(size) for size in sizes])
        side.minorticks_off()
        side.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(file)
