"""Test helpers: a link, and the ledgers of several limiters, connected to the stand-in store."""

from __future__ import annotations

from typing import Any

from hazelhollow.bench.checker import Bucket
from hazelhollow.decisions import interface as api
from hazelhollow.operator import load
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store import scripts
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.link import ConnectionBroken, Credentials, Link, LinkEvent
from hazelhollow.standins.redis import faults
from hazelhollow.standins.redis.node import Node
from tests.net.scenario import BUY, LOOK, START

PLAN = api.Plan("gold", rate=20.0, burst=40.0, ceiling_rate=40.0, ceiling_burst=80.0)


BASIC = api.Plan("basic", rate=100.0, burst=100.0)


def store_settings(extra: str = "") -> StoreSettings:
    store = load.read(f'store: {{address: "127.0.0.1:1", {extra}}}'.encode(), "t").store
    assert store
    return store


STORE_SETTINGS = store_settings()


class Conversation:
    """A link connected to a stand-in node, with a clock that the test sets."""

    def __init__(
        self, plan: list[faults.Fault] | None = None, secret: str = "", **credentials: Any
    ) -> None:
        self.now = START
        self.node = Node(lambda: self.now, 1, secret, plan)
        self.link = Link(Credentials(**credentials), 0.05, 8)
        session = self.node.connect()
        assert session
        self.session = session
        self.link.begin(self.now)

    def exchange(self, chunk_bytes: int = 1 << 20) -> list[LinkEvent]:
        """Delivers the link's output to the store, and the store's answers to the link.

        The answers are delivered in chunks of `chunk_bytes`.
        """
        self.session.feed(bytes(self.link.out))
        self.link.out.clear()
        events = list[LinkEvent]()
        for out in self.node.turn():
            for at in range(0, len(out.data), chunk_bytes):
                if not (events and isinstance(events[-1], ConnectionBroken)):
                    events += self.link.receive(out.data[at : at + chunk_bytes], self.now)
        return events

    def lease(self, sequence: int = 1, wanted: float = 10.0) -> ScriptCall:
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
            str(wanted),
            "0",
            "",
        ]
        call = ScriptCall("lease", "hh:{c}", args, self.now)
        assert self.link.call(call, self.now)
        return call


class LedgerFleet:
    """The ledgers of several limiters and one store node; the test decides when calls reach it."""

    def __init__(self, limiters: int = 3, base: bool = True) -> None:
        self.now = START
        self.node = Node(lambda: self.now, 1)
        largest_request = 4.0 if base else 100.0  # the base has no room for a request of 100 units
        engine_settings = [
            api.Settings(n, limiters, (LOOK, BUY), (PLAN, BASIC), max_units=largest_request)
            for n in range(limiters)
        ]
        self.store_settings = STORE_SETTINGS if base else store_settings("lease: base_share: 0.0")
        self.ledgers = [
            LeaseLedger(engine_settings[n], self.store_settings, f"l{n}", self.now)
            for n in range(limiters)
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
        """Runs all calls of a limiter and delivers the answers at once."""
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
        """Waits until the store knows the customer and its pool is open and full."""
        for n in range(len(self.ledgers)):
            self.ask(n)
            self.serve(n)
        self.wait(6.0)


def hold(fleet: LedgerFleet, n: int, units: float) -> Any:
    """Leases units at a limiter without spending any; returns the customer's account."""
    ledger = fleet.ledgers[n]
    fleet.ask(n, 0.001)
    fleet.calls(n)
    account = ledger.accounts["c/gold"]
    account.call = None
    ledger._lease(account, [units] * 2, [p.leased for p in account.pools], 0.0, fleet.now)
    fleet.serve(n)
    return account


def spend_all(fleet: LedgerFleet, account: Any) -> None:
    for pool, bucket in zip(account.pools, (fleet.quota, fleet.ceiling), strict=True):
        units = pool.available()
        pool.charge(units, fleet.now)
        bucket.take(units, fleet.now)


def settled() -> LedgerFleet:
    """Returns a fleet without a base: the customer's pool is full, all limiters are present."""
    fleet = LedgerFleet(base=False)
    for _ in range(2):
        for n in range(3):
            hold(fleet, n, 0.0)
        fleet.wait(5.0)
    return fleet


def spend_burst(fleet: LedgerFleet, n: int) -> float:
    sent = 0.0
    for _ in range(120):
        sent += fleet.ask(n)
        fleet.serve(n)
    return sent
