"""Plays a soak plan on real processes and returns the record for the checker."""

from __future__ import annotations

import random
import signal
from dataclasses import replace

from hazelhollow.soak.answers import ID_DIGITS, AnswerWriter
from hazelhollow.soak.clients import SoakClient
from hazelhollow.soak.hostile_clients import read_nothing
from hazelhollow.soak.plan import (
    CLIENTS_WITHOUT_READER,
    CROWD_CLIENTS,
    LIMITER_MEMORY_MB,
    Operation,
    SoakPlan,
)
from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.record import (
    DrainRecord,
    ExecutionRecord,
    ExitRecord,
    PauseRecord,
    RequestRecord,
    SoakRecord,
)
from hazelhollow.soak.rig import Rig, RigOptions
from hazelhollow.soak.wire import Kind, encode
from hazelhollow.standins.node import SlowReading

MAX_PAUSE_S = 0.15  # for which a process may be held up
EARLIEST_KILL_S = 3.7  # after SIGTERM: the longest deadline and 0.7 s
SILENCE_S = 2.5  # of discovery
WORK_S = 0.01  # processing time of a request
LATENESS_POLL_S = 0.01
SLOW_READ_SHARE = 0.4  # of the connections to endpoints
SLOW_READ_S = (0.5, 6.0)  # for a body of the largest size
SLOW_READ_BYTES, SLOW_READ_BUFFER_BYTES, MAX_BODY_BYTES = 2048, 4096, 65_536
NO_READER_INTERVAL_S = 0.015  # between connections of clients that read nothing


class SoakRun:
    """One run of a plan; `run` may be called once."""

    def __init__(self, plan: SoakPlan, options: RigOptions | None = None) -> None:
        """`options`: of the limiters; their numbers are those of the plan."""
        self.plan, self.record = plan, SoakRecord()
        self._draw = random.Random(plan.seed + 1)
        options = options or RigOptions()
        options = replace(
            options,
            limiters=plan.limiters,
            endpoints=plan.endpoints,
            work=WORK_S,
            endpoint_receive_buffer=SLOW_READ_BUFFER_BYTES if plan.has("server: slow reads") else 0,
            limits={**options.limits, "memory_mb": LIMITER_MEMORY_MB},
        )
        self.rig = Rig(options)
        if plan.has("server: slow reads"):
            self.rig.slow_reading = self._draw_reading
        self._answers = AnswerWriter(plan, self.rig, self.record, self._draw)
        self._without_reader: list[RawClient] = []
        self._busy = {f"s-{number}": 0 for number in range(plan.endpoints)}
        self._crowd: list[RawClient] = []
        self._starting = set[str]()
        self._broken_files = set[str]()  # limiters whose file is broken now
        self._ending = set[str]()  # processes that have been told to end
        self._running: dict[str, str] = {name: name for name in self.rig.names}
        self._open_operations = 0

    def run(self) -> SoakRecord:
        """Plays the plan."""
        with self.rig:
            self.rig.script = self._answers.script
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
        if plan.has("client: no reader"):
            rig.scheduler.spawn(self._connect_clients_without_reader, name="no readers")
        if plan.has("server: drain"):
            rig.scheduler.at(begin + plan.seconds / 2, self._drain_one)
        for operation in plan.operations:
            rig.scheduler.sleep(max(begin + operation.at - rig.scheduler.clock(), 0.0))
            self._open_operations += 1
            rig.scheduler.spawn(self._operate, operation, name=operation.what)
        while not all(client.is_done for client in clients) or self._open_operations:
            rig.scheduler.sleep(0.05)
        for idle in self._crowd + self._without_reader:
            idle.close()
        self._probe()
        for process in self._running.values():
            if rig.processes.reap(process):
                self.record.crashes.append(f"{process}: {rig.log(process, 300)}")
            else:
                self._note_memory(process)

    def _connect_clients_without_reader(self) -> None:
        for _ in range(CLIENTS_WITHOUT_READER):
            name = self._draw.choice(self.rig.names)
            self._without_reader.append(read_nothing(self.rig, self._draw, name))
            self.rig.scheduler.sleep(NO_READER_INTERVAL_S)

    def _note_memory(self, process: str) -> None:
        peak = max(self.record.peak_memory_kb, self.rig.peak_memory_kb(process))
        self.record.peak_memory_kb = peak

    def _measure_lateness(self) -> None:
        while True:
            due = self.rig.scheduler.clock() + LATENESS_POLL_S
            self.rig.scheduler.sleep(LATENESS_POLL_S)
            late = self.rig.scheduler.clock() - due
            self.record.max_lateness = max(self.record.max_lateness, late)

    # Endpoints

    def _draw_reading(self) -> SlowReading | None:
        """Draws how an endpoint reads a connection: some take 0.5 to 6 s for a large request."""
        if self._draw.random() >= SLOW_READ_SHARE:
            return None
        seconds = self._draw.uniform(*SLOW_READ_S)
        return SlowReading(SLOW_READ_BYTES, seconds * SLOW_READ_BYTES / MAX_BODY_BYTES)

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
            refused = (run.endpoint, run.id) in self._answers.refused
            self.record.executions.append(
                ExecutionRecord(
                    run.time, run.endpoint, run.cell, run.id.decode(), told, refused, run.reading
                )
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
        self._note_memory(process)
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
        self._answers.kinds = []
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
