"""What a limiter is configured with: request classes, plans, and its place among the limiters.

Frozen values that the engine reads and never changes. A reload hands the engine a new `Settings`.
All durations are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

# What a second execution of a request does: nothing further; nothing further as long as the
# endpoints of one scope still know its idempotency key; something.
Effect = Literal["safe", "keyed", "unsafe"]
# The endpoints that share their memory of idempotency keys.
DedupScope = Literal["all", "zone", "cell"]


@dataclass(frozen=True)
class RequestClass:
    """A kind of request: when its answer is wanted, and what repeating it does.

    Attributes:
        name: As requests name it.
        latency_objective: Seconds within which an answer has its full weight.
        deadline: Seconds after which no answer is of use.
        priority_weight: What one unit answered in time counts, against other classes.
        effect: Whether a request that may have run may run again.
        dedup_scope: For `keyed` requests, the endpoints that drop a repeat.
        dedup_window: For `keyed` requests, the seconds from the first attempt that may have run
            for which a repeat is dropped.
        late_weight: What an answer after the objective counts. Not used by the engine.
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
    """What each customer of a plan may use, over all limiters together. 0 means no such limit.

    Attributes:
        name: As requests name it.
        rate: Units a second.
        burst: Units that may be used at once.
        open_limit: Requests in flight at one time.
        price: What a unit is sold for.
        excess_weight: What a request beyond the quota earns when it is answered.
        excess_cost: What admitting a request beyond the quota costs.
        ceiling_rate: Units a second that no request may pass, paid for or not.
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
        limiter_id: This limiter's number, from 0 on.
        limiter_count: The number of limiters, this one among them.
        classes: The request classes, at least one.
        plans: The plans.
        zone: Where this limiter stands; endpoints of another zone cost `cross_zone_price`.
        tick: The resolution of the driver's timers, in seconds.
        max_units: The most that one request may ask for.
        post_paid: Whether the units of a request are an estimate and the true ones come with the
            answer.
        max_attempts: Attempts for one request, the first among them.
        hedging: Accepted and not used: a request has at most one attempt in flight.
        cancellation: Whether an attempt may be withdrawn.
        peers: Whether limiters gossip.
        gossip_messages_per_s: Datagrams that a limiter takes in each second.
        gossip_bytes_per_s: The most gossip sent each second, headers included; 0 is no limit.
        max_retry_after: The longest wait advised with a rejection, in seconds.
        clients_mark_retries: Whether clients say of a retry that it is one.
        warm_up_time: Seconds for which a started endpoint is warming up.
        warm_up_initial_share: The share of a warm endpoint's load that it can bear at its start.
        overload_multiple: Times its share that an endpoint which is warming up can bear.
        overload_window: Seconds over which the load of such an endpoint counts.
        poll_endpoints: Whether the endpoint list has to be asked for.
        cross_zone_price: The price of an attempt to another zone.
        class_weight: The weight of the worst-served class in the goal, against that of all
            classes together.

    Raises:
        ValueError: The settings can't be acted on; the message names the setting.
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
        """Refuses settings that can't be acted on."""
        shortest_objective = min((c.latency_objective for c in self.classes), default=0)
        faults = {
            "limiter_id: not one of the limiters": not 0 <= self.limiter_id < self.limiter_count,
            "max_attempts: less than one": self.max_attempts < 1,
            "gossip_messages_per_s: not above zero": self.peers and self.gossip_messages_per_s <= 0,
            "gossip_bytes_per_s: below zero": not self.gossip_bytes_per_s >= 0,
            "classes: none, or an aim not above zero": shortest_objective <= 0,
            "classes: a deadline not above zero": any(c.deadline <= 0 for c in self.classes),
            "classes: a name that comes twice": len({c.name for c in self.classes})
            != len(self.classes),
            "plans: a rate without a burst": any(
                p.rate < 0 or p.rate > 0 >= p.burst for p in self.plans
            ),
        }
        for fault, found in faults.items():
            if found:
                raise ValueError(fault)
