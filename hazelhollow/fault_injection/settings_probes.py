"""By which settings a limiter serves, seen from outside.

A request of a class that only the newest have, and one that all have.
"""

from __future__ import annotations

from typing import IO

import orjson

from hazelhollow.fault_injection.clients import ClientTarget
from hazelhollow.net import resp, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import TIMED_OUT, Scheduler

EVERY = 0.25  # seconds
WITHIN = 1.0  # for an answer
MOST_OUT = 4096


class SettingsProber:
    def __init__(
        self,
        scheduler: Scheduler,
        target: ClientTarget,
        order: int,
        out: IO[bytes],
        spread: int,
    ) -> None:
        self._scheduler, self._target, self._order, self._out, self._spread = (
            scheduler,
            target,
            order,
            out,
            spread,
        )
        self._serial = 0

    def run(self) -> None:
        while True:
            self._scheduler.sleep(EVERY)
            began = self._scheduler.clock()
            found = [self.ask(kind) for kind in (f"o{self._order}", "look")]
            row = {
                "t": began,
                "end": self._scheduler.clock(),
                "to": self._target.name,
                "order": self._order,
                "new": found[0],
                "look": found[1],
            }
            self._out.write(orjson.dumps(row) + b"\n")
            self._out.flush()

    def ask(self, kind: str) -> str:
        """Sends a request of class `kind`.

        Served, busy, unknown (no such class), or nothing if there was no answer.
        """
        made = stream.connect(self._scheduler, self._target.address, MOST_OUT, WITHIN)
        if isinstance(made, CloseReason):
            return ""
        self._serial += 1
        customer, request = (
            f"{0xF000 + self._target.number:016x}",
            f"{self._target.number:06x}{self._serial:010x}",
        )
        fields = f"c={kind},t=iron,d={int(WITHIN * 1000)},units=1,spread={self._spread},first=0"
        made.write(
            resp.encode_command([b"Q.ASK", customer.encode(), request.encode(), fields.encode()])
        )
        made.flush()
        parser, until = resp.Parser(), self._scheduler.clock() + WITHIN
        while isinstance(value := parser.next(), resp.NeedMoreData):
            data = (
                made.read(stream.READ_CHUNK_BYTES)
                if made.wait(until) != TIMED_OUT
                else CloseReason.TIMED_OUT
            )
            if isinstance(data, CloseReason):
                made.close(data)
                return ""
            parser.feed(data or b"")
        made.close(CloseReason.CLOSED)
        if isinstance(value, resp.ErrorReply):
            return "busy" if value.startswith(b"BUSY") else "unknown"
        return "served"
