"""The scenario language, and the stage that plays it: a limiter and all parties it talks to.

A scenario is a text of lines `WHO VERB WORDS`; blank lines and lines that begin with `#` are
skipped.

| line | meaning |
| --- | --- |
| `a send [PING]` | client `a` (any name; it connects when first named) sends a command |
| `s1 expect [Q.ASK ...]` | s1 receives exactly this on its newest connection, `s1.2` on its 2nd |
| `s1 send -BUSY` | sends a line; `\\r\\n` is unescaped, and `[..]` is encoded as a command |
| `a expect nothing` | nothing has arrived so far; `a expect closed`: the connection has ended |
| `s1 close` | closes this side of the connection; `s1 stop`: accepts no new connections |
| `disco send table 7 s1:terminating` | discovery answers with a change; `whole 7 ...`: a list |
| `disco2 reload` | a reload makes `disco2` the discovery address |
| `p1 send TEXT` | limiter 1 sends a datagram |
| `wait 0.5` | advances the clock, which nothing else moves, by 0.5 seconds |

Sockets are real, on ports that the operating system picks. `expect` waits briefly for the kernel;
nothing sleeps.
"""

from __future__ import annotations

import re
import select
import socket
from dataclasses import replace
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.net import resp
from hazelhollow.net.attachment import Attachment
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.service import Service
from hazelhollow.platform_config import PlatformConfig

LOOK = api.RequestClass(
    "look", latency_objective=1.0, deadline=3.0, priority_weight=1.0, effect="safe"
)
BUY = api.RequestClass(
    "buy",
    latency_objective=1.0,
    deadline=3.0,
    priority_weight=1.0,
    effect="keyed",
    dedup_scope="cell",
    dedup_window=5.0,
)
PLAN = api.Plan("basic", rate=100.0, burst=100.0)
SETTINGS = api.Settings(
    0,
    2,
    (LOOK, BUY),
    (PLAN,),
    zone="a",
    max_attempts=3,
    peers=True,
    max_retry_after=1.0,
    max_units=500.0,
)
START = 1_000_000.0
# Turns of the event loop, enough for all pending work to finish; each may wait for the kernel.
TURNS = 60
HEAD = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


def wait_for_kernel(sock: socket.socket) -> None:
    """Waits up to 2 ms until the socket is readable.

    poll() and not select(): a run with many stages may hold descriptors above select's limit.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    poll.poll(2)


STAGES: list[Stage] = []  # of the current test


class Stage:
    """A complete limiter with its own clock, and all parties that it talks to.

    The fixture `stages_end` in conftest.py closes it after the test.
    """

    def __init__(
        self,
        hosts: int = 2,
        attached: Attachment | None = None,
        discovery_answered: bool = True,
        **changes: Any,
    ) -> None:
        """`discovery_answered`: whether requests are served from the start, without discovery."""
        STAGES.append(self)
        self.now = START
        self.scheduler = Scheduler(lambda: self.now)
        self.listeners = {f"s{n}": self._listener() for n in range(1, hosts + 1)} | {
            name: self._listener() for name in ("disco", "disco2")
        }
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        self.ends: dict[str, list[socket.socket]] = {}
        known = self.table("whole", 1, *(f"s{n}:in_service" for n in range(1, hosts + 1)))
        values: dict[str, Any] = {
            "name": "n0",
            "listen": ("127.0.0.1", 0),
            "seed": 1,
            "settings": SETTINGS,
            "known": known,
            "discovery": self.listeners["disco"].getsockname(),
            "peer_listen": ("127.0.0.1", 0),
            "peers": (("127.0.0.1", 9), self.peer.getsockname()),
            **changes,
        }
        self.config = PlatformConfig(**values)
        self.service = Service(self.config, self.scheduler, attached)
        self.service.start()
        if discovery_answered:
            self.service.frontend.set_ready()
        self.settle()

    def close(self) -> None:
        """Closes every descriptor, or a run of hundreds of stages would hold thousands."""
        for sock in (
            self.peer,
            *self.listeners.values(),
            *(end for ends in self.ends.values() for end in ends),
        ):
            sock.close()
        service = self.service
        for session in [*service.frontend.sessions.sessions, *service.frontend.sessions.lingering]:
            session._stream.close(CloseReason.SHUTDOWN)
        for watch_stream in (service.discovery_watch._stream, service.discovery_watch._slow_stream):
            if watch_stream:
                watch_stream.close(CloseReason.SHUTDOWN)
        service.pool.close_all()
        for open_socket in (
            service.frontend,
            service.operator_address,
            service.engine_driver.peers,
        ):
            if open_socket:
                open_socket._sock.close()

    def _listener(self) -> socket.socket:
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        return sock

    def table(self, kind: str, version: int, *hosts: str) -> dict[str, Any]:
        entries = []
        for host in hosts:
            name, status = host.split(":")
            address = "{}:{}".format(*self.listeners[name].getsockname())
            entries.append(
                {"name": name, "address": address, "zone": "a", "group": 0, "status": status}
            )
        return {"index": version, "snapshot": kind == "whole", "endpoints": entries}

    def settle(self, turns: int = TURNS) -> None:
        for _ in range(turns):
            self.scheduler.turn(longest=0.0)

    def play(self, text: str) -> None:
        for number, line in enumerate(text.strip().splitlines(), 1):
            words = line.split(None, 2)
            if not words or words[0].startswith("#"):
                continue
            try:
                if words[0] == "wait":
                    self._wait(float(words[1]))
                else:
                    getattr(self, "_" + words[1])(words[0], words[2] if len(words) > 2 else "")
            except (AssertionError, OSError) as error:
                raise AssertionError(f"line {number}: {line.strip()}: {error}") from None

    def _wait(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            self.settle(3)
        self.settle()

    def _end(self, who: str) -> socket.socket:
        """Returns the test's side of a connection; a client connects if it has none."""
        name, _, number = who.partition(".")
        ends = self.ends.setdefault(name, [])
        if name in self.listeners and self.listeners[name].fileno() >= 0:
            for _ in range(TURNS):
                self.settle(1)
                try:
                    ends.append(self.listeners[name].accept()[0])
                    ends[-1].setblocking(False)
                except BlockingIOError:
                    if len(ends) >= int(number or 1):
                        break
                    wait_for_kernel(self.listeners[name])
        elif not ends:
            operator = self.service.operator_address
            address = (
                operator.address
                if name.startswith("op") and operator
                else self.service.frontend.address
            )
            ends.append(socket.create_connection(address))
            ends[0].setblocking(False)
        assert ends, "no connection"
        return ends[int(number or 0) - 1]

    def received_request(self, end: socket.socket) -> str:
        """Returns the id of the request that an endpoint's connection received."""
        for _ in range(TURNS):
            self.settle(1)
            try:
                return end.recv(1 << 20).split(b"\r\n")[6].decode()
            except BlockingIOError:
                wait_for_kernel(end)
        raise AssertionError("no request was received")

    def bytes_of(self, words: str) -> bytes:
        kind, _, rest = words.partition(" ")
        if kind in ("table", "whole"):
            version, *hosts = rest.split()
            import orjson

            body = orjson.dumps(self.table(kind, int(version), *hosts)).decode()
            return (HEAD % (len(body), body)).encode()
        if words.startswith("["):
            return resp.encode_command([word.encode() for word in words.strip("[]").split()])
        return words.encode().decode("unicode_escape").encode() + b"\r\n"

    def _send(self, who: str, words: str) -> None:
        if who == "p1":
            assert self.service.engine_driver.peers
            self.peer.sendto(words.encode(), self.service.engine_driver.peers.address)
        else:
            self._end(who).sendall(self.bytes_of(words))
        self.settle()

    def _expect(self, who: str, words: str) -> None:
        end, got = self._end(who), b""
        pattern = (
            b""
            if words in ("nothing", "closed")
            else re.escape(self.bytes_of(words)).replace(rb"\*\*", b".*")
        )
        over = False
        for turn in range(TURNS):
            self.settle(1)
            try:
                data = end.recv(1 << 20)
                over, got = not data, got + data
            except BlockingIOError:
                if turn < 5 or words != "nothing":
                    wait_for_kernel(end)
            except ConnectionResetError:
                over = True
            if over or (pattern and re.fullmatch(pattern, got, re.S)):
                break
        if words == "closed":
            assert over and not got, got
        else:
            assert not over and re.fullmatch(pattern, got, re.S), got or "nothing was received"

    def _reload(self, who: str, words: str) -> None:
        self.service.settings_reload.reload(
            lambda: replace(self.config, discovery=self.listeners[who].getsockname())
        )
        self.settle()

    def _close(self, who: str, words: str) -> None:
        end = self._end(who)
        self.ends[who.partition(".")[0]].remove(end)
        end.close()
        self.settle()

    def _stop(self, who: str, words: str) -> None:
        self.listeners[who].close()
