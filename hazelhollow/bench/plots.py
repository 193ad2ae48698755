"""Figures as pictures, with matplotlib, which only this module imports."""

from __future__ import annotations

from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

TIMES = {
    "one_suspected": "a crash suspected",
    "one_dead": "a crash agreed on",
    "half_dead": "a crash of half",
    "split": "a split",
    "heal": "its heal",
}
COSTS = {"messages": "datagrams", "bytes": "bytes"}


def fleet(found: dict[str, Any], file: str) -> None:
    """`found` as `bench.fleet.report` gives it."""
    sizes = [int(size) for size in found]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 5))
    for key, name in TIMES.items():
        left.plot(sizes, [found[str(n)][key]["median"] for n in sizes], marker="o", label=name)
    for key, name in COSTS.items():
        right.plot(
            sizes,
            [found[str(n)][key]["median"] for n in sizes],
            marker="o",
            label=f"{name} a second and member",
        )
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
    pyplot.close(figure)
