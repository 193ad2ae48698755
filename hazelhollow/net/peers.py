"""Datagrams between limiters. The sender is known by its address; what is not a peer's is dropped."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Sequence

from hazelhollow.net import scheduler as sch
from hazelhollow.net.stats import Stats

MOST_BYTES = 256  # a longer one breaks a rule
BATCH = 64  # datagrams read before others get their turn

log = logging.getLogger(__name__)


class Peers:
    def __init__(
        self,
        scheduler: sch.Scheduler,
        stats: Stats,
        listen: tuple[str, int],
        peers: Sequence[tuple[str, int]],
        heard: Callable[[int, str], None],
    ) -> None:
        self._scheduler, self._stats, self.heard = scheduler, stats, heard
        self._peers = list(peers)
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)  # a new version beside this one
        self._sock.bind(listen)
        self.address: tuple[str, int] = self._sock.getsockname()
        self.own: Callable[[str], None] | None = None  # gets what another process of this machine sends here

    def tell(self, number: int, text: str) -> None:
        """Best effort, as datagrams are."""
        data = text.encode()
        if len(data) > MOST_BYTES or not 0 <= number < len(self._peers):
            log.error("a message of %d bytes to peer %d was not sent", len(data), number)
            self._stats.untold += 1
            return
        try:
            self._sock.sendto(data, self._peers[number])
            self._stats.told += 1
        except OSError:
            self._stats.untold += 1

    def run(self) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), sch.READ)
            for _ in range(BATCH):
                try:
                    data, sender = self._sock.recvfrom(MOST_BYTES + 1)
                except OSError:  # nothing more, or an error that an earlier datagram met on its way
                    break
                self._take(data, sender)

    def _take(self, data: bytes, sender: tuple[str, int]) -> None:
        number = self._numbers.get(sender)
        try:
            text = data.decode()
        except UnicodeDecodeError:
            text = ""
        if number is None or not text or len(data) > MOST_BYTES:
            if self.own and text and sender[0] == self.address[0] and len(data) <= MOST_BYTES:
                self.own(text)
                return
            self._stats.junk += 1
            return
        self._stats.heard += 1
        self.heard(number, text)
