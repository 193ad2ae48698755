"""Results of a scale run as typed records, written to and read from JSON.

Sums are kept as they were measured; rates, slopes and shares of a budget are derived by the report.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

import msgspec

from hazelhollow.scale.errors import ResultsError

FORMAT = 1  # raised when a field changes its meaning
# how a note ends that names an event for which the machine was too slow
NO_TIMES = "no figures of time"
HEADER_BYTES = 28  # of IPv4 and UDP, counted for each datagram


class Axis(StrEnum):
    """What grows from one point to the next while the rest stays."""

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
    """`requests_per_s`: of one limiter."""

    limiters: int
    servers: int
    routes: int
    tenants: int
    requests_per_s: float


class RoleSums(msgspec.Struct, frozen=True, kw_only=True):
    """Sums over all measured limiters.

    `longest_turn_s`: processor time of the longest single call, `turn_p99_s`: of the 99th in a
    hundred. Bytes are those of the datagrams' text, without headers.
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
    """Units over the whole fleet, against one store for each tenant that sees every request at
    once.
    """

    asked: float
    let_in: float
    beyond: float
    refused_with_room: float


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds. `reached`: how many of `of` members got there at all."""

    median: float
    p99: float
    worst: float
    reached: int
    of: int


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """`until_agreed`.

    Seconds from the event to the moment at which a member's view (of a configuration: what it acts
    on) is right for good. Bytes: of one member, headers included; the mean over all and the worst
    member. `longest_turn_s`: of any role at any member; nothing in files from before it was
    measured.
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
    """One size, measured for `seconds` of the run's clock, of the mean limiter.

    `dilation`: seconds of real time for one of the run's clock. `memory_bytes`: of one hollow
    limiter, from the growth of its process. `loop_s`: mean processor time of one fixed loop, played
    again and again while measuring: it tells how fast the machine was then, beside all else that
    ran on it.
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
        """Whether all limiters of the size were played.

        What they tell each other is that of the size.
        """
        return self.hollow + self.real >= self.size.limiters

    def timed(self, event: Event) -> bool:
        """Whether the event's seconds count.

        No note says that the machine was too slow for them.
        """
        return not any(
            note.startswith(f"{event.kind.value}:") and note.endswith(NO_TIMES)
            for note in self.notes
        )


class Latency(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds from the intended start to the answer, through one real limiter and straight to the
    server, interleaved.
    """

    size: Size
    requests: int
    direct_median_s: float
    direct_p99_s: float
    limiter_median_s: float
    limiter_p99_s: float
    limiter_memory_bytes: float = 0.0  # the most that its process held; 0: not measured
    left_out: float = 0.0  # the part of the run in which the load tool itself was late


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of a real process and of a hollow limiter at a size at which all can be real."""

    figure: str
    unit: str
    real: float
    hollow: float
    margin: float  # by which the two may differ, as a part of the real one


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """What the run was played on. `load`: the mean number of runnable processes at its begin."""

    cores: int
    memory_bytes: int
    python: str
    load: float


class Results(msgspec.Struct, frozen=True, kw_only=True):
    """`commit`: of the program that was measured. `planned`: the size to design for."""

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
    """Writes the results, indented; raises OSError."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def load(path: Path) -> Results:
    """Reads results; raises OSError, or ResultsError for a file that holds none of this format."""
    try:
        results: Results = msgspec.json.decode(path.read_bytes(), type=Results)
    except msgspec.DecodeError as error:
        raise ResultsError(f"{path}: {error}") from error
    if results.format != FORMAT:
        raise ResultsError(f"{path}: format {results.format}, this program reads {FORMAT}")
    return results
