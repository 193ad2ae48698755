"""The configuration of a limiter: request classes, plans, and its position in the fleet.

The values are frozen: the engine reads them and never changes them. A reload passes a new
`Settings` to the engine. All durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

# The effect of executing a request a second time. `safe`: none. `keyed`: none while the endpoints
# of one deduplication scope still remember its idempotency key. `unsafe`: there is one.
Effect = Literal["safe", "keyed", "unsafe"]
# The group of endpoints that share their record of idempotency keys.
DedupScope = Literal["all", "zone", "cell"]


@dataclass(frozen=True)
class RequestClass:
    """A request class: its latency requirements, its value, and whether it may be repeated.

    Attributes:
        name: The name by which requests refer to the class.
        latency_objective: Seconds within which an answer has its full value.
        deadline: Seconds after which an answer has no value.
        priority_weight: The value of one unit answered in time, relative to other classes.
        effect: Whether a request that may have run may run again.
        dedup_scope: For `keyed` requests, the group of endpoints that drop a repeat.
        dedup_window: For `keyed` requests, the seconds during which a repeat is dropped, counted
            from the first attempt that may have run.
        late_weight: The value of an answer after the objective. Not used by the engine.
    """

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float
    effect: Effect
    dedup_scope: DedupScope = "all"
    dedup_window: float = 0.0
    late_weight: float = 0.0


@dataclass(frozen=True)
class Plan:
    """The limits of each customer on a plan, over the entire fleet. 0 means no such limit.

    Attributes:
        name: The name by which requests refer to the plan.
        rate: Units per second.
        burst: Units that may be used at once.
        open_limit: The maximum number of requests in flight.
        price: The price of a unit.
        excess_weight: The value of answering a request beyond the quota.
        excess_cost: The cost of admitting a request beyond the quota.
        ceiling_rate: A hard limit in units per second, also for requests beyond the quota.
        ceiling_burst: The burst of the ceiling, in units.
    """

    name: str
    rate: float
    burst: float
    open_limit: int = 0
    price: float = 1.0
    excess_weight: float = 0.0
    excess_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of one limiter.

    Attributes:
        limiter_id: This limiter's number, counted from 0.
        limiter_count: The number of limiters, including this one.
        classes: The request classes, at least one.
        plans: The plans.
        zone: The zone of this limiter; attempts to other zones cost `cross_zone_price`.
        tick: The resolution of the driver's timers, in seconds.
        max_units: The maximum number of units of one request.
        post_paid: Whether a request states estimated units and the answer carries the true ones.
        max_attempts: The maximum number of attempts per request, including the first.
        hedging: Accepted but ignored: hedged requests are not supported, and a request has at most
            one attempt in flight.
        cancellation: Whether an attempt may be cancelled.
        peers: Whether limiters gossip.
        gossip_messages_per_s: Datagrams that a limiter accepts per second.
        gossip_bytes_per_s: The maximum gossip sent per second, including headers; 0 is no limit.
        max_retry_after: The longest Retry-After of a rejection, in seconds.
        clients_mark_retries: Whether clients mark their retries as such.
        warm_up_time: Seconds for which an endpoint is warming up after its start.
        warm_up_initial_share: The share of a warm endpoint's load that an endpoint can take at its
            start.
        overload_multiple: The multiple of its share above which a warming endpoint may fail.
        overload_window: Seconds over which the load of a warming endpoint is summed.
        poll_endpoints: Whether the engine has to subscribe to the endpoint list.
        cross_zone_price: The price of an attempt to another zone.
        class_weight: The weight of the worst-served class in the objective function, relative to
            that of all classes together.

    Raises:
        ValueError: A setting is invalid; the message names it.
    """

    limiter_id: int
    limiter_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str = ""
    tick: float = 0.001
    max_units: float = 1.0
    post_paid: bool = False
    max_attempts: int = 1
    hedging: bool = False
    cancellation: bool = False
    peers: bool = False
    gossip_messages_per_s: float = 60.0
    gossip_bytes_per_s: float = 0.0
    max_retry_after: float = 0.0
    clients_mark_retries: bool = False
    warm_up_time: float = 0.0
    warm_up_initial_share: float = 1.0
    overload_multiple: float = 1.0
    overload_window: float = 1.0
    poll_endpoints: bool = False
    cross_zone_price: float = 0.0
    class_weight: float = 0.0

    def __post_init__(self) -> None:
        """Rejects invalid settings."""
        shortest_objective = min((c.latency_objective for c in self.classes), default=0)
        checks = {
            "limiter_id: not one of 0 to limiter_count - 1": not 0
            <= self.limiter_id
            < self.limiter_count,
            "max_attempts: less than one": self.max_attempts < 1,
            "gossip_messages_per_s: must be above 0 with peers": self.peers
            and self.gossip_messages_per_s <= 0,
            "gossip_bytes_per_s: must not be negative": not self.gossip_bytes_per_s >= 0,
            "classes: none, or a latency_objective that is not above 0": shortest_objective <= 0,
            "classes: a deadline is not above 0": any(c.deadline <= 0 for c in self.classes),
            "classes: two have the same name": len({c.name for c in self.classes})
            != len(self.classes),
            "plans: a rate is negative, or has no burst": any(
                p.rate < 0 or p.rate > 0 >= p.burst for p in self.plans
            ),
        }
        for message, failed in checks.items():
            if failed:
                raise ValueError(message)
