"""A cluster on loopback: limiters, endpoints and discovery, connected through the relay.

Every process has its own address in 127.0.0.0/8, so that it can use the usual ports; the networks
are chosen at random for each cluster. Limiters are configured with addresses of the relay, one for
each pair of processes, so that faults can be injected into each direction separately.
"""

from __future__ import annotations

import resource
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from hazelhollow.fault_injection import limiter_settings
from hazelhollow.fault_injection.addresses import (
    CLIENT_PORT,
    DISCOVERY_PORT,
    ENDPOINT_PORT,
    FIRST_ENDPOINT,
    FIRST_RELAY_PORT,
    OPERATOR_PORT,
    PEER_PORT,
    SHARED,
    Address,
    free_network,
    to_text,
)
from hazelhollow.fault_injection.errors import HarnessError
from hazelhollow.fault_injection.operator_call import call
from hazelhollow.fault_injection.plan import Plan, limiters
from hazelhollow.fault_injection.processes import ProcessGroup
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.standins.discovery import Discovery, Host
from hazelhollow.standins.relay import DatagramRoute, Relay

READY_TIMEOUT_S = 60.0  # for all limiters of a cluster, on a busy machine
READY_POLL_S = 0.02
ENDPOINT_WORK_S = 0.01  # duration of one request
ENDPOINT_CORES = 16
DESCRIPTORS = 8192  # the relay has a socket for each pair of processes

OperatorFile = Callable[[str, Path], str]


class LoopbackCluster:
    """The processes of one run, their connections through the relay, and their files.

    Args:
        scheduler: runs the relay and discovery.
        plan: gives the numbers of processes, the zones, quotas and the seed.
        folder: holds all files, with a subfolder for each limiter.
        keep: keeps the folder when the cluster is closed.
        operator: returns the text of a limiter's operator file, given its name and folder; None: no
            operator files.

    Raises:
        HarnessError: an address cannot be listened on.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        plan: Plan,
        folder: Path,
        keep: bool = False,
        operator: OperatorFile | None = None,
    ) -> None:
        self.scheduler, self.plan, self.folder = scheduler, plan, folder
        self.operator = operator
        self.names = limiters(plan)
        self.hosts = [f"h{n}" for n in range(plan.hosts)]
        _raise_descriptor_limit()
        self.network = free_network()
        self.relay, self.discovery = Relay(scheduler, plan.seed), Discovery(scheduler)
        self.processes = ProcessGroup(folder, keep)
        try:
            for number in range(len(self.names)):
                self._connect_limiter(number)
            for number in range(len(self.hosts)):
                self._add_endpoint(number)
            for number in range(len(self.names)):
                self._add_limiter(number)
        except OSError as error:
            self.processes.close()
            raise HarnessError(f"cannot listen: {error.strerror or error}") from None

    # Addresses

    def own(self, number: int, port: int) -> Address:
        """Returns an address on which a process itself listens; limiter n has number n + 1."""
        return self.network.own(number, port)

    def client_address(self, name: str) -> Address:
        """Returns the address at which clients reach a limiter."""
        return self.network.relayed(self.names.index(name) + 1, CLIENT_PORT)

    def operator_address(self, name: str) -> Address:
        """Returns a limiter's operator address, which bypasses the relay and its faults."""
        return self.own(self.names.index(name) + 1, OPERATOR_PORT)

    def _relayed_by(self, number: int, limiter: int) -> Address:
        """Returns the relay's address through which a limiter reaches a process."""
        return self.network.relayed(number, FIRST_RELAY_PORT + limiter)

    # Relayed links and processes

    def _connect_limiter(self, limiter: int) -> None:
        sender, own_peer = self.names[limiter], self.own(limiter + 1, PEER_PORT)
        for peer, receiver in enumerate(self.names):
            if peer != limiter:
                listen = self._relayed_by(peer + 1, limiter)
                route = DatagramRoute(listen, own_peer, self.own(peer + 1, PEER_PORT))
                self.relay.relay_datagrams(sender, receiver, route)
        for number, host in enumerate(self.hosts):
            address = FIRST_ENDPOINT + number
            listen, target = self._relayed_by(address, limiter), self.own(address, ENDPOINT_PORT)
            self.relay.relay_connections(sender, host, listen, target)
        agent = self.discovery.listen(sender, self.own(SHARED, DISCOVERY_PORT + limiter))
        self.relay.relay_connections(sender, "d", self._relayed_by(SHARED, limiter), agent)
        clients = self.own(limiter + 1, CLIENT_PORT)
        self.relay.relay_connections("c", sender, self.client_address(sender), clients)

    def _add_endpoint(self, number: int) -> None:
        name, address = self.hosts[number], FIRST_ENDPOINT + number
        options = {
            "--listen": to_text(self.own(address, ENDPOINT_PORT)),
            "--work": str(ENDPOINT_WORK_S),
            "--cores": str(ENDPOINT_CORES),
            "--cold-for": str(limiter_settings.WARM_UP_S),
            "--cold-from": str(limiter_settings.INITIAL_SPEED),
            "--journal": str(self.folder / f"{name}.jsonl"),
        }
        command = [sys.executable, "-m", "hazelhollow", "standin", "node"]
        for option, value in options.items():
            command += [option, value]
        self.processes.add(name, command, {})
        addresses = {
            limiter: to_text(self._relayed_by(address, position))
            for position, limiter in enumerate(self.names)
        }
        self.discovery.change(Host(name, addresses))

    def _add_limiter(self, number: int) -> None:
        name = self.names[number]
        home = self.folder / name
        home.mkdir()
        self.write_files(name, 0)
        command = [sys.executable, "-m", "hazelhollow", "serve"]
        if self.operator:
            command += ["--operator", str(home / "operator.cue")]
        environment = {"RELAY_CONFIG": str(home / "config.json"), "TMPDIR": str(home)}
        self.processes.add(name, command, environment)

    # Files of limiters

    def write_files(self, name: str, revision: int) -> None:
        """Writes the files that a limiter reads at its start and on SIGHUP."""
        home = self.folder / name
        document = self.config(self.names.index(name), revision)
        (home / "config.json").write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
        if self.operator:
            text = self.operator(name, home)
            if "audit:" in text:
                text += f"fleet: audit: order: {revision}\n"
            (home / "operator.cue").write_text(text)

    def config(self, number: int, revision: int = 0) -> dict[str, Any]:
        """Returns the platform's configuration document for one limiter."""
        peers = [
            self.own(peer + 1, PEER_PORT) if peer == number else self._relayed_by(peer + 1, number)
            for peer in range(len(self.names))
        ]
        return {
            "name": self.names[number],
            "listen": to_text(self.own(number + 1, CLIENT_PORT)),
            "operator": to_text(self.own(number + 1, OPERATOR_PORT)),
            "peer_listen": to_text(self.own(number + 1, PEER_PORT)),
            "peers": [to_text(peer) for peer in peers],
            "discovery": to_text(self._relayed_by(SHARED, number)),
            "seed": f"{self.plan.seed * 1000 + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": orjson.loads(self.discovery.document(self.names[number], None)),
            "settings": limiter_settings.settings(self.plan, number, revision),
        }

    # Processes

    def start(self) -> None:
        """Starts all processes and waits until each limiter is ready.

        Raises:
            HarnessError: a limiter ended, or was not ready in time.
        """
        for name in [*self.hosts, *self.names]:
            self.processes.start(name)
        self.await_ready(self.names)

    def await_ready(self, names: list[str]) -> None:
        """Waits until each of these limiters reports that it is ready.

        Raises:
            HarnessError: a limiter ended, or was not ready in time.
        """
        until = self.scheduler.clock() + READY_TIMEOUT_S
        for name in names:
            while not self.is_ready(name):
                if self.processes.reap(name):
                    process = self.processes.members[name]
                    tail = process.log.read_text(errors="replace")[-600:]
                    raise HarnessError(
                        f"{name} ended with status {process.status} before it was ready: {tail}"
                    )
                if self.scheduler.clock() > until:
                    raise HarnessError(f"{name} was not ready within {READY_TIMEOUT_S:.0f} s")
                self.scheduler.sleep(READY_POLL_S)

    def is_ready(self, name: str) -> bool:
        """Whether a limiter reports at its operator address that it is ready."""
        return self.call(name, "check").startswith(b"done")

    def call(self, name: str, line: str, timeout: float = 1.0) -> bytes:
        """Calls a limiter's operator address and returns the answer; empty if there is none."""
        return call(self.scheduler, self.operator_address(name), line, timeout)

    def set_host(self, name: str, state: str, started: float | None = None) -> None:
        """Changes an endpoint's state in discovery, and its start time (Unix seconds) if given."""
        host = self.discovery.hosts[name]
        host.state = state
        host.started = host.started if started is None else started
        self.discovery.change(host)

    def stop(self) -> None:
        """Kills all processes; the files remain."""
        self.processes.stop()

    def close(self) -> None:
        """Ends all processes and sockets, and removes the folder unless it is to be kept."""
        self.processes.close()
        self.relay.close()
        self.discovery.close()


def _raise_descriptor_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < DESCRIPTORS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTORS, hard), hard))
