"""The topology of a fleet: regions of zones of racks, and which pairs of limiters are partitioned.

A limiter's rack, zone and region are computed from its number alone, so that all processes of a run
agree on them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hazelhollow.scale.plan import FleetTerms

CutPredicate = Callable[[int, int], bool]
"""Whether datagrams from the first limiter to the second are dropped."""


class Topology(NamedTuple):
    """Assigns limiters to racks in the order of their numbers; those of a zone are adjacent."""

    limiters: int
    regions: int
    zones: int
    racks: int

    def zone(self, number: int) -> int:
        """Returns the zone of a limiter."""
        return number * self.zones // self.limiters

    def region(self, number: int) -> int:
        """Returns the region of a limiter."""
        return self.zone(number) * self.regions // self.zones

    def rack(self, number: int) -> int:
        """Returns the rack of a limiter."""
        return number * self.racks // self.limiters


def make_topology(limiters: int, terms: FleetTerms) -> Topology:
    """Creates the topology of that many limiters; if they are fewer than racks, some are empty."""
    return Topology(limiters, terms.regions, terms.zones, terms.racks)


def no_cut(_source: int, _target: int) -> bool:
    """Returns False: the predicate of a network without a partition."""
    return False


def region_partition(topology: Topology, region: int) -> CutPredicate:
    """Returns the predicate of a two-way partition between one region and all others."""
    return lambda source, target: (topology.region(source) == region) != (
        topology.region(target) == region
    )
