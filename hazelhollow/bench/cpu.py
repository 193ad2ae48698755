"""CPU a request of a limiter on real sockets, with an operator file and without.

As a ratio of runs taken in turn.

Machines are noisy, so only the ratio within one session says anything: the runs alternate, and each
pair gives one ratio.
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
from contextlib import contextmanager
from pathlib import Path
from statistics import median

import orjson

from hazelhollow.net import resp

# each asks 20 times a second, well inside its quota: both ways of running serve them all
CUSTOMERS = 40
IN_FLIGHT = 16  # connections that ask at once ...
BEAT = 0.02  # ... so often, in seconds
READY = 15.0  # seconds for a program to say so

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
def program(
    *words: str, env: dict[str, str] | None = None, ready: bool = True
) -> Iterator[tuple[int, str]]:
    """One of our commands as a process of its own.

    Its number and, where it tells one, its address.
    """
    with tempfile.TemporaryFile() as sink:
        process = subprocess.Popen(
            [sys.executable, "-m", "hazelhollow", *words],
            env={**os.environ, **(env or {})},
            stdout=subprocess.PIPE,
            stderr=sink,
            text=True,
        )
        try:
            assert process.stdout
            line = process.stdout.readline().split() if ready else []
            yield process.pid, line[-1] if line else ""
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait(30)


def cpu_of(pid: int) -> float:
    """Seconds that a process has been on a CPU (schedstat.

    Nanoseconds, where stat counts hundredths of a second).
    """
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def one_run(folder: Path, node: str, operator: str | None, requests: int) -> tuple[float, int]:
    """Seconds of CPU a request, and how many were served."""
    port = free_port()
    known = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {
                "name": "s-1",
                "address": node,
                "zone": "a",
                "group": 0,
                "status": "in_service",
                "weight": 1.0,
                "since_ms": 0,
            }
        ],
    }
    told = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "known": known,
        "settings": SETTINGS,
    }
    config = folder / "config.json"
    config.write_bytes(orjson.dumps(told))
    extra = ["--operator", operator] if operator else []
    with program(
        "serve", "--log-level", "error", *extra, env={"RELAY_CONFIG": str(config)}, ready=False
    ) as (
        pid,
        _,
    ):
        _until_up(port)
        _ask(port, 2400)  # three seconds: customers become known, pools open, leases are taken
        before = cpu_of(pid)
        served = _ask(port, requests)
        return (cpu_of(pid) - before) / requests, served


def _until_up(port: int) -> None:
    end = time.monotonic() + READY
    while time.monotonic() < end:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as sock:
                sock.sendall(b"*1\r\n$4\r\nPING\r\n")
                if sock.recv(100).startswith(b"+PONG"):
                    return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError("the limiter did not come up")


def _ask(port: int, requests: int) -> int:
    """At a steady pace, each connection once a beat; gives how many were served."""
    lines = [socket.create_connection(("127.0.0.1", port), timeout=10) for _ in range(IN_FLIGHT)]
    parsers = [resp.Parser() for _ in lines]
    served, begin = 0, time.monotonic()
    for turn in range(requests // IN_FLIGHT):
        time.sleep(max(0.0, begin + turn * BEAT - time.monotonic()))
        for at, line in enumerate(lines):
            number = turn * IN_FLIGHT + at
            customer = b"%016x" % (number % CUSTOMERS)
            fields = b"c=look,t=gold,d=2000,units=1,spread=2,first=0"
            line.sendall(
                resp.encode_command([b"Q.ASK", customer, os.urandom(8).hex().encode(), fields])
            )
        for line, parser in zip(lines, parsers, strict=True):
            while isinstance(answer := parser.next(), resp.NeedMoreData):
                parser.feed(line.recv(65536))
            served += isinstance(answer, bytes) and not isinstance(answer, resp.ErrorReply)
    for line in lines:
        line.close()
    return served


def compare(pairs: int, requests: int) -> Iterator[dict[str, float]]:
    """So many pairs of runs, without and with the store in turn.

    Each gives its figures in µs a request and the ratio.
    """
    with (
        tempfile.TemporaryDirectory() as name,
        program("standin", "node", "--work", "0.0005", "--cores", "64") as (_, node),
        program("standin", "redis") as (_, store),
    ):
        folder = Path(name)
        operator = folder / "operator.cue"
        operator.write_text(f'log: level: "error"\nstore: address: "{store}"\n')
        for _ in range(pairs):
            without, served = one_run(folder, node, None, requests)
            with_store, kept = one_run(folder, node, str(operator), requests)
            yield {
                "without_us": without * 1e6,
                "with_us": with_store * 1e6,
                "ratio": with_store / without,
                "served_without": served,
                "served_with": kept,
            }


def summary(rows: list[dict[str, float]]) -> dict[str, object]:
    ratios = sorted(row["ratio"] for row in rows)
    return {
        "pairs": len(rows),
        "ratio_median": round(median(ratios), 4),
        "ratio_least_most": [round(ratios[0], 4), round(ratios[-1], 4)],
        "without_us_median": round(median(r["without_us"] for r in rows), 1),
        "with_us_median": round(median(r["with_us"] for r in rows), 1),
        "rows": rows,
    }
