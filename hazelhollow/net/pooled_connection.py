"""One connection to an endpoint, which carries one attempt at a time.

The states of a connection and its transitions:

| state | attempt | in poll's list | left by |
| --- | --- | --- | --- |
| CONNECTING | yes | for writing | it is up: BUSY. Refused, or not up in time: CLOSED |
| BUSY | yes | for reading | an answer: SETTLING. Head of a long value: ANNOUNCED. Else: CLOSED |
| ANNOUNCED | yes | for reading | the value's first byte: FORWARDING, COLLECTING. Else as BUSY |
| COLLECTING | yes | for reading, unless `waits_for_memory` | as BUSY |
| FORWARDING | yes | for reading, while the sink has room | as BUSY; silence is the only timeout |
| SETTLING | no | no | 0.03 s pass: IDLE. Bytes after the answer: CLOSED |
| IDLE | no | no | a new attempt: BUSY. Idle too long, or its descriptor is needed: CLOSED |
| CLOSED | no | no | |

In any state the connection is closed if its endpoint is no longer listed and no byte of a request
has been sent. The states are not stored, but follow from the fields below;
`connection_pool.ConnectionPool` makes every transition, and `ConnectionPool.close_connection` is
the only way to CLOSED.

SETTLING exists because an endpoint may send an answer twice, and the second copy may still be in
transit when the first has been read. It would be mistaken for the answer to a request that is sent
immediately.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hazelhollow.net import stream
from hazelhollow.net.answer_parser import AnswerParser

if TYPE_CHECKING:
    from hazelhollow.net.attempts import Attempt


class PooledConnection:
    """One connection to an endpoint, and the attempt that it carries.

    Attributes:
        endpoint: The endpoint that the connection leads to.
        attempt: The attempt in flight on the connection; None in SETTLING and IDLE.
        stream: The socket; None until it has been created.
        idle_since: When the last attempt ended (clock).
        partial_answer_at: When the last bytes of an incomplete answer arrived, or the sink of a
            forwarded value got room again (clock); 0 if none, or if the sink has no room.
        collected: The bytes of a value that is part of the result; None if none has begun.
        waits_for_memory: Whether a long value has begun that there is no memory for.
        announced_length: The length of a long value of which no byte has arrived; 0 if none.
        reusable_from: When SETTLING ends (clock).
    """

    __slots__ = (
        "endpoint",
        "attempt",
        "stream",
        "idle_since",
        "parser",
        "collected",
        "announced_length",
        "waits_for_memory",
        "partial_answer_at",
        "reusable_from",
        "_sent_before",
        "__weakref__",
    )

    def __init__(self, endpoint: PoolEndpoint) -> None:
        self.endpoint = endpoint
        self.attempt: Attempt | None = None
        self.stream: stream.Stream | None = None
        self.parser = AnswerParser()
        self.collected: bytearray | None = None
        self.announced_length = 0
        self.waits_for_memory = False
        self.idle_since = 0.0
        self.partial_answer_at = 0.0
        self.reusable_from = 0.0
        self._sent_before = 0  # bytes sent on the connection before this attempt

    @property
    def is_forwarding(self) -> bool:
        """Whether the attempt's value is being forwarded to its sink."""
        return self.attempt is not None and self.attempt.forwarding_since > 0

    def has_long_value_begun(self) -> bool:
        """Whether the head of a value is here that is too long to be collected by default."""
        collects = self.attempt is not None and self.attempt.collects_value
        return self.announced_length > 0 or collects

    def set_stream(self, new: stream.Stream) -> None:
        """Sets the socket before it is connected, so that it can be closed while connecting."""
        self.stream = new

    def send_request(self) -> None:
        """Writes the request of the current attempt."""
        if self.stream and self.attempt:
            self._sent_before = self.stream.bytes_sent
            self.stream.write(self.attempt.command)

    def has_sent_any(self) -> bool:
        """Whether any byte of the attempt's request has been sent."""
        return self.stream is not None and self.stream.bytes_sent > self._sent_before

    def has_sent_all(self) -> bool:
        """Whether the complete request was sent, so that the endpoint may have started it."""
        return self.attempt is not None and self.has_sent_any() and self._unsent_bytes() <= 0

    def _unsent_bytes(self) -> int:
        assert self.stream and self.attempt
        return self._sent_before + len(self.attempt.command) - self.stream.bytes_sent


class PoolEndpoint:
    """One process that serves as an endpoint, and the connections to it.

    Attributes:
        started: When the process started, according to discovery; 0 means long ago.
        connections: All connections to the endpoint.
        idle: The connections in SETTLING or IDLE, the most recently used last.
        listed: Whether the endpoint may still receive new attempts.
    """

    __slots__ = ("name", "address", "started", "connections", "idle", "listed")

    def __init__(self, name: str, address: tuple[str, int], started: float = 0.0) -> None:
        self.name, self.address, self.started = name, address, started
        self.connections: set[PooledConnection] = set()
        self.idle: list[PooledConnection] = []
        self.listed = True
