"""Events that a driver passes to the decision engine, named in the past tense.

Times are readings of the host's clock in seconds; all limiters are assumed to share that clock.
Durations are in seconds. Events that accompany most requests or arrive in large numbers are named
tuples, which are cheaper to create than frozen dataclasses.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, NamedTuple, Union

# How an attempt ended. `full`, `connect_failed` and `never_sent` guarantee that it did not run.
Status = Literal[
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "never_sent"
]
EndpointState = Literal["up", "draining", "gone"]
# `cached`: a list read from disk; `full`: a complete list; `change`: changes to the list; `failed`:
# no list, since the connection to discovery failed.
ListKind = Literal["cached", "full", "change", "failed"]


@dataclass(frozen=True)
class EndpointEntry:
    """One endpoint of the endpoint list.

    Attributes:
        name: Its name, which determines its address.
        state: A `draining` endpoint gets no new work; a `gone` one is removed from the list.
        zone: Its zone.
        cell: Its cell; the endpoints of a cell share their record of idempotency keys.
        weight: Its capacity relative to other endpoints.
        started: The time of its start; 0 means long ago.
        address: Where it listens, as `host:port`; empty if the name itself is the address.
    """

    name: str
    state: EndpointState
    zone: str
    cell: int
    weight: float
    started: float = 0.0
    address: str = ""


def unknown_cell(endpoint_name: str) -> int:
    """Returns the cell of an endpoint whose list entry names none: a cell of its own.

    A common default would let a keyed request be repeated at an endpoint that does not know its
    key. Cells of lists are not negative.
    """
    return -1 - zlib.crc32(endpoint_name.encode())


@dataclass(frozen=True)
class EndpointsUpdated:
    """The endpoint list, changes to it, or a failure to get it (`failed`)."""

    kind: ListKind
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True)
class RequestArrived:
    """A client's request. It must get exactly one final answer within `time_left` seconds.

    Attributes:
        id: Unique among the requests in flight at this limiter.
        class_name: Its request class.
        plan_name: The customer's plan.
        customer: The customer to charge.
        units: The units that it requests.
        time_left: Seconds until the client stops waiting for the answer.
        set_start: The number of the first limiter that this customer's requests are sent to.
        set_size: The number of limiters that they are sent to, counted from `set_start`.
        is_retry: Whether the client marked the request as a retry.
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
    """A streamed answer has begun and is being forwarded to the client."""

    id: str
    attempt: int
    endpoint: str


class AnswerProgress(NamedTuple):
    """A part of an attempt's answer has arrived, the latest bytes at the time `at`."""

    id: str
    attempt: int
    at: float


@dataclass(frozen=True)
class AnswersProgressed:
    """Bytes of incomplete answers have arrived since the event before this one.

    It precedes `TimerFired`. Answers that were complete by then, or are forwarded, are left out.
    """

    answers: tuple[AnswerProgress, ...]


@dataclass(frozen=True)
class AnswerStalled:
    """A part of an attempt's short answer has arrived, and nothing more for some time."""

    id: str
    attempt: int


@dataclass(frozen=True)
class AttemptEnded:
    """The end of an attempt.

    Attributes:
        id: The request.
        attempt: The number of the attempt, counted from 0 in the order of `StartAttempt` actions.
        endpoint: The endpoint that it was sent to.
        status: How it ended.
        elapsed: Seconds since it started.
        final: Whether the client has its final answer.
        true_units: The true units of the request where they were an estimate; else 0.
        report: The endpoint's load report.
        answer_time: Seconds since the first byte of its answer; 0 if the answer came at once.
    """

    id: str
    attempt: int
    endpoint: str
    status: Status
    elapsed: float
    final: bool = False
    true_units: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)
    answer_time: float = 0.0


class ReportedExecution(NamedTuple):
    """An attempt that another process of this limiter has started.

    Attributes:
        customer: The request's customer.
        id: The request's id.
        shared_id: The execution's own id; a later report about it has the same.
        zone: The zone of its endpoint.
        cell: The cell of its endpoint.
        address: The address of its endpoint.
        age: Seconds since it started.
        never_ran: Whether it turned out that the attempt never ran.
    """

    customer: str
    id: str
    shared_id: str
    zone: str
    cell: int
    address: str
    age: float
    never_ran: bool


@dataclass(frozen=True)
class ExecutionsReported:
    """What another process of this limiter has forwarded, before a request that may repeat it."""

    executions: tuple[ReportedExecution, ...]


@dataclass(frozen=True)
class ClientDisconnected:
    """The client has disconnected and needs no answer."""

    id: str


@dataclass(frozen=True)
class TimerFired:
    """A timer set by `SetTimer` has run out."""

    name: str


@dataclass(frozen=True)
class ProbeEnded:
    """The end of a health check. The engine ignores it."""

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
    """The value of a counter of the platform. The engine ignores it."""

    name: str
    status: str
    total: float


class AllowanceGranted(NamedTuple):
    """The units that a customer may use where its limits are kept elsewhere, such as in a store.

    Arrives right before the request.

    Attributes:
        customer: The customer's name, as in the request.
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
    """An operator disabled or re-enabled an endpoint, which overrides the endpoint list."""

    endpoint: str
    disabled: bool


@dataclass(frozen=True)
class MembershipChanged:
    """The current membership. Without this event all limiters are assumed to be up.

    Attributes:
        may_admit: Whether this limiter may take new work. It may not until it knows what the other
            members charged in its absence.
        present: Numbers of the members that are up, including this one.
        unreachable: Those of them that this member can't receive from.
        cannot_hear_us: Those of them that can't receive from this member.
        unreachable_but_serving: Members that this one can't receive from but that may still be
            admitting; an even share of each quota is reserved for each of them.
        unused: Members, each with the seconds during which its share of the quotas turned out to
            be unused.
        counts_replicated: Whether each member's charges are replicated as counts
            (`AccountReplicated`) to make up for lost gossip. The engine then emits
            `ReplicateCount`.
    """

    may_admit: bool
    present: tuple[int, ...]
    unreachable: tuple[int, ...] = ()
    cannot_hear_us: tuple[int, ...] = ()
    unreachable_but_serving: tuple[int, ...] = ()
    unused: tuple[tuple[int, float], ...] = ()
    counts_replicated: bool = False


class ReplicatedCount(NamedTuple):
    """The units that one incarnation of a member charged to a customer.

    Attributes:
        member: The member's number.
        incarnation: The incarnation's name.
        since: The first period that is counted; 0 if unknown.
        through: The last closed period in which it charged.
        total: Units of the periods from `since` through `through`.
        previous_units: Units of the period before the current one, where they are reported.
        current_units: Units of the current period, where they are reported.
    """

    member: int
    incarnation: str
    since: int
    through: int
    total: float
    previous_units: float = 0.0
    current_units: float = 0.0


class AccountReplicated(NamedTuple):
    """The state of a customer's account at other members.

    With a `level` it is the complete state at a peer, sent to a member that has just started.
    Without a `level` it holds counts that changed later. Without a `key` it means that the catch-up
    is complete; a customer that the catch-up did not name has its full burst.

    Attributes:
        key: The customer's key in messages.
        plan_name: The customer's plan.
        set_start: See `RequestArrived`.
        set_size: See `RequestArrived`.
        counts: The units that members charged to it.
        level: Units left of the burst after the charges in `counts`.
        period: The period at the peer when it sent this.
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
    AnswerStalled,
    AnswersProgressed,
    AttemptEnded,
    ExecutionsReported,
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
