"""Sets and fleets so large that hubs collect the charges."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.gossip.composer import RELAY_AGE_S
from tests.decisions.helpers import (
    BASIC,
    actions_of,
    answer,
    ask,
    customers_with_equal_keys,
    make_engine,
)

FLEET_SIZE, SET_SIZE = 40, 30


def fleet(count: int = FLEET_SIZE, **changes: Any) -> list[DecisionEngine]:
    return [make_engine(i, limiter_count=FLEET_SIZE, **changes) for i in range(count)]


def hubs_of(engine: DecisionEngine, now: float, **changes: Any) -> list[int]:
    """Returns the limiters to which a charge is reported."""
    return [
        t.limiter_id
        for t in actions_of(ask(engine, now, set_size=SET_SIZE, **changes), api.SendGossip)
    ]


def deliver(
    limiters: list[DecisionEngine], member: int, actions: list[api.Action], now: float
) -> None:
    """Delivers every datagram at once, and the datagrams sent in response."""
    for datagram in actions_of(actions, api.SendGossip):
        more = limiters[datagram.limiter_id].handle(api.GossipReceived(member, datagram.text), now)
        deliver(limiters, datagram.limiter_id, more, now)


def test_charge_in_a_large_set_is_sent_at_once_to_its_hubs_only() -> None:
    recipients = [hubs_of(engine, 100.0) for engine in fleet()[:SET_SIZE]]
    hubs = sorted({n for some in recipients for n in some})
    assert len(hubs) == 2 and max(hubs) < SET_SIZE
    assert all(set(some) == set(hubs) - {member} for member, some in enumerate(recipients))


def test_first_request_in_a_large_set_is_admitted() -> None:
    assert actions_of(
        ask(make_engine(3, limiter_count=FLEET_SIZE), 0.0, set_size=SET_SIZE, units=4.0),
        api.StartAttempt,
    )


def test_level_is_announced_once_a_busy_customer_is_near_its_limit() -> None:
    limiters = fleet()
    sent = 0
    for turn in range(3 * SET_SIZE):
        member = turn % SET_SIZE
        actions = ask(limiters[member], 100.0 + turn / 100, set_size=SET_SIZE, units=2.0)
        sent += len(actions_of(actions, api.StartAttempt))
        deliver(limiters, member, actions, 100.0 + turn / 100)
        if turn == 0:
            assert not any(a.has_announcement for g in limiters for a in g.accounts.values())
    assert 4 <= sent <= 8  # burst 12, rate 4 per second, 2 units per request
    assert sum(a.has_announcement for g in limiters for a in g.accounts.values()) >= SET_SIZE - 1


def test_large_set_separates_two_customers_of_one_key_by_plan() -> None:
    limiters = fleet(plans=(BASIC, replace(BASIC, name="other")))
    other, busy = customers_with_equal_keys(limiters[0])
    for member in range(SET_SIZE):  # this account gets the name without a tag everywhere
        deliver(
            limiters,
            member,
            ask(
                limiters[member],
                99.9,
                set_size=SET_SIZE,
                units=0.1,
                customer=other,
                plan_name="other",
            ),
            99.9,
        )
    sent = 0
    for turn in range(3 * SET_SIZE):
        now, member = 100.0 + turn / 100, turn % SET_SIZE
        actions = ask(limiters[member], now, set_size=SET_SIZE, units=2.0, customer=busy)
        sent += len(actions_of(actions, api.StartAttempt))
        deliver(limiters, member, actions, now)
    assert 4 <= sent <= 8
    announced = [a.plan.name for g in limiters for a in g.accounts.values() if a.has_announcement]
    assert len(announced) >= SET_SIZE - 1 and set(announced) == {"basic"}
    assert not any(g.receiver.unusable for g in limiters)


@pytest.mark.parametrize("run", range(4))
def test_total_admission_is_bounded_under_loss_delay_repeats_and_restarts(
    run: int,
) -> None:
    """A customer sends three times its rate through thirty limiters.

    It may get at most 1.25 times its quota in total.
    """
    rng, limiters, waiting = random.Random(run), fleet(), list[tuple[float, int, int, str]]()
    beats, admitted, now, end = (
        [i / FLEET_SIZE / 10 + 100.0 for i in range(FLEET_SIZE)],
        0.0,
        100.0,
        130.0,
    )
    while now < end:
        now += 0.005
        events: list[tuple[int, api.Event]] = []
        if rng.random() < 0.005 * 3 * BASIC.rate / 2.0:
            member = min(rng.randrange(SET_SIZE), rng.randrange(SET_SIZE))
            actions = ask(limiters[member], now, set_size=SET_SIZE, units=2.0)
            for send in actions_of(actions, api.StartAttempt):
                admitted += send.endpoint != ""
                actions = actions + answer(limiters[member], send, now, true_units=0.0)
            waiting += _posted(rng, now, member, actions)
        due = [m for m in waiting if m[0] <= now]
        waiting = [m for m in waiting if m[0] > now]
        events += [(to, api.GossipReceived(sender, text)) for _, sender, to, text in due]
        events += [(i, api.TimerFired("beat")) for i in range(FLEET_SIZE) if beats[i] <= now]
        for member, event in events:
            beats[member] += 0.1 if isinstance(event, api.TimerFired) else 0.0
            waiting += _posted(rng, now, member, limiters[member].handle(event, now))
        if rng.random() < 0.002:
            member = rng.randrange(FLEET_SIZE)
            limiters[member] = make_engine(member, limiter_count=FLEET_SIZE)
            limiters[member].context.incarnation = ""
    quota = BASIC.burst + BASIC.rate * (end - 100.0)
    assert 0.6 * quota <= 2.0 * admitted <= 1.25 * quota


def _posted(
    rng: random.Random, now: float, member: int, actions: list[api.Action]
) -> list[tuple[float, int, int, str]]:
    in_transit = []
    for datagram in actions_of(actions, api.SendGossip):
        for _ in range(rng.choices((0, 1, 2), (0.07, 0.9, 0.03))[0]):
            in_transit.append(
                (now + rng.uniform(0.001, 0.03), member, datagram.limiter_id, datagram.text)
            )
    return in_transit


def test_second_hub_announces_if_the_first_is_silent() -> None:
    """The first hub has stopped.

    Another hub must announce that the quota is spent, or the set admits more than the quota.
    """
    limiters = fleet()
    first, second = hubs_of(make_engine(39, limiter_count=FLEET_SIZE), 100.0)
    announcements = 0
    for turn in range(60):  # the second hub receives all datagrams, the first none
        now = 100.0 + turn / 50
        for datagram in actions_of(
            ask(limiters[turn % SET_SIZE], now, set_size=SET_SIZE, units=2.0), api.SendGossip
        ):
            if datagram.limiter_id == second:
                limiters[second].handle(api.GossipReceived(turn % SET_SIZE, datagram.text), now)
        announcements += len(
            [
                t
                for t in actions_of(
                    limiters[second].handle(api.TimerFired("beat"), now + 0.01), api.SendGossip
                )
                if "/" in t.text
            ]
        )
    assert announcements >= SET_SIZE - 1


# A fleet, and a set in it that no hub can notify within a second.
VERY_LARGE_FLEET_SIZE, VERY_LARGE_SET_SIZE = 150, 120


def has_announced_level(engine: DecisionEngine) -> bool:
    return any(a.has_announcement for a in engine.accounts.values())


def spend_in_very_large_set(
    limiters: list[DecisionEngine], turns: int, dead: int = -1, **changes: Any
) -> int:
    """Returns how many requests are admitted if a customer sends them to 40 members in turn.

    Every datagram is delivered at once.
    """
    sent = 0
    for turn in range(turns):
        now, member = 100.0 + turn / 100, turn % 40
        actions = ask(limiters[member], now, set_size=VERY_LARGE_SET_SIZE, units=2.0, **changes)
        sent += len(actions_of(actions, api.StartAttempt))
        queue = [(member, a) for a in actions_of(actions, api.SendGossip)]
        while queue:
            sender, datagram = queue.pop()
            if datagram.limiter_id != dead:
                more = limiters[datagram.limiter_id].handle(
                    api.GossipReceived(sender, datagram.text), now
                )
                queue += [(datagram.limiter_id, a) for a in actions_of(more, api.SendGossip)]
    return sent


def very_large_fleet() -> list[DecisionEngine]:
    return [
        make_engine(i, limiter_count=VERY_LARGE_FLEET_SIZE, gossip_messages_per_s=60.0)
        for i in range(VERY_LARGE_FLEET_SIZE)
    ]


def hubs_in_very_large_set() -> list[int]:
    return [
        t.limiter_id
        for t in actions_of(
            ask(
                make_engine(VERY_LARGE_FLEET_SIZE - 1, limiter_count=VERY_LARGE_FLEET_SIZE),
                100.0,
                set_size=VERY_LARGE_SET_SIZE,
            ),
            api.SendGossip,
        )
    ]


def test_each_hub_of_a_very_large_set_notifies_active_members_first() -> None:
    hubs = hubs_in_very_large_set()
    for dead in (-1, *hubs):
        limiters = very_large_fleet()
        sent = spend_in_very_large_set(limiters, 300, dead)
        active = [g for g in limiters[:40] if g.settings.limiter_id != dead]
        assert all(has_announced_level(g) for g in active) and sent <= 95, (
            dead,
            sent,
        )  # 112 if one hub notifies the members in the order of their numbers
        # Not all members are notified: a hub may send the datagrams of one second.
        assert sum(has_announced_level(g) for g in limiters) < VERY_LARGE_SET_SIZE


def test_level_is_relayed_for_a_while_by_its_direct_receiver_only() -> None:
    """Members relay a level that a hub announced to them, but not a level relayed to them."""
    first, second = hubs_in_very_large_set()
    member, other = [n for n in range(4) if n not in (first, second)][:2]
    one, two = (
        make_engine(member, limiter_count=VERY_LARGE_FLEET_SIZE),
        make_engine(other, limiter_count=VERY_LARGE_FLEET_SIZE),
    )
    for engine in (one, two):
        # From here on the engine knows the set, and therefore its hubs.
        ask(engine, 100.0, set_size=VERY_LARGE_SET_SIZE, customer="c")
    (name,) = one.accounts
    report = gossip.encode(gossip.SpentReport(name, gossip.name_tag("basic"), 12.0))
    one.handle(api.GossipReceived(first, gossip.encode_header(100, 0.0, "aa") + report), 100.1)
    soon = actions_of(ask(one, 100.2, set_size=VERY_LARGE_SET_SIZE, customer="d"), api.SendGossip)
    assert soon and all(report in t.text for t in soon)
    elsewhere = actions_of(
        ask(one, 100.3, set_size=9, set_start=VERY_LARGE_SET_SIZE + 5, customer="f"), api.SendGossip
    )  # to limiters outside the set
    assert elsewhere and not any(report in t.text for t in elsewhere)
    late = actions_of(
        ask(one, 100.1 + RELAY_AGE_S, set_size=VERY_LARGE_SET_SIZE, customer="e"), api.SendGossip
    )
    assert late and not any(report in t.text for t in late)
    two.handle(api.GossipReceived(member, gossip.encode_header(100, 0.0, "aa") + report), 100.2)
    assert has_announced_level(two)
    second_hand = actions_of(
        ask(two, 100.3, set_size=VERY_LARGE_SET_SIZE, customer="d"), api.SendGossip
    )
    assert second_hand and not any(report in t.text for t in second_hand)


def test_level_of_a_removed_account_is_not_relayed() -> None:
    first, second = hubs_in_very_large_set()
    one = make_engine(
        next(n for n in range(4) if n not in (first, second)), limiter_count=VERY_LARGE_FLEET_SIZE
    )
    (send,) = actions_of(
        ask(one, 100.0, set_size=VERY_LARGE_SET_SIZE, customer="c"), api.StartAttempt
    )
    answer(one, send, 100.1)
    (name,) = one.accounts
    report = gossip.encode(gossip.SpentReport(name, gossip.name_tag("basic"), 0.0))
    one.handle(api.GossipReceived(first, gossip.encode_header(110, 0.0, "aa") + report), 110.8)
    one.handle(api.TimerFired("beat"), 111.0)
    assert not one.accounts
    later_sends = actions_of(
        ask(one, 111.1, set_size=VERY_LARGE_SET_SIZE, customer="d"), api.SendGossip
    )
    assert later_sends and not any(report in t.text for t in later_sends)


def test_set_too_large_to_notify_in_a_second_admits_less() -> None:
    """Counts the admitted requests of 100, each after an announcement that 3 units are spent.

    The level is then three quarters of the burst. Announcements reach a very large set late, so it
    must admit less at the same level.
    """
    admissions = {}
    for size_of_set in (VERY_LARGE_SET_SIZE, 40):
        one = make_engine(3, limiter_count=VERY_LARGE_FLEET_SIZE, gossip_messages_per_s=60.0)
        ask(one, 100.0, set_size=size_of_set)
        (name,) = one.accounts
        text = gossip.encode_header(100, 0.0, "aa") + gossip.encode(
            gossip.SpentReport(name, gossip.name_tag("basic"), 3.0)
        )
        admissions[size_of_set] = 0
        for _ in range(100):
            one.handle(api.GossipReceived(VERY_LARGE_FLEET_SIZE - 1, text), 100.1)
            sends = actions_of(ask(one, 100.1, set_size=size_of_set), api.StartAttempt)
            admissions[size_of_set] += len(sends)
            for send in sends:
                answer(one, send, 100.1)
    assert admissions[VERY_LARGE_SET_SIZE] < 45 and 55 < admissions[40] < 80


def test_level_is_not_relayed_if_one_hub_can_notify_the_set() -> None:
    limiters = fleet(gossip_messages_per_s=60.0)
    ask(limiters[5], 100.0, set_size=SET_SIZE)
    (account,) = limiters[5].accounts.values()
    report = gossip.encode(gossip.SpentReport(account.name, gossip.name_tag("basic"), 12.0))
    limiters[5].handle(
        api.GossipReceived(account.hubs[0], gossip.encode_header(100, 0.0, "aa") + report), 100.1
    )
    assert not any(
        report in t.text
        for t in actions_of(
            ask(limiters[5], 100.2, set_size=SET_SIZE, customer="d"), api.SendGossip
        )
    )


def test_restarted_hub_adopts_the_level_of_the_other_hub() -> None:
    """A restarted hub does not know the earlier charges, but the other hub announces the level."""
    hub = make_engine(
        hubs_of(make_engine(39, limiter_count=FLEET_SIZE), 100.0)[0], limiter_count=FLEET_SIZE
    )
    hub.context.started_at = 100.0
    ask(hub, 100.0, set_size=SET_SIZE)
    (account,) = hub.accounts.values()
    (key,) = hub.accounts
    text = gossip.encode_header(100, 0.0, "aa") + gossip.encode(
        gossip.SpentReport(key, gossip.name_tag("basic"), 12.0)
    )
    hub.handle(api.GossipReceived(5, text), 100.1)
    assert account.quota.level == pytest.approx(0.0)


def test_gossip_sent_stays_within_the_share_of_the_intake() -> None:
    engine, datagrams = make_engine(0, limiter_count=FLEET_SIZE), 0
    for i in range(4000):
        datagrams += len(
            actions_of(
                ask(engine, 100.0 + i / 1000, set_size=SET_SIZE, customer=f"{i}"), api.SendGossip
            )
        )
    assert datagrams <= 100 * 0.8 * 5


def test_customers_with_a_single_request_leave_no_state_in_a_large_fleet() -> None:
    engine = make_engine(0, limiter_count=FLEET_SIZE)
    for i in range(3000):
        for send in actions_of(
            ask(engine, 100.0 + i / 100, set_size=SET_SIZE, customer=f"k{i}"), api.StartAttempt
        ):
            answer(engine, send, 100.0 + i / 100)
    for i in range(900):
        engine.handle(api.TimerFired("beat"), 140.0 + i / 10)
    assert (
        not engine.accounts
        and not engine.pending_requests
        and not engine.gossip.unsent
        and not engine.gossip.overdue
    )
