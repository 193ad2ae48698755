"""Readiness after the start, and requests in flight from SIGTERM to the exit."""

from __future__ import annotations

import socket
from contextlib import suppress

import pytest

from hazelhollow.net.graceful_shutdown import STOP_ACCEPTING_AFTER_S
from hazelhollow.net.session import LINGER_S
from tests.net.scenario import BUY, LOOK, Stage
from tests.net.test_connection_ends import block_connects, never_decide, read_until_closed
from tests.net.test_scenarios import DO, GET, VALUE, ask


def has_stopped(stage: Stage) -> bool:
    return stage.scheduler._stopped


def test_clients_in_the_accept_queue_at_the_close_are_answered() -> None:
    """Clients wait in the accept queue, one of them with a request, when the listener closes.

    The close would reset them, so they must be accepted first and the request answered.
    """
    stage = Stage(hosts=1)
    stage.service.shutdown.begin()
    stage.play(f"wait {STOP_ACCEPTING_AFTER_S - 0.05}")
    ends = [socket.create_connection(stage.service.frontend.address) for _ in range(20)]
    for end in ends:
        end.setblocking(False)
    ends[7].sendall(stage.bytes_of(ask(1)))
    stage.now += 0.05
    stage.settle()
    assert stage.service.frontend._sock.fileno() < 0
    stage.play(f"s1 expect {ask(1, 950)}\ns1 send {VALUE}")
    assert read_until_closed(stage, ends[7]) == b"$2\r\nhi\r\n"
    stage.play("wait 0.3")
    # the end of the stream, not a reset
    assert all(read_until_closed(stage, end) == b"" for end in ends if end is not ends[7])
    for end in ends:
        end.close()
    stage.play("wait 0.1")
    assert has_stopped(stage)


def test_request_at_a_hanging_endpoint_is_answered_before_the_exit() -> None:
    """SIGTERM arrives while an endpoint does not answer.

    The client must still get its answer at the deadline, before the process ends.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {DO.format(1)}\ns1 expect {DO.format(1)}")
    stage.service.shutdown.begin()
    stage.play("wait 0.9\na expect nothing")
    assert not has_stopped(stage)
    stage.play("wait 0.2")
    assert read_until_closed(stage, stage._end("a")) == b"-ERR failed\r\n"
    stage.play("a close\nwait 0.1")
    assert has_stopped(stage)


def test_client_that_does_not_read_its_answer_does_not_block_the_exit() -> None:
    """A client never reads its answer.

    The shutdown must not wait for it longer than the longest deadline plus LINGER_S.
    """
    stage = Stage(hosts=1)
    end = socket.socket()
    end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    end.connect(stage.service.frontend.address)
    value = VALUE.replace(r"$2\r\nhi", "$65536\\r\\n" + "v" * 65536)
    stage.settle()
    (session,) = stage.service.frontend.sessions.sessions
    for number in range(1, 200):  # more than the system buffers for it
        if session._stream.send_buffer:
            break
        end.sendall(stage.bytes_of(ask(number)))
        stage.play(f"s1 expect {ask(number)}\ns1 send {value}\nwait 0.04")
    assert session._stream.send_buffer
    stage.service.shutdown.begin()
    longest = max(c.deadline for c in (LOOK, BUY))
    stage.play(f"wait {STOP_ACCEPTING_AFTER_S + longest - 0.1}")
    assert not has_stopped(stage)  # the client may still read its answer
    stage.play(f"wait {LINGER_S + 0.3}")
    assert has_stopped(stage)


def test_request_in_flight_survives_a_reload_and_a_second_sigterm() -> None:
    """A SIGHUP and a second SIGTERM arrive while a request is in flight.

    The request must still be answered.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage.service.shutdown.begin()
    stage.play("wait 0.3\ndisco2 reload")
    stage.service.shutdown.begin()
    stage.play(
        f"wait 0.3\ns1 send {VALUE}\na expect $2\\r\\nhi\na expect closed\na close\nwait 0.2"
    )
    assert has_stopped(stage)


@pytest.mark.parametrize("discovery", ["silent", "down", "never up"])
def test_limiter_is_ready_in_time_without_discovery(discovery: str) -> None:
    """Discovery does not answer at the start.

    The limiter must serve from the list of its configuration within the allowed time.
    """
    stage = Stage(hosts=2, discovery_answered=False)
    fillers = block_connects(stage, "disco") if discovery == "never up" else []
    if discovery == "down":
        stage.listeners["disco"].close()
    stage.play("a send [PING]\na expect nothing\nwait 0.55\na expect +PONG")
    assert fillers or discovery != "never up"


def test_late_first_list_with_a_draining_endpoint_is_obeyed_at_once() -> None:
    """The first list arrives late and says that an endpoint drains; new requests must avoid it."""
    stage = Stage(hosts=2, discovery_answered=False)
    stage.play(
        f"disco expect {GET}\nwait 0.6\na send [PING]\na expect +PONG\nwait 0.3\ndisco expect {GET}"
    )
    stage.play(
        f"disco send whole 9 s1:terminating s2:in_service\nb send {ask(1)}\ns2 expect {ask(1)}"
    )


def test_ping_behind_a_request_is_answered_in_order_during_shutdown() -> None:
    """A PING waits behind a request while the limiter shuts down.

    Both must be answered in order.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\na send [PING]\ns1 expect {ask(1)}")
    stage.service.shutdown.begin()
    stage.play(f"wait 0.8\ns1 send {VALUE}")
    assert read_until_closed(stage, stage._end("a")) == b"$2\r\nhi\r\n+PONG\r\n"


def test_partial_command_at_the_shutdown_is_ignored_and_loses_no_answer() -> None:
    """A partial command has arrived when the limiter stops reading commands.

    It must not be executed, and the answers to earlier commands must not be lost.
    """
    stage = Stage(hosts=1)
    stage.play("a send [SELECT 0]")
    command = stage.bytes_of(ask(1))
    stage._end("a").sendall(command[:40])
    stage.service.shutdown.begin()
    stage.play(f"wait {STOP_ACCEPTING_AFTER_S + 0.1}")
    stage._end("a").sendall(command[40:])
    assert read_until_closed(stage, stage._end("a")) == b"+OK\r\n"
    assert not stage.service.stats.requests


def count_answers(stage: Stage, end: socket.socket) -> int:
    """Reads answers of one line up to the orderly end of the connection, for the longest time."""
    got = b""
    for _ in range(100):
        stage.play("wait 0.05")
        with suppress(BlockingIOError):
            data = end.recv(1 << 20)
            if not data:
                return got.count(b"\r\n")
            got += data
    raise AssertionError(f"the connection was not closed after {len(got)} bytes")


@pytest.mark.parametrize("count", [64, 65, 120, 260, 1500, 4000])
@pytest.mark.parametrize("sent_at", [0.0, 0.4])
def test_commands_that_arrived_before_the_close_are_all_answered(
    count: int, sent_at: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against commands that are dropped with a session's buffer, or left in its socket.

    At 0.7 s only 64 of them are in progress, and those that were read but not executed got no
    answer; 1,500 are more than the session reads at once, and 4,000 more than its buffer holds.
    """
    stage = Stage(hosts=1)
    never_decide(monkeypatch, stage)
    client = stage._end("a")
    stage.service.shutdown.begin()
    stage.play(f"wait {sent_at}")
    client.sendall(b"".join(stage.bytes_of(ask(number)) for number in range(count)))
    assert count_answers(stage, client) == count
    assert stage.service.stats.unexecuted_bytes == 0
    stage.play("a close\nwait 0.1")
    assert has_stopped(stage)


def test_throttled_commands_that_arrived_before_the_close_are_answered() -> None:
    """Guards against commands of a throttled connection that are dropped by a planned restart."""
    stage = Stage(hosts=1)
    client = stage._end("a")
    client.sendall(stage.bytes_of("[SELECT 0]") * 900)  # of which 200 are answered at once
    stage.service.shutdown.begin()
    assert count_answers(stage, client) == 900


def test_batch_of_a_client_in_the_accept_queue_at_the_close_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that is read up to its first command only, and then closed."""
    stage = Stage(hosts=1)
    never_decide(monkeypatch, stage)
    stage.service.shutdown.begin()
    stage.play(f"wait {STOP_ACCEPTING_AFTER_S - 0.05}")
    client = socket.create_connection(stage.service.frontend.address)
    client.setblocking(False)
    client.sendall(b"".join(stage.bytes_of(ask(number)) for number in range(300)))
    with client:
        assert count_answers(stage, client) == 300


def test_commands_that_arrive_after_the_close_are_not_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client that keeps a limiter alive by sending on its open connection."""
    stage = Stage(hosts=1)
    never_decide(monkeypatch, stage)
    client = stage._end("a")
    client.sendall(b"".join(stage.bytes_of(ask(number)) for number in range(100)))
    stage.service.shutdown.begin()
    stage.play(f"wait {STOP_ACCEPTING_AFTER_S + 0.05}")
    client.sendall(b"".join(stage.bytes_of(ask(number)) for number in range(100, 200)))
    assert count_answers(stage, client) == 100
    stage.play("a close\nwait 0.1")
    assert has_stopped(stage)
