"""A hierarchical token bucket that limits a limiter's control traffic.

| bucket | is filled by | is spent by |
| --- | --- | --- |
| one per role | the role's guaranteed rate | that role only |
| the pool | overflow of the roles' buckets, and the rate guaranteed to no role | any role |

Each role must leave `POOL_RESERVE_SHARE` of the pool for each role before it.

Tokens are bytes including headers, and are moved between buckets but never created: in any window
of `w` seconds at most `rate * w + burst` bytes are sent, however much the roles request. There is
no I/O and no clock: the time is passed in, in seconds. `docs/design/control-budget.md` explains the
design.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

HEADER_BYTES = 28  # IP and UDP headers of each datagram
MAX_DATAGRAM_BYTES = 256 + HEADER_BYTES  # the largest datagram, including its headers
# Below this, membership's guaranteed rate is too low for its probes and answers.
MIN_BYTES_PER_S = 3000.0
# Fraction of bytes_per_s; the rest covers a full burst within the worst ten seconds.
SUSTAINED_SHARE = 0.9
BURST_S = 1.0  # capacity of all buckets together, in seconds of bytes_per_s
POOL_RESERVE_SHARE = 0.15  # fraction of the pool that each role leaves for each one before it


class TrafficRole(Enum):
    """The purpose of a datagram, in order of priority for the pool.

    The values are the keys of the operators' page.
    """

    MEMBERSHIP = "view"
    QUOTA = "quota"
    REPLICATION = "replication"
    CONFIGURATION = "configuration"


@dataclass(frozen=True)
class RoleGuarantee:
    """What a role is guaranteed.

    `rate_share` is its fraction of bytes_per_s. `burst_s` is the capacity of its bucket, in seconds
    of that rate.
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
    """One bucket: `rate` in bytes per second, and `burst`, its capacity in bytes."""

    rate: float
    burst: float


@dataclass(frozen=True)
class BudgetSettings:
    """The total `rate` in bytes per second, the roles' buckets, and the pool's capacity in bytes.

    Raises ValueError if the parts are inconsistent.
    """

    rate: float
    roles: Mapping[TrafficRole, BucketSettings]
    pool_burst: float

    def __post_init__(self) -> None:
        if sum(bucket.rate for bucket in self.roles.values()) > self.rate * (1 + 1e-9):
            raise ValueError(
                f"the roles are guaranteed more than the total rate of {self.rate:g} bytes a second"
                f": {sum(bucket.rate for bucket in self.roles.values()):g}"
            )
        if any(bucket.burst < MAX_DATAGRAM_BYTES for bucket in self.roles.values()):
            raise ValueError(
                f"a role's burst is less than a datagram of {MAX_DATAGRAM_BYTES} bytes:"
                f" {min(bucket.burst for bucket in self.roles.values()):g}"
            )

    @property
    def burst(self) -> float:
        """The bytes that may be sent at once, over all roles."""
        return self.pool_burst + sum(bucket.burst for bucket in self.roles.values())


def settings_for(bytes_per_s: float) -> BudgetSettings:
    """The settings that limit the average over the worst ten seconds to `bytes_per_s`.

    Raises ValueError if that is less than `MIN_BYTES_PER_S`.
    """
    if bytes_per_s < MIN_BYTES_PER_S:
        raise ValueError(
            f"{bytes_per_s:g} bytes a second is less than the minimum of {MIN_BYTES_PER_S:g}"
        )
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
    """Counters of one role since the start; the names are those of the operators' page.

    `sent` counts datagrams and `bytes` their size. `deferred` counts requests that were refused for
    lack of budget, and `dropped` messages that were never sent.
    """

    sent: int = 0
    bytes: int = 0
    deferred: int = 0
    dropped: int = 0


class ControlBudget:
    """The budget of one limiter.

    `now` is the time of the start, in seconds; the buckets are full then. A clock that is set back
    adds nothing for that time; one that jumps ahead adds at most the burst.
    """

    def __init__(self, settings: BudgetSettings, now: float) -> None:
        self.settings = settings
        self.usage = {role: RoleUsage() for role in TrafficRole}
        self._tokens = {role: bucket.burst for role, bucket in settings.roles.items()}
        self._pool = settings.pool_burst  # negative after unrequested bytes were debited
        self._unguaranteed = settings.rate - sum(bucket.rate for bucket in settings.roles.values())
        # Bytes of the pool that each role must leave for the roles before it.
        self._reserved = {
            role: POOL_RESERVE_SHARE * place * settings.pool_burst
            for place, role in enumerate(settings.roles)
        }
        self._filled_at = now

    def available(self, role: TrafficRole, now: float) -> float:
        """The bytes that the role may send now: its own, and what the pool may lend to it."""
        self._refill(now)
        return self._tokens[role] + max(0.0, self._pool - self._reserved[role])

    def take(self, role: TrafficRole, size: int, now: float, keep_bytes: float = 0.0) -> bool:
        """Whether a datagram of `size` bytes with headers may be sent now; consumes them if so.

        `keep_bytes`: bytes that must remain available to the role.
        """
        if self.available(role, now) - size < keep_bytes:
            self.usage[role].deferred += 1
            return False
        self._spend(role, size)
        return True

    def debit(self, role: TrafficRole, size: int, now: float) -> None:
        """Debits a datagram that was sent without requesting budget.

        What the role's bucket lacks becomes a debt of the pool, and nothing is lent until it is
        repaid. The debt is at most the burst.
        """
        self._refill(now)
        self._spend(role, size)
        self._pool = max(self._pool, -self.settings.burst)

    def drop(self, role: TrafficRole) -> None:
        """Counts a message that was dropped instead of being sent later."""
        self.usage[role].dropped += 1

    def document(self) -> dict[str, Any]:
        """The budget and its counters as shown to operators."""
        return {
            "rate": round(self.settings.rate),
            "burst": round(self.settings.burst),
            "roles": {role.value: vars(usage).copy() for role, usage in self.usage.items()},
        }

    def _spend(self, role: TrafficRole, size: int) -> None:
        """Consumes tokens of the pool before those of the role's own bucket.

        What overflows from the role's bucket goes to the pool, but what overflows from the pool is
        lost.
        """
        lent = min(size, max(0.0, self._pool - self._reserved[role]))
        own = min(self._tokens[role], size - lent)
        self._tokens[role] -= own
        self._pool -= size - own
        self.usage[role].sent += 1
        self.usage[role].bytes += size

    def _refill(self, now: float) -> None:
        elapsed_s, self._filled_at = max(0.0, now - self._filled_at), now
        if not elapsed_s:
            return
        to_pool = self._unguaranteed * elapsed_s
        for role, bucket in self.settings.roles.items():
            tokens = self._tokens[role] + bucket.rate * elapsed_s
            to_pool += max(0.0, tokens - bucket.burst)
            self._tokens[role] = min(bucket.burst, tokens)
        self._pool = min(self.settings.pool_burst, self._pool + to_pool)


class RoleBudget:
    """One role's part of the budget, as used by a subsystem.

    `overhead_bytes` are the bytes of each datagram besides its text, by default its headers.
    """

    def __init__(
        self, budget: ControlBudget, role: TrafficRole, overhead_bytes: int = HEADER_BYTES
    ) -> None:
        self.budget, self.role, self.overhead_bytes = budget, role, overhead_bytes

    @property
    def burst(self) -> float:
        """The capacity of the role's own bucket in bytes."""
        return self.budget.settings.roles[self.role].burst

    def available_bytes(self, now: float) -> float:
        """The bytes of text that one datagram may contain now."""
        return self.budget.available(self.role, now) - self.overhead_bytes

    def take(self, length: int, now: float, keep_share: float = 0.0) -> bool:
        """Whether a text of `length` bytes may be sent now; consumes its bytes if so.

        `keep_share`: fraction of the role's own burst that must remain, 0 to 1.
        """
        return self.budget.take(
            self.role, length + self.overhead_bytes, now, keep_share * self.burst
        )

    def drop(self) -> None:
        """Counts a message that was dropped instead of being sent later."""
        self.budget.drop(self.role)
