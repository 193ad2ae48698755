"""Quotas when all members of a fleet die at once, and the levels restored from their snapshots.

The tests run real decision engines and replication drivers on a simulated clock. Lack of processor
time is simulated as well: a paused process does nothing until its pause has ended.
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
from hazelhollow.decisions.gossip import codec as gossip_codec
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
MAX_DIFFERENCE = 4.0  # units, between runs of the same events at different times


class Process:
    """One incarnation of one member, whose timers and datagrams are events of the fleet's queue."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.alive, self.paused_until = fleet, number, True, 0.0
        self.started_at = fleet.now
        engine_settings = replace(
            SETTINGS,
            limiter_id=number,
            limiter_count=MEMBERS,
            plans=(GOLD,),
            peers=True,
            gossip_messages_per_s=1000.0,
        )
        self.engine = DecisionEngine(engine_settings, seed=number)
        # The attribute that PeerSocket has.
        self.on_message: Callable[[int, str], None] = self.receive_gossip
        self.driver = ReplicationDriver(
            self,  # type: ignore[arg-type]
            Network(
                self,  # type: ignore[arg-type]
                FakeMembership(fleet, number, fleet.now),  # type: ignore[arg-type]
                MessageAuthenticator(),
                codec.MAX_MESSAGE_BYTES,
            ),
            EngineLink(
                EngineAccounts(self.engine.replicated_accounts),
                self.handle,
                lambda overrides: None,
            ),
            number,
            SnapshotFile(fleet.folder, number),
        )
        self.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(4))))
        self.driver.start()
        self.handle(api.MembershipChanged(True, tuple(range(MEMBERS)), counts_replicated=True))
        self.send_request()

    # The interfaces of the scheduler and the peer socket, which the driver uses

    def clock(self) -> float:
        return self.fleet.now

    def at(self, when: float, call: Callable[..., object], *args: Any) -> None:
        self.fleet.at(when, self._run_unless_paused, call, args)

    def send_to(self, number: int, text: str) -> None:
        self.fleet.at(self.clock() + NETWORK_DELAY_S, self.fleet.deliver, number, self.number, text)

    def _run_unless_paused(self, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.alive and self.clock() < self.paused_until:
            self.at(self.paused_until, call, *args)
        elif self.alive:
            call(*args)

    # The work of a limiter

    def receive_gossip(self, sender: int, text: str) -> None:
        self.handle(api.GossipReceived(sender, text))

    def handle(self, event: api.Event) -> None:
        for action in self.engine.handle(event, self.clock()):
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

    def send_request(self) -> None:
        if self.fleet.sends_requests:
            request = f"r{next(self.fleet.ids)}"
            self.handle(api.RequestArrived(request, "look", "gold", "c", 1.0, 1.5, 0, MEMBERS))
        self.at(self.clock() + 1.0 / REQUESTS_PER_S, self.send_request)


@dataclass
class FakeMembership:
    """The membership as the replication driver queries it; it is its own `membership` as well."""

    fleet: Fleet
    limiter_id: int
    started_at: float
    may_admit: bool = True
    member_count: int = MEMBERS

    @property
    def membership(self) -> FakeMembership:
        return self

    def present(self) -> list[int]:
        return [
            number for number, process in enumerate(self.fleet.all) if process and process.alive
        ]

    def members_older_by(self, seconds: float) -> set[int]:
        return {
            n
            for n, process in enumerate(self.fleet.all)
            if process and process.started_at <= self.started_at - seconds
        }

    def unreachable_but_serving(self) -> set[int]:
        return set()

    def unreachable(self) -> list[int]:
        return []


class Fleet:
    def __init__(self, folder: Path) -> None:
        self.folder, self.now, self.admitted, self.sends_requests = folder, START, 0.0, True
        self.ids = itertools.count()
        self.is_lost: Callable[[str], bool] = lambda text: False  # by a datagram's text
        self._heap: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.all: list[Process | None] = [None] * MEMBERS

    def at(self, when: float, call: Callable[..., object], *args: Any) -> None:
        heapq.heappush(self._heap, (when, next(self.ids), call, args))

    def deliver(self, number: int, sender: int, text: str) -> None:
        process = self.all[number]
        if process and process.alive and not self.is_lost(text):
            process._run_unless_paused(lambda: process.on_message(sender, text), ())

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now = end

    def start(self, start_interval: float = 0.0) -> None:
        """Starts all members, one after another."""
        for number in range(MEMBERS):
            self.all[number] = Process(self, number)
            self.run(start_interval)

    def kill(self) -> None:
        for process in self.all:
            if process:
                process.alive = False

    def shut_down(self) -> None:
        """Shuts all members down in an orderly way."""
        for process in self.all:
            if process:
                process.driver.stop()
        self.kill()

    def pause(self, number: int, seconds: float) -> None:
        process = self.all[number]
        assert process
        process.paused_until = self.now + seconds

    def excess(self) -> float:
        """Returns the units beyond the quota and one burst, as the fault-injection checker does."""
        return self.admitted - RATE * (self.now - START) - BURST

    def is_complete(self) -> bool:
        return all(process and process.driver.replica.catch_up.is_complete for process in self.all)

    def account(self, number: int) -> Account:
        process = self.all[number]
        assert process
        return next(iter(process.engine.accounts.values()))

    def snapshot_of(self, number: int) -> snapshot.Snapshot:
        loaded = SnapshotFile(self.folder, number).load(self.now)
        assert loaded
        return loaded


@pytest.fixture
def fleet(tmp_path: Path) -> Fleet:
    """A fleet whose members have admitted all that the quota allows for four seconds."""
    return busy_fleet(tmp_path)


def busy_fleet(folder: Path) -> Fleet:
    busy = Fleet(folder)
    busy.start(START_INTERVAL_S)
    busy.run(4.0)
    return busy


def test_a_fleet_without_faults_stays_within_its_quota(fleet: Fleet) -> None:
    fleet.run(9.0)
    assert -BURST <= fleet.excess() <= 0.0


@pytest.mark.parametrize("second_incarnation", [0.1, 0.2, 0.4, 0.6, 0.8, 1.0])
def test_units_admitted_before_completion_count_after_another_kill(
    fleet: Fleet, second_incarnation: float
) -> None:
    """All members are killed, start, and are killed again before catch-up is complete. After the
    second start they must not admit what was used after the first."""
    for lifetime_s in (second_incarnation, 8.0):
        fleet.kill()
        fleet.run(0.3)
        fleet.start(START_INTERVAL_S)
        fleet.run(lifetime_s)
    assert fleet.excess() <= 0.0


def test_successive_short_incarnations_grant_no_new_bursts(fleet: Fleet) -> None:
    """All members are killed 0.6 s after their start, four times in succession."""
    for lifetime_s in (0.6, 0.6, 0.6, 0.6, 12.0):
        fleet.kill()
        fleet.run(0.1)
        fleet.start(START_INTERVAL_S)
        fleet.run(lifetime_s)
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize("waiting", [(1,), (0, 2, 4), (0, 1, 2, 3, 4)])
def test_pauses_before_a_kill_admit_no_additional_units(
    waiting: tuple[int, ...], tmp_path: Path
) -> None:
    """Some processes get no processor time before the kill, while others admit requests."""
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


def test_charges_before_catch_up_are_subtracted_from_the_snapshot(
    fleet: Fleet,
) -> None:
    """Until the others answer, a member admits its cautious share; several periods close in that
    time."""
    fleet.kill()
    fleet.run(0.3)
    fleet.is_lost = lambda text: text.startswith(codec.DIALECT[0])
    fleet.start(START_INTERVAL_S)
    fleet.run(4.0)
    assert not fleet.is_complete()
    fleet.is_lost = lambda text: False
    fleet.run(8.0)
    assert fleet.is_complete()
    assert fleet.excess() <= 0.0


fault_sequences = st.tuples(
    # the members that get no processor time before the kill
    st.lists(st.integers(0, MEMBERS - 1), max_size=MEMBERS),
    st.sampled_from([0.0, 0.2, 1.0]),  # seconds without processor time before the kill
    st.sampled_from([0.1, 0.3, 1.5]),  # seconds that all are down
    st.sampled_from([0.01, 0.05, 0.2]),  # seconds between their starts
    st.floats(0.05, 2.0),  # seconds from the last start to the next fault
)


@settings(max_examples=8, deadline=None)
@given(st.lists(fault_sequences, min_size=1, max_size=3))
# All members are killed four times, at most 0.1 s after their start: before their second round, in
# which catch-up begins.
@example([([], 0.0, 0.1, 0.01, 0.05)] * 4)
def test_kills_of_all_members_admit_no_units_beyond_the_quota(
    tmp_path_factory: pytest.TempPathFactory,
    plan: list[tuple[list[int], float, float, float, float]],
) -> None:
    """Random pauses, kills and starts of the whole fleet."""
    fleet = busy_fleet(tmp_path_factory.mktemp("fleet"))
    for waiting, pause_s, down_s, start_interval, lifetime_s in plan:
        for number in waiting:
            fleet.pause(number, 60.0)
        fleet.run(pause_s)
        fleet.kill()
        fleet.run(down_s)
        fleet.start(start_interval)
        fleet.run(lifetime_s)
    fleet.run(10.0)
    assert fleet.excess() <= 0.0


def test_an_orderly_shutdown_of_all_preserves_the_units_left(fleet: Fleet) -> None:
    fleet.sends_requests = False
    fleet.run(0.2)
    levels = [fleet.account(number).quota.refill(fleet.now) for number in range(MEMBERS)]
    assert all(0.0 < level < 10.0 for level in levels)
    fleet.shut_down()
    shut_down_at = fleet.now
    assert all(fleet.snapshot_of(number).is_final for number in range(MEMBERS))
    fleet.start(START_INTERVAL_S)
    while not fleet.is_complete():
        fleet.run(ROUND_INTERVAL_S)
    for number, level in enumerate(levels):
        expected = min(BURST, level + RATE * (fleet.now - shut_down_at))
        assert fleet.account(number).quota.refill(fleet.now) == pytest.approx(expected, abs=0.1)
    assert not any(fleet.snapshot_of(number).is_final for number in range(MEMBERS))


@pytest.mark.parametrize(
    ("level", "age", "final", "left"),
    [
        (12.0, 0.0, False, 0.0),  # all of it may have been used
        (12.0, 9.0, False, 0.0),  # and the refill since then
        (-30.0, 1.0, False, -10.0),  # the refill repays the debt
        (-30.0, 9.0, False, 0.0),
        (12.0, 1.0, True, 32.0),
        (12.0, 9.0, True, BURST),
        (-30.0, 1.0, True, -10.0),
        (-30.0, -5.0, False, -30.0),  # the clock was set back
    ],
)
def test_guaranteed_level_depends_on_age_and_orderly_shutdown(
    level: float, age: float, final: bool, left: float
) -> None:
    saved = snapshot.Snapshot(snapshot.FORMAT, snapshot.VERSION, START, 0, [], [], final)
    assert guaranteed_level(level, GOLD, saved, START + age) == left


# The accounts of a snapshot, collected in slices


def known_customers(count: int) -> DecisionEngine:
    """Returns an engine with `count` customers, of which every second one is below its burst."""
    engine_settings = replace(
        SETTINGS,
        limiter_id=0,
        limiter_count=MEMBERS,
        plans=(GOLD,),
        peers=True,
        gossip_messages_per_s=1000.0,
    )
    engine = DecisionEngine(engine_settings, seed=1)
    engine.handle(api.MembershipChanged(True, tuple(range(MEMBERS)), counts_replicated=True), START)
    rng = random.Random(1)
    for number in range(count):
        account = engine.customer_accounts.get(
            gossip_codec.base36(number), GOLD, number % MEMBERS, 3
        )
        account.quota.level = BURST if number % 2 else rng.uniform(-5.0, BURST - 0.1)
    return engine


@pytest.mark.parametrize("count", [0, 1, SLICE_CUSTOMERS, 5 * SLICE_CUSTOMERS + 7])
def test_accounts_below_full_are_collected_in_slices_and_sorted(count: int) -> None:
    engine = known_customers(count)
    collector, steps = SnapshotCollector(EngineAccounts(engine.replicated_accounts)), 1
    while not collector.step():
        steps += 1
    assert steps == count // SLICE_CUSTOMERS + 1
    assert [
        collected.customer for collected in collector.saved_accounts()
    ] == engine.replicated_accounts.names_below_full()
    assert all(
        collected.level == engine.accounts[collected.customer].quota.level
        for collected in collector.saved_accounts()
    )


def test_of_too_many_accounts_those_with_the_least_left_are_saved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("hazelhollow.replication.snapshot_collector.MAX_CUSTOMERS", 10)
    engine = known_customers(100)
    collector = SnapshotCollector(EngineAccounts(engine.replicated_accounts))
    collector.finish()
    assert [
        collected.customer for collected in collector.saved_accounts()
    ] == engine.replicated_accounts.names_below_full()[:10]


def test_an_account_forgotten_between_slices_is_left_out() -> None:
    """The engine forgets a customer between two slices."""
    engine = known_customers(3 * SLICE_CUSTOMERS)
    collector = SnapshotCollector(EngineAccounts(engine.replicated_accounts))
    collector.step()
    forgotten = gossip_codec.base36(3 * SLICE_CUSTOMERS - 2)
    del engine.accounts[forgotten]
    collector.finish()
    assert forgotten not in {collected.customer for collected in collector.saved_accounts()}


def test_a_large_snapshot_takes_several_turns_and_the_last_none(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path)
    fleet.sends_requests = False
    fleet.start(START_INTERVAL_S)
    fleet.run(6.0)
    process = fleet.all[0]
    assert process and process.driver.snapshots and process.driver.replica.catch_up.is_complete
    file = SnapshotFile(tmp_path, 0)
    for number in range(3 * SLICE_CUSTOMERS):
        process.engine.customer_accounts.get(
            gossip_codec.base36(number), GOLD, 0, 3
        ).quota.level = 1.0
    snapshot_before = file.load(fleet.now)
    process.driver.snapshots.save()
    assert file.load(fleet.now) == snapshot_before
    fleet.run(0.1)
    written = file.load(fleet.now)
    assert written and len(written.accounts) == 3 * SLICE_CUSTOMERS and not written.is_final
    process.driver.snapshots.save()
    process.driver.stop()
    assert (
        (last := file.load(fleet.now))
        and last.is_final
        and len(last.accounts) == 3 * SLICE_CUSTOMERS
    )
    fleet.run(0.1)
    assert file.load(fleet.now) == last  # The abandoned snapshot is not written.
