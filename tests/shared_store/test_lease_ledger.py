"""Tests of the ledger with the scripts run by the stand-in store; answers may be late or lost."""

from __future__ import annotations

from typing import Any

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.shared_store.lease_ledger import ACCOUNT_IDLE_TIMEOUT_S, LeaseLedger
from hazelhollow.shared_store.leased_account import ScriptCall
from tests.net.scenario import BUY, LOOK, START
from tests.shared_store.ledger_fleet import (
    STORE_SETTINGS,
    LedgerFleet,
    hold,
    spend_burst,
    store_settings,
)


def test_burst_through_one_limiter_exceeds_its_even_share() -> None:
    """A customer sends a complete burst through one limiter: leases admit most of it."""
    fleet = LedgerFleet()
    fleet.warm()
    sent = 0.0
    for _ in range(60):
        sent += fleet.ask(0)
        fleet.serve(0)
        fleet.now += 0.002
    assert sent >= 30  # an even share is 13
    assert fleet.quota.lowest >= 0 and fleet.ceiling.lowest >= 0


def test_plan_without_leased_limits_or_set_of_one_makes_no_store_calls() -> None:
    """The engine alone decides on plans whose limits are not in the store, and a customer whose
    requests come through one limiter has its complete limit there.
    """
    fleet = LedgerFleet()
    assert (
        fleet.ledgers[0].account_for(
            api.RequestArrived("r", "look", "basic", "c", 1.0, 1.0, 0, 3), fleet.now
        )
        is None
    )
    fleet.now += 10.0
    assert sum(fleet.ask(0, spread=1) for _ in range(60)) == 40
    assert fleet.calls(0) == []


def test_call_repeated_after_a_lost_answer_leases_the_units_once() -> None:
    """A call ran but its answer was lost; the next call must not lease the units twice."""
    fleet = LedgerFleet()
    fleet.warm()
    ledger, key = fleet.ledgers[0], "c/gold"
    while not ledger.outbox:
        assert fleet.ask(0)
    (call,) = fleet.calls(0)
    fleet.run(call)  # its answer is lost
    assert fleet.run(call)[0] == "stale"  # the same call has no effect if it runs again
    ledger.call_failed(call, fleet.now)
    fleet.now += 0.06
    while not ledger.outbox:
        fleet.ask(0)
    (second,) = fleet.calls(0)
    answer = fleet.run(second)
    ledger.answered(second, answer, fleet.now)
    held = fleet.node.state.engine.databases[0].entries[call.key.encode()].value
    assert isinstance(held, dict)
    slot = [float(x) for x in str(held[b"m:0.l0"], "ascii").split()]  # type: ignore[arg-type]
    account = ledger.accounts[key]
    assert [slot[3], slot[5]] == [
        pytest.approx(pool.leased) for pool in account.pools
    ]  # the store records exactly the units that the limiter holds


def test_grant_in_an_answer_to_a_timed_out_call_is_not_used() -> None:
    """The store was slow: its grant arrives after the call has timed out."""
    fleet = LedgerFleet()
    fleet.warm()
    ledger = fleet.ledgers[0]
    while not ledger.outbox:
        fleet.ask(0)
    (call,) = fleet.calls(0)
    answer = fleet.run(call)
    before = [p.leased for p in ledger.accounts["c/gold"].pools]
    ledger.call_failed(call, fleet.now)
    ledger.answered_late()
    # Even if the link reports the answer as in time, the ledger no longer expects it.
    ledger.answered(call, answer, fleet.now)
    assert [p.leased for p in ledger.accounts["c/gold"].pools] == before and ledger.counts[
        "late"
    ] == 2


def test_call_that_the_store_runs_after_its_deadline_has_no_effect() -> None:
    """A call waited in the store until it had timed out at the limiter."""
    fleet = LedgerFleet()
    fleet.warm()
    while not fleet.ledgers[0].outbox:
        fleet.ask(0)
    (call,) = fleet.calls(0)
    fleet.now += 0.06
    assert fleet.run(call)[0] == "late"


def test_lease_not_renewed_expires_and_its_units_return_by_refill_only() -> None:
    """A limiter's process is paused for longer than its lease lasts."""
    fleet = LedgerFleet()
    fleet.warm()
    account = hold(fleet, 0, 12.0)
    assert account.pools[0].leased == pytest.approx(12.0)
    fleet.now += STORE_SETTINGS.lease.term  # the limiter is paused
    fleet.ask(0)
    assert account.pools[0].leased == 0
    # The store counts the units as leased until the lease has ended by its clock too.
    level = hold(fleet, 1, 40.0).pools[0].leased
    assert level <= 28.0 - 12.0
    fleet.now += STORE_SETTINGS.lease.term + 2.0
    assert hold(fleet, 2, 40.0).pools[0].leased >= 27.0


def test_units_granted_in_a_lost_answer_are_returned_by_the_next_call() -> None:
    """The answer with a grant of 20 units was lost in the network."""
    fleet = LedgerFleet()
    fleet.warm()
    ledger, account = fleet.ledgers[0], hold(fleet, 0, 1.0)
    ledger._lease(account, [20.0, 20.0], [p.leased for p in account.pools], 0.0, fleet.now)
    (call,) = fleet.calls(0)
    fleet.run(call)
    ledger.call_failed(call, fleet.now)
    before = hold(fleet, 1, 40.0).pools[0].leased
    hold(fleet, 0, 0.0)
    assert before < 9.0 and hold(fleet, 1, 40.0).pools[0].leased > before + 4.0


def test_idle_leases_are_returned_before_they_end() -> None:
    fleet = LedgerFleet()
    fleet.warm()
    for _ in range(30):
        fleet.ask(0)
        fleet.serve(0)
        fleet.now += 0.02
    account = fleet.ledgers[0].accounts["c/gold"]
    assert account.pools[0].leased > 0
    fleet.wait(1.0)
    assert account.pools[0].leased == 0 and fleet.ledgers[0].counts["returned"] > 0


def test_unspent_leases_do_not_let_the_burst_be_spent_twice() -> None:
    """The pool refilled while a limiter held much of its burst on lease."""
    fleet = LedgerFleet()
    fleet.warm()
    for _ in range(25):  # limiter 0 gets a large lease
        fleet.ask(0)
        fleet.serve(0)
        fleet.now += 0.02
    fleet.now += 0.5  # the pool would fill up in this time if it ignored the units on lease
    total = sum(spend_burst(fleet, n) for n in (1, 0, 2))
    assert total <= 40 and fleet.quota.lowest >= -1e-6


def call_in_flight(fleet: LedgerFleet) -> tuple[Any, ScriptCall]:
    """Returns limiter 0's account, which holds 12 units, and a pending call for 5 more."""
    account = hold(fleet, 0, 12.0)
    fleet.ledgers[0]._lease(account, [5.0, 5.0], [p.leased for p in account.pools], 0.0, fleet.now)
    (call,) = fleet.calls(0)
    return account, call


def reply(kept: float, granted: float) -> list[str]:
    return ["ok", "50.000", "0", *[str(kept), str(granted), "9.0"] * 2]


def test_leased_units_that_the_store_does_not_confirm_are_dropped() -> None:
    """The store lost the record of a lease."""
    fleet = LedgerFleet()
    fleet.warm()
    account, call = call_in_flight(fleet)
    fleet.ledgers[0].answered(call, reply(0.0, 5.0), fleet.now)
    assert account.pools[0].leased == pytest.approx(5.0) and fleet.ledgers[0].counts["lost"] > 0


def test_lease_that_ends_during_a_call_is_neither_kept_nor_charged() -> None:
    """A lease ends between its report and the answer."""
    fleet = LedgerFleet()
    fleet.warm()
    account, call = call_in_flight(fleet)
    account.lease_ends_at = fleet.now + 0.01
    fleet.now += 0.02
    base = account.pools[0].base.level
    fleet.ledgers[0].answered(call, reply(0.0, 5.0), fleet.now)
    assert account.pools[0].leased == pytest.approx(5.0) and account.pools[0].base.level == base


def test_answer_that_arrives_after_its_lease_has_ended_grants_nothing() -> None:
    """The answer took longer than the lease lasts."""
    fleet = LedgerFleet()
    fleet.warm()
    account, call = call_in_flight(fleet)
    fleet.now += STORE_SETTINGS.lease.term
    fleet.ledgers[0].answered(call, reply(12.0, 5.0), fleet.now)
    assert account.pools[0].leased == 0


def test_accounts_are_bounded_and_a_store_start_in_the_future_is_capped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """There are more customers than the maximum of accounts. The clock of the store was set back
    after its start, so the start time that it reports is in the future.
    """
    monkeypatch.setattr("hazelhollow.shared_store.lease_ledger.MAX_ACCOUNTS", 3)
    fleet = LedgerFleet()
    for n in range(6):
        fleet.ledgers[0].account_for(
            api.RequestArrived("r", "look", "gold", f"c{n}", 1.0, 1.0, 0, 3), fleet.now
        )
    assert list(fleet.ledgers[0].accounts) == ["c3/gold", "c4/gold", "c5/gold"]
    fleet.ledgers[0].store_connected(fleet.now + 100, fleet.now, fleet.now)
    assert fleet.ledgers[0].presence.store_started_at == fleet.now


def test_store_keys_have_a_hash_tag_per_customer_and_expire() -> None:
    fleet = LedgerFleet()
    fleet.warm()
    node = fleet.node.state.engine
    assert sorted(node.databases[0].entries) == [b"hh:{c/gold}", b"hh:{present}"]
    assert all(entry.expires_at is not None for entry in node.databases[0].entries.values())
    fleet.wait(0.1)
    fleet.now += 3600
    node.purge()
    assert not node.databases[0].entries


def test_settings_are_frozen() -> None:
    with pytest.raises(AttributeError):
        STORE_SETTINGS.prefix = "x"  # type: ignore[misc]


def test_idle_account_is_kept_until_its_base_has_refilled() -> None:
    """Guards against a base that is spent twice: a new account starts with a full one."""
    slow = api.Plan("slow", rate=0.1, burst=40.0)
    engine_settings = api.Settings(0, 3, (LOOK, BUY), (slow,), max_units=4.0)
    settings = store_settings('plans: ["slow"], hold: "quotas"')
    ledger, now = LeaseLedger(engine_settings, settings, "l0", START), START
    request = api.RequestArrived("r", "look", "slow", "c", 1.0, 1.0, 0, 3)
    account = ledger.account_for(request, now)
    assert account
    while account.pools[0].available() >= 1.0:
        ledger.record(account, 1.0, True, now)
    ledger.tick(now + 2 * ACCOUNT_IDLE_TIMEOUT_S)
    assert list(ledger.accounts.values()) == [account]
    ledger.tick(now + 1000.0)
    assert not ledger.accounts
