"""The Redis stand-in in virtual time, and the limiters' connections to it."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from hazelhollow.bench.virtual_time import Timeline
from hazelhollow.standins.redis.node import Node
from hazelhollow.standins.redis.session import Session

STORE_DELAY_S = (0.0007, 0.0013)  # one way, drawn uniformly


class SimulatedStore:
    """The stand-in node: delivers its replies to connections and runs its timers."""

    def __init__(self, timeline: Timeline, node: Node) -> None:
        self.node = node
        self.connections: dict[int, StoreConnection] = {}  # by session
        self._timeline = timeline
        self._timer_at = math.inf

    def advance(self) -> None:
        """Sends the node's pending output and schedules its next timer."""
        for output in self.node.turn():
            connection = self.connections.get(output.session.id)
            if connection:
                connection.send_to_limiter(output.data, output.closes)
        due = self.node.next_at()
        if due is not None and due < self._timer_at:
            self._timer_at = max(due, self._timeline.now)
            self._timeline.at(self._timer_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_at = math.inf
        self.advance()


class StoreConnection:
    """One connection of a limiter to the store.

    Bytes arrive in order, after a delay. Bytes sent while the limiter is cut off are lost.

    Args:
        store: The store at the other end.
        session: The node's session for this connection.
        network: The timeline, and the generator of delays.
        is_cut_off: Returns whether the limiter is currently cut off from the store.
        receive: Called with this connection, the bytes that arrived and whether the store closes.
    """

    def __init__(
        self,
        store: SimulatedStore,
        session: Session,
        network: tuple[Timeline, random.Random],
        is_cut_off: Callable[[], bool],
        receive: Callable[[StoreConnection, bytes, bool], None],
    ) -> None:
        self._store, self._session = store, session
        self._timeline, self._random = network
        self._is_cut_off, self._receive = is_cut_off, receive
        self._closed = False
        self._last_at_store = self._last_at_limiter = 0.0  # arrival times of the last bytes
        store.connections[session.id] = self

    def send_to_store(self, data: bytes) -> None:
        """Sends bytes from the limiter to the store."""
        if not self._closed and not self._is_cut_off():
            arrives_at = self._timeline.now + self._random.uniform(*STORE_DELAY_S)
            self._last_at_store = max(self._last_at_store, arrives_at)
            self._timeline.at(self._last_at_store, self._arrive_at_store, data)

    def _arrive_at_store(self, data: bytes) -> None:
        self._session.feed(data)
        self._store.advance()

    def send_to_limiter(self, data: bytes, closes: bool) -> None:
        """Sends bytes to the limiter; `closes`: the store closes the connection after them."""
        if not self._closed and not self._is_cut_off():
            arrives_at = self._timeline.now + self._random.uniform(*STORE_DELAY_S)
            self._last_at_limiter = max(self._last_at_limiter, arrives_at)
            self._timeline.at(self._last_at_limiter, self._receive, self, data, closes)

    def close(self) -> None:
        """Closes the connection from the limiter's side."""
        self._closed = True
        self._store.connections.pop(self._session.id, None)
        self._store.node.disconnect(self._session)
