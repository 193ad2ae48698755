"""Addresses of a cluster in 127.0.0.0/8: for each process its own, and one of the relay's."""

from __future__ import annotations

import os
import random
import socket
from typing import NamedTuple

from hazelhollow.fault_injection.errors import HarnessError

Address = tuple[str, int]
CLIENT_PORT = 6379
PEER_PORT = 7946
OPERATOR_PORT = 7000
DISCOVERY_PORT = 8500  # of the first limiter's discovery agent; the others have the next ports
ENDPOINT_PORT = 6379
FIRST_RELAY_PORT = 20000  # for the first limiter; the others have the next ports
FIRST_ENDPOINT = 100  # last octet of the first endpoint's address; the others have the next ones
SHARED = 250  # last octet of the address of discovery and of the supervisor
MAX_NETWORK_TRIES = 20


class Network(NamedTuple):
    """Two adjacent /24 networks: the processes' own addresses, and the relay's."""

    own_prefix: str
    relay_prefix: str

    def own(self, number: int, port: int) -> Address:
        """Returns an address on which a process itself listens."""
        return f"{self.own_prefix}.{number}", port

    def relayed(self, number: int, port: int) -> Address:
        """Returns the relay's address through which others reach a process."""
        return f"{self.relay_prefix}.{number}", port


def free_network() -> Network:
    """Returns a random network in which a cluster's ports are free.

    Raises:
        HarnessError: no free network was found.
    """
    draw = random.Random(os.urandom(8))
    for _ in range(MAX_NETWORK_TRIES):
        second, third = draw.randint(16, 250), 2 * draw.randint(1, 120)
        network = Network(f"127.{second}.{third}", f"127.{second}.{third + 1}")
        try:
            for port in (CLIENT_PORT, DISCOVERY_PORT):
                socket.create_server(network.own(SHARED, port)).close()
            return network
        except OSError:
            continue
    raise HarnessError(
        f"no free addresses in 127.0.0.0/8: {MAX_NETWORK_TRIES} random networks were in use"
    )


def to_text(address: Address) -> str:
    """Returns `HOST:PORT`."""
    return f"{address[0]}:{address[1]}"
