"""One connection to an endpoint. It carries one attempt at a time.

States, and what moves a connection from one to the next:

| state | attempt | in poll's list | left by |
| --- | --- | --- | --- |
| CONNECTING | yes | for writing | it is up: BUSY. Refused, or not up in time: CLOSED |
| BUSY | yes | for reading | a whole answer: SETTLING. Timeout, cancellation, reset: CLOSED |
| SETTLING | no | no | 0.03 s pass: IDLE. Bytes behind the answer: CLOSED |
| IDLE | no | no | a new attempt: BUSY. Idle too long, or its place is needed: CLOSED |
| CLOSED | no | no | |

In any state it is CLOSED when its endpoint is listed no more and nothing of a request has been
sent. The states are not stored, they follow from the fields below; `connection_pool.ConnectionPool`
makes every transition, and `ConnectionPool.close_connection` is the only way to CLOSED.

SETTLING exists because an endpoint's second copy of an answer may still be on its way when the
first has been read: a request sent at once would take it for its own answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hazelhollow.net import resp, stream

if TYPE_CHECKING:
    from hazelhollow.net.attempts import Attempt


class PooledConnection:
    """One connection to an endpoint, and the attempt that it carries.

    Attributes:
        endpoint: Whose connection it is.
        attempt: The attempt that is out on it; None in SETTLING and IDLE.
        stream: Its socket; None until there is one.
        idle_since: When its last attempt ended (clock).
        partial_answer_at: When the latest bytes of an answer that is not whole yet came; 0 if none.
        reusable_from: When SETTLING ends (clock).
    """

    __slots__ = (
        "endpoint",
        "attempt",
        "stream",
        "idle_since",
        "parser",
        "partial_answer_at",
        "reusable_from",
        "_sent_before",
        "__weakref__",
    )

    def __init__(self, endpoint: PoolEndpoint) -> None:
        self.endpoint = endpoint
        self.attempt: Attempt | None = None
        self.stream: stream.Stream | None = None
        self.parser = resp.Parser()
        self.idle_since = 0.0
        self.partial_answer_at = 0.0
        self.reusable_from = 0.0
        self._sent_before = 0  # bytes sent on the connection before this attempt's first

    def set_stream(self, new: stream.Stream) -> None:
        """Called before the connection is up, so that it can be closed while it connects."""
        self.stream = new

    def send_request(self) -> None:
        """Writes the request of its attempt."""
        if self.stream and self.attempt:
            self._sent_before = self.stream.bytes_sent
            self.stream.write(self.attempt.command)

    def has_sent_any(self) -> bool:
        """Whether any byte of the attempt's request has left."""
        return self.stream is not None and self.stream.bytes_sent > self._sent_before

    def has_sent_all(self) -> bool:
        """Whether all of the request has left, so that the endpoint may have begun it."""
        return self.attempt is not None and self.has_sent_any() and self._bytes_left() <= 0

    def _bytes_left(self) -> int:
        assert self.stream and self.attempt
        return self._sent_before + len(self.attempt.command) - self.stream.bytes_sent


class PoolEndpoint:
    """One listed endpoint, and the connections to it.

    Attributes:
        connections: All of them.
        idle: Those in SETTLING or IDLE, the most recently used last.
        listed: Whether it may still get new attempts.
    """

    __slots__ = ("name", "address", "connections", "idle", "listed")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.connections: set[PooledConnection] = set()
        self.idle: list[PooledConnection] = []
        self.listed = True
