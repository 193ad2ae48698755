"""The place of one command in the order of its connection's answers.

Commands of one connection are worked on at the same time, while RESP clients match answers to
commands by their order: an answer waits in its slot until all before it have been written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hazelhollow.net import resp

if TYPE_CHECKING:
    from hazelhollow.net.open_request import OpenRequest
    from hazelhollow.net.session import Session


class AnswerSlot:
    """The answer to one command, and the `Responder` of its request.

    Attributes:
        answer: What goes to the client, encoded; None while it is not known.
        open_request: The request that it waits for, if it does.
        size: Bytes held for it: of the command, then of the answer.
    """

    __slots__ = ("session", "answer", "open_request", "size")

    def __init__(self, session: Session) -> None:
        self.session, self.size = session, 0
        self.answer: bytes | None = None
        self.open_request: OpenRequest | None = None

    def settle(self, answer: bytes) -> None:
        """The answer is known, and is written once its turn has come."""
        # `open_request` is let go of: it refers back to this slot, and the cycle would keep both,
        # the session and its buffers in memory until the cycle collector came.
        self.answer, self.size, self.open_request = answer, len(answer), None
        self.session.write_answers()

    def send_value(self, value: bytes) -> None:
        """Answers with what the endpoint gave."""
        self.settle(resp.encode_bulk_string(value))

    def send_busy(self, retry_after_ms: int) -> None:
        """Answers `-BUSY MS`, or `-BUSY` where the wait is 0; see `engine_driver` for why."""
        self.session.fruitless_limit.spend()
        self.settle(b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n")

    def send_failure(self) -> None:
        """Answers `-ERR failed`."""
        self.settle(b"-ERR failed\r\n")

    def send_error(self, why: str) -> None:
        """Answers a command that is not of the protocol."""
        self.session.fruitless_limit.spend()
        self.settle(b"-ERR %b\r\n" % why.encode())

    def has_disconnected(self) -> bool:
        """Whether the client has gone, asked of the system."""
        return self.session.has_disconnected()
