"""Ledgers of some limiters, and a link, against the stand-in store; what tests do with them."""

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


def terms(extra: str = "") -> StoreSettings:
    store = load.read(f'store: {{address: "127.0.0.1:1", {extra}}}'.encode(), "t").store
    assert store
    return store


TERMS = terms()


class Conversation:
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

    def exchange(self, step: int = 1 << 20) -> list[LinkEvent]:
        """Everything to the store, and what it says by now to the link."""
        self.session.feed(bytes(self.link.out))
        self.link.out.clear()
        events = list[LinkEvent]()
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


class LedgerFleet:
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


def hold(fleet: LedgerFleet, n: int, units: float) -> Any:
    """A limiter takes so much on lease and spends nothing; gives its account."""
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
    """Without a base; the customer's pool is full and all limiters are there."""
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
