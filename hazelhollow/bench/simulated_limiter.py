"""A limiter in virtual time: the real engine, lease ledger and store client without sockets.

This module makes none of the product's decisions itself. Endpoints answer each attempt after a
fixed time, so that requests are rejected only because of limits; gossip is delayed or lost.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hazelhollow.bench.simulated_store import SimulatedStore, StoreConnection
from hazelhollow.bench.virtual_time import Timeline
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.net.engine_driver import Decisions
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.client import StoreClient
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_decisions import LeasedDecisions
from hazelhollow.shared_store.link import Credentials

GOSSIP_DELAY_S = (0.0019, 0.030)  # one way, drawn uniformly
GOSSIP_LOSS = 0.05
ENDPOINT_ANSWER_S = 0.02
ENDPOINTS = 12
TIMER_TOLERANCE_S = 1e-9  # a new timer is set only if it is earlier by more than this


@dataclass
class Site:
    """The environment that all limiters of a run share.

    Args:
        timeline: The run's virtual time.
        random: Generator for the network and for the engines' seeds.
        store: The shared store; None if limits are kept without one.
        store_settings: The operator's settings of the store; None without a store.
        limiters: All limiters, by number.
    """

    timeline: Timeline
    random: random.Random
    store: SimulatedStore | None
    store_settings: StoreSettings | None
    limiters: list[SimulatedLimiter]


class SimulatedLimiter:
    """One limiter with all its incarnations. It is down until `start` is called."""

    def __init__(self, site: Site, settings: api.Settings) -> None:
        self._site, self._settings = site, settings
        self._timeline = site.timeline
        self.number = settings.limiter_id
        self.is_cut_off = self.is_paused = False
        self.is_down = True
        self.clock_skew = 0.0  # seconds by which this limiter's clock is ahead
        self.ledger: LeaseLedger | None = None
        self._engine: Decisions
        self._client: StoreClient | None = None
        self._connection: StoreConnection | None = None
        self._incarnation = 0
        self._deferred: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # while paused
        self._advance_at = math.inf
        self._earlier_store_calls = 0.0  # of incarnations that were killed

    def store_calls(self) -> float:
        """Returns the number of calls to the store, over all incarnations."""
        current = self.ledger.counts["calls"] if self.ledger and not self.is_down else 0.0
        return self._earlier_store_calls + current

    def _clock(self) -> float:
        return self._timeline.now + self.clock_skew

    # Faults

    def start(self) -> None:
        """Starts a new incarnation."""
        self.is_down = False
        self._incarnation += 1
        now, seed = self._clock(), self._site.random.getrandbits(32)
        self._engine = DecisionEngine(self._settings, seed)
        self._client = self.ledger = None
        store_settings = self._site.store_settings
        if store_settings and self._site.store:
            incarnation = base36(int(now * 1000))
            self.ledger = LeaseLedger(self._settings, store_settings, incarnation, now)
            self._client = StoreClient(self.ledger, store_settings, seed)
            self._engine = LeasedDecisions(self._engine, self.ledger, self._send_calls)
            self._connect(self._incarnation)
            self._set_timer()
        entries = tuple(api.EndpointEntry(f"s{n}", "up", "a", n % 3, 1.0) for n in range(ENDPOINTS))
        self.handle(api.EndpointsUpdated("full", entries))

    def kill(self) -> None:
        """Crashes the incarnation; its state is lost."""
        self.is_down = True
        self._earlier_store_calls += self.ledger.counts["calls"] if self.ledger else 0.0
        self._incarnation += 1
        self._deferred.clear()
        if self._connection:
            self._connection.close()
            self._connection = None

    def pause(self) -> None:
        """Pauses the process: events are deferred until `resume`."""
        self.is_paused = True

    def resume(self) -> None:
        """Resumes the process; deferred events are handled first, in order."""
        self.is_paused = False
        deferred, self._deferred = self._deferred, []
        for call, args in deferred:
            call(*args)

    def _defer_if_paused(self, call: Callable[..., None], *args: Any) -> bool:
        """Defers the call if the limiter is paused; returns whether it did."""
        if self.is_paused:
            self._deferred.append((call, args))
        return self.is_paused

    # The decision engine

    def handle(self, event: api.Event) -> list[api.Action]:
        """Passes an event to the engine, performs the resulting actions and returns them."""
        actions = self._engine.handle(event, self._clock())
        now, draw = self._timeline.now, self._site.random
        for action in actions:
            if isinstance(action, api.StartAttempt):
                ended = api.AttemptEnded(
                    action.id, 0, action.endpoint, "ok", ENDPOINT_ANSWER_S, final=True
                )
                self._schedule(now + ENDPOINT_ANSWER_S, ended)
            elif isinstance(action, api.SetTimer):
                self._schedule(now + action.delay, api.TimerFired(action.name))
            elif isinstance(action, api.SendGossip) and draw.random() >= GOSSIP_LOSS:
                receiver = self._site.limiters[action.limiter_id]
                arrives_at = now + draw.uniform(*GOSSIP_DELAY_S)
                self._timeline.at(arrives_at, receiver.receive_gossip, self.number, action.text)
        return actions

    def _schedule(self, when: float, event: api.Event) -> None:
        self._timeline.at(when, self._handle_scheduled, self._incarnation, event)

    def _handle_scheduled(self, incarnation: int, event: api.Event) -> None:
        if incarnation == self._incarnation and not self._defer_if_paused(
            self._handle_scheduled, incarnation, event
        ):
            self.handle(event)

    def receive_gossip(self, sender: int, text: str) -> None:
        """Receives a gossip datagram of another limiter."""
        if not self.is_down and not self._defer_if_paused(self.receive_gossip, sender, text):
            self.handle(api.GossipReceived(sender, text))

    # The store

    def _connect(self, incarnation: int) -> None:
        if incarnation != self._incarnation or self._defer_if_paused(self._connect, incarnation):
            return
        store, client = self._site.store, self._client
        assert store and client
        session = None if self.is_cut_off else store.node.connect()
        if session is None:
            self._timeline.at(self._timeline.now + client.retry_in(), self._connect, incarnation)
            return
        self._connection = StoreConnection(
            store,
            session,
            (self._timeline, self._site.random),
            lambda: self.is_cut_off,
            self._receive_from_store,
        )
        client.opened(Credentials(), self._clock())
        self._flush()

    def _receive_from_store(self, connection: StoreConnection, data: bytes, closes: bool) -> None:
        if connection is not self._connection or self._defer_if_paused(
            self._receive_from_store, connection, data, closes
        ):
            return
        assert self._client
        error = self._client.receive(data, self._clock()) if data else None
        if closes or error:
            self._disconnect()
        self._flush()

    def _disconnect(self) -> None:
        assert self._client
        if self._connection:
            self._connection.close()
            self._connection = None
            self._client.closed(self._clock())
            retry_at = self._timeline.now + self._client.retry_in()
            self._timeline.at(retry_at, self._connect, self._incarnation)

    def _send_calls(self) -> None:
        if self._client:
            self._client.pump(self._clock())
            self._flush()

    def _flush(self) -> None:
        data = self._client.drain_output() if self._client else b""
        if data and self._connection:
            self._connection.send_to_store(data)
        self._set_timer()

    def _set_timer(self) -> None:
        assert self._client
        due = self._client.next_at(self._clock()) - self.clock_skew
        if due < self._advance_at - TIMER_TOLERANCE_S:
            self._advance_at = due
            self._timeline.at(due, self._advance, self._incarnation, due)

    def _advance(self, incarnation: int, due: float) -> None:
        if due == self._advance_at:
            self._advance_at = math.inf
        if incarnation != self._incarnation or self._defer_if_paused(
            self._advance, incarnation, due
        ):
            return
        assert self._client
        if self._client.advance(self._clock()):
            self._disconnect()
        self._flush()
