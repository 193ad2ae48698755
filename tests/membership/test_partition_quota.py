"""Whose part of the quotas is out of reach, and what the decision module does with that."""

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

LIVES = {1: 11, 2: 12, 3: 13, 4: 14}


def look(
    one: PartitionQuota, gone: dict[int, int], present: dict[int, int], now: float
) -> list[tuple[int, float]]:
    """Tells it of the incarnations of those that are gone and present now.

    Who is in neither has left.
    """
    for number in one.peers.keys() - gone.keys() - present.keys():
        one.record_changed(Record(number, one.peers[number].known_incarnation, 9, MemberState.LEFT))
    for incarnations, state in ((gone, MemberState.DEAD), (present, MemberState.ALIVE)):
        for number, incarnation in incarnations.items():
            one.record_changed(Record(number, incarnation, 0, state))
    return one.update(now)


def told(talks: bool = True) -> PartitionQuota:
    one = PartitionQuota(0, gossips_every_round=talks)
    look(one, {}, LIVES, 100.0)
    return one


def hears(one: PartitionQuota, now: float, *numbers: int) -> None:
    for number in numbers:
        one.gossip_received(number, now)


def test_silence_takes_a_part_out_of_reach_where_gossip_comes_at_every_beat_and_only_there() -> (
    None
):
    for talks, lost in ((True, {2, 3, 4}), (False, set())):
        one = told(talks)
        hears(one, 100.0 + SILENCE_S, 1)
        assert (
            look(one, {}, LIVES, 100.0 + SILENCE_S + 0.1) == []
            and one.unreachable_but_serving == lost
        )


def test_a_suspect_keeps_its_part_and_one_that_left_does_not() -> None:
    one = told(talks=False)
    assert look(
        one, {3: 13}, {n: incarnation for n, incarnation in LIVES.items() if n != 3}, 101.0
    ) == [] and one.unreachable_but_serving == {3}
    assert (
        look(one, {}, {n: incarnation for n, incarnation in LIVES.items() if n != 3}, 102.0) == []
        and one.unreachable_but_serving == set()
    )


@pytest.mark.parametrize(("incarnation", "unused"), [(13, []), (99, [(3, 4.0)])])
def test_what_one_that_died_did_not_use_is_given_back_and_of_one_that_was_cut_off_nothing(
    incarnation: int, unused: list[tuple[int, float]]
) -> None:
    one = told(talks=False)
    others = {n: born for n, born in LIVES.items() if n != 3}
    look(one, {3: 13}, others, 101.0)
    assert (
        look(one, {}, others | {3: incarnation}, 105.0) == unused
        and one.unreachable_but_serving == set()
    )


def test_the_larger_side_takes_over_in_time_and_the_smaller_never() -> None:
    for gone, taken in ({3}, True), ({2, 3}, True), ({2, 3, 4}, False), ({1, 2, 3, 4}, False):
        one = told(talks=False)
        away, others = (
            {n: LIVES[n] for n in gone},
            {n: incarnation for n, incarnation in LIVES.items() if n not in gone},
        )
        look(one, away, others, 101.0)
        look(one, away, others, 101.0 + TAKE_OVER_AFTER_S - 0.1)
        assert one.unreachable_but_serving == gone
        look(one, away, others, 101.0 + TAKE_OVER_AFTER_S)
        assert one.unreachable_but_serving == (set() if taken else gone)


def test_a_part_that_was_taken_over_is_not_credited_too() -> None:
    one, others = told(talks=False), {n: born for n, born in LIVES.items() if n != 3}
    for now in (101.0, 101.0 + TAKE_OVER_AFTER_S):
        look(one, {3: 13}, others, now)
    assert look(one, {}, others | {3: 99}, 120.0) == [] and one.unreachable_but_serving == set()


def test_a_member_that_starts_in_a_part_leaves_the_others_theirs() -> None:
    one = PartitionQuota(0, gossips_every_round=False)
    # 4 has never been seen: nobody keeps a part for it
    look(one, {2: 12, 3: 13, 4: 0}, {1: 11}, 100.0)
    assert one.unreachable_but_serving == {2, 3}


# The decision module


class WholeTableShares:
    """The rule by a pass over all members at each look.

    What the shares that are kept up must come to.
    """

    def __init__(self, talks: bool) -> None:
        self.talks = talks
        self.heard, self.incarnation = dict[int, float](), dict[int, int]()
        self.lost_since, self.taken = dict[int, float](), set[int]()

    def look(
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
                self.incarnation[number], self.heard[number] = incarnation, now
        for number in [n for n in self.incarnation if n not in gone and n not in present]:
            del self.incarnation[number], self.heard[number]
            self.lost_since.pop(number, None)
            self.taken.discard(number)
        unused = [
            pair for number in self.incarnation for pair in self._judge(number, gone, present, now)
        ]
        everybody = len(self.incarnation) + 1
        if 2 * (everybody - len(self.lost_since)) > everybody:
            self.taken |= {
                n for n, since in self.lost_since.items() if now - since >= TAKE_OVER_AFTER_S
            }
        return unused, self.lost_since.keys() - self.taken

    def _judge(
        self, number: int, gone: dict[int, int], present: dict[int, int], now: float
    ) -> list[tuple[int, float]]:
        unused = list[tuple[int, float]]()
        if number in gone or (self.talks and now - self.heard[number] > SILENCE_S):
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
def test_what_is_kept_up_record_by_record_is_what_a_pass_over_all_members_finds(
    talks: bool, steps: list[Any]
) -> None:
    one, whole, table, now = (
        PartitionQuota(0, gossips_every_round=talks),
        WholeTableShares(talks),
        dict[int, Record](),
        100.0,
    )
    for passed, changes, heard in steps:
        now += passed
        for number in heard:
            one.gossip_received(number, now)
            if number in whole.heard:
                whole.heard[number] = now
        for number, incarnation, state in changes:
            table[number] = Record(number, incarnation, 0, state)
            one.record_changed(table[number])
        unused, lost = whole.look(table, now)
        assert sorted(one.update(now)) == sorted(unused) and one.unreachable_but_serving == lost


@given(changes=st.lists(st.tuples(st.integers(0, 5), st.sampled_from(MemberState), st.booleans())))
def test_who_is_present_and_who_is_deaf_is_kept_up_record_by_record(
    changes: list[tuple[int, MemberState, bool]],
) -> None:
    table, presence = MemberTable(), PresenceIndex(2)
    table.subscribe(presence.record_changed)
    for turn, (number, state, deaf) in enumerate(changes):
        table.put(Record(number, 1, turn, state, (2,) if deaf else ()))
        assert presence.present() == tuple(sorted(table.present()))
        assert presence.cannot_hear_us() == tuple(
            sorted(r.number for r in table if r.state in PRESENT_STATES and r.unreachable)
        )
        assert table.present_count == len(table.present())


KEEPS = replace(PLAN, name="keeps", rate=20.0, burst=40.0, excess_cost=1.0)
GOES_ON = replace(KEEPS, name="goes on", excess_cost=0.5, excess_weight=0.5)


def gateway(gateways: int = 5, me: int = 0) -> DecisionEngine:
    settings = replace(
        SETTINGS,
        limiter_id=me,
        limiter_count=gateways,
        plans=(KEEPS, GOES_ON),
        gossip_messages_per_s=1000.0,
    )
    one = DecisionEngine(settings, seed=me)
    one.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(6))), 1000.0)
    return one


def view(
    lost: tuple[int, ...] = (), unused: tuple[tuple[int, float], ...] = (), gateways: int = 5
) -> api.MembershipChanged:
    return api.MembershipChanged(
        True,
        tuple(n for n in range(gateways) if n not in lost),
        unreachable_but_serving=lost,
        unused=unused,
    )


def let_in(
    one: DecisionEngine, begin: float, seconds: float, plan: str = "keeps", set_size: int = 5
) -> int:
    """Of 40 tries a second, each answered at once."""
    served = 0
    for turn in range(int(seconds * 40)):
        now = begin + turn / 40
        for action in ask(one, now, "look", plan_name=plan, set_size=set_size):
            if isinstance(action, api.StartAttempt):
                served += 1
                one.handle(
                    api.AttemptEnded(action.id, 0, action.endpoint, "ok", 0.01, True), now + 0.01
                )
    return served


@pytest.mark.parametrize(("plan", "most"), [("keeps", 0.4), ("goes on", 1.0)])
def test_a_side_of_a_cut_keeps_to_its_part_where_going_over_costs_more_than_it_earns(
    plan: str, most: float
) -> None:
    one = gateway()
    let_in(one, 1000.1, 4.0, plan)  # the burst is gone
    one.handle(view(lost=(2, 3, 4)), 1004.2)
    served = let_in(one, 1004.2, 10.0, plan)
    assert served == pytest.approx(most * 200, abs=4)
    one.handle(view(), 1014.3)
    assert let_in(one, 1014.3, 10.0, plan) == pytest.approx(200, abs=4)


def test_what_had_come_in_is_shared_too_and_comes_back_with_time_alone() -> None:
    one = gateway()
    let_in(one, 1000.1, 0.05)
    account = next(iter(one.accounts.values()))
    account.quota.level = 40.0
    one.handle(view(lost=(1, 2)), 1001.0)
    assert account.quota.level == pytest.approx(24.0) and account.quota.capacity == 24.0
    one.handle(view(), 1001.0)
    assert account.quota.level == pytest.approx(24.0) and account.quota.capacity == 40.0


@pytest.mark.parametrize(("viewed", "level"), [(False, 40.0), (True, 8.0 + 0.5 * 32.0)])
def test_a_fleet_that_began_together_begins_with_less_where_it_may_have_been_there_before(
    viewed: bool, level: float
) -> None:
    """All killed at once, again and again, would each time be a new burst."""
    for before in (True, False):  # whether the account was there when the others were met
        one = gateway()
        if viewed:
            one.handle(view(), 1000.01)
        if before:
            ask(one, 1000.02, "look", plan_name="keeps", set_size=5, units=1e-6)
        for peer in (1, 2, 3, 4):
            one.handle(
                api.GossipReceived(peer, gossip.encode_header(1000, 0.0, one.context.incarnation)),
                1000.03,
            )
        ask(one, 1000.04, "look", plan_name="keeps", set_size=5, units=1e-6)
        assert one.startup.all_started_together and next(
            iter(one.accounts.values())
        ).quota.level == pytest.approx(level, abs=1.0)


def test_what_nobody_used_is_credited_to_those_that_the_customer_comes_through() -> None:
    one = gateway()
    let_in(one, 1000.1, 4.0)
    account = next(iter(one.accounts.values()))
    account.quota.level = 0.0
    one.handle(view(unused=((1, 2.0),)), account.quota.updated_at)
    assert account.quota.level == pytest.approx(20.0 / 5 * 2.0)
    account.set_start, account.set_size = 0, 1
    one.handle(view(unused=((1, 2.0),)), account.quota.updated_at)
    assert account.quota.level == pytest.approx(8.0)


def test_a_large_set_whose_hubs_cannot_be_heard_has_others() -> None:
    one = gateway(gateways=12)
    ask(one, 1000.1, "look", plan_name="keeps", set_size=12)
    account = next(iter(one.accounts.values()))
    before = list(account.hubs)
    one.handle(view(lost=tuple(before), gateways=12), 1000.2)
    assert len(account.hubs) == 2 and not set(account.hubs) & set(before)
    one.handle(view(gateways=12), 1000.3)
    assert account.hubs == before


@pytest.mark.parametrize("gone", [False, True])
def test_a_hub_that_is_gone_is_not_told_of_a_charge_at_once_and_the_other_is(gone: bool) -> None:
    one = gateway(gateways=12)
    ask(one, 1000.1, "look", plan_name="keeps", set_size=12)
    first, second = next(iter(one.accounts.values())).hubs
    one.handle(
        api.MembershipChanged(True, tuple(n for n in range(12) if not gone or n != first)), 1000.2
    )
    told = {
        action.limiter_id
        for action in ask(one, 1000.3, "look", plan_name="keeps", set_size=12)
        if isinstance(action, api.SendGossip)
    }
    assert one.settings.limiter_id not in (first, second) and told == (
        {second} if gone else {first, second}
    )


@given(st.lists(st.integers(0, 3), min_size=2, max_size=8))
def test_for_any_split_the_parts_together_let_in_no_more_than_the_quota(part_of: list[int]) -> None:
    """All ask for more than there is and know of the cut.

    Within a part gossip shares its quota: one speaks for it.
    """
    total, members = 0, len(part_of)
    for part in set(part_of):
        inside = [n for n in range(members) if part_of[n] == part]
        one = gateway(members, inside[0])
        one.handle(
            view(tuple(n for n in range(members) if n not in inside), gateways=members), 1000.05
        )
        let_in(one, 1000.1, 3.0, set_size=members)  # the burst is gone
        total += let_in(one, 1003.1, 5.0, set_size=members)
    # a unit a part for where the five seconds begin
    assert 0.9 * 100 - members <= total <= 100 + members
