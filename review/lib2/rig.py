"""The rig of the second review's cases: limiters as processes, everything around them as stand-ins.

The limiters are started with the `run` command of deploy/balancer.toml, from the repository's root,
by `/bin/sh -c`. Servers, discovery's agent and the clients run in the event loop of the case's own
process, which also records what they sent and received. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not be played as its claim says."""


def now() -> float:
    """Seconds since the start of the case, on the machine's monotonic clock."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run: one line each, written as it happens to the case's record.txt."""

    def __init__(self, path: Path) -> None:
        """Begins the file `path` anew."""
        self._file = path.open("w", buffering=1)

    def note(self, what: str, at: float | None = None) -> None:
        """Writes a line with the time of now, or of `at`."""
        self._file.write(f"{now() if at is None else at:9.3f} {what}\n")

    def say(self, what: str) -> None:
        """Writes a line, and prints it."""
        self.note(what)
        print(f"{now():9.3f} {what}", flush=True)

    def close(self) -> None:
        self._file.close()


_given_ports: set[int] = set()


def free_port() -> int:
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in _given_ports:
            _given_ports.add(port)
            return port


# RESP2


def encode(*words: str) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        data = word.encode()
        parts.append(b"$%d\r\n%b\r\n" % (len(data), data))
    return b"".join(parts)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one command; raises IncompleteReadError at the end of the connection."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Reads a limiter's answer: `served`, `refused` or `failed`, and its text."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line.startswith(b"*"):
        if line[1:] == b"0":
            return "failed", line
        return await read_answer(reader)
    if line.startswith(b"$") and line != b"$-1":
        return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    if line == b"-BUSY" or line.startswith(b"-BUSY "):
        return "refused", line
    return "failed", line


class Request:
    """One request of a client, and what became of it."""

    def __init__(
        self, number: int, kind: str, plan: str, customer: int, wait_ms: int, units: int, spread: int,
        first: int, body: str | None = None, key: str = "", request_id: str = "",
    ) -> None:
        self.id = request_id or f"{os.getpid():08x}{number:08x}"
        self.customer = f"{customer:016x}"
        self.units, self.wait_ms = units, wait_ms
        fields = f"c={kind},t={plan},d={wait_ms}" + (f",k={key}" if key else "")
        fields += f",units={units},spread={spread},first={first}"
        verb = ["Q.ASK"] if body is None else ["Q.DO"]
        self.words = [*verb, self.customer, self.id, fields, *([] if body is None else [body])]
        self.sent_at = self.answered_at = 0.0
        self.answer, self.text = "none", b""
        self.sent = 0  # how often

    def fields(self) -> dict[str, str]:
        return dict(item.split("=", 1) for item in self.words[3].split(","))


class Run:
    """One command that reached a server whole."""

    def __init__(self, server: str, at: float, words: list[str]) -> None:
        self.server, self.at, self.words = server, at, words
        self.customer, self.id = words[1], words[2]
        self.fields = dict(item.split("=", 1) for item in words[3].split(","))
        self.units = float(self.fields["units"])


class Server:
    """A sound server: begins a command once its last byte is here, answers after `work` seconds."""

    def __init__(self, rig: Rig, name: str, work: float = 0.005, **entry: Any) -> None:
        self.rig, self.name, self.work = rig, name, work
        self.port = free_port()
        self.entry = {
            "name": name, "address": f"127.0.0.1:{self.port}", "zone": "hall-a", "type": "kind-a",
            "group": 0, "status": "in_service", "weight": 1.0, "since_ms": 0, **entry,
        }
        self.draining = False
        self.work_of: Callable[[Run], float] = lambda _run: self.work
        self.fails: Callable[[Run], bool] = lambda _run: False
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rig.writers.add(writer)
        try:
            while True:
                words = [word.decode() for word in await read_command(reader)]
                verb = words[0].upper()
                if verb == "PING":
                    writer.write(b"+PONG\r\n")
                elif verb in ("CLIENT", "SELECT"):
                    writer.write(b"+OK\r\n")
                elif verb in ("Q.ASK", "Q.DO"):
                    await self._run(words, writer)
                else:
                    writer.write(b"-ERR unknown\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except Exception as error:
            self.rig.faults.append(f"server {self.name}: {error!r}")
        finally:
            writer.close()

    async def _run(self, words: list[str], writer: asyncio.StreamWriter) -> None:
        run = Run(self.name, now(), words)
        self.rig.runs.append(run)
        self.rig.record.note(f"server {self.name} runs {run.id} of {run.customer}: {words[3]}", run.at)
        fails = self.fails(run)
        await asyncio.sleep(self.work_of(run))
        if fails:
            self.rig.record.note(f"server {self.name} answers {run.id} with an error")
            writer.write(b"-ERR failed\r\n")
            return
        value = f"value-of-{run.id}".encode()
        report = b"busy_reqs=1,svc_ms=5,pending=0"
        writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report))


class Discovery:
    """The agent of one limiter: answers whole lists at once, watches when something is new."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.port = rig, free_port()
        self.index, self.entries = 41, dict[str, dict[str, Any]]()
        self.changed: dict[str, int] = {}
        self.delay: Callable[[], float] = lambda: 0.0
        self.calls = 0
        self._news = asyncio.Condition()

    async def start(self) -> None:
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def list_servers(self, servers: list[Server]) -> None:
        self.entries = {server.name: dict(server.entry) for server in servers}
        self.changed = dict.fromkeys(self.entries, self.index)

    async def change(self, name: str, **values: Any) -> None:
        self.index += 1
        self.entries[name] |= values
        self.changed[name] = self.index
        async with self._news:
            self._news.notify_all()

    def document(self, since: int | None = None) -> dict[str, Any]:
        names = [n for n in self.entries if since is None or self.changed[n] > since]
        return {
            "index": self.index, "snapshot": since is None,
            "endpoints": [self.entries[name] for name in names],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rig.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ", 2)[1]
                self.calls += 1
                self.rig.record.note(f"discovery is asked {target}")
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
                since = int(query["from"]) if "from" in query else None
                if since is not None:
                    await self._wait(since, min(float(query.get("hold_ms", 0)), 60_000) / 1000)
                delay = self.delay()
                if delay:
                    await asyncio.sleep(delay)
                body = json.dumps(self.document(since)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
                self.rig.record.note(f"discovery has answered {target} with index {self.index}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.rig.record.note("discovery: a connection has ended")
        except Exception as error:
            self.rig.faults.append(f"discovery: {error!r}")
        finally:
            writer.close()

    async def _wait(self, since: int, seconds: float) -> None:
        async def newer() -> None:
            async with self._news:
                await self._news.wait_for(lambda: self.index > since)

        try:
            await asyncio.wait_for(newer(), seconds)
        except asyncio.TimeoutError:
            pass


class Limiter:
    """One limiter's place: its addresses, its folder, and the processes that run there."""

    def __init__(self, rig: Rig, number: int) -> None:
        self.rig, self.number, self.name = rig, number, f"n{number}"
        self.port, self.peer_port = free_port(), free_port()
        self.discovery = Discovery(rig)
        self.tmp = rig.folder / f"tmp-{self.name}"
        self.processes: list[Process] = []


class Process:
    """One process of a limiter, from the `run` command of the deploy file."""

    def __init__(self, limiter: Limiter, settings: dict[str, Any], fresh_tmp: bool = True) -> None:
        rig = self.rig = limiter.rig
        self.limiter, self.operator_port = limiter, free_port()
        self.told_to_end = False
        if fresh_tmp:
            shutil.rmtree(limiter.tmp, ignore_errors=True)
        limiter.tmp.mkdir(exist_ok=True)
        number = len(rig.processes)
        self.label = f"{limiter.name}.{number}"
        config = rig.folder / f"config-{self.label}.json"
        config.write_text(json.dumps({
            "name": limiter.name, "listen": f"127.0.0.1:{limiter.port}",
            "discovery": f"127.0.0.1:{limiter.discovery.port}",
            "operator": f"127.0.0.1:{self.operator_port}", "seed": f"{number + 1:x}",
            "limits": rig.limits,
            "peer_listen": f"127.0.0.1:{limiter.peer_port}",
            "peers": [f"127.0.0.1:{one.peer_port}" for one in rig.limiters],
            "known": limiter.discovery.document(),
            "settings": settings | {"position": limiter.number},
        }))
        environment = {
            "PATH": os.environ["PATH"], "TMPDIR": str(limiter.tmp), "RELAY_CONFIG": str(config),
            "RELAY_NAME": limiter.name, "RELAY_LISTEN": f"127.0.0.1:{limiter.port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{limiter.discovery.port}",
            "RELAY_OPERATOR": f"127.0.0.1:{self.operator_port}",
        }
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.log = (rig.folder / f"log-{self.label}.txt").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )
        rig.processes.append(self)
        limiter.processes.append(self)
        rig.record.say(f"process {self.label} started")

    def signal(self, number: int) -> None:
        if self.process.poll() is not None:
            raise CannotRunError(f"process {self.label} has ended before it was told to: {self.process.returncode}")
        self.rig.record.say(f"process {self.label} gets {signal.Signals(number).name}")
        self.told_to_end = True
        self.process.send_signal(number)

    async def call(self, text: str) -> str:
        """One call at the operator address; empty if there is no answer."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.operator_port)
            writer.write(text.encode() + b"\n")
            answer = await asyncio.wait_for(reader.readline(), 1.0)
            self.rig.writers.add(writer)
            writer.close()
            return answer.decode().strip()
        except (OSError, asyncio.TimeoutError):
            return ""

    async def ready(self, seconds: float = 30.0) -> None:
        until = now() + seconds
        while not (await self.call("check")).startswith("done"):
            if now() > until or self.process.poll() is not None:
                raise CannotRunError(f"process {self.label} is not ready")
            await asyncio.sleep(0.02)
        if self.process.poll() is not None:
            raise CannotRunError(f"process {self.label} has ended, and another program answers for it")
        self.rig.record.say(f"process {self.label} says yes")

    async def ended(self, seconds: float) -> bool:
        until = now() + seconds
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None


class Client:
    """A sound client: a connection carries one request at a time; more are opened when all are busy."""

    def __init__(self, rig: Rig, limiter: Limiter) -> None:
        self.rig, self.limiter = rig, limiter
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, request: Request) -> None:
        """Sends a request once, and once more if its connection ended before it was read."""
        record = self.rig.record
        self.rig.requests.append(request)
        request.sent_at = now()
        for attempt in (1, 2):
            try:
                if self.idle and attempt == 1:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.limiter.port)
                    self.rig.writers.add(writer)
            except OSError:
                request.answer = "unreachable"
                record.note(f"client {request.id}: limiter {self.limiter.name} unreachable")
                return
            request.sent += 1
            record.note(f"client sends {self.limiter.name} {' '.join(request.words[:4])}")
            writer.write(encode(*request.words))
            try:
                left = request.sent_at + request.wait_ms / 1000 + 0.8 - now()
                request.answer, request.text = await asyncio.wait_for(read_answer(reader), left)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                record.note(f"client {request.id}: connection ended without an answer")
                request.answer = "closed"
                continue
            except asyncio.TimeoutError:
                writer.close()
                record.note(f"client {request.id}: no answer in time")
                request.answer = "none"
                return
            request.answered_at = now()
            text = request.text[:60].decode("ascii", "replace")
            record.note(f"client {request.id}: {request.answer} {text}")
            self.idle.append((reader, writer))
            return


class Rig:
    """All parts of one case."""

    def __init__(self, record: Path, limiters: int, settings: dict[str, Any]) -> None:
        """`record`: the file record.txt of the case."""
        self.record = Record(record)
        self.faults = list[str]()  # errors of the rig itself, with which nothing can be judged
        self.lateness = 0.0  # the most by which the rig's own loop was late, in seconds
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.settings = settings | {"balancers": limiters}
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.runs, self.requests = list[Run](), list[Request]()
        self.processes = list[Process]()
        self.limiters = [Limiter(self, number) for number in range(limiters)]
        self.servers = list[Server]()
        self._tasks = set[asyncio.Task[Any]]()
        self.writers = set[asyncio.StreamWriter]()

    async def start(self, servers: list[Server]) -> None:
        self.servers = servers
        for server in servers:
            await server.start()
        for limiter in self.limiters:
            limiter.discovery.list_servers(servers)
            await limiter.discovery.start()
        for limiter in self.limiters:
            Process(limiter, self.settings)
        for process in self.processes:
            await process.ready()

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.faults.append(f"a task of the rig: {task.exception()!r}")

    async def measure_lateness(self) -> None:
        """Notes by how much the rig's own loop is late: its times are too late by as much at most."""
        while True:
            due = now() + 0.01
            await asyncio.sleep(0.01)
            self.lateness = max(self.lateness, now() - due)

    async def finish_tasks(self) -> None:
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def check(self) -> None:
        """Raises CannotRunError if the rig has failed, or a limiter has ended by itself."""
        if self.faults:
            raise CannotRunError(f"the rig has failed {len(self.faults)} times: {self.faults[0]}")
        for process in self.processes:
            if process.process.poll() is not None and not process.told_to_end:
                raise CannotRunError(f"process {process.label} has ended: {process.process.returncode}")

    async def close_connections(self) -> None:
        """Closes the stand-ins' own connections, so that the event loop can end."""
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Ends all processes that the case started, and removes its folder."""
        for process in self.processes:
            if process.process.poll() is None:
                process.process.kill()
            process.process.wait()
            process.log.close()
            for line in Path(process.log.name).read_text(errors="replace").splitlines()[-12:]:
                self.record.note(f"log of {process.label}: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def lowest_ceiling(runs: list[Run], customer: str, rate: float, burst: float) -> tuple[float, float]:
    """Returns the lowest level of a customer's ceiling, and when it was reached.

    The first attempt of each id draws its units when it has reached a server whole.
    """
    level, at, lowest, lowest_at, seen = burst, 0.0, burst, 0.0, set[str]()
    for run in sorted(runs, key=lambda one: one.at):
        if run.customer != customer or run.id in seen:
            continue
        seen.add(run.id)
        level = min(burst, level + rate * (run.at - at)) - run.units
        at = run.at
        if level < lowest:
            lowest, lowest_at = level, at
    return lowest, lowest_at


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, in the form of the page WIRE."""
    base: dict[str, Any] = {
        "family": "gate", "zone": "hall-a", "zones": ["hall-a"], "step": 0.002, "tier": 0,
        "layers": ["api-fleet"], "registry_mode": "push", "weight_kind": "none",
        "clients": {"marks_retry": False},
        "family_info": {"counter": False, "inbox_per_s": 60.0, "max_units": 6, "meter_period": 0.0,
                        "post_paid": False},
        "goal": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
        "grades": [
            {"name": "schedule-read", "credit": 2.0, "deadline": 3.0, "objective": 1.0,
             "effect": "pure", "dedup_scope": "all", "late_share": 0.2, "streamed": False,
             "window": 5.0},
            {"name": "order-place", "credit": 2.0, "deadline": 3.0, "objective": 0.75,
             "effect": "token", "dedup_scope": "cell", "late_share": 0.0, "streamed": False,
             "window": 6.0},
        ],
        "policy_limits": {
            "cancelling": True, "conn_idle": 30.0, "connect_timeout": 0.25,
            "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000, "max_attempts": 6,
            "max_open": 20000, "max_retry_after": 1.0, "max_streams": 100, "parallel_tries": True,
            "peers": True, "probes": True, "retry_after": False,
        },
        "report": {"fields": ["busy_reqs", "svc_ms", "pending"], "how": "answers"},
        "safety": {"answer_slack": 0.008, "ask_within": 10.0, "cold": 18.0, "cold_from": 0.25,
                   "drain_grace": 0.25, "tip_after": 3.0, "tip_multiple": 2.0},
        "tariffs": [
            {"name": "perus", "per_second": 100.0, "most_at_once": 200.0, "ceiling_rate": 0.0,
             "hard_burst": 0.0, "tolerance": 0.0, "max_out": 0, "excess_cost": 1.2,
             "over_worth": 0.0, "price": 0.8},
            {"name": "laaja", "per_second": 16.0, "most_at_once": 41.0, "ceiling_rate": 30.0,
             "hard_burst": 71.0, "tolerance": 7.0, "max_out": 0, "excess_cost": 1.2,
             "over_worth": 0.0, "price": 1.3},
        ],
    }
    return base | changes


def _end_early(number: int, _frame: Any) -> None:
    raise CannotRunError(f"the case was told to end ({signal.Signals(number).name})")


def play(case: Callable[[Rig], Any], rig_of: Callable[[], Rig], seconds: float = 100.0) -> None:
    """Plays a case and exits with its status; `case` returns whether the rule held."""
    rig = None
    status = COULD_NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _end_early)
    try:
        rig = rig_of()

        async def run() -> bool:
            assert rig
            lateness = asyncio.ensure_future(rig.measure_lateness())
            try:
                held = await asyncio.wait_for(case(rig), seconds)
                rig.check()
                rig.record.note(f"the rig's own loop was {rig.lateness:.3f} s late at most")
                return held
            finally:
                lateness.cancel()
                await rig.close_connections()

        status = HELD if asyncio.run(run()) else BROKEN
    except Exception as error:  # status 1 is kept for a broken rule
        print(f"the case could not run: {error!r}", flush=True)
        if rig:
            rig.record.note(f"the case could not run: {error!r}")
        if not isinstance(error, (CannotRunError, asyncio.TimeoutError, OSError)):
            traceback.print_exc()
    finally:
        if rig:
            rig.stop()
            rig.record.note(f"exit status {status}, TROUBLE={int(TROUBLE)}")
            rig.record.close()
    sys.exit(status)
