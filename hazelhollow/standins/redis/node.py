"""One stand-in server without I/O: received bytes in, replies and connection closes out.

Commands run one at a time in the order of their arrival, as in Redis: a delayed command delays all
others. A driver passes received bytes to `Session.feed`, calls `turn` at the time that `next_at`
gives, and performs the returned `Output` values. The socket server, the simulation and the tests
all use this code.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from hazelhollow.standins.redis import faults
from hazelhollow.standins.redis.dispatch import execute
from hazelhollow.standins.redis.server_state import ServerState
from hazelhollow.standins.redis.session import Request, Session
from hazelhollow.standins.redis.snapshots import SnapshotHistory
from hazelhollow.standins.redis.values import OK, CommandError, Reply, encode

# A restart whose `lasts` is not below this has no outage. The default of `lasts` is a day, so a
# restart has an outage only if its `lasts` is set.
MAX_OUTAGE_S = 3600.0


class Output(NamedTuple):
    """Bytes to send on a connection, and whether to close it afterwards."""

    session: Session
    data: bytes
    closes: bool


class Delayed(NamedTuple):
    """A command taken from the queue and delayed by a fault, and the fault's effect on it."""

    request: Request
    effect: faults.FaultEffect


class Node:
    """One server: a standalone one or a shard of a cluster.

    `clock` returns seconds and may be virtual. The times of `plan` count from the construction.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        seed: int = 0,
        password: str = "",
        plan: list[faults.Fault] | None = None,
    ) -> None:
        self.clock = clock
        schedule = faults.FaultSchedule(plan or [], seed, clock())
        snapshots = SnapshotHistory(any(fault.kind == "restart_old" for fault in plan or []))
        self.state = ServerState(clock, seed, password.encode(), schedule, snapshots)
        self._requests: deque[Request] = deque()
        self._delayed: Delayed | None = None
        self._busy_until = 0.0
        self._outputs: list[tuple[float, int, Output]] = []  # heap ordered by time, then number
        self._down_until = 0.0
        self._last_number = 0  # sessions and outputs share one sequence of numbers

    # Connections

    def connect(self) -> Session | None:
        """Opens a connection; returns None while the server is down."""
        now = self.clock()
        if now < self._down_until or self.state.faults.active("down", now):
            return None
        session = Session(
            self._next_number(), self._requests, authenticated=not self.state.password
        )
        self.state.sessions[session.id] = session
        return session

    def disconnect(self, session: Session) -> None:
        """Removes the session of a connection that either side has closed."""
        session.closed = True
        self.state.sessions.pop(session.id, None)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # Time

    def next_at(self) -> float | None:
        """Returns when `turn` must be called next; None: not before new bytes arrive."""
        times = [self._outputs[0][0]] if self._outputs else []
        if self._requests or self._delayed:
            times.append(
                max(self._busy_until, self.state.faults.active_until("stall", self.clock()))
            )
        momentary = self.state.faults.next_at()
        if momentary is not None:
            times.append(momentary)
        return min(times, default=None)

    def turn(self) -> list[Output]:
        """Runs the commands that are due and returns the outputs that are due."""
        now = self.clock()
        state = self.state
        state.engine.purge()
        state.snapshots.record(state.engine, now)
        outputs = list[Output]()
        for fault in state.faults.pop_due(now):
            outputs += self._apply_momentary(fault, now)
        if state.faults.active("down", now):
            outputs += self._close_all()
        while self._may_run(now):
            self._run_next(now)
        while self._outputs and self._outputs[0][0] <= now:
            outputs.append(heapq.heappop(self._outputs)[2])
        for output in outputs:
            if output.closes:
                self.disconnect(output.session)
        return outputs

    def _may_run(self, now: float) -> bool:
        waiting = bool(self._requests or self._delayed)
        return waiting and self._busy_until <= now and not self.state.faults.active("stall", now)

    def _run_next(self, now: float) -> None:
        if self._delayed:
            (request, effect), self._delayed = self._delayed, None
        else:
            request = self._requests.popleft()
            effect = self._effect_on(request, now)
            if effect.delay_before > 0:
                self._delayed, self._busy_until = (
                    Delayed(request, effect),
                    now + effect.delay_before,
                )
                return
        session = request.session
        if effect.outcome == "cut_before":
            self._send(Output(session, b"", True), now)
            return
        # Commands received before their connection closed still run, as in Redis.
        reply, closes = self._reply_to(request, effect)
        data = encode(reply)
        if effect.outcome == "lost":
            session.muted = True
        elif effect.outcome:
            data, closes = self._corrupt(data, effect.outcome), True
        if not session.muted:
            self._send(Output(session, data, closes), now + effect.delay_after)

    def _effect_on(self, request: Request, now: float) -> faults.FaultEffect:
        name = request.arguments[0].upper() if request.arguments else b""
        if not name or name == b"STANDIN":
            return faults.FaultEffect()
        return self.state.faults.effect_on(name, now)

    def _corrupt(self, data: bytes, outcome: str) -> bytes:
        # Drawn for every outcome, so that a seed always gives the same sequence of draws.
        junk = self.state.faults.junk()
        if outcome == "half":
            return data[: max(1, len(data) // 2)]
        return junk if outcome == "garbage" else b""

    def _send(self, output: Output, at: float) -> None:
        """Schedules an output, not before the previous one of its session."""
        session = output.session
        if not session.closed:
            session.last_reply_at = max(session.last_reply_at, at)
            heapq.heappush(self._outputs, (session.last_reply_at, self._next_number(), output))

    def _close_all(self) -> list[Output]:
        self._outputs, self._delayed = [], None
        self._requests.clear()
        closed = [Output(session, b"", True) for session in self.state.sessions.values()]
        for output in closed:
            output.session.closed = True
        return closed

    def _apply_momentary(self, fault: faults.Fault, now: float) -> list[Output]:
        if fault.kind == "clock_jump":
            self.state.engine.clock_skew += fault.by
        elif fault.kind == "flush_scripts":
            self.state.scripts.flush()
        elif fault.kind == "flush_data":
            self.state.engine.call(0, [b"FLUSHALL"])
        else:
            return self._restart(fault, now)
        return []

    def _restart(self, fault: faults.Fault, now: float) -> list[Output]:
        old = fault.kind == "restart_old"
        self.state.engine.restart(
            self.state.snapshots.latest_before(now - fault.age) if old else None
        )
        self.state.scripts.flush()
        self._down_until = now + (fault.lasts if fault.lasts < MAX_OUTAGE_S else 0.0)
        return self._close_all()

    # Commands

    def _reply_to(self, request: Request, effect: faults.FaultEffect) -> tuple[Reply, bool]:
        """Executes a request; returns the reply and whether to close the connection after it."""
        session, arguments = request.session, request.arguments
        if request.protocol_error:
            return CommandError("ERR " + request.protocol_error), True
        name = arguments[0].upper()
        self.state.calls[name.decode("ascii", "replace")] += 1
        now = self.clock()
        self.state.engine.readonly = self.state.faults.active("readonly", now) is not None
        self.state.engine.out_of_memory = self.state.faults.active("oom", now) is not None
        try:
            if name == b"QUIT":
                return OK, True
            if effect.error:
                raise CommandError(effect.error)
            return execute(self.state, session, arguments), False
        except CommandError as error:
            if session.transaction is not None and name != b"EXEC":
                session.transaction_failed = True
            return error, False
