"""Results of scale runs as typed records, written to and read from JSON.

The names of the fields are those in the files; `FORMAT` is raised when a field changes its meaning.
Totals are stored as measured: the report derives rates, slopes and shares of a budget from them.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

import msgspec

from hazelhollow.scale.errors import ResultsError

FORMAT = 1  # raised when a field changes its meaning
# End of the note on an event or stage for which the machine was too slow.
NO_TIMES = "no figures of time"
HEADER_BYTES = 28  # of IPv4 and UDP, for each datagram


class Axis(StrEnum):
    """What grows from one point to the next while everything else stays the same."""

    LIMITERS = "limiters"
    SERVERS = "servers"
    ROUTES = "routes"
    TENANTS = "tenants"
    CONFIGURATION = "configuration"
    ALL = "all"


class Role(StrEnum):
    """What a limiter's processor time and datagrams are spent on."""

    REQUESTS = "requests"
    LIST = "list"
    VIEW = "view"
    GOSSIP = "gossip"
    REPLICATION = "replication"
    AUDIT = "audit"
    TIMERS = "timers"


class EventKind(StrEnum):
    """What happens to the fleet during a run."""

    START = "start"
    RESTART_TENTH = "restart_tenth"
    RACK_LOST = "rack_lost"
    ZONE_LOST = "zone_lost"
    ZONE_BACK = "zone_back"
    REGION_CUT = "region_cut"
    REGION_HEALED = "region_healed"
    CONFIGURATION_WHOLE = "configuration_whole"
    CONFIGURATION_ONE_ROUTE = "configuration_one_route"


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """The size of a fleet and of what surrounds it; `requests_per_s` is that of one limiter."""

    limiters: int
    servers: int
    routes: int
    tenants: int
    requests_per_s: float


class RoleSums(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one role over all measured limiters.

    Attributes:
        role: What the time and the datagrams were spent on.
        calls: Calls from outside into a limiter.
        cpu_s: Processor seconds.
        longest_turn_s: Processor seconds of the longest call.
        turn_p99_s: 99th percentile of the calls' processor seconds.
        datagrams_out: Datagrams sent.
        bytes_out: Bytes of their text, without headers.
        datagrams_in: Datagrams received.
        bytes_in: Bytes of their text, without headers.
    """

    role: Role
    calls: int
    cpu_s: float
    longest_turn_s: float
    turn_p99_s: float
    datagrams_out: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    bytes_in: int = 0


class Quotas(msgspec.Struct, frozen=True, kw_only=True):
    """Units over the whole fleet, compared with one token bucket per tenant for all requests.

    Attributes:
        asked: Units of all requests.
        let_in: Units of requests that were admitted.
        beyond: Units that were admitted in excess of the quota.
        refused_with_room: Units that were rejected although the quota had capacity.
    """

    asked: float
    let_in: float
    beyond: float
    refused_with_room: float


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds until members agreed; `reached`: how many of the `of` members agreed at all."""

    median: float
    p99: float
    worst: float
    reached: int
    of: int


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """An event of a run and its effects. Bytes are those of one member, including headers.

    Attributes:
        kind: What happened.
        at_s: When it happened, in seconds since the run began.
        until_agreed: Seconds from the event until a member's membership (for a configuration: the
            settings that it acts on) was correct for good.
        worst_second_bytes_mean: Bytes in the worst second, mean over all members.
        worst_second_bytes_most: Most bytes that any member sent in one second.
        worst_ten_seconds_bytes_mean: Bytes a second in the worst ten, mean over all members.
        false_deaths: Limiters that a member considered dead although they were up and reachable.
        quotas: Units while the event was observed.
        longest_turn_s: Processor seconds of the longest call of any role at any member; None in
            files that were written before this field existed.
    """

    kind: EventKind
    at_s: float
    until_agreed: Spread
    worst_second_bytes_mean: float
    worst_second_bytes_most: float
    worst_ten_seconds_bytes_mean: float
    false_deaths: int
    quotas: Quotas | None = None
    longest_turn_s: float | None = None


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """One size that was measured.

    Attributes:
        axis: What grows from one point to the next.
        size: The size.
        seed: Seed of the run.
        seconds: Length of the measurement on the run's clock, mean over the limiters.
        dilation: Real seconds for one second of the run's clock.
        hollow: Number of hollow limiters that were played.
        real: Number of real limiters that were played.
        roles: Totals by role.
        memory_bytes: Memory of one hollow limiter, from the growth of its process.
        loop_s: Mean processor seconds of a fixed loop while measuring, which show how fast the
            machine was.
        quotas: Units while measuring.
        events: Events after the measurement.
        notes: What a reader of the figures needs to know.
    """

    axis: Axis
    size: Size
    seed: int
    seconds: float
    dilation: float
    hollow: int
    real: int
    roles: tuple[RoleSums, ...]
    memory_bytes: float
    loop_s: float = 0.0
    quotas: Quotas | None = None
    events: tuple[Event, ...] = ()
    notes: tuple[str, ...] = ()

    @property
    def whole_fleet(self) -> bool:
        """Whether all limiters of the size were played, so that the traffic is that of the size."""
        return self.hollow + self.real >= self.size.limiters

    def has_valid_times(self, event: Event) -> bool:
        """Whether the event's times are valid: no note says that the machine was too slow."""
        return not any(
            note.startswith(f"{event.kind.value}:") and note.endswith(NO_TIMES)
            for note in self.notes
        )


class Latency(msgspec.Struct, frozen=True, kw_only=True):
    """Latency through one real limiter and directly to the server, interleaved.

    A latency is the time from the intended start of a request to its answer.

    Attributes:
        size: The size.
        requests: Number of requests through the limiter that were evaluated.
        direct_median_s: Median directly to the server.
        direct_p99_s: 99th percentile directly to the server.
        limiter_median_s: Median through the limiter.
        limiter_p99_s: 99th percentile through the limiter.
        limiter_memory_bytes: Peak memory of the limiter; 0: not measured.
        left_out: Fraction of the run that was not evaluated because the load generator was late.
    """

    size: Size
    requests: int
    direct_median_s: float
    direct_p99_s: float
    limiter_median_s: float
    limiter_p99_s: float
    limiter_memory_bytes: float = 0.0
    left_out: float = 0.0


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of real and of hollow limiters at the same size.

    Attributes:
        figure: What was measured.
        unit: Unit of both values.
        real: Value of real processes.
        hollow: Value of hollow limiters.
        margin: Allowed difference as a fraction of the real value.
    """

    figure: str
    unit: str
    real: float
    hollow: float
    margin: float


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """The machine of a run; `load`: its mean number of runnable processes at the start."""

    cores: int
    memory_bytes: int
    python: str
    load: float


class Results(msgspec.Struct, frozen=True, kw_only=True):
    """The contents of a file of results.

    Attributes:
        format: `FORMAT` of the program that wrote the file.
        plan: Name of the plan, or of the command.
        commit: Commit of the program that was measured.
        began: When the file was created, in UTC.
        machine: What the program ran on.
        planned: The size to design for.
        points: Points of scale runs.
        latencies: Results of `scale latency`.
        comparisons: Results of `scale compare`.
    """

    format: int
    plan: str
    commit: str
    began: str
    machine: Machine
    planned: Size
    points: tuple[Point, ...] = ()
    latencies: tuple[Latency, ...] = ()
    comparisons: tuple[Comparison, ...] = ()


def save(results: Results, path: Path) -> None:
    """Writes results as indented JSON; raises OSError."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def load(path: Path) -> Results:
    """Reads results; raises OSError, or ResultsError if the file has another format."""
    try:
        results: Results = msgspec.json.decode(path.read_bytes(), type=Results)
    except msgspec.DecodeError as error:
        raise ResultsError(f"{path}: {error}") from error
    if results.format != FORMAT:
        raise ResultsError(f"{path}: format {results.format}; this program reads format {FORMAT}")
    return results
