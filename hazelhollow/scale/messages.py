"""Messages between the coordinator and its workers, as JSON files in the run's folder.

| file | from | to | message |
| --- | --- | --- | --- |
| `NUMBER.job` | coordinator | worker | `Job` |
| `NUMBER.bound` | worker | coordinator | `BoundAddresses` |
| `wired` | coordinator | all workers | `FleetAddresses` |
| `NUMBER.report` | worker | coordinator | `Report` |

Each file appears under its name only once it is complete.
"""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import TypeVar

import msgspec

from hazelhollow.scale.measure import RoleTotals, Traffic
from hazelhollow.scale.network import DatagramLedger
from hazelhollow.scale.plan import AxisPlan, FleetTerms
from hazelhollow.scale.results import EventKind, Role, Size

POLL_INTERVAL_S = 0.02  # between checks whether a file exists
Message = TypeVar("Message", bound=msgspec.Struct)


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """One worker's part of a point.

    Attributes:
        size: Size of the entire fleet and of its environment.
        terms: The plan of the axis.
        fleet: How the fleet is set up.
        seed: Seed of the run.
        here: Numbers of the worker's limiters.
        dilation: Real seconds for one second of the run's clock.
        may_slow: Whether a worker that falls behind at the start may ask for a slower clock.
        net: The first two octets of its limiters' addresses.
    """

    size: Size
    terms: AxisPlan
    fleet: FleetTerms
    seed: int
    here: tuple[int, ...]
    dilation: float
    may_slow: bool
    net: str


class BoundAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """The addresses at which a worker's limiters listen, in the order of its job."""

    addresses: tuple[tuple[str, int], ...]


class FleetAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """The addresses of all limiters, and the start of the run's clock.

    Attributes:
        addresses: Address of each limiter by its number.
        began: Reading of the machine's monotonic clock, in seconds, at which the run begins.
        shows: Unix seconds that the run's clock shows then.
    """

    addresses: dict[int, tuple[str, int]]
    began: float
    shows: float


class Lag(msgspec.Struct):
    """How far a worker fell behind its clock, measured by periodic checks.

    Attributes:
        looks: Number of checks.
        late: Number of checks that were late.
        worst_s: Lateness of the latest check, in seconds of the run's clock.
    """

    looks: int = 0
    late: int = 0
    worst_s: float = 0.0

    def add(self, other: Lag) -> None:
        """Adds the checks of another process."""
        self.looks += other.looks
        self.late += other.late
        self.worst_s = max(self.worst_s, other.worst_s)


class ObservedEvent(msgspec.Struct, kw_only=True):
    """One event as a worker's members observed it.

    Attributes:
        kind: The event.
        at_s: When it was planned, in seconds since the run began.
        window_s: Seconds for which it was observed.
        until: For each member that is up at the end of the window: seconds until it agreed for
            good, or None.
        traffic: Bytes that the members sent in the window.
        members: Number of the worker's members.
        lag: Lag of the worker in the window.
        falsely_dead: Limiters that a member considered dead although they were up and reachable.
        longest_turn_s: Processor seconds of the longest measured call.
    """

    kind: EventKind
    at_s: float
    window_s: float
    until: list[float | None]
    traffic: Traffic
    members: int
    lag: Lag
    falsely_dead: list[int]
    longest_turn_s: float = 0.0


class Report(msgspec.Struct, kw_only=True):
    """What a worker measured.

    Attributes:
        limiters: Number of its limiters.
        seconds: Length of the measurement on the run's clock.
        measured_at_s: When the measurement began, in seconds since the run began.
        roles: Totals by role.
        ledger: Datagrams of the whole run.
        events: Events that it observed to their end.
        lag: Lag while measuring.
        memory_before: Bytes of memory that the process used before it created its limiters.
        memory_after: Bytes of memory that it used at the end of the measurement.
        processor_s: Processor seconds of the process while measuring.
        waited_s: Real seconds of the measurement in which it waited for a processor.
        loop_s: Mean processor seconds of the reference loop.
        refusals: Rejected requests by reason, from the start to the end of the measurement.
        missing: Why the point ended early, or an empty string.
        behind: Whether it asks for a slower clock and has measured nothing.
        shared_settings: Whether its limiters share one settings object.
    """

    limiters: int
    seconds: float = 0.0
    measured_at_s: float = 0.0
    roles: dict[Role, RoleTotals] = {}
    ledger: DatagramLedger = msgspec.field(default_factory=DatagramLedger)
    events: list[ObservedEvent] = []
    lag: Lag = msgspec.field(default_factory=Lag)
    memory_before: int = 0
    memory_after: int = 0
    processor_s: float = 0.0
    waited_s: float = 0.0
    loop_s: float = 0.0
    refusals: dict[str, int] = {}
    missing: str = ""
    behind: bool = False
    shared_settings: bool = False


def write(message: msgspec.Struct, path: Path) -> None:
    """Writes a message atomically: to a temporary file that is then renamed. Raises OSError."""
    temporary = path.with_suffix(".part")
    temporary.write_bytes(msgspec.json.encode(message))
    os.replace(temporary, path)


def read(path: Path, kind: type[Message]) -> Message | None:
    """Reads a message.

    Returns None if the file does not exist; raises msgspec.DecodeError if it is malformed.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except FileNotFoundError:
        return None


def wait_for(path: Path, kind: type[Message], seconds: float) -> Message:
    """Waits for a message; raises TimeoutError after that many seconds."""
    deadline = time.monotonic() + seconds
    while (received := read(path, kind)) is None:
        if time.monotonic() > deadline:
            raise TimeoutError(f"message {path.name} did not arrive within {seconds:g} s")
        time.sleep(POLL_INTERVAL_S)
    return received
