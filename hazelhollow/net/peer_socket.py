"""Datagrams between limiters.

The sender is known by its address; what is not a peer's is dropped.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Sequence

from hazelhollow.net.scheduler import READABLE, Scheduler
from hazelhollow.net.stats import Stats

MOST_BYTES = 256  # a longer one breaks a rule
BATCH = 64  # datagrams read before others get their turn

log = logging.getLogger(__name__)


class PeerSocket:
    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        listen: tuple[str, int],
        peers: Sequence[tuple[str, int]],
        heard: Callable[[int, str], None],
    ) -> None:
        self._scheduler, self._stats, self.heard = scheduler, stats, heard
        self._peers = dict(enumerate(peers))
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        # a new version beside this one
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(listen)
        self.address: tuple[str, int] = self._sock.getsockname()
        # Gets what comes from an address that is no peer's, and says whether it was for this
        # limiter.
        self.stranger: Callable[[str, tuple[str, int]], bool] | None = None
        self.meter: Callable[[str], None] | None = None  # is told of each datagram that has left

    def learn(self, number: int, address: tuple[str, int]) -> None:
        """Where a peer is, at sites whose configuration does not list them."""
        self._numbers.pop(self._peers.get(number, address), None)
        self._peers[number], self._numbers[address] = address, number

    def knows(self, number: int) -> bool:
        return number in self._peers

    def tell(self, number: int, text: str) -> None:
        """Best effort, as datagrams are."""
        self.send(self._peers.get(number), text)

    def send(self, address: tuple[str, int] | None, text: str) -> None:
        data = text.encode()
        if len(data) > MOST_BYTES or address is None:
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
            if self.meter:
                self.meter(text)
        except OSError:
            self._stats.untold += 1

    def run(self) -> None:
        while True:
            self._scheduler.wait(self._sock.fileno(), READABLE)
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
            ours = (
                self.stranger
                and number is None
                and text
                and len(data) <= MOST_BYTES
                and self.stranger(text, sender)
            )
            self._stats.junk += not ours
            return
        self._stats.heard += 1
        self.heard(number, text)
