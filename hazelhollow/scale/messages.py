"""What the coordinator and its workers tell each other.

JSON files in the run's folder, each written whole at once.
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

LOOK_S = 0.02  # seconds between looks for a file
Message = TypeVar("Message", bound=msgspec.Struct)


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """One worker's part of a point. `net`: the first two numbers of its limiters' addresses."""

    size: Size
    terms: AxisPlan
    fleet: FleetTerms
    seed: int
    here: tuple[int, ...]
    dilation: float
    may_slow: bool  # whether a worker that falls behind at the start may ask for a slower clock
    net: str


class Bound(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's limiters listen, in the order of its job."""

    addresses: tuple[tuple[str, int], ...]


class Wired(msgspec.Struct, frozen=True, kw_only=True):
    """Where all limiters are, by number, and the run's clock.

    What it shows at which monotonic second.
    """

    addresses: dict[int, tuple[str, int]]
    began: float
    shows: float


class Lag(msgspec.Struct):
    """How far a worker fell behind its clock.

    Its regular looks that came late, of all, and the worst, in seconds of the run's clock.
    """

    looks: int = 0
    late: int = 0
    worst_s: float = 0.0

    def add(self, other: Lag) -> None:
        self.looks += other.looks
        self.late += other.late
        self.worst_s = max(self.worst_s, other.worst_s)


class SeenEvent(msgspec.Struct, kw_only=True):
    """One event as a worker's members saw it.

    `until`: seconds of each member that is up at the end of the window until it was right for good,
    nothing where it was not.
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

    `refusals`: by reason, from the start to the end of measuring. `waited_s`: real seconds in which
    other work had the processor. `missing`: of the point, if it ended early. `behind`: it asks for
    a slower clock and has measured nothing.
    """

    limiters: int
    seconds: float = 0.0
    measured_at_s: float = 0.0
    roles: dict[Role, RoleTotals] = {}
    ledger: DatagramLedger = msgspec.field(default_factory=DatagramLedger)
    events: list[SeenEvent] = []
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
    """The file is there whole or not at all; raises OSError."""
    part = path.with_suffix(".part")
    part.write_bytes(msgspec.json.encode(message))
    os.replace(part, path)


def read(path: Path, kind: type[Message]) -> Message | None:
    """The message, if it has been written; raises msgspec.DecodeError for one of another kind."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except FileNotFoundError:
        return None


def wait_for(path: Path, kind: type[Message], seconds: float) -> Message:
    """Waits until the message has been written; raises TimeoutError after so many seconds."""
    until = time.monotonic() + seconds
    while (found := read(path, kind)) is None:
        if time.monotonic() > until:
            raise TimeoutError(f"{path.name}: nothing after {seconds:g} s")
        time.sleep(LOOK_S)
    return found
