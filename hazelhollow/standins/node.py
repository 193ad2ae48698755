"""A stand-in for an issuer host: it answers each request after some work, so many at a time, and counts what it served."""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass, field

from hazelhollow.net import resp, stream
from hazelhollow.net import scheduler as sch
from hazelhollow.net.ending import Ending

MOST_OUT = 1024 * 1024
MOST_WAITING = 1000


@dataclass(eq=False)
class Line:
    """One connection; its answers go out in the order of its commands."""

    driver: stream.Stream
    parser: resp.Parser = field(default_factory=resp.Parser)
    answers: deque[list[bytes]] = field(default_factory=deque)  # each one a place that is filled when its work is done


class Node:
    """`work`: seconds for a request; `cores`: how many it works on at once."""

    def __init__(self, scheduler: sch.Scheduler, listen: tuple[str, int], work: float, cores: int) -> None:
        self.scheduler, self.work, self.cores = scheduler, work, cores
        self._sock = socket.create_server(listen, backlog=256)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()[:2]
        self.served = self.busy = 0
        self._queue: deque[tuple[Line, list[bytes], bytes]] = deque()

    def start(self) -> None:
        self.scheduler.spawn_lasting(self._accept, "node")

    def _accept(self) -> None:
        for sock in stream.accepted(self.scheduler, self._sock):
            line = Line(stream.Stream(self.scheduler, sock, MOST_OUT))
            self.scheduler.spawn(self._tend, line, name="node connection")

    def _tend(self, line: Line) -> None:
        driver = line.driver
        while driver.ending is None:
            driver.wait()
            data = driver.read(line.parser.ring.room())
            if isinstance(data, Ending):
                driver.close(data)
            elif data:
                try:
                    line.parser.feed(data)
                    while not isinstance(words := line.parser.next(), resp.More):
                        self._take(line, words)
                except resp.ProtocolError:
                    driver.close(Ending.MALFORMED)

    def _take(self, line: Line, words: resp.Value) -> None:
        place: list[bytes] = []
        line.answers.append(place)
        name = words[0] if isinstance(words, list) and words and isinstance(words[0], bytes) else b""
        if name in (b"Q.ASK", b"Q.DO") and isinstance(words, list) and len(words) >= 4 and isinstance(words[2], bytes):
            if len(self._queue) >= MOST_WAITING:
                self._answer(line, place, b"-BUSY\r\n")
            else:
                self._queue.append((line, place, words[2]))
                self._begin()
        else:
            known = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}
            self._answer(line, place, known.get(name, b"-ERR unknown\r\n"))

    def _begin(self) -> None:
        while self._queue and self.busy < self.cores:
            self.busy += 1
            self.scheduler.at(self.scheduler.clock() + self.work, self._done, *self._queue.popleft())

    def _done(self, line: Line, place: list[bytes], request: bytes) -> None:
        self.busy -= 1
        self.served += 1
        report = b"inflight=%d,queue=%d" % (self.busy, len(self._queue))
        self._answer(line, place, b"*3\r\n" + resp.bulk(b"served " + request) + b"$-1\r\n" + resp.bulk(report))
        self._begin()

    @staticmethod
    def _answer(line: Line, place: list[bytes], data: bytes) -> None:
        place.append(data)
        while line.answers and line.answers[0]:
            line.driver.write(line.answers.popleft()[0])

    def close(self) -> None:
        self.scheduler.forget(self._sock.fileno())
        self._sock.close()
