"""Tests of heartbeats, the view of limiters present, and the even share of an isolated limiter."""

from __future__ import annotations

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.link import Answered
from tests.net.scenario import BUY, LOOK, START
from tests.shared_store.ledger_fleet import (
    PLAN,
    STORE_SETTINGS,
    Conversation,
    LedgerFleet,
    hold,
    settled,
    spend_all,
    spend_burst,
)


def test_isolated_limiter_uses_its_even_share_and_never_the_pool_as_well() -> None:
    """A limiter loses its store for ten seconds while the others keep using it."""
    fleet = LedgerFleet()
    fleet.warm()
    ledger = fleet.ledgers[0]
    ledger.store_disconnected()
    isolated_at = None
    for _ in range(400):  # all limiters send as many requests as they can
        fleet.now += 0.025
        for n in range(3):
            fleet.ledgers[n].tick(fleet.now)
            for _ in range(4):
                (fleet.serve if n else fleet.calls)(n)
                fleet.ask(n)
        if ledger.presence.isolated and isolated_at is None:
            isolated_at = fleet.now
    assert isolated_at is not None and isolated_at - START > 6.0 + 3.0
    assert fleet.ledgers[1].presence.view == frozenset({1, 2})
    assert fleet.quota.lowest >= -1e-6 and fleet.ceiling.lowest >= -1e-6
    fleet.link_up(0)
    assert not ledger.presence.isolated
    for _ in range(100):
        fleet.now += 0.025
        for n in range(3):
            fleet.ledgers[n].tick(fleet.now)
            for _ in range(4):
                fleet.ask(n)
                fleet.serve(n)
    assert fleet.quota.lowest >= -1e-6


def test_limiter_with_an_outdated_view_does_not_lease() -> None:
    """The limiter's view of the limiters present has expired."""
    fleet = LedgerFleet()
    fleet.warm()
    ledger = fleet.ledgers[0]
    fleet.now += ledger.presence.view_lifetime() + 0.01
    before = ledger.counts["calls"]
    spend_burst(fleet, 0)
    assert ledger.counts["calls"] == before


def test_share_that_returns_to_the_pool_refills_at_the_rate() -> None:
    """An isolated limiter spends its even share and reconnects immediately afterwards."""
    fleet = settled()
    fleet.ledgers[0].store_disconnected()
    for turn in range(40):
        fleet.now += 0.25
        for n in range(3):
            fleet.ledgers[n].tick(fleet.now)
            (fleet.serve if n else fleet.calls)(n)
        if turn < 20:  # no limiter leases in the last seconds before the share returns
            hold(fleet, 1, 0.0)
    account = fleet.ledgers[0].accounts["c/gold"]
    fleet.ledgers[0]._refresh(account, fleet.now)
    assert account.pools[0].available() == pytest.approx(40.0 / 3)
    spend_all(fleet, account)
    fleet.link_up(0)
    fleet.ledgers[1].presence.next_heartbeat_at = fleet.now
    fleet.ledgers[1].tick(fleet.now)
    fleet.serve(1)
    assert fleet.ledgers[1].presence.view == {0, 1, 2}
    spend_all(fleet, hold(fleet, 1, 80.0))
    assert fleet.quota.lowest >= -0.1 and fleet.ceiling.lowest >= -0.1


def test_presence_answer_lists_all_150_limiters() -> None:
    """The parser bounds the length of arrays. If each limiter were an element of the answer, that
    bound would make a large fleet lose its store.
    """
    conversation = Conversation()
    conversation.exchange()
    for number in range(150):
        call = ScriptCall(
            "presence", "hh:{present}", [str(number), "0", "9e15", "1200", "100"], conversation.now
        )
        assert conversation.link.call(call, conversation.now)
        (answered,) = conversation.exchange()
    assert isinstance(answered, Answered)
    ledger = LeaseLedger(
        api.Settings(149, 150, (LOOK, BUY), (PLAN,)), STORE_SETTINGS, "l", conversation.now
    )
    ledger.answered(answered.call, answered.answer, conversation.now)
    assert ledger.presence.view == set(range(150))
