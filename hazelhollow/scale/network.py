"""The network side of hollow limiters.

The real sockets between limiters, with meters, faults and a ledger of datagrams.
"""

from __future__ import annotations

import socket
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.stats import Stats
from hazelhollow.scale.measure import Meter, datagram_role, size_on_wire
from hazelhollow.scale.results import Role
from hazelhollow.scale.topology import CutPredicate, no_cut

UDP_TABLE = Path("/proc/net/udp")
INODE, DROPS = 9, 12  # columns of that table
LOOPBACK_BYTES = 1 << 18  # that a socket may hold for a limiter whose worker has others to play

ABSENT_PORT = (
    # at which nobody listens on the loopback: of limiters that the settings name and the run does
    # not play
    9
)


class DatagramLedger(msgspec.Struct):
    """Datagrams of all limiters of a process over a whole run.

    What went out is what came in and what was lost. Words to a limiter's own address are in
    neither.
    """

    out: int = 0
    came: int = 0
    cut: int = 0
    to_dead: int = 0
    dropped: int = 0  # by the system, for want of room in a socket

    def add(self, other: DatagramLedger) -> None:
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def lost(self) -> int:
        return self.cut + self.to_dead + self.dropped


class MeteredSocket(socket.socket):
    """Counts the processor time in which datagrams are read."""

    meter: Meter

    def recvfrom(self, bufsize: int, flags: int = 0, /) -> tuple[bytes, tuple[str, int]]:
        before = time.thread_time_ns()
        data, sender = super().recvfrom(bufsize, flags)
        self.meter.more(datagram_role(data[:1].decode("latin-1")), time.thread_time_ns() - before)
        return data, sender


class NetworkState:
    """What the limiters of one process share.

    The faults between limiters, the ledger and the meter.
    """

    def __init__(self, meter: Meter) -> None:
        self.meter, self.ledger = meter, DatagramLedger()
        self.cut: CutPredicate = no_cut


class HollowPeerSocket(PeerSocket):
    """The real datagrams of one limiter, through all of its incarnations.

    While it is `dead`, what comes is counted and dropped.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        wire: NetworkState,
        number: int,
        listen: tuple[str, int],
        second: Callable[[], int],
    ) -> None:
        super().__init__(scheduler, Stats(), listen, (), lambda sender, text: None)
        self._wire, self._number, self._second = wire, number, second
        sock = MeteredSocket(fileno=self._sock.detach())
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LOOPBACK_BYTES)
        sock.meter = wire.meter
        self._sock = sock
        self.dead = True
        self.bytes_by_second = Counter[int]()

    def renew(self, stats: Stats, heard: Callable[[int, str], None]) -> None:
        """A new incarnation of this limiter listens here."""
        self._stats, self.on_message, self.on_unknown_sender, self.dead = stats, heard, None, False
        self.on_sent = None

    def send(self, address: tuple[str, int] | None, text: str) -> None:
        before = self._stats.told
        super().send(address, text)
        if self._stats.told == before:
            return
        size = len(text)
        self._wire.meter.sent(datagram_role(text), size)
        self._wire.ledger.out += 1
        self._wire.ledger.to_dead += address is not None and address[1] == ABSENT_PORT
        self.bytes_by_second[self._second()] += size_on_wire(size)

    def _take(self, data: bytes, sender: tuple[str, int]) -> None:
        wire, role = self._wire, datagram_role(data[:1].decode("latin-1"))
        # the view's word to a process that may have the same number
        if sender[0] == self.address[0]:
            if not self.dead:
                wire.meter.turn(Role.VIEW, super()._take, data, sender)
            return
        number = self._numbers.get(sender, -1)
        if self.dead:
            wire.ledger.to_dead += 1
        elif wire.cut(number, self._number):
            wire.ledger.cut += 1
        else:
            wire.ledger.came += 1
            wire.meter.came(role, len(data))
            wire.meter.turn(role, super()._take, data, sender)

    def inode(self) -> int:
        """By which the system's table names its socket."""
        return Path(f"/proc/self/fd/{self._sock.fileno()}").stat().st_ino

    def close(self) -> None:
        self._scheduler.unregister(self._sock.fileno())
        self._sock.close()


def absent_address(number: int) -> tuple[str, int]:
    """Of a limiter that is not played."""
    return f"127.1.{number // 250}.{1 + number % 250}", ABSENT_PORT


def dropped(inodes: set[int]) -> int:
    """Datagrams that the system has dropped at these sockets.

    Raises OSError where it does not tell.
    """
    rows = [line.split() for line in UDP_TABLE.read_text().splitlines()[1:]]
    return sum(int(row[DROPS]) for row in rows if int(row[INODE]) in inodes)
