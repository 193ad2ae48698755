"""The view's own modules on a virtual clock.

Many members, a model of datagrams, and what settling costs by size.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from hazelhollow.membership.allowance import Allowance
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import PRESENT_STATES, MemberState
from hazelhollow.membership.sender import Datagram
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.timing import PROBE_INTERVAL_S

START = 1_700_000_000.0
DELAY = (0.001, 0.02)  # seconds on the way
LONGEST = 60.0  # seconds until a scenario counts as not settled
SHOWN = (
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
LOOK = 0.05  # seconds between looks at whether all agree


@dataclass(eq=False)
class Member:
    number: int
    membership: Membership
    up: bool = True
    paused: bool = False
    held: list[tuple[int, str]] = field(default_factory=list)  # what came while it stood still
    epoch: int = 0  # of its timers


class Sim:
    """`lose`.

    The share of datagrams that is lost; `allowance`: makes one for a member that starts;
    `versions`: of what all members act on. The same seed plays the same.
    """

    def __init__(
        self,
        members: int,
        seed: int,
        lose: float = 0.0,
        allowance: Callable[[float], Allowance | None] = lambda now: None,
        versions: str = "",
    ) -> None:
        self.count, self.random, self.lose, self.allowance = (
            members,
            random.Random(seed),
            lose,
            allowance,
        )
        self.versions = versions
        self.now = START
        self.members: dict[int, Member] = {}
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.sent = self.bytes = 0
        # when a member was first suspected or held dead since `watch`
        self.suspected: dict[int, float] = {}
        self.deaths: list[tuple[float, int, int]] = []  # when, who said so, of whom
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0

    # Members

    def start(self, number: int, clock_back: float = 0.0) -> Member:
        """A new incarnation; a wall clock that was set back gives it an earlier one."""
        incarnation = self.random.randrange(1 << 30)
        old = self.members.get(number)
        view = Membership(
            MembershipSettings(number, self.count, incarnation, versions=self.versions),
            self.now,
            self.allowance(self.now),
            started_at=self.now - clock_back,
        )
        one = Member(number, view)
        one.epoch = old.epoch + 1 if old else 0
        self.members[number] = one
        self._at(self.now + self.random.random() * 0.05, lambda: self._beat(one, one.epoch))
        return one

    def start_all(self) -> None:
        for number in range(self.count):
            self.start(number)

    def kill(self, number: int) -> None:
        self.members[number].up = False

    def pause(self, number: int) -> None:
        self.members[number].paused = True

    def resume(self, number: int) -> None:
        """As a process: timers that are due come before what waits in its socket."""
        one = self.members[number]
        one.paused = False
        self._beat(one, one.epoch)
        held, one.held = one.held[-200:], []
        for source, text in held:
            self._take(one, source, text)

    def _beat(self, one: Member, epoch: int) -> None:
        if not one.up or one.paused or one.epoch != epoch or self.members[one.number] is not one:
            return
        one.epoch = epoch = epoch + 1
        self._pass(one, one.membership.tick(self.now))
        self._at(self.now + PROBE_INTERVAL_S, lambda: self._beat(one, epoch))
        self._at(self.now + one.membership.indirect_probe_after_s, lambda: self._due(one))

    def _due(self, one: Member) -> None:
        if one.up and not one.paused:
            self._pass(one, one.membership.request_indirect_probes(self.now))

    # The network

    def _pass(self, one: Member, sends: list[Datagram]) -> None:
        for send in sends:
            self.sent += 1
            self.bytes += len(send.text)
            if self.random.random() >= self.lose and not self.cut(one.number, send.recipient):
                when = self.now + self.random.uniform(*DELAY)
                self._at(when, lambda n=send.recipient, t=send.text: self.deliver(one.number, n, t))  # type: ignore[misc]
        if one.membership.take_changes():
            self._watch(one, one.membership.take_changed_members())

    def deliver(self, source: int, target: int, text: str) -> None:
        one = self.members.get(target)
        if one is None or not one.up:
            return
        if one.paused:
            one.held.append((source, text))
        else:
            self._take(one, source, text)

    def _take(self, one: Member, source: int, text: str) -> None:
        self._pass(one, one.membership.receive(source, text, self.now))

    def _watch(self, one: Member, changed_members: list[int]) -> None:
        for number in changed_members:
            record = one.membership.table.get(number)
            if (
                record
                and record.state in (MemberState.SUSPECT, MemberState.DEAD)
                and record.incarnation
            ):
                self.suspected.setdefault(number, self.now)
                if record.state == MemberState.DEAD:
                    self.deaths.append((self.now, one.number, number))

    # Time

    def _at(self, when: float, call: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, call))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until

    def settle(
        self, met: Callable[[], bool] | None = None, longest: float = LONGEST
    ) -> float | None:
        """Seconds until all that are up agree and are right; nothing if they do not in time."""
        began, met = self.now, met or self.agreed
        while not met():
            if self.now - began > longest:
                return None
            self.run(LOOK if self.count < 200 else 5 * LOOK)
        return self.now - began

    def agreed(self, among: Iterable[int] | None = None) -> bool:
        """Whether each of these holds all of these that are up as present, in the incarnation that
        they have, and no other.
        """
        numbers = set(self.members if among is None else among)
        up = {n: self.members[n].membership.own.incarnation for n in numbers if self.members[n].up}
        tables = [self.members[number].membership.table for number in up]
        if len({table.digest() for table in tables}) != 1:
            return False
        return all(  # alike, so that two of them speak for all
            len(table) == self.count
            and {r.number: r.incarnation for r in table if r.state in PRESENT_STATES} == up
            and not any(r.state == MemberState.SUSPECT for r in table)
            for table in (tables[0], tables[-1])
        )

    def forget(self) -> None:
        """What was counted so far."""
        self.sent = self.bytes = 0
        self.suspected, self.deaths = {}, []


def scenarios(members: int, seed: int) -> dict[str, Any]:
    """One fleet through a start, a crash, a crash of half, their return, a split and its heal.

    Times in seconds.
    """
    sim, found = Sim(members, seed), dict[str, Any]()
    sim.start_all()
    found["start"] = sim.settle()
    sim.run(15.0)
    sim.forget()
    sim.run(5.0)
    found["messages"], found["bytes"] = sim.sent / members / 5.0, sim.bytes / members / 5.0
    sim.forget()
    began = sim.now
    sim.kill(members // 3)
    found["one_dead"] = sim.settle()
    found["one_suspected"] = sim.suspected.get(members // 3, sim.now) - began
    sim.start(members // 3)
    found["one_joins"] = sim.settle()
    half = range(members // 2)
    for number in half:
        sim.kill(number)
    found["half_dead"] = sim.settle()
    for number in half:
        sim.start(number)
    found["half_join"] = sim.settle()
    sim.cut = lambda a, b: (a in half) != (b in half)
    rest = range(members // 2, members)
    found["split"] = sim.settle(lambda: sim.agreed(half) and sim.agreed(rest))
    sim.cut = lambda a, b: False
    found["heal"] = sim.settle()
    return found


def false_deaths(members: int, seed: int, lose: float, minutes: float) -> tuple[int, float]:
    """Members that were held dead though all were up, and member-minutes played."""
    sim = Sim(members, seed, lose)
    sim.start_all()
    sim.run(10.0)
    sim.forget()
    sim.run(60.0 * minutes)
    return len({(round(at), of) for at, _, of in sim.deaths}), members * minutes


def report(
    sizes: list[int], seeds: int, lose: float, minutes: float, progress: Callable[[str], None]
) -> dict[str, Any]:
    """By size: median and worst of each figure over the seeds, and false deaths at that loss."""
    found: dict[str, Any] = {}
    for size in sizes:
        rows = []
        for seed in range(1, seeds + 1):
            progress(f"{size} members, seed {seed} of {seeds}")
            rows.append(scenarios(size, seed))
        row: dict[str, Any] = {}
        for key in rows[0]:
            values = [one[key] for one in rows]
            known = [value for value in values if value is not None]
            row[key] = {
                "median": round(statistics.median(known), 3) if known else None,
                "worst": round(max(known), 3) if known else None,
            }
            row[key]["not_settled"] = len(values) - len(known)
        if minutes:
            deaths, played = false_deaths(size, 1, lose, minutes)
            row["false_deaths"], row["member_minutes"] = deaths, played
        found[str(size)] = row
    return found
