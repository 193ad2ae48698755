"""What a fleet lets in after all of it was killed at once.

Real decision modules and replica drivers on a clock set by hand.

Time that the machine takes is an event here: a process that waits for its processor does nothing
until its time has come.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.state.accounts import Account
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.replication import codec, snapshot
from hazelhollow.replication.driver import ReplicationDriver
from hazelhollow.replication.replica import BEAT
from hazelhollow.replication.snapshot_collector import A_SLICE, SnapshotCollector
from tests.scenario import PLAN, SETTINGS
from tests.test_gateway import entry, servers

START = 1_700_000_000.0
MEMBERS = 5
RATE, BURST = 20.0, 40.0
GOLD = replace(PLAN, name="gold", rate=RATE, burst=BURST, excess_cost=1.0)
ASKED = 20.0  # requests a second at each member
ON_THE_WAY, SERVED_IN = 0.002, 0.01  # seconds
APART = 0.01  # seconds between the starts of two members
NEAR = 4.0  # units by which two runs of the same events differ that are not at the same moment


class Process:
    """One incarnation of one member: its timers, and the one queue of all that happens to it."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.alive, self.waits_until = fleet, number, True, 0.0
        self.began = fleet.now
        told = replace(
            SETTINGS,
            limiter_id=number,
            limiter_count=MEMBERS,
            plans=(GOLD,),
            peers=True,
            gossip_messages_per_s=1000.0,
        )
        self.gateway = DecisionEngine(told, seed=number)
        self.heard: Callable[[int, str], None] = self.gossip  # as net.peers.Peers has it
        self.driver = ReplicationDriver(
            self,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            View(fleet, number, fleet.now),  # type: ignore[arg-type]
            MessageAuthenticator(),
            self.gateway.replicated_accounts,
            self.module,
            lambda hosts: None,
            number,
            codec.MOST_BYTES,
            snapshot.SnapshotFile(fleet.folder, number),
        )
        self.module(servers("full", *(entry(f"s{n}") for n in range(4))))
        self.driver.start()
        self.module(api.MembershipChanged(True, tuple(range(MEMBERS)), counts_replicated=True))
        self.asks()

    # What the driver is given for the scheduler and the datagrams

    def clock(self) -> float:
        return self.fleet.now

    def at(self, when: float, call: Callable[..., object], *args: Any) -> None:
        self.fleet.at(when, self._happen, call, args)

    def tell(self, number: int, text: str) -> None:
        self.fleet.at(self.clock() + ON_THE_WAY, self.fleet.arrive, number, self.number, text)

    def _happen(self, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.alive and self.clock() < self.waits_until:
            self.at(self.waits_until, call, *args)
        elif self.alive:
            call(*args)

    # What a limiter does

    def gossip(self, sender: int, text: str) -> None:
        self.module(api.GossipReceived(sender, text))

    def module(self, event: api.Event) -> None:
        for action in self.gateway.handle(event, self.clock()):
            if isinstance(action, api.StartAttempt):
                self.fleet.let_in += 1.0
                done = api.AttemptEnded(action.id, 0, action.endpoint, "ok", SERVED_IN, True)
                self.at(self.clock() + SERVED_IN, self.module, done)
            elif isinstance(action, api.SendGossip):
                self.tell(action.limiter_id, action.text)
            elif isinstance(action, api.SetTimer):
                self.at(self.clock() + action.delay, self.module, api.TimerFired(action.name))
            elif isinstance(action, api.ReplicateCount):
                self.driver.closed(action)

    def asks(self) -> None:
        if self.fleet.asking:
            request = f"r{next(self.fleet.ids)}"
            self.module(api.RequestArrived(request, "look", "gold", "c", 1.0, 1.5, 0, MEMBERS))
        self.at(self.clock() + 1.0 / ASKED, self.asks)


@dataclass
class View:
    """Of the fleet, as the replica's driver asks for it: `membership` of it too."""

    fleet: Fleet
    limiter_id: int
    began: float
    may_admit: bool = True
    member_count: int = MEMBERS

    @property
    def membership(self) -> View:
        return self

    def present(self) -> list[int]:
        return [number for number, one in enumerate(self.fleet.all) if one and one.alive]

    def started_before(self, seconds: float) -> set[int]:
        return {
            n for n, one in enumerate(self.fleet.all) if one and one.began <= self.began - seconds
        }

    def unreachable_but_serving(self) -> set[int]:
        return set()

    def unreachable(self) -> list[int]:
        return []


class Fleet:
    def __init__(self, folder: Path) -> None:
        self.folder, self.now, self.let_in, self.asking = folder, START, 0.0, True
        self.ids = itertools.count()
        self.lost: Callable[[str], bool] = lambda text: False  # datagrams that never arrive
        self._heap: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.all: list[Process | None] = [None] * MEMBERS

    def at(self, when: float, call: Callable[..., object], *args: Any) -> None:
        heapq.heappush(self._heap, (when, next(self.ids), call, args))

    def arrive(self, number: int, sender: int, text: str) -> None:
        one = self.all[number]
        if one and one.alive and not self.lost(text):
            one._happen(lambda: one.heard(sender, text), ())

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now = end

    def start(self, apart: float = 0.0) -> None:
        """All, one after another."""
        for number in range(MEMBERS):
            self.all[number] = Process(self, number)
            self.run(apart)

    def kill(self) -> None:
        for one in self.all:
            if one:
                one.alive = False

    def end(self) -> None:
        """All end in good order."""
        for one in self.all:
            if one:
                one.driver.end()
        self.kill()

    def wait_for_processor(self, number: int, seconds: float) -> None:
        one = self.all[number]
        assert one
        one.waits_until = self.now + seconds

    def over(self) -> float:
        """Units beyond the quota and one burst, as the drill's checker has it."""
        return self.let_in - RATE * (self.now - START) - BURST

    def whole(self) -> bool:
        return all(one and one.driver.replica.whole for one in self.all)

    def account(self, number: int) -> Account:
        one = self.all[number]
        assert one
        return next(iter(one.gateway.accounts.values()))

    def snapshot_of(self, number: int) -> snapshot.Snapshot:
        found = snapshot.SnapshotFile(self.folder, number).load(self.now)
        assert found
        return found


@pytest.fixture
def fleet(tmp_path: Path) -> Fleet:
    """Of which all have let in what there was for four seconds."""
    return busy_fleet(tmp_path)


def busy_fleet(folder: Path) -> Fleet:
    one = Fleet(folder)
    one.start(APART)
    one.run(4.0)
    return one


def test_a_fleet_that_nothing_happens_to_keeps_to_its_quota(fleet: Fleet) -> None:
    fleet.run(9.0)
    assert -BURST <= fleet.over() <= 0.0


@pytest.mark.parametrize("second_life", [0.1, 0.2, 0.4, 0.6, 0.8, 1.0])
def test_what_a_life_let_in_that_was_killed_before_it_was_whole_is_not_forgotten(
    fleet: Fleet, second_life: float
) -> None:
    for lasts in (second_life, 8.0):
        fleet.kill()
        fleet.run(0.3)
        fleet.start(APART)
        fleet.run(lasts)
    assert fleet.over() <= 0.0


def test_one_short_life_after_another_brings_no_new_bursts(fleet: Fleet) -> None:
    for lasts in (0.6, 0.6, 0.6, 0.6, 12.0):
        fleet.kill()
        fleet.run(0.1)
        fleet.start(APART)
        fleet.run(lasts)
    assert fleet.over() <= 0.0


@pytest.mark.parametrize("waiting", [(1,), (0, 2, 4), (0, 1, 2, 3, 4)])
def test_how_long_processes_waited_before_they_died_brings_in_nothing(
    waiting: tuple[int, ...], tmp_path: Path
) -> None:
    over = []
    for seconds in (0.0, 1.0, 2.5):
        folder = tmp_path / f"{seconds}"
        folder.mkdir()
        fleet = busy_fleet(folder)
        for number in waiting:
            fleet.wait_for_processor(number, 60.0)
        fleet.run(seconds)
        fleet.kill()
        fleet.run(0.3)
        fleet.start(APART)
        fleet.run(6.0)
        over.append(fleet.over())
    assert max(over) <= min(0.0, over[0] + NEAR)


def test_what_was_charged_in_a_long_beginning_is_taken_off_what_the_snapshot_says(
    fleet: Fleet,
) -> None:
    """Until the others answer a member acts by its cautious share; periods close meanwhile."""
    fleet.kill()
    fleet.run(0.3)
    fleet.lost = lambda text: text.startswith(codec.DIALECT[0])
    fleet.start(APART)
    fleet.run(4.0)
    assert not fleet.whole()
    fleet.lost = lambda text: False
    fleet.run(8.0)
    assert fleet.whole()
    assert fleet.over() <= 0.0


moments = st.tuples(
    # who waits for its processor before the kill
    st.lists(st.integers(0, MEMBERS - 1), max_size=MEMBERS),
    st.sampled_from([0.0, 0.2, 1.0]),  # how long
    st.sampled_from([0.1, 0.3, 1.5]),  # seconds that all are down
    st.sampled_from([0.01, 0.05, 0.2]),  # seconds between their starts
    st.floats(0.05, 2.0),  # seconds that they live
)


@settings(max_examples=8, deadline=None)
@given(st.lists(moments, min_size=1, max_size=3))
@example([([], 0.0, 0.1, 0.01, 0.05)] * 4)  # killed again and again before the first look
def test_whatever_the_machine_has_time_for_no_kill_of_all_brings_units_beyond_the_quota(
    tmp_path_factory: pytest.TempPathFactory,
    plan: list[tuple[list[int], float, float, float, float]],
) -> None:
    fleet = busy_fleet(tmp_path_factory.mktemp("fleet"))
    for waiting, waits, down, apart, lasts in plan:
        for number in waiting:
            fleet.wait_for_processor(number, 60.0)
        fleet.run(waits)
        fleet.kill()
        fleet.run(down)
        fleet.start(apart)
        fleet.run(lasts)
    fleet.run(10.0)
    assert fleet.over() <= 0.0


def test_after_an_orderly_end_of_all_what_was_left_is_there_again(fleet: Fleet) -> None:
    fleet.asking = False
    fleet.run(0.2)
    left = [fleet.account(number).quota.refill(fleet.now) for number in range(MEMBERS)]
    assert all(0.0 < level < 10.0 for level in left)
    fleet.end()
    ended = fleet.now
    assert all(fleet.snapshot_of(number).final for number in range(MEMBERS))
    fleet.start(APART)
    while not fleet.whole():
        fleet.run(BEAT)
    for number, level in enumerate(left):
        expected = min(BURST, level + RATE * (fleet.now - ended))
        assert fleet.account(number).quota.refill(fleet.now) == pytest.approx(expected, abs=0.1)
    assert not any(fleet.snapshot_of(number).final for number in range(MEMBERS))


@pytest.mark.parametrize(
    ("level", "age", "final", "left"),
    [
        (12.0, 0.0, False, 0.0),  # all of it may have been used
        (12.0, 9.0, False, 0.0),  # and what came in since
        (-30.0, 1.0, False, -10.0),  # what came in pays back
        (-30.0, 9.0, False, 0.0),
        (12.0, 1.0, True, 32.0),
        (12.0, 9.0, True, BURST),
        (-30.0, 1.0, True, -10.0),
        (-30.0, -5.0, False, -30.0),  # the clock was set back
    ],
)
def test_what_is_left_for_certain(level: float, age: float, final: bool, left: float) -> None:
    kept = snapshot.Snapshot(snapshot.FORMAT, snapshot.VERSION, START, 0, [], [], final)
    assert snapshot.least_left(level, RATE, BURST, kept, START + age) == left


# The customers of a snapshot, gathered in slices


def known_customers(count: int) -> DecisionEngine:
    """With so many customers, of which each second one has used something."""
    told = replace(
        SETTINGS,
        limiter_id=0,
        limiter_count=MEMBERS,
        plans=(GOLD,),
        peers=True,
        gossip_messages_per_s=1000.0,
    )
    gateway = DecisionEngine(told, seed=1)
    gateway.handle(
        api.MembershipChanged(True, tuple(range(MEMBERS)), counts_replicated=True), START
    )
    chance = random.Random(1)
    for number in range(count):
        account = gateway.customer_accounts.get(gossip.base36(number), GOLD, number % MEMBERS, 3)
        account.quota.level = BURST if number % 2 else chance.uniform(-5.0, BURST - 0.1)
    return gateway


@pytest.mark.parametrize("count", [0, 1, A_SLICE, 5 * A_SLICE + 7])
def test_gathered_in_slices_are_those_that_are_short_with_the_least_left_first(count: int) -> None:
    gateway = known_customers(count)
    gathering, steps = SnapshotCollector(gateway.replicated_accounts), 1
    while not gathering.step():
        steps += 1
    assert steps == count // A_SLICE + 1
    assert [one.key for one in gathering.left()] == gateway.replicated_accounts.names_below_full()
    assert all(one.level == gateway.accounts[one.key].quota.level for one in gathering.left())


def test_of_more_than_a_snapshot_holds_those_with_the_least_left_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("hazelhollow.replication.snapshot_collector.MOST", 10)
    gateway = known_customers(100)
    gathering = SnapshotCollector(gateway.replicated_accounts)
    gathering.finish()
    assert [one.key for one in gathering.left()] == gateway.replicated_accounts.names_below_full()[
        :10
    ]


def test_one_that_is_forgotten_meanwhile_is_left_out() -> None:
    gateway = known_customers(3 * A_SLICE)
    gathering = SnapshotCollector(gateway.replicated_accounts)
    gathering.step()
    last = gossip.base36(3 * A_SLICE - 2)
    del gateway.accounts[last]
    gathering.finish()
    assert last not in {one.key for one in gathering.left()}


def test_a_snapshot_of_many_customers_is_written_after_some_turns_and_the_last_at_once(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path)
    fleet.asking = False
    fleet.start(APART)
    fleet.run(6.0)
    one = fleet.all[0]
    assert one and one.driver.replica.whole
    file = snapshot.SnapshotFile(tmp_path, 0)
    for number in range(3 * A_SLICE):
        one.gateway.customer_accounts.get(gossip.base36(number), GOLD, 0, 3).quota.level = 1.0
    before = file.load(fleet.now)
    one.driver._save()
    assert file.load(fleet.now) == before
    fleet.run(0.1)
    written = file.load(fleet.now)
    assert written and len(written.customers) == 3 * A_SLICE and not written.final
    one.driver._save()
    one.driver.end()
    assert (last := file.load(fleet.now)) and last.final and len(last.customers) == 3 * A_SLICE
    fleet.run(0.1)
    assert file.load(fleet.now) == last  # the slices that were under way are not
