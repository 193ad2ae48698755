"""Measures the latency that one real limiter adds to a request.

A limiter and a server run as real processes on loopback. A client sends requests on a fixed
schedule (an open loop), alternately through the limiter and directly to the server.

Latency is counted from the scheduled time of a request, so that time spent waiting behind a slow
limiter is included. Blocks of time in which the client itself was late are excluded, because their
latency would include the client's own delay.
"""

from __future__ import annotations

import math
import select
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import orjson

from hazelhollow.fault_injection.addresses import (
    CLIENT_PORT,
    DISCOVERY_PORT,
    ENDPOINT_PORT,
    OPERATOR_PORT,
    free_network,
    to_text,
)
from hazelhollow.fault_injection.clients import Clients, ClientTarget
from hazelhollow.fault_injection.operator_call import call
from hazelhollow.fault_injection.plan import Load
from hazelhollow.fault_injection.processes import ProcessGroup
from hazelhollow.fault_injection.run_files import read_json_lines
from hazelhollow.net.gc_pauses import shorten_collector_pauses
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.scale.errors import BusyMachineError, LateClientError, MeasurementError
from hazelhollow.scale.results import Latency, Size
from hazelhollow.standins.discovery import Discovery, Host

CUSTOMER = "00000000b4d65521"
PLAN = "gold"
ROUTE = "look"  # the route of all requests; the settings define further ones
UNBOUNDED = 1e6  # rate (units per second) and burst of the plan, so that nothing is rejected
READY_TIMEOUT_S = 60.0  # for a limiter with a long server list and many routes on a busy machine
CHECK_INTERVAL_S = 0.05  # between checks of whether a process is ready or requests have ended
WARM_UP_S = 2.0  # time at the start in which requests are sent but not counted
DRAIN_TIMEOUT_S = 3.0  # for requests in flight at the end
# Greatest 99th percentile of the client's delay in sending; above it the client counts as late.
MAX_CLIENT_DELAY_P99_S = 0.0005
# Greatest 99th percentile of latency directly to a server that does no work; above it the machine
# is too busy to measure.
MAX_DIRECT_P99_S = 0.003
BLOCK_S = 0.1  # length of a block; blocks in which the client was late are excluded
MIN_REQUESTS = 500  # on each path, for a meaningful 99th percentile
LIMITER, SERVER = "limiter", "server"

Measure = Callable[["LatencyPlan"], Latency]


class LatencyPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The parameters of one measurement of latency.

    Attributes:
        size: Size of the fleet that the settings describe; only one limiter runs.
        seconds: Length of the period in which requests are counted.
        seed: Random seed of the limiter and the client.
    """

    size: Size
    seconds: float = 10.0
    seed: int = 1


class MicrosecondPoller:
    """A poller with the interface of `select.poll` and microsecond timeouts.

    `select.poll` rounds its timeout up to a full millisecond, which would make requests late by
    half a millisecond on average. `select.select` does not round; its higher cost does not matter
    for the few descriptors of this client.
    """

    def __init__(self) -> None:
        self._interest: dict[int, int] = {}
        self._poll = select.poll()

    def register(self, fd: int, events: int, /) -> None:
        """Registers a descriptor, like select.poll."""
        self._interest[fd] = events
        self._poll.register(fd, events)

    def unregister(self, fd: int, /) -> None:
        """Unregisters a descriptor, like select.poll."""
        del self._interest[fd]
        self._poll.unregister(fd)

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Waits like select.poll; `timeout` is in milliseconds."""
        reads = [fd for fd, events in self._interest.items() if events & select.POLLIN]
        writes = [fd for fd, events in self._interest.items() if events & select.POLLOUT]
        try:
            ready = any(select.select(reads, writes, [], timeout / 1000.0))
        # A descriptor was closed but is still registered, or is too large for select.
        except (OSError, ValueError):
            return self._poll.poll(timeout)
        return self._poll.poll(0) if ready else []


class RequestRow(msgspec.Struct, frozen=True):
    """One request of the client; times in seconds.

    Attributes:
        to: `LIMITER` or `SERVER`.
        due: Scheduled time.
        began: Time at which it was sent.
        end: Time at which its answer arrived.
        outcome: Outcome that the client recorded, `served` for success.
    """

    to: str
    due: float
    began: float
    end: float
    outcome: str


def measure_latency(plan: LatencyPlan) -> Latency:
    """Measures the latency once.

    Raises:
        LateClientError: The client was late in too many blocks.
        BusyMachineError: Requests sent directly to the server were slow as well.
        MeasurementError: Requests were not served, or the limiter did not start.
    """
    folder = Path(tempfile.mkdtemp(prefix="hazelhollow-latency-"))
    run = LatencyRun(plan, folder)
    try:
        requests = run.play()
    finally:
        run.close()
    figures = summarize(plan.size, requests, run.counted_from)
    return msgspec.structs.replace(figures, limiter_memory_bytes=run.memory_bytes())


def summarize(size: Size, sent: Sequence[RequestRow], counted_from: float) -> Latency:
    """Computes the figures of the requests that were due at or after `counted_from`.

    Blocks in which the client was late are excluded.

    Raises:
        LateClientError: Too few requests are left after the exclusion of late blocks.
        BusyMachineError: Requests sent directly to the server were slow as well.
        MeasurementError: There were too few requests, or some were not served.
    """
    blocks = _blocks(sent, counted_from)
    on_time = [block for block in blocks if not _client_late(block)]
    counted = [row for block in on_time for row in block]
    through = [row for row in counted if row.to == LIMITER]
    direct = [row for row in counted if row.to == SERVER]
    if min(len(through), len(direct)) < MIN_REQUESTS:
        text = (
            f"{len(through)} requests through the limiter and {len(direct)} directly to the server "
            f"are too few: each path needs {MIN_REQUESTS}"
        )
        if len(on_time) == len(blocks):
            raise MeasurementError(text)
        raise LateClientError(
            f"the client was late in {len(blocks) - len(on_time)} of {len(blocks)} blocks: {text}"
        )
    unserved = [row for row in counted if row.outcome != "served"]
    if unserved:
        raise MeasurementError(
            f"{len(unserved)} of {len(counted)} requests were not served ({unserved[0].outcome})"
        )
    direct_p99 = quantile([row.end - row.due for row in direct], 0.99)
    if direct_p99 > MAX_DIRECT_P99_S:
        raise BusyMachineError(
            f"99th percentile directly to the server is {1000 * direct_p99:.2f} ms, above "
            f"{1000 * MAX_DIRECT_P99_S:g} ms: the machine is too busy"
        )
    return Latency(
        size=size,
        requests=len(through),
        direct_median_s=quantile([row.end - row.due for row in direct], 0.5),
        direct_p99_s=direct_p99,
        limiter_median_s=quantile([row.end - row.due for row in through], 0.5),
        limiter_p99_s=quantile([row.end - row.due for row in through], 0.99),
        left_out=1.0 - len(on_time) / len(blocks),
    )


def _blocks(sent: Sequence[RequestRow], counted_from: float) -> list[list[RequestRow]]:
    """Groups the requests that were due at or after `counted_from` into blocks of `BLOCK_S`."""
    blocks: dict[int, list[RequestRow]] = {}
    for row in sent:
        if row.due >= counted_from:
            blocks.setdefault(int((row.due - counted_from) / BLOCK_S), []).append(row)
    return list(blocks.values())


def _client_late(block: Sequence[RequestRow]) -> bool:
    return quantile([row.began - row.due for row in block], 0.99) > MAX_CLIENT_DELAY_P99_S


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the smallest value that at least this share of the values does not exceed.

    `values` must not be empty.
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


class LatencyRun:
    """A run of one server, one limiter, discovery and the client.

    Call `play` once, then `close`.

    Args:
        plan: Parameters of the measurement.
        folder: An empty folder for all files of the run.
    """

    def __init__(self, plan: LatencyPlan, folder: Path) -> None:
        self._plan, self._folder = plan, folder
        self.scheduler = Scheduler(Clock(), MicrosecondPoller())
        self._network = free_network()
        self._processes = ProcessGroup(folder, keep=False)
        self._discovery = Discovery(self.scheduler)
        self._error: BaseException | None = None
        self._rows_file = folder / "clients.jsonl"
        self._rows_out = self._rows_file.open("wb")
        self.counted_from = 0.0

    def play(self) -> list[RequestRow]:
        """Sends all requests and returns their outcomes; raises MeasurementError."""
        self._start()
        self.scheduler.spawn(self._send_and_stop, name="latency")
        self.scheduler.run()
        if self._error:
            raise self._error
        return [
            RequestRow(row["to"], row["due"], row["t"], row["end"], row["outcome"])
            for row in read_json_lines(self._rows_file)
        ]

    def close(self) -> None:
        """Ends all processes and removes the files of the run."""
        self._rows_out.close()
        self._processes.close()
        self._discovery.close()

    def memory_bytes(self) -> float:
        """Returns the limiter's peak memory, including its start-up; valid once it has ended."""
        return self._processes.members[LIMITER].max_memory_kb * 1024.0

    def _start(self) -> None:
        discovery_address = self._discovery.listen(LIMITER, self._network.own(1, DISCOVERY_PORT))
        server = self._address_text(2, ENDPOINT_PORT)
        for number in range(self._plan.size.servers):
            name = f"s-{number:05d}"
            self._discovery.index = 1
            self._discovery.hosts[name] = Host(name, {LIMITER: server}, index=1)
        config = self._folder / "config.json"
        config.write_bytes(
            orjson.dumps(self._config(f"{discovery_address[0]}:{discovery_address[1]}"))
        )
        python = [sys.executable, "-m", "hazelhollow"]
        node = [*python, "standin", "node", "--listen", server, "--work", "0", "--cores", "1000"]
        self._processes.add(SERVER, node, {})
        environment = {"RELAY_CONFIG": str(config), "TMPDIR": str(self._folder)}
        self._processes.add(LIMITER, [*python, "serve", "--log-level", "warning"], environment)
        self._processes.start(SERVER)
        self._processes.start(LIMITER)

    def _address_text(self, number: int, port: int) -> str:
        return to_text(self._network.own(number, port))

    def _config(self, discovery: str) -> dict[str, Any]:
        return {
            "name": LIMITER,
            "listen": self._address_text(1, CLIENT_PORT),
            "operator": self._address_text(1, OPERATOR_PORT),
            "discovery": discovery,
            "seed": f"{self._plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "known": orjson.loads(self._discovery.document(LIMITER, None)),
            "settings": settings(self._plan.size),
        }

    def _send_and_stop(self) -> None:
        try:
            self._await_ready()
            self._send_requests()
        except BaseException as error:
            self._error = error
        finally:
            self.scheduler.stop()

    def _await_ready(self) -> None:
        until = self.scheduler.clock() + READY_TIMEOUT_S
        operator_address = self._network.own(1, OPERATOR_PORT)
        while not call(self.scheduler, operator_address, "check").startswith(b"done"):
            if self._processes.reap(LIMITER):
                tail = self._processes.members[LIMITER].log.read_text(errors="replace")[-600:]
                raise MeasurementError(f"the limiter exited before it was ready: {tail}")
            if self.scheduler.clock() > until:
                raise MeasurementError(f"the limiter was not ready within {READY_TIMEOUT_S:g} s")
            self.scheduler.sleep(CHECK_INTERVAL_S)

    def _send_requests(self) -> None:
        """Sends a request on each path every 1/rate seconds; the two paths alternate evenly."""
        size = self._plan.size
        begin = self.scheduler.clock() + 2 * CHECK_INTERVAL_S
        self.counted_from = begin + WARM_UP_S
        end = self.counted_from + self._plan.seconds
        load = Load(customer=CUSTOMER, plan=PLAN, kind=ROUTE, rate=size.requests_per_s)
        shorten_collector_pauses()
        clients = Clients(self.scheduler, self._plan.seed, self._rows_out, set_size=1)
        for number, (name, host, port) in enumerate(
            ((LIMITER, 1, CLIENT_PORT), (SERVER, 2, ENDPOINT_PORT))
        ):
            target = ClientTarget(name, number, self._network.own(host, port))
            self.scheduler.spawn(clients.run, target, load, begin, end, number / 2, name="clients")
        self.scheduler.sleep(end - self.scheduler.clock())
        until = self.scheduler.clock() + DRAIN_TIMEOUT_S
        while clients.open and self.scheduler.clock() < until:
            self.scheduler.sleep(CHECK_INTERVAL_S)
        self._rows_out.flush()


def settings(size: Size) -> dict[str, Any]:
    """Returns the settings of one limiter of a fleet of that size; they reject no request."""
    names = [ROUTE, *(f"route-{number:05d}" for number in range(1, size.routes))]
    return {
        "position": 0,
        "balancers": size.limiters,
        "zone": "a",
        "step": 0.001,
        "grades": [
            {"name": name, "objective": 0.5, "deadline": 1.5, "effect": "pure", "credit": 1.0}
            for name in names
        ],
        "tariffs": [
            {"name": PLAN, "per_second": UNBOUNDED, "most_at_once": UNBOUNDED, "excess_cost": 1.0}
        ],
        "family_info": {"max_units": 4},
        "policy_limits": {
            "max_attempts": 3,
            "peers": False,
            "retry_after": True,
            "max_retry_after": 1.0,
        },
    }


def measure_again(
    plan: LatencyPlan,
    tries: int,
    progress: Callable[[str], None],
    measure: Measure = measure_latency,
) -> Latency:
    """Repeats a measurement until the machine was idle enough for a valid result.

    Args:
        plan: Parameters of the measurement.
        tries: Maximum number of attempts.
        progress: Called with a line of text for each attempt on a busy machine.
        measure: Makes one measurement.

    Raises:
        MeasurementError: The machine was busy in all attempts, or one attempt failed otherwise.
    """
    for number in range(1, tries + 1):
        try:
            return measure(plan)
        except BusyMachineError as error:
            progress(f"attempt {number} of {tries}: {error}")
            if number == tries:
                raise
    raise AssertionError(f"tries is {tries}, must be at least 1")
