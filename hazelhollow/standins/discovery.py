"""A stand-in for discovery: the endpoint list with long polling and per-limiter addresses.

Each limiter has its own agent, at its own address. A call without an index is answered immediately
with the complete list; a call with the current index is held until the list changes.
"""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass, field

import orjson

from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import TIMED_OUT, Scheduler, Task

MAX_HEAD_BYTES = 8192
MAX_OUT_BYTES = 1 << 23  # buffered answers of a connection: a list of some 40,000 hosts
MAX_HOLD_S = 60.0  # a call is held no longer than this
_CALL = re.compile(rb"GET /discovery/hosts(?:\?from=(\d+)&hold_ms=(\d+))? HTTP/1\.1\r\n")
STATUS_NAMES = {"up": "in_service", "draining": "terminating", "gone": "terminated"}


@dataclass
class Host:
    """One endpoint of the list.

    Attributes:
        name: the endpoint's name in the list.
        addresses: by limiter, the address at which it reaches the endpoint.
        zone: the endpoint's availability zone.
        state: `up`, `draining` or `gone`.
        started: start time in Unix seconds; 0: long ago.
        index: index of the list when this entry last changed.
        group: number of the endpoint's cell.
    """

    name: str
    addresses: dict[str, str]
    zone: str = "a"
    state: str = "up"
    started: float = 0.0
    index: int = 0
    group: int = 0


@dataclass(eq=False)
class Discovery:
    """The list and all agents; while `down`, connections are accepted but not answered."""

    scheduler: Scheduler
    hosts: dict[str, Host] = field(default_factory=dict)
    index: int = 1
    down: bool = False
    calls: int = 0
    _waiting: list[Task] = field(default_factory=list)
    _socks: list[socket.socket] = field(default_factory=list)

    def listen(self, limiter: str, address: tuple[str, int]) -> tuple[str, int]:
        """Starts a limiter's agent and returns its address."""
        sock = socket.create_server(address, backlog=64)
        sock.setblocking(False)
        self._socks.append(sock)
        self.scheduler.spawn_supervised(lambda: self._accept(sock, limiter), "discovery")
        bound: tuple[str, int] = sock.getsockname()[:2]
        return bound

    def change(self, host: Host) -> None:
        """Adds or changes an entry and answers the held calls."""
        self.index += 1
        host.index = self.index
        self.hosts[host.name] = host
        self._wake()

    def restart(self, index: int) -> None:
        """Returns to an older index, like a discovery service that has lost its state."""
        self.index = index
        for host in self.hosts.values():
            host.index = min(host.index, index)
        self._wake()

    def set_down(self, down: bool) -> None:
        """Begins or ends an outage."""
        self.down = down
        self._wake()

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for task in waiting:
            self.scheduler.wake(task)

    def document(self, limiter: str, since: int | None) -> bytes:
        """Returns the complete list, or the entries that changed after the index `since`.

        An index that this incarnation has not reached also gets the complete list.
        """
        is_complete = since is None or since > self.index
        included = [
            host
            for host in self.hosts.values()
            if (is_complete and host.state != "gone")
            or (not is_complete and host.index > (since or 0))
        ]
        return orjson.dumps(
            {
                "index": self.index,
                "snapshot": is_complete,
                "endpoints": [
                    {
                        "name": host.name,
                        "address": host.addresses[limiter],
                        "zone": host.zone,
                        "type": "m1",
                        "group": host.group,
                        "status": STATUS_NAMES[host.state],
                        "weight": 1.0,
                        "since_ms": int(host.started * 1000),
                    }
                    for host in included
                ],
            }
        )

    def _accept(self, sock: socket.socket, limiter: str) -> None:
        for near in stream.accept_connections(self.scheduler, sock):
            self.scheduler.spawn(
                self._serve,
                stream.Stream(self.scheduler, near, MAX_OUT_BYTES),
                limiter,
                name="agent",
            )

    def _serve(self, driver: stream.Stream, limiter: str) -> None:
        received = bytearray()
        while driver.close_reason is None:
            driver.wait()
            data = driver.read(MAX_HEAD_BYTES)
            if isinstance(data, CloseReason):
                driver.close(data)
            elif data:
                received += data
                end = received.find(b"\r\n\r\n")
                if end >= 0:
                    self._answer(driver, limiter, bytes(received[: end + 2]))
                    del received[: end + 4]
                elif len(received) > MAX_HEAD_BYTES:
                    driver.close(CloseReason.MALFORMED)

    def _answer(self, driver: stream.Stream, limiter: str, head: bytes) -> None:
        call = _CALL.match(head)
        if not call:
            driver.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        self.calls += 1
        since = int(call[1]) if call[1] else None
        until = self.scheduler.clock() + min(int(call[2] or 0) / 1000.0, MAX_HOLD_S)
        while self.down or (since == self.index and self.scheduler.clock() < until):
            self._waiting.append(self.scheduler.current())
            if self.scheduler.wait(until=None if self.down else until) == TIMED_OUT:
                break
        body = self.document(limiter, since)
        driver.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % len(body)
            + body
        )

    def close(self) -> None:
        """Closes the agents' listening sockets."""
        for sock in self._socks:
            self.scheduler.unregister(sock.fileno())
            sock.close()
        self._socks.clear()
