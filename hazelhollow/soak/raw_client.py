"""One client connection that is driven step by step: what it sends, when it reads, how it ends."""

from __future__ import annotations

import errno
import select
import socket
import struct
from collections import deque

from hazelhollow.net.scheduler import READABLE, TIMED_OUT, WRITABLE, Scheduler
from hazelhollow.soak.wire import Answer, AnswerReader

READ_BYTES = 1 << 16
CONNECT_TIMEOUT_S = 2.0
RESET_LINGER = struct.pack("ii", 1, 0)


class RawClient:
    """A client connection on its own socket; its methods block the current task.

    Attributes:
        connected: Whether the connection was established.
        closed: Whether the limiter has closed or reset the connection.
        first_byte_at: When the first byte of the answer returned last was received (clock).
        completed_at: When that answer was complete (clock).
        received_bytes: How many bytes were received.
        partial_since: When the first byte of an incomplete answer was received (clock); 0 if none.
        last_byte_at: When the last byte was received (clock).
    """

    def __init__(
        self, scheduler: Scheduler, address: tuple[str, int], receive_buffer: int = 0
    ) -> None:
        """`receive_buffer`: bytes that the system may hold unread; 0: its default."""
        self._scheduler = scheduler
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._sock.setblocking(False)
        self._reader = AnswerReader()
        self._answers: deque[tuple[Answer, float, float]] = deque()
        self.partial_since = 0.0
        self.closed = False
        self.first_byte_at = self.completed_at = self.last_byte_at = 0.0
        self.received_bytes = 0
        code = self._sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            self._wait(WRITABLE, scheduler.clock() + CONNECT_TIMEOUT_S)
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.connected = code == 0  # on loopback a refusal is often known at once

    def _wait(self, events: int, until: float) -> bool:
        bits = self._scheduler.wait(self._sock.fileno(), events, until)
        return bits != TIMED_OUT

    def send(self, data: bytes, timeout: float = 5.0) -> bool:
        """Sends bytes; returns whether all were sent before the timeout and the close."""
        until = self._scheduler.clock() + timeout
        while data:
            try:
                data = data[self._sock.send(data) :]
            except BlockingIOError:
                if not self._wait(WRITABLE, until):
                    return False
            except OSError:
                self.closed = True
                return False
        return True

    def pause_reading(self, seconds: float) -> None:
        """Reads nothing for that many seconds."""
        self._scheduler.sleep(seconds)

    def read_for(self, seconds: float) -> None:
        """Reads what arrives within that many seconds."""
        until = self._scheduler.clock() + seconds
        while self._scheduler.clock() < until and not self.closed:
            self.read_some(until)

    def read_some(self, until: float, size: int = READ_BYTES) -> bool:
        """Reads once; returns whether bytes arrived."""
        if self.closed or not self._wait(READABLE, until):
            return False
        try:
            data = self._sock.recv(size)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            self.closed = True
            return False
        now = self.last_byte_at = self._scheduler.clock()
        self.received_bytes += len(data)
        for answer in self._reader.feed(data):
            self._answers.append((answer, self.partial_since or now, now))
            self.partial_since = 0.0
        self.partial_since = (self.partial_since or now) if self._reader.received else 0.0
        return True

    def answer(self, timeout: float) -> Answer | None:
        """Returns the next answer; None if the connection ends or the time is over before it."""
        until = self._scheduler.clock() + timeout
        while not self._answers and not self.closed and self._scheduler.clock() < until:
            self.read_some(until)
        if not self._answers:
            return None
        answer, self.first_byte_at, self.completed_at = self._answers.popleft()
        return answer

    def partial_bytes(self) -> int:
        """Returns how many bytes of an incomplete answer were received."""
        return len(self._reader.received)

    def is_closed_by_peer(self) -> bool:
        """Whether the limiter has closed the connection, even if bytes are unread."""
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        return self.closed or bool(poll.poll(0))

    def close(self, reset: bool = False) -> None:
        """Closes the connection; with `reset` the limiter receives a reset."""
        if self._sock.fileno() < 0:
            return
        if reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        self._scheduler.unregister(self._sock.fileno())
        self._sock.close()
