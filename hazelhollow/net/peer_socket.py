"""Datagrams between limiters, on one UDP socket.

A sender is identified by its address. A datagram from an address that belongs to no peer is
dropped, unless `on_unknown_sender` accepts it. Gossip, membership, replication and configuration
share this socket: each of them wraps the previous `on_message` and passes on messages that are not
its own.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Sequence

from hazelhollow.net.scheduler import READABLE, Scheduler
from hazelhollow.net.stats import Stats

MAX_DATAGRAM_BYTES = 256  # the platform's limit
MAX_READS_PER_TURN = 64  # datagrams read before other tasks run

log = logging.getLogger(__name__)


class PeerSocket:
    """The socket, and the addresses of the limiters of the set by their numbers.

    Attributes:
        address: The address to which the socket is bound.
        on_message: Called with each datagram from a peer: the peer's number and the text.
        on_unknown_sender: Called with the text and the sender's address of a datagram from an
            unknown sender; returns whether the datagram was meant for this limiter.
        on_sent: Called with the text of each datagram that was sent.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        listen: tuple[str, int],
        peers: Sequence[tuple[str, int]],
        on_message: Callable[[int, str], None],
    ) -> None:
        """`peers`: the addresses of all limiters, in the order of their numbers; may be empty."""
        self._scheduler, self._stats, self.on_message = scheduler, stats, on_message
        self._peers = dict(enumerate(peers))
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        # During an upgrade the new version runs in parallel, on the same address.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(listen)
        self.address: tuple[str, int] = self._sock.getsockname()
        self.on_unknown_sender: Callable[[str, tuple[str, int]], bool] | None = None
        self.on_sent: Callable[[str], None] | None = None

    def set_address(self, number: int, address: tuple[str, int]) -> None:
        """Sets the address of a peer; used if the configuration does not list the peers."""
        self._numbers.pop(self._peers.get(number, address), None)
        self._peers[number], self._numbers[address] = address, number

    def has_address(self, number: int) -> bool:
        """Whether the address of that peer is known."""
        return number in self._peers

    def send_to(self, number: int, text: str) -> None:
        """Sends a datagram to the peer of that number. Delivery is not guaranteed."""
        self.send(self._peers.get(number), text)

    def send(self, address: tuple[str, int] | None, text: str) -> None:
        """Sends a datagram; an unknown address (None) or too long a text is logged and counted."""
        data = text.encode()
        if len(data) > MAX_DATAGRAM_BYTES or address is None:
            log.error(
                "datagram of %d bytes to %s not sent; the limit is %d bytes",
                len(data),
                address or "a peer of unknown address",
                MAX_DATAGRAM_BYTES,
            )
            self._stats.untold += 1
            return
        try:
            self._sock.sendto(data, address)
            self._stats.told += 1
            if self.on_sent:
                self.on_sent(text)
        except OSError:
            self._stats.untold += 1

    def run(self) -> None:
        """Receives datagrams; never returns."""
        while True:
            self._scheduler.wait(self._sock.fileno(), READABLE)
            for _ in range(MAX_READS_PER_TURN):
                try:
                    data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except OSError:  # no more datagrams, or an ICMP error for one sent earlier
                    break
                self._handle_datagram(data, sender)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        number = self._numbers.get(sender)
        try:
            text = data.decode()
        except UnicodeDecodeError:
            text = ""
        if number is None or not text or len(data) > MAX_DATAGRAM_BYTES:
            accepted = (
                self.on_unknown_sender
                and number is None
                and text
                and len(data) <= MAX_DATAGRAM_BYTES
                and self.on_unknown_sender(text, sender)
            )
            self._stats.junk += not accepted
            return
        self._stats.heard += 1
        self.on_message(number, text)
