"""The plan of `scale compare`, and the format of its figures.

`real_fleet` and `hollow_figures` both play a `FleetPlan` and return `Figures`, which
`fleet_comparison` compares by name.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hazelhollow.scale.plan import FleetTerms
from hazelhollow.scale.results import Role, Size

ROLES_WITH_DATAGRAMS = (Role.VIEW, Role.GOSSIP, Role.REPLICATION, Role.AUDIT)

Progress = Callable[[str], None]
"""Called with lines of text that report the progress."""
Figures = dict[str, float]
"""Values by name; the first word of a name determines the unit."""


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet that is played both by real processes and by hollow limiters.

    Attributes:
        limiters: Number of limiters.
        servers: Number of servers.
        routes: Number of routes.
        tenants: Number of tenants.
        requests_per_s: Requests a second of each limiter under load.
        settle_s: Seconds from the start to the first measurement.
        rest_s: Length of each measurement in seconds.
        deaths: Number of limiters that are killed, one after another.
        death_s: Seconds for which each death is observed.
        seed: Seed of all random draws.
    """

    limiters: int = 12
    servers: int = 2
    routes: int = 4
    tenants: int = 24
    requests_per_s: float = 10.0
    settle_s: float = 6.0
    rest_s: float = 10.0
    deaths: int = 3
    death_s: float = 8.0
    seed: int = 1

    @property
    def size(self) -> Size:
        """Returns the size under load."""
        return Size(
            limiters=self.limiters,
            servers=self.servers,
            routes=self.routes,
            tenants=self.tenants,
            requests_per_s=self.requests_per_s,
        )

    @property
    def terms(self) -> FleetTerms:
        """Returns how the fleet is set up: every tenant at all limiters, without authentication.

        Each limiter has its own rack, so that the loss of a rack is one death.
        """
        return FleetTerms(
            regions=1,
            zones=1,
            racks=self.limiters,
            spread_least=self.limiters,
            spread_most=self.limiters,
            sealed=False,
        )
