"""Compares the figures of a fleet of real processes with those of hollow limiters.

Both fleets have the same settings and tenants, at a size at which all limiters can be real. The
figures are datagrams and bytes a second by role and processor time for control without requests,
the gossip under load, and the seconds until all members agree after a start and after one death.
"""

from __future__ import annotations

from hazelhollow.fault_injection.errors import HarnessError
from hazelhollow.scale.comparison_plan import Figures, FleetPlan, Progress
from hazelhollow.scale.errors import MeasurementError, RunError
from hazelhollow.scale.hollow_figures import hollow_figures
from hazelhollow.scale.real_fleet import real_figures
from hazelhollow.scale.results import Comparison

MARGIN = 0.25  # allowed difference between real and hollow figures, as a fraction of the real one
# Units of figures by the first word of their names.
UNITS = {"datagrams": "/s", "bytes": "B/s", "processor": "core", "agreed": "s"}


def compare(plan: FleetPlan, progress: Progress) -> tuple[Comparison, ...]:
    """Plays both fleets and compares their figures. Raises MeasurementError."""
    try:
        real = real_figures(plan, progress)
        hollow = hollow_figures(plan, progress)
    except (HarnessError, RunError) as error:
        raise MeasurementError(str(error)) from error
    return comparisons(real, hollow)


def comparisons(real: Figures, hollow: Figures) -> tuple[Comparison, ...]:
    """Returns one comparison for each figure in both fleets, in the order of the real ones."""
    return tuple(
        Comparison(
            figure=name, unit=UNITS[name.split()[0]], real=value, hollow=hollow[name], margin=MARGIN
        )
        for name, value in real.items()
        if name in hollow
    )
