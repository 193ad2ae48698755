"""Where limiters stand, and which pairs of them cannot hear each other.

Regions of zones of racks, by the limiter's number.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hazelhollow.scale.plan import FleetTerms

CutPredicate = Callable[[int, int], bool]


class Topology(NamedTuple):
    """`limiters` in their order over the racks, those of one zone side by side."""

    limiters: int
    regions: int
    zones: int
    racks: int

    def zone(self, number: int) -> int:
        return number * self.zones // self.limiters

    def region(self, number: int) -> int:
        return self.zone(number) * self.regions // self.zones

    def rack(self, number: int) -> int:
        return number * self.racks // self.limiters


def make_topology(limiters: int, terms: FleetTerms) -> Topology:
    """Raises nothing: a fleet smaller than its racks leaves some of them empty."""
    return Topology(limiters, terms.regions, terms.zones, terms.racks)


def no_cut(source: int, target: int) -> bool:
    """The cut of a network that is whole."""
    return False


def region_partition(topology: Topology, region: int) -> CutPredicate:
    """The cut between one region and the others: no datagram passes, whoever sends it."""
    return lambda source, target: (topology.region(source) == region) != (
        topology.region(target) == region
    )
