"""The view of a large fleet while a zone dies, comes back, and a region is cut off.

What a member sends, and how long all take.

The view's own modules on the virtual clock of `bench/fleet.py`. Rates are of datagrams with their
headers (28 bytes each), the greatest of any member; times are seconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hazelhollow.bench.fleet import Member, Sim
from hazelhollow.control_budget.budget import (
    HEADER_BYTES,
    BucketSettings,
    BudgetSettings,
    ControlBudget,
    RoleBudget,
    TrafficRole,
    settings_for,
)
from hazelhollow.membership.allowance import Allowance
from hazelhollow.membership.records import MemberState
from hazelhollow.membership.sender import Datagram

VERSIONS = "i4pz002k3f9005wa1cz0q1"  # as the audit writes them, the same at all members
SLOT = 0.25  # seconds that are counted together
ZONES, REGIONS = 6, 3
LOST_ZONE, CUT_REGION = 5, 1
PEACE = 10.0  # seconds of each measurement in peace, and the least of the others
CUT_FOR = 20.0  # seconds for which a region is cut off at least
LONGEST = 60.0  # seconds until a phase counts as not settled


@dataclass
class Ledger:
    """Bytes with headers that each member has sent, by slot."""

    began: float = 0.0
    bytes: dict[int, defaultdict[int, int]] = field(default_factory=dict)

    def add(self, member: int, size: int, now: float) -> None:
        slots = self.bytes.setdefault(member, defaultdict(int))
        slots[int((now - self.began) / SLOT)] += size

    def worst(self, seconds: float) -> float:
        """Bytes a second of the member and window of so many seconds in which most was sent."""
        width, most = round(seconds / SLOT), 0
        for slots in self.bytes.values():
            inside = 0
            for slot in range(max(slots) + 1):
                inside += slots.get(slot, 0) - slots.get(slot - width, 0)
                most = max(most, inside)
        return most / seconds

    def mean(self, seconds: float) -> float:
        """Bytes a second of a member on the average."""
        return (
            sum(sum(slots.values()) for slots in self.bytes.values())
            / max(1, len(self.bytes))
            / seconds
        )


class CountingSim(Sim):
    """A simulation that knows what each member sends.

    And which deaths were told of members that were up and within reach.
    """

    def __init__(
        self, members: int, seed: int, lose: float, allowance: Callable[[float], Allowance | None]
    ) -> None:
        super().__init__(members, seed, lose, allowance, VERSIONS)
        self.ledger = Ledger(self.now)
        self.false_deaths: set[tuple[int, int]] = set()  # member held dead, and the second

    def _pass(self, one: Member, sends: list[Datagram]) -> None:
        for send in sends:
            self.ledger.add(one.number, len(send.text) + HEADER_BYTES, self.now)
        super()._pass(one, sends)

    def begin_phase(self) -> None:
        self.forget()
        self.ledger = Ledger(self.now)

    def _watch(self, one: Member, changed_members: list[int]) -> None:
        for number in changed_members:
            record, told = one.membership.table.get(number), self.members.get(number)
            if record is None or record.state != MemberState.DEAD or told is None:
                continue
            if (
                told.up
                and record.incarnation == told.membership.own.incarnation
                and not self.cut(one.number, number)
            ):
                self.false_deaths.add((number, round(self.now)))
        super()._watch(one, changed_members)


def zone_of(member: int) -> int:
    return member % ZONES


def region_of(member: int) -> int:
    return member % REGIONS


def allowances(bytes_per_s: float, contended: bool) -> Callable[[float], Allowance | None]:
    """What makes the view's part of a budget of so many bytes a second (0: no bound).

    `contended`: the other roles use all that they can get, so that the view has its guaranteed rate
    and no more. Raises ValueError for too few bytes.
    """
    if not bytes_per_s:
        return lambda now: None
    settings = settings_for(bytes_per_s)
    if contended:
        own = settings.roles[TrafficRole.MEMBERSHIP]
        settings = BudgetSettings(
            own.rate, {TrafficRole.MEMBERSHIP: BucketSettings(own.rate, own.burst)}, 0.0
        )
    return lambda now: RoleBudget(ControlBudget(settings, now), TrafficRole.MEMBERSHIP)


def play(
    members: int,
    seed: int,
    lose: float,
    allowance: Callable[[float], Allowance | None],
    progress: Callable[[str], None],
) -> dict[str, Any]:
    """One fleet through a start, peace, the loss of a zone, its return, a region's cut and its
    heal: figures by phase.
    """
    sim = CountingSim(members, seed, lose, allowance)
    found = dict[str, Any]()

    def measure(name: str, met: Callable[[], bool] | None, least: float) -> None:
        began = sim.now
        settled = sim.settle(met, LONGEST)
        sim.run(max(0.0, least - (sim.now - began)))
        found[name] = {
            "settled_s": None if settled is None else round(settled, 2),
            "worst_second": round(sim.ledger.worst(1.0)),
            "worst_ten_seconds": round(sim.ledger.worst(10.0)),
            "mean": round(sim.ledger.mean(sim.now - began)),
        }
        progress(f"{members} members: {name} {found[name]}")
        sim.begin_phase()

    sim.start_all()
    measure("start", None, PEACE)
    sim.run(15.0)
    sim.begin_phase()
    measure("peace", None, PEACE)
    lost = [n for n in range(members) if zone_of(n) == LOST_ZONE]
    for number in lost:
        sim.kill(number)
    measure("zone_lost", None, PEACE)
    for number in lost:
        sim.start(number)
    measure("zone_back", None, PEACE)
    cut = {n for n in range(members) if region_of(n) == CUT_REGION}
    rest = set(range(members)) - cut
    sim.cut = lambda a, b: (a in cut) != (b in cut)
    measure("region_cut", lambda: sim.agreed(cut) and sim.agreed(rest), CUT_FOR)
    sim.cut = lambda a, b: False
    measure("region_healed", None, PEACE)
    found["false_deaths"] = len(sim.false_deaths)
    return found


def report(
    sizes: list[int],
    seeds: int,
    lose: float,
    allowance: Callable[[float], Allowance | None],
    progress: Callable[[str], None],
) -> dict[str, list[dict[str, Any]]]:
    """By size, the figures of each seed."""
    return {
        str(size): [play(size, seed, lose, allowance, progress) for seed in range(1, seeds + 1)]
        for size in sizes
    }
