"""The thin driver between a socket and the rings: it reads, it writes and it knows no protocol."""

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
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def connect(
    scheduler: Scheduler,
    address: tuple[str, int],
    most: int,
    timeout: float,
    keep: Callable[[Stream], None] = lambda stream: None,
) -> Stream | CloseReason:
    """A new connection.

    Blocks its task until it is up or has failed; `keep` gets hold of it before.
    """
    stream = unconnected(scheduler, most)
    if isinstance(stream, CloseReason):
        return stream
    keep(stream)
    ending = stream.establish(address, scheduler.clock() + timeout)
    if ending:
        stream.close(ending)
    return ending or stream


def unconnected(scheduler: Scheduler, most: int) -> Stream | CloseReason:
    """A socket for a connection that `Stream.establish` begins.

    NO_DESCRIPTOR where this machine has none left.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return CloseReason.NO_DESCRIPTOR
    return Stream(scheduler, sock, most)


def accept_connections(
    scheduler: Scheduler, listener: socket.socket, pause: float = 0.05
) -> Iterator[socket.socket]:
    """Connections as they come to a listening socket.

    With no descriptor left it pauses first: poll would say at once that a connection waits, and the
    loop would take the processor from all else.
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
    """One connection; one task at a time reads from it."""

    __slots__ = (
        "scheduler",
        "out",
        "written",
        "ending",
        "on_broken",
        "_sock",
        "_fd",
        "_dirty",
        "_task",
    )

    def __init__(self, scheduler: Scheduler, sock: socket.socket, most: int) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.scheduler, self._sock, self._fd = scheduler, sock, sock.fileno()
        self.out = RingBuffer(most)
        self.written = 0  # bytes that the system has taken
        self.ending: CloseReason | None = None
        self.on_broken: Callable[[CloseReason], None] | None = None
        self._dirty = False
        self._task: Task | None = None

    def establish(self, address: tuple[str, int], until: float) -> CloseReason | None:
        """Begins to connect and blocks its task until the connection is up or has failed.

        Why it has, if it has.
        """
        return self._await_connected(self._sock.connect_ex(address), until)

    def await_connected(self, until: float) -> CloseReason | None:
        """Goes on with what `establish` has begun and given up waiting for."""
        return self._await_connected(errno.EINPROGRESS, until)

    def _await_connected(self, code: int, until: float) -> CloseReason | None:
        while code in (errno.EINPROGRESS, errno.EINTR):
            bits = self.wait(until, WRITABLE)
            if self.ending:
                return self.ending
            if bits == TIMED_OUT:
                return CloseReason.NEVER_UP
            if bits != WOKEN:
                code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code == 0:
            return None
        if code in NO_DESCRIPTOR or code == errno.EADDRNOTAVAIL:
            return CloseReason.NO_DESCRIPTOR
        return (
            CloseReason.REFUSED
            if code in (errno.ECONNREFUSED, errno.ECONNRESET)
            else CloseReason.NEVER_UP
        )

    def wait(self, until: float | None = None, events: int = READABLE) -> int:
        """Until there is something to read, or a part of what waits to be written has gone out."""
        self._task = self.scheduler.current()
        if self._dirty:
            # else poll would be asked for room to write, which there is, and come back at once
            self.flush()
        if self.ending:
            return WOKEN
        bits = self.scheduler.wait(self._fd, events | (WRITABLE if self.out else 0), until)
        if bits > 0 and bits & WRITABLE and self.out:
            self.flush()
        return bits

    def rest(self) -> None:
        """Until woken, with nothing expected from the other side and so without a place in poll's
        list.

        Each blocking poll costs some 0.35 µs of CPU a descriptor in its list, and most connections
        to backend hosts are idle. Their end shows by `alive` before they are used again.
        """
        self._task = self.scheduler.current()
        self.scheduler.unregister(self._fd)
        self.scheduler.wait()

    def alive(self) -> bool:
        """Whether the other side has neither ended the connection nor said anything unasked."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return self.ending is None
        except OSError:
            pass
        return False

    def peer_has_closed(self) -> bool:
        """Whether the other side has ended its sending, also behind unread bytes."""
        if self.ending is not None:
            return True
        poll = select.poll()
        poll.register(self._fd, PEER_CLOSED)
        return bool(poll.poll(0))

    def wake(self) -> None:
        if self._task:
            self.scheduler.wake(self._task)

    def read(self, room: int) -> bytes | CloseReason | None:
        """What has come; nothing if it was a false alarm."""
        if self.ending:
            return self.ending
        try:
            return self._sock.recv(min(room, READ_CHUNK_BYTES)) or CloseReason.CLOSED
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return CloseReason.RESET

    def write(self, data: bytes) -> None:
        """Goes out at the end of this turn, or as the other side takes it."""
        if self.ending is None:
            self.out.write(data)
            if not self._dirty:
                self._dirty = True
                self.scheduler.at_end_of_turn(self.flush)

    def flush(self) -> None:
        self._dirty = False
        while self.out and self.ending is None:
            view = self.out.peek()
            try:
                sent = self._sock.send(view)
            except (BlockingIOError, InterruptedError):
                self.scheduler.listen_also_for(self._fd, WRITABLE)
                return
            except OSError:
                self._broken(CloseReason.RESET)
                return
            finally:
                view.release()
            self.written += sent
            self.out.drop(sent)

    def _broken(self, ending: CloseReason) -> None:
        if self.on_broken:
            self.on_broken(ending)
        else:
            self.close(ending)

    def shutdown_send(self) -> None:
        """The other side reads all that was written and then the end.

        What it says meanwhile can still be read.
        """
        self.flush()
        if self.ending is None:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close(CloseReason.RESET)

    def drain(self, seconds: float, most: int) -> None:
        """Blocks its task until the other side has ended too, for so long and so many bytes at
        most. Closed over bytes that nobody has read, a connection is reset, and what the other
        side has not read yet may be lost with it.
        """
        until = self.scheduler.clock() + seconds
        while self.ending is None and most > 0 and self.wait(until) != TIMED_OUT:
            data = self.read(READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                return
            most -= len(data or b"")

    def close(self, ending: CloseReason) -> None:
        """Drops what was not written. Only the first ending counts."""
        if self.ending is None:
            self.ending, self.on_broken = ending, None  # what it calls holds this stream in turn
            self.out.clear()
            self.scheduler.unregister(self._fd)
            self._sock.close()
            self.wake()
