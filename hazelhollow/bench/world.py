"""A world in virtual time.

Limiters (the real decision module, ledger, link), one stand-in store, clients, and what fails.

Nothing here decides what the product decides. The network delays bytes and keeps the order within a
connection; backend hosts answer everything after a short while, so that only limits refuse.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hazelhollow.bench import load
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.net.engine_driver import Decisions
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.client import StoreClient
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_decisions import LeasedDecisions
from hazelhollow.shared_store.link import Credentials
from hazelhollow.standins.redis.node import Node
from hazelhollow.standins.redis.session import Session

START = 1_800_000_000.0
TO_STORE = (0.0007, 0.0013)  # seconds one way
TO_PEER = (0.0019, 0.030)
PEER_LOSS = 0.05
ANSWER = 0.02  # seconds in which a backend host answers
CALL_COST = 0.00004  # seconds that a store takes for a call
HOSTS = 12
# seconds in which a fleet and its store get to know their customers, who are calm meanwhile
WARM_UP = 8.0


class World:
    """The clock and what is to happen."""

    def __init__(self, seed: int) -> None:
        self.now, self.chance = START, random.Random(seed)
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (max(when, self.now), self._serial, call, args))

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now = until


class StoreHost:
    """The stand-in node in this world."""

    def __init__(self, world: World, node: Node) -> None:
        self.world, self.node = world, node
        self.wires: dict[int, Wire] = {}
        self._at = float("inf")

    def advance(self) -> None:
        for out in self.node.turn():
            wire = self.wires.get(out.session.id)
            if wire:
                wire.from_store(out.data, out.closes)
        due = self.node.next_at()
        if due is not None and due < self._at:
            self._at = max(due, self.world.now)
            self.world.at(self._at, self._due)

    def _due(self) -> None:
        self._at = float("inf")
        self.advance()


class Wire:
    """One connection of a limiter to the store.

    Bytes in their order, after a delay, or lost while the way is cut.
    """

    def __init__(self, member: Member, host: StoreHost, session: Session) -> None:
        self.member, self.host, self.session, self.world = member, host, session, member.world
        self.over = False
        self._there = self._back = 0.0  # when the last bytes arrive
        host.wires[session.id] = self

    def to_store(self, data: bytes) -> None:
        if not self.over and not self.member.cut_off:
            self._there = max(self._there, self.world.now + self.world.chance.uniform(*TO_STORE))
            self.world.at(self._there, self._feed, data)

    def _feed(self, data: bytes) -> None:
        self.session.feed(data)
        self.host.advance()

    def from_store(self, data: bytes, cut: bool) -> None:
        if not self.over and not self.member.cut_off:
            self._back = max(self._back, self.world.now + self.world.chance.uniform(*TO_STORE))
            self.world.at(self._back, self.member.heard, self, data, cut)

    def end(self) -> None:
        self.over = True
        self.host.wires.pop(self.session.id, None)
        self.host.node.disconnect(self.session)


@dataclass
class Sent:
    """One request's first attempt, as a backend host has it."""

    at: float
    units: float


@dataclass
class Log:
    """What clients and hosts saw."""

    requests: int = 0
    refused: int = 0
    sent: dict[str, list[Sent]] = field(default_factory=dict)
    on_request: Callable[[load.Arrival, bool], None] | None = None


class Member:
    """One limiter, through all its incarnations."""

    def __init__(
        self,
        world: World,
        number: int,
        settings: api.Settings,
        terms: StoreSettings | None,
        host: StoreHost | None,
    ) -> None:
        self.world, self.number, self.settings, self.terms, self.host = (
            world,
            number,
            settings,
            terms,
            host,
        )
        self.peers: list[Member] = []
        self.cut_off = self.paused = False
        self.dead = True  # until its start
        self.skew = 0.0  # of this limiter's clock
        self.wire: Wire | None = None
        self.exchange: StoreClient | None = None
        self.ledger: LeaseLedger | None = None
        self.decisions: Decisions
        self._life = 0
        self._held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._advance_at = float("inf")
        self.calls = 0.0

    def clock(self) -> float:
        return self.world.now + self.skew

    # Lives

    def start(self) -> None:
        self.dead = False
        self._life += 1
        now, seed = self.clock(), self.world.chance.getrandbits(32)
        self.decisions = DecisionEngine(self.settings, seed)
        self.exchange = self.ledger = None
        if self.terms and self.host:
            self.ledger = LeaseLedger(self.settings, self.terms, base36(int(now * 1000)), now)
            self.exchange = StoreClient(self.ledger, self.terms, seed)
            self.decisions = LeasedDecisions(self.decisions, self.ledger, self._pump)
            self._connect(self._life)
            self._arm()
        entries = tuple(api.EndpointEntry(f"s{n}", "up", "a", n % 3, 1.0) for n in range(HOSTS))
        self.handle(api.EndpointsUpdated("full", entries))

    def kill(self) -> None:
        self.dead = True
        self.calls += self.ledger.counts["calls"] if self.ledger else 0.0
        self._life += 1
        self._held.clear()
        if self.wire:
            self.wire.end()
            self.wire = None

    def pause(self, on: bool) -> None:
        """What comes meanwhile waits, as it does for a stopped process."""
        self.paused = on
        held, self._held = ([], self._held) if on else (self._held, [])
        for call, args in held:
            call(*args)

    def _later(self, call: Callable[..., None], *args: Any) -> bool:
        if self.paused:
            self._held.append((call, args))
        return self.paused

    # The decision module

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.decisions.handle(event, self.clock())
        for action in actions:
            if isinstance(action, api.StartAttempt):
                outcome = api.AttemptEnded(action.id, 0, action.endpoint, "ok", ANSWER, final=True)
                self.world.at(self.world.now + ANSWER, self._event, self._life, outcome)
            elif isinstance(action, api.SetTimer):
                self.world.at(
                    self.world.now + action.delay,
                    self._event,
                    self._life,
                    api.TimerFired(action.name),
                )
            elif isinstance(action, api.SendGossip) and self.world.chance.random() >= PEER_LOSS:
                self.world.at(
                    self.world.now + self.world.chance.uniform(*TO_PEER),
                    self.peers[action.limiter_id].told,
                    self.number,
                    action.text,
                )
        return actions

    def _event(self, incarnation: int, event: api.Event) -> None:
        if incarnation == self._life and not self._later(self._event, incarnation, event):
            self.handle(event)

    def told(self, sender: int, text: str) -> None:
        if not self.dead and not self._later(self.told, sender, text):
            self.handle(api.GossipReceived(sender, text))

    # The store

    def _connect(self, incarnation: int) -> None:
        if incarnation != self._life or self._later(self._connect, incarnation):
            return
        assert self.host and self.exchange
        session = None if self.cut_off else self.host.node.connect()
        if session is None:
            self.world.at(self.world.now + self.exchange.retry_in(), self._connect, incarnation)
            return
        self.wire = Wire(self, self.host, session)
        self.exchange.opened(Credentials(), self.clock())
        self._flush()

    def heard(self, wire: Wire, data: bytes, cut: bool) -> None:
        if wire is not self.wire or self._later(self.heard, wire, data, cut):
            return
        assert self.exchange
        why = self.exchange.receive(data, self.clock()) if data else ""
        if cut or why:
            self._close()
        self._flush()

    def _close(self) -> None:
        assert self.exchange
        if self.wire:
            self.wire.end()
            self.wire = None
            self.exchange.closed(self.clock())
            self.world.at(self.world.now + self.exchange.retry_in(), self._connect, self._life)

    def _pump(self) -> None:
        if self.exchange:
            self.exchange.pump(self.clock())
            self._flush()

    def _flush(self) -> None:
        data = self.exchange.take() if self.exchange else b""
        if data and self.wire:
            self.wire.to_store(data)
        self._arm()

    def _arm(self) -> None:
        assert self.exchange
        due = self.exchange.next_at(self.clock()) - self.skew
        if due < self._advance_at - 1e-9:
            self._advance_at = due
            self.world.at(due, self._advance, self._life, due)

    def _advance(self, incarnation: int, due: float) -> None:
        if due == self._advance_at:
            self._advance_at = float("inf")
        if incarnation != self._life or self._later(self._advance, incarnation, due):
            return
        assert self.exchange
        if self.exchange.advance(self.clock()):
            self._close()
        self._flush()


class Fleet:
    """All limiters, the store and the clients of one run."""

    def __init__(
        self,
        seed: int,
        gateways: int,
        seconds: float,
        terms: StoreSettings | None,
        node: Callable[[Callable[[], float]], Node],
        uneven: bool = False,
    ) -> None:
        self.world, self.seconds, self.gateways = World(seed), seconds, gateways
        self.log = Log()
        draw = random.Random(f"load {seed}")  # the load is the same whatever the store does
        self.plans = load.draw_plans(draw)
        self.host = StoreHost(self.world, node(lambda: self.world.now)) if terms else None
        self.members = [
            Member(self.world, n, self._settings(n), terms, self.host) for n in range(gateways)
        ]
        for member in self.members:
            member.peers = self.members
            # Limiters start one after another, and their store is there before them.
            self.world.at(START + 0.05 * n_th(member.number), member.start)
        self.customers = load.draw_customers(draw, self.plans, gateways, seconds, START)
        for customer in self.customers:
            customer.calm_until = START + WARM_UP
        for customer in self.customers if uneven else ():
            customer.weights = [0.9] + [0.1 / max(customer.spread - 1, 1)] * (customer.spread - 1)
            draw.shuffle(customer.weights)
        self._draw = draw
        self._ids = 0

    def _settings(self, number: int) -> api.Settings:
        return api.Settings(
            number,
            self.gateways,
            load.CLASSES,
            self.plans,
            zone="a",
            max_units=max(load.UNITS),
            max_attempts=3,
            peers=True,
            max_retry_after=1.0,
        )

    def run(self) -> Log:
        warm = START + 1.0
        for customer in self.customers:
            draw = random.Random(f"{customer.id} {self._draw.random()}")
            stream = load.arrivals(draw, customer, warm, self.seconds)
            self._next(draw, stream)
        self.world.run(warm + self.seconds)
        return self.log

    def _next(self, draw: random.Random, stream: Any) -> None:
        arrival = next(stream, None)
        if arrival:
            self.world.at(arrival.at, self._arrive, draw, stream, arrival)

    def _arrive(self, draw: random.Random, stream: Any, arrival: load.Arrival) -> None:
        self._next(draw, stream)
        self._try(draw, arrival, 0)

    def _try(self, draw: random.Random, arrival: load.Arrival, tries: int) -> None:
        customer = arrival.customer
        member = self.members[customer.limiter(draw, self.world.now, self.gateways)]
        if member.dead or member.paused:
            sent = None
        else:
            sent = self._ask(member, arrival)
        if not sent and tries < load.RETRIES:
            wait = draw.choice(load.RETRY_AFTER)
            self.world.at(self.world.now + wait + 0.002, self._try, draw, arrival, tries + 1)

    def _ask(self, member: Member, arrival: load.Arrival) -> bool:
        self._ids += 1
        customer = arrival.customer
        kind = next(c for c in load.CLASSES if c.name == arrival.kind)
        request = api.RequestArrived(
            f"r{self._ids}",
            kind.name,
            customer.plan.name,
            customer.id,
            arrival.units,
            kind.deadline,
            customer.first,
            customer.spread,
        )
        self.log.requests += 1
        actions = member.handle(request)
        sent = any(isinstance(a, api.StartAttempt) and a.id == request.id for a in actions)
        if self.log.on_request:
            self.log.on_request(arrival, sent)
        if sent:
            self.log.sent.setdefault(customer.id, []).append(Sent(self.world.now, arrival.units))
        else:
            self.log.refused += 1
        return sent

    def calls(self) -> float:
        """What the store was asked, over all incarnations of all limiters."""
        return sum(
            m.calls + (m.ledger.counts["calls"] if m.ledger and not m.dead else 0.0)
            for m in self.members
        )


def n_th(number: int) -> float:
    """Starts are spread over half a second at most, however many there are."""
    return number % 10
