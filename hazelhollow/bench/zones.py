"""Membership of a large fleet while a zone fails and returns and a region is cut off.

The runs use real `Membership` objects in virtual time, as in `fleet`. Rates count datagrams with
their headers; peaks are those of the member that sent most. Times are in seconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hazelhollow.bench.contention import budget_for_role
from hazelhollow.bench.fleet import (
    SimulatedFleet,
    SimulatedMember,
    no_allowance,
    nothing_cut,
)
from hazelhollow.control_budget.budget import (
    HEADER_BYTES,
    ControlBudget,
    RoleBudget,
    TrafficRole,
)
from hazelhollow.membership.allowance import Allowance
from hazelhollow.membership.records import MemberState
from hazelhollow.membership.sender import Datagram

VERSIONS = "i4pz002k3f9005wa1cz0q1"  # the same at all members, in announced form
SLOT_S = 0.25  # length of the slots in which bytes are counted
ZONES, REGIONS = 6, 3
LOST_ZONE, CUT_REGION = 5, 1
CALM_BEFORE_S = 15.0  # between the start phase and the steady-state measurement
MEASURED_S = 10.0  # minimum duration of a phase
CUT_S = 20.0  # minimum duration of the cut of a region
SETTLE_TIMEOUT_S = 60.0  # for each phase


@dataclass
class TrafficCounter:
    """Bytes that each member has sent, including headers, by slot.

    Args:
        began: Start of the first slot, in seconds.
        bytes_by_member: Bytes by member and slot.
    """

    began: float
    bytes_by_member: dict[int, defaultdict[int, int]] = field(default_factory=dict)

    def add(self, member: int, size: int, now: float) -> None:
        """Counts a datagram of this size."""
        slots = self.bytes_by_member.setdefault(member, defaultdict(int))
        slots[int((now - self.began) / SLOT_S)] += size

    def peak(self, seconds: float) -> float:
        """Returns the highest bytes per second of any member in any window of this many seconds."""
        width, most = round(seconds / SLOT_S), 0
        for slots in self.bytes_by_member.values():
            inside = 0
            for slot in range(max(slots) + 1):
                inside += slots.get(slot, 0) - slots.get(slot - width, 0)
                most = max(most, inside)
        return most / seconds

    def mean(self, seconds: float) -> float:
        """Returns the mean bytes per second and member over this many seconds."""
        total = sum(sum(slots.values()) for slots in self.bytes_by_member.values())
        return total / max(1, len(self.bytes_by_member)) / seconds


class ObservedFleet(SimulatedFleet):
    """A fleet that records each member's traffic, and deaths of members that were up and reachable.

    Args:
        members: Number of members.
        seed: Seed of all draws.
        loss: Share of datagrams that are lost.
        make_allowance: Creates the bound on what a member sends, given its start time.
    """

    def __init__(
        self,
        members: int,
        seed: int,
        loss: float,
        make_allowance: Callable[[float], Allowance | None],
    ) -> None:
        super().__init__(members, seed, loss, make_allowance, VERSIONS)
        self.traffic = TrafficCounter(self.now)
        self.false_deaths: set[tuple[int, int]] = set()  # the member, and the time in seconds

    def send(self, member: SimulatedMember, datagrams: list[Datagram]) -> None:
        """Counts a member's datagrams and sends them."""
        for datagram in datagrams:
            self.traffic.add(member.number, len(datagram.text) + HEADER_BYTES, self.now)
        super().send(member, datagrams)

    def begin_phase(self) -> None:
        """Starts a new measurement of traffic."""
        self.reset_counters()
        self.traffic = TrafficCounter(self.now)

    def _note_changes(self, observer: SimulatedMember, changed_members: list[int]) -> None:
        for number in changed_members:
            record, changed = observer.membership.table.get(number), self.members.get(number)
            if record is None or record.state != MemberState.DEAD or changed is None:
                continue
            if (
                changed.is_up
                and record.incarnation == changed.membership.own.incarnation
                and not self.is_cut(observer.number, number)
            ):
                self.false_deaths.add((number, round(self.now)))
        super()._note_changes(observer, changed_members)


def zone_of(member: int) -> int:
    """Returns the zone of a member."""
    return member % ZONES


def region_of(member: int) -> int:
    """Returns the region of a member."""
    return member % REGIONS


def allowances(bytes_per_s: float, contended: bool) -> Callable[[float], Allowance | None]:
    """Returns the factory of the members' bounds on membership traffic.

    Args:
        bytes_per_s: The control budget of a limiter; 0 for no bound.
        contended: Whether the other roles use all of the budget that they can get, which leaves
            membership only its guaranteed rate.

    Returns:
        A function of the time at which a member starts.

    Raises:
        ValueError: The budget is too small.
    """
    if not bytes_per_s:
        return no_allowance
    settings = budget_for_role(bytes_per_s, TrafficRole.MEMBERSHIP, contended)
    return lambda now: RoleBudget(ControlBudget(settings, now), TrafficRole.MEMBERSHIP)


class _Phases:
    """Runs a fleet phase by phase and records the figures of each phase."""

    def __init__(self, fleet: ObservedFleet, progress: Callable[[str], None]) -> None:
        self._fleet, self._progress = fleet, progress
        self.figures = dict[str, Any]()

    def measure(
        self, name: str, least: float = MEASURED_S, settled: Callable[[], bool] | None = None
    ) -> None:
        """Runs until all members agree, for at least `least` seconds, and records the figures."""
        fleet, began = self._fleet, self._fleet.now
        settled_after = fleet.settle(settled, SETTLE_TIMEOUT_S)
        fleet.run(max(0.0, least - (fleet.now - began)))
        self.figures[name] = {
            "settled_s": None if settled_after is None else round(settled_after, 2),
            "worst_second": round(fleet.traffic.peak(1.0)),
            "worst_ten_seconds": round(fleet.traffic.peak(10.0)),
            "mean": round(fleet.traffic.mean(fleet.now - began)),
        }
        self._progress(f"{len(fleet.members)} members: {name} {self.figures[name]}")
        fleet.begin_phase()


def simulate(
    members: int,
    seed: int,
    loss: float,
    make_allowance: Callable[[float], Allowance | None],
    progress: Callable[[str], None],
) -> dict[str, Any]:
    """Runs one fleet through all phases.

    The phases are the start, the steady state, the loss of a zone, its return, the cut of a region
    and its heal.

    Args:
        members: Number of members.
        seed: Seed of all draws.
        loss: Share of datagrams that are lost in all phases.
        make_allowance: Creates the bound on what a member sends, given its start time.
        progress: Called with the figures of each phase.

    Returns:
        The figures by phase, and the number of false deaths.
    """
    fleet = ObservedFleet(members, seed, loss, make_allowance)
    phases = _Phases(fleet, progress)
    fleet.start_all()
    phases.measure("start")
    fleet.run(CALM_BEFORE_S)
    fleet.begin_phase()
    phases.measure("peace")
    lost = [number for number in range(members) if zone_of(number) == LOST_ZONE]
    for number in lost:
        fleet.kill(number)
    phases.measure("zone_lost")
    for number in lost:
        fleet.start(number)
    phases.measure("zone_back")
    cut = {number for number in range(members) if region_of(number) == CUT_REGION}
    rest = set(range(members)) - cut
    fleet.is_cut = lambda sender, receiver: (sender in cut) != (receiver in cut)
    phases.measure("region_cut", CUT_S, lambda: fleet.agreed(cut) and fleet.agreed(rest))
    fleet.is_cut = nothing_cut
    phases.measure("region_healed")
    phases.figures["false_deaths"] = len(fleet.false_deaths)
    return phases.figures


def report(
    sizes: list[int],
    seeds: int,
    loss: float,
    make_allowance: Callable[[float], Allowance | None],
    progress: Callable[[str], None],
) -> dict[str, list[dict[str, Any]]]:
    """Returns the figures of `simulate` for each seed, by size."""
    return {
        str(size): [
            simulate(size, seed, loss, make_allowance, progress) for seed in range(1, seeds + 1)
        ]
        for size in sizes
    }
