"""Tests that limits hold while the store restarts, loses data, or its clock jumps."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.shared_store import lease_ledger
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_account import ScriptCall
from tests.shared_store.ledger_fleet import (
    STORE_SETTINGS,
    LedgerFleet,
    hold,
    settled,
    spend_all,
    spend_burst,
)


@pytest.mark.parametrize("kind", ["restart_empty", "restart_old", "flush"])
def test_pools_close_after_data_loss_and_then_refill_at_the_rate(kind: str) -> None:
    """The store restarts empty or from an old snapshot, or is flushed, while all limiters hold
    leases.
    """
    fleet = LedgerFleet()
    fleet.warm()
    old = fleet.node.state.engine.snapshot()
    fleet.wait(2.0)
    for n in range(3):  # all limiters get a lease
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
    assert spend_burst(fleet, 0) >= 20  # the pool has recovered


@pytest.mark.parametrize("by", [3600.0, -3600.0])
def test_jump_of_the_stores_clock_adds_no_units(by: float) -> None:
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
    # Records may have expired by the jump; the pool then opens a lease's term after the first call.
    for _ in range(8):
        fleet.wait(1.0)
        fleet.ask(1)
        fleet.serve(1)
    assert spend_burst(fleet, 1) >= 20 and fleet.quota.lowest >= -1e-6


@pytest.mark.parametrize("restarted", [True, False])
def test_restored_old_records_are_not_trusted(restarted: bool) -> None:
    """The store has old records again. Either it was restarted and the first caller is a limiter
    without a history, or it was not, and the first caller has seen a higher total.
    """
    fleet = settled()
    old = fleet.node.state.engine.snapshot()
    spend_all(fleet, hold(fleet, 0, 80.0))
    if restarted:
        fleet.now += 0.1
        fleet.node.state.engine.restart(old)
        fleet.ledgers[1] = LeaseLedger(
            fleet.ledgers[1].settings, fleet.store_settings, "new", fleet.now
        )
        fleet.link_up(1)
        spend_all(fleet, hold(fleet, 1, 80.0))
    else:
        fleet.node.state.engine.databases = old
        spend_all(fleet, hold(fleet, 0, 80.0))
    assert fleet.quota.lowest >= -0.1 and fleet.ceiling.lowest >= -0.1


def test_lease_from_before_a_flush_can_be_spent_within_the_limits() -> None:
    """The store is flushed, and a lease from before is spent just before it ends."""
    fleet = settled()
    held = hold(fleet, 0, 30.0)
    fleet.node.state.engine.call(0, [b"FLUSHALL"])
    # All limiters send heartbeats, since the pool counts only the shares of limiters present.
    for n in (
        0,
        1,
        2,
        0,
        1,
        2,
    ):
        fleet.ledgers[n].presence.next_heartbeat_at = fleet.now
        fleet.now += 0.001
        fleet.ledgers[n].tick(fleet.now)
        fleet.serve(n)
    hold(fleet, 1, 0.0)
    for step in (0.5, 0.5, 0.45):  # until just before the lease ends
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
def test_jump_of_one_clock_does_not_refill_the_pool(whose: str) -> None:
    """Either the store's clock or one limiter's clock jumps by a minute."""
    fleet = settled()
    spend_all(fleet, hold(fleet, 0, 80.0))
    if whose == "store":
        fleet.node.state.engine.clock_skew += 60.0
    for n in (1, 2):
        fleet.ledgers[n].presence.next_heartbeat_at = fleet.now
        for _ in range(2):  # the first answer contains the store's current time
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


def test_units_of_an_evicted_account_are_not_leased_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a customer's next account that claims the lease of its closed predecessor.

    There are too many customers, so the account is closed before its spending is reported. The new
    one reports none, and the store took the spent units for returned ones.
    """
    monkeypatch.setattr(lease_ledger, "MAX_ACCOUNTS", 1)
    fleet = settled()
    hold(fleet, 0, 30.0)
    while fleet.ask(0):
        fleet.calls(0)  # lost on the way
    other = api.RequestArrived("r", "look", "gold", "other", 1.0, 1.0, 0, 3)
    assert fleet.ledgers[0].account_for(other, fleet.now)
    assert list(fleet.ledgers[0].accounts) == ["other/gold"]
    spend_all(fleet, hold(fleet, 0, 80.0))
    assert fleet.quota.lowest >= -0.1 and fleet.ceiling.lowest >= -0.1


class Adversary:
    """Three limiters that follow the protocol but otherwise try to exceed the limits.

    They lease as much as they can, hold it, and spend it at random times. There is no base, so the
    pool is the complete limit and no unspent base can hide an excess unit.
    """

    def __init__(self, seed: int) -> None:
        self.rng, self.fleet = random.Random(seed), LedgerFleet(base=False)
        self.connected, self.incarnations = [True] * 3, 0
        self.delayed_calls: list[ScriptCall] = []  # calls that the store runs later
        self.saved = self.fleet.node.state.engine.snapshot()

    def account(self, n: int) -> Any:
        ledger, fleet = self.fleet.ledgers[n], self.fleet
        ledger.account_for(api.RequestArrived("r", "look", "gold", "c", 1.0, 1.0, 0, 3), fleet.now)
        return ledger.accounts["c/gold"]

    def request_lease(self, n: int) -> None:
        ledger, fleet, account = self.fleet.ledgers[n], self.fleet, self.account(n)
        if account.call or not ledger.presence.may_lease(fleet.now):
            return
        wanted = [self.rng.choice([1.0, 10.0, 40.0, 80.0])] * 2
        ledger._lease(account, wanted, [p.leased for p in account.pools], 0.0, fleet.now)
        for call in fleet.calls(n):
            self.deliver(n, call)

    def deliver(self, n: int, call: ScriptCall) -> None:
        """Delivers a call or, at random, loses its answer, delays it or loses the call."""
        ledger, fleet, draw = self.fleet.ledgers[n], self.fleet, self.rng.random()
        if not self.connected[n]:
            ledger.call_failed(call, fleet.now)
        elif draw < 0.75:
            ledger.answered(call, fleet.run(call), fleet.now)
        else:
            _ = (
                fleet.run(call)
                if draw < 0.85
                else self.delayed_calls.append(call)  # type: ignore[func-returns-value]
                if draw < 0.93
                else None
            )
            ledger.call_failed(call, fleet.now)

    def spend(self, n: int) -> None:
        fleet, account = self.fleet, self.account(n)
        for pool, bucket in zip(account.pools, (fleet.quota, fleet.ceiling), strict=True):
            units = max(pool.available(), 0.0) * self.rng.choice([1.0, 1.0, 0.3])
            pool.charge(units, fleet.now)
            bucket.take(units, fleet.now)

    def inject_fault(self) -> None:
        fleet, rng, n = self.fleet, self.rng, self.rng.randrange(3)
        engine = fleet.node.state.engine
        fault_kind = rng.choice(
            ["empty", "old", "flush", "jump", "cut", "cut", "cut", "reborn", "save", "save"]
        )
        if fault_kind in ("empty", "old"):
            engine.restart(self.saved if fault_kind == "old" else None)
            for k in range(3):
                fleet.ledgers[k].store_disconnected()
                if self.connected[k]:
                    self.connect(k)
        elif fault_kind == "flush":
            engine.call(0, [b"FLUSHALL"])
        elif fault_kind == "jump":
            engine.clock_skew += rng.uniform(-50, 50)
        elif fault_kind == "save":
            self.saved = engine.snapshot()
        elif fault_kind == "cut":
            self.connected[n] = not self.connected[n]
            self.connect(n) if self.connected[n] else fleet.ledgers[n].store_disconnected()
        else:
            self.incarnations += 1
            fleet.ledgers[n] = LeaseLedger(
                fleet.ledgers[n].settings, fleet.store_settings, f"x{self.incarnations}", fleet.now
            )
            self.connected[n] = True
            self.connect(n)

    def connect(self, n: int) -> None:
        engine = self.fleet.node.state.engine
        self.fleet.ledgers[n].store_connected(engine.started_at, engine.now(), self.fleet.now)
        self.tick(n)

    def tick(self, n: int) -> None:
        self.fleet.ledgers[n].tick(self.fleet.now)
        for call in self.fleet.calls(n):
            self.deliver(n, call)

    def step(self, fault_rate: float) -> None:
        fleet, rng, n = self.fleet, self.rng, self.rng.randrange(3)
        fleet.now += (
            rng.choice([0.0, 0.001, 0.02, 0.1, 0.4, 1.0])
            if rng.random() < 0.95
            else rng.uniform(1.5, 9.0)
        )
        for k in range(3):
            if rng.random() < 0.9:  # otherwise the limiter is paused
                self.tick(k)
        if rng.random() < fault_rate:
            self.inject_fault()
        if self.delayed_calls and rng.random() < 0.1:
            fleet.run(self.delayed_calls.pop(rng.randrange(len(self.delayed_calls))))
        self.request_lease(n)
        if rng.random() < 0.5:
            self.spend(rng.randrange(3))


class RandomHistory:
    """Three limiters and their store under random requests and faults."""

    def __init__(self, seed: int) -> None:
        self.rng, self.fleet = random.Random(seed), LedgerFleet()
        self.connected, self.incarnations = [True] * 3, 0
        self.delayed_calls: list[ScriptCall] = []  # calls that the store runs later
        self.saved = self.fleet.node.state.engine.snapshot()
        self.restarted_bases = 0.0  # units that restarted limiters may have admitted twice

    def step(self) -> None:
        rng, fleet = self.rng, self.fleet
        fleet.now += (
            rng.choice([0.001, 0.02, 0.1, 0.5]) if rng.random() < 0.9 else rng.uniform(1.0, 9.0)
        )
        n, draw = rng.randrange(3), rng.random()
        fleet.ledgers[n].tick(fleet.now)
        if not self.connected[n]:
            fleet.calls(n)
        for _ in range(rng.choice([1, 5, 40])):
            fleet.ask(n, rng.choice([1.0, 2.0, 4.0]))
            calls = fleet.calls(n)
            for call in calls if self.connected[n] else []:
                self.deliver(n, call)
        if self.delayed_calls and draw < 0.3:
            fleet.run(self.delayed_calls.pop(rng.randrange(len(self.delayed_calls))))
        self.inject_fault(n, draw)

    def deliver(self, n: int, call: ScriptCall) -> None:
        ledger, fleet, draw = self.fleet.ledgers[n], self.fleet, self.rng.random()
        if draw < 0.7:
            ledger.answered(call, fleet.run(call), fleet.now)
            return
        if draw < 0.8:  # the answer is lost; from 0.9 on the call itself is lost
            fleet.run(call)
        elif draw < 0.9:
            self.delayed_calls.append(call)
        ledger.call_failed(call, fleet.now)

    def inject_fault(self, n: int, draw: float) -> None:
        if draw > 0.97:
            self.restart_store()
        elif draw > 0.95:
            self.fleet.node.state.engine.call(0, [b"FLUSHALL"])
        elif draw > 0.93:
            self.fleet.node.state.engine.clock_skew += self.rng.uniform(-50, 50)
        elif draw > 0.90:
            self.connected[n] = not self.connected[n]
            if self.connected[n]:
                self.fleet.link_up(n)
            else:
                self.fleet.ledgers[n].store_disconnected()
        elif draw > 0.88:
            self.restart_limiter(n)
        elif draw > 0.85:
            self.saved = self.fleet.node.state.engine.snapshot()

    def restart_store(self) -> None:
        fleet = self.fleet
        fleet.node.state.engine.restart(self.saved if self.rng.random() < 0.5 else None)
        for k in range(3):
            fleet.ledgers[k].store_disconnected()
            if self.connected[k]:
                fleet.link_up(k)

    def restart_limiter(self, n: int) -> None:
        fleet = self.fleet
        self.incarnations += 1
        settings = fleet.ledgers[n].settings
        fleet.ledgers[n] = LeaseLedger(settings, STORE_SETTINGS, f"x{self.incarnations}", fleet.now)
        self.restarted_bases += 40.0 * STORE_SETTINGS.lease.base_share / 3 + 4.0
        self.connected[n] = True
        fleet.link_up(n)


@hyp(max_examples=60)
@given(st.integers(0, 2**32))
def test_no_order_of_events_admits_more_than_the_limits(seed: int) -> None:
    """Calls are lost, late and repeated, limiters crash and are cut off, the store restarts empty
    or with old data or is flushed, and clocks jump. No bucket falls below 0, except a quota's by
    the base of each restarted limiter.
    """
    history = RandomHistory(seed)
    for _ in range(300):
        history.step()
        assert history.fleet.ceiling.lowest >= -1e-4
        assert history.fleet.quota.lowest >= -1e-4 - history.restarted_bases


@hyp(max_examples=120)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.01, 0.05]))
def test_adversarial_limiters_cannot_exceed_the_limits(seed: int, fault_rate: float) -> None:
    """Limiters that follow the protocol but otherwise try to exceed the limits, under faults."""
    adversary = Adversary(seed)
    for _ in range(200):
        adversary.step(fault_rate)
        fleet = adversary.fleet
        # The tolerance covers the rounding of times to milliseconds.
        assert fleet.quota.lowest >= -0.1 and fleet.ceiling.lowest >= -0.2
