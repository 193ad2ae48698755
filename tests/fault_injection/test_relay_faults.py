"""Faults of the relay: what each does to datagrams and connections, and in which direction."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from typing import Any

import pytest

from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.standins.link_faults import LinkFault
from hazelhollow.standins.relay import DatagramRoute, Relay

LOOPBACK = ("127.0.0.1", 0)


def readable(sock: socket.socket, seconds: float) -> bool:
    """Whether the socket becomes readable.

    poll() is used because a run of many tests may hold descriptors beyond the range of select().
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(seconds * 1000))


class Net:
    """Two datagram sockets, `a` and `b`, that reach each other through the relay.

    The test sets the clock.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.scheduler = Scheduler(lambda: self.now)
        self.relay = Relay(self.scheduler, seed=1)
        self.socks = {name: self._sock() for name in "ab"}
        own = {name: sock.getsockname() for name, sock in self.socks.items()}
        # The relay's addresses, by the socket that each represents.
        self.relayed = {"a": self._free_address(), "b": self._free_address()}
        for sender, receiver in (("a", "b"), ("b", "a")):
            route = DatagramRoute(self.relayed[receiver], own[sender], own[receiver])
            self.relay.relay_datagrams(sender, receiver, route)

    @staticmethod
    def _sock() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(LOOPBACK)
        sock.setblocking(False)
        return sock

    def _free_address(self) -> tuple[str, int]:
        with self._sock() as sock:
            address: tuple[str, int] = sock.getsockname()
            return address

    def send(self, socket_name: str, *texts: str) -> None:
        other = "b" if socket_name == "a" else "a"
        for text in texts:
            self.socks[socket_name].sendto(text.encode(), self.relayed[other])
        self.turn()

    def turn(self, seconds: float = 0.0) -> None:
        self.now += seconds
        for _ in range(6):
            self.scheduler.turn(longest=0.001)

    def receive_all(self, socket_name: str) -> list[str]:
        received = []
        while readable(self.socks[socket_name], 0.01):
            data, sender = self.socks[socket_name].recvfrom(100)
            # The receiver must see the relay's address that represents the sender.
            assert sender == self.relayed["b" if socket_name == "a" else "a"]
            received.append(data.decode())
        return received

    def close(self) -> None:
        self.relay.close()
        for sock in self.socks.values():
            sock.close()


@pytest.fixture
def network() -> Any:
    network = Net()
    network.turn()
    yield network
    network.close()


@pytest.mark.parametrize(
    ("fault", "passes", "other_way"),
    [
        (LinkFault(), ["1", "2"], ["3"]),
        (LinkFault(partitioned=True), [], ["3"]),
        (LinkFault(reset=True), [], ["3"]),
        (LinkFault(loss=1.0), [], ["3"]),
        (LinkFault(duplication=1.0), ["1", "1", "2", "2"], ["3"]),
        (LinkFault(max_datagrams_per_s=1.0), ["1"], ["3"]),
        (LinkFault(stalled=True), [], ["3"]),
        (LinkFault(delay=0.5), [], ["3"]),
    ],
)
def test_fault_affects_only_its_direction(
    network: Net, fault: LinkFault, passes: list[str], other_way: list[str]
) -> None:
    """A fault from a to b affects what b receives, but not the direction from b to a."""
    network.relay.begin(fault, [("a", "b")])
    network.send("a", "1", "2")
    network.send("b", "3")
    assert (network.receive_all("b"), network.receive_all("a")) == (passes, other_way)


def test_datagrams_arrive_after_a_stall_or_delay_but_not_a_partition(network: Net) -> None:
    """After a stall or a delay the datagrams that were held back arrive; those sent during a
    partition are lost.
    """
    for fault, late in (
        (LinkFault(stalled=True), ["x"]),
        (LinkFault(delay=0.5), ["x"]),
        (LinkFault(partitioned=True), []),
    ):
        number = network.relay.begin(fault, [("a", "b")])
        network.send("a", "x")
        network.relay.end(number)
        network.turn(0.6)
        assert network.receive_all("b") == late


def test_ending_a_fault_leaves_an_overlapping_one_active(network: Net) -> None:
    """Two partitions overlap on one link. Ending one of them must not restore the link."""
    first = network.relay.begin(LinkFault(partitioned=True), [("a", "b")])
    second = network.relay.begin(LinkFault(partitioned=True), [("a", "b"), ("b", "a")])
    network.relay.end(second)
    network.send("a", "x")
    assert network.receive_all("b") == []
    network.relay.end(first)
    network.send("a", "y")
    assert network.receive_all("b") == ["y"]


def test_datagram_of_an_unknown_sender_is_dropped(network: Net) -> None:
    """A forged datagram from a socket that is not part of the cluster must not reach a peer."""
    with Net._sock() as foreign_socket:
        foreign_socket.sendto(b"forged", network.relayed["b"])
        network.turn()
        assert network.receive_all("b") == []


class Wire:
    """A server and one client that is connected to it through the relay."""

    def __init__(self) -> None:
        self.scheduler = Scheduler(Clock())
        self.relay = Relay(self.scheduler, seed=1)
        self.server = socket.create_server(LOOPBACK)
        with socket.create_server(LOOPBACK) as probe:
            listen = probe.getsockname()
        self.relay.relay_connections("c", "n0", listen, self.server.getsockname())
        self.client = socket.create_connection(listen)
        self.run_until(lambda: readable(self.server, 0))
        self.far, _ = self.server.accept()
        for sock in (self.client, self.far):
            sock.setblocking(False)

    def run_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(2000):
            self.scheduler.turn(longest=0.005)
            if condition():
                return
        raise AssertionError("the condition was not met within 2000 turns of the scheduler")

    def receives(self, sock: socket.socket) -> bytes | None:
        """Returns what has arrived after some turns: None if nothing, b"" at the end of the stream.

        Raises:
            ConnectionResetError: the connection was reset.
        """
        for _ in range(20):
            self.scheduler.turn(longest=0.002)
        try:
            return sock.recv(100)
        except BlockingIOError:
            return None

    def close(self) -> None:
        self.relay.close()
        for sock in (self.client, self.far, self.server):
            sock.close()


def test_connection_resumes_after_a_stall_and_is_reset_after_a_partition() -> None:
    """A stalled connection delivers its bytes once the stall ends. A connection whose bytes a
    partition held back is reset when the partition ends, since the stream has a gap.
    """
    wire = Wire()
    wire.client.send(b"one")
    assert wire.receives(wire.far) == b"one"
    number = wire.relay.begin(LinkFault(stalled=True), [("c", "n0")])
    wire.client.send(b"two")
    wire.far.send(b"back")
    assert wire.receives(wire.far) is None and wire.receives(wire.client) == b"back"
    wire.relay.end(number)
    assert wire.receives(wire.far) == b"two"
    number = wire.relay.begin(LinkFault(partitioned=True), [("c", "n0")])
    wire.client.send(b"three")
    assert wire.receives(wire.far) is None
    wire.relay.end(number)
    with pytest.raises(ConnectionResetError):
        wire.receives(wire.client)
    wire.close()


def test_reset_fault_resets_a_connection_and_a_close_ends_it_orderly() -> None:
    """The relay passes on an orderly close as the end of the stream; a reset fault arrives as a
    connection reset.
    """
    wire = Wire()
    wire.far.close()
    assert wire.receives(wire.client) == b""
    wire.close()
    wire = Wire()
    wire.relay.begin(LinkFault(reset=True), [("n0", "c")])
    with pytest.raises(ConnectionResetError):
        wire.receives(wire.client)
    wire.close()
