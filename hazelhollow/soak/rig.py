"""The limiter processes, endpoints and discovery of one run, on loopback.

Limiters are real processes, started with the deploy file's `run` command. Endpoints and discovery
are stand-ins on the scheduler of this process, so that what they received and executed can be
compared with what clients sent and were told, on one clock.
"""

from __future__ import annotations

import shutil
import signal
import sys
import tempfile
import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import orjson

from hazelhollow.fault_injection.addresses import (
    CLIENT_PORT,
    DISCOVERY_PORT,
    ENDPOINT_PORT,
    FIRST_ENDPOINT,
    OPERATOR_PORT,
    PEER_PORT,
    SHARED,
    Address,
    free_network,
    to_text,
)
from hazelhollow.fault_injection.errors import HarnessError
from hazelhollow.fault_injection.processes import ProcessGroup
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.wire import Kind, encode
from hazelhollow.standins.answer_script import AnswerScript, ScriptWriter, Write, answer
from hazelhollow.standins.discovery import Discovery, Host
from hazelhollow.standins.node import Node, NodeOptions, SlowReading

DEPLOY_FILE = Path(__file__).resolve().parents[2] / "deploy" / "balancer.toml"
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
RUN_TIMEOUT_S = 120.0
LONG_AGO = 0.0  # start time of an endpoint that does not warm up
UPGRADE_OFFSET = 6  # of the operator address's last octet, for the new process of an upgrade

CLASSES: tuple[dict[str, Any], ...] = (
    {"name": "look", "objective": 1.0, "deadline": 2.0, "effect": "pure"},
    {
        "name": "buy",
        "objective": 1.0,
        "deadline": 3.0,
        "effect": "token",
        "dedup_scope": "cell",
        "window": 5.0,
    },
    {"name": "pay", "objective": 1.0, "deadline": 3.0, "effect": "side_effect"},
)


@dataclass(frozen=True)
class Execution:
    """One request that an endpoint began to run, after it had read it for `reading` seconds."""

    time: float
    endpoint: str
    cell: int
    arguments: tuple[bytes, ...]
    reading: float = 0.0

    @property
    def id(self) -> bytes:
        """The request's id."""
        return self.arguments[2]


@dataclass(frozen=True)
class RigOptions:
    """What a run consists of.

    Attributes:
        limiters: Number of limiter processes.
        endpoints: Number of endpoints at the start.
        cells: Number of cells, over which the endpoints are spread.
        classes: The request classes of the settings.
        limits: The limits of each process in the platform's configuration.
        module: The program's module; tests replace it by one that injects faults.
        work: Processing time of a request, in seconds.
        environment: Further environment variables of the limiters.
        endpoint_receive_buffer: Of the endpoints' connections in bytes; 0: the system's own.
        settings: Keys that replace those of the settings.
    """

    limiters: int = 1
    endpoints: int = 3
    cells: int = 2
    classes: Sequence[Mapping[str, Any]] = CLASSES
    limits: Mapping[str, float] = field(
        default_factory=lambda: {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    )
    module: str = "hazelhollow"
    work: float = 0.005
    environment: Mapping[str, str] = field(default_factory=dict)
    endpoint_receive_buffer: int = 0
    settings: Mapping[str, Any] = field(default_factory=dict)


class Rig:
    """Everything that one run talks to. Use as a context manager; `run` plays a scenario.

    Attributes:
        executions: What the endpoints began to run, in order.
        written: For each finished answer the request's id and the bytes that the system took.
        script: What endpoints write for a request; None: a short value.
        slow_reading: How endpoints read a new connection; None: at once.
    """

    def __init__(self, options: RigOptions | None = None) -> None:
        """Creates the stand-ins and the files; starts no process."""
        self.options = options or RigOptions()
        self.scheduler = Scheduler(Clock())
        self.folder = Path(tempfile.mkdtemp(prefix="hazelhollow-soak-"))
        self.network = free_network()
        self.processes = ProcessGroup(self.folder, keep=False)
        self.discovery = Discovery(self.scheduler)
        self.executions: list[Execution] = []
        self.written: list[tuple[bytes, int]] = []
        self.script: ScriptWriter | None = None
        self.slow_reading: Callable[[], SlowReading | None] = lambda: None
        self.endpoints: dict[str, Node] = {}
        self.names = [f"n{number}" for number in range(self.options.limiters)]
        for number, name in enumerate(self.names):
            self.discovery.listen(name, self.network.own(SHARED, DISCOVERY_PORT + number))
        for number in range(self.options.endpoints):
            self.add_endpoint(f"s-{number}", number, number % self.options.cells)
        for number, name in enumerate(self.names):
            self._add_limiter(number, name)

    def __enter__(self) -> Rig:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        at: TracebackType | None,
    ) -> None:
        self.processes.close()
        self.discovery.close()
        for node in self.endpoints.values():
            node.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Endpoints and discovery

    def add_endpoint(
        self, name: str, number: int, cell: int, started: float = LONG_AGO, listed: bool = True
    ) -> Node:
        """Starts an endpoint at the address of that number, and lists it."""
        address = self.network.own(FIRST_ENDPOINT + number, ENDPOINT_PORT)
        options = NodeOptions(
            work=self.options.work,
            cores=64,
            script=lambda arguments: self.write_answer(arguments),
            receive_buffer=self.options.endpoint_receive_buffer,
            slow_reading=lambda: self.slow_reading(),
            on_begin=lambda arguments, reading: self._record(name, cell, arguments, reading),
            on_written=lambda arguments, sent: self.written.append((arguments[2], sent)),
        )
        node = self.endpoints[name] = Node(self.scheduler, address, options)
        node.start()
        if listed:
            self.list_endpoint(name, number, cell, started)
        return node

    def list_endpoint(
        self, name: str, number: int, cell: int, started: float = LONG_AGO, state: str = "up"
    ) -> None:
        """Adds an endpoint to discovery's list, or changes its entry."""
        address = to_text(self.network.own(FIRST_ENDPOINT + number, ENDPOINT_PORT))
        addresses = dict.fromkeys(self.names, address)
        host = Host(name, addresses, state=state, started=started, group=cell)
        self.discovery.change(host)

    def write_answer(self, arguments: list[bytes]) -> AnswerScript:
        """Returns the script for a request: that of `script`, or the request's id as its value."""
        if self.script is not None:
            return self.script(arguments)
        return (Write(answer(b"value of " + arguments[2])),)

    def _record(self, name: str, cell: int, arguments: list[bytes], reading: float) -> None:
        now = self.scheduler.clock()
        self.executions.append(Execution(now, name, cell, tuple(arguments), reading))

    # Limiters

    def _add_limiter(self, number: int, name: str) -> None:
        (self.folder / name).mkdir()
        self.write_config(name)
        self._add_process(name, name, number + 1)

    def _add_process(self, process: str, limiter: str, operator_host: int) -> None:
        run, module = tomllib.loads(DEPLOY_FILE.read_text())["run"], self.options.module
        command = run.replace(".venv/bin/python -m hazelhollow", f"{sys.executable} -m {module}")
        home = self.folder / limiter
        environment = {
            "RELAY_CONFIG": str(home / "config.json"),
            "RELAY_OPERATOR": to_text(self.network.own(operator_host, OPERATOR_PORT)),
            "TMPDIR": str(home),
            **self.options.environment,
        }
        self.processes.add(process, ["/bin/sh", "-c", command], environment)

    def config(self, name: str) -> dict[str, Any]:
        """Returns the platform's configuration document of a limiter."""
        number = self.names.index(name)
        return {
            "name": name,
            "listen": to_text(self.address(name)),
            "peer_listen": to_text(self.network.own(number + 1, PEER_PORT)),
            "peers": [
                to_text(self.network.own(peer + 1, PEER_PORT)) for peer in range(len(self.names))
            ],
            "discovery": to_text(self.network.own(SHARED, DISCOVERY_PORT + number)),
            "seed": f"{number + 1:x}",
            "limits": dict(self.options.limits),
            "known": orjson.loads(self.discovery.document(name, None)),
            "settings": self._settings(number),
        }

    def _settings(self, number: int) -> dict[str, Any]:
        plan = {
            "name": "gold",
            "per_second": 5000.0,
            "most_at_once": 20000.0,
            "excess_cost": 1.0,
        }
        return {
            "position": number,
            "balancers": len(self.names),
            "zone": "a",
            "step": 0.001,
            "grades": [dict(kind) for kind in self.options.classes],
            "tariffs": [plan],
            "family_info": {"max_units": 4, "inbox_per_s": 100.0},
            "policy_limits": {
                "max_attempts": 6,
                "peers": True,
                "retry_after": True,
                "max_retry_after": 1.0,
                "cancelling": True,
                "connect_timeout": 0.25,
                "conn_idle": 10.0,
            },
            "safety": {
                "cold": 4.0,
                "cold_from": 0.25,
                "drain_grace": 0.25,
                "tip_after": 2.0,
                "tip_multiple": 4.0,
            },
            **self.options.settings,
        }

    def write_config(self, name: str) -> None:
        """Replaces a limiter's configuration file."""
        home = self.folder / name
        part = home / "config.part"
        part.write_bytes(orjson.dumps(self.config(name), option=orjson.OPT_INDENT_2))
        part.replace(home / "config.json")

    def address(self, name: str) -> Address:
        """Returns the address at which clients reach a limiter."""
        return self.network.own(self.names.index(name) + 1, CLIENT_PORT)

    def start(self, *processes: str) -> None:
        """Starts limiter processes (default: all) and waits until each has answered `PING`.

        Raises:
            HarnessError: One was not ready in time.
        """
        for name in processes or self.names:
            self.processes.start(name)
        for name in processes or self.names:
            self._await_ready(name.partition("'")[0])

    def _await_ready(self, name: str) -> None:
        until = self.scheduler.clock() + READY_TIMEOUT_S
        while self.scheduler.clock() < until:
            client = self.connect(name)
            client.send(encode(b"PING"))
            pong = client.answer(1.0)
            client.close()
            if pong and pong.kind is Kind.STATUS:
                return
            self.scheduler.sleep(READY_POLL_S)
        raise HarnessError(f"{name} was not ready within {READY_TIMEOUT_S:.0f} s: {self.log(name)}")

    def start_upgrade(self, name: str) -> str:
        """Starts the new process of an upgrade beside the old one; returns its process name."""
        generation = 1 + sum(known.startswith(f"{name}'") for known in self.processes.members)
        process = f"{name}'{generation}"
        host = self.names.index(name) + 1 + UPGRADE_OFFSET * generation
        self._add_process(process, name, host)
        self.processes.start(process)
        return process

    def terminate(self, name: str) -> None:
        """Sends SIGTERM."""
        self.processes.signal(name, signal.SIGTERM)

    def await_end(self, name: str, timeout: float) -> bool:
        """Waits until a process has ended; returns whether it has."""
        until = self.scheduler.clock() + timeout
        while not self.processes.reap(name):
            if self.scheduler.clock() > until:
                return False
            self.scheduler.sleep(READY_POLL_S)
        return True

    def log(self, name: str, tail: int = 2000) -> str:
        """Returns the end of a process's log."""
        path = self.processes.members[name].log
        return path.read_text(errors="replace")[-tail:] if path.exists() else ""

    def memory_kb(self, name: str) -> int:
        """Returns the resident memory of a running process."""
        text = Path(f"/proc/{self.processes.members[name].pid}/status").read_text()
        return int(text.partition("VmRSS:")[2].split()[0])

    def peak_memory_kb(self, name: str) -> int:
        """Returns the most resident memory that a running process has had."""
        text = Path(f"/proc/{self.processes.members[name].pid}/status").read_text()
        return int(text.partition("VmHWM:")[2].split()[0])

    # The scenario

    def connect(self, name: str = "n0", receive_buffer: int = 0) -> RawClient:
        """Connects a client to a limiter."""
        return RawClient(self.scheduler, self.address(name), receive_buffer)

    def run(self, scenario: Callable[[], None], timeout: float = RUN_TIMEOUT_S) -> None:
        """Plays a scenario as a task of the scheduler; raises what the scenario raises."""
        errors: list[BaseException] = []

        def play() -> None:
            try:
                scenario()
            except BaseException as error:
                errors.append(error)
            finally:
                self.scheduler.stop()

        def give_up() -> None:
            errors.append(HarnessError(f"the scenario did not end within {timeout:.0f} s"))
            self.scheduler.stop()

        self.scheduler.spawn(play, name="scenario")
        timer = self.scheduler.at(self.scheduler.clock() + timeout, give_up)
        self.scheduler.run()
        timer.cancel()
        if errors:
            raise errors[0]
