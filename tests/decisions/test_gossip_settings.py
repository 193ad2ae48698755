"""Gossip between limiters whose settings differ."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from tests.decisions.helpers import (
    ask,
    customers_with_equal_keys,
    endpoint_list,
    entry,
)
from tests.net.scenario import LOOK, PLAN, SETTINGS

GOLD = replace(PLAN, name="gold", rate=20.0, burst=40.0, excess_cost=1.0)
BRONZE = replace(PLAN, name="bronze", rate=2.0, burst=4.0, excess_cost=1.0)
SLOW = replace(LOOK, name="slow")


def engine(
    number: int,
    *plans: api.Plan,
    classes: tuple[api.RequestClass, ...] = (LOOK,),
    limiters: int = 2,
) -> DecisionEngine:
    limiter = DecisionEngine(
        replace(
            SETTINGS,
            limiter_id=number,
            limiter_count=limiters,
            plans=plans,
            classes=classes,
            gossip_messages_per_s=1000.0,
        ),
        seed=number,
    )
    limiter.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(4))), 1000.0)
    return limiter


def gossip_round(source: DecisionEngine, target: DecisionEngine, now: float) -> list[api.Action]:
    """Delivers the datagrams of the source's next round to the target; returns its actions."""
    actions = []
    for action in source.handle(api.TimerFired("beat"), now):
        if isinstance(action, api.SendGossip):
            actions += target.handle(
                api.GossipReceived(source.settings.limiter_id, action.text), now
            )
    return actions


def test_charge_applies_to_its_plan_if_settings_order_differs() -> None:
    """Limiters with different settings have different plans at the same index."""
    old, new = engine(0, GOLD), engine(1, BRONZE, GOLD)
    ask(old, 1000.1, "look", plan_name="gold", set_size=2, units=5.0)
    gossip_round(old, new, 1000.2)
    (account,) = new.accounts.values()
    assert account.plan == GOLD and sum(account.charges.reported.values()) == 5.0
    # In the other direction, the plan's index is beyond the end of the receiver's list.
    ask(new, 1000.3, "look", plan_name="gold", set_size=2, units=7.0, customer="d")
    gossip_round(new, old, 1000.4)
    assert [a.plan.name for a in old.accounts.values()] == ["gold", "gold"]
    assert sum(list(old.accounts.values())[1].charges.reported.values()) == 7.0


def test_two_customers_with_one_key_keep_separate_plans() -> None:
    limiter, peer = engine(0, BRONZE, GOLD), engine(1, BRONZE, GOLD)
    bronze, gold = customers_with_equal_keys(limiter)
    ask(limiter, 1000.1, "look", plan_name="bronze", set_size=2, customer=bronze)
    ask(limiter, 1000.2, "look", plan_name="gold", set_size=2, units=5.0, customer=gold)
    ask(limiter, 1000.3, "look", plan_name="bronze", set_size=2, customer=bronze)
    gossip_round(limiter, peer, 1000.4)
    assert {(a.plan.name, a.charges.open_total()) for a in limiter.accounts.values()} == {
        ("bronze", 2.0),
        ("gold", 5.0),
    }
    assert {(a.plan.name, sum(a.charges.reported.values())) for a in peer.accounts.values()} == {
        ("bronze", 2.0),
        ("gold", 5.0),
    }


def test_changed_plan_is_kept_after_the_old_account_is_removed() -> None:
    limiter = engine(0, BRONZE, GOLD)
    ask(limiter, 1000.1, "look", plan_name="bronze", set_size=2)
    ask(limiter, 1000.2, "look", plan_name="gold", set_size=2)
    del limiter.accounts[next(iter(limiter.accounts))]
    ask(limiter, 1000.3, "look", plan_name="gold", set_size=2)
    (account,) = limiter.accounts.values()
    assert account.plan == GOLD and account.charges.open_total() == 2.0


def test_report_of_a_missing_plan_is_ignored_and_logged_once() -> None:
    old, new = engine(0, GOLD), engine(1, BRONZE, GOLD)
    for customer in "abc":
        ask(new, 1000.1, "look", plan_name="bronze", set_size=2, customer=customer)
    ask(new, 1000.1, "look", plan_name="gold", set_size=2, customer="d")
    logs = [
        a.text
        for now in (1000.2, 1000.3)
        for a in gossip_round(new, old, now)
        if isinstance(a, api.WriteLog)
    ]
    assert [a.plan.name for a in old.accounts.values()] == ["gold"]
    assert len(logs) == 1 and "do not have" in logs[0]
    assert sum(old.receiver.unusable.values()) >= 3


def test_previous_dialect_is_decoded() -> None:
    """The datagram was written by a limiter of the previous release."""
    limiter = engine(0, BRONZE, GOLD)
    incarnation = gossip.incarnation_name(1000.0)
    limiter.handle(
        api.GossipReceived(1, f"h{gossip.base36(1000 % 36)}0{incarnation} 1abcd:1:0:2:0:1e 0zz=5"),
        1000.1,
    )
    (account,) = limiter.accounts.values()
    assert (
        account.plan == GOLD
        and sum(account.charges.reported.values()) == 5.0
        and not limiter.receiver.unusable
    )


@pytest.mark.parametrize(
    "text", ["j{period}0{life} 1abcd:7kq:0:2:0:1e", "j{period}0{life}", "{period}", ""]
)
def test_newer_dialect_is_rejected_counted_and_logged_once(text: str) -> None:
    limiter = engine(0, GOLD)
    text = text.format(period=gossip.base36(1000 % 36), life=gossip.incarnation_name(1000.0))
    logs = [
        a
        for _ in range(3)
        for a in limiter.handle(api.GossipReceived(1, text), 1000.1)
        if isinstance(a, api.WriteLog)
    ]
    assert not limiter.accounts and sum(limiter.receiver.unusable.values()) == 3 and len(logs) == 1


def test_failure_report_applies_to_its_class_if_order_differs() -> None:
    old, new = (
        engine(0, GOLD, classes=(SLOW,), limiters=12),
        engine(1, GOLD, classes=(LOOK, SLOW), limiters=12),
    )
    tag = new.endpoints["s1"].tag
    for kind, name in ((gossip.name_tag("slow"), "slow"), (gossip.EVERY_CLASS_TAG, "")):
        text = gossip.encode_header(1000, 0.0, gossip.incarnation_name(1000.0)) + gossip.encode(
            gossip.FailureReport(tag, kind)
        )
        new.handle(api.GossipReceived(old.settings.limiter_id, text), 1000.1)
        assert (
            name in new.endpoints["s1"].outlier_records
            and "look" not in new.endpoints["s1"].outlier_records
        )


def test_reports_of_classes_added_by_new_settings_are_applied() -> None:
    limiter = engine(0, GOLD, limiters=12)
    limiter.reconfigure(replace(limiter.settings, classes=(LOOK, SLOW)))
    text = gossip.encode_header(1000, 0.0, gossip.incarnation_name(1000.0)) + gossip.encode(
        gossip.FailureReport(limiter.endpoints["s1"].tag, gossip.name_tag("slow"))
    )
    limiter.handle(api.GossipReceived(1, text), 1000.1)
    assert "slow" in limiter.endpoints["s1"].outlier_records and not limiter.receiver.unusable


report_strategy = st.one_of(
    st.builds(
        gossip.ChargeReport,
        st.just("1abcd"),
        st.sampled_from(["p1", "p2"]),
        st.integers(0, 2),
        st.integers(1, 3),
        st.integers(0, 1),
        st.integers(0, 99).map(float),
        st.integers(0, 9),
    ),
    st.builds(
        gossip.SpentReport,
        st.just("1abcd"),
        st.sampled_from(["p1", "p2"]),
        st.integers(0, 99).map(float),
    ),
    st.builds(
        gossip.FailureReport, st.just("0zz"), st.sampled_from(["c1", gossip.EVERY_CLASS_TAG])
    ),
)


@given(st.lists(report_strategy, max_size=6))
def test_encoded_reports_decode_under_any_order_of_settings(
    sent: list[gossip.Report],
) -> None:
    text = gossip.encode_header(5, 0.0, "abc") + "".join(gossip.encode(report) for report in sent)
    for plans in (["p1", "p2"], ["p2", "x", "p1"]):
        message = gossip.GossipDecoder(plans, 3, ["c0", "c1"]).decode(text)
        assert message is not None and list(message.reports) == sent and message.unknown_tags == 0
    fewer = gossip.GossipDecoder(["p1"], 3, ["c1"]).decode(text)
    assert fewer is not None and len(fewer.reports) + fewer.unknown_tags == len(sent)
