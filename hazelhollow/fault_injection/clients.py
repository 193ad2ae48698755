"""The clients of a drill.

Requests at times laid down ahead, each on a connection of its own while it is out.

What became of each goes into a file, a JSON line a request. Times are Unix seconds.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import IO, Any

import orjson

from hazelhollow.fault_injection.plan import Load
from hazelhollow.net import resp, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import TIMED_OUT, Scheduler

PATIENCE = {"look": 1.5, "buy": 1.0}  # seconds
USUAL_PATIENCE = 1.5  # of classes that are not of the harness's own settings
KEYED = "buy"  # the class whose requests must not run twice
GRACE = 0.5  # seconds past its patience that a client looks for an answer, to tell late from never
CONNECT = 0.5
MOST_OUT = 1 << 16


@dataclass(eq=False)
class Line:
    driver: stream.Stream
    parser: resp.Parser = field(default_factory=resp.Parser)


@dataclass(eq=False)
class ClientTarget:
    """A limiter as its clients see it."""

    name: str
    number: int
    address: tuple[str, int]
    idle: deque[Line] = field(default_factory=deque)


class Clients:
    def __init__(self, scheduler: Scheduler, seed: int, out: IO[bytes], spread: int) -> None:
        self.scheduler, self.random, self._out, self.spread = (
            scheduler,
            random.Random(seed),
            out,
            spread,
        )
        self.sent = self.open = 0
        # seconds by which a request went out after its time: the drill's own slowness
        self.most_late = 0.0
        self.outcomes: dict[str, int] = {}

    def run(
        self, target: ClientTarget, load: Load, begin: float, end: float, phase: float | None = None
    ) -> None:
        """Until `end`: a request each 1/rate seconds, whatever becomes of the ones before.

        `phase`: the part of that time after `begin` at which the first goes out; drawn where none
        is given.
        """
        at = begin + (self.random.random() if phase is None else phase) / load.rate
        while at < end:
            now = self.scheduler.clock()
            if now < at:
                self.scheduler.sleep(at - now)
            self.most_late = max(self.most_late, self.scheduler.clock() - at)
            self.scheduler.spawn(self._one, target, load, at, name="client")
            at += 1.0 / load.rate

    def _one(self, target: ClientTarget, load: Load, due: float) -> None:
        request = f"{self.random.getrandbits(64):016x}"
        began = self.scheduler.clock()
        self.sent, self.open = self.sent + 1, self.open + 1
        row: dict[str, Any] = {
            "t": began,
            "due": due,
            "id": request,
            "to": target.name,
            "customer": load.customer,
            "plan": load.plan,
            "kind": load.kind,
            "units": load.units,
            "patience": PATIENCE.get(load.kind, USUAL_PATIENCE),
            "extra": 0,
        }
        outcome, value = self._ask(target, load, request, began, row)
        # the limiter ended the connection between requests, as it may: once more
        if outcome == "crossed":
            outcome, value = self._ask(target, load, request, began, row, fresh=True)
        row |= {"end": self.scheduler.clock(), "outcome": outcome, "value": value}
        self._out.write(orjson.dumps(row) + b"\n")
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.open -= 1

    def _ask(
        self,
        target: ClientTarget,
        load: Load,
        request: str,
        began: float,
        row: dict[str, Any],
        fresh: bool = False,
    ) -> tuple[str, str]:
        patience = PATIENCE.get(load.kind, USUAL_PATIENCE)
        line = None if fresh or not target.idle else target.idle.pop()
        used = line is not None
        if line is None:
            made = stream.connect(self.scheduler, target.address, MOST_OUT, CONNECT)
            if isinstance(made, CloseReason):
                return "refused", ""
            line = Line(made)
        left = int((began + patience - self.scheduler.clock()) * 1000)
        fields = (
            f"c={load.kind},t={load.plan},d={max(left, 1)},"
            f"units={load.units},spread={self.spread},first={load.first}"
        )
        verb = b"Q.DO" if load.kind == KEYED else b"Q.ASK"
        words = [
            verb,
            load.customer.encode(),
            request.encode(),
            fields.encode(),
            *([b"BODY"] if verb == b"Q.DO" else []),
        ]
        line.driver.write(resp.encode_command(words))
        line.driver.flush()
        answer = self._answer(line, began + patience + GRACE)
        if isinstance(answer, CloseReason):
            line.driver.close(answer)
            return _ended(answer, used), ""
        if not isinstance(line.parser.next(), resp.NeedMoreData):
            row["extra"] += 1
        target.idle.append(line)
        return _read(answer)

    def _answer(self, line: Line, until: float) -> resp.Value | CloseReason:
        while isinstance(answer := line.parser.next(), resp.NeedMoreData):
            if line.driver.wait(until) == TIMED_OUT:
                return CloseReason.TIMED_OUT
            data = line.driver.read(stream.READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                return data
            if data:
                line.parser.feed(data)
        return answer


def _ended(ending: CloseReason, used: bool) -> str:
    if ending is CloseReason.TIMED_OUT:
        return "silent"
    if ending is CloseReason.CLOSED:
        return "crossed" if used else "closed"
    return "reset"


def _read(answer: resp.Value) -> tuple[str, str]:
    first = answer[0] if isinstance(answer, list) and answer else answer
    if isinstance(first, resp.ErrorReply):
        return ("busy" if first.startswith(b"BUSY") else "failed"), first.decode(errors="replace")
    if isinstance(first, bytes) and not isinstance(first, resp.SimpleString):
        return "served", first.decode(errors="replace")
    return "failed", ""
