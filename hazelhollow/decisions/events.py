"""What a driver tells the decision engine. Events are named in the past tense.

Instants are readings of the host's clock in seconds, which all limiters share; durations are
seconds. Events that come with most requests or in great number are named tuples, which are cheaper
to make than frozen dataclasses.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, NamedTuple, Union

# How an attempt ended. `full`, `connect_failed` and `never_sent` promise that it did not run.
Status = Literal[
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "never_sent"
]
EndpointState = Literal["up", "draining", "gone"]
# A list from the disk, a whole list, changes to the list, or none: the connection failed.
ListKind = Literal["cached", "full", "change", "failed"]


@dataclass(frozen=True)
class EndpointEntry:
    """One endpoint as the endpoint list says it.

    Attributes:
        name: Its name, which says where it is reached.
        state: A `draining` endpoint gets nothing new; one that is `gone` leaves the list.
        zone: Where it stands.
        cell: Its cell; the endpoints of a cell share their memory of idempotency keys.
        weight: What it can do, against others.
        started: The instant of its start; 0 is long ago.
    """

    name: str
    state: EndpointState
    zone: str
    cell: int
    weight: float
    started: float = 0.0


@dataclass(frozen=True)
class EndpointsUpdated:
    """The endpoint list, or what changed on it, or that it can't be had now (`failed`)."""

    kind: ListKind
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True)
class RequestArrived:
    """A client's request. It is owed exactly one final answer within `time_left` seconds.

    Attributes:
        id: Unique among the requests in flight at this limiter.
        class_name: Its request class.
        plan_name: The customer's plan.
        customer: Who is charged.
        units: What it asks for.
        time_left: Seconds until the client gives up.
        set_start: The number of the first limiter that this customer's requests come through.
        set_size: How many limiters they come through, from `set_start` on.
        is_retry: The client says that it has asked before.
    """

    id: str
    class_name: str
    plan_name: str
    customer: str
    units: float
    time_left: float
    set_start: int
    set_size: int
    is_retry: bool = False


@dataclass(frozen=True)
class AttemptStarted:
    """A streamed answer has begun; it is the client's from here on."""

    id: str
    attempt: int
    endpoint: str


@dataclass(frozen=True)
class AttemptEnded:
    """How an attempt ended.

    Attributes:
        id: The request.
        attempt: The number of the attempt, from 0 on, in the order of `StartAttempt` actions.
        endpoint: Where it went.
        status: How it ended.
        elapsed: Seconds since it started.
        final: The client has its answer; nothing more is owed.
        true_units: What the request really cost, where that is known only now; else 0.
        report: The endpoint's load report.
    """

    id: str
    attempt: int
    endpoint: str
    status: Status
    elapsed: float
    final: bool = False
    true_units: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class ClientDisconnected:
    """The client has gone; nothing more is owed."""

    id: str


@dataclass(frozen=True)
class TimerFired:
    """A timer set by `SetTimer` has run out."""

    name: str


@dataclass(frozen=True)
class ProbeEnded:
    """How a health check ended. The engine draws no conclusion from it."""

    endpoint: str
    status: str
    elapsed: float
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class GossipReceived:
    """A gossip datagram from another limiter."""

    sender: int
    text: str


@dataclass(frozen=True)
class SharedCountRead:
    """A counter of the platform was read. The engine draws no conclusion from it."""

    name: str
    status: str
    total: float


class AllowanceGranted(NamedTuple):
    """What may be admitted of a customer whose limits are kept elsewhere, such as in a store.

    Comes right before the request.

    Attributes:
        customer: As the request names it.
        plan_name: The customer's plan.
        set_start: See `RequestArrived`.
        set_size: See `RequestArrived`.
        quota: Units; None where this limiter keeps the quota itself.
        ceiling: Units; None where this limiter keeps the ceiling itself.
    """

    customer: str
    plan_name: str
    set_start: int
    set_size: int
    quota: float | None = None
    ceiling: float | None = None


@dataclass(frozen=True)
class EndpointOverridden:
    """An operator disables an endpoint, or enables it again, whatever the endpoint list says."""

    endpoint: str
    disabled: bool


@dataclass(frozen=True)
class MembershipChanged:
    """Who is up, as the members see it. Without this event all limiters are taken to be up.

    Attributes:
        may_admit: Whether this limiter may take new work: not before it knows what the others
            charged meanwhile.
        present: Numbers of the members that are up, this one among them.
        unreachable: Those of them that this one can't hear.
        cannot_hear_us: Those that can't hear this one.
        unreachable_but_serving: Members that can't be heard and may go on admitting; their even
            part of each quota is left to them.
        unused: Members, and the seconds for which their part of the quotas turned out to be
            nobody's.
        counts_replicated: Whether each member's charges are replicated as counts
            (`AccountReplicated`), so that missed gossip can be made up for; `ReplicateCount` is
            wanted then.
    """

    may_admit: bool
    present: tuple[int, ...]
    unreachable: tuple[int, ...] = ()
    cannot_hear_us: tuple[int, ...] = ()
    unreachable_but_serving: tuple[int, ...] = ()
    unused: tuple[tuple[int, float], ...] = ()
    counts_replicated: bool = False


class ReplicatedCount(NamedTuple):
    """What one incarnation of a member charged a customer, in units.

    Attributes:
        member: The member's number.
        incarnation: The incarnation's name.
        since: The period from which on it counts; 0 is not known.
        through: The last closed period in which it charged.
        total: Units of the periods from `since` through `through`.
        previous_units: Units of the period before the current one, where they are told.
        current_units: Units of the current period, where they are told.
    """

    member: int
    incarnation: str
    since: int
    through: int
    total: float
    previous_units: float = 0.0
    current_units: float = 0.0


class AccountReplicated(NamedTuple):
    """What other members know of a customer.

    With a `level`: everything that a peer knows, for a member that has just begun. Without one:
    counts that have come since. Without a `key`: the catch-up is complete, and a customer that it
    did not name has its whole burst.

    Attributes:
        key: The customer's key in messages.
        plan_name: The customer's plan.
        set_start: See `RequestArrived`.
        set_size: See `RequestArrived`.
        counts: What members charged it.
        level: Units left of the burst, `counts` taken off.
        period: The period of the peer that says so.
    """

    key: str
    plan_name: str = ""
    set_start: int = 0
    set_size: int = 0
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
