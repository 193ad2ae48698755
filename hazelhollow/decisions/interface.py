"""What the decision module is told (settings, events) and what it answers (actions).

Times are seconds, instants are readings of the host's clock, which all gateways share.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, NamedTuple, Union

Effect = Literal["safe", "keyed", "unsafe"]
Group = Literal["all", "zone", "cell"]
Status = Literal["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"]
ServerState = Literal["up", "draining", "gone"]
ListKind = Literal["cached", "full", "change", "failed"]


@dataclass(frozen=True)
class RequestClass:
    """A kind of request: when its answer is wanted, and what repeating it does."""

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float
    effect: Effect
    group: Group = "all"  # keyed only: the servers that drop a repeat ...
    window: float = 0.0  # ... and for how long after the first send
    late_weight: float = 0.0


@dataclass(frozen=True)
class Plan:
    """What each customer of a plan may use, over all gateways together.

    A zero means no such limit.
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
    """What a gateway is told at its start."""

    limiter_id: int
    limiter_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str = ""
    tick: float = 0.001
    max_units: float = 1.0
    post_paid: bool = False  # units are a guess; the true ones come with the answer
    max_attempts: int = 1
    hedging: bool = False
    cancellation: bool = False
    peers: bool = False
    gossip_messages_per_s: float = 60.0
    gossip_bytes_per_s: float = 0.0  # at most, headers included; 0: no such limit
    max_retry_after: float = 0.0
    clients_mark_retries: bool = False  # clients say of a repeat that it is one
    warm_up_time: float = 0.0
    warm_up_initial_share: float = 1.0
    overload_multiple: float = 1.0
    overload_window: float = 1.0
    poll_endpoints: bool = False
    cross_zone_price: float = 0.0
    # of the worst-served class in the goal, against that of all worth together
    class_weight: float = 0.0

    def __post_init__(self) -> None:
        """Settings that cannot be acted on are refused at once, by name."""
        troubles = {
            "limiter_id: not one of the limiters": not 0 <= self.limiter_id < self.limiter_count,
            "max_attempts: less than one": self.max_attempts < 1,
            "gossip_messages_per_s: not above zero": self.peers and self.gossip_messages_per_s <= 0,
            "gossip_bytes_per_s: below zero": not self.gossip_bytes_per_s >= 0,
            "classes: none, or an aim not above zero": min(
                (c.latency_objective for c in self.classes), default=0
            )
            <= 0,
            "classes: a deadline not above zero": any(c.deadline <= 0 for c in self.classes),
            "classes: a name that comes twice": len({c.name for c in self.classes})
            != len(self.classes),
            "plans: a rate without a burst": any(
                p.rate < 0 or p.rate > 0 >= p.burst for p in self.plans
            ),
        }
        for trouble in [t for t, so in troubles.items() if so]:
            raise ValueError(trouble)


@dataclass(frozen=True)
class EndpointEntry:
    server: str
    state: ServerState
    zone: str
    cell: int
    weight: float
    started: float = 0.0  # 0: long ago


@dataclass(frozen=True)
class EndpointsUpdated:
    """The list of servers, or what changed on it."""

    kind: ListKind
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True)
class RequestArrived:
    """A client's try: it is owed exactly one final answer within `patience`."""

    id: str
    class_name: str
    plan_name: str
    customer: str
    units: float
    time_left: float
    set_start: int
    spread: int
    repeat: bool = False


@dataclass(frozen=True)
class AttemptStarted:
    """A streamed answer has begun; it is the client's from here on."""

    id: str
    attempt: int
    server: str


@dataclass(frozen=True)
class AttemptEnded:
    """How an attempt ended. `final`: the client has its answer, nothing more is owed."""

    id: str
    attempt: int
    server: str
    status: Status
    elapsed: float
    final: bool = False
    true_units: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class ClientDisconnected:
    id: str


@dataclass(frozen=True)
class TimerFired:
    name: str


@dataclass(frozen=True)
class ProbeEnded:
    server: str
    status: str
    elapsed: float
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class GossipReceived:
    sender: int
    text: str


@dataclass(frozen=True)
class SharedCountRead:
    name: str
    status: str
    total: float


class AllowanceGranted(NamedTuple):
    """Comes right before a request of a customer whose limits are kept elsewhere.

    What this gateway may let in of each, in units. Nothing for a limit that the gateway keeps
    itself.
    """

    customer: str
    plan_name: str
    set_start: int
    spread: int
    quota: float | None = None
    ceiling: float | None = None


@dataclass(frozen=True)
class EndpointOverridden:
    """An operator leaves a server out (`down`) or puts it back.

    Whatever the list says, until the call back.
    """

    server: str
    down: bool


@dataclass(frozen=True)
class MembershipChanged:
    """Who is there, by the view that the gateways keep. Without this event all are taken to be.

    `acting`: whether this one may take new work: not before it knows what the others hold of it.
    `present`: numbers of those that are up, this one among them; `unheard`: those of them that this
    one cannot hear; `deaf`: those that cannot hear this one. `lost`: those that cannot be heard and
    may go on letting in, so that their even part of each quota is left to them; `unused`: members,
    and seconds of such a part that turned out to be nobody's. `keeps`: what each has charged is
    told again by counts (Copied), so that what was missed can be made up for; Closed is wanted.
    """

    acting: bool
    present: tuple[int, ...]
    unheard: tuple[int, ...] = ()
    deaf: tuple[int, ...] = ()
    lost: tuple[int, ...] = ()
    unused: tuple[tuple[int, float], ...] = ()
    keeps: bool = False


class ReplicatedCount(NamedTuple):
    """What a member, in the incarnation of that name, charged a customer from the period `since`
    (0.

    Not known) on, up to `through`, the last that it charged in and that is closed; and, where they
    are told, in the two that are open. Units.
    """

    member: int
    incarnation: str
    since: int
    through: int
    total: float
    first: float = 0.0
    second: float = 0.0


class AccountReplicated(NamedTuple):
    """What others know of a customer (by its key in messages).

    With `level`, all that a peer knows, for one that has just begun: units left of the burst, the
    counts being part of that, in the giver's `period`. Without, counts that have come since. No
    key: it is whole now, and a customer that it was not told of has its whole burst.
    """

    key: str
    plan_name: str = ""
    set_start: int = 0
    spread: int = 0
    counts: tuple[ReplicatedCount, ...] = ()
    level: float | None = None
    period: int = 0


Event = Union[
    EndpointsUpdated,
    RequestArrived,
    AttemptStarted,
    AttemptEnded,
    ClientDisconnected,
    TimerFired,
    ProbeEnded,
    GossipReceived,
    SharedCountRead,
    AllowanceGranted,
    EndpointOverridden,
    MembershipChanged,
    AccountReplicated,
]


@dataclass(frozen=True)
class StartAttempt:
    """Start an attempt; `timeout` 0 lets it run until the client gives up.

    What has not gone out whole at `begin_by` (an instant) must never go out: where a request may be
    repeated for so long only, its connection may come up too late.
    """

    id: str
    server: str
    timeout: float = 0.0
    begin_by: float = math.inf


@dataclass(frozen=True)
class CancelAttempt:
    id: str
    attempt: int


@dataclass(frozen=True)
class RejectRequest:
    """Final: turned away, safe to try again. `why` is for the counters alone."""

    id: str
    retry_after: float = 0.0
    why: str = ""


@dataclass(frozen=True)
class FailRequest:
    """Final: failed, with no promise about its effect."""

    id: str


@dataclass(frozen=True)
class SetTimer:
    delay: float
    name: str


@dataclass(frozen=True)
class SendGossip:
    gateway: int
    text: str


@dataclass(frozen=True)
class SubscribeToEndpoints:
    """Ask for the list of servers to be pushed from now on."""


@dataclass(frozen=True)
class WriteLog:
    text: str


class ReplicateCount(NamedTuple):
    """A count of a customer, one period further.

    This gateway's own, or another's as it was heard; where counts are kept.
    """

    key: str
    plan_name: str
    set_start: int
    spread: int
    told: ReplicatedCount


Action = Union[
    StartAttempt,
    CancelAttempt,
    RejectRequest,
    FailRequest,
    SetTimer,
    SendGossip,
    SubscribeToEndpoints,
    WriteLog,
    ReplicateCount,
]
