"""CPU time per request of a limiter process on sockets, with and without a shared store.

Because CPU times vary between machines and over time, only ratios within one session are
meaningful: runs with and without the store alternate, and each pair gives one ratio.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from statistics import median
from typing import Any

import orjson

from hazelhollow.bench.errors import LimiterStartError
from hazelhollow.net import resp

# Each makes 20 requests per second, well within its quota.
CUSTOMERS = 40
CONNECTIONS = 16  # with one request per interval each
REQUEST_INTERVAL_S = 0.02
# Three seconds, in which accounts are created, pools connect and leases are taken.
WARM_UP_REQUESTS = 2400
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05

SETTINGS = {
    "position": 0,
    "balancers": 2,
    "zone": "a",
    "grades": [{"name": "look", "objective": 1.0, "deadline": 3.0, "effect": "pure"}],
    "tariffs": [
        {
            "name": "gold",
            "per_second": 80,
            "most_at_once": 200,
            "ceiling_rate": 160,
            "hard_burst": 400,
            "excess_cost": 1.0,
        }
    ],
    "family_info": {"max_units": 4},
    "policy_limits": {"max_attempts": 3, "max_retry_after": 1.0},
}


@contextmanager
def running_command(
    *arguments: str, environment: dict[str, str] | None = None, waits_until_ready: bool = True
) -> Iterator[tuple[int, str]]:
    """Runs a `hazelhollow` command as a process within the context.

    Args:
        arguments: Arguments of `hazelhollow`.
        environment: Variables in addition to those of this process.
        waits_until_ready: Whether to wait for the line with its address that the command prints
            once it is ready.

    Yields:
        The process id, and the address or an empty string.
    """
    with tempfile.TemporaryFile() as sink:
        process = subprocess.Popen(
            [sys.executable, "-m", "hazelhollow", *arguments],
            env={**os.environ, **(environment or {})},
            stdout=subprocess.PIPE,
            stderr=sink,
            text=True,
        )
        try:
            assert process.stdout
            line = process.stdout.readline().split() if waits_until_ready else []
            yield process.pid, line[-1] if line else ""
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait(STOP_TIMEOUT_S)


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time of a process in seconds, to the nanosecond (from schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def free_port() -> int:
    """Returns a port that is currently free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def measure(
    folder: Path, endpoint: str, operator_file: str | None, requests: int
) -> tuple[float, int]:
    """Runs one limiter under load.

    Args:
        folder: Folder for the limiter's files.
        endpoint: Address of the only endpoint.
        operator_file: Operator file that attaches the shared store; None for no store.
        requests: Number of requests to measure.

    Returns:
        CPU seconds per request, and the number of requests served.

    Raises:
        LimiterStartError: The limiter did not start in time.
    """
    port = free_port()
    config_file = folder / "config.json"
    config_file.write_bytes(orjson.dumps(_config(port, endpoint)))
    arguments = ["serve", "--log-level", "error"]
    if operator_file:
        arguments += ["--operator", operator_file]
    environment = {"RELAY_CONFIG": str(config_file)}
    with running_command(*arguments, environment=environment, waits_until_ready=False) as (pid, _):
        _wait_until_ready(port)
        _send_requests(port, WARM_UP_REQUESTS)
        before = cpu_seconds(pid)
        served = _send_requests(port, requests)
        return (cpu_seconds(pid) - before) / requests, served


def _config(port: int, endpoint: str) -> dict[str, Any]:
    """Returns the platform's configuration of a limiter that needs no endpoint discovery."""
    entry = {
        "name": "s-1",
        "address": endpoint,
        "zone": "a",
        "group": 0,
        "status": "in_service",
        "weight": 1.0,
        "since_ms": 0,
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "known": {"index": 1, "snapshot": True, "endpoints": [entry]},
        "settings": SETTINGS,
    }


def _wait_until_ready(port: int) -> None:
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        with suppress(OSError), socket.create_connection(("127.0.0.1", port), timeout=1) as sock:
            sock.sendall(b"*1\r\n$4\r\nPING\r\n")
            if sock.recv(100).startswith(b"+PONG"):
                return
        time.sleep(POLL_INTERVAL_S)
    raise LimiterStartError(
        f"the limiter on port {port} did not answer PING within {START_TIMEOUT_S:g} s"
    )


def _send_requests(port: int, requests: int) -> int:
    """Makes requests at a constant rate on all connections; returns the number served."""
    sockets = [
        socket.create_connection(("127.0.0.1", port), timeout=10) for _ in range(CONNECTIONS)
    ]
    parsers = [resp.Parser() for _ in sockets]
    served, begin = 0, time.monotonic()
    for interval in range(requests // CONNECTIONS):
        time.sleep(max(0.0, begin + interval * REQUEST_INTERVAL_S - time.monotonic()))
        for connection, sock in enumerate(sockets):
            customer = b"%016x" % ((interval * CONNECTIONS + connection) % CUSTOMERS)
            fields = b"c=look,t=gold,d=2000,units=1,spread=2,first=0"
            sock.sendall(
                resp.encode_command([b"Q.ASK", customer, os.urandom(8).hex().encode(), fields])
            )
        for sock, parser in zip(sockets, parsers, strict=True):
            while isinstance(answer := parser.next(), resp.NeedMoreData):
                parser.feed(sock.recv(65536))
            served += isinstance(answer, bytes) and not isinstance(answer, resp.ErrorReply)
    for sock in sockets:
        sock.close()
    return served


def compare(pairs: int, requests: int) -> Iterator[dict[str, float]]:
    """Runs a limiter without the store and one with it, alternately.

    Args:
        pairs: Number of pairs of runs.
        requests: Number of requests to measure in each run.

    Yields:
        For each pair, the CPU time per request in µs, the ratio, and the requests served.
    """
    with (
        tempfile.TemporaryDirectory() as name,
        running_command("standin", "node", "--work", "0.0005", "--cores", "64") as (_, endpoint),
        running_command("standin", "redis") as (_, store),
    ):
        folder = Path(name)
        operator_file = folder / "operator.cue"
        operator_file.write_text(f'log: level: "error"\nstore: address: "{store}"\n')
        for _ in range(pairs):
            without_s, served_without = measure(folder, endpoint, None, requests)
            with_s, served_with = measure(folder, endpoint, str(operator_file), requests)
            yield {
                "without_us": without_s * 1e6,
                "with_us": with_s * 1e6,
                "ratio": with_s / without_s,
                "served_without": served_without,
                "served_with": served_with,
            }


def summary(rows: list[dict[str, float]]) -> dict[str, object]:
    """Returns the figures that `hazelhollow bench cpu` writes, from the rows of `compare`."""
    ratios = sorted(row["ratio"] for row in rows)
    return {
        "pairs": len(rows),
        "ratio_median": round(median(ratios), 4),
        "ratio_least_most": [round(ratios[0], 4), round(ratios[-1], 4)],
        "without_us_median": round(median(row["without_us"] for row in rows), 1),
        "with_us_median": round(median(row["with_us"] for row in rows), 1),
        "rows": rows,
    }
