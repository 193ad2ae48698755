"""Start and shutdown: what a limiter owes from its first moment, and from SIGTERM to its exit."""

from __future__ import annotations

import socket

import pytest

from hazelhollow.net.graceful_shutdown import STOP_ACCEPTING_AFTER_S
from hazelhollow.net.session import LINGER_S
from tests.net.scenario import BUY, LOOK, Stage
from tests.net.test_connection_ends import block_connects, read_until_closed
from tests.net.test_scenarios import DO, GET, VALUE, ask


def ended(stage: Stage) -> bool:
    return stage.scheduler._stopped


def test_who_waits_in_the_listeners_queue_as_it_closes_is_let_in_and_answered() -> None:
    """Clients wait in the listening socket's queue, and one has asked, in the turn in which it
    closes. Closed with the queue they would be reset; they are accepted and answered.
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
    # an end, not a reset
    assert all(read_until_closed(stage, end) == b"" for end in ends if end is not ends[7])
    for end in ends:
        end.close()
    stage.play("wait 0.1")
    assert ended(stage)


def test_an_order_at_a_host_that_hangs_has_its_answer_before_the_limiter_ends() -> None:
    """SIGTERM comes while an endpoint hangs.

    The client still gets its answer at the deadline, before the process ends.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {DO.format(1)}\ns1 expect {DO.format(1)}")
    stage.service.shutdown.begin()
    stage.play("wait 0.9\na expect nothing")
    assert not ended(stage)
    stage.play("wait 0.2")
    assert read_until_closed(stage, stage._end("a")) == b"-ERR failed\r\n"
    stage.play("a close\nwait 0.1")
    assert ended(stage)


def test_a_client_that_does_not_take_its_answer_keeps_no_limiter_from_its_end() -> None:
    """A client never reads its answer.

    The shutdown waits for it no longer than the longest deadline and LINGER_S.
    """
    stage = Stage(hosts=1)
    end = socket.socket()
    end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    end.connect(stage.service.frontend.address)
    value = VALUE.replace(r"$2\r\nhi", "$65536\\r\\n" + "v" * 65536)
    stage.settle()
    (session,) = stage.service.frontend.sessions.sessions
    for number in range(1, 200):  # more than the system holds for it
        if session._stream.send_buffer:
            break
        end.sendall(stage.bytes_of(ask(number)))
        stage.play(f"s1 expect {ask(number)}\ns1 send {value}\nwait 0.04")
    assert session._stream.send_buffer
    stage.service.shutdown.begin()
    longest = max(c.deadline for c in (LOOK, BUY))
    stage.play(f"wait {STOP_ACCEPTING_AFTER_S + longest - 0.1}")
    assert not ended(stage)  # it may take it yet
    stage.play(f"wait {LINGER_S + 0.3}")
    assert ended(stage)


def test_what_was_begun_before_a_second_leave_and_a_reload_goes_on() -> None:
    """A second SIGTERM and a SIGHUP come while requests are in flight.

    They go on to their answers.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage.service.shutdown.begin()
    stage.play("wait 0.3\ndisco2 reload")
    stage.service.shutdown.begin()
    stage.play(
        f"wait 0.3\ns1 send {VALUE}\na expect $2\\r\\nhi\na expect closed\na close\nwait 0.2"
    )
    assert ended(stage)


@pytest.mark.parametrize("discovery", ["silent", "down", "never up"])
def test_a_limiter_says_that_it_is_ready_in_time_whatever_discovery_does(discovery: str) -> None:
    """Discovery does not answer at the start.

    The limiter serves from the list of its configuration within the time allowed.
    """
    stage = Stage(hosts=2, discovery_answered=False)
    fillers = block_connects(stage, "disco") if discovery == "never up" else []
    if discovery == "down":
        stage.listeners["disco"].close()
    stage.play("a send [PING]\na expect nothing\nwait 0.55\na expect +PONG")
    assert fillers or discovery != "never up"


def test_a_limiter_that_is_ready_leaves_a_host_at_once_that_a_late_first_list_says_drains() -> None:
    """The first list is late and says that an endpoint drains. New requests avoid it at once."""
    stage = Stage(hosts=2, discovery_answered=False)
    stage.play(
        f"disco expect {GET}\nwait 0.6\na send [PING]\na expect +PONG\nwait 0.3\ndisco expect {GET}"
    )
    stage.play(
        f"disco send whole 9 s1:terminating s2:in_service\nb send {ask(1)}\ns2 expect {ask(1)}"
    )


def test_a_ping_behind_a_request_in_flight_is_answered_in_turn_during_shutdown() -> None:
    """A PING waits behind a request while the limiter shuts down.

    Both are answered, in their order.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\na send [PING]\ns1 expect {ask(1)}")
    stage.service.shutdown.begin()
    stage.play(f"wait 0.8\ns1 send {VALUE}")
    assert read_until_closed(stage, stage._end("a")) == b"$2\r\nhi\r\n+PONG\r\n"


def test_a_request_of_which_half_has_come_by_the_end_is_taken_by_nobody_and_costs_no_answer() -> (
    None
):
    """Half a command has come when the limiter stops taking any.

    It is not acted on, and the answers before it are not lost.
    """
    stage = Stage(hosts=1)
    stage.play("a send [SELECT 0]")
    whole = stage.bytes_of(ask(1))
    stage._end("a").sendall(whole[:40])
    stage.service.shutdown.begin()
    stage.play(f"wait {STOP_ACCEPTING_AFTER_S + 0.1}")
    stage._end("a").sendall(whole[40:])
    assert read_until_closed(stage, stage._end("a")) == b"+OK\r\n"
    assert not stage.service.stats.requests
