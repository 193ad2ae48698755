"""The same figures from a fleet of real processes and from hollow limiters.

Both have the same settings and the same tenants, at a size at which all limiters can be real. What
is compared: datagrams and bytes a second by role and processor time for control without requests,
the gossip under load, and seconds until all agree after a start and after one death.
"""

from __future__ import annotations

from hazelhollow.fault_injection.errors import HarnessError
from hazelhollow.scale.comparison_plan import Figures, FleetPlan, Progress
from hazelhollow.scale.errors import MeasurementError, RunError
from hazelhollow.scale.hollow_figures import hollow_figures
from hazelhollow.scale.real_fleet import real_figures
from hazelhollow.scale.results import Comparison

MARGIN = 0.25  # by which real and hollow figures may differ, as a part of the real one
# Units of figures, by the first word of their names.
UNITS = {"datagrams": "/s", "bytes": "B/s", "processor": "core", "agreed": "s"}


def compare(plan: FleetPlan, progress: Progress) -> tuple[Comparison, ...]:
    """Plays both. Raises MeasurementError."""
    try:
        real = real_figures(plan, progress)
        hollow = hollow_figures(plan, progress)
    except (HarnessError, RunError) as error:
        raise MeasurementError(str(error)) from error
    return comparisons(real, hollow)


def comparisons(real: Figures, hollow: Figures) -> tuple[Comparison, ...]:
    """One comparison for each figure that both have, in the order of the real ones."""
    return tuple(
        Comparison(
            figure=name, unit=UNITS[name.split()[0]], real=value, hollow=hollow[name], margin=MARGIN
        )
        for name, value in real.items()
        if name in hollow
    )
