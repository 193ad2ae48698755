"""A fleet on loopback: limiters, hosts and discovery, with the relay between all of them.

Every process has an address of its own in 127.0.0.0/8, drawn anew for each harness, so that ports
can be the usual ones. What a limiter is told are the relay's addresses, one for each pair.
"""

from __future__ import annotations

import os
import random
import resource
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from hazelhollow.fault_injection.plan import FIRST_PLAN_REVISION, Plan, limiters, zone_of
from hazelhollow.fault_injection.processes import ProcessGroup
from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import TIMED_OUT, Scheduler
from hazelhollow.standins.discovery import Discovery, Host
from hazelhollow.standins.relay import Relay

# ports
CLIENT_PORT, PEER_PORT, OPERATOR_PORT, DISCOVERY_PORT, ENDPOINT_PORT, FIRST_RELAY_PORT = (
    6379,
    7946,
    7000,
    8500,
    6379,
    20000,
)
TRIES = 20  # nets that are tried
READY_WITHIN = 60.0  # seconds for a whole fleet on a busy machine
WORK, CORES = 0.01, 16  # of a host
COLD_FOR, COLD_FROM = 4.0, 0.25

Address = tuple[str, int]


class HarnessError(Exception):
    """The fleet could not be started, or did not come up."""


class LoopbackCluster:
    """`operator`.

    Gives the text of a limiter's operator file by its name and folder; None: without one.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        plan: Plan,
        folder: Path,
        keep: bool = False,
        operator: Callable[[str, Path], str] | None = None,
    ) -> None:
        self.scheduler, self.plan, self.folder = scheduler, plan, folder
        self.operator = operator
        self.names = limiters(plan)
        self.hosts = [f"h{n}" for n in range(plan.hosts)]
        _more_descriptors()
        self.net = free_network()
        self.relay, self.discovery = Relay(scheduler, plan.seed), Discovery(scheduler)
        self.processes = ProcessGroup(folder, keep)
        try:
            self._wire()
            self._hosts()
            for number, name in enumerate(self.names):
                self._limiter(number, name, operator)
        except OSError as error:
            self.processes.close()
            raise HarnessError(f"cannot listen: {error.strerror or error}") from None

    # Addresses

    def own(self, number: int, port: int) -> Address:
        return f"{self.net}.{number}", port

    def relayed(self, number: int, port: int) -> Address:
        head, _, third = self.net.rpartition(".")
        return f"{head}.{int(third) + 1}.{number}", port

    def client_address(self, name: str) -> Address:
        """Where clients reach a limiter."""
        return self.relayed(self.names.index(name) + 1, CLIENT_PORT)

    def operator_address(self, name: str) -> Address:
        """Its operator address, which no fault hits."""
        return self.own(self.names.index(name) + 1, OPERATOR_PORT)

    def _wire(self) -> None:
        for a, sender in enumerate(self.names):
            for b, receiver in enumerate(self.names):
                if a != b:
                    listen = self.relayed(b + 1, FIRST_RELAY_PORT + a)
                    self.relay.datagrams(
                        sender,
                        receiver,
                        listen,
                        self.own(a + 1, PEER_PORT),
                        self.own(b + 1, PEER_PORT),
                    )
            for h, host in enumerate(self.hosts):
                self.relay.connections(
                    sender,
                    host,
                    self.relayed(100 + h, FIRST_RELAY_PORT + a),
                    self.own(100 + h, ENDPOINT_PORT),
                )
            agent = self.discovery.listen(sender, self.own(250, DISCOVERY_PORT + a))
            self.relay.connections(sender, "d", self.relayed(250, FIRST_RELAY_PORT + a), agent)
            self.relay.connections(
                "c", sender, self.client_address(sender), self.own(a + 1, CLIENT_PORT)
            )

    def _hosts(self) -> None:
        for h, name in enumerate(self.hosts):
            address = self.own(100 + h, ENDPOINT_PORT)
            words = [
                "standin",
                "node",
                "--listen",
                _text(address),
                "--work",
                str(WORK),
                "--cores",
                str(CORES),
            ]
            words += [
                "--cold-for",
                str(COLD_FOR),
                "--cold-from",
                str(COLD_FROM),
                "--journal",
                str(self.folder / f"{name}.jsonl"),
            ]
            self.processes.add(name, [sys.executable, "-m", "hazelhollow", *words], {})
            reached = {
                n: _text(self.relayed(100 + h, FIRST_RELAY_PORT + a))
                for a, n in enumerate(self.names)
            }
            self.discovery.change(Host(name, reached))

    def _limiter(self, number: int, name: str, operator: Callable[[str, Path], str] | None) -> None:
        home = self.folder / name
        home.mkdir()
        config = home / "config.json"
        self.write_files(name, 0)
        words = ["-m", "hazelhollow", "serve"]
        if operator:
            words += ["--operator", str(home / "operator.cue")]
        self.processes.add(
            name, [sys.executable, *words], {"RELAY_CONFIG": str(config), "TMPDIR": str(home)}
        )

    def write_files(self, name: str, order: int) -> None:
        """What a limiter reads at its start and at SIGHUP, with the settings of that order."""
        home = self.folder / name
        (home / "config.json").write_bytes(
            orjson.dumps(self.config(self.names.index(name), order), option=orjson.OPT_INDENT_2)
        )
        if self.operator:
            text = self.operator(name, home)
            (home / "operator.cue").write_text(
                text + (f"fleet: audit: order: {order}\n" if "audit:" in text else "")
            )

    def config(self, number: int, order: int = 0) -> dict[str, Any]:
        """What that limiter is told."""
        peers = [
            self.own(b + 1, PEER_PORT)
            if b == number
            else self.relayed(b + 1, FIRST_RELAY_PORT + number)
            for b in range(len(self.names))
        ]
        return {
            "name": self.names[number],
            "listen": _text(self.own(number + 1, CLIENT_PORT)),
            "operator": _text(self.own(number + 1, OPERATOR_PORT)),
            "peer_listen": _text(self.own(number + 1, PEER_PORT)),
            "peers": [_text(peer) for peer in peers],
            "discovery": _text(self.relayed(250, FIRST_RELAY_PORT + number)),
            "seed": f"{self.plan.seed * 1000 + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": orjson.loads(self.discovery.document(self.names[number], None)),
            "settings": settings(self.plan, number, order),
        }

    # Its incarnation

    def start(self) -> None:
        """All processes, and waits until each limiter says that it is ready. Raises RigError."""
        for name in [*self.hosts, *self.names]:
            self.processes.start(name)
        self.await_ready(self.names)

    def await_ready(self, names: list[str]) -> None:
        until = self.scheduler.clock() + READY_WITHIN
        for name in names:
            while not self.call(name, "check").startswith(b"done"):
                if self.processes.reap(name):
                    tail = self.processes.members[name].log.read_text(errors="replace")[-600:]
                    raise HarnessError(
                        f"{name} ended with status {self.processes.members[name].status}: {tail}"
                    )
                if self.scheduler.clock() > until:
                    raise HarnessError(f"{name} was not ready within {READY_WITHIN:.0f} s")
                self.scheduler.sleep(0.02)

    def call(self, name: str, words: str, within: float = 1.0) -> bytes:
        """A call at the operator address of a limiter; nothing if it does not answer."""
        return call(self.scheduler, self.operator_address(name), words, within)

    def set_host(self, name: str, state: str, started: float | None = None) -> None:
        """What discovery says of a host."""
        host = self.discovery.hosts[name]
        host.state = state
        host.started = host.started if started is None else started
        self.discovery.change(host)

    def stop(self) -> None:
        """No process is left; the folder still is."""
        self.processes.stop()

    def close(self) -> None:
        """Nothing is left, but the folder where it is to be kept."""
        self.processes.close()
        self.relay.close()
        self.discovery.close()


def call(scheduler: Scheduler, address: Address, words: str, within: float = 1.0) -> bytes:
    """A call at an operator address; nothing if nobody answers."""
    driver = stream.connect(scheduler, address, 4096, within)
    if isinstance(driver, CloseReason):
        return b""
    driver.write(words.encode() + b"\n")
    until, answer = scheduler.clock() + within, b""
    while driver.wait(until) != TIMED_OUT:
        data = driver.read(stream.READ_CHUNK_BYTES)
        if isinstance(data, CloseReason):
            break
        answer += data or b""
    driver.close(CloseReason.CLOSED)
    return answer


def settings(plan: Plan, number: int, order: int = 0) -> dict[str, Any]:
    """The settings object that all limiters of a harness share, but for the position.

    Those of an order have a class of its name, by which it shows from outside whether they are in
    force.
    """
    new = (
        [{"name": f"o{order}", "objective": 0.5, "deadline": 1.5, "effect": "pure", "credit": 1.0}]
        if order
        else []
    )
    return {
        "position": number,
        "balancers": plan.instances,
        "zone": "abcdefgh"[zone_of(plan, number)],
        "step": 0.001,
        "grades": [
            {"name": "look", "objective": 0.5, "deadline": 1.5, "effect": "pure", "credit": 1.0},
            {
                "name": "buy",
                "objective": 0.5,
                "deadline": 1.0,
                "effect": "side_effect",
                "credit": 3.0,
            },
            *new,
        ],
        "tariffs": [
            {
                "name": "gold",
                "per_second": plan.per_second + (order >= FIRST_PLAN_REVISION),
                "most_at_once": plan.burst,
                "excess_cost": 1.0,
            },
            {
                "name": "iron",
                "per_second": 10.0,
                "most_at_once": 20.0,
                "ceiling_rate": 12.0,
                "hard_burst": 24.0,
                "excess_cost": 1.0,
            },
        ],
        "family_info": {"max_units": 4, "inbox_per_s": 100.0},
        "policy_limits": {
            "max_attempts": 3,
            "peers": True,
            "retry_after": True,
            "max_retry_after": 1.0,
            "cancelling": True,
        },
        "safety": {
            "cold": COLD_FOR,
            "cold_from": COLD_FROM,
            "drain_grace": 0.25,
            "tip_after": 2.0,
            "tip_multiple": 4.0,
        },
    }


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def free_network() -> str:
    """Two nets of 127.0.0.0/8 side by side in which nobody listens."""
    chance = random.Random(os.urandom(8))
    for _ in range(TRIES):
        net = f"127.{chance.randint(16, 250)}.{2 * chance.randint(1, 120)}"
        try:
            for port in (CLIENT_PORT, DISCOVERY_PORT):
                socket.create_server((f"{net}.250", port)).close()
            return net
        except OSError:
            continue
    raise HarnessError("no free addresses in 127.0.0.0/8")


def _more_descriptors() -> None:
    """The relay holds a socket for each pair."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 8192:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
