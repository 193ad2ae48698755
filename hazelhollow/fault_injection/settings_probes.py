"""Probes that observe from outside which settings a limiter applies.

At regular intervals a probe sends each limiter one request of a class that only the newest settings
have, and one of a class that all settings have.
"""

from __future__ import annotations

from typing import IO, NamedTuple

import orjson

from hazelhollow.fault_injection.clients import ClientTarget
from hazelhollow.net import resp, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import TIMED_OUT, Scheduler

INTERVAL_S = 0.25
TIMEOUT_S = 1.0  # for an answer
MAX_OUT_BYTES = 4096
FIRST_CUSTOMER = 0xF000  # customer of the first limiter's probes; each limiter has its own


class ProbeOptions(NamedTuple):
    """The newest settings revision, and the number of limiters in each customer's set."""

    revision: int
    set_size: int


class SettingsProber:
    """Probes one limiter periodically and writes a JSON line for each pair of requests."""

    def __init__(
        self, scheduler: Scheduler, target: ClientTarget, options: ProbeOptions, out: IO[bytes]
    ) -> None:
        self._scheduler, self._target, self._options, self._out = scheduler, target, options, out
        self._serial = 0

    def run(self) -> None:
        """Probes the limiter until the task is stopped."""
        while True:
            self._scheduler.sleep(INTERVAL_S)
            began = self._scheduler.clock()
            newest, common = [self.ask(kind) for kind in (f"o{self._options.revision}", "look")]
            row = {
                "t": began,
                "end": self._scheduler.clock(),
                "to": self._target.name,
                "order": self._options.revision,
                "new": newest,
                "look": common,
            }
            self._out.write(orjson.dumps(row) + b"\n")
            self._out.flush()

    def ask(self, kind: str) -> str:
        """Sends a request of class `kind` and returns its outcome.

        The outcome is `served`, `busy`, `unknown` (the limiter has no such class), or empty if
        there was no answer.
        """
        driver = stream.connect(self._scheduler, self._target.address, MAX_OUT_BYTES, TIMEOUT_S)
        if isinstance(driver, CloseReason):
            return ""
        driver.write(self._command(kind))
        driver.flush()
        parser, until = resp.Parser(), self._scheduler.clock() + TIMEOUT_S
        while isinstance(value := parser.next(), resp.NeedMoreData):
            if driver.wait(until) == TIMED_OUT:
                data: bytes | CloseReason | None = CloseReason.TIMED_OUT
            else:
                data = driver.read(stream.READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                driver.close(data)
                return ""
            parser.feed(data or b"")
        driver.close(CloseReason.CLOSED)
        if isinstance(value, resp.ErrorReply):
            return "busy" if value.startswith(b"BUSY") else "unknown"
        return "served"

    def _command(self, kind: str) -> bytes:
        self._serial += 1
        customer = f"{FIRST_CUSTOMER + self._target.number:016x}"
        request = f"{self._target.number:06x}{self._serial:010x}"
        fields = (
            f"c={kind},t=iron,d={int(TIMEOUT_S * 1000)},units=1,"
            f"spread={self._options.set_size},first=0"
        )
        return resp.encode_command([b"Q.ASK", customer.encode(), request.encode(), fields.encode()])
