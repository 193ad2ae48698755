"""`hazelhollow standin`: stand-ins for external systems, on loopback only."""

from __future__ import annotations

import ipaddress
import os
import signal
import sys
from pathlib import Path
from typing import NoReturn

import click

from hazelhollow import platform_config
from hazelhollow.net import tls
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.operator.commands import fail
from hazelhollow.operator.errors import CueError
from hazelhollow.standins import node
from hazelhollow.standins.redis import faults, server

SIGNAL_POLL_S = 0.05


@click.group("standin")
def standin() -> None:
    """Run a stand-in for an external system, for experiments and tests.

    Stand-ins bind to loopback only and store nothing permanently.
    """


@standin.command("redis")
@click.option(
    "--listen",
    default="127.0.0.1:0",
    show_default=True,
    metavar="HOST:PORT",
    help="Port 0 selects a free port.",
)
@click.option("--seed", default=0, show_default=True, help="Seed of faults and run ids.")
@click.option(
    "--faults",
    "file",
    metavar="FILE",
    help="Schedule of faults; hazelhollow/standins/redis/faults.cue has the format.",
)
@click.option("--password", default="", help="Password that clients must send with AUTH or HELLO.")
@click.option(
    "--shards",
    default=1,
    show_default=True,
    type=click.IntRange(1, 64),
    help="Number of servers; more than one form a cluster, with a port each.",
)
@click.option("--tls-cert", metavar="FILE", help="Use TLS with this certificate.")
@click.option(
    "--tls-key",
    default="",
    metavar="FILE",
    help="Key of the certificate, if it is in a separate file.",
)
def redis(
    listen: str,
    seed: int,
    file: str | None,
    password: str,
    shards: int,
    tls_cert: str | None,
    tls_key: str,
) -> None:
    """Run a store that speaks RESP2 like Redis, until SIGTERM or Ctrl-C.

    Prints `ready HOST:PORT` for each shard once it accepts connections. While it runs, any client
    can send `STANDIN FAULT slow delay 200ms share 0.1 lasts 10s`, `STANDIN CLEAR` and
    `STANDIN STATS`.
    """
    try:
        address = _parse_loopback_address(listen)
        plan = faults.read_plan(Path(file).read_bytes(), file) if file else []
        secure = tls.server_context(tls_cert, tls_key) if tls_cert else None
    except CueError as error:
        fail(error)
    except (OSError, ValueError) as error:
        click.echo(f"hazelhollow: {error}", err=True)
        sys.exit(2)
    scheduler = Scheduler(Clock())
    try:
        servers = server.start(
            scheduler, address, server.ServerOptions(seed, password, plan, shards, secure)
        )
    except OSError as error:
        _fail_to_listen(listen, error)
    _run_until_signal(scheduler, [started.address for started in servers])
    for started in servers:
        started.close()


@standin.command("node")
@click.option(
    "--listen",
    default="127.0.0.1:0",
    show_default=True,
    metavar="HOST:PORT",
    help="Port 0 selects a free port.",
)
@click.option(
    "--work",
    default=0.05,
    show_default=True,
    type=click.FloatRange(0.0, 60.0),
    help="Processing time of a request in seconds.",
)
@click.option(
    "--cores",
    default=4,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Number of requests that it processes concurrently.",
)
@click.option(
    "--cold-for",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0.0, 600.0),
    help="Seconds until it reaches its full speed.",
)
@click.option(
    "--cold-from",
    default=0.2,
    show_default=True,
    type=click.FloatRange(0.01, 1.0),
    help="Share of the full speed at the start.",
)
@click.option(
    "--journal",
    metavar="FILE",
    help="Write a JSON line to this file for each request that it begins.",
)
def node_(
    listen: str, work: float, cores: int, cold_for: float, cold_from: float, journal: str | None
) -> None:
    """Run a backend host that serves every request after a delay, until SIGTERM or Ctrl-C.

    Prints `ready HOST:PORT`.

    SIGUSR1 makes it drain: it rejects new requests and finishes those that it has. SIGUSR2 ends the
    draining.
    """
    scheduler = Scheduler(Clock())
    try:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        descriptor = os.open(journal, flags, 0o644) if journal else node.NO_JOURNAL
        slow_start = node.SlowStart(cold_from, cold_for)
        options = node.NodeOptions(work, cores, slow_start, descriptor)
        endpoint = node.Node(scheduler, _parse_loopback_address(listen), options)
    except ValueError as error:
        click.echo(f"hazelhollow: {error}", err=True)
        sys.exit(2)
    except OSError as error:
        _fail_to_listen(listen, error)
    endpoint.start()
    signal.signal(signal.SIGUSR1, lambda *_: setattr(endpoint, "draining", True))
    signal.signal(signal.SIGUSR2, lambda *_: setattr(endpoint, "draining", False))
    _run_until_signal(scheduler, [endpoint.address])
    endpoint.close()
    click.echo(f"served {endpoint.served}")


def _parse_loopback_address(listen: str) -> tuple[str, int]:
    host, port = platform_config.parse_address(listen, least_port=0)
    if not ipaddress.ip_address(host).is_loopback:
        raise ValueError(f"'{host}' is not a loopback address")
    return host, port


def _fail_to_listen(listen: str, error: OSError) -> NoReturn:
    click.echo(f"hazelhollow: cannot listen at {listen}: {error.strerror or error}", err=True)
    sys.exit(2)


def _run_until_signal(scheduler: Scheduler, addresses: list[tuple[str, int]]) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: scheduler.stop())
    for host, port in addresses:
        click.echo(f"ready {host}:{port}")
    sys.stdout.flush()
    scheduler.spawn_supervised(lambda: _wake_periodically(scheduler), "wake")
    scheduler.run()


def _wake_periodically(scheduler: Scheduler) -> None:
    """Wakes the event loop periodically, since signal handlers run only between its turns."""
    while True:
        scheduler.sleep(SIGNAL_POLL_S)
