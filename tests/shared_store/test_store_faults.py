"""Stores that restart, forget and jump in time: no limit is passed."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_account import ScriptCall
from tests.shared_store.ledger_fleet import (
    TERMS,
    LedgerFleet,
    hold,
    settled,
    spend_all,
    spend_burst,
)


@pytest.mark.parametrize("kind", ["restart_empty", "restart_old", "flush"])
def test_a_store_that_forgets_begins_closed_and_opens_at_the_rate(kind: str) -> None:
    """The store comes back empty or old, or is flushed, while all limiters hold leases."""
    fleet = LedgerFleet()
    fleet.warm()
    old = fleet.node.state.engine.snapshot()
    fleet.wait(2.0)
    for n in range(3):  # all limiters hold something
        for _ in range(15):
            fleet.ask(n)
            fleet.serve(n)
            fleet.now += 0.01
    if kind == "flush":
        fleet.node.state.engine.call(0, [b"FLUSHALL"])
    else:
        fleet.node.state.engine.restart(old if kind == "restart_old" else None)
        for n in range(3):
            fleet.ledgers[n].store_disconnected()
            fleet.link_up(n)
    for n in (1, 0, 2):
        spend_burst(fleet, n)
    assert fleet.quota.lowest >= -1e-6 and fleet.ceiling.lowest >= -1e-6
    fleet.now += 0.5
    for n in (1, 0, 2):
        spend_burst(fleet, n)
    assert fleet.quota.lowest >= -1e-6
    fleet.wait(6.0)
    assert spend_burst(fleet, 0) >= 20  # and in the end it is as before


@pytest.mark.parametrize("by", [3600.0, -3600.0])
def test_a_jump_of_the_stores_clock_gives_nobody_units(by: float) -> None:
    """The clock of the store jumps by an hour, forward or back."""
    fleet = LedgerFleet()
    fleet.warm()
    spend_burst(fleet, 0)
    fleet.node.state.engine.clock_skew += by
    for n in (1, 2, 0):
        fleet.ledgers[n].presence.next_heartbeat_at = fleet.now
        fleet.ledgers[n].tick(fleet.now)
        fleet.serve(n)
        spend_burst(fleet, n)
    assert fleet.quota.lowest >= -1e-6
    for _ in range(8):  # records may have expired by the jump: a pool opens from the first call on
        fleet.wait(1.0)
        fleet.ask(1)
        fleet.serve(1)
    assert spend_burst(fleet, 1) >= 20 and fleet.quota.lowest >= -1e-6


@pytest.mark.parametrize("restarted", [True, False])
def test_old_numbers_are_not_believed_whoever_calls_first(restarted: bool) -> None:
    """After a restart by a limiter that knows nothing.

    Without one by a limiter that has seen a higher total.
    """
    fleet = settled()
    old = fleet.node.state.engine.snapshot()
    spend_all(fleet, hold(fleet, 0, 80.0))
    if restarted:
        fleet.now += 0.1
        fleet.node.state.engine.restart(old)
        fleet.ledgers[1] = LeaseLedger(fleet.ledgers[1].settings, fleet.terms, "new", fleet.now)
        fleet.link_up(1)
        spend_all(fleet, hold(fleet, 1, 80.0))
    else:
        fleet.node.state.engine.databases = old
        spend_all(fleet, hold(fleet, 0, 80.0))
    assert fleet.quota.lowest >= -0.1 and fleet.ceiling.lowest >= -0.1


def test_what_was_on_lease_when_the_store_forgot_may_be_spent_and_passes_nothing() -> None:
    """The store is flushed; a lease from before is spent at the last moment."""
    fleet = settled()
    held = hold(fleet, 0, 30.0)
    fleet.node.state.engine.call(0, [b"FLUSHALL"])
    for n in (
        0,
        1,
        2,
        0,
        1,
        2,
    ):  # all show that they are there, or too few of them would be known to take much
        fleet.ledgers[n].presence.next_heartbeat_at = fleet.now
        fleet.now += 0.001
        fleet.ledgers[n].tick(fleet.now)
        fleet.serve(n)
    hold(fleet, 1, 0.0)
    for step in (0.5, 0.5, 0.45):  # to the last moment at which it is good
        fleet.now += step
        for n in (2, 1, 2, 1):
            fleet.ledgers[n].presence.next_heartbeat_at = fleet.now
            fleet.now += 0.001
            fleet.ledgers[n].tick(fleet.now)
            fleet.serve(n)
    spend_all(fleet, hold(fleet, 1, 80.0))
    held.expire_lease(fleet.now)
    spend_all(fleet, held)
    assert held.pools[0].spent_from_leases >= 30.0 and fleet.quota.lowest >= -0.1


@pytest.mark.parametrize("whose", ["store", "limiter"])
def test_a_clock_that_jumps_alone_fills_no_pool(whose: str) -> None:
    """Either the store's clock or one limiter's jumps by a minute."""
    fleet = settled()
    spend_all(fleet, hold(fleet, 0, 80.0))
    if whose == "store":
        fleet.node.state.engine.clock_skew += 60.0
    for n in (1, 2):
        fleet.ledgers[n].presence.next_heartbeat_at = fleet.now
        for _ in range(2):  # the first tells what the store's clock is now
            fleet.ledgers[n].tick(fleet.now)
            fleet.serve(n)
            fleet.now += 0.06
    if whose == "limiter":
        call = ScriptCall(
            "lease",
            "hh:{c/gold}",
            ["9.x", "1", f"{(fleet.now + 60) * 1000:.0f}", "9e15", "0", "1500", "3", "3", "0", "0"],
            fleet.now,
        )
        fleet.run(call)
    spend_all(fleet, hold(fleet, 1, 80.0))
    assert fleet.quota.lowest >= -0.1 and fleet.ceiling.lowest >= -0.1


class Adversary:
    """Limiters that keep to the protocol and otherwise do their worst.

    They take what they can, hold it, and spend it at the worst moment. There is no base, so the
    pool's bucket is the whole limit and nothing covers a unit too many.
    """

    def __init__(self, seed: int) -> None:
        self.chance, self.fleet = random.Random(seed), LedgerFleet(base=False)
        self.linked, self.incarnations = [True] * 3, 0
        self.stray: list[ScriptCall] = []
        self.saved = self.fleet.node.state.engine.snapshot()

    def account(self, n: int) -> Any:
        ledger, fleet = self.fleet.ledgers[n], self.fleet
        ledger.account_for(api.RequestArrived("r", "look", "gold", "c", 1.0, 1.0, 0, 3), fleet.now)
        return ledger.accounts["c/gold"]

    def take(self, n: int) -> None:
        ledger, fleet, account = self.fleet.ledgers[n], self.fleet, self.account(n)
        if account.call or not ledger.presence.may_lease(fleet.now):
            return
        wants = [self.chance.choice([1.0, 10.0, 40.0, 80.0])] * 2
        ledger._lease(account, wants, [p.leased for p in account.pools], 0.0, fleet.now)
        for call in fleet.calls(n):
            self.fate(n, call)

    def fate(self, n: int, call: ScriptCall) -> None:
        ledger, fleet, fate = self.fleet.ledgers[n], self.fleet, self.chance.random()
        if not self.linked[n]:
            ledger.call_failed(call, fleet.now)
        elif fate < 0.75:
            ledger.answered(call, fleet.run(call), fleet.now)
        else:  # lost after it ran, lost before, or it runs some time later
            _ = fleet.run(call) if fate < 0.85 else self.stray.append(call) if fate < 0.93 else None  # type: ignore[func-returns-value]
            ledger.call_failed(call, fleet.now)

    def spend(self, n: int) -> None:
        fleet, account = self.fleet, self.account(n)
        for pool, bucket in zip(account.pools, (fleet.quota, fleet.ceiling), strict=True):
            units = max(pool.available(), 0.0) * self.chance.choice([1.0, 1.0, 0.3])
            pool.charge(units, fleet.now)
            bucket.take(units, fleet.now)

    def trouble(self) -> None:
        fleet, chance, n = self.fleet, self.chance, self.chance.randrange(3)
        engine = fleet.node.state.engine
        what = chance.choice(
            ["empty", "old", "flush", "jump", "cut", "cut", "cut", "reborn", "save", "save"]
        )
        if what in ("empty", "old"):
            engine.restart(self.saved if what == "old" else None)
            for k in range(3):
                fleet.ledgers[k].store_disconnected()
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
            self.up(n) if self.linked[n] else fleet.ledgers[n].store_disconnected()
        else:
            self.incarnations += 1
            fleet.ledgers[n] = LeaseLedger(
                fleet.ledgers[n].settings, fleet.terms, f"x{self.incarnations}", fleet.now
            )
            self.linked[n] = True
            self.up(n)

    def up(self, n: int) -> None:
        engine = self.fleet.node.state.engine
        self.fleet.ledgers[n].store_connected(engine.started_at, engine.now(), self.fleet.now)
        self.tick(n)

    def tick(self, n: int) -> None:
        self.fleet.ledgers[n].tick(self.fleet.now)
        for call in self.fleet.calls(n):
            self.fate(n, call)

    def step(self, troubles: float) -> None:
        fleet, chance, n = self.fleet, self.chance, self.chance.randrange(3)
        fleet.now += (
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
            fleet.run(self.stray.pop(chance.randrange(len(self.stray))))
        self.take(n)
        if chance.random() < 0.5:
            self.spend(chance.randrange(3))


class RandomHistory:
    """Three limiters and their store through random events, of which each step has some."""

    def __init__(self, seed: int) -> None:
        self.chance, self.fleet = random.Random(seed), LedgerFleet()
        self.linked, self.incarnations = [True] * 3, 0
        self.delayed: list[ScriptCall] = []  # calls that run some time later
        self.saved = self.fleet.node.state.engine.snapshot()
        self.restarted_bases = 0.0  # units that limiters which began anew may have spent twice

    def step(self) -> None:
        chance, fleet = self.chance, self.fleet
        fleet.now += (
            chance.choice([0.001, 0.02, 0.1, 0.5])
            if chance.random() < 0.9
            else chance.uniform(1.0, 9.0)
        )
        n, what = chance.randrange(3), chance.random()
        fleet.ledgers[n].tick(fleet.now)
        if not self.linked[n]:
            fleet.calls(n)
        for _ in range(chance.choice([1, 5, 40])):
            fleet.ask(n, chance.choice([1.0, 2.0, 4.0]))
            calls = fleet.calls(n)
            for call in calls if self.linked[n] else []:
                self.play(n, call)
        if self.delayed and what < 0.3:
            fleet.run(self.delayed.pop(chance.randrange(len(self.delayed))))
        self.fault(n, what)

    def play(self, n: int, call: ScriptCall) -> None:
        ledger, fleet, fate = self.fleet.ledgers[n], self.fleet, self.chance.random()
        if fate < 0.7:
            ledger.answered(call, fleet.run(call), fleet.now)
            return
        if fate < 0.8:  # lost after it ran; from 0.9 on, before
            fleet.run(call)
        elif fate < 0.9:
            self.delayed.append(call)
        ledger.call_failed(call, fleet.now)

    def fault(self, n: int, what: float) -> None:
        if what > 0.97:
            self.restart_store()
        elif what > 0.95:
            self.fleet.node.state.engine.call(0, [b"FLUSHALL"])
        elif what > 0.93:
            self.fleet.node.state.engine.clock_skew += self.chance.uniform(-50, 50)
        elif what > 0.90:
            self.linked[n] = not self.linked[n]
            if self.linked[n]:
                self.fleet.link_up(n)
            else:
                self.fleet.ledgers[n].store_disconnected()
        elif what > 0.88:
            self.restart_limiter(n)
        elif what > 0.85:
            self.saved = self.fleet.node.state.engine.snapshot()

    def restart_store(self) -> None:
        fleet = self.fleet
        fleet.node.state.engine.restart(self.saved if self.chance.random() < 0.5 else None)
        for k in range(3):
            fleet.ledgers[k].store_disconnected()
            if self.linked[k]:
                fleet.link_up(k)

    def restart_limiter(self, n: int) -> None:
        fleet = self.fleet
        self.incarnations += 1
        settings = fleet.ledgers[n].settings
        fleet.ledgers[n] = LeaseLedger(settings, TERMS, f"x{self.incarnations}", fleet.now)
        self.restarted_bases += 40.0 * TERMS.lease.base_share / 3 + 4.0
        self.linked[n] = True
        fleet.link_up(n)


@hyp(max_examples=60)
@given(st.integers(0, 2**32))
def test_no_order_of_events_admits_more_than_the_limits(seed: int) -> None:
    """Lost, late and repeated calls, deaths, cuts, restarts empty and old, flushes, clocks that
    jump: no bucket falls below 0, but for the base of a limiter that has begun anew within a
    quota's burst.
    """
    history = RandomHistory(seed)
    for _ in range(300):
        history.step()
        assert history.fleet.ceiling.lowest >= -1e-4
        assert history.fleet.quota.lowest >= -1e-4 - history.restarted_bases


@hyp(max_examples=120)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.01, 0.05]))
def test_no_adversary_passes_the_pool(seed: int, troubles: float) -> None:
    """Limiters that keep to the protocol and otherwise do their worst, through random faults."""
    adversary = Adversary(seed)
    for _ in range(200):
        adversary.step(troubles)
        fleet = adversary.fleet
        assert (
            fleet.quota.lowest >= -0.1 and fleet.ceiling.lowest >= -0.2
        )  # clocks are told in whole milliseconds
