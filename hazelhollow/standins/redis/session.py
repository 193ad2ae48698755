"""One connection to a stand-in: its parser, its state, and its received commands."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhollow.standins.redis.request_parser import ProtocolError, RequestParser


class Request(NamedTuple):
    """One command of a session.

    A request with a `protocol_error` has no arguments, and the session ends after its reply.
    """

    session: Session
    arguments: list[bytes]
    protocol_error: str = ""


@dataclass(eq=False)
class Session:
    """The state of one connection.

    Received commands are appended to `requests`, the queue that all sessions of a node share.
    """

    id: int
    requests: deque[Request]
    authenticated: bool
    database: int = 0
    name: bytes = b""
    transaction: list[list[bytes]] | None = None  # the commands since MULTI
    transaction_failed: bool = False  # an error while commands were queued
    # Versions of watched keys, by database and key.
    watched_versions: dict[tuple[int, bytes], int] = field(default_factory=dict)
    muted: bool = False  # a fault drops all further replies
    closed: bool = False
    last_reply_at: float = 0.0  # when the previous reply is sent
    parser: RequestParser = field(default_factory=RequestParser)

    def feed(self, data: bytes) -> None:
        """Parses received bytes and queues the complete commands."""
        self.parser.feed(data)
        try:
            while not self.closed and (arguments := self.parser.next()) is not None:
                if arguments:
                    self.requests.append(Request(self, arguments))
        except ProtocolError as error:
            self.requests.append(Request(self, [], str(error)))
            self.parser.clear()

    def end_transaction(self) -> None:
        """Discards the queued commands and the watched keys."""
        self.transaction, self.transaction_failed = None, False
        self.watched_versions.clear()
