"""Plays a soak plan on real processes and returns the record for the checker."""

from __future__ import annotations

import random
import signal
from collections.abc import Sequence

from hazelhollow.soak.clients import SoakClient
from hazelhollow.soak.plan import CROWD_CLIENTS, FAULT_SHARE, SERVER_KINDS, Operation, SoakPlan
from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.record import (
    DrainRecord,
    ExecutionRecord,
    ExitRecord,
    PauseRecord,
    RequestRecord,
    SoakRecord,
    value_for,
)
from hazelhollow.soak.rig import Rig, RigOptions
from hazelhollow.soak.wire import Kind, encode
from hazelhollow.standins.answer_script import AnswerScript, End, Pause, Write, answer, in_pieces

MAX_PAUSE_S = 0.15  # for which a process may be held up
EARLIEST_KILL_S = 3.7  # after SIGTERM: the longest deadline and 0.7 s
SILENCE_S = 2.5  # of discovery
LATENESS_POLL_S = 0.01
ID_DIGITS = 12  # of an id; the size of its value in hexadecimal follows
FAULTY_ANSWERS = ("pieces", "reset", "hang", "error", "busy", "unsound")
UNSOUND_ANSWERS = (
    b"*3\r\n+value\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$05\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*2\r\n$5\r\nvalue\r\n$-1\r\n",
    b"*3\r\n$9\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"$5\r\nvalue\r\n",
)


class SoakRun:
    """One run of a plan; `run` may be called once."""

    def __init__(self, plan: SoakPlan) -> None:
        self.plan, self.record = plan, SoakRecord()
        self._draw = random.Random(plan.seed + 1)
        options = RigOptions(limiters=plan.limiters, endpoints=plan.endpoints, work=0.01)
        self.rig = Rig(options)
        self._busy = {f"s-{number}": 0 for number in range(plan.endpoints)}
        self._crowd: list[RawClient] = []
        self._starting = set[str]()
        self._broken_files = set[str]()  # limiters whose file is broken now
        self._ending = set[str]()  # processes that have been told to end
        self._refused = set[tuple[str, bytes]]()  # endpoints with the ids that they refused
        self._kinds = [kind for kind in FAULTY_ANSWERS if plan.has(f"server: {kind}")]
        self._running: dict[str, str] = {name: name for name in self.rig.names}
        self._open_operations = 0
        assert set(FAULTY_ANSWERS) < set(SERVER_KINDS)

    def run(self) -> SoakRecord:
        """Plays the plan."""
        with self.rig:
            self.rig.script = self._script
            self.rig.run(self._play, timeout=self.plan.seconds + 60.0)
            self._collect_executions()
        return self.record

    def _play(self) -> None:
        rig, plan = self.rig, self.plan
        rig.start()
        if plan.has("operation: crowd"):
            self._crowd = [rig.connect(rig.names[0]) for _ in range(CROWD_CLIENTS)]
        begin = rig.scheduler.clock()
        rig.scheduler.spawn(self._measure_lateness, name="lateness")
        clients = [SoakClient(rig, plan, n, self.record) for n in range(plan.clients)]
        for client in clients:
            rig.scheduler.spawn(client.run, begin + plan.seconds, name="client")
        if plan.has("server: drain"):
            rig.scheduler.at(begin + plan.seconds / 2, self._drain_one)
        for operation in plan.operations:
            rig.scheduler.sleep(max(begin + operation.at - rig.scheduler.clock(), 0.0))
            self._open_operations += 1
            rig.scheduler.spawn(self._operate, operation, name=operation.what)
        while not all(client.is_done for client in clients) or self._open_operations:
            rig.scheduler.sleep(0.05)
        for idle in self._crowd:
            idle.close()
        self._probe()
        for process in self._running.values():
            if rig.processes.reap(process):
                self.record.crashes.append(f"{process}: {rig.log(process, 300)}")
            else:
                self.record.peak_memory_kb = max(self.record.peak_memory_kb, rig.memory_kb(process))

    def _measure_lateness(self) -> None:
        while True:
            due = self.rig.scheduler.clock() + LATENESS_POLL_S
            self.rig.scheduler.sleep(LATENESS_POLL_S)
            late = self.rig.scheduler.clock() - due
            self.record.max_lateness = max(self.record.max_lateness, late)

    # Endpoints

    def _script(self, arguments: list[bytes]) -> AnswerScript:
        request_id = arguments[2].decode()
        digits = request_id[ID_DIGITS:]
        value = value_for(request_id, int(digits, 16) if digits else 0)
        whole = answer(value, b"used=1", b"inflight=1,queue=0,util=0.1")
        faults = len(self._kinds) * FAULT_SHARE
        if self._kinds and self._draw.random() < faults:
            kind = self._draw.choice(self._kinds)
            if kind == "busy":
                self._record_refusal(arguments[2])
            return self._faulty(kind, whole)
        pieces = self._draw.choice((1, 3)) if len(value) > 70_000 else 1
        return in_pieces(whole, pieces, 0.1) if pieces > 1 else [Write(whole)]

    def _record_refusal(self, request_id: bytes) -> None:
        latest = next(run for run in reversed(self.rig.executions) if run.id == request_id)
        self._refused.add((latest.endpoint, request_id))

    def _faulty(self, kind: str, whole: bytes) -> Sequence[Write | Pause | End]:
        if kind == "pieces":
            return in_pieces(whole, self._draw.choice((2, 4)), 0.05 + 0.2 * self._draw.random())
        if kind == "reset":
            cut = self._draw.randrange(len(whole))
            return [Write(whole[: cut if self._draw.random() < 0.5 else 0]), Pause(0.02), End.RESET]
        if kind == "hang":
            return [End.HANG]
        if kind == "error":
            return [Write(b"-ERR failed inflight=1,queue=0,util=0.1\r\n")]
        if kind == "busy":
            return [Write(b"-BUSY\r\n")]
        return [Write(self._draw.choice(UNSOUND_ANSWERS)), Pause(0.05), End.CLOSE]

    def _drain_one(self) -> None:
        number = self._draw.randrange(self.plan.endpoints)
        cell = number % self.rig.options.cells
        self.rig.list_endpoint(f"s-{number}", number, cell, state="draining")
        drain = DrainRecord(f"s-{number}", self.rig.scheduler.clock())
        if not self.plan.has("operation: silence"):  # else it may be told much later
            self.record.drains.append(drain)

    def _collect_executions(self) -> None:
        for run in self.rig.executions:
            fields = dict(item.split("=", 1) for item in run.arguments[3].decode().split(","))
            told = int(fields["d"]) / 1000
            refused = (run.endpoint, run.id) in self._refused
            self.record.executions.append(
                ExecutionRecord(run.time, run.endpoint, run.cell, run.id.decode(), told, refused)
            )

    # Operations

    def _operate(self, operation: Operation) -> None:
        name = self.rig.names[operation.limiter]
        try:
            getattr(self, "_" + operation.what.replace(" ", "_"))(name)
        finally:
            self._open_operations -= 1

    def _reload(self, name: str) -> None:
        self.rig.write_config(name)
        self.rig.processes.signal(self._running[name], signal.SIGHUP)

    def _broken_file(self, name: str) -> None:
        path = self.rig.folder / name / "config.json"
        if name in self._broken_files or self._running[name] in self._starting:
            return
        self._broken_files.add(name)
        whole = path.read_bytes()
        path.write_bytes(whole[: self._draw.randrange(len(whole))])
        self.rig.processes.signal(self._running[name], signal.SIGHUP)
        self.rig.scheduler.sleep(0.3)
        path.write_bytes(whole)
        self._broken_files.discard(name)

    def _await_whole_file(self, name: str) -> None:
        """No process starts with a broken file: it would end, as it should."""
        while name in self._broken_files:
            self.rig.scheduler.sleep(0.05)

    def _restart(self, name: str) -> None:
        process = self._running[name]
        if self._end(process):
            self._starting.add(process)
            self._await_whole_file(name)
            self.rig.start(process)  # until it is ready
            self._starting.discard(process)

    def _upgrade(self, name: str) -> None:
        old = self._running[name]
        if not self.rig.processes.members[old].running or old in self._ending:
            return
        self._await_whole_file(name)
        new = self.rig.start_upgrade(name)
        self._running[name] = new
        self._starting.add(new)
        self.rig.scheduler.sleep(1.0 + self._draw.random())
        self._starting.discard(new)
        self._end(old)

    def _end(self, process: str) -> bool:
        """Sends SIGTERM, and SIGKILL at the earliest; returns whether it ran."""
        if not self.rig.processes.members[process].running or process in self._starting:
            return False  # a planned restart is of a process that was ready
        if process in self._ending:
            self.rig.terminate(process)  # signals in series
            return False
        self._ending.add(process)
        began = self.rig.scheduler.clock()
        self.rig.terminate(process)
        has_ended = self.rig.await_end(process, EARLIEST_KILL_S)
        after = self.rig.scheduler.clock() - began
        if not has_ended:
            self.rig.processes.kill(process)
        self._ending.discard(process)
        status = self.rig.processes.members[process].status
        self.record.exits.append(ExitRecord(process, began + after, after, status))
        return True

    def _pause(self, name: str) -> None:
        process, began = self._running[name], self.rig.scheduler.clock()
        self.rig.processes.signal(process, signal.SIGSTOP)
        self.rig.scheduler.sleep(MAX_PAUSE_S * self._draw.random())
        self.rig.processes.signal(process, signal.SIGCONT)
        self.record.pauses.append(PauseRecord(began, self.rig.scheduler.clock()))

    def _silence(self, name: str) -> None:
        del name
        self.rig.discovery.set_down(True)
        self.rig.scheduler.sleep(SILENCE_S * self._draw.random())
        self.rig.discovery.set_down(False)

    def _probe(self) -> None:
        """Sends requests until one is served, for some seconds."""
        self._kinds = []
        until = self.rig.scheduler.clock() + 6.0
        while self.rig.scheduler.clock() < until and not self.record.served_at_end:
            client = self.rig.connect()
            request = RequestRecord("f" * ID_DIGITS + "10", "look", 2.0)
            fields = f"c=look,t=gold,d=2000,units=1,spread={self.plan.limiters},first=0"
            client.send(encode(b"Q.ASK", b"0" * 16, request.id.encode(), fields.encode()))
            found = client.answer(3.0)
            self.record.served_at_end = found is not None and found.kind is Kind.VALUE
            client.close()
            self.rig.scheduler.sleep(0.1)
