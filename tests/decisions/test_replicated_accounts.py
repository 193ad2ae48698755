"""Replicated counts: each charge is counted once, whatever messages are lost."""

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

# The refill of this plan is negligible during a test.
SLOW = replace(PLAN, name="slow", rate=0.001, burst=1000.0, excess_cost=1.0)
FAST = replace(PLAN, name="fast", rate=20.0, burst=40.0, excess_cost=1.0)
ROUND_S = 0.1


class Cluster:
    """Decision engines with a simulated clock.

    Each datagram is delivered at once, or lost if the test has removed the link. The counts of
    closed periods are collected and delivered when the test asks for it.
    """

    def __init__(self, members: int = 3, plan: str = "slow") -> None:
        self.now, self.plan, self.charged = 1000.0, plan, 0.0
        self.all = [self.new_engine(n, members) for n in range(members)]
        self.closed: dict[tuple[str, int, str], api.ReplicateCount] = {}
        self.links: set[tuple[int, int]] = {(a, b) for a in range(members) for b in range(members)}
        for engine in self.all:
            engine.handle(api.AccountReplicated(""), self.now)

    def new_engine(self, engine_number: int, members: int) -> DecisionEngine:
        settings_ = replace(
            SETTINGS,
            limiter_id=engine_number,
            limiter_count=members,
            plans=(SLOW, FAST),
            peers=True,
            gossip_messages_per_s=1000.0,
        )
        engine = DecisionEngine(settings_, seed=engine_number)
        engine.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(6))), self.now)
        engine.handle(self.view(members), self.now)
        return engine

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
            if isinstance(action, api.SendGossip) and (number, action.limiter_id) in self.links:
                self.all[action.limiter_id].handle(
                    api.GossipReceived(number, action.text), self.now
                )
            elif isinstance(action, api.ReplicateCount):
                latest = self.closed.setdefault(
                    (
                        action.key,
                        action.replicated_count.member,
                        action.replicated_count.incarnation,
                    ),
                    action,
                )
                if action.replicated_count.total > latest.replicated_count.total:
                    self.closed[
                        action.key,
                        action.replicated_count.member,
                        action.replicated_count.incarnation,
                    ] = action

    def run_rounds(self, seconds: float = ROUND_S) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += ROUND_S
            for number, engine in enumerate(self.all):
                self.carry(number, engine.handle(api.TimerFired("beat"), self.now))

    def deliver_counts(self, number: int) -> None:
        """Delivers the closed counts of all other members to one member."""
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

    def units_left(self, number: int) -> float:
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
def test_each_charge_is_counted_once_despite_loss_and_repetition(
    plan: list[tuple[str, int, int]],
) -> None:
    """Gossip between three members is lost, repeated and late.

    After the counts have been delivered, each charge must be counted exactly once.
    """
    cluster = Cluster()
    for number in range(3):
        cluster.ask(number)  # from here on all members have the account
    for step, a, b in plan:
        if step == "ask":
            cluster.ask(a)
        elif step == "beat":
            cluster.run_rounds()
        elif step == "second":
            cluster.run_rounds(1.0)
        elif step == "tell":
            cluster.deliver_counts(a)
        elif step == "cut":
            cluster.links -= {(a, b)}
        else:
            cluster.links |= {(a, b)}
        for number in range(3):  # no member counts more than all charges together
            assert cluster.units_left(number) >= 1000.0 - cluster.charged - 0.1
    cluster.links = set()  # without gossip, the counts alone must be sufficient
    cluster.run_rounds(4.0)
    for number in range(3):
        cluster.deliver_counts(number)
        cluster.deliver_counts(number)
        assert cluster.units_left(number) == pytest.approx(1000.0 - cluster.charged, abs=0.1)


def test_lost_charges_are_missing_until_counts_are_delivered() -> None:
    """Shows that the previous test fails without the counts."""
    cluster = Cluster()
    cluster.links = set()
    for number in (0, 1, 1):
        cluster.ask(number)
    cluster.run_rounds(4.0)
    assert cluster.units_left(0) == pytest.approx(999.0, abs=0.1)
    cluster.deliver_counts(0)
    assert cluster.units_left(0) == pytest.approx(997.0, abs=0.1)


def restart(cluster: Cluster, number: int) -> DecisionEngine:
    cluster.all[number] = cluster.new_engine(number, len(cluster.all))
    return cluster.all[number]


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.booleans(),
    st.sampled_from([0.1, 0.6, 1.1, 2.5]),
)
def test_restarted_member_catches_up_while_charges_continue(
    before: int, between: int, after: int, own: bool, wait: float
) -> None:
    """A member is killed and restarts without state while the others continue to charge."""
    cluster = Cluster()
    for number in (0, 1, 2):
        cluster.ask(number)
    for _ in range(before):
        cluster.ask(1)
    cluster.run_rounds(wait)
    new = restart(cluster, 2)
    if own:
        cluster.ask(2)  # admitted from its reduced initial level
    for _ in range(between):
        cluster.ask(0)
    cluster.run_rounds()
    account_copy = cluster.all[1].replicated_accounts.copy_of(next(iter(cluster.all[1].accounts)))
    for _ in range(after):
        cluster.ask(0)
    cluster.run_rounds()  # gossip continues while the copy is in transit
    assert account_copy is not None and account_copy.level is not None
    new.handle(account_copy, cluster.now)
    new.handle(account_copy, cluster.now)  # delivered twice
    assert cluster.units_left(2) == pytest.approx(1000.0 - cluster.charged, abs=0.1)
    cluster.ask(0)
    cluster.links = set()
    cluster.run_rounds(4.0)
    cluster.deliver_counts(2)
    new.handle(account_copy._replace(level=500.0), cluster.now)  # late copy from another peer
    assert cluster.units_left(2) == pytest.approx(1000.0 - cluster.charged, abs=0.1)


def test_counts_of_a_dead_member_come_from_receivers_of_its_reports() -> None:
    """A member charges and dies before its counts are replicated.

    The members that received its reports must replicate them.
    """
    cluster = Cluster()
    for number in range(3):
        cluster.ask(number)
    cluster.run_rounds(3.0)
    cluster.deliver_counts(0)  # tells member 0 the period in which the count of member 1 starts
    cluster.links -= {(1, 2)}
    cluster.ask(1)
    cluster.run_rounds()
    cluster.all[1] = cluster.new_engine(1, 3)  # its own count is lost
    cluster.all[1].context.incarnation = "zzz"
    cluster.run_rounds(4.0)
    assert cluster.units_left(2) == pytest.approx(997.0, abs=0.1)
    cluster.deliver_counts(2)
    assert cluster.units_left(2) == pytest.approx(996.0, abs=0.1)


def test_customer_unknown_to_peers_gets_full_burst_after_catch_up() -> None:
    cluster = Cluster(plan="fast")
    new = restart(cluster, 2)
    assert cluster.ask(2, "early")
    account = next(iter(new.accounts.values()))
    assert account.quota.level < 40.0 / 3
    new.handle(api.AccountReplicated(""), cluster.now)
    cluster.ask(2, "late")
    assert list(new.accounts.values())[1].quota.level == 39.0


def test_used_reserve_is_not_charged_again_and_the_rest_is_returned() -> None:
    """A partition ends.

    Units that the other side used of its reserve must not be charged again, and the rest of the
    reserve must return to the quota.
    """
    cluster = Cluster(plan="fast")
    for number in range(3):
        cluster.ask(number)
    cluster.run_rounds()
    key = next(iter(cluster.all[0].accounts))
    account = cluster.all[0].accounts[key]
    level = account.quota.level
    cluster.links = set()
    cluster.all[0].handle(cluster.view(3, lost=(2,)), cluster.now)
    assert account.reserved_for_unreachable == {2: pytest.approx(level / 3, abs=0.1)}
    cluster.run_rounds(3.0)
    cluster.all[0].handle(cluster.view(3), cluster.now)
    reserve = account.reserved_for_unreachable[2]
    assert reserve == pytest.approx(level / 3 + 20.0 / 3 * 3.0, abs=1.0)
    incarnation, through = cluster.all[2].context.incarnation, cluster.all[0].context.period - 2
    reported_units = sum(
        v for (reporter, _), v in account.charges.reported.items() if reporter == f"2.{incarnation}"
    )
    counted = reported_units + account.charges.closed_counts[f"2.{incarnation}"][2]  # type: ignore[index]
    cluster.all[0].handle(
        api.AccountReplicated(
            key, "fast", 0, 3, (api.ReplicatedCount(2, incarnation, 1000, through, counted + 10.0),)
        ),
        cluster.now,
    )
    assert (
        account.reserved_for_unreachable[2] == pytest.approx(reserve - 10.0) and account.debt == 0.0
    )
    cluster.run_rounds(1.0)
    assert account.reserved_for_unreachable  # more counts may be in transit
    account.quota.level = 0.0
    cluster.run_rounds(COUNT_SETTLE_S + 1.0)
    assert not account.reserved_for_unreachable and not account.returning
    assert account.quota.level == pytest.approx(
        40.0, abs=0.1
    )  # the refill and the returned reserve, limited to the burst


def test_debt_is_repaid_gradually_while_requests_are_admitted() -> None:
    """After a partition more was charged than the quota.

    Customers must not be rejected until all of the debt is repaid.
    """
    cluster = Cluster(plan="fast")
    for number in range(3):
        cluster.ask(number)
    cluster.run_rounds(1.0)
    account = next(iter(cluster.all[0].accounts.values()))
    account.charge_unreported(1, 30.0)
    account.quota.level, account.quota.updated_at = 0.0, cluster.now
    served = 0
    for _ in range(40):  # four seconds of demand above the rate
        cluster.now += ROUND_S
        served += sum(cluster.ask(0) for _ in range(5))
    assert account.debt == 0.0
    assert served == pytest.approx(4.0 * 20.0 - 30.0, abs=2.0)
    assert DEBT_REPAYMENT_SHARE < 1.0


def test_credit_for_a_dead_member_is_limited_to_its_reserve() -> None:
    """An unreachable member turns out to be dead.

    No more units may be returned than were reserved for it.
    """
    cluster = Cluster(plan="fast")
    cluster.ask(0)
    account = next(iter(cluster.all[0].accounts.values()))
    account.reserved_for_unreachable, account.quota.level = {2: 3.0}, 0.0
    account.quota.updated_at = cluster.now
    cluster.all[0].handle(
        api.MembershipChanged(True, (0, 1, 2), unused=((2, 5.0),), counts_replicated=True),
        cluster.now,
    )
    assert account.quota.level == 3.0 and account.reserved_for_unreachable[2] == 0.0


def test_permanently_dead_member_costs_no_more_than_its_reserve() -> None:
    """A member dies and never returns. No more than its own share of the quota may be lost."""
    cluster = Cluster(plan="fast")
    cluster.ask(0)
    account = next(iter(cluster.all[0].accounts.values()))
    cluster.all[0].handle(cluster.view(3, lost=(2,)), cluster.now)
    cluster.all[0].handle(
        api.MembershipChanged(True, (0, 1), counts_replicated=True), cluster.now + 5.0
    )  # taken over: the member is neither present nor unreachable
    cluster.now += 5.0
    cluster.run_rounds(COUNT_SETTLE_S + 1.0)
    assert (
        account.reserved_for_unreachable and account.returning
    )  # kept until the member's use is known
    cluster.all[0].handle(cluster.view(3), cluster.now)
    cluster.run_rounds(1.0)
    assert not account.reserved_for_unreachable


def test_count_of_an_unknown_customer_is_ignored_once_burst_is_refilled() -> None:
    cluster = Cluster(plan="fast")
    for age, total, left in ((10, 30.0, None), (1, 35.0, 25.0)):
        key, since = gossip.base36(36**4 + age), int(cluster.now) - age
        cluster.all[0].handle(
            api.AccountReplicated(
                key, "fast", 0, 3, (api.ReplicatedCount(1, "xy", since, since, total),)
            ),
            cluster.now,
        )
        account = cluster.all[0].accounts.get(key)
        assert (account is None) == (left is None)
        if account and left is not None:
            assert account.quota.level - account.debt == pytest.approx(left, abs=0.1)


@pytest.mark.parametrize("change", [{"plan_name": "gone"}, {"set_size": 0}, {"set_size": 9}])
def test_account_that_does_not_match_the_settings_has_no_effect(change: dict[str, object]) -> None:
    cluster = Cluster()
    event = api.AccountReplicated(
        "abc", "slow", 0, 3, (api.ReplicatedCount(1, "xy", 999, 999, 10.0),), 5.0
    )
    cluster.all[0].handle(event._replace(**change), cluster.now)  # type: ignore[arg-type]
    assert not cluster.all[0].accounts


def test_large_set_hubs_merge_counts_and_others_adopt_announced_level() -> None:
    cluster = Cluster(12, "fast")
    cluster.ask(0)
    key = next(iter(cluster.all[0].accounts))
    hubs = cluster.all[0].accounts[key].hubs
    hub, other = hubs[0], next(n for n in range(12) if n not in hubs)
    for number in (hub, other):
        cluster.ask(number)
        before = cluster.units_left(number) if number == hub else 0.0
        cluster.all[number].handle(
            api.AccountReplicated(
                key, "fast", 0, 12, (api.ReplicatedCount(11, "xy", 1000, 1000, 9.0),)
            ),
            cluster.now,
        )
        account = cluster.all[number].accounts[key]
        if number == hub:
            assert account.quota.level - account.debt == pytest.approx(before - 9.0)
        else:
            assert account.debt == 0.0
    new = restart(cluster, other)
    new.handle(api.AccountReplicated(key, "fast", 0, 12, (), 5.0), cluster.now)
    assert new.accounts[key].quota.level == 5.0 and new.accounts[key].has_announcement


def test_engine_without_replication_keeps_no_counts() -> None:
    engine = DecisionEngine(replace(SETTINGS, plans=(SLOW, FAST)), seed=1)
    engine.handle(endpoint_list("full", entry("s1")), 1000.0)
    ask(engine, 1000.1, "look", plan_name="slow")
    for turn in range(40):
        assert not [
            a
            for a in engine.handle(api.TimerFired("beat"), 1000.1 + turn / 10)
            if isinstance(a, api.ReplicateCount)
        ]
    account = next(iter(engine.accounts.values()))
    assert (
        account.charges.closed_counts is None
        and not account.reserved_for_unreachable
        and engine.replicated_accounts.copy_of(next(iter(engine.accounts))) is None
    )


def test_count_older_than_the_stored_count_adds_nothing() -> None:
    period_charges = PeriodCharges(0)
    period_charges.closed_counts = {}
    period_charges.advance(100)
    assert period_charges.merge_count("1.x", ClosedCount(100, 104, 9.0)) == 9.0
    assert (
        period_charges.merge_count("1.x", ClosedCount(100, 103, 7.0)) == 0.0
        and period_charges.merge_count("1.x", ClosedCount(99, 110, 50.0)) == 0.0
    )
    assert period_charges.merge_count("1.x", ClosedCount(100, 105, 11.0)) == 2.0
    assert (
        period_charges.merge_count("1.x", ClosedCount(108, 108, 1.0)) == 1.0
    )  # the peer restarted its count
    # The first count received of an incarnation that started before this engine knew the customer
    # adds nothing: it is part of the initial level.
    assert (
        period_charges.merge_count("2.y", ClosedCount(50, 101, 30.0)) == 0.0
        and period_charges.merge_count("2.y", ClosedCount(50, 105, 33.0)) == 3.0
    )
    period_charges.advance(109)
    # This report arrives after the count that includes it.
    assert period_charges.merge_report("1.x", 108, 1.0) == 0.0
    assert period_charges.merge_report("1.x", 109, 1.0) == 1.0


def test_account_with_a_reserve_is_not_removed() -> None:
    cluster = Cluster(plan="fast")
    cluster.ask(0)
    account: Account = next(iter(cluster.all[0].accounts.values()))
    account.reserved_for_unreachable[1] = 3.0
    cluster.now += 30.0
    cluster.run_rounds(2.0)
    assert cluster.all[0].accounts
    account.reserved_for_unreachable = {}
    cluster.run_rounds(2.0)
    assert not cluster.all[0].accounts
