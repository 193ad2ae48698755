"""The sockets of hollow limiters: real datagrams over loopback, measured and subject to partitions.

`HollowPeerSocket` is the `PeerSocket` of one limiter through all its incarnations. All sockets of a
process share one `NetworkState`: the meter, the partition in force and the ledger of datagrams. At
the end of a run the ledger must balance: each datagram that was sent has been received, dropped by
a partition, addressed to a limiter that is down or absent, or dropped by the operating system.
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
INODE_COLUMN = 9  # of that table
DROPS_COLUMN = 12  # of that table
# The buffer must hold the datagrams that arrive while the process runs its other limiters.
RECEIVE_BUFFER_BYTES = 1 << 18
# Absent limiters are those that the settings name and the run leaves out. Nothing listens at their
# port.
ABSENT_PORT = 9
ABSENT_HOSTS_PER_SUBNET = 250  # values of the last octet that addresses of absent limiters use


class DatagramLedger(msgspec.Struct):
    """Datagrams of all limiters of a process over a whole run.

    Datagrams that a limiter sends to its own address count as neither sent nor received.

    Attributes:
        out: Datagrams sent.
        came: Datagrams received and handled.
        cut: Datagrams received but dropped by the partition in force.
        to_dead: Datagrams addressed to limiters that are down or absent.
        dropped: Datagrams dropped by the operating system because a buffer was full.
    """

    out: int = 0
    came: int = 0
    cut: int = 0
    to_dead: int = 0
    dropped: int = 0

    def add(self, other: DatagramLedger) -> None:
        """Adds another process's counts."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def lost(self) -> int:
        """Returns the number of datagrams that were sent but not handled, for any reason."""
        return self.cut + self.to_dead + self.dropped


class MeteredSocket(socket.socket):
    """A socket that charges the processor time of reading a datagram to the datagram's role."""

    meter: Meter

    def recvfrom(self, bufsize: int, flags: int = 0, /) -> tuple[bytes, tuple[str, int]]:
        """Reads a datagram, as `socket.socket.recvfrom` does."""
        before = time.thread_time_ns()
        data, sender = super().recvfrom(bufsize, flags)
        self.meter.add_cpu_time(
            datagram_role(data[:1].decode("latin-1")), time.thread_time_ns() - before
        )
        return data, sender


class NetworkState:
    """State shared by the sockets of a process: the meter, the partition in force, the ledger."""

    def __init__(self, meter: Meter) -> None:
        self.meter, self.ledger = meter, DatagramLedger()
        self.is_cut: CutPredicate = no_cut


class HollowPeerSocket(PeerSocket):
    """The socket of one limiter, through all its incarnations.

    While no incarnation runs (`dead`), it counts and drops all datagrams that it receives.

    Args:
        scheduler: The scheduler of the process.
        network: State shared by the sockets of the process.
        number: The limiter's number.
        listen: Address to bind.
        current_second: Returns the second of the current window, for `bytes_by_second`.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        network: NetworkState,
        number: int,
        listen: tuple[str, int],
        current_second: Callable[[], int],
    ) -> None:
        super().__init__(scheduler, Stats(), listen, (), _ignore_message)
        self._network, self._number, self._current_second = network, number, current_second
        sock = MeteredSocket(fileno=self._sock.detach())
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.meter = network.meter
        self._sock = sock
        self.dead = True
        self.bytes_by_second = Counter[int]()

    def attach_incarnation(self, stats: Stats, on_message: Callable[[int, str], None]) -> None:
        """Delivers all later datagrams to a new incarnation of the limiter."""
        self._stats, self.on_message, self.on_unknown_sender = stats, on_message, None
        self.dead = False
        self.on_sent = None

    def send(self, address: tuple[str, int] | None, text: str) -> None:
        """Sends a datagram, as `PeerSocket.send` does, and counts it if it was sent."""
        before = self._stats.told
        super().send(address, text)
        if self._stats.told == before:
            return
        size = len(text)
        self._network.meter.record_sent(datagram_role(text), size)
        self._network.ledger.out += 1
        self._network.ledger.to_dead += address is not None and address[1] == ABSENT_PORT
        self.bytes_by_second[self._current_second()] += size_on_wire(size)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        network, role = self._network, datagram_role(data[:1].decode("latin-1"))
        # Membership's announcement to its own address, which detects another process with the same
        # number. It leaves through another socket and is therefore not in the ledger.
        if sender[0] == self.address[0]:
            if not self.dead:
                network.meter.measure_call(Role.VIEW, super()._handle_datagram, data, sender)
            return
        number = self._numbers.get(sender, -1)
        if self.dead:
            network.ledger.to_dead += 1
        elif network.is_cut(number, self._number):
            network.ledger.cut += 1
        else:
            network.ledger.came += 1
            network.meter.record_received(role, len(data))
            network.meter.measure_call(role, super()._handle_datagram, data, sender)

    def inode(self) -> int:
        """Returns the inode that identifies this socket in the system's table of sockets."""
        return Path(f"/proc/self/fd/{self._sock.fileno()}").stat().st_ino

    def close(self) -> None:
        """Closes the socket."""
        self._scheduler.unregister(self._sock.fileno())
        self._sock.close()


def absent_address(number: int) -> tuple[str, int]:
    """Returns the address of an absent limiter, at which nothing listens."""
    subnet, host = divmod(number, ABSENT_HOSTS_PER_SUBNET)
    return f"127.1.{subnet}.{1 + host}", ABSENT_PORT


def dropped_datagrams(inodes: set[int]) -> int:
    """Returns the number of datagrams that the operating system has dropped at these sockets.

    Raises:
        OSError: The system's table of sockets cannot be read.
    """
    rows = [line.split() for line in UDP_TABLE.read_text().splitlines()[1:]]
    return sum(int(row[DROPS_COLUMN]) for row in rows if int(row[INODE_COLUMN]) in inodes)


def _ignore_message(_sender: int, _text: str) -> None:
    """Ignores a message that arrives before the first incarnation is attached."""
