"""Supervisor of a cluster that stays up until a command or a signal ends it.

It accepts commands on a TCP address that a file in the cluster's folder gives. A connection carries
one command, a JSON line with the token from that file.
"""

from __future__ import annotations

import os
import secrets
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from hazelhollow.fault_injection.addresses import SHARED, to_text
from hazelhollow.fault_injection.errors import CommandError
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster, OperatorFile
from hazelhollow.fault_injection.plan import Plan
from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import TIMED_OUT, Clock, Scheduler
from hazelhollow.standins.link_faults import LinkFault

FILE = "rig.json"  # the supervisor's address, token and pid; readable only by its owner
PORT = 7100
MAX_BYTES = 1 << 16  # size of a command or its answer
TIMEOUT_S = 10.0  # for receiving a command
REAP_INTERVAL_S = 0.1


class Supervisor:
    """Starts a cluster and executes commands until one of them ends it."""

    def __init__(self, plan: Plan, folder: Path, operator: OperatorFile | None = None) -> None:
        self.scheduler, self.folder = Scheduler(Clock()), folder
        self.cluster = LoopbackCluster(self.scheduler, plan, folder, operator=operator)
        self.token, self._stopping = secrets.token_hex(16), False
        self._sock = socket.create_server(self.cluster.own(SHARED, PORT), backlog=16)
        self._sock.setblocking(False)
        self.error: BaseException | None = None

    def run(self, ready: Callable[[LoopbackCluster], None]) -> None:
        """Runs until `down`, SIGTERM, SIGHUP or Ctrl-C; calls `ready` when all limiters are ready.

        No process, socket or file remains afterwards.
        """
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: self.scheduler.stop())
        self.scheduler.spawn(self._start, ready, name="begin")
        self.scheduler.spawn_supervised(self._reap, "reap")
        try:
            self.scheduler.run()
        finally:
            self._sock.close()
            self.cluster.close()
        if self.error:
            raise self.error

    def _start(self, ready: Callable[[LoopbackCluster], None]) -> None:
        try:
            self.cluster.start()
            document = {
                "address": list(self._sock.getsockname()),
                "token": self.token,
                "pid": os.getpid(),
            }
            with open(
                os.open(self.folder / FILE, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb"
            ) as file:
                file.write(orjson.dumps(document))
            self.scheduler.spawn_supervised(self._accept, "control")
            ready(self.cluster)
        except BaseException as error:
            self.error = error
            self.scheduler.stop()

    def _reap(self) -> None:
        while True:
            for name in self.cluster.processes.members:
                self.cluster.processes.reap(name)
            self.scheduler.sleep(REAP_INTERVAL_S)

    def _accept(self) -> None:
        for sock in stream.accept_connections(self.scheduler, self._sock):
            self.scheduler.spawn(
                self._serve, stream.Stream(self.scheduler, sock, MAX_BYTES), name="command"
            )

    def _serve(self, driver: stream.Stream) -> None:
        until, received = self.scheduler.clock() + TIMEOUT_S, b""
        while not received.endswith(b"\n"):
            if driver.wait(until) == TIMED_OUT or len(received) > MAX_BYTES:
                driver.close(CloseReason.TIMED_OUT)
                return
            data = driver.read(MAX_BYTES)
            if isinstance(data, CloseReason):
                driver.close(data)
                return
            received += data or b""
        try:
            answer = {"done": self._execute(orjson.loads(received))}
        except (CommandError, KeyError, TypeError, orjson.JSONDecodeError) as error:
            answer = {"error": str(error)}
        driver.write(orjson.dumps(answer) + b"\n")
        driver.flush()
        driver.close(CloseReason.CLOSED)
        if self._stopping:
            self.scheduler.stop()

    def _execute(self, command: dict[str, Any]) -> Any:
        if not secrets.compare_digest(str(command.get("token", "")), self.token):
            raise CommandError("not the token of this fleet")
        verb = command.get("do")
        if verb == "status":
            return self.status()
        if verb == "down":
            self._stopping = True
            return "down"
        if verb == "heal":
            self.cluster.relay.heal()
            return "all link faults ended"
        if verb == "cut":
            return self._cut(command["a"], command["b"], bool(command.get("one_way")))
        if verb in ("kill", "start", "pause", "resume"):
            return self._signal(verb, command["name"])
        raise CommandError(f"no command {verb!r}")

    def _cut(self, a: str, b: str, one_way: bool) -> str:
        valid_names = {*self.cluster.processes.members, "d", "c"}
        for name in (a, b):
            if name not in valid_names:
                raise CommandError(
                    f"no process {name!r}; the processes are {', '.join(sorted(valid_names))}"
                )
        if a == b:
            raise CommandError(f"a link connects two different processes; got {a!r} twice")
        self.cluster.relay.begin(
            LinkFault(partitioned=True), [(a, b)] if one_way else [(a, b), (b, a)]
        )
        return f"{a} no longer reaches {b}" + ("" if one_way else ", and vice versa")

    def _signal(self, verb: str, name: str) -> str:
        processes = self.cluster.processes
        if name not in processes.members:
            raise CommandError(
                f"no process {name!r}; the processes are {', '.join(sorted(processes.members))}"
            )
        process = processes.members[name]
        if verb == "start":
            if process.running:
                raise CommandError(f"{name} is already running")
            processes.start(name)
        elif not process.running:
            raise CommandError(f"{name} is not running")
        else:
            processes.signal(
                name,
                {"kill": signal.SIGKILL, "pause": signal.SIGSTOP, "resume": signal.SIGCONT}[verb],
            )
        return f"{verb} {name}"

    def _view(self, name: str) -> dict[str, Any]:
        """Returns a limiter's membership by member number; empty if it keeps none."""
        first, _, _ = self.cluster.call(name, "fleet").partition(b"\n")
        members: dict[str, Any] = orjson.loads(first)["members"] if first.startswith(b"{") else {}
        return members

    def status(self) -> dict[str, Any]:
        """Returns the processes with their states and memberships, and the links with faults."""
        found: dict[str, Any] = {"processes": [], "links": []}
        for name, process in self.cluster.processes.members.items():
            state = (
                "paused"
                if process.paused and process.running
                else "running"
                if process.running
                else "ended"
            )
            row = {"name": name, "pid": process.pid, "state": state, "starts": process.starts}
            if name in self.cluster.names and state == "running":
                row["ready"] = self.cluster.is_ready(name)
                row["address"] = to_text(self.cluster.client_address(name))
                row["view"] = self._view(name)
            found["processes"].append(row)
        for (a, b), link in sorted(self.cluster.relay.links.items()):
            if link.faults:
                found["links"].append(
                    {"from": a, "to": b, "faults": len(link.faults), "lost": link.lost}
                )
        return found


def command(folder: Path, **arguments: Any) -> Any:
    """Sends a command to the supervisor whose file is in `folder` and returns its result.

    Raises:
        CommandError: no supervisor answers there, or it refused the command.
    """
    try:
        contact = orjson.loads((folder / FILE).read_bytes())
        with socket.create_connection(tuple(contact["address"]), timeout=TIMEOUT_S) as sock:
            sock.sendall(orjson.dumps(arguments | {"token": contact["token"]}) + b"\n")
            answer = b""
            while chunk := sock.recv(MAX_BYTES):
                answer += chunk
        document = orjson.loads(answer)
    except FileNotFoundError:
        raise CommandError(f"no fleet is up in {folder}") from None
    except (OSError, orjson.JSONDecodeError) as error:
        raise CommandError(f"the supervisor of {folder} did not answer: {error}") from None
    if "error" in document:
        raise CommandError(document["error"])
    return document["done"]
