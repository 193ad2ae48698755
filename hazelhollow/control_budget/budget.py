"""A hierarchical token bucket over a limiter's control traffic.

No I/O, no clock: the time is passed in, in seconds.

Each role has a bucket of its own that nobody else draws on: its guaranteed rate. What a full bucket
cannot hold, and the rate that no role is guaranteed, fills a shared pool, which is lent by
priority. Tokens are bytes and only move, so that in any window of `w` seconds at most `rate * w +
burst` bytes leave, whatever the roles ask for. `docs/design/control-budget.md` says why.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

HEADER_BYTES = 28  # of IP and UDP, a datagram
MAX_DATAGRAM_BYTES = 256 + HEADER_BYTES  # bytes of the largest datagram, with its headers
SUSTAINED = 0.9  # of bytes_per_s; the rest is what a full burst adds to the worst ten seconds
BURST_SECONDS = 1.0  # of bytes_per_s, over all
POOL_KEPT = 0.15  # share of the pool that each role leaves to each one before it
# below this the view is guaranteed less than its probes and answers need
MIN_BYTES_PER_S = 3000.0


class TrafficRole(Enum):
    """What a datagram is for, in the order in which unused rate is lent."""

    MEMBERSHIP = "view"
    QUOTA = "quota"
    REPLICATION = "replication"
    CONFIGURATION = "configuration"


@dataclass(frozen=True)
class RoleGuarantee:
    """`rate`.

    Of bytes_per_s that a role is guaranteed; `seconds`: of that rate that its bucket holds.
    """

    rate: float
    seconds: float


ROLE_GUARANTEES: Mapping[TrafficRole, RoleGuarantee] = {
    TrafficRole.MEMBERSHIP: RoleGuarantee(0.30, 1.2),
    TrafficRole.QUOTA: RoleGuarantee(0.40, 0.6),
    TrafficRole.REPLICATION: RoleGuarantee(0.10, 1.0),
    TrafficRole.CONFIGURATION: RoleGuarantee(0.10, 1.0),
}


@dataclass(frozen=True)
class BucketSettings:
    """Bytes a second, and the most bytes that it holds."""

    rate: float
    burst: float


@dataclass(frozen=True)
class BudgetSettings:
    """`rate` of all together, in bytes a second; the roles' buckets and the pool."""

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

    Raises ValueError for too few.
    """
    if bytes_per_s < MIN_BYTES_PER_S:
        raise ValueError(f"{bytes_per_s:g} bytes a second is less than {MIN_BYTES_PER_S:g}")
    roles = {
        role: BucketSettings(
            share.rate * bytes_per_s,
            max(MAX_DATAGRAM_BYTES, share.seconds * share.rate * bytes_per_s),
        )
        for role, share in ROLE_GUARANTEES.items()
    }
    held = sum(bucket.burst for bucket in roles.values())
    return BudgetSettings(
        SUSTAINED * bytes_per_s, roles, max(MAX_DATAGRAM_BYTES, BURST_SECONDS * bytes_per_s - held)
    )


@dataclass
class RoleUsage:
    """Of one role since the start.

    Datagrams and bytes sent; messages that had to wait, and those given up.
    """

    sent: int = 0
    bytes: int = 0
    deferred: int = 0
    dropped: int = 0


class ControlBudget:
    """The budget of one limiter.

    A clock that goes back gives nothing for that time; one that jumps ahead, the burst.
    """

    def __init__(self, settings: BudgetSettings, now: float) -> None:
        self.settings = settings
        self.usage = {role: RoleUsage() for role in TrafficRole}
        self._roles = tuple(settings.roles)
        self._tokens = {role: bucket.burst for role, bucket in settings.roles.items()}
        self._pool = settings.pool_burst
        self._unguaranteed = settings.rate - sum(bucket.rate for bucket in settings.roles.values())
        self._kept = {
            role: POOL_KEPT * place * settings.pool_burst for place, role in enumerate(self._roles)
        }
        self._at = now

    def available(self, role: TrafficRole, now: float) -> float:
        """Bytes that the role may send now: its own, and what may be lent to it."""
        self._refill(now)
        return self._tokens[role] + max(0.0, self._pool - self._kept[role])

    def take(self, role: TrafficRole, size: int, now: float, keep: float = 0.0) -> bool:
        """Whether a datagram of that size, headers included, may leave now.

        `keep`: bytes that must be left to the role.
        """
        if self.available(role, now) - size < keep:
            self.usage[role].deferred += 1
            return False
        self._spend(role, size)
        return True

    def debit(self, role: TrafficRole, size: int, now: float) -> None:
        """A datagram that has left without being asked about.

        What the role's bucket lacks is the pool's debt, so that nothing is lent until it is made
        good. The debt is at most as large as the burst.
        """
        self._refill(now)
        self._spend(role, size)
        self._pool = max(self._pool, -self.settings.burst)

    def drop(self, role: TrafficRole) -> None:
        """A message that had to wait was given up."""
        self.usage[role].dropped += 1

    def document(self) -> dict[str, Any]:
        """The budget and its counters as operators see them."""
        return {
            "rate": round(self.settings.rate),
            "burst": round(self.settings.burst),
            "roles": {role.value: vars(usage).copy() for role, usage in self.usage.items()},
        }

    def _spend(self, role: TrafficRole, size: int) -> None:
        """What is lent goes first.

        The role's own bucket, once full, fills the pool again, and a full pool is lost.
        """
        lent = min(size, max(0.0, self._pool - self._kept[role]))
        own = min(self._tokens[role], size - lent)
        self._tokens[role] -= own
        self._pool -= size - own
        self.usage[role].sent += 1
        self.usage[role].bytes += size

    def _refill(self, now: float) -> None:
        passed, self._at = max(0.0, now - self._at), now
        if not passed:
            return
        to_pool = self._unguaranteed * passed
        for role, bucket in self.settings.roles.items():
            tokens = self._tokens[role] + bucket.rate * passed
            to_pool += max(0.0, tokens - bucket.burst)
            self._tokens[role] = min(bucket.burst, tokens)
        self._pool = min(self.settings.pool_burst, self._pool + to_pool)


class RoleBudget:
    """One role's side of the budget, as a producer asks it.

    `overhead`: bytes beyond a message's text.
    """

    def __init__(
        self, budget: ControlBudget, role: TrafficRole, overhead: int = HEADER_BYTES
    ) -> None:
        self.budget, self.role, self.overhead = budget, role, overhead

    @property
    def burst(self) -> float:
        """Bytes of the role's own bucket when it is full."""
        return self.budget.settings.roles[self.role].burst

    def available_bytes(self, now: float) -> float:
        """Bytes of text that one datagram may have now."""
        return self.budget.available(self.role, now) - self.overhead

    def take(self, length: int, now: float, keep: float = 0.0) -> bool:
        """Whether a text of that length may leave now.

        `keep`: share of the role's own burst that must be left.
        """
        return self.budget.take(self.role, length + self.overhead, now, keep * self.burst)

    def drop(self) -> None:
        self.budget.drop(self.role)
