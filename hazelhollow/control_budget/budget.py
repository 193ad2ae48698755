"""A hierarchical token bucket over a limiter's control traffic.

| bucket | is filled by | is spent by |
| --- | --- | --- |
| one a role | the role's guaranteed rate | that role only |
| the pool | overflow of those, and the rate that no role is guaranteed | any role |

Of the pool each role leaves `POOL_RESERVE_SHARE` to each role before it.

Tokens are bytes, headers included, and only move: in any window of `w` seconds at most
`rate * w + burst` bytes leave, whatever the roles ask for. No I/O, no clock: the time is passed in,
in seconds. `docs/design/control-budget.md` says why it is built so.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

HEADER_BYTES = 28  # of IP and UDP, for each datagram
MAX_DATAGRAM_BYTES = 256 + HEADER_BYTES  # of the largest datagram, with its headers
# Below this membership is guaranteed less than its probes and answers need.
MIN_BYTES_PER_S = 3000.0
# Of bytes_per_s; the rest is what a full burst adds to the worst ten seconds.
SUSTAINED_SHARE = 0.9
BURST_S = 1.0  # of bytes_per_s, that all buckets together hold
POOL_RESERVE_SHARE = 0.15  # of the pool, that each role leaves to each one before it


class TrafficRole(Enum):
    """What a datagram is for, in the order in which the pool is lent.

    The values are the keys of the operators' page.
    """

    MEMBERSHIP = "view"
    QUOTA = "quota"
    REPLICATION = "replication"
    CONFIGURATION = "configuration"


@dataclass(frozen=True)
class RoleGuarantee:
    """`rate_share`: of bytes_per_s that a role is guaranteed.

    `burst_s`: seconds of that rate that its bucket holds.
    """

    rate_share: float
    burst_s: float


ROLE_GUARANTEES: Mapping[TrafficRole, RoleGuarantee] = {
    TrafficRole.MEMBERSHIP: RoleGuarantee(0.30, 1.2),
    TrafficRole.QUOTA: RoleGuarantee(0.40, 0.6),
    TrafficRole.REPLICATION: RoleGuarantee(0.10, 1.0),
    TrafficRole.CONFIGURATION: RoleGuarantee(0.10, 1.0),
}


@dataclass(frozen=True)
class BucketSettings:
    """`rate`: bytes a second that come in. `burst`: the most bytes that it holds."""

    rate: float
    burst: float


@dataclass(frozen=True)
class BudgetSettings:
    """`rate` of all together, in bytes a second; the roles' buckets; bytes that the pool holds.

    Raises ValueError where the parts do not fit together.
    """

    rate: float
    roles: Mapping[TrafficRole, BucketSettings]
    pool_burst: float

    def __post_init__(self) -> None:
        if sum(bucket.rate for bucket in self.roles.values()) > self.rate * (1 + 1e-9):
            raise ValueError("the roles are guaranteed more than the whole rate")
        if any(bucket.burst < MAX_DATAGRAM_BYTES for bucket in self.roles.values()):
            raise ValueError(
                f"a role's burst is less than a datagram of {MAX_DATAGRAM_BYTES} bytes"
            )

    @property
    def burst(self) -> float:
        """Bytes that may leave at once, over all roles."""
        return self.pool_burst + sum(bucket.burst for bucket in self.roles.values())


def settings_for(bytes_per_s: float) -> BudgetSettings:
    """Buckets by which at most that many bytes a second leave over the worst ten seconds.

    Raises ValueError for less than `MIN_BYTES_PER_S`.
    """
    if bytes_per_s < MIN_BYTES_PER_S:
        raise ValueError(f"{bytes_per_s:g} bytes a second is less than {MIN_BYTES_PER_S:g}")
    roles = {
        role: BucketSettings(
            guarantee.rate_share * bytes_per_s,
            max(MAX_DATAGRAM_BYTES, guarantee.burst_s * guarantee.rate_share * bytes_per_s),
        )
        for role, guarantee in ROLE_GUARANTEES.items()
    }
    roles_burst = sum(bucket.burst for bucket in roles.values())
    pool_burst = max(MAX_DATAGRAM_BYTES, BURST_S * bytes_per_s - roles_burst)
    return BudgetSettings(SUSTAINED_SHARE * bytes_per_s, roles, pool_burst)


@dataclass
class RoleUsage:
    """Counters of one role since the start; their names are those of the operators' page.

    `sent` datagrams and their `bytes`; messages that had to wait (`deferred`, each time that one
    asked in vain) and those given up (`dropped`).
    """

    sent: int = 0
    bytes: int = 0
    deferred: int = 0
    dropped: int = 0


class ControlBudget:
    """The budget of one limiter. `now`: of the start, in seconds; the buckets are full then.

    A clock that goes back gives nothing for that time; one that jumps ahead gives the burst.
    """

    def __init__(self, settings: BudgetSettings, now: float) -> None:
        self.settings = settings
        self.usage = {role: RoleUsage() for role in TrafficRole}
        self._tokens = {role: bucket.burst for role, bucket in settings.roles.items()}
        self._pool = settings.pool_burst  # below 0: bytes that left without being asked about
        self._unguaranteed = settings.rate - sum(bucket.rate for bucket in settings.roles.values())
        # Bytes of the pool that each role leaves to those before it.
        self._reserved = {
            role: POOL_RESERVE_SHARE * place * settings.pool_burst
            for place, role in enumerate(settings.roles)
        }
        self._filled_at = now

    def available(self, role: TrafficRole, now: float) -> float:
        """Bytes that the role may send now: its own, and what may be lent to it."""
        self._refill(now)
        return self._tokens[role] + max(0.0, self._pool - self._reserved[role])

    def take(self, role: TrafficRole, size: int, now: float, keep_bytes: float = 0.0) -> bool:
        """Whether a datagram of `size` bytes, headers included, may leave now; spends them if so.

        `keep_bytes`: bytes that must be left to the role.
        """
        if self.available(role, now) - size < keep_bytes:
            self.usage[role].deferred += 1
            return False
        self._spend(role, size)
        return True

    def debit(self, role: TrafficRole, size: int, now: float) -> None:
        """A datagram that has left without being asked about.

        What the role's bucket lacks is the pool's debt: nothing is lent until it is paid. The debt
        is at most as large as the burst.
        """
        self._refill(now)
        self._spend(role, size)
        self._pool = max(self._pool, -self.settings.burst)

    def drop(self, role: TrafficRole) -> None:
        """Counts a message that had to wait and was given up."""
        self.usage[role].dropped += 1

    def document(self) -> dict[str, Any]:
        """The budget and its counters as operators see them."""
        return {
            "rate": round(self.settings.rate),
            "burst": round(self.settings.burst),
            "roles": {role.value: vars(usage).copy() for role, usage in self.usage.items()},
        }

    def _spend(self, role: TrafficRole, size: int) -> None:
        """Takes what the pool lends first.

        The role's own bucket overflows into the pool once it is full, and a full pool is lost.
        """
        lent = min(size, max(0.0, self._pool - self._reserved[role]))
        own = min(self._tokens[role], size - lent)
        self._tokens[role] -= own
        self._pool -= size - own
        self.usage[role].sent += 1
        self.usage[role].bytes += size

    def _refill(self, now: float) -> None:
        passed, self._filled_at = max(0.0, now - self._filled_at), now
        if not passed:
            return
        to_pool = self._unguaranteed * passed
        for role, bucket in self.settings.roles.items():
            tokens = self._tokens[role] + bucket.rate * passed
            to_pool += max(0.0, tokens - bucket.burst)
            self._tokens[role] = min(bucket.burst, tokens)
        self._pool = min(self.settings.pool_burst, self._pool + to_pool)


class RoleBudget:
    """One role's side of the budget, as a subsystem asks it.

    `overhead_bytes`: of each datagram beyond its text; by default its headers.
    """

    def __init__(
        self, budget: ControlBudget, role: TrafficRole, overhead_bytes: int = HEADER_BYTES
    ) -> None:
        self.budget, self.role, self.overhead_bytes = budget, role, overhead_bytes

    @property
    def burst(self) -> float:
        """Bytes of the role's own bucket when it is full."""
        return self.budget.settings.roles[self.role].burst

    def available_bytes(self, now: float) -> float:
        """Bytes of text that one datagram may have now."""
        return self.budget.available(self.role, now) - self.overhead_bytes

    def take(self, length: int, now: float, keep_share: float = 0.0) -> bool:
        """Whether a text of `length` bytes may leave now; spends them if so.

        `keep_share`: share of the role's own burst that must be left, 0 to 1.
        """
        return self.budget.take(
            self.role, length + self.overhead_bytes, now, keep_share * self.burst
        )

    def drop(self) -> None:
        """Counts a message that was given up."""
        self.budget.drop(self.role)
