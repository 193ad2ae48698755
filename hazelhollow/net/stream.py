"""A TCP socket with a send buffer, independent of the protocol.

A `Stream` is used by one task at a time, which blocks in `wait`, `connect` and
`discard_until_closed`. Connection failures are returned as a `CloseReason` and not raised.
"""

from __future__ import annotations

import errno
import fcntl
import select
import socket
import struct
import sys
import termios
from collections.abc import Callable, Iterator
from contextlib import suppress

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
# Of the operating system's buffers, which would otherwise grow to several MiB for each connection:
# with many slow readers that is far more memory than the process itself may use. The receive buffer
# holds several segments of the loopback device, or its window would be announced late.
SYSTEM_SEND_BUFFER_BYTES = 128 * 1024
SYSTEM_RECEIVE_BUFFER_BYTES = 256 * 1024
LAST_DATA_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv (ms) in <linux/tcp.h>, struct tcp_info
UNTRANSMITTED_BYTES = 0x894B  # SIOCOUTQNSD of <linux/sockios.h>
ACCEPT_PAUSE_S = 0.05  # when no descriptor is left
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# The connection is as it was; the same call may succeed a moment later.
TRANSIENT_ERRORS = (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ENFILE)
TRANSIENT_RETRY_S = 0.01  # poll reports a socket as writable although a send fails for a moment


def connect(
    scheduler: Scheduler,
    address: tuple[str, int],
    max_unsent: int,
    timeout: float,
    on_created: Callable[[Stream], None] = lambda _stream: None,
) -> Stream | CloseReason:
    """Opens a connection; blocks the current task until it is up or has failed.

    Args:
        scheduler: The scheduler that runs the current task.
        address: The address to connect to.
        max_unsent: The maximum number of bytes in the send buffer.
        timeout: Seconds within which the connection has to be established.
        on_created: Receives the stream before it is connected, so that other tasks can close it.
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
    """Creates a stream for `Stream.connect`; returns NO_DESCRIPTOR if no socket is left."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return CloseReason.NO_DESCRIPTOR
    with suppress(OSError):
        # before the connection is up, since it bounds the window that is announced then
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SYSTEM_RECEIVE_BUFFER_BYTES)
    return Stream(scheduler, sock, max_unsent)


def accept_connections(
    scheduler: Scheduler, listener: socket.socket, pause: float = ACCEPT_PAUSE_S
) -> Iterator[socket.socket]:
    """Yields the connections that arrive on a listening socket; blocks the current task.

    If `accept` fails, for example because no descriptor is left, the task pauses for `pause`
    seconds. Otherwise poll would report the waiting connection again immediately, and this loop
    would use all of the CPU.
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
        send_buffer: Bytes that were written but not yet accepted by the operating system.
        bytes_sent: Bytes that the operating system has accepted since the connection was opened.
        sent_at: When it last accepted some (clock); 0 if it never has.
        close_reason: Why the stream is closed; None while it is open.
        on_send_failure: Called in place of `close` when sending fails.
    """

    __slots__ = (
        "scheduler",
        "send_buffer",
        "bytes_sent",
        "sent_at",
        "close_reason",
        "on_send_failure",
        "_sock",
        "_fd",
        "_flush_scheduled",
        "_is_retrying",
        "_room_refused_at",
        "_task",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        max_unsent: int,
        on_resize: Callable[[int], object] | None = None,
    ) -> None:
        """Takes over a socket.

        Args:
            scheduler: The scheduler that runs the tasks which use the stream.
            sock: The socket, connected or not.
            max_unsent: The maximum number of bytes in the send buffer.
            on_resize: Told by how many bytes the send buffer's memory grows or shrinks.
        """
        sock.setblocking(False)
        with suppress(OSError):  # a connection that has broken meanwhile: reading tells
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SYSTEM_SEND_BUFFER_BYTES)
        self.scheduler, self._sock, self._fd = scheduler, sock, sock.fileno()
        self.send_buffer = RingBuffer(max_unsent, on_resize)
        self.bytes_sent, self.sent_at = 0, 0.0
        self.close_reason: CloseReason | None = None
        self.on_send_failure: Callable[[CloseReason], None] | None = None
        self._flush_scheduled = False
        self._is_retrying = False  # a transient failure; a timer sends again
        # `bytes_sent` when `has_room` last said no; None if the task does not wait for room.
        self._room_refused_at: int | None = None
        self._task: Task | None = None

    def connect(self, address: tuple[str, int], until: float) -> CloseReason | None:
        """Blocks the current task until the connection is up or has failed.

        A stream that was not connected in time is not closed: `await_connected` may continue.

        Returns:
            Why it failed; None if the connection is up.
        """
        return self._finish_connecting(self._sock.connect_ex(address), until)

    def await_connected(self, until: float) -> CloseReason | None:
        """Continues a `connect` that was not finished in time; returns as `connect` does."""
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
        """Blocks the current task until the socket is readable or buffered bytes were sent.

        Returns:
            The result of `Scheduler.wait`; WOKEN also if the stream is closed, or if bytes were
            sent after `has_room` had said no.
        """
        self._task = self.scheduler.current()
        if self._flush_scheduled and not self._is_retrying:
            # otherwise poll would wait for WRITABLE, which usually holds, and return immediately
            self.flush()
        bits = WOKEN
        if not self.close_reason and not self._has_new_room():
            waits_to_send = self.send_buffer and not self._is_retrying
            bits = self.scheduler.wait(self._fd, events | (WRITABLE if waits_to_send else 0), until)
        if bits > 0 and bits & WRITABLE and self.send_buffer:
            self.flush()
        self._room_refused_at = None
        return bits

    def wait_unwatched(self) -> None:
        """Blocks the current task until it is woken, and stops polling the socket.

        Every poll costs CPU for each registered descriptor, and most connections to endpoints are
        idle. If the other side closes one, `is_open_without_unread_input` detects it before the
        next use.
        """
        self._task = self.scheduler.current()
        self.scheduler.unregister(self._fd)
        self.scheduler.wait()

    def is_open_without_unread_input(self) -> bool:
        """Whether the other side has neither closed the connection nor sent anything unread."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return self.close_reason is None and error.errno in (errno.EAGAIN, errno.EINTR)
        return False

    def peek(self, size: int) -> bytes:
        """Returns up to `size` received bytes and leaves them unread; empty if there are none."""
        try:
            return b"" if self.close_reason else self._sock.recv(size, socket.MSG_PEEK)
        except OSError:
            return b""

    def enlarge_receive_buffer(self) -> None:
        """Lets the operating system hold more bytes that are not read yet."""
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SYSTEM_RECEIVE_BUFFER_BYTES)

    def unread_bytes(self) -> int:
        """Returns how many received bytes are unread; 0 if the operating system cannot tell."""
        return self._count_of(termios.FIONREAD) or 0

    def has_transmitted_all(self) -> bool:
        """Whether no byte waits here to be transmitted; a closed connection resets what arrives."""
        return not self.send_buffer and self._count_of(UNTRANSMITTED_BYTES) == 0

    def _count_of(self, request: int) -> int | None:
        """Returns a count of the operating system; None if it cannot tell."""
        try:
            count = b"" if self.close_reason else fcntl.ioctl(self._fd, request, bytes(4))
        except OSError:
            return None
        return int.from_bytes(count, sys.byteorder)

    def seconds_since_last_input(self) -> float:
        """Returns how long ago the operating system received the last bytes; 0 if it cannot tell.

        They may have waited with their connection in the accept queue.
        """
        try:
            info = self._sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED_OFFSET + 4
            )
        except OSError:
            return 0.0
        if len(info) < LAST_DATA_RECEIVED_OFFSET + 4:
            return 0.0
        (milliseconds,) = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)
        return float(milliseconds) / 1000.0

    def peer_has_closed(self) -> bool:
        """Whether the other side has closed its sending side, even if bytes are still unread."""
        if self.close_reason is not None:
            return True
        poll = select.poll()
        poll.register(self._fd, PEER_CLOSED)
        try:
            return bool(poll.poll(0))
        except OSError:  # no memory for a moment: the event loop's own poll tells soon
            return False

    def wake(self) -> None:
        """Wakes the task that uses this stream."""
        if self._task:
            self.scheduler.wake(self._task)

    def read(self, room: int) -> bytes | CloseReason | None:
        """Returns up to `room` received bytes, None if there are none, or why reading failed."""
        if self.close_reason:
            return self.close_reason
        try:
            return self._sock.recv(min(room, READ_CHUNK_BYTES)) or CloseReason.CLOSED
        except OSError as error:
            return None if error.errno in TRANSIENT_ERRORS else CloseReason.RESET

    def has_room(self, size: int) -> bool:
        """Whether the send buffer has room for `size` bytes.

        If not, the task's `wait` returns as soon as buffered bytes have been sent, whichever call
        of `flush` sends them; the task then has to ask again. Guards against a task that waits for
        room nobody announces: the flush at the end of a turn may empty the buffer at once, and poll
        then has no WRITABLE event to report.
        """
        if size <= self.send_buffer.room():
            return True
        self._room_refused_at = self.bytes_sent
        return False

    def room_below(self, limit: int) -> int:
        """Returns how many bytes may be written before the send buffer holds `limit` bytes.

        Returns 0 while it is more than half full, so that few large pieces are written and not many
        small ones. After 0, the task's `wait` returns as with `has_room`.
        """
        held = len(self.send_buffer)
        if 2 * held <= limit:
            return limit - held
        self._room_refused_at = self.bytes_sent
        return 0

    def _has_new_room(self) -> bool:
        return self._room_refused_at is not None and self.bytes_sent > self._room_refused_at

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Buffers data to be sent from the end of this turn on; drops it if the stream is closed.

        Raises:
            RingBufferFullError: The send buffer has not enough room.
        """
        if self.close_reason is None:
            self.send_buffer.write(data)
            if not self._flush_scheduled:
                self._flush_scheduled = True
                self.scheduler.at_end_of_turn(self.flush)

    def flush(self) -> None:
        """Sends as much of the send buffer as the operating system accepts."""
        self._flush_scheduled = self._is_retrying = False
        while self.send_buffer and self.close_reason is None:
            view = self.send_buffer.peek()
            try:
                sent = self._sock.send(view)
            except BlockingIOError:
                self.scheduler.add_interest(self._fd, WRITABLE)
                return
            except OSError as error:
                if error.errno in TRANSIENT_ERRORS:
                    self._retry_flush()
                else:
                    self._handle_send_failure(CloseReason.RESET)
                return
            finally:
                view.release()
            self.bytes_sent += sent
            self.sent_at = self.scheduler.clock()
            self.send_buffer.drop(sent)
            if self._room_refused_at is not None:
                self.wake()

    def _retry_flush(self) -> None:
        """Sends again a little later; poll cannot tell when the call will succeed."""
        if not self._is_retrying:
            self._flush_scheduled = self._is_retrying = True
            retry_at = self.scheduler.clock() + TRANSIENT_RETRY_S
            self.scheduler.at(retry_at, self.flush)

    def _handle_send_failure(self, reason: CloseReason) -> None:
        if self.on_send_failure:
            self.on_send_failure(reason)
        else:
            self.close(reason)

    def shutdown_send(self) -> None:
        """Closes the sending side: the other side reads all that was sent, then end-of-file.

        Bytes from the other side can still be read.
        """
        self.flush()
        if self.close_reason is None:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close(CloseReason.RESET)

    def discard_until_closed(self, timeout: float, max_bytes: int) -> None:
        """Blocks the current task until the other side closes too, and drops received bytes.

        Closing a socket that has unread bytes resets the connection, and data that the other side
        has not read yet may be lost.

        Args:
            timeout: The maximum time to wait, in seconds.
            max_bytes: The maximum number of bytes to drop.
        """
        until = self.scheduler.clock() + timeout
        while self.close_reason is None and max_bytes > 0 and self.wait(until) != TIMED_OUT:
            data = self.read(READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                return
            max_bytes -= len(data or b"")

    def set_linger(self, option: bytes) -> None:
        """Sets SO_LINGER, with which stand-ins reset a connection."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def close(self, reason: CloseReason) -> None:
        """Closes the socket and drops unsent bytes; later calls have no effect."""
        if self.close_reason is None:
            # `on_send_failure` refers to an owner that refers to this stream: dropping it breaks
            # the reference cycle.
            self.close_reason, self.on_send_failure = reason, None
            self.send_buffer.clear()
            self.scheduler.unregister(self._fd)
            self._sock.close()
            self.wake()
