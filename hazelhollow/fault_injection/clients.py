"""Clients of a run: they send requests at scheduled times, each on its own connection.

The load is open-loop: a slow limiter is sent as many requests as a fast one. The outcome of each
request is written to a file as a JSON line, with times in Unix seconds.
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

DEADLINES_S = {"look": 1.5, "buy": 1.0}
DEFAULT_DEADLINE_S = 1.5  # for request classes that only some settings revisions have
WRITE_CLASS = "buy"  # requests of this class must not run twice
GRACE_S = 0.5  # an answer up to this long after the deadline is late, not missing
CONNECT_TIMEOUT_S = 0.5
MAX_OUT_BYTES = 1 << 16


@dataclass(eq=False)
class ClientConnection:
    """A connection to a limiter and the parser of its answers."""

    driver: stream.Stream
    parser: resp.Parser = field(default_factory=resp.Parser)


@dataclass(eq=False)
class ClientTarget:
    """A limiter, the address at which clients reach it, and the idle connections to it."""

    name: str
    number: int
    address: tuple[str, int]
    idle: deque[ClientConnection] = field(default_factory=deque)


class Clients:
    """All clients of a run.

    Args:
        scheduler: runs the clients' tasks.
        seed: seed of the request ids and of the phases of the request sequences.
        out: receives a JSON line for each request.
        set_size: number of limiters in each customer's set.
    """

    def __init__(self, scheduler: Scheduler, seed: int, out: IO[bytes], set_size: int) -> None:
        self.scheduler, self.random = scheduler, random.Random(seed)
        self._out, self._set_size = out, set_size
        self.sent = self.open = 0
        # Longest time in seconds from a request's scheduled time until this process sent it.
        self.max_lateness = 0.0
        self.outcomes: dict[str, int] = {}

    def run(
        self, target: ClientTarget, load: Load, begin: float, end: float, phase: float | None = None
    ) -> None:
        """Sends a request every 1/rate seconds until `end`, without waiting for earlier ones.

        The first request is sent the fraction `phase` of this interval after `begin`; None draws
        the fraction.
        """
        at = begin + (self.random.random() if phase is None else phase) / load.rate
        while at < end:
            now = self.scheduler.clock()
            if now < at:
                self.scheduler.sleep(at - now)
            self.max_lateness = max(self.max_lateness, self.scheduler.clock() - at)
            self.scheduler.spawn(self._request, target, load, at, name="client")
            at += 1.0 / load.rate

    def _request(self, target: ClientTarget, load: Load, due: float) -> None:
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
            "patience": DEADLINES_S.get(load.kind, DEFAULT_DEADLINE_S),
            "extra": 0,
        }
        connection = target.idle.pop() if target.idle else None
        outcome, value = self._attempt(target, load, row, connection)
        # The limiter may close an idle connection just as the request is sent: the request is then
        # sent again on a new connection.
        if outcome == "crossed":
            outcome, value = self._attempt(target, load, row, None)
        row |= {"end": self.scheduler.clock(), "outcome": outcome, "value": value}
        self._out.write(orjson.dumps(row) + b"\n")
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.open -= 1

    def _attempt(
        self,
        target: ClientTarget,
        load: Load,
        row: dict[str, Any],
        connection: ClientConnection | None,
    ) -> tuple[str, str]:
        """Sends the request of `row` on `connection`, or on a new one if it is None.

        Returns the outcome and the answer's text.
        """
        deadline = row["t"] + row["patience"]
        is_reused = connection is not None
        if connection is None:
            opened = stream.connect(
                self.scheduler, target.address, MAX_OUT_BYTES, CONNECT_TIMEOUT_S
            )
            if isinstance(opened, CloseReason):
                return "refused", ""
            connection = ClientConnection(opened)
        time_left_ms = max(int((deadline - self.scheduler.clock()) * 1000), 1)
        connection.driver.write(self._command(load, row["id"], time_left_ms))
        connection.driver.flush()
        answer = self._answer(connection, deadline + GRACE_S)
        if isinstance(answer, CloseReason):
            connection.driver.close(answer)
            return _outcome_of_close(answer, is_reused), ""
        if not isinstance(connection.parser.next(), resp.NeedMoreData):
            row["extra"] += 1
        target.idle.append(connection)
        return _outcome_of_answer(answer)

    def _command(self, load: Load, request: str, time_left_ms: int) -> bytes:
        fields = (
            f"c={load.kind},t={load.plan},d={time_left_ms},"
            f"units={load.units},spread={self._set_size},first={load.first}"
        )
        arguments = [load.customer.encode(), request.encode(), fields.encode()]
        if load.kind == WRITE_CLASS:
            return resp.encode_command([b"Q.DO", *arguments, b"BODY"])
        return resp.encode_command([b"Q.ASK", *arguments])

    def _answer(self, connection: ClientConnection, until: float) -> resp.Value | CloseReason:
        while isinstance(answer := connection.parser.next(), resp.NeedMoreData):
            if connection.driver.wait(until) == TIMED_OUT:
                return CloseReason.TIMED_OUT
            data = connection.driver.read(stream.READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                return data
            if data:
                connection.parser.feed(data)
        return answer


def _outcome_of_close(reason: CloseReason, is_reused: bool) -> str:
    if reason is CloseReason.TIMED_OUT:
        return "silent"
    if reason is CloseReason.CLOSED:
        return "crossed" if is_reused else "closed"
    return "reset"


def _outcome_of_answer(answer: resp.Value) -> tuple[str, str]:
    first = answer[0] if isinstance(answer, list) and answer else answer
    if isinstance(first, resp.ErrorReply):
        return ("busy" if first.startswith(b"BUSY") else "failed"), first.decode(errors="replace")
    if isinstance(first, bytes) and not isinstance(first, resp.SimpleString):
        return "served", first.decode(errors="replace")
    return "failed", ""
