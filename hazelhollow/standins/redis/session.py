"""One connection to a stand-in: its parser, its state, and the complete commands received."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhollow.standins.redis.request_parser import ProtocolError, RequestParser


class Request(NamedTuple):
    """One command of a session.

    With a `protocol_error` it has no arguments, and the session ends after its reply.
    """

    session: Session
    arguments: list[bytes]
    protocol_error: str = ""


@dataclass(eq=False)
class Session:
    """One connection's state.

    Its commands go into `requests`, which all sessions of a node share.
    """

    id: int
    requests: deque[Request]
    authenticated: bool
    database: int = 0
    name: bytes = b""
    transaction: list[list[bytes]] | None = None  # the commands since MULTI
    transaction_failed: bool = False  # an error while commands were queued
    # versions by database and key
    watched: dict[tuple[int, bytes], int] = field(default_factory=dict)
    muted: bool = False  # replies are lost from now on
    closed: bool = False
    last_reply_at: float = 0.0  # when the reply before goes out
    parser: RequestParser = field(default_factory=RequestParser)

    def feed(self, data: bytes) -> None:
        """Bytes as they come; whole commands get in the node's queue."""
        self.parser.feed(data)
        try:
            while not self.closed and (arguments := self.parser.next()) is not None:
                if arguments:
                    self.requests.append(Request(self, arguments))
        except ProtocolError as error:
            self.requests.append(Request(self, [], str(error)))
            self.parser.clear()

    def end_transaction(self) -> None:
        """Forgets what was queued and watched."""
        self.transaction, self.transaction_failed = None, False
        self.watched.clear()
