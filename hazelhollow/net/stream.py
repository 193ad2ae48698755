"""A TCP socket with a send buffer. It reads, it writes, and it knows no protocol.

A `Stream` is used by one task at a time, which blocks in `wait`, `connect` and
`discard_until_closed`. Failures are returned as a `CloseReason`, never raised.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable, Iterator

from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.ring_buffer import RingBuffer
from hazelhollow.net.scheduler import (
    PEER_CLOSED,
    READABLE,
    TIMED_OUT,
    WOKEN,
    WRITABLE,
    Scheduler,
    Task,
)

READ_CHUNK_BYTES = 64 * 1024
ACCEPT_PAUSE_S = 0.05  # when no descriptor is left
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def connect(
    scheduler: Scheduler,
    address: tuple[str, int],
    max_unsent: int,
    timeout: float,
    on_created: Callable[[Stream], None] = lambda _stream: None,
) -> Stream | CloseReason:
    """Opens a connection; blocks the current task until it is up or has failed.

    Args:
        scheduler: Whose task it is.
        address: Where to.
        max_unsent: Bytes that the send buffer may hold.
        timeout: Seconds in which it has to come up.
        on_created: Gets the stream before it is up, so that it can be closed from elsewhere.
    """
    stream = unconnected(scheduler, max_unsent)
    if isinstance(stream, CloseReason):
        return stream
    on_created(stream)
    failure = stream.connect(address, scheduler.clock() + timeout)
    if failure:
        stream.close(failure)
    return failure or stream


def unconnected(scheduler: Scheduler, max_unsent: int) -> Stream | CloseReason:
    """A stream that `Stream.connect` opens; NO_DESCRIPTOR where no socket is left."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return CloseReason.NO_DESCRIPTOR
    return Stream(scheduler, sock, max_unsent)


def accept_connections(
    scheduler: Scheduler, listener: socket.socket, pause: float = ACCEPT_PAUSE_S
) -> Iterator[socket.socket]:
    """Connections as they come to a listening socket; blocks the current task.

    With no descriptor left it waits `pause` seconds: poll would say at once that a connection
    waits, and the loop would take the processor from everything else.
    """
    while True:
        scheduler.wait(listener.fileno(), READABLE)
        try:
            sock, _ = listener.accept()
        except OSError:
            scheduler.sleep(pause)
            continue
        yield sock


class Stream:
    """One connection; one task at a time reads from it.

    Attributes:
        send_buffer: What was written and not yet taken by the system.
        bytes_sent: That the system has taken since the connection was opened.
        close_reason: Why it is closed; None while it is open.
        on_broken: Called in place of `close` when sending fails.
    """

    __slots__ = (
        "scheduler",
        "send_buffer",
        "bytes_sent",
        "close_reason",
        "on_broken",
        "_sock",
        "_fd",
        "_flush_planned",
        "_task",
    )

    def __init__(self, scheduler: Scheduler, sock: socket.socket, max_unsent: int) -> None:
        """`max_unsent`: bytes that the send buffer may hold."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.scheduler, self._sock, self._fd = scheduler, sock, sock.fileno()
        self.send_buffer = RingBuffer(max_unsent)
        self.bytes_sent = 0
        self.close_reason: CloseReason | None = None
        self.on_broken: Callable[[CloseReason], None] | None = None
        self._flush_planned = False
        self._task: Task | None = None

    def connect(self, address: tuple[str, int], until: float) -> CloseReason | None:
        """Blocks the current task until the connection is up or has failed; gives why it has.

        A stream that did not come up in time is not closed: `await_connected` may go on.
        """
        return self._finish_connecting(self._sock.connect_ex(address), until)

    def await_connected(self, until: float) -> CloseReason | None:
        """Goes on with a `connect` that did not come up in time."""
        return self._finish_connecting(errno.EINPROGRESS, until)

    def _finish_connecting(self, code: int, until: float) -> CloseReason | None:
        while code in (errno.EINPROGRESS, errno.EINTR):
            bits = self.wait(until, WRITABLE)
            if self.close_reason:
                return self.close_reason
            if bits == TIMED_OUT:
                return CloseReason.NEVER_UP
            if bits != WOKEN:
                code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code == 0:
            return None
        if code in NO_DESCRIPTOR_ERRORS or code == errno.EADDRNOTAVAIL:
            return CloseReason.NO_DESCRIPTOR
        refused = code in (errno.ECONNREFUSED, errno.ECONNRESET)
        return CloseReason.REFUSED if refused else CloseReason.NEVER_UP

    def wait(self, until: float | None = None, events: int = READABLE) -> int:
        """Blocks the current task until there is something to read or a part was sent.

        Returns:
            As `Scheduler.wait`; WOKEN also if the stream is closed.
        """
        self._task = self.scheduler.current()
        if self._flush_planned:
            # else poll would be asked for room to write, which there is, and come back at once
            self.flush()
        if self.close_reason:
            return WOKEN
        bits = self.scheduler.wait(self._fd, events | (WRITABLE if self.send_buffer else 0), until)
        if bits > 0 and bits & WRITABLE and self.send_buffer:
            self.flush()
        return bits

    def wait_unwatched(self) -> None:
        """Blocks the current task until it is woken, and takes the socket out of poll's list.

        Every poll costs CPU for each descriptor in its list, and most connections to endpoints are
        idle. That the other side has closed one shows by `is_open_and_quiet` before it is used
        again.
        """
        self._task = self.scheduler.current()
        self.scheduler.unregister(self._fd)
        self.scheduler.wait()

    def is_open_and_quiet(self) -> bool:
        """Whether the other side has neither closed the connection nor sent anything unread."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return self.close_reason is None
        except OSError:
            pass
        return False

    def peer_has_closed(self) -> bool:
        """Whether the other side has closed its sending side, also behind unread bytes."""
        if self.close_reason is not None:
            return True
        poll = select.poll()
        poll.register(self._fd, PEER_CLOSED)
        return bool(poll.poll(0))

    def wake(self) -> None:
        """Ends the wait of the task that uses this stream."""
        if self._task:
            self.scheduler.wake(self._task)

    def read(self, room: int) -> bytes | CloseReason | None:
        """Up to `room` bytes that have come; None if there are none."""
        if self.close_reason:
            return self.close_reason
        try:
            return self._sock.recv(min(room, READ_CHUNK_BYTES)) or CloseReason.CLOSED
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return CloseReason.RESET

    def write(self, data: bytes) -> None:
        """Sends at the end of this turn, or as the other side takes it; dropped if it is closed.

        Raises:
            RingBufferFullError: The send buffer has no room for it.
        """
        if self.close_reason is None:
            self.send_buffer.write(data)
            if not self._flush_planned:
                self._flush_planned = True
                self.scheduler.at_end_of_turn(self.flush)

    def flush(self) -> None:
        """Sends now as much as the system takes."""
        self._flush_planned = False
        while self.send_buffer and self.close_reason is None:
            view = self.send_buffer.peek()
            try:
                sent = self._sock.send(view)
            except (BlockingIOError, InterruptedError):
                self.scheduler.add_interest(self._fd, WRITABLE)
                return
            except OSError:
                self._broken(CloseReason.RESET)
                return
            finally:
                view.release()
            self.bytes_sent += sent
            self.send_buffer.drop(sent)

    def _broken(self, reason: CloseReason) -> None:
        if self.on_broken:
            self.on_broken(reason)
        else:
            self.close(reason)

    def shutdown_send(self) -> None:
        """Closes the sending side: the other side reads all that was sent, then the end.

        What it sends meanwhile can still be read.
        """
        self.flush()
        if self.close_reason is None:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close(CloseReason.RESET)

    def discard_until_closed(self, timeout: float, max_bytes: int) -> None:
        """Blocks the current task until the other side closes too, and drops what it sends.

        A connection that is closed over unread bytes is reset, and what the other side has not read
        yet may be lost with it.

        Args:
            timeout: Seconds to wait at most.
            max_bytes: To drop at most.
        """
        until = self.scheduler.clock() + timeout
        while self.close_reason is None and max_bytes > 0 and self.wait(until) != TIMED_OUT:
            data = self.read(READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                return
            max_bytes -= len(data or b"")

    def close(self, reason: CloseReason) -> None:
        """Closes the socket and drops what was not sent. Only the first reason counts."""
        if self.close_reason is None:
            # `on_broken` refers to an owner that refers to this stream: a cycle
            self.close_reason, self.on_broken = reason, None
            self.send_buffer.clear()
            self.scheduler.unregister(self._fd)
            self._sock.close()
            self.wake()
