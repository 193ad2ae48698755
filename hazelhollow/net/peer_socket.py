"""Datagrams between limiters, on one UDP socket.

A sender is known by its address. A datagram from an address that is no peer's is dropped, unless
`on_unknown_sender` takes it. Gossip, membership, replication and configuration share this socket:
each of them stands in front of the earlier `on_message` and passes on what is not its own.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Sequence

from hazelhollow.net.scheduler import READABLE, Scheduler
from hazelhollow.net.stats import Stats

MAX_DATAGRAM_BYTES = 256  # the platform forbids longer ones
MAX_READS_PER_TURN = 64  # datagrams, before other tasks get their turn

log = logging.getLogger(__name__)


class PeerSocket:
    """The socket, and the addresses of the limiters of the set by their numbers.

    Attributes:
        address: Where it listens.
        on_message: Gets each datagram of a peer: the peer's number and the text.
        on_unknown_sender: Gets the text and the address of a datagram that no peer sent; says
            whether it was meant for this limiter.
        on_sent: Gets the text of each datagram that has left.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        listen: tuple[str, int],
        peers: Sequence[tuple[str, int]],
        on_message: Callable[[int, str], None],
    ) -> None:
        """`peers`: the addresses of all limiters in the order of their numbers; may be empty."""
        self._scheduler, self._stats, self.on_message = scheduler, stats, on_message
        self._peers = dict(enumerate(peers))
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        # a new version is started beside this one, on the same address
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(listen)
        self.address: tuple[str, int] = self._sock.getsockname()
        self.on_unknown_sender: Callable[[str, tuple[str, int]], bool] | None = None
        self.on_sent: Callable[[str], None] | None = None

    def set_address(self, number: int, address: tuple[str, int]) -> None:
        """Says where a peer is, at sites whose configuration does not list them."""
        self._numbers.pop(self._peers.get(number, address), None)
        self._peers[number], self._numbers[address] = address, number

    def has_address(self, number: int) -> bool:
        """Whether the address of that peer is known."""
        return number in self._peers

    def send_to(self, number: int, text: str) -> None:
        """Sends a datagram to the peer of that number, without any promise that it arrives."""
        self.send(self._peers.get(number), text)

    def send(self, address: tuple[str, int] | None, text: str) -> None:
        """Sends a datagram to that address; None, or too long a text, is logged and counted."""
        data = text.encode()
        if len(data) > MAX_DATAGRAM_BYTES or address is None:
            log.error(
                "a message of %d bytes to %s was not sent",
                len(data),
                address or "a peer whose address is not known",
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
        """Receives datagrams, for ever."""
        while True:
            self._scheduler.wait(self._sock.fileno(), READABLE)
            for _ in range(MAX_READS_PER_TURN):
                try:
                    data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except OSError:  # no more of them, or an ICMP error for one that was sent earlier
                    break
                self._handle_datagram(data, sender)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        number = self._numbers.get(sender)
        try:
            text = data.decode()
        except UnicodeDecodeError:
            text = ""
        if number is None or not text or len(data) > MAX_DATAGRAM_BYTES:
            taken = (
                self.on_unknown_sender
                and number is None
                and text
                and len(data) <= MAX_DATAGRAM_BYTES
                and self.on_unknown_sender(text, sender)
            )
            self._stats.junk += not taken
            return
        self._stats.heard += 1
        self.on_message(number, text)
