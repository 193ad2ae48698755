"""The shared store.

The link that knows no socket, the scripts, the ledger, and a whole limiter against the stand-in.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.bench import store as bench
from hazelhollow.bench.checker import Bucket
from hazelhollow.decisions import interface as api
from hazelhollow.net.backoff import Backoff
from hazelhollow.operator import attach, load
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store import link as link_
from hazelhollow.shared_store import scripts
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.link import (
    Answered,
    CallFailed,
    Connected,
    ConnectionBroken,
    Credentials,
    LateAnswer,
    Link,
)
from hazelhollow.standins.redis import faults
from hazelhollow.standins.redis.node import Node
from hazelhollow.standins.redis.server import Server
from tests.net.scenario import BUY, LOOK, START, Stage

PLAN = api.Plan("gold", rate=20.0, burst=40.0, ceiling_rate=40.0, ceiling_burst=80.0)
BASIC = api.Plan("basic", rate=100.0, burst=100.0)


def terms(extra: str = "") -> StoreSettings:
    store = load.read(f'store: {{address: "127.0.0.1:1", {extra}}}'.encode(), "t").store
    assert store
    return store


TERMS = terms()


# The link


class Talk:
    """A link and a stand-in node, byte by byte, with a clock that the test moves."""

    def __init__(
        self, plan: list[faults.Fault] | None = None, secret: str = "", **who: Any
    ) -> None:
        self.now = START
        self.node = Node(lambda: self.now, 1, secret, plan)
        self.link = Link(Credentials(**who), 0.05, 8)
        session = self.node.connect()
        assert session
        self.session = session
        self.link.begin(self.now)

    def exchange(self, step: int = 1 << 20) -> list[link_.LinkEvent]:
        """Everything to the store, and what it says by now to the link."""
        self.session.feed(bytes(self.link.out))
        self.link.out.clear()
        events = list[link_.LinkEvent]()
        for out in self.node.turn():
            for at in range(0, len(out.data), step):
                if not (events and isinstance(events[-1], ConnectionBroken)):
                    events += self.link.receive(out.data[at : at + step], self.now)
        return events

    def lease(self, sequence: int = 1, want: float = 10.0) -> ScriptCall:
        args = [
            "0.a",
            str(sequence),
            "0",
            "9e15",
            "0",
            "1500",
            "1",
            "1",
            "0",
            "1",
            "0.02",
            "40",
            "0",
            "0",
            str(want),
            "0",
            "",
        ]
        call = ScriptCall("lease", "hh:{c}", args, self.now)
        assert self.link.call(call, self.now)
        return call


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
def test_the_link_shakes_hands_and_matches_answers_split_anywhere(step: int) -> None:
    talk = Talk(secret="pw", password="pw", database=3)
    (up,) = talk.exchange(step)
    assert isinstance(up, Connected) and up.store_started_at == up.store_now == START
    calls = [talk.lease(n) for n in (1, 2, 3)]
    events = talk.exchange(step)
    assert [n.call for n in events if isinstance(n, Answered)] == calls
    assert talk.node.state.engine.databases[3].entries


@pytest.mark.parametrize(
    "who, kind, word",
    [
        ({"password": "no"}, "", "WRONGPASS"),
        ({}, "", "NOAUTH"),
        ({"password": "pw"}, "loading", "LOADING"),
        ({"password": "pw"}, "readonly", "replica"),
    ],
)
def test_a_store_that_will_not_have_us_breaks_the_connection_and_says_why(
    who: dict[str, str], kind: str, word: str
) -> None:
    talk = Talk([faults.Fault(kind)] if kind else None, secret="pw", **who)
    events = talk.exchange()
    assert isinstance(events[-1], ConnectionBroken) and word in events[-1].why
    assert not talk.link.call(ScriptCall("presence", "k", [], START), START)


def test_a_late_answer_is_told_as_one_and_never_taken_for_another_calls() -> None:
    talk = Talk()
    talk.exchange()
    first = talk.lease(1, want=7.0)
    talk.session.feed(bytes(talk.link.out))
    talk.link.out.clear()
    talk.now += 0.06
    assert [n.call for n in talk.link.tick(talk.now) if isinstance(n, CallFailed)] == [first]
    second = talk.lease(2, want=5.0)
    late, answered = talk.exchange()
    assert (
        isinstance(late, LateAnswer)
        and late.call is first
        and isinstance(answered, Answered)
        and answered.call is second
    )


def test_a_silent_store_is_broken_off_and_a_full_line_takes_no_more() -> None:
    talk = Talk()
    talk.exchange()
    calls = [talk.lease(n) for n in range(8)]
    assert not talk.link.call(ScriptCall("lease", "k", [], talk.now), talk.now)
    assert talk.link.next_due() == talk.now + 0.05
    talk.now += 0.05
    assert [n.call for n in talk.link.tick(talk.now) if isinstance(n, CallFailed)] == calls
    assert talk.link.tick(talk.now) == []  # each is given up once
    talk.now += 0.4
    assert any(isinstance(n, ConnectionBroken) for n in talk.link.tick(talk.now))
    assert talk.link.close() == []


def test_scripts_that_the_store_has_forgotten_are_loaded_again() -> None:
    talk = Talk([faults.Fault("flush_scripts", at=1.0)])
    talk.exchange()
    talk.now += 1.0
    call = talk.lease()
    (failed,) = talk.exchange()
    assert isinstance(failed, CallFailed) and failed.call is call and failed.why == "NOSCRIPT"
    talk.exchange()
    talk.lease()
    assert isinstance(talk.exchange()[0], Answered)


@pytest.mark.parametrize(
    "junk",
    [
        b"+OK\r\n",
        b"*1\r\n$2\r\nok\r\n",
        b"*3\r\n$2\r\nok\r\n$1\r\nx\r\n$1\r\n0\r\n",
        b"*9999999\r\n",
        b"\x00\x01",
        b":5\r\n",
        b"$-1\r\n",
        b"*6\r\n$2\r\nok\r\n$3\r\nnan\r\n$1\r\n0\r\n$1\r\n1\r\n$1\r\n1\r\n$1\r\n1\r\n",
    ],
)
def test_what_is_no_answer_of_the_scripts_breaks_the_connection(junk: bytes) -> None:
    talk = Talk()
    talk.exchange()
    call = talk.lease()
    events = talk.link.receive(junk, talk.now) or talk.link.receive(b"\r\n" * 4, talk.now)
    assert isinstance(events[-1], ConnectionBroken)
    assert [n.call for n in [*events, *talk.link.close()] if isinstance(n, CallFailed)] == [call]


@given(st.binary(max_size=200))
def test_no_bytes_make_the_link_fail_otherwise(data: bytes) -> None:
    talk = Talk()
    talk.exchange()
    talk.lease()
    talk.link.receive(data, talk.now)


def test_waits_double_to_their_bound_and_are_drawn() -> None:
    wait = Backoff(0.05, 2.0)
    assert [wait.next_wait(1.0) for _ in range(8)] == [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]
    assert wait.next_wait(0.0) == 1.0
    wait.reset()
    assert wait.next_wait(1.0) == 0.05


# The ledger and the scripts, against the stand-in's own Lua


class Shop:
    """Some limiters' ledgers and one node; calls reach it when the test says so."""

    def __init__(self, limiters: int = 3, base: bool = True) -> None:
        self.now = START
        self.node = Node(lambda: self.now, 1)
        most = 4.0 if base else 100.0  # with requests so large the base has no room for one
        told = [
            api.Settings(n, limiters, (LOOK, BUY), (PLAN, BASIC), max_units=most)
            for n in range(limiters)
        ]
        self.terms = TERMS if base else terms("lease: base_share: 0.0")
        self.ledgers = [
            LeaseLedger(told[n], self.terms, f"l{n}", self.now) for n in range(limiters)
        ]
        self.ceiling, self.quota = Bucket(40.0, 80.0, START), Bucket(20.0, 40.0, START)
        self.ids = 0
        for n in range(limiters):
            self.link_up(n)

    def link_up(self, n: int) -> None:
        engine = self.node.state.engine
        self.ledgers[n].store_connected(engine.started_at, engine.now(), self.now)
        self.ledgers[n].tick(self.now)
        self.serve(n)

    def run(self, call: ScriptCall) -> list[str]:
        sha = self.node.state.scripts.load(scripts.SCRIPTS[call.kind])
        answer = self.node.state.scripts.run(
            0, sha, [call.key.encode()], [a.encode() for a in call.args]
        )
        assert isinstance(answer, list)
        return [part.decode() for part in answer if isinstance(part, bytes)]

    def calls(self, n: int) -> list[ScriptCall]:
        calls, self.ledgers[n].outbox = self.ledgers[n].outbox, []
        return calls

    def serve(self, n: int) -> None:
        """All calls of a limiter run and are answered at once."""
        for call in self.calls(n):
            self.ledgers[n].answered(call, self.run(call), self.now)

    def ask(self, n: int, units: float = 1.0, spread: int = 3, plan: str = "gold") -> bool:
        self.ids += 1
        request = api.RequestArrived(f"r{self.ids}", "look", plan, "c", units, 1.0, 0, spread)
        account = self.ledgers[n].account_for(request, self.now)
        if account is None:
            return True
        sent = min(pool.available() for pool in account.pools) >= units
        self.ledgers[n].record(account, units, sent, self.now)
        if sent:
            self.ceiling.take(units, self.now)
            self.quota.take(units, self.now)
        return sent

    def wait(self, seconds: float, step: float = 0.25) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            for n, ledger in enumerate(self.ledgers):
                ledger.tick(self.now)
                self.serve(n)

    def warm(self) -> None:
        """The customer is known, its pool is open and full."""
        for n in range(len(self.ledgers)):
            self.ask(n)
            self.serve(n)
        self.wait(6.0)


def test_a_limiter_takes_on_lease_what_one_share_would_not_give() -> None:
    shop = Shop()
    shop.warm()
    sent = 0.0
    for _ in range(60):  # all of a burst through one limiter, within a moment
        sent += shop.ask(0)
        shop.serve(0)
        shop.now += 0.002
    assert sent >= 30  # an even share is 13
    assert shop.quota.lowest >= 0 and shop.ceiling.lowest >= 0


def test_plans_without_such_limits_are_left_to_the_module_and_a_set_of_one_asks_nobody() -> None:
    shop = Shop()
    assert (
        shop.ledgers[0].account_for(
            api.RequestArrived("r", "look", "basic", "c", 1.0, 1.0, 0, 3), shop.now
        )
        is None
    )
    shop.now += 10.0
    assert sum(shop.ask(0, spread=1) for _ in range(60)) == 40
    assert shop.calls(0) == []


def test_a_call_that_is_made_again_after_a_lost_answer_charges_once() -> None:
    shop = Shop()
    shop.warm()
    ledger, key = shop.ledgers[0], "c/gold"
    while not ledger.outbox:
        assert shop.ask(0)
    (call,) = shop.calls(0)
    shop.run(call)  # it ran, and its answer is lost
    assert shop.run(call)[0] == "stale"  # were it to run again, it would do nothing
    ledger.call_failed(call, shop.now)
    shop.now += 0.06
    while not ledger.outbox:
        shop.ask(0)
    (again,) = shop.calls(0)
    answer = shop.run(again)
    ledger.answered(again, answer, shop.now)
    held = shop.node.state.engine.databases[0].entries[call.key.encode()].value
    assert isinstance(held, dict)
    slot = [float(x) for x in str(held[b"m:0.l0"], "ascii").split()]  # type: ignore[arg-type]
    account = ledger.accounts[key]
    assert [slot[3], slot[5]] == [
        pytest.approx(pool.leased) for pool in account.pools
    ]  # nothing is out that is not held


def test_an_answer_that_comes_after_it_was_given_up_is_not_spent() -> None:
    shop = Shop()
    shop.warm()
    ledger = shop.ledgers[0]
    while not ledger.outbox:
        shop.ask(0)
    (call,) = shop.calls(0)
    answer = shop.run(call)
    before = [p.leased for p in ledger.accounts["c/gold"].pools]
    ledger.call_failed(call, shop.now)
    ledger.answered_late(call, answer)
    # and were it told as one in time, it is known not to be awaited
    ledger.answered(call, answer, shop.now)
    assert [p.leased for p in ledger.accounts["c/gold"].pools] == before and ledger.counts[
        "late"
    ] == 2


def test_a_call_that_has_its_turn_too_late_does_nothing() -> None:
    shop = Shop()
    shop.warm()
    while not shop.ledgers[0].outbox:
        shop.ask(0)
    (call,) = shop.calls(0)
    shop.now += 0.06
    assert shop.run(call)[0] == "late"


def hold(shop: Shop, n: int, units: float) -> Any:
    """A limiter takes so much on lease and spends nothing; gives its account."""
    ledger = shop.ledgers[n]
    shop.ask(n, 0.001)
    shop.calls(n)
    account = ledger.accounts["c/gold"]
    account.call = None
    ledger._lease(account, [units] * 2, [p.leased for p in account.pools], 0.0, shop.now)
    shop.serve(n)
    return account


def test_a_lease_that_is_not_renewed_is_void_and_its_units_come_back_by_time_only() -> None:
    shop = Shop()
    shop.warm()
    account = hold(shop, 0, 12.0)
    assert account.pools[0].leased == pytest.approx(12.0)
    shop.now += TERMS.lease.term  # the limiter hears nothing meanwhile, as if it had stood still
    shop.ask(0)
    assert account.pools[0].leased == 0
    level = (
        hold(shop, 1, 40.0).pools[0].leased
    )  # the store counts them as spent until the lease has ended there too
    assert level <= 28.0 - 12.0
    shop.now += TERMS.lease.term + 2.0
    assert hold(shop, 2, 40.0).pools[0].leased >= 27.0


def test_what_a_lost_answer_granted_goes_back_with_the_next_call() -> None:
    shop = Shop()
    shop.warm()
    ledger, account = shop.ledgers[0], hold(shop, 0, 1.0)
    ledger._lease(account, [20.0, 20.0], [p.leased for p in account.pools], 0.0, shop.now)
    (call,) = shop.calls(0)
    shop.run(call)
    ledger.call_failed(call, shop.now)
    before = hold(shop, 1, 40.0).pools[0].leased
    hold(shop, 0, 0.0)
    assert before < 9.0 and hold(shop, 1, 40.0).pools[0].leased > before + 4.0


def test_idle_leases_go_back_before_they_end() -> None:
    shop = Shop()
    shop.warm()
    for _ in range(30):
        shop.ask(0)
        shop.serve(0)
        shop.now += 0.02
    account = shop.ledgers[0].accounts["c/gold"]
    assert account.pools[0].leased > 0
    shop.wait(1.0)
    assert account.pools[0].leased == 0 and shop.ledgers[0].counts["returned"] > 0


def _burst(shop: Shop, n: int) -> float:
    sent = 0.0
    for _ in range(120):
        sent += shop.ask(n)
        shop.serve(n)
    return sent


def test_unspent_leases_do_not_let_the_burst_be_had_twice() -> None:
    shop = Shop()
    shop.warm()
    for _ in range(25):  # limiter 0 holds much on lease
        shop.ask(0)
        shop.serve(0)
        shop.now += 0.02
    shop.now += 0.5  # time for the pool to fill, had it no eye on what is out
    total = sum(_burst(shop, n) for n in (1, 0, 2))
    assert total <= 40 and shop.quota.lowest >= -1e-6


@pytest.mark.parametrize("kind", ["restart_empty", "restart_old", "flush"])
def test_a_store_that_forgets_begins_closed_and_opens_at_the_rate(kind: str) -> None:
    shop = Shop()
    shop.warm()
    old = shop.node.state.engine.snapshot()
    shop.wait(2.0)
    for n in range(3):  # all limiters hold something
        for _ in range(15):
            shop.ask(n)
            shop.serve(n)
            shop.now += 0.01
    if kind == "flush":
        shop.node.state.engine.call(0, [b"FLUSHALL"])
    else:
        shop.node.state.engine.restart(old if kind == "restart_old" else None)
        for n in range(3):
            shop.ledgers[n].store_disconnected(shop.now)
            shop.link_up(n)
    for n in (1, 0, 2):
        _burst(shop, n)
    assert shop.quota.lowest >= -1e-6 and shop.ceiling.lowest >= -1e-6
    shop.now += 0.5
    for n in (1, 0, 2):
        _burst(shop, n)
    assert shop.quota.lowest >= -1e-6
    shop.wait(6.0)
    assert _burst(shop, 0) >= 20  # and in the end it is as before


@pytest.mark.parametrize("by", [3600.0, -3600.0])
def test_a_jump_of_the_stores_clock_gives_nobody_units(by: float) -> None:
    shop = Shop()
    shop.warm()
    _burst(shop, 0)
    shop.node.state.engine.clock_skew += by
    for n in (1, 2, 0):
        shop.ledgers[n].presence.next_heartbeat_at = shop.now
        shop.ledgers[n].tick(shop.now)
        shop.serve(n)
        _burst(shop, n)
    assert shop.quota.lowest >= -1e-6
    for _ in range(8):  # records may have expired by the jump: a pool opens from the first call on
        shop.wait(1.0)
        shop.ask(1)
        shop.serve(1)
    assert _burst(shop, 1) >= 20 and shop.quota.lowest >= -1e-6


def test_a_limiter_without_the_store_has_its_even_share_and_no_moment_has_both() -> None:
    shop = Shop()
    shop.warm()
    ledger = shop.ledgers[0]
    ledger.store_disconnected(shop.now)
    went = None
    for _ in range(400):  # the others go on with the store, and all ask as much as they can
        shop.now += 0.025
        for n in range(3):
            shop.ledgers[n].tick(shop.now)
            for _ in range(4):
                (shop.serve if n else shop.calls)(n)
                shop.ask(n)
        if ledger.presence.isolated and went is None:
            went = shop.now
    assert went is not None and went - START > 6.0 + 3.0
    assert shop.ledgers[1].presence.view == frozenset({1, 2})
    assert shop.quota.lowest >= -1e-6 and shop.ceiling.lowest >= -1e-6
    shop.link_up(0)
    assert not ledger.presence.isolated
    for _ in range(100):
        shop.now += 0.025
        for n in range(3):
            shop.ledgers[n].tick(shop.now)
            for _ in range(4):
                shop.ask(n)
                shop.serve(n)
    assert shop.quota.lowest >= -1e-6


def test_who_does_not_know_who_is_there_takes_no_lease() -> None:
    shop = Shop()
    shop.warm()
    ledger = shop.ledgers[0]
    shop.now += ledger.presence.view_lifetime() + 0.01
    before = ledger.counts["calls"]
    _burst(shop, 0)
    assert ledger.counts["calls"] == before


def test_keys_hold_a_tag_by_customer_and_expire() -> None:
    shop = Shop()
    shop.warm()
    node = shop.node.state.engine
    assert sorted(node.databases[0].entries) == [b"hh:{c/gold}", b"hh:{present}"]
    assert all(entry.expires_at is not None for entry in node.databases[0].entries.values())
    shop.wait(0.1)
    shop.now += 3600
    node.purge()
    assert not node.databases[0].entries


@hyp(max_examples=60)
@given(st.integers(0, 2**32))
def test_no_order_of_events_lets_more_through_than_the_limits(seed: int) -> None:
    """Lost, late and repeated calls, deaths, cuts, restarts empty and old, flushes, clocks that
    jump: the buckets never go below nothing, but for the base of a limiter that has begun anew
    within a quota's burst.
    """
    chance, shop = random.Random(seed), Shop()
    linked, stray, saved = (
        [True] * 3,
        list[tuple[int, ScriptCall]](),
        shop.node.state.engine.snapshot(),
    )
    incarnations, reborn = 0, 0.0
    for _ in range(300):
        shop.now += (
            chance.choice([0.001, 0.02, 0.1, 0.5])
            if chance.random() < 0.9
            else chance.uniform(1.0, 9.0)
        )
        n, what = chance.randrange(3), chance.random()
        ledger = shop.ledgers[n]
        if linked[n]:
            ledger.tick(shop.now)
        else:
            ledger.tick(shop.now)
            shop.calls(n)
        for _ in range(chance.choice([1, 5, 40])):
            shop.ask(n, chance.choice([1.0, 2.0, 4.0]))
            for call in shop.calls(n) if linked[n] else []:
                fate = chance.random()
                if fate < 0.7:
                    ledger.answered(call, shop.run(call), shop.now)
                else:  # lost before it ran, after it ran, or it runs some time later
                    if fate < 0.8:
                        shop.run(call)
                    elif fate < 0.9:
                        stray.append((n, call))
                    ledger.call_failed(call, shop.now)
            if not linked[n]:
                shop.calls(n)
        if stray and what < 0.3:
            shop.run(stray.pop(chance.randrange(len(stray)))[1])
        if what > 0.97:
            shop.node.state.engine.restart(saved if chance.random() < 0.5 else None)
            for k in range(3):
                shop.ledgers[k].store_disconnected(shop.now)
                if linked[k]:
                    shop.link_up(k)
        elif what > 0.95:
            shop.node.state.engine.call(0, [b"FLUSHALL"])
        elif what > 0.93:
            shop.node.state.engine.clock_skew += chance.uniform(-50, 50)
        elif what > 0.90:
            linked[n] = not linked[n]
            if linked[n]:
                shop.link_up(n)
            else:
                ledger.store_disconnected(shop.now)
        elif what > 0.88:
            incarnations += 1
            shop.ledgers[n] = LeaseLedger(ledger.settings, TERMS, f"x{incarnations}", shop.now)
            reborn += 40.0 * TERMS.lease.base_share / 3 + 4.0
            linked[n] = True
            shop.link_up(n)
        elif what > 0.85:
            saved = shop.node.state.engine.snapshot()
        assert shop.ceiling.lowest >= -1e-4
        assert shop.quota.lowest >= -1e-4 - reborn


def spend_all(shop: Shop, account: Any) -> None:
    for pool, bucket in zip(account.pools, (shop.quota, shop.ceiling), strict=True):
        units = pool.available()
        pool.take(units, shop.now)
        bucket.take(units, shop.now)


def settled() -> Shop:
    """Without a base; the customer's pool is full and all limiters are there."""
    shop = Shop(base=False)
    for _ in range(2):
        for n in range(3):
            hold(shop, n, 0.0)
        shop.wait(5.0)
    return shop


@pytest.mark.parametrize("restarted", [True, False])
def test_old_numbers_are_not_believed_whoever_calls_first(restarted: bool) -> None:
    """After a restart by a limiter that knows nothing.

    Without one by a limiter that has seen a higher total.
    """
    shop = settled()
    old = shop.node.state.engine.snapshot()
    spend_all(shop, hold(shop, 0, 80.0))
    if restarted:
        shop.now += 0.1
        shop.node.state.engine.restart(old)
        shop.ledgers[1] = LeaseLedger(shop.ledgers[1].settings, shop.terms, "new", shop.now)
        shop.link_up(1)
        spend_all(shop, hold(shop, 1, 80.0))
    else:
        shop.node.state.engine.databases = old
        spend_all(shop, hold(shop, 0, 80.0))
    assert shop.quota.lowest >= -0.1 and shop.ceiling.lowest >= -0.1


def test_what_was_on_lease_when_the_store_forgot_may_be_spent_and_passes_nothing() -> None:
    shop = settled()
    held = hold(shop, 0, 30.0)
    shop.node.state.engine.call(0, [b"FLUSHALL"])
    for n in (
        0,
        1,
        2,
        0,
        1,
        2,
    ):  # all show that they are there, or too few of them would be known to take much
        shop.ledgers[n].presence.next_heartbeat_at = shop.now
        shop.now += 0.001
        shop.ledgers[n].tick(shop.now)
        shop.serve(n)
    hold(shop, 1, 0.0)
    for step in (0.5, 0.5, 0.45):  # to the last moment at which it is good
        shop.now += step
        for n in (2, 1, 2, 1):
            shop.ledgers[n].presence.next_heartbeat_at = shop.now
            shop.now += 0.001
            shop.ledgers[n].tick(shop.now)
            shop.serve(n)
    spend_all(shop, hold(shop, 1, 80.0))
    held.expire_lease(shop.now)
    spend_all(shop, held)
    assert held.pools[0].spent_from_leases >= 30.0 and shop.quota.lowest >= -0.1


@pytest.mark.parametrize("whose", ["store", "limiter"])
def test_a_clock_that_jumps_alone_fills_no_pool(whose: str) -> None:
    shop = settled()
    spend_all(shop, hold(shop, 0, 80.0))
    if whose == "store":
        shop.node.state.engine.clock_skew += 60.0
    for n in (1, 2):
        shop.ledgers[n].presence.next_heartbeat_at = shop.now
        for _ in range(2):  # the first tells what the store's clock is now
            shop.ledgers[n].tick(shop.now)
            shop.serve(n)
            shop.now += 0.06
    if whose == "limiter":
        call = ScriptCall(
            "lease",
            "hh:{c/gold}",
            ["9.x", "1", f"{(shop.now + 60) * 1000:.0f}", "9e15", "0", "1500", "3", "3", "0", "0"],
            shop.now,
        )
        shop.run(call)
    spend_all(shop, hold(shop, 1, 80.0))
    assert shop.quota.lowest >= -0.1 and shop.ceiling.lowest >= -0.1


def test_a_share_that_comes_back_to_the_pool_fills_at_the_rate() -> None:
    shop = settled()
    shop.ledgers[0].store_disconnected(shop.now)
    for turn in range(40):
        shop.now += 0.25
        for n in range(3):
            shop.ledgers[n].tick(shop.now)
            (shop.serve if n else shop.calls)(n)
        if turn < 20:  # the pool is not asked in the last seconds before the share comes back
            hold(shop, 1, 0.0)
    account = shop.ledgers[0].accounts["c/gold"]
    shop.ledgers[0]._refresh(account, shop.now)
    assert account.pools[0].available() == pytest.approx(40.0 / 3)
    spend_all(shop, account)
    shop.link_up(0)
    shop.ledgers[1].presence.next_heartbeat_at = shop.now
    shop.ledgers[1].tick(shop.now)
    shop.serve(1)
    assert shop.ledgers[1].presence.view == {0, 1, 2}
    spend_all(shop, hold(shop, 1, 80.0))
    assert shop.quota.lowest >= -0.1 and shop.ceiling.lowest >= -0.1


class Adversary:
    """Limiters that keep to the protocol and otherwise do their worst.

    They take what they can, hold it, and spend it at the worst moment. There is no base, so the
    pool's bucket is the whole limit and nothing covers a unit too many.
    """

    def __init__(self, seed: int) -> None:
        self.chance, self.shop = random.Random(seed), Shop(base=False)
        self.linked, self.incarnations = [True] * 3, 0
        self.stray: list[ScriptCall] = []
        self.saved = self.shop.node.state.engine.snapshot()

    def account(self, n: int) -> Any:
        ledger, shop = self.shop.ledgers[n], self.shop
        ledger.account_for(api.RequestArrived("r", "look", "gold", "c", 1.0, 1.0, 0, 3), shop.now)
        return ledger.accounts["c/gold"]

    def take(self, n: int) -> None:
        ledger, shop, account = self.shop.ledgers[n], self.shop, self.account(n)
        if account.call or not ledger.presence.may_lease(shop.now):
            return
        wants = [self.chance.choice([1.0, 10.0, 40.0, 80.0])] * 2
        ledger._lease(account, wants, [p.leased for p in account.pools], 0.0, shop.now)
        for call in shop.calls(n):
            self.fate(n, call)

    def fate(self, n: int, call: ScriptCall) -> None:
        ledger, shop, fate = self.shop.ledgers[n], self.shop, self.chance.random()
        if not self.linked[n]:
            ledger.call_failed(call, shop.now)
        elif fate < 0.75:
            ledger.answered(call, shop.run(call), shop.now)
        else:  # lost after it ran, lost before, or it runs some time later
            _ = shop.run(call) if fate < 0.85 else self.stray.append(call) if fate < 0.93 else None  # type: ignore[func-returns-value]
            ledger.call_failed(call, shop.now)

    def spend(self, n: int) -> None:
        shop, account = self.shop, self.account(n)
        for pool, bucket in zip(account.pools, (shop.quota, shop.ceiling), strict=True):
            units = max(pool.available(), 0.0) * self.chance.choice([1.0, 1.0, 0.3])
            pool.take(units, shop.now)
            bucket.take(units, shop.now)

    def trouble(self) -> None:
        shop, chance, n = self.shop, self.chance, self.chance.randrange(3)
        engine = shop.node.state.engine
        what = chance.choice(
            ["empty", "old", "flush", "jump", "cut", "cut", "cut", "reborn", "save", "save"]
        )
        if what in ("empty", "old"):
            engine.restart(self.saved if what == "old" else None)
            for k in range(3):
                shop.ledgers[k].store_disconnected(shop.now)
                if self.linked[k]:
                    self.up(k)
        elif what == "flush":
            engine.call(0, [b"FLUSHALL"])
        elif what == "jump":
            engine.clock_skew += chance.uniform(-50, 50)
        elif what == "save":
            self.saved = engine.snapshot()
        elif what == "cut":
            self.linked[n] = not self.linked[n]
            self.up(n) if self.linked[n] else shop.ledgers[n].store_disconnected(shop.now)
        else:
            self.incarnations += 1
            shop.ledgers[n] = LeaseLedger(
                shop.ledgers[n].settings, shop.terms, f"x{self.incarnations}", shop.now
            )
            self.linked[n] = True
            self.up(n)

    def up(self, n: int) -> None:
        engine = self.shop.node.state.engine
        self.shop.ledgers[n].store_connected(engine.started_at, engine.now(), self.shop.now)
        self.tick(n)

    def tick(self, n: int) -> None:
        self.shop.ledgers[n].tick(self.shop.now)
        for call in self.shop.calls(n):
            self.fate(n, call)

    def step(self, troubles: float) -> None:
        shop, chance, n = self.shop, self.chance, self.chance.randrange(3)
        shop.now += (
            chance.choice([0.0, 0.001, 0.02, 0.1, 0.4, 1.0])
            if chance.random() < 0.95
            else chance.uniform(1.5, 9.0)
        )
        for k in range(3):
            if chance.random() < 0.9:  # or it stands still
                self.tick(k)
        if chance.random() < troubles:
            self.trouble()
        if self.stray and chance.random() < 0.1:
            shop.run(self.stray.pop(chance.randrange(len(self.stray))))
        self.take(n)
        if chance.random() < 0.5:
            self.spend(chance.randrange(3))


@hyp(max_examples=120)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.01, 0.05]))
def test_no_adversary_passes_the_pool(seed: int, troubles: float) -> None:
    adversary = Adversary(seed)
    for _ in range(200):
        adversary.step(troubles)
        shop = adversary.shop
        assert (
            shop.quota.lowest >= -0.1 and shop.ceiling.lowest >= -0.2
        )  # clocks are told in whole milliseconds


# A whole limiter, on sockets


def test_a_limiter_on_sockets_keeps_its_ceilings_in_the_stand_in(tmp_path: Path) -> None:
    stage_now = [START]
    plan = api.Plan("basic", rate=20.0, burst=40.0, ceiling_rate=40.0, ceiling_burst=80.0)
    told = api.Settings(0, 2, (LOOK, BUY), (plan,), zone="a", max_attempts=3, max_units=4.0)
    file = tmp_path / "o.cue"
    (tmp_path / "password").write_text("open sesame\nnot this\n")
    # The stage's clock goes on in steps of 50 ms, so a call may take some of them.
    file.write_text(
        "store: "
        '{address: "127.0.0.1:1", call_timeout: "300ms", '
        f'password_file: "{tmp_path}/password"}}'
    )
    attached = attach.Attached(str(file), load.load(str(file)))

    class Together(Stage):
        """The stand-in in the same loop and on the same clock as the limiter."""

        def settle(self, turns: int = 60) -> None:
            stage_now[0] = self.now
            super().settle(turns)

    stage = Together(attached=attached, settings=told)
    server = Server(stage.scheduler, Node(lambda: stage.now, 1, "open sesame"), ("127.0.0.1", 0))
    server.start()
    file.write_text(file.read_text().replace("127.0.0.1:1", f"127.0.0.1:{server.address[1]}"))
    attached.reload(taken=True)
    stage.play("wait 4")
    assert (
        attached.ledger
        and attached.ledger.presence.connected
        and attached.ledger.presence.view == {0}
    )
    # the pool of a customer that the store does not know opens after a lease's term
    for n in range(80):
        stage.play(f"""
            a send [Q.ASK 00000000b4d65521 {n:016x} c=look,t=basic,d=900,units=1,spread=2,first=0]
            wait 0.05""")
    stage.play("wait 1")
    assert server.node.state.calls["EVALSHA"] > 3 and attached.ledger.counts["granted"] > 0
    assert b"hh:{00000000b4d65521/basic}" in server.node.state.engine.databases[0].entries
    server.close()


def test_more_limiters_than_an_answer_has_parts_are_all_seen() -> None:
    """A parser that bounds its arrays must not make a large fleet lose its store."""
    talk = Talk()
    talk.exchange()
    for number in range(150):
        call = ScriptCall(
            "presence", "hh:{present}", [str(number), "0", "9e15", "1200", "100"], talk.now
        )
        assert talk.link.call(call, talk.now)
        (answered,) = talk.exchange()
    assert isinstance(answered, Answered)
    ledger = LeaseLedger(api.Settings(149, 150, (LOOK, BUY), (PLAN,)), TERMS, "l", talk.now)
    ledger.answered(answered.call, answered.answer, talk.now)
    assert ledger.presence.view == set(range(150))


def test_records_are_frozen() -> None:
    with pytest.raises(AttributeError):
        TERMS.prefix = "x"  # type: ignore[misc]


def test_the_bench_gives_the_same_figures_for_the_same_seed_and_no_run_is_broken() -> None:
    jobs = [
        bench.Job(seed, kind, 3, 14.0)
        for kind, seed in [("mixed", 1), ("mixed", 2), ("restart_old", 1), ("down", 1), ("kill", 3)]
    ]
    results = [bench.play(job) for job in jobs]
    assert not any(result.broken or result.over > 0 for result in results)
    assert bench.play(jobs[0]) == results[0] != results[1]
    figures = bench.summary(results)
    assert (
        figures["runs"] == 5
        and figures["broken"] == 0
        and set(figures["by_fault"]) == {"mixed", "restart_old", "down", "kill"}
    )


def test_the_checker_finds_a_limit_that_is_passed() -> None:
    bucket = Bucket(10.0, 20.0, 0.0)
    for _ in range(28):
        bucket.take(1.0, 0.0)
    assert (
        bucket.over_share() == 0.4 and bucket.broken(largest=6.0) and not bucket.broken(largest=7.0)
    )
    assert bucket.fill(10.0) == 20.0


def in_flight(shop: Shop) -> tuple[Any, ScriptCall]:
    """Limiter 0 holds 12 units and has a call on its way that asks for 5 more."""
    account = hold(shop, 0, 12.0)
    shop.ledgers[0]._lease(account, [5.0, 5.0], [p.leased for p in account.pools], 0.0, shop.now)
    (call,) = shop.calls(0)
    return account, call


def reply(kept: float, granted: float) -> list[str]:
    return ["ok", "50.000", "0", *[str(kept), str(granted), "9.0"] * 2]


def test_what_the_store_no_longer_knows_of_is_not_held_any_more() -> None:
    shop = Shop()
    shop.warm()
    account, call = in_flight(shop)
    shop.ledgers[0].answered(call, reply(0.0, 5.0), shop.now)
    assert account.pools[0].leased == pytest.approx(5.0) and shop.ledgers[0].counts["lost"] > 0


def test_a_lease_that_ended_while_a_call_was_out_is_neither_had_again_nor_owed() -> None:
    shop = Shop()
    shop.warm()
    account, call = in_flight(shop)
    account.lease_ends_at = shop.now + 0.01
    shop.now += 0.02
    base = account.pools[0].base.level
    shop.ledgers[0].answered(call, reply(0.0, 5.0), shop.now)
    assert account.pools[0].leased == pytest.approx(5.0) and account.pools[0].base.level == base


def test_an_answer_that_comes_after_its_lease_has_ended_gives_nothing() -> None:
    shop = Shop()
    shop.warm()
    account, call = in_flight(shop)
    shop.now += TERMS.lease.term
    shop.ledgers[0].answered(call, reply(12.0, 5.0), shop.now)
    assert account.pools[0].leased == 0


def test_customers_are_bounded_and_a_start_in_the_future_is_not_believed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("hazelhollow.shared_store.lease_ledger.MOST_ACCOUNTS", 3)
    shop = Shop()
    for n in range(6):
        shop.ledgers[0].account_for(
            api.RequestArrived("r", "look", "gold", f"c{n}", 1.0, 1.0, 0, 3), shop.now
        )
    assert list(shop.ledgers[0].accounts) == ["c3/gold", "c4/gold", "c5/gold"]
    shop.ledgers[0].store_connected(
        shop.now + 100, shop.now, shop.now
    )  # a store's clock that was set back gives such a start
    assert shop.ledgers[0].presence.store_started_at == shop.now
