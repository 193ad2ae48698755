"""The time that a server is told: at most what the client has left."""

from __future__ import annotations

import socket
import time

import pytest

from tests.net.scenario import Stage
from tests.net.test_connection_ends import block_connects
from tests.net.test_scenarios import GET, VALUE, ask

SLACK_S = 0.15


def test_time_for_connecting_is_not_told_to_the_server() -> None:
    """Guards against a `d` that is written before the connection is up."""
    stage = Stage(hosts=1, connect_timeout=0.9)
    fillers = block_connects(stage, "s1")
    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service\na send {ask(1)}\nwait 0.4")
    for filler in fillers:
        filler.close()
    stage.listeners["s1"].listen(16)
    end, deadline = None, time.monotonic() + 3.0
    while end is None and time.monotonic() < deadline:
        stage.settle(3)
        try:
            accepted = stage.listeners["s1"].accept()[0]
        except BlockingIOError:
            continue
        accepted.settimeout(0.2)
        for _ in range(20):
            stage.settle(3)
            try:
                received = accepted.recv(4096)
            except TimeoutError:
                received = b""
            if received:
                end = accepted
                break
    assert end is not None and b",d=600," in received
    end.sendall(stage.bytes_of(VALUE))
    stage.play("a expect $2\\r\\nhi")
    end.close()


@pytest.mark.usefixtures("system_arrival_times")
def test_time_in_the_accept_queue_is_deducted() -> None:
    """A client connects, sends, and waits until the limiter accepts it."""
    stage = Stage(hosts=1)
    waited = 0.3
    client = socket.create_connection(stage.service.frontend.address)
    client.sendall(stage.bytes_of(ask(1)))
    time.sleep(waited)  # the operating system's clock tells when the request arrived
    stage.settle()
    endpoint = stage._end("s1")
    received = b""
    for _ in range(50):
        stage.settle(1)
        try:
            received += endpoint.recv(4096)
        except BlockingIOError:
            continue
    told = int(received.partition(b",d=")[2].partition(b",")[0]) / 1000
    client.close()
    assert 1.0 - waited - SLACK_S < told <= 1.0 - waited + SLACK_S
