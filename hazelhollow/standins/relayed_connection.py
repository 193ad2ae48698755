"""A TCP connection through the relay: copies both directions, subject to their links' faults."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import Scheduler, Task
from hazelhollow.standins.link_faults import Link

MAX_BUFFERED_BYTES = 1 << 20  # in one direction
TIMEOUT_S = 1.0  # for connecting, and for sending the remaining bytes when one side has ended
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 seconds


@dataclass(eq=False)
class Direction:
    """One direction of a connection.

    Attributes:
        pair: names of sender and receiver.
        link: the link whose faults affect the direction.
        lost_bytes: whether a partition has affected the direction while it had data to pass.
    """

    pair: tuple[str, str]
    link: Link
    lost_bytes: bool = False

    def is_blocked(self) -> bool:
        """Whether nothing may pass now; sets `lost_bytes` if a partition is the reason."""
        fault = self.link.active
        self.lost_bytes |= fault.partitioned
        return fault.partitioned or fault.stalled


class RelayedConnection:
    """A connection between the accepted socket `near` and the one that `run` opens.

    `on_end` is called when the connection has ended.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        near: socket.socket,
        directions: tuple[Direction, Direction],
        on_end: Callable[[RelayedConnection], None],
    ) -> None:
        self._scheduler, self._sockets, self._on_end = scheduler, [near], on_end
        self.forward, self.backward = directions
        self._near = stream.Stream(scheduler, near, MAX_BUFFERED_BYTES)
        self._far: stream.Stream | None = None
        self._tasks: list[Task] = []
        self._is_reset = False

    def wake(self) -> None:
        """Makes the connection's tasks check the links' faults and the reset flag again."""
        for task in self._tasks:
            self._scheduler.wake(task)

    def run(self, target: tuple[str, int]) -> None:
        """Connects to `target` and copies until both sides have ended."""
        self._tasks.append(self._scheduler.current())
        if self.forward.link.active.reset or self.backward.link.active.reset:
            self.reset()
        # `|` evaluates both directions, so that each records whether a partition holds bytes back.
        while not self._is_reset and self.forward.is_blocked() | self.backward.is_blocked():
            self._scheduler.wait()
        if self._is_reset:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        far = self._far = stream.Stream(self._scheduler, sock, MAX_BUFFERED_BYTES)
        self._sockets.append(sock)
        if far.connect(target, self._scheduler.clock() + TIMEOUT_S) or self._is_reset:
            self.reset()
            far.close(CloseReason.RESET)
            return
        self._scheduler.spawn(self._copy, far, self._near, self.backward, name="relay connection")
        self._copy(self._near, far, self.forward)

    def _copy(self, source: stream.Stream, target: stream.Stream, direction: Direction) -> None:
        scheduler = self._scheduler
        if scheduler.current() not in self._tasks:
            self._tasks.append(scheduler.current())
        while not self._is_reset and source.close_reason is None:
            source.wait()
            data = source.read(stream.READ_CHUNK_BYTES)
            if data is None:
                continue
            while not self._is_reset and direction.is_blocked():
                scheduler.wait()
            if direction.link.active.delay and not self._is_reset:
                scheduler.sleep(direction.link.active.delay)
            if isinstance(data, CloseReason):
                break
            if not self._is_reset:
                target.write(data)
                target.flush()
        self._finish(source, target)

    def _finish(self, source: stream.Stream, target: stream.Stream) -> None:
        """Closes both sides once the target has received the buffered bytes."""
        until = self._scheduler.clock() + TIMEOUT_S
        while (
            target.send_buffer and target.close_reason is None and self._scheduler.clock() < until
        ):
            target.wait(until, 0)
        for side in (source, target):
            side.close(CloseReason.CLOSED)
        self._on_end(self)

    def reset(self) -> None:
        """Ends the connection with a reset at both ends."""
        if self._is_reset:
            return
        self._is_reset = True
        for side, sock in zip((self._near, self._far), self._sockets, strict=False):
            if side is not None and side.close_reason is None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                side.close(CloseReason.RESET)
        self._on_end(self)
        self.wake()
