"""Membership by fleet size: real `Membership` objects in virtual time.

Datagrams arrive after a random delay and are lost at a given rate. `report` takes simulated fleets
through starts, crashes and a network partition, and measures how long all members take to agree and
how much traffic membership causes.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from hazelhollow.bench.virtual_time import Timeline
from hazelhollow.membership.allowance import Allowance
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import PRESENT_STATES, MemberState
from hazelhollow.membership.sender import Datagram
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.timing import PROBE_INTERVAL_S

START = 1_700_000_000.0  # seconds; the initial time of each run
DATAGRAM_DELAY_S = (0.001, 0.02)  # one way, drawn uniformly
START_SPREAD_S = 0.05  # within which members that start together have their first tick
SETTLE_TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.05  # between checks whether all members agree
# From this size on, the interval between checks is multiplied by the factor.
LARGE_FLEET, LARGE_FLEET_CHECK_FACTOR = 200, 5
SOCKET_BUFFER = 200  # datagrams that the socket of a paused process holds
WARM_UP_S = 15.0  # before traffic is measured
COST_SPAN_S = 5.0  # over which traffic is measured
LOSS_WARM_UP_S = 10.0  # before false deaths are counted
# Figures of the report, in display order.
FIGURES = (
    "start",
    "one_suspected",
    "one_dead",
    "one_joins",
    "half_dead",
    "half_join",
    "split",
    "heal",
    "messages",
    "bytes",
)


@dataclass(eq=False)
class SimulatedMember:
    """One incarnation of a member, and the state of its process."""

    number: int
    membership: Membership
    is_up: bool = True
    is_paused: bool = False
    # Sender and text of the datagrams received while paused.
    waiting: list[tuple[int, str]] = field(default_factory=list)
    timer_epoch: int = 0  # timers of an earlier epoch are ignored


@dataclass(frozen=True)
class Death:
    """The event that a member considers another one dead."""

    at: float
    observer: int
    member: int


def no_allowance(_now: float) -> Allowance | None:
    """Returns None: no bound on what a member sends."""
    return None


def nothing_cut(_sender: int, _receiver: int) -> bool:
    """Returns False for every link: none is cut."""
    return False


class SimulatedFleet:
    """Members and the network between them. The same seed gives the same run.

    Args:
        members: Number of members; each is down until it is started.
        seed: Seed of all draws.
        loss: Share of datagrams that are lost.
        make_allowance: Creates the bound on what a member sends, given its start time.
        versions: The settings versions that all members announce as in effect.
    """

    def __init__(
        self,
        members: int,
        seed: int,
        loss: float = 0.0,
        make_allowance: Callable[[float], Allowance | None] = no_allowance,
        versions: str = "",
    ) -> None:
        self._size, self._random, self._loss = members, random.Random(seed), loss
        self._make_allowance, self._versions = make_allowance, versions
        self._timeline = Timeline(START)
        self.members: dict[int, SimulatedMember] = {}
        self.is_cut: Callable[[int, int], bool] = nothing_cut  # from a sender to a receiver
        # Counted since the last `reset_counters`:
        self.sent_datagrams = self.sent_bytes = 0
        # When a member was first suspected or considered dead.
        self.suspected: dict[int, float] = {}
        self.deaths: list[Death] = []

    @property
    def now(self) -> float:
        """The current virtual time, in seconds."""
        return self._timeline.now

    # Members

    def start(self, number: int, clock_back: float = 0.0) -> SimulatedMember:
        """Starts a new incarnation of a member.

        Args:
            number: The member's number.
            clock_back: Seconds by which the member's wall clock was set back, so that the new
                incarnation has an earlier start time.

        Returns:
            The new incarnation.
        """
        incarnation = self._random.randrange(1 << 30)
        predecessor = self.members.get(number)
        membership = Membership(
            MembershipSettings(number, self._size, incarnation, versions=self._versions),
            self.now,
            self._make_allowance(self.now),
            started_at=self.now - clock_back,
        )
        member = SimulatedMember(number, membership)
        member.timer_epoch = predecessor.timer_epoch + 1 if predecessor else 0
        self.members[number] = member
        first_tick = self.now + self._random.random() * START_SPREAD_S
        self._timeline.at(first_tick, self._tick_first, member)
        return member

    def start_all(self) -> None:
        """Starts all members."""
        for number in range(self._size):
            self.start(number)

    def kill(self, number: int) -> None:
        """Crashes a member: it ends without notifying its peers."""
        self.members[number].is_up = False

    def pause(self, number: int) -> None:
        """Pauses a member's process; datagrams for it queue in its socket."""
        self.members[number].is_paused = True

    def resume(self, number: int) -> None:
        """Resumes the process; due timers fire before queued datagrams are received."""
        member = self.members[number]
        member.is_paused = False
        self._tick(member, member.timer_epoch)
        waiting, member.waiting = member.waiting[-SOCKET_BUFFER:], []
        for sender, text in waiting:
            self._receive(member, sender, text)

    def _tick_first(self, member: SimulatedMember) -> None:
        self._tick(member, member.timer_epoch)

    def _tick(self, member: SimulatedMember, epoch: int) -> None:
        is_void = member.timer_epoch != epoch or self.members[member.number] is not member
        if not member.is_up or member.is_paused or is_void:
            return
        member.timer_epoch = epoch = epoch + 1
        self.send(member, member.membership.tick(self.now))
        self._timeline.at(self.now + PROBE_INTERVAL_S, self._tick, member, epoch)
        indirect_at = self.now + member.membership.indirect_probe_after_s
        self._timeline.at(indirect_at, self._request_indirect_probes, member)

    def _request_indirect_probes(self, member: SimulatedMember) -> None:
        if member.is_up and not member.is_paused:
            self.send(member, member.membership.request_indirect_probes(self.now))

    # The network

    def send(self, member: SimulatedMember, datagrams: list[Datagram]) -> None:
        """Sends a member's datagrams and records the state changes that it has just seen."""
        for datagram in datagrams:
            self.sent_datagrams += 1
            self.sent_bytes += len(datagram.text)
            is_lost = self._random.random() < self._loss
            if not is_lost and not self.is_cut(member.number, datagram.recipient):
                arrives_at = self.now + self._random.uniform(*DATAGRAM_DELAY_S)
                self._timeline.at(
                    arrives_at, self._deliver, member.number, datagram.recipient, datagram.text
                )
        if member.membership.consume_changed():
            self._note_changes(member, member.membership.drain_changed_members())

    def _deliver(self, sender: int, receiver: int, text: str) -> None:
        member = self.members.get(receiver)
        if member is None or not member.is_up:
            return
        if member.is_paused:
            member.waiting.append((sender, text))
        else:
            self._receive(member, sender, text)

    def _receive(self, member: SimulatedMember, sender: int, text: str) -> None:
        self.send(member, member.membership.receive(sender, text, self.now))

    def _note_changes(self, observer: SimulatedMember, changed_members: list[int]) -> None:
        for number in changed_members:
            record = observer.membership.table.get(number)
            if (
                record
                and record.state in (MemberState.SUSPECT, MemberState.DEAD)
                and record.incarnation
            ):
                self.suspected.setdefault(number, self.now)
                if record.state == MemberState.DEAD:
                    self.deaths.append(Death(self.now, observer.number, number))

    # Time

    def run(self, seconds: float) -> None:
        """Advances virtual time by this many seconds."""
        self._timeline.run_until(self.now + seconds)

    def settle(
        self, condition: Callable[[], bool] | None = None, timeout_s: float = SETTLE_TIMEOUT_S
    ) -> float | None:
        """Advances virtual time until a condition holds.

        Args:
            condition: By default `agreed`: all members that are up agree on the true state.
            timeout_s: Seconds after which the wait ends without success.

        Returns:
            The seconds until the condition held; None after a time-out.
        """
        began, condition = self.now, condition or self.agreed
        is_large = self._size >= LARGE_FLEET
        while not condition():
            if self.now - began > timeout_s:
                return None
            self.run(LARGE_FLEET_CHECK_FACTOR * CHECK_INTERVAL_S if is_large else CHECK_INTERVAL_S)
        return self.now - began

    def agreed(self, among: Iterable[int] | None = None) -> bool:
        """Whether these members consider each other present, in their actual incarnations.

        The members of `among` (default: all) that are up are checked. They must consider no other
        member present, and none suspected.
        """
        numbers = set(self.members if among is None else among)
        up = {
            number: self.members[number].membership.own.incarnation
            for number in numbers
            if self.members[number].is_up
        }
        tables = [self.members[number].membership.table for number in up]
        if len({table.digest() for table in tables}) != 1:
            return False
        return all(  # all digests are equal, so that checking two tables is enough
            len(table) == self._size
            and {r.number: r.incarnation for r in table if r.state in PRESENT_STATES} == up
            and not any(r.state == MemberState.SUSPECT for r in table)
            for table in (tables[0], tables[-1])
        )

    def reset_counters(self) -> None:
        """Resets the counters of datagrams and bytes, the suspicions and the deaths."""
        self.sent_datagrams = self.sent_bytes = 0
        self.suspected, self.deaths = {}, []


def run_scenarios(members: int, seed: int) -> dict[str, Any]:
    """Runs one fleet through a start, a crash, a crash of half, a partition and its heal.

    Crashed members are started again before the next scenario.

    Returns:
        FIGURES: seconds until all agreed (None if the fleet did not settle), and datagrams and
        bytes per member and second in the steady state.
    """
    fleet, results = SimulatedFleet(members, seed), dict[str, Any]()
    fleet.start_all()
    results["start"] = fleet.settle()
    fleet.run(WARM_UP_S)
    fleet.reset_counters()
    fleet.run(COST_SPAN_S)
    results["messages"] = fleet.sent_datagrams / members / COST_SPAN_S
    results["bytes"] = fleet.sent_bytes / members / COST_SPAN_S
    fleet.reset_counters()
    began, crashed = fleet.now, members // 3
    fleet.kill(crashed)
    results["one_dead"] = fleet.settle()
    results["one_suspected"] = fleet.suspected.get(crashed, fleet.now) - began
    fleet.start(crashed)
    results["one_joins"] = fleet.settle()
    half, rest = range(members // 2), range(members // 2, members)
    for number in half:
        fleet.kill(number)
    results["half_dead"] = fleet.settle()
    for number in half:
        fleet.start(number)
    results["half_join"] = fleet.settle()
    fleet.is_cut = lambda sender, receiver: (sender in half) != (receiver in half)
    results["split"] = fleet.settle(lambda: fleet.agreed(half) and fleet.agreed(rest))
    fleet.is_cut = nothing_cut
    results["heal"] = fleet.settle()
    return results


def false_deaths(members: int, seed: int, loss: float, minutes: float) -> tuple[int, float]:
    """Returns the number of false deaths while all members are up, and the member-minutes."""
    fleet = SimulatedFleet(members, seed, loss)
    fleet.start_all()
    fleet.run(LOSS_WARM_UP_S)
    fleet.reset_counters()
    fleet.run(60.0 * minutes)
    deaths = {(round(death.at), death.member) for death in fleet.deaths}
    return len(deaths), members * minutes


def report(
    sizes: list[int], seeds: int, loss: float, minutes: float, progress: Callable[[str], None]
) -> dict[str, Any]:
    """Returns median and worst of each figure over the seeds, and false deaths under loss.

    Args:
        sizes: Number of members of each fleet.
        seeds: Number of fleets of each size.
        loss: Share of datagrams lost while false deaths are counted.
        minutes: Duration for which false deaths are counted; 0 skips this.
        progress: Called with a description of the next run.

    Returns:
        The figures by size, as `hazelhollow bench fleet --json` writes them.
    """
    results: dict[str, Any] = {}
    for size in sizes:
        rows = []
        for seed in range(1, seeds + 1):
            progress(f"{size} members, seed {seed} of {seeds}")
            rows.append(run_scenarios(size, seed))
        figures: dict[str, Any] = {key: _spread([row[key] for row in rows]) for key in rows[0]}
        if minutes:
            deaths, member_minutes = false_deaths(size, 1, loss, minutes)
            figures["false_deaths"], figures["member_minutes"] = deaths, member_minutes
        results[str(size)] = figures
    return results


def _spread(values: list[float | None]) -> dict[str, Any]:
    measured = [value for value in values if value is not None]
    return {
        "median": round(statistics.median(measured), 3) if measured else None,
        "worst": round(max(measured), 3) if measured else None,
        "not_settled": len(values) - len(measured),
    }
