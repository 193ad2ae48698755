"""Which members' shares of the quotas are reserved, and what the decision engine does with them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.partition_quota import SILENCE_S, TAKE_OVER_AFTER_S, PartitionQuota
from hazelhollow.membership.presence_index import PresenceIndex
from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from tests.decisions.helpers import ask, endpoint_list, entry
from tests.net.scenario import PLAN, SETTINGS

INCARNATIONS = {1: 11, 2: 12, 3: 13, 4: 14}


def apply(
    shares: PartitionQuota, absent: dict[int, int], present: dict[int, int], now: float
) -> list[tuple[int, float]]:
    """Passes in the incarnations of the absent and present members, and updates the shares.

    A member that is in neither has left.
    """
    for number in shares.peers.keys() - absent.keys() - present.keys():
        shares.record_changed(
            Record(number, shares.peers[number].known_incarnation, 9, MemberState.LEFT)
        )
    for incarnations, state in ((absent, MemberState.DEAD), (present, MemberState.ALIVE)):
        for number, incarnation in incarnations.items():
            shares.record_changed(Record(number, incarnation, 0, state))
    return shares.update(now)


def quota_with_peers(every_round: bool = True) -> PartitionQuota:
    shares = PartitionQuota(0, gossips_every_round=every_round)
    apply(shares, {}, INCARNATIONS, 100.0)
    return shares


def receive_gossip(shares: PartitionQuota, now: float, *numbers: int) -> None:
    for number in numbers:
        shares.gossip_received(number, now)


def test_silence_reserves_a_share_only_with_gossip_in_every_round() -> None:
    for every_round, reserved in ((True, {2, 3, 4}), (False, set())):
        shares = quota_with_peers(every_round)
        receive_gossip(shares, 100.0 + SILENCE_S, 1)
        assert (
            apply(shares, {}, INCARNATIONS, 100.0 + SILENCE_S + 0.1) == []
            and shares.unreachable_but_serving == reserved
        )


def test_share_is_reserved_for_a_suspect_but_not_for_one_that_left() -> None:
    shares = quota_with_peers(every_round=False)
    assert apply(
        shares, {3: 13}, {n: original for n, original in INCARNATIONS.items() if n != 3}, 101.0
    ) == [] and shares.unreachable_but_serving == {3}
    assert (
        apply(shares, {}, {n: original for n, original in INCARNATIONS.items() if n != 3}, 102.0)
        == []
        and shares.unreachable_but_serving == set()
    )


@pytest.mark.parametrize(("incarnation", "unused"), [(13, []), (99, [(3, 4.0)])])
def test_unused_quota_is_credited_only_after_a_restart(
    incarnation: int, unused: list[tuple[int, float]]
) -> None:
    """A member that restarted did not use its share while it was down. One that was cut off may
    have used it, so crediting it would exceed the quota.
    """
    shares = quota_with_peers(every_round=False)
    others = {n: original for n, original in INCARNATIONS.items() if n != 3}
    apply(shares, {3: 13}, others, 101.0)
    assert (
        apply(shares, {}, others | {3: incarnation}, 105.0) == unused
        and shares.unreachable_but_serving == set()
    )


def test_only_the_larger_side_of_a_partition_takes_over_shares() -> None:
    """If both sides took over shares, they would admit more than the quota together."""
    for gone, takes_over in ({3}, True), ({2, 3}, True), ({2, 3, 4}, False), ({1, 2, 3, 4}, False):
        shares = quota_with_peers(every_round=False)
        absent, others = (
            {n: INCARNATIONS[n] for n in gone},
            {n: incarnation for n, incarnation in INCARNATIONS.items() if n not in gone},
        )
        apply(shares, absent, others, 101.0)
        apply(shares, absent, others, 101.0 + TAKE_OVER_AFTER_S - 0.1)
        assert shares.unreachable_but_serving == gone
        apply(shares, absent, others, 101.0 + TAKE_OVER_AFTER_S)
        assert shares.unreachable_but_serving == (set() if takes_over else gone)


def test_share_that_was_taken_over_is_not_credited_as_unused() -> None:
    shares, others = (
        quota_with_peers(every_round=False),
        {n: original for n, original in INCARNATIONS.items() if n != 3},
    )
    for now in (101.0, 101.0 + TAKE_OVER_AFTER_S):
        apply(shares, {3: 13}, others, now)
    assert (
        apply(shares, {}, others | {3: 99}, 120.0) == [] and shares.unreachable_but_serving == set()
    )


def test_member_started_during_a_partition_reserves_the_others_shares() -> None:
    shares = PartitionQuota(0, gossips_every_round=False)
    # No member has ever seen 4, so no share is reserved for it.
    apply(shares, {2: 12, 3: 13, 4: 0}, {1: 11}, 100.0)
    assert shares.unreachable_but_serving == {2, 3}


# The decision engine


class FullScanQuota:
    """The rule as a scan of all members at each update.

    The incremental implementation must give the same results.
    """

    def __init__(self, every_round: bool) -> None:
        self.every_round = every_round
        self.last_heard, self.incarnation = dict[int, float](), dict[int, int]()
        self.lost_since, self.taken = dict[int, float](), set[int]()

    def evaluate(
        self, table: dict[int, Record], now: float
    ) -> tuple[list[tuple[int, float]], set[int]]:
        gone = {
            n: r.incarnation
            for n, r in table.items()
            if r.state in (MemberState.SUSPECT, MemberState.DEAD)
        }
        present = {
            n: r.incarnation
            for n, r in table.items()
            if r.state not in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
        }
        for number, incarnation in (gone | present).items():
            if number not in self.incarnation and incarnation:
                self.incarnation[number], self.last_heard[number] = incarnation, now
        for number in [n for n in self.incarnation if n not in gone and n not in present]:
            del self.incarnation[number], self.last_heard[number]
            self.lost_since.pop(number, None)
            self.taken.discard(number)
        unused = [
            pair for number in self.incarnation for pair in self._judge(number, gone, present, now)
        ]
        member_count = len(self.incarnation) + 1
        if 2 * (member_count - len(self.lost_since)) > member_count:
            self.taken |= {
                n for n, since in self.lost_since.items() if now - since >= TAKE_OVER_AFTER_S
            }
        return unused, self.lost_since.keys() - self.taken

    def _judge(
        self, number: int, gone: dict[int, int], present: dict[int, int], now: float
    ) -> list[tuple[int, float]]:
        unused = list[tuple[int, float]]()
        if number in gone or (self.every_round and now - self.last_heard[number] > SILENCE_S):
            self.lost_since.setdefault(number, now)
            return unused
        if number in self.lost_since:
            since = self.lost_since.pop(number)
            if present[number] != self.incarnation[number] and number not in self.taken:
                unused.append((number, now - since))
            self.taken.discard(number)
        self.incarnation[number] = present[number]
        return unused


step = st.tuples(
    st.floats(0.05, TAKE_OVER_AFTER_S),
    st.lists(
        st.tuples(st.integers(1, 5), st.integers(0, 3), st.sampled_from(MemberState)),
        max_size=4,
    ),
    st.lists(st.integers(1, 5), max_size=3),
)


@pytest.mark.parametrize("talks", [True, False])
@given(steps=st.lists(step, max_size=12))
def test_incremental_updates_agree_with_a_scan_of_all_members(
    talks: bool, steps: list[Any]
) -> None:
    shares, full_scan, table, now = (
        PartitionQuota(0, gossips_every_round=talks),
        FullScanQuota(talks),
        dict[int, Record](),
        100.0,
    )
    for elapsed_s, changes, senders in steps:
        now += elapsed_s
        for number in senders:
            shares.gossip_received(number, now)
            if number in full_scan.last_heard:
                full_scan.last_heard[number] = now
        for number, incarnation, state in changes:
            table[number] = Record(number, incarnation, 0, state)
            shares.record_changed(table[number])
        unused, reserved = full_scan.evaluate(table, now)
        assert (
            sorted(shares.update(now)) == sorted(unused)
            and shares.unreachable_but_serving == reserved
        )


@given(changes=st.lists(st.tuples(st.integers(0, 5), st.sampled_from(MemberState), st.booleans())))
def test_presence_index_agrees_with_a_scan_of_the_table(
    changes: list[tuple[int, MemberState, bool]],
) -> None:
    table, presence = MemberTable(), PresenceIndex(2)
    table.subscribe(presence.record_changed)
    for version, (number, state, cannot_hear) in enumerate(changes):
        table.put(Record(number, 1, version, state, (2,) if cannot_hear else ()))
        assert presence.present() == tuple(sorted(table.present()))
        assert presence.cannot_hear_us() == tuple(
            sorted(r.number for r in table if r.state in PRESENT_STATES and r.unreachable)
        )
        assert table.present_count == len(table.present())


WITHIN_SHARE = replace(PLAN, name="keeps", rate=20.0, burst=40.0, excess_cost=1.0)
OVER_SHARE = replace(WITHIN_SHARE, name="goes on", excess_cost=0.5, excess_weight=0.5)


def make_engine(fleet_size: int = 5, own_id: int = 0) -> DecisionEngine:
    settings = replace(
        SETTINGS,
        limiter_id=own_id,
        limiter_count=fleet_size,
        plans=(WITHIN_SHARE, OVER_SHARE),
        gossip_messages_per_s=1000.0,
    )
    engine = DecisionEngine(settings, seed=own_id)
    engine.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(6))), 1000.0)
    return engine


def membership_changed(
    reserved: tuple[int, ...] = (), unused: tuple[tuple[int, float], ...] = (), fleet_size: int = 5
) -> api.MembershipChanged:
    return api.MembershipChanged(
        True,
        tuple(n for n in range(fleet_size) if n not in reserved),
        unreachable_but_serving=reserved,
        unused=unused,
    )


def admit_load(
    engine: DecisionEngine, start: float, seconds: float, plan: str = "keeps", set_size: int = 5
) -> int:
    """Sends 40 requests a second, each answered immediately; returns how many were admitted."""
    admitted = 0
    for tick in range(int(seconds * 40)):
        now = start + tick / 40
        for action in ask(engine, now, "look", plan_name=plan, set_size=set_size):
            if isinstance(action, api.StartAttempt):
                admitted += 1
                engine.handle(
                    api.AttemptEnded(action.id, 0, action.endpoint, "ok", 0.01, True), now + 0.01
                )
    return admitted


@pytest.mark.parametrize(("plan", "most"), [("keeps", 0.4), ("goes on", 1.0)])
def test_partitioned_side_exceeds_its_share_only_where_that_pays(plan: str, most: float) -> None:
    """With a plan whose excess costs more than it earns, a side must keep to its share, since the
    other side may use the remaining quota. With the other plan, it uses the complete quota.
    """
    engine = make_engine()
    admit_load(engine, 1000.1, 4.0, plan)  # uses up the burst
    engine.handle(membership_changed(reserved=(2, 3, 4)), 1004.2)
    admitted = admit_load(engine, 1004.2, 10.0, plan)
    assert admitted == pytest.approx(most * 200, abs=4)
    engine.handle(membership_changed(), 1014.3)
    assert admit_load(engine, 1014.3, 10.0, plan) == pytest.approx(200, abs=4)


def test_quota_level_is_cut_to_the_share_and_only_refills_over_time() -> None:
    """The quota that has accumulated before a partition is divided too. After the heal the capacity
    returns at once but the level does not, since the other side may have used its share.
    """
    engine = make_engine()
    admit_load(engine, 1000.1, 0.05)
    account = next(iter(engine.accounts.values()))
    account.quota.level = 40.0
    engine.handle(membership_changed(reserved=(1, 2)), 1001.0)
    assert account.quota.level == pytest.approx(24.0) and account.quota.capacity == 24.0
    engine.handle(membership_changed(), 1001.0)
    assert account.quota.level == pytest.approx(24.0) and account.quota.capacity == 40.0


@pytest.mark.parametrize(("viewed", "level"), [(False, 40.0), (True, 8.0 + 0.5 * 32.0)])
def test_fleet_started_together_begins_below_the_full_burst(viewed: bool, level: float) -> None:
    """Otherwise a fleet whose members all crash repeatedly would grant a new burst each time."""
    for has_account in (True, False):  # whether the account existed before the first gossip
        engine = make_engine()
        if viewed:
            engine.handle(membership_changed(), 1000.01)
        if has_account:
            ask(engine, 1000.02, "look", plan_name="keeps", set_size=5, units=1e-6)
        for peer in (1, 2, 3, 4):
            engine.handle(
                api.GossipReceived(
                    peer, gossip.encode_header(1000, 0.0, engine.context.incarnation)
                ),
                1000.03,
            )
        ask(engine, 1000.04, "look", plan_name="keeps", set_size=5, units=1e-6)
        assert engine.startup.all_started_together and next(
            iter(engine.accounts.values())
        ).quota.level == pytest.approx(level, abs=1.0)


def test_unused_quota_is_credited_to_the_limiters_of_the_customer() -> None:
    engine = make_engine()
    admit_load(engine, 1000.1, 4.0)
    account = next(iter(engine.accounts.values()))
    account.quota.level = 0.0
    engine.handle(membership_changed(unused=((1, 2.0),)), account.quota.updated_at)
    assert account.quota.level == pytest.approx(20.0 / 5 * 2.0)
    account.set_start, account.set_size = 0, 1
    engine.handle(membership_changed(unused=((1, 2.0),)), account.quota.updated_at)
    assert account.quota.level == pytest.approx(8.0)


def test_unreachable_hubs_of_a_large_set_are_replaced_until_they_return() -> None:
    engine = make_engine(fleet_size=12)
    ask(engine, 1000.1, "look", plan_name="keeps", set_size=12)
    account = next(iter(engine.accounts.values()))
    before = list(account.hubs)
    engine.handle(membership_changed(reserved=tuple(before), fleet_size=12), 1000.2)
    assert len(account.hubs) == 2 and not set(account.hubs) & set(before)
    engine.handle(membership_changed(fleet_size=12), 1000.3)
    assert account.hubs == before


@pytest.mark.parametrize("gone", [False, True])
def test_charge_is_sent_at_once_to_present_hubs_only(gone: bool) -> None:
    engine = make_engine(fleet_size=12)
    ask(engine, 1000.1, "look", plan_name="keeps", set_size=12)
    first, second = next(iter(engine.accounts.values())).hubs
    engine.handle(
        api.MembershipChanged(True, tuple(n for n in range(12) if not gone or n != first)), 1000.2
    )
    notified = {
        action.limiter_id
        for action in ask(engine, 1000.3, "look", plan_name="keeps", set_size=12)
        if isinstance(action, api.SendGossip)
    }
    assert engine.settings.limiter_id not in (first, second) and notified == (
        {second} if gone else {first, second}
    )


@given(st.lists(st.integers(0, 3), min_size=2, max_size=8))
def test_sides_of_any_partition_together_admit_at_most_the_quota(side_of: list[int]) -> None:
    """All limiters receive more requests than the quota and know of the partition. Within a side,
    gossip shares the quota, so one engine stands for all limiters of its side.
    """
    total, members = 0, len(side_of)
    for side in set(side_of):
        inside = [n for n in range(members) if side_of[n] == side]
        engine = make_engine(members, inside[0])
        engine.handle(
            membership_changed(
                tuple(n for n in range(members) if n not in inside), fleet_size=members
            ),
            1000.05,
        )
        admit_load(engine, 1000.1, 3.0, set_size=members)  # uses up the burst
        total += admit_load(engine, 1003.1, 5.0, set_size=members)
    # tolerance of one unit per side, for the start of the five seconds
    assert 0.9 * 100 - members <= total <= 100 + members
