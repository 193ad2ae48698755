"""Sets and fleets so large that hubs sum up the charges."""

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
    make,
)

FLEET, SPREAD = 40, 30


def fleet(count: int = FLEET, **changes: Any) -> list[DecisionEngine]:
    return [make(i, limiter_count=FLEET, **changes) for i in range(count)]


def hubs_of(engine: DecisionEngine, now: float, **changes: Any) -> list[int]:
    """Where a charge is told."""
    return [
        t.limiter_id
        for t in actions_of(ask(engine, now, set_size=SPREAD, **changes), api.SendGossip)
    ]


def deliver(limiters: list[DecisionEngine], me: int, actions: list[api.Action], now: float) -> None:
    """Every message at once, and what it leads to."""
    for tell in actions_of(actions, api.SendGossip):
        more = limiters[tell.limiter_id].handle(api.GossipReceived(me, tell.text), now)
        deliver(limiters, tell.limiter_id, more, now)


def test_a_charge_in_a_large_set_is_told_to_its_hubs_alone_and_at_once() -> None:
    told = [hubs_of(engine, 100.0) for engine in fleet()[:SPREAD]]
    hubs = sorted({n for some in told for n in some})
    assert len(hubs) == 2 and max(hubs) < SPREAD
    assert all(set(some) == set(hubs) - {me} for me, some in enumerate(told))


def test_a_quiet_customer_is_not_rejected_at_the_start_of_a_large_set() -> None:
    assert actions_of(
        ask(make(3, limiter_count=FLEET), 0.0, set_size=SPREAD, units=4.0), api.StartAttempt
    )


def test_the_set_is_told_when_a_busy_customer_is_spent_and_not_before() -> None:
    limiters = fleet()
    sent = 0
    for turn in range(3 * SPREAD):
        me = turn % SPREAD
        actions = ask(limiters[me], 100.0 + turn / 100, set_size=SPREAD, units=2.0)
        sent += len(actions_of(actions, api.StartAttempt))
        deliver(limiters, me, actions, 100.0 + turn / 100)
        if turn == 0:
            assert not any(a.has_announcement for g in limiters for a in g.accounts.values())
    assert 4 <= sent <= 8  # 12 of burst and 4 a second, 2 a request
    assert sum(a.has_announcement for g in limiters for a in g.accounts.values()) >= SPREAD - 1


def test_a_large_set_tells_two_customers_of_one_key_apart_by_their_plans() -> None:
    limiters = fleet(plans=(BASIC, replace(BASIC, name="other")))
    other, busy = customers_with_equal_keys(limiters[0])
    for me in range(SPREAD):  # has the key's own name everywhere
        deliver(
            limiters,
            me,
            ask(limiters[me], 99.9, set_size=SPREAD, units=0.1, customer=other, plan_name="other"),
            99.9,
        )
    sent = 0
    for turn in range(3 * SPREAD):
        now, me = 100.0 + turn / 100, turn % SPREAD
        actions = ask(limiters[me], now, set_size=SPREAD, units=2.0, customer=busy)
        sent += len(actions_of(actions, api.StartAttempt))
        deliver(limiters, me, actions, now)
    assert 4 <= sent <= 8
    telling = [a.plan.name for g in limiters for a in g.accounts.values() if a.has_announcement]
    assert len(telling) >= SPREAD - 1 and set(telling) == {"basic"}
    assert not any(g.receiver.unusable for g in limiters)


@pytest.mark.parametrize("run", range(4))
def test_summed_admission_holds_through_loss_delay_repeats_and_restarts(run: int) -> None:
    """A customer that asks three times its rate through thirty limiters gets its quota and a
    quarter at most.
    """
    chance, limiters, waiting = random.Random(run), fleet(), list[tuple[float, int, int, str]]()
    beats, admitted, now, end = [i / FLEET / 10 + 100.0 for i in range(FLEET)], 0.0, 100.0, 130.0
    while now < end:
        now += 0.005
        events: list[tuple[int, api.Event]] = []
        if chance.random() < 0.005 * 3 * BASIC.rate / 2.0:
            me = min(chance.randrange(SPREAD), chance.randrange(SPREAD))
            actions = ask(limiters[me], now, set_size=SPREAD, units=2.0)
            for send in actions_of(actions, api.StartAttempt):
                admitted += send.endpoint != ""
                actions = actions + answer(limiters[me], send, now, true_units=0.0)
            waiting += _posted(chance, now, me, actions)
        due = [m for m in waiting if m[0] <= now]
        waiting = [m for m in waiting if m[0] > now]
        events += [(to, api.GossipReceived(sender, text)) for _, sender, to, text in due]
        events += [(i, api.TimerFired("beat")) for i in range(FLEET) if beats[i] <= now]
        for me, event in events:
            beats[me] += 0.1 if isinstance(event, api.TimerFired) else 0.0
            waiting += _posted(chance, now, me, limiters[me].handle(event, now))
        if chance.random() < 0.002:
            me = chance.randrange(FLEET)
            limiters[me] = make(me, limiter_count=FLEET)
            limiters[me].context.incarnation = ""
    quota = BASIC.burst + BASIC.rate * (end - 100.0)
    assert 0.6 * quota <= 2.0 * admitted <= 1.25 * quota


def _posted(
    chance: random.Random, now: float, me: int, actions: list[api.Action]
) -> list[tuple[float, int, int, str]]:
    post = []
    for tell in actions_of(actions, api.SendGossip):
        for _ in range(chance.choices((0, 1, 2), (0.07, 0.9, 0.03))[0]):
            post.append((now + chance.uniform(0.001, 0.03), me, tell.limiter_id, tell.text))
    return post


def test_a_second_hub_announces_when_the_first_is_silent() -> None:
    """The first hub dies.

    Another must announce that the customer is spent, or the set admits beyond the quota.
    """
    limiters = fleet()
    first, second = hubs_of(make(39, limiter_count=FLEET), 100.0)
    told = 0
    for turn in range(60):  # the second hub hears all, the first nothing
        now = 100.0 + turn / 50
        for tell in actions_of(
            ask(limiters[turn % SPREAD], now, set_size=SPREAD, units=2.0), api.SendGossip
        ):
            if tell.limiter_id == second:
                limiters[second].handle(api.GossipReceived(turn % SPREAD, tell.text), now)
        told += len(
            [
                t
                for t in actions_of(
                    limiters[second].handle(api.TimerFired("beat"), now + 0.01), api.SendGossip
                )
                if "/" in t.text
            ]
        )
    assert told >= SPREAD - 1


VAST, WIDE = 150, 120  # a fleet, and a set that no hub can tell within a second


def told_of(engine: DecisionEngine) -> bool:
    return any(a.has_announcement for a in engine.accounts.values())


def spend_in_vast(
    limiters: list[DecisionEngine], turns: int, dead: int = -1, **changes: Any
) -> int:
    """How many requests go out where a customer asks each time at the next of 40 members.

    Every datagram is delivered at once.
    """
    sent = 0
    for turn in range(turns):
        now, me = 100.0 + turn / 100, turn % 40
        actions = ask(limiters[me], now, set_size=WIDE, units=2.0, **changes)
        sent += len(actions_of(actions, api.StartAttempt))
        queue = [(me, a) for a in actions_of(actions, api.SendGossip)]
        while queue:
            sender, tell = queue.pop()
            if tell.limiter_id != dead:
                more = limiters[tell.limiter_id].handle(api.GossipReceived(sender, tell.text), now)
                queue += [(tell.limiter_id, a) for a in actions_of(more, api.SendGossip)]
    return sent


def vast() -> list[DecisionEngine]:
    return [make(i, limiter_count=VAST, gossip_messages_per_s=60.0) for i in range(VAST)]


def hubs_in_vast() -> list[int]:
    return [
        t.limiter_id
        for t in actions_of(
            ask(make(VAST - 1, limiter_count=VAST), 100.0, set_size=WIDE), api.SendGossip
        )
    ]


def test_of_a_set_too_large_to_tell_the_members_that_charge_are_told_first_by_each_hub() -> None:
    hubs = hubs_in_vast()
    for dead in (-1, *hubs):
        limiters = vast()
        sent = spend_in_vast(limiters, 300, dead)
        active = [g for g in limiters[:40] if g.settings.limiter_id != dead]
        assert all(told_of(g) for g in active) and sent <= 95, (
            dead,
            sent,
        )  # 112 where one hub tells members in their order
        assert sum(told_of(g) for g in limiters) < WIDE  # not all: one hub has a second's datagrams


def test_what_a_hub_told_goes_on_with_other_messages_for_a_while_and_from_its_hearer_alone() -> (
    None
):
    first, second = hubs_in_vast()
    me, other = [n for n in range(4) if n not in (first, second)][:2]
    one, two = make(me, limiter_count=VAST), make(other, limiter_count=VAST)
    for engine in (one, two):
        ask(engine, 100.0, set_size=WIDE, customer="c")  # it knows the set now, and so the hubs
    (name,) = one.accounts
    word = gossip.encode(gossip.SpentReport(name, gossip.name_tag("basic"), 12.0))
    one.handle(api.GossipReceived(first, gossip.encode_header(100, 0.0, "aa") + word), 100.1)
    soon = actions_of(ask(one, 100.2, set_size=WIDE, customer="d"), api.SendGossip)
    assert soon and all(word in t.text for t in soon)
    elsewhere = actions_of(
        ask(one, 100.3, set_size=9, set_start=WIDE + 5, customer="f"), api.SendGossip
    )  # not of the set
    assert elsewhere and not any(word in t.text for t in elsewhere)
    late = actions_of(ask(one, 100.1 + RELAY_AGE_S, set_size=WIDE, customer="e"), api.SendGossip)
    assert late and not any(word in t.text for t in late)
    two.handle(api.GossipReceived(me, gossip.encode_header(100, 0.0, "aa") + word), 100.2)
    assert told_of(two)
    onward = actions_of(ask(two, 100.3, set_size=WIDE, customer="d"), api.SendGossip)
    assert onward and not any(word in t.text for t in onward)


def test_what_a_hub_told_of_a_customer_that_is_forgotten_since_is_passed_on_no_more() -> None:
    first, second = hubs_in_vast()
    one = make(next(n for n in range(4) if n not in (first, second)), limiter_count=VAST)
    (send,) = actions_of(ask(one, 100.0, set_size=WIDE, customer="c"), api.StartAttempt)
    answer(one, send, 100.1)
    (name,) = one.accounts
    word = gossip.encode(gossip.SpentReport(name, gossip.name_tag("basic"), 0.0))
    one.handle(api.GossipReceived(first, gossip.encode_header(110, 0.0, "aa") + word), 110.8)
    one.handle(api.TimerFired("beat"), 111.0)
    assert not one.accounts
    told = actions_of(ask(one, 111.1, set_size=WIDE, customer="d"), api.SendGossip)
    assert told and not any(word in t.text for t in told)


def test_a_set_that_is_told_late_keeps_more_back_than_one_that_is_told_in_a_second() -> None:
    """Told of three quarters of the burst each time, it lets in so many of a hundred."""
    let_in = {}
    for spread in (WIDE, 40):
        one = make(3, limiter_count=VAST, gossip_messages_per_s=60.0)
        ask(one, 100.0, set_size=spread)
        (name,) = one.accounts
        text = gossip.encode_header(100, 0.0, "aa") + gossip.encode(
            gossip.SpentReport(name, gossip.name_tag("basic"), 3.0)
        )
        let_in[spread] = 0
        for _ in range(100):
            one.handle(api.GossipReceived(VAST - 1, text), 100.1)
            sends = actions_of(ask(one, 100.1, set_size=spread), api.StartAttempt)
            let_in[spread] += len(sends)
            for send in sends:
                answer(one, send, 100.1)
    assert let_in[WIDE] < 45 and 55 < let_in[40] < 80


def test_a_set_that_its_hub_can_tell_hears_nothing_second_hand() -> None:
    limiters = fleet(gossip_messages_per_s=60.0)
    ask(limiters[5], 100.0, set_size=SPREAD)
    (account,) = limiters[5].accounts.values()
    word = gossip.encode(gossip.SpentReport(account.name, gossip.name_tag("basic"), 12.0))
    limiters[5].handle(
        api.GossipReceived(account.hubs[0], gossip.encode_header(100, 0.0, "aa") + word), 100.1
    )
    assert not any(
        word in t.text
        for t in actions_of(ask(limiters[5], 100.2, set_size=SPREAD, customer="d"), api.SendGossip)
    )


def test_a_restarted_hub_takes_the_level_from_the_other() -> None:
    """A hub is restarted and knows nothing of what was charged before. The other hub tells it."""
    hub = make(hubs_of(make(39, limiter_count=FLEET), 100.0)[0], limiter_count=FLEET)
    hub.context.started_at = 100.0
    ask(hub, 100.0, set_size=SPREAD)
    (account,) = hub.accounts.values()
    (key,) = hub.accounts
    text = gossip.encode_header(100, 0.0, "aa") + gossip.encode(
        gossip.SpentReport(key, gossip.name_tag("basic"), 12.0)
    )
    hub.handle(api.GossipReceived(5, text), 100.1)
    assert account.quota.level == pytest.approx(0.0)


def test_gossip_stays_within_what_a_limiter_may_take_in() -> None:
    engine, told = make(0, limiter_count=FLEET), 0
    for i in range(4000):
        told += len(
            actions_of(
                ask(engine, 100.0 + i / 1000, set_size=SPREAD, customer=f"{i}"), api.SendGossip
            )
        )
    assert told <= 100 * 0.8 * 5


def test_nothing_grows_with_one_request_customers_of_a_large_fleet() -> None:
    engine = make(0, limiter_count=FLEET)
    for i in range(3000):
        for send in actions_of(
            ask(engine, 100.0 + i / 100, set_size=SPREAD, customer=f"k{i}"), api.StartAttempt
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
