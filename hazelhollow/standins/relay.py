"""A stand-in for the network between processes of this machine: UDP and TCP, with faults.

Each process has a name (`n0`, `h1`, `d`). For each pair of processes the relay has an address that
represents the receiver to the sender, and one that represents the sender to the receiver. A
datagram arrives at the first and is sent on from the second, so that both processes see the peer
address that they are configured with. The relay does not change any data.
"""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from hazelhollow.net import stream
from hazelhollow.net.scheduler import READABLE, Scheduler
from hazelhollow.standins.link_faults import NO_FAULT, Link, LinkFault
from hazelhollow.standins.relayed_connection import Direction, RelayedConnection

Address = tuple[str, int]
Pair = tuple[str, str]  # names of sender and receiver
MAX_STALLED_DATAGRAMS = 2000  # held back in one direction
MAX_DATAGRAM_BYTES = 65536
MAX_DATAGRAMS_PER_READ = 64  # read from a socket before other tasks run
REORDERING_DELAY_S = 0.05


class DatagramRoute(NamedTuple):
    """How datagrams of one direction are relayed.

    Attributes:
        listen: the relay's address to which the sender sends.
        source: the sender's own address; datagrams from other addresses are dropped.
        target: the receiver's own address.
    """

    listen: Address
    source: Address
    target: Address


class Datagram(NamedTuple):
    """A datagram to send on, the socket to send it from, and the receiver's own address."""

    data: bytes
    out: socket.socket
    target: Address


class Relay:
    """All links between the processes of a run, and the sockets that connect them."""

    def __init__(self, scheduler: Scheduler, seed: int) -> None:
        self.scheduler, self.random = scheduler, random.Random(seed)
        self.links: dict[Pair, Link] = {}
        self._connections: dict[RelayedConnection, None] = {}
        self._last_fault = 0
        self._sockets: list[socket.socket] = []
        self._datagram_sockets: dict[Pair, socket.socket] = {}
        self.on_datagram: Callable[[bytes], None] | None = None  # called for each one that passes

    def link(self, sender: str, receiver: str) -> Link:
        """Returns the link from `sender` to `receiver`."""
        return self.links.setdefault((sender, receiver), Link())

    def datagram_socket(self, sender: str, receiver: str) -> socket.socket:
        """Returns the socket that represents `receiver` to `sender`."""
        return self._datagram_sockets[sender, receiver]

    # Faults

    def begin(self, fault: LinkFault, pairs: list[Pair]) -> int:
        """Activates a fault on each of these directions; returns the number that `end` takes."""
        self._last_fault += 1
        for pair in pairs:
            self.link(*pair).add(self._last_fault, fault)
        if fault.reset:
            self._reset_connections(set(pairs))
        return self._last_fault

    def end(self, number: int) -> None:
        """Ends a fault.

        Datagrams held back by a stall are sent on. Connections whose bytes a partition held back
        are reset, as their peers would have timed out by then.
        """
        for pair, link in self.links.items():
            before = link.active
            if not link.remove(number):
                continue
            if before.stalled and not link.active.stalled:
                sends, link.stalled_sends = link.stalled_sends, []
                for send in sends:
                    send()
            if before.partitioned and not link.active.partitioned:
                self._reset_connections({pair}, only_with_lost_bytes=True)
            for connection in list(self._connections):
                if pair in (connection.forward.pair, connection.backward.pair):
                    connection.wake()

    def heal(self) -> None:
        """Ends every fault."""
        for number in sorted({number for link in self.links.values() for number in link.faults}):
            self.end(number)

    def _reset_connections(self, pairs: set[Pair], only_with_lost_bytes: bool = False) -> None:
        for connection in list(self._connections):
            affected = [
                direction
                for direction in (connection.forward, connection.backward)
                if direction.pair in pairs
            ]
            lost_bytes = any(direction.lost_bytes for direction in affected)
            if affected and (lost_bytes or not only_with_lost_bytes):
                connection.reset()

    # Datagrams

    def relay_datagrams(self, sender: str, receiver: str, route: DatagramRoute) -> None:
        """Relays the datagrams that `sender` sends to `receiver`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(route.listen)
        self._sockets.append(sock)
        self._datagram_sockets[sender, receiver] = sock
        self.link(sender, receiver)
        self.scheduler.spawn_supervised(
            lambda: self._read_datagrams(sock, (sender, receiver), route), "relay"
        )

    def _read_datagrams(self, sock: socket.socket, pair: Pair, route: DatagramRoute) -> None:
        link, (sender, receiver) = self.link(*pair), pair
        while True:
            self.scheduler.wait(sock.fileno(), READABLE)
            for _ in range(MAX_DATAGRAMS_PER_READ):
                try:
                    data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
                except OSError:
                    break
                # The socket that represents the sender to the receiver.
                out = self._datagram_sockets.get((receiver, sender))
                if source == route.source and out is not None:
                    self.forward(link, Datagram(data, out, route.target))

    def forward(self, link: Link, datagram: Datagram) -> None:
        """Applies the link's faults to a datagram: sends it on, delays, duplicates or drops it."""
        fault, now, draw = link.active, self.scheduler.clock(), self.random.random
        send = partial(self._send, link, datagram)
        if fault is NO_FAULT:
            send()
            return
        if (
            fault.partitioned
            or fault.reset
            or (fault.loss and draw() < fault.loss)
            or not link.consume_token(now)
        ):
            link.lost += 1
            return
        if fault.stalled:
            if len(link.stalled_sends) < MAX_STALLED_DATAGRAMS:
                link.stalled_sends.append(send)
            return
        delay = fault.delay
        if fault.reordering and draw() < fault.reordering:
            delay += REORDERING_DELAY_S
        for _ in range(2 if fault.duplication and draw() < fault.duplication else 1):
            if delay:
                self.scheduler.at(now + delay, send)
            else:
                send()

    def _send(self, link: Link, datagram: Datagram) -> None:
        link.passed += 1
        link.bytes += len(datagram.data)
        if self.on_datagram:
            self.on_datagram(datagram.data)
        try:
            datagram.out.sendto(datagram.data, datagram.target)
        except OSError:  # no process listens there, or the error of an earlier datagram is reported
            link.lost += 1

    # TCP

    def relay_connections(
        self, sender: str, receiver: str, listen: Address, target: Address
    ) -> None:
        """Relays connections that `sender` opens at `listen` to `receiver` at `target`."""
        sock = socket.create_server(listen, backlog=128)
        sock.setblocking(False)
        self._sockets.append(sock)
        self.scheduler.spawn_supervised(
            lambda: self._accept(sock, (sender, receiver), target), "relay"
        )

    def _accept(self, sock: socket.socket, pair: Pair, target: Address) -> None:
        sender, receiver = pair
        for near in stream.accept_connections(self.scheduler, sock):
            directions = (
                Direction((sender, receiver), self.link(sender, receiver)),
                Direction((receiver, sender), self.link(receiver, sender)),
            )
            connection = RelayedConnection(self.scheduler, near, directions, self._remove)
            self._connections[connection] = None
            self.scheduler.spawn(connection.run, target, name="relay connection")

    def _remove(self, connection: RelayedConnection) -> None:
        self._connections.pop(connection, None)

    def counts(self) -> dict[str, Counter[str]]:
        """Returns datagrams and bytes passed and datagrams lost, by direction (`n0>n1`)."""
        return {
            f"{sender}>{receiver}": Counter(passed=link.passed, bytes=link.bytes, lost=link.lost)
            for (sender, receiver), link in self.links.items()
        }

    def close(self) -> None:
        """Resets all connections and closes all sockets."""
        for connection in list(self._connections):
            connection.reset()
        for sock in self._sockets:
            self.scheduler.unregister(sock.fileno())
            sock.close()
        self._sockets.clear()
