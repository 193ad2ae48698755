"""The ledger and the scripts, against the stand-in's own Lua: leases that are late or lost too."""

from __future__ import annotations

from typing import Any

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.shared_store.leased_account import ScriptCall
from tests.shared_store.ledger_fleet import TERMS, LedgerFleet, hold, spend_burst


def test_a_limiter_leases_what_one_share_would_not_give() -> None:
    fleet = LedgerFleet()
    fleet.warm()
    sent = 0.0
    for _ in range(60):  # all of a burst through one limiter, within a moment
        sent += fleet.ask(0)
        fleet.serve(0)
        fleet.now += 0.002
    assert sent >= 30  # an even share is 13
    assert fleet.quota.lowest >= 0 and fleet.ceiling.lowest >= 0


def test_plans_without_such_limits_are_left_to_the_engine_and_a_set_of_one_asks_nobody() -> None:
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


def test_a_call_that_is_made_again_after_a_lost_answer_charges_once() -> None:
    """A call ran and its answer was lost; the next one must not lease the units twice."""
    fleet = LedgerFleet()
    fleet.warm()
    ledger, key = fleet.ledgers[0], "c/gold"
    while not ledger.outbox:
        assert fleet.ask(0)
    (call,) = fleet.calls(0)
    fleet.run(call)  # it ran, and its answer is lost
    assert fleet.run(call)[0] == "stale"  # were it to run again, it would do nothing
    ledger.call_failed(call, fleet.now)
    fleet.now += 0.06
    while not ledger.outbox:
        fleet.ask(0)
    (again,) = fleet.calls(0)
    answer = fleet.run(again)
    ledger.answered(again, answer, fleet.now)
    held = fleet.node.state.engine.databases[0].entries[call.key.encode()].value
    assert isinstance(held, dict)
    slot = [float(x) for x in str(held[b"m:0.l0"], "ascii").split()]  # type: ignore[arg-type]
    account = ledger.accounts[key]
    assert [slot[3], slot[5]] == [
        pytest.approx(pool.leased) for pool in account.pools
    ]  # nothing is out that is not held


def test_an_answer_to_a_call_that_was_given_up_is_not_spent() -> None:
    """The store was slow; its grant arrives when the ledger has given the call up."""
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
    # and were it told as one in time, it is known not to be awaited
    ledger.answered(call, answer, fleet.now)
    assert [p.leased for p in ledger.accounts["c/gold"].pools] == before and ledger.counts[
        "late"
    ] == 2


def test_a_call_that_has_its_turn_too_late_does_nothing() -> None:
    """A call waited in the store until after the limiter had given it up."""
    fleet = LedgerFleet()
    fleet.warm()
    while not fleet.ledgers[0].outbox:
        fleet.ask(0)
    (call,) = fleet.calls(0)
    fleet.now += 0.06
    assert fleet.run(call)[0] == "late"


def test_a_lease_that_is_not_renewed_is_void_and_its_units_come_back_by_time_only() -> None:
    """A limiter hangs for longer than its lease lasts."""
    fleet = LedgerFleet()
    fleet.warm()
    account = hold(fleet, 0, 12.0)
    assert account.pools[0].leased == pytest.approx(12.0)
    fleet.now += TERMS.lease.term  # the limiter hears nothing meanwhile, as if it had stood still
    fleet.ask(0)
    assert account.pools[0].leased == 0
    level = (
        hold(fleet, 1, 40.0).pools[0].leased
    )  # the store counts them as spent until the lease has ended there too
    assert level <= 28.0 - 12.0
    fleet.now += TERMS.lease.term + 2.0
    assert hold(fleet, 2, 40.0).pools[0].leased >= 27.0


def test_what_a_lost_answer_granted_goes_back_with_the_next_call() -> None:
    """A grant of 20 units was lost on the way."""
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


def test_idle_leases_go_back_before_they_end() -> None:
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
    """The pool filled up while a limiter held much of it on lease."""
    fleet = LedgerFleet()
    fleet.warm()
    for _ in range(25):  # limiter 0 holds much on lease
        fleet.ask(0)
        fleet.serve(0)
        fleet.now += 0.02
    fleet.now += 0.5  # time for the pool to fill, had it no eye on what is out
    total = sum(spend_burst(fleet, n) for n in (1, 0, 2))
    assert total <= 40 and fleet.quota.lowest >= -1e-6


def in_flight(fleet: LedgerFleet) -> tuple[Any, ScriptCall]:
    """Limiter 0 holds 12 units and has a call on its way that asks for 5 more."""
    account = hold(fleet, 0, 12.0)
    fleet.ledgers[0]._lease(account, [5.0, 5.0], [p.leased for p in account.pools], 0.0, fleet.now)
    (call,) = fleet.calls(0)
    return account, call


def reply(kept: float, granted: float) -> list[str]:
    return ["ok", "50.000", "0", *[str(kept), str(granted), "9.0"] * 2]


def test_what_the_store_no_longer_knows_of_is_not_held_any_more() -> None:
    """The store lost the record of a lease."""
    fleet = LedgerFleet()
    fleet.warm()
    account, call = in_flight(fleet)
    fleet.ledgers[0].answered(call, reply(0.0, 5.0), fleet.now)
    assert account.pools[0].leased == pytest.approx(5.0) and fleet.ledgers[0].counts["lost"] > 0


def test_a_lease_that_ended_while_a_call_was_out_is_neither_kept_nor_charged() -> None:
    """A lease ends between its report and the answer."""
    fleet = LedgerFleet()
    fleet.warm()
    account, call = in_flight(fleet)
    account.lease_ends_at = fleet.now + 0.01
    fleet.now += 0.02
    base = account.pools[0].base.level
    fleet.ledgers[0].answered(call, reply(0.0, 5.0), fleet.now)
    assert account.pools[0].leased == pytest.approx(5.0) and account.pools[0].base.level == base


def test_an_answer_that_arrives_after_its_lease_has_ended_gives_nothing() -> None:
    """The answer took longer than the lease lasts."""
    fleet = LedgerFleet()
    fleet.warm()
    account, call = in_flight(fleet)
    fleet.now += TERMS.lease.term
    fleet.ledgers[0].answered(call, reply(12.0, 5.0), fleet.now)
    assert account.pools[0].leased == 0


def test_customers_are_bounded_and_a_start_in_the_future_is_not_believed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """More customers than there is room for; a store whose clock was set back."""
    monkeypatch.setattr("hazelhollow.shared_store.lease_ledger.MAX_ACCOUNTS", 3)
    fleet = LedgerFleet()
    for n in range(6):
        fleet.ledgers[0].account_for(
            api.RequestArrived("r", "look", "gold", f"c{n}", 1.0, 1.0, 0, 3), fleet.now
        )
    assert list(fleet.ledgers[0].accounts) == ["c3/gold", "c4/gold", "c5/gold"]
    fleet.ledgers[0].store_connected(
        fleet.now + 100, fleet.now, fleet.now
    )  # a store's clock that was set back gives such a start
    assert fleet.ledgers[0].presence.store_started_at == fleet.now


def test_keys_have_a_hash_tag_by_customer_and_expire() -> None:
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
        TERMS.prefix = "x"  # type: ignore[misc]
