"""A stand-in for a backend host.

It answers each request after some work, so many at a time, and counts what it served.

It can start cold, drain, say how loaded it is, and write down each request that it began.
"""

from __future__ import annotations

import os
import socket
from collections import deque
from dataclasses import dataclass, field

import orjson

from hazelhollow.net import resp, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.errors import ProtocolError
from hazelhollow.net.scheduler import Scheduler

MOST_OUT = 1024 * 1024
MOST_WAITING = 1000


@dataclass(eq=False)
class Line:
    """One connection; its answers go out in the order of its commands."""

    driver: stream.Stream
    parser: resp.Parser = field(default_factory=resp.Parser)
    answers: deque[list[bytes]] = field(
        default_factory=deque
    )  # each one a place that is filled when its work is done


@dataclass(frozen=True)
class Cold:
    """How a host starts.

    At a share `start` of its speed, which grows evenly to the whole over `lasts` seconds.
    """

    start: float = 1.0
    lasts: float = 0.0

    def speed(self, age: float) -> float:
        return self.start + (1.0 - self.start) * min(1.0, age / self.lasts) if self.lasts else 1.0


class Node:
    """`work`.

    Seconds for a request; `cores`: how many it works on at once; `journal`: a descriptor that gets
    a JSON line for each request as it begins.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        listen: tuple[str, int],
        work: float,
        cores: int,
        cold: Cold | None = None,
        journal: int = -1,
    ) -> None:
        self.scheduler, self.work, self.cores = scheduler, work, cores
        self.cold, self.journal, self.draining = cold or Cold(), journal, False
        self.began = scheduler.clock()
        self._sock = socket.create_server(listen, backlog=256)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()[:2]
        self.served = self.busy = 0
        self._queue: deque[tuple[Line, list[bytes], list[resp.Value]]] = deque()

    def start(self) -> None:
        self.scheduler.spawn_supervised(self._accept, "node")

    def _accept(self) -> None:
        for sock in stream.accept_connections(self.scheduler, self._sock):
            line = Line(stream.Stream(self.scheduler, sock, MOST_OUT))
            self.scheduler.spawn(self._tend, line, name="node connection")

    def _tend(self, line: Line) -> None:
        driver = line.driver
        while driver.close_reason is None:
            driver.wait()
            data = driver.read(line.parser.ring.room())
            if isinstance(data, CloseReason):
                driver.close(data)
            elif data:
                try:
                    line.parser.feed(data)
                    while not isinstance(words := line.parser.next(), resp.NeedMoreData):
                        self._take(line, words)
                except ProtocolError:
                    driver.close(CloseReason.MALFORMED)

    def _take(self, line: Line, words: resp.Value) -> None:
        place: list[bytes] = []
        line.answers.append(place)
        name = (
            words[0] if isinstance(words, list) and words and isinstance(words[0], bytes) else b""
        )
        if (
            name in (b"Q.ASK", b"Q.DO")
            and isinstance(words, list)
            and len(words) >= 4
            and isinstance(words[2], bytes)
        ):
            if self.draining or len(self._queue) >= MOST_WAITING:
                self._answer(line, place, b"-BUSY\r\n")
            else:
                self._queue.append((line, place, words))
                self._begin()
        elif name == b"INFO":
            self._answer(line, place, resp.encode_bulk_string(self._report()))
        else:
            known = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}
            self._answer(line, place, known.get(name, b"-ERR unknown\r\n"))

    def _begin(self) -> None:
        while self._queue and self.busy < self.cores:
            self.busy += 1
            line, place, words = self._queue.popleft()
            now = self.scheduler.clock()
            self._write_down(words, now)
            takes = self.work / self.cold.speed(now - self.began)
            self.scheduler.at(now + takes, self._done, line, place, words[2])

    def _write_down(self, words: list[resp.Value], now: float) -> None:
        if self.journal >= 0:
            verb, customer, request, fields = (
                word.decode() for word in words[:4] if isinstance(word, bytes)
            )
            row = {"t": now, "verb": verb, "customer": customer, "id": request, "fields": fields}
            os.write(
                self.journal, orjson.dumps(row) + b"\n"
            )  # at once: a host that is killed has begun it all the same

    def _report(self) -> bytes:
        return b"inflight=%d,queue=%d" % (self.busy, len(self._queue))

    def _done(self, line: Line, place: list[bytes], request: bytes) -> None:
        self.busy -= 1
        self.served += 1
        self._answer(
            line,
            place,
            b"*3\r\n"
            + resp.encode_bulk_string(b"served " + request)
            + b"$-1\r\n"
            + resp.encode_bulk_string(self._report()),
        )
        self._begin()

    @staticmethod
    def _answer(line: Line, place: list[bytes], data: bytes) -> None:
        place.append(data)
        while line.answers and line.answers[0]:
            line.driver.write(line.answers.popleft()[0])

    def close(self) -> None:
        self.scheduler.unregister(self._sock.fileno())
        self._sock.close()
