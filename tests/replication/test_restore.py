"""Quotas through the death of a whole fleet: what its snapshots say, and what they are worth.

Real decision engines and replication drivers on a clock set by hand. Time that the machine takes is
an event here: a process that waits for its processor does nothing until its time has come.
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
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.driver import EngineLink, Network, ReplicationDriver
from hazelhollow.replication.replica import ROUND_INTERVAL_S
from hazelhollow.replication.restore import guaranteed_level
from hazelhollow.replication.snapshot_collector import SLICE_CUSTOMERS, SnapshotCollector
from hazelhollow.replication.snapshot_file import SnapshotFile
from tests.decisions.helpers import endpoint_list, entry
from tests.net.scenario import PLAN, SETTINGS

START = 1_700_000_000.0
MEMBERS = 5
RATE, BURST = 20.0, 40.0
GOLD = replace(PLAN, name="gold", rate=RATE, burst=BURST, excess_cost=1.0)
REQUESTS_PER_S = 20.0  # at each member
NETWORK_DELAY_S = 0.002
SERVICE_TIME_S = 0.01
START_INTERVAL_S = 0.01  # between the starts of two members
MAX_DIFFERENCE = 4.0  # units, between runs of the same events at other moments


class Process:
    """One incarnation of one member: its timers, and the one queue of all that happens to it."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.alive, self.paused_until = fleet, number, True, 0.0
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
        self.on_message: Callable[[int, str], None] = self.gossip  # as PeerSocket has it
        self.driver = ReplicationDriver(
            self,  # type: ignore[arg-type]
            Network(
                self,  # type: ignore[arg-type]
                KnownMembers(fleet, number, fleet.now),  # type: ignore[arg-type]
                MessageAuthenticator(),
                codec.MAX_MESSAGE_BYTES,
            ),
            EngineLink(
                EngineAccounts(self.gateway.replicated_accounts),
                self.handle,
                lambda overrides: None,
            ),
            number,
            SnapshotFile(fleet.folder, number),
        )
        self.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(4))))
        self.driver.start()
        self.handle(api.MembershipChanged(True, tuple(range(MEMBERS)), counts_replicated=True))
        self.ask()

    # What the driver is given for the scheduler and the datagrams

    def clock(self) -> float:
        return self.fleet.now

    def at(self, when: float, call: Callable[..., object], *args: Any) -> None:
        self.fleet.at(when, self._happen, call, args)

    def send_to(self, number: int, text: str) -> None:
        self.fleet.at(self.clock() + NETWORK_DELAY_S, self.fleet.arrive, number, self.number, text)

    def _happen(self, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.alive and self.clock() < self.paused_until:
            self.at(self.paused_until, call, *args)
        elif self.alive:
            call(*args)

    # What a limiter does

    def gossip(self, sender: int, text: str) -> None:
        self.handle(api.GossipReceived(sender, text))

    def handle(self, event: api.Event) -> None:
        for action in self.gateway.handle(event, self.clock()):
            if isinstance(action, api.StartAttempt):
                self.fleet.admitted += 1.0
                done = api.AttemptEnded(action.id, 0, action.endpoint, "ok", SERVICE_TIME_S, True)
                self.at(self.clock() + SERVICE_TIME_S, self.handle, done)
            elif isinstance(action, api.SendGossip):
                self.send_to(action.limiter_id, action.text)
            elif isinstance(action, api.SetTimer):
                self.at(self.clock() + action.delay, self.handle, api.TimerFired(action.name))
            elif isinstance(action, api.ReplicateCount):
                self.driver.record_charge(action)

    def ask(self) -> None:
        if self.fleet.asking:
            request = f"r{next(self.fleet.ids)}"
            self.handle(api.RequestArrived(request, "look", "gold", "c", 1.0, 1.5, 0, MEMBERS))
        self.at(self.clock() + 1.0 / REQUESTS_PER_S, self.ask)


@dataclass
class KnownMembers:
    """Who is up, as replication's driver asks for it: its own `membership` too."""

    fleet: Fleet
    limiter_id: int
    began: float
    may_admit: bool = True
    member_count: int = MEMBERS

    @property
    def membership(self) -> KnownMembers:
        return self

    def present(self) -> list[int]:
        return [number for number, one in enumerate(self.fleet.all) if one and one.alive]

    def members_older_by(self, seconds: float) -> set[int]:
        return {
            n for n, one in enumerate(self.fleet.all) if one and one.began <= self.began - seconds
        }

    def unreachable_but_serving(self) -> set[int]:
        return set()

    def unreachable(self) -> list[int]:
        return []


class Fleet:
    def __init__(self, folder: Path) -> None:
        self.folder, self.now, self.admitted, self.asking = folder, START, 0.0, True
        self.ids = itertools.count()
        self.lost: Callable[[str], bool] = lambda text: False  # datagrams that never arrive
        self._heap: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.all: list[Process | None] = [None] * MEMBERS

    def at(self, when: float, call: Callable[..., object], *args: Any) -> None:
        heapq.heappush(self._heap, (when, next(self.ids), call, args))

    def arrive(self, number: int, sender: int, text: str) -> None:
        one = self.all[number]
        if one and one.alive and not self.lost(text):
            one._happen(lambda: one.on_message(sender, text), ())

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
                one.driver.stop()
        self.kill()

    def pause(self, number: int, seconds: float) -> None:
        one = self.all[number]
        assert one
        one.paused_until = self.now + seconds

    def excess(self) -> float:
        """Units beyond the quota and one burst, as the fault-injection checker has it."""
        return self.admitted - RATE * (self.now - START) - BURST

    def is_complete(self) -> bool:
        return all(one and one.driver.replica.catch_up.is_complete for one in self.all)

    def account(self, number: int) -> Account:
        one = self.all[number]
        assert one
        return next(iter(one.gateway.accounts.values()))

    def snapshot_of(self, number: int) -> snapshot.Snapshot:
        found = SnapshotFile(self.folder, number).load(self.now)
        assert found
        return found


@pytest.fixture
def fleet(tmp_path: Path) -> Fleet:
    """All of whose members have admitted what there was for four seconds."""
    return busy_fleet(tmp_path)


def busy_fleet(folder: Path) -> Fleet:
    one = Fleet(folder)
    one.start(START_INTERVAL_S)
    one.run(4.0)
    return one


def test_a_fleet_that_nothing_happens_to_keeps_to_its_quota(fleet: Fleet) -> None:
    fleet.run(9.0)
    assert -BURST <= fleet.excess() <= 0.0


@pytest.mark.parametrize("second_incarnation", [0.1, 0.2, 0.4, 0.6, 0.8, 1.0])
def test_what_an_incarnation_admitted_that_was_killed_before_it_was_complete_is_not_forgotten(
    fleet: Fleet, second_incarnation: float
) -> None:
    """All are killed, start, and are killed again before catch-up: the second start must not admit
    what the first has used."""
    for lasts in (second_incarnation, 8.0):
        fleet.kill()
        fleet.run(0.3)
        fleet.start(START_INTERVAL_S)
        fleet.run(lasts)
    assert fleet.excess() <= 0.0


def test_one_short_incarnation_after_another_brings_no_new_bursts(fleet: Fleet) -> None:
    """Four times all are killed 0.6 s after their start."""
    for lasts in (0.6, 0.6, 0.6, 0.6, 12.0):
        fleet.kill()
        fleet.run(0.1)
        fleet.start(START_INTERVAL_S)
        fleet.run(lasts)
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize("waiting", [(1,), (0, 2, 4), (0, 1, 2, 3, 4)])
def test_how_long_processes_waited_before_they_died_admits_nothing(
    waiting: tuple[int, ...], tmp_path: Path
) -> None:
    """Some processes got no processor time before the kill, while others admitted requests."""
    excess = []
    for seconds in (0.0, 1.0, 2.5):
        folder = tmp_path / f"{seconds}"
        folder.mkdir()
        fleet = busy_fleet(folder)
        for number in waiting:
            fleet.pause(number, 60.0)
        fleet.run(seconds)
        fleet.kill()
        fleet.run(0.3)
        fleet.start(START_INTERVAL_S)
        fleet.run(6.0)
        excess.append(fleet.excess())
    assert max(excess) <= min(0.0, excess[0] + MAX_DIFFERENCE)


def test_what_was_charged_before_catch_up_is_taken_off_what_the_snapshot_says(
    fleet: Fleet,
) -> None:
    """Until the others answer a member acts by its cautious share; periods close meanwhile."""
    fleet.kill()
    fleet.run(0.3)
    fleet.lost = lambda text: text.startswith(codec.DIALECT[0])
    fleet.start(START_INTERVAL_S)
    fleet.run(4.0)
    assert not fleet.is_complete()
    fleet.lost = lambda text: False
    fleet.run(8.0)
    assert fleet.is_complete()
    assert fleet.excess() <= 0.0


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
def test_no_kill_of_all_admits_units_beyond_the_quota(
    tmp_path_factory: pytest.TempPathFactory,
    plan: list[tuple[list[int], float, float, float, float]],
) -> None:
    """Random pauses, kills and starts of the whole fleet."""
    fleet = busy_fleet(tmp_path_factory.mktemp("fleet"))
    for waiting, waits, down, apart, lasts in plan:
        for number in waiting:
            fleet.pause(number, 60.0)
        fleet.run(waits)
        fleet.kill()
        fleet.run(down)
        fleet.start(apart)
        fleet.run(lasts)
    fleet.run(10.0)
    assert fleet.excess() <= 0.0


def test_after_an_orderly_end_of_all_what_was_left_is_there_again(fleet: Fleet) -> None:
    fleet.asking = False
    fleet.run(0.2)
    left = [fleet.account(number).quota.refill(fleet.now) for number in range(MEMBERS)]
    assert all(0.0 < level < 10.0 for level in left)
    fleet.end()
    ended = fleet.now
    assert all(fleet.snapshot_of(number).is_final for number in range(MEMBERS))
    fleet.start(START_INTERVAL_S)
    while not fleet.is_complete():
        fleet.run(ROUND_INTERVAL_S)
    for number, level in enumerate(left):
        expected = min(BURST, level + RATE * (fleet.now - ended))
        assert fleet.account(number).quota.refill(fleet.now) == pytest.approx(expected, abs=0.1)
    assert not any(fleet.snapshot_of(number).is_final for number in range(MEMBERS))


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
def test_the_guaranteed_level(level: float, age: float, final: bool, left: float) -> None:
    saved = snapshot.Snapshot(snapshot.FORMAT, snapshot.VERSION, START, 0, [], [], final)
    assert guaranteed_level(level, GOLD, saved, START + age) == left


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


@pytest.mark.parametrize("count", [0, 1, SLICE_CUSTOMERS, 5 * SLICE_CUSTOMERS + 7])
def test_accounts_below_full_are_collected_in_slices_with_the_least_left_first(count: int) -> None:
    gateway = known_customers(count)
    collector, steps = SnapshotCollector(EngineAccounts(gateway.replicated_accounts)), 1
    while not collector.step():
        steps += 1
    assert steps == count // SLICE_CUSTOMERS + 1
    assert [
        one.customer for one in collector.saved_accounts()
    ] == gateway.replicated_accounts.names_below_full()
    assert all(
        one.level == gateway.accounts[one.customer].quota.level
        for one in collector.saved_accounts()
    )


def test_of_more_accounts_than_a_snapshot_holds_those_with_the_least_left_are_saved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("hazelhollow.replication.snapshot_collector.MAX_CUSTOMERS", 10)
    gateway = known_customers(100)
    collector = SnapshotCollector(EngineAccounts(gateway.replicated_accounts))
    collector.finish()
    assert [
        one.customer for one in collector.saved_accounts()
    ] == gateway.replicated_accounts.names_below_full()[:10]


def test_an_account_that_is_forgotten_meanwhile_is_left_out() -> None:
    """The engine forgets a customer between two slices."""
    gateway = known_customers(3 * SLICE_CUSTOMERS)
    collector = SnapshotCollector(EngineAccounts(gateway.replicated_accounts))
    collector.step()
    last = gossip.base36(3 * SLICE_CUSTOMERS - 2)
    del gateway.accounts[last]
    collector.finish()
    assert last not in {one.customer for one in collector.saved_accounts()}


def test_a_snapshot_of_many_accounts_is_written_after_some_turns_and_the_last_at_once(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path)
    fleet.asking = False
    fleet.start(START_INTERVAL_S)
    fleet.run(6.0)
    one = fleet.all[0]
    assert one and one.driver.snapshots and one.driver.replica.catch_up.is_complete
    file = SnapshotFile(tmp_path, 0)
    for number in range(3 * SLICE_CUSTOMERS):
        one.gateway.customer_accounts.get(gossip.base36(number), GOLD, 0, 3).quota.level = 1.0
    before = file.load(fleet.now)
    one.driver.snapshots.save()
    assert file.load(fleet.now) == before
    fleet.run(0.1)
    written = file.load(fleet.now)
    assert written and len(written.accounts) == 3 * SLICE_CUSTOMERS and not written.is_final
    one.driver.snapshots.save()
    one.driver.stop()
    assert (
        (last := file.load(fleet.now))
        and last.is_final
        and len(last.accounts) == 3 * SLICE_CUSTOMERS
    )
    fleet.run(0.1)
    assert file.load(fleet.now) == last  # the slices that were under way are not
