"""A fleet that stays up.

Its supervisor takes one JSON line a connection at an address that a file names.
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

from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.plan import Plan
from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import TIMED_OUT, Clock, Scheduler
from hazelhollow.standins.relay import Fault

FILE = "rig.json"  # address, token and number of the supervisor; readable by its owner alone
PORT = 7100
MOST = 1 << 16
WITHIN = 10.0  # seconds for a command
LOOK = 0.1  # seconds between looks at processes that have ended


class CommandError(Exception):
    """A command that cannot be done; says why."""


class Supervisor:
    def __init__(
        self, plan: Plan, folder: Path, operator: Callable[[str, Path], str] | None = None
    ) -> None:
        self.scheduler, self.folder = Scheduler(Clock()), folder
        self.cluster = LoopbackCluster(self.scheduler, plan, folder, operator=operator)
        self.token, self._stopping = secrets.token_hex(16), False
        self._sock = socket.create_server(self.cluster.own(250, PORT), backlog=16)
        self._sock.setblocking(False)
        self.error: BaseException | None = None

    def run(self, ready: Callable[[LoopbackCluster], None]) -> None:
        """Until `down`, SIGTERM or Ctrl-C; then no process, socket or file is left."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: self.scheduler.stop())
        self.scheduler.spawn(self._begin, ready, name="begin")
        self.scheduler.spawn_supervised(self._look, "look")
        try:
            self.scheduler.run()
        finally:
            self._sock.close()
            self.cluster.close()
        if self.error:
            raise self.error

    def _begin(self, ready: Callable[[LoopbackCluster], None]) -> None:
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

    def _look(self) -> None:
        while True:
            for name in self.cluster.processes.members:
                self.cluster.processes.reap(name)
            self.scheduler.sleep(LOOK)

    def _accept(self) -> None:
        for sock in stream.accept_connections(self.scheduler, self._sock):
            self.scheduler.spawn(
                self._serve, stream.Stream(self.scheduler, sock, MOST), name="command"
            )

    def _serve(self, driver: stream.Stream) -> None:
        until, held = self.scheduler.clock() + WITHIN, b""
        while not held.endswith(b"\n"):
            if driver.wait(until) == TIMED_OUT or len(held) > MOST:
                driver.close(CloseReason.TIMED_OUT)
                return
            data = driver.read(MOST)
            if isinstance(data, CloseReason):
                driver.close(data)
                return
            held += data or b""
        try:
            answer = {"done": self._do(orjson.loads(held))}
        except (CommandError, KeyError, TypeError, orjson.JSONDecodeError) as error:
            answer = {"error": str(error)}
        driver.write(orjson.dumps(answer) + b"\n")
        driver.flush()
        driver.close(CloseReason.CLOSED)
        if self._stopping:
            self.scheduler.stop()

    def _do(self, words: dict[str, Any]) -> Any:
        if not secrets.compare_digest(str(words.get("token", "")), self.token):
            raise CommandError("not the token of this fleet")
        verb = words.get("do")
        if verb == "status":
            return self.status()
        if verb == "down":
            self._stopping = True
            return "down"
        if verb == "heal":
            self.cluster.relay.heal()
            return "every link is whole"
        if verb == "cut":
            return self._cut(words["a"], words["b"], bool(words.get("one_way")))
        if verb in ("kill", "start", "pause", "resume"):
            return self._process(verb, words["name"])
        raise CommandError(f"no command {verb!r}")

    def _cut(self, a: str, b: str, one_way: bool) -> str:
        known = {*self.cluster.processes.members, "d", "c"}
        for name in (a, b):
            if name not in known:
                raise CommandError(f"no process {name!r}; there are {', '.join(sorted(known))}")
        if a == b:
            raise CommandError("a link is between two")
        self.cluster.relay.begin(Fault(cut=True), [(a, b)] if one_way else [(a, b), (b, a)])
        return f"{a} no longer reaches {b}" + ("" if one_way else ", nor the other way")

    def _process(self, verb: str, name: str) -> str:
        processes = self.cluster.processes
        if name not in processes.members:
            raise CommandError(
                f"no process {name!r}; there are {', '.join(sorted(processes.members))}"
            )
        one = processes.members[name]
        if verb == "start":
            if one.running:
                raise CommandError(f"{name} runs already")
            processes.start(name)
        elif not one.running:
            raise CommandError(f"{name} does not run")
        else:
            processes.signal(
                name,
                {"kill": signal.SIGKILL, "pause": signal.SIGSTOP, "resume": signal.SIGCONT}[verb],
            )
        return f"{verb} {name}"

    def _view(self, name: str) -> dict[str, Any]:
        """What a limiter says of the others.

        By number, the state and for how long; nothing where it keeps no view.
        """
        first, _, _ = self.cluster.call(name, "fleet").partition(b"\n")
        members: dict[str, Any] = orjson.loads(first)["members"] if first.startswith(b"{") else {}
        return members

    def status(self) -> dict[str, Any]:
        """What runs, what each limiter says of itself and of the others.

        And which links are not whole.
        """
        found: dict[str, Any] = {"processes": [], "links": []}
        for name, one in self.cluster.processes.members.items():
            state = (
                "paused" if one.paused and one.running else "running" if one.running else "ended"
            )
            row = {"name": name, "pid": one.pid, "state": state, "starts": one.starts}
            if name in self.cluster.names and state == "running":
                row["ready"] = self.cluster.call(name, "check").startswith(b"done")
                row["address"] = ":".join(map(str, self.cluster.client_address(name)))
                row["view"] = self._view(name)
            found["processes"].append(row)
        for (a, b), link in sorted(self.cluster.relay.links.items()):
            if link.faults:
                found["links"].append(
                    {"from": a, "to": b, "faults": len(link.faults), "lost": link.lost}
                )
        return found


def command(folder: Path, **words: Any) -> Any:
    """Asks the supervisor whose file is in that folder. Raises CommandError."""
    try:
        told = orjson.loads((folder / FILE).read_bytes())
        with socket.create_connection(tuple(told["address"]), timeout=WITHIN) as sock:
            sock.sendall(orjson.dumps(words | {"token": told["token"]}) + b"\n")
            answer = b""
            while chunk := sock.recv(MOST):
                answer += chunk
        document = orjson.loads(answer)
    except FileNotFoundError:
        raise CommandError(f"no fleet is up in {folder}") from None
    except (OSError, orjson.JSONDecodeError) as error:
        raise CommandError(f"the fleet of {folder} does not answer: {error}") from None
    if "error" in document:
        raise CommandError(document["error"])
    return document["done"]
