"""Replicated counts: each charge counts once, whatever is lost."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.state.accounts import DEBT_REPAYMENT_SHARE, Account
from hazelhollow.decisions.state.customer_accounts import COUNT_SETTLE_S
from hazelhollow.decisions.state.period_charges import ClosedCount, PeriodCharges
from tests.decisions.helpers import (
    ask,
    endpoint_list,
    entry,
)
from tests.net.scenario import PLAN, SETTINGS

SLOW = replace(
    PLAN, name="slow", rate=0.001, burst=1000.0, excess_cost=1.0
)  # nothing comes in while a test lasts
FAST = replace(PLAN, name="fast", rate=20.0, burst=40.0, excess_cost=1.0)
BEAT = 0.1


class Cluster:
    """Real modules on a clock set by hand.

    Each datagram is delivered at once or lost, as the test says; the counts that they close are
    kept, to be told when the test says.
    """

    def __init__(self, members: int = 3, plan: str = "slow") -> None:
        self.now, self.plan, self.charged = 1000.0, plan, 0.0
        self.all = [self._gateway(n, members) for n in range(members)]
        self.closed: dict[tuple[str, int, str], api.ReplicateCount] = {}
        self.heard: set[tuple[int, int]] = {(a, b) for a in range(members) for b in range(members)}
        for one in self.all:
            one.handle(api.AccountReplicated(""), self.now)

    def _gateway(self, me: int, members: int) -> DecisionEngine:
        settings_ = replace(
            SETTINGS,
            limiter_id=me,
            limiter_count=members,
            plans=(SLOW, FAST),
            peers=True,
            gossip_messages_per_s=1000.0,
        )
        one = DecisionEngine(settings_, seed=me)
        one.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(6))), self.now)
        one.handle(self.view(members), self.now)
        return one

    def view(self, members: int, lost: tuple[int, ...] = ()) -> api.MembershipChanged:
        return api.MembershipChanged(
            True,
            tuple(n for n in range(members) if n not in lost),
            unreachable_but_serving=lost,
            counts_replicated=True,
        )

    def ask(self, number: int, customer: str = "c") -> bool:
        served = False
        actions = ask(
            self.all[number],
            self.now,
            "look",
            plan_name=self.plan,
            customer=customer,
            set_size=len(self.all),
        )
        for action in actions:
            if isinstance(action, api.StartAttempt):
                self.all[number].handle(
                    api.AttemptEnded(action.id, 0, action.endpoint, "ok", 0.01, True), self.now
                )
                served, self.charged = True, self.charged + 1.0
        self.carry(number, actions)
        return served

    def carry(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SendGossip) and (number, action.limiter_id) in self.heard:
                self.all[action.limiter_id].handle(
                    api.GossipReceived(number, action.text), self.now
                )
            elif isinstance(action, api.ReplicateCount):
                known = self.closed.setdefault(
                    (
                        action.key,
                        action.replicated_count.member,
                        action.replicated_count.incarnation,
                    ),
                    action,
                )
                if action.replicated_count.total > known.replicated_count.total:
                    self.closed[
                        action.key,
                        action.replicated_count.member,
                        action.replicated_count.incarnation,
                    ] = action

    def beat(self, seconds: float = BEAT) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += BEAT
            for number, one in enumerate(self.all):
                self.carry(number, one.handle(api.TimerFired("beat"), self.now))

    def tell(self, number: int) -> None:
        """All that others have closed."""
        for (_, member, incarnation), action in list(self.closed.items()):
            if (member, incarnation) != (number, self.all[number].context.incarnation):
                event = api.AccountReplicated(
                    action.key,
                    action.plan_name,
                    action.set_start,
                    action.set_size,
                    (action.replicated_count,),
                )
                self.all[number].handle(event, self.now)

    def left(self, number: int) -> float:
        account = next(iter(self.all[number].accounts.values()))
        return account.quota.level - account.debt


steps = st.lists(
    st.tuples(
        st.sampled_from(["ask", "beat", "second", "tell", "cut", "heal"]),
        st.integers(0, 2),
        st.integers(0, 2),
    ),
    max_size=40,
)


@settings(max_examples=120, deadline=None)
@given(steps)
def test_whatever_is_lost_or_told_again_each_charge_counts_once_in_the_end(
    plan: list[tuple[str, int, int]],
) -> None:
    """Gossip is lost, doubled and late between three members.

    Once counts have come, each charge counts once.
    """
    one = Cluster()
    for number in range(3):
        one.ask(number)  # all know the customer from here on
    for what, a, b in plan:
        if what == "ask":
            one.ask(a)
        elif what == "beat":
            one.beat()
        elif what == "second":
            one.beat(1.0)
        elif what == "tell":
            one.tell(a)
        elif what == "cut":
            one.heard -= {(a, b)}
        else:
            one.heard |= {(a, b)}
        for number in range(3):  # never more than what was charged in all
            assert one.left(number) >= 1000.0 - one.charged - 0.1
    one.heard = set()  # gossip tells nothing any more: the counts must do
    one.beat(4.0)
    for number in range(3):
        one.tell(number)
        one.tell(number)
        assert one.left(number) == pytest.approx(1000.0 - one.charged, abs=0.1)


def test_without_the_counts_what_was_lost_stays_lost() -> None:
    """The check above can fail."""
    one = Cluster()
    one.heard = set()
    for number in (0, 1, 1):
        one.ask(number)
    one.beat(4.0)
    assert one.left(0) == pytest.approx(999.0, abs=0.1)
    one.tell(0)
    assert one.left(0) == pytest.approx(997.0, abs=0.1)


def newcomer(one: Cluster, number: int) -> DecisionEngine:
    one.all[number] = one._gateway(number, len(one.all))
    return one.all[number]


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.booleans(),
    st.sampled_from([0.1, 0.6, 1.1, 2.5]),
)
def test_a_member_that_starts_anew_takes_over_what_a_peer_knows_while_charges_go_on(
    before: int, between: int, after: int, own: bool, wait: float
) -> None:
    """A member is killed and starts again with nothing, while others go on charging."""
    one = Cluster()
    for number in (0, 1, 2):
        one.ask(number)
    for _ in range(before):
        one.ask(1)
    one.beat(wait)
    new = newcomer(one, 2)
    if own:
        one.ask(2)  # of its cautious share
    for _ in range(between):
        one.ask(0)
    one.beat()
    whole = one.all[1].replicated_accounts.copy_of(next(iter(one.all[1].accounts)))
    for _ in range(after):
        one.ask(0)
    one.beat()  # gossip goes on while the piece is on its way
    assert whole is not None and whole.level is not None
    new.handle(whole, one.now)
    new.handle(whole, one.now)  # doubled
    assert one.left(2) == pytest.approx(1000.0 - one.charged, abs=0.1)
    one.ask(0)
    one.heard = set()
    one.beat(4.0)
    one.tell(2)
    new.handle(whole._replace(level=500.0), one.now)  # another giver's word, late
    assert one.left(2) == pytest.approx(1000.0 - one.charged, abs=0.1)


def test_what_one_that_died_had_charged_is_told_by_those_who_heard_it() -> None:
    """A member charges and dies before its counts are replicated.

    Those who heard its reports tell them.
    """
    one = Cluster()
    for number in range(3):
        one.ask(number)
    one.beat(3.0)
    one.tell(0)  # the count itself, by which it is known since when it runs
    one.heard -= {(1, 2)}
    one.ask(1)
    one.beat()
    one.all[1] = one._gateway(1, 3)  # its own count dies with it
    one.all[1].context.incarnation = "zzz"
    one.beat(4.0)
    assert one.left(2) == pytest.approx(997.0, abs=0.1)
    one.tell(2)
    assert one.left(2) == pytest.approx(996.0, abs=0.1)


def test_a_customer_that_no_peer_knew_of_has_its_whole_burst_once_one_is_whole() -> None:
    one = Cluster(plan="fast")
    new = newcomer(one, 2)
    assert one.ask(2, "early")
    account = next(iter(new.accounts.values()))
    assert account.quota.level < 40.0 / 3
    new.handle(api.AccountReplicated(""), one.now)
    one.ask(2, "late")
    assert list(new.accounts.values())[1].quota.level == 39.0


def test_what_a_member_used_of_what_was_left_to_it_is_not_taken_again_and_the_rest_comes_back() -> (
    None
):
    """A partition ends.

    What the other side used of its part must not be charged again, and the rest comes back.
    """
    one = Cluster(plan="fast")
    for number in range(3):
        one.ask(number)
    one.beat()
    key = next(iter(one.all[0].accounts))
    account = one.all[0].accounts[key]
    level = account.quota.level
    one.heard = set()
    one.all[0].handle(one.view(3, lost=(2,)), one.now)
    assert account.reserved_for_unreachable == {2: pytest.approx(level / 3, abs=0.1)}
    one.beat(3.0)
    one.all[0].handle(one.view(3), one.now)
    kept = account.reserved_for_unreachable[2]
    assert kept == pytest.approx(level / 3 + 20.0 / 3 * 3.0, abs=1.0)
    incarnation, through = one.all[2].context.incarnation, one.all[0].context.period - 2
    heard = sum(v for (who, _), v in account.charges.reported.items() if who == f"2.{incarnation}")
    known = heard + account.charges.closed_counts[f"2.{incarnation}"][2]  # type: ignore[index]
    one.all[0].handle(
        api.AccountReplicated(
            key, "fast", 0, 3, (api.ReplicatedCount(2, incarnation, 1000, through, known + 10.0),)
        ),
        one.now,
    )
    assert account.reserved_for_unreachable[2] == pytest.approx(kept - 10.0) and account.debt == 0.0
    one.beat(1.0)
    assert account.reserved_for_unreachable  # more counts may be on their way
    account.quota.level = 0.0
    one.beat(COUNT_SETTLE_S + 1.0)
    assert not account.reserved_for_unreachable and not account.returning
    assert account.quota.level == pytest.approx(
        40.0, abs=0.1
    )  # what came in, and what was left aside, to the burst


def test_units_charged_unheard_are_paid_back_over_time() -> None:
    """After a partition more was charged than the quota.

    Customers must not be shut out until it is paid.
    """
    one = Cluster(plan="fast")
    for number in range(3):
        one.ask(number)
    one.beat(1.0)
    account = next(iter(one.all[0].accounts.values()))
    account.charge_unheard(1, 30.0)
    account.quota.level, account.quota.updated_at = 0.0, one.now
    served = 0
    for _ in range(40):  # four seconds in which all that can be had is asked for
        one.now += BEAT
        served += sum(one.ask(0) for _ in range(5))
    assert account.debt == 0.0
    assert served == pytest.approx(4.0 * 20.0 - 30.0, abs=2.0)
    assert DEBT_REPAYMENT_SHARE < 1.0


def test_what_is_credited_of_a_dead_members_part_is_no_more_than_was_left_to_it() -> None:
    """A member that could not be heard turns out dead.

    No more of its part comes back than was left to it.
    """
    one = Cluster(plan="fast")
    one.ask(0)
    account = next(iter(one.all[0].accounts.values()))
    account.reserved_for_unreachable, account.quota.level = {2: 3.0}, 0.0
    account.quota.updated_at = one.now
    one.all[0].handle(
        api.MembershipChanged(True, (0, 1, 2), unused=((2, 5.0),), counts_replicated=True), one.now
    )
    assert account.quota.level == 3.0 and account.reserved_for_unreachable[2] == 0.0


def test_a_member_that_dies_for_good_takes_no_more_than_its_part_with_it() -> None:
    """A member dies and never comes back. Only its own part of the quota may be lost with it."""
    one = Cluster(plan="fast")
    one.ask(0)
    account = next(iter(one.all[0].accounts.values()))
    one.all[0].handle(one.view(3, lost=(2,)), one.now)
    one.all[0].handle(
        api.MembershipChanged(True, (0, 1), counts_replicated=True), one.now + 5.0
    )  # taken over: it is not there, and not lost
    one.now += 5.0
    one.beat(COUNT_SETTLE_S + 1.0)
    assert (
        account.reserved_for_unreachable and account.returning
    )  # not given back while nobody has heard what it used
    one.all[0].handle(one.view(3), one.now)
    one.beat(1.0)
    assert not account.reserved_for_unreachable


def test_counts_of_an_unknown_customer_matter_only_until_its_burst_is_full() -> None:
    one = Cluster(plan="fast")
    for age, total, left in ((10, 30.0, None), (1, 35.0, 25.0)):
        key, since = gossip.base36(36**4 + age), int(one.now) - age
        one.all[0].handle(
            api.AccountReplicated(
                key, "fast", 0, 3, (api.ReplicatedCount(1, "xy", since, since, total),)
            ),
            one.now,
        )
        account = one.all[0].accounts.get(key)
        assert (account is None) == (left is None)
        if account and left is not None:
            assert account.quota.level - account.debt == pytest.approx(left, abs=0.1)


@pytest.mark.parametrize("change", [{"plan_name": "gone"}, {"set_size": 0}, {"set_size": 9}])
def test_a_copy_that_these_settings_do_not_know_changes_nothing(change: dict[str, object]) -> None:
    one = Cluster()
    event = api.AccountReplicated(
        "abc", "slow", 0, 3, (api.ReplicatedCount(1, "xy", 999, 999, 10.0),), 5.0
    )
    one.all[0].handle(event._replace(**change), one.now)  # type: ignore[arg-type]
    assert not one.all[0].accounts


def test_in_a_large_set_the_hubs_reckon_and_the_others_go_by_what_they_are_told() -> None:
    one = Cluster(12, "fast")
    one.ask(0)
    key = next(iter(one.all[0].accounts))
    hubs = one.all[0].accounts[key].hubs
    hub, other = hubs[0], next(n for n in range(12) if n not in hubs)
    for number in (hub, other):
        one.ask(number)
        before = one.left(number) if number == hub else 0.0
        one.all[number].handle(
            api.AccountReplicated(
                key, "fast", 0, 12, (api.ReplicatedCount(11, "xy", 1000, 1000, 9.0),)
            ),
            one.now,
        )
        account = one.all[number].accounts[key]
        if number == hub:
            assert account.quota.level - account.debt == pytest.approx(before - 9.0)
        else:
            assert account.debt == 0.0
    new = newcomer(one, other)
    new.handle(api.AccountReplicated(key, "fast", 0, 12, (), 5.0), one.now)
    assert new.accounts[key].quota.level == 5.0 and new.accounts[key].has_announcement


def test_the_platforms_own_path_keeps_no_counts() -> None:
    one = DecisionEngine(replace(SETTINGS, plans=(SLOW, FAST)), seed=1)
    one.handle(endpoint_list("full", entry("s1")), 1000.0)
    ask(one, 1000.1, "look", plan_name="slow")
    for turn in range(40):
        assert not [
            a
            for a in one.handle(api.TimerFired("beat"), 1000.1 + turn / 10)
            if isinstance(a, api.ReplicateCount)
        ]
    account = next(iter(one.accounts.values()))
    assert (
        account.charges.closed_counts is None
        and not account.reserved_for_unreachable
        and one.replicated_accounts.copy_of(next(iter(one.accounts))) is None
    )


def test_a_count_that_is_older_than_what_is_known_changes_nothing() -> None:
    totals = PeriodCharges(0)
    totals.closed_counts = {}
    totals.advance(100)
    assert totals.merge_count("1.x", ClosedCount(100, 104, 9.0)) == 9.0
    assert (
        totals.merge_count("1.x", ClosedCount(100, 103, 7.0)) == 0.0
        and totals.merge_count("1.x", ClosedCount(99, 110, 50.0)) == 0.0
    )
    assert totals.merge_count("1.x", ClosedCount(100, 105, 11.0)) == 2.0
    assert totals.merge_count("1.x", ClosedCount(108, 108, 1.0)) == 1.0  # counted anew
    # Of one that began before this engine knew the customer the first word adds nothing: it is
    # part of the beginning.
    assert (
        totals.merge_count("2.y", ClosedCount(50, 101, 30.0)) == 0.0
        and totals.merge_count("2.y", ClosedCount(50, 105, 33.0)) == 3.0
    )
    totals.advance(109)
    # gossip that comes after the count that it is part of
    assert totals.merge_report("1.x", 108, 1.0) == 0.0
    assert totals.merge_report("1.x", 109, 1.0) == 1.0


def test_an_account_that_owes_or_has_something_aside_is_not_let_go() -> None:
    one = Cluster(plan="fast")
    one.ask(0)
    account: Account = next(iter(one.all[0].accounts.values()))
    account.reserved_for_unreachable[1] = 3.0
    one.now += 30.0
    one.beat(2.0)
    assert one.all[0].accounts
    account.reserved_for_unreachable = {}
    one.beat(2.0)
    assert not one.all[0].accounts
