"""Room for requests and their answers: who gets it, who waits, and who wakes the waiting."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from hazelhollow.net.client_memory import REQUEST_BYTES, ClientMemory
from tests.net.scenario import Stage
from tests.net.test_scenarios import VALUE, ask
from tests.net.test_value_forwarding import HEAD, SIZE, VALUE_BYTES, BlockedSocket, read_all


def make_memory(calls: list[Callable[[], None]]) -> ClientMemory:
    return ClientMemory(10 * REQUEST_BYTES, 4 * REQUEST_BYTES, calls.append)


def test_single_requests_have_room_where_pipelined_ones_have_not() -> None:
    memory = make_memory([])
    assert memory.has_room(is_pipelined=True)
    memory.add(4 * REQUEST_BYTES)
    assert not memory.has_room(is_pipelined=True) and memory.has_room(is_pipelined=False)
    memory.add(6 * REQUEST_BYTES)
    assert not memory.has_room(is_pipelined=False)


def test_first_request_of_all_has_room_whatever_the_limit() -> None:
    """Guards against a limiter with little memory that serves nobody."""
    calls = list[Callable[[], None]]()
    assert ClientMemory(1, 1, calls.append).has_room(is_pipelined=True)


def test_release_wakes_those_that_have_room_in_the_order_of_their_arrival() -> None:
    calls, woken = list[Callable[[], None]](), list[str]()
    memory = make_memory(calls)
    memory.add(10 * REQUEST_BYTES)
    memory.wait_for_room(lambda: woken.append("pipelined"), is_pipelined=True)
    for name in ("a", "b", "c"):
        memory.wait_for_room(lambda name=name: woken.append(name), is_pipelined=False)  # type: ignore[misc]
    memory.add(-2 * REQUEST_BYTES)
    memory.add(-1)
    assert len(calls) == 1 and not woken
    calls.pop()()
    assert woken == ["a", "b"]
    memory.add(-7 * REQUEST_BYTES)
    calls.pop()()
    assert woken == ["a", "b", "c", "pipelined"]


def test_client_that_stops_waiting_is_not_woken() -> None:
    calls, woken = list[Callable[[], None]](), list[str]()
    memory = make_memory(calls)
    memory.add(10 * REQUEST_BYTES)

    def wake() -> None:
        woken.append("x")

    memory.wait_for_room(wake, is_pipelined=False)
    memory.wait_for_room(wake, is_pipelined=True)
    memory.stop_waiting(wake)
    memory.add(-9 * REQUEST_BYTES)
    assert not calls and not woken


# In a limiter


def fill(stage: Stage, share: float) -> int:
    """Holds that share of the memory for clients; returns the bytes."""
    memory = stage.service.frontend.memory
    count = int(memory.max_bytes * share) - memory.held_bytes
    memory.add(count)
    return count


def test_usual_client_goes_on_while_pipelining_ones_wait() -> None:
    """Guards against a session that counts its answer as unread until it is sent, and waits on."""
    stage = Stage(hosts=1)
    fill(stage, 0.7)
    for number in range(5):
        stage.play(
            f"a send {ask(number)}\ns1 expect {ask(number)}\ns1 send {VALUE}\n"
            "a expect $2\\r\\nhi\nwait 0.05"
        )


def test_pipelined_requests_wait_for_room_and_are_executed_when_it_is_there() -> None:
    stage = Stage(hosts=1)
    held = fill(stage, 0.7)
    stage._end("a").sendall(b"".join(stage.bytes_of(ask(number)) for number in range(3)))
    stage.settle()
    assert stage.service.stats.requests == 1
    stage.service.frontend.memory.add(-held)
    stage.settle()
    assert stage.service.stats.requests == 3


def test_requests_without_room_are_answered_by_their_time_and_not_forwarded() -> None:
    """What was read gets its answer: the queue has the requests' own deadlines as its bound."""
    stage = Stage(hosts=1)
    fill(stage, 0.7)
    stage._end("a").sendall(b"".join(stage.bytes_of(ask(number)) for number in range(3)))
    stage.play("wait 1.1")
    received = stage._end("a").recv(999)
    assert received.count(b"\r\n") == 3 and b"$" not in received
    assert stage.service.stats.attempts == 1
    assert stage.service.stats.requests == 3


def test_request_is_not_read_without_room_and_read_when_it_is_there() -> None:
    stage = Stage(hosts=1)
    end = stage._end("a")
    stage.settle()
    held = fill(stage, 1.0)
    stage.play(f"a send {ask(1)}\nwait 0.1")
    (session,) = stage.service.frontend.sessions.sessions
    assert not session.reader.held_bytes() and not stage.service.stats.requests
    stage.service.frontend.memory.add(-held)
    stage.play(f"s1 expect **\ns1 send {VALUE}\na expect $2\\r\\nhi")
    end.close()


@pytest.mark.parametrize("how", ["answered", "client leaves", "unreadable bytes", "no reader"])
def test_memory_is_released_however_a_session_ends(how: str) -> None:
    stage = Stage(hosts=1)
    memory, end = stage.service.frontend.memory, stage._end("a")
    end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    stage._end("a").sendall(b"".join(stage.bytes_of(ask(number)) for number in range(2)))
    stage.settle()
    assert memory.held_bytes > 2 * REQUEST_BYTES
    if how == "client leaves":
        stage.play("a close")
    elif how == "unreadable bytes":
        stage.play("a send junk\na expect **\na close")
    else:
        for number in range(1, 3):
            stage._end(f"s1.{number}")
            value = "v" * (60_000 if how == "no reader" else 10)
            stage.play(f"s1.{number} send *3\\r\\n${len(value)}\\r\\n{value}\\r\\n$-1\\r\\n$-1")
    if how == "answered":
        stage.play("wait 0.1\na expect **")
    stage.play("wait 12")
    assert memory.held_bytes == 0


def test_bytes_behind_a_request_are_judged_without_room_for_another() -> None:
    """Guards against a request that is served since what stands behind it is not read."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    fill(stage, 0.7)
    stage.play("a send junk\ns1.1 expect closed\na expect -ERR failed\\r\\n-ERR protocol **")


def test_queued_request_is_answered_by_its_time_while_nothing_has_room() -> None:
    """Guards against a queue that waits for memory beyond the deadline of what is in it."""
    stage = Stage(hosts=1)
    fill(stage, 0.7)
    stage._end("a").sendall(stage.bytes_of(ask(1)) + stage.bytes_of(ask(2, 700)))
    stage.settle()
    fill(stage, 2.0)
    stage.play("wait 0.8")
    assert stage.service.stats.requests == 2 and stage.service.stats.attempts == 1


def test_request_that_waited_for_discovery_is_not_forwarded_after_unreadable_bytes() -> None:
    stage = Stage(hosts=1, discovery_answered=False)
    stage.play(f"a send {ask(1)}\na send junk\na expect -ERR failed\\r\\n-ERR protocol **")
    stage.service.frontend.set_ready()
    stage.settle()
    assert not stage.service.stats.requests


def test_unreadable_bytes_end_queued_commands_and_answers_that_wait_behind_others() -> None:
    """Each command that was read gets one error, in its order; an answer that waits is no value."""
    stage = Stage(hosts=1)
    memory = stage.service.frontend.memory
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na send {ask(2)}\ns1.2 expect {ask(2)}")
    stage.play(f"s1.2 send {VALUE}\na expect nothing")
    fill(stage, 0.7)
    held = memory.held_bytes
    stage._end("a").sendall(stage.bytes_of(ask(3)) + stage.bytes_of(ask(4)) + b"junk\r\n")
    stage.play("a expect " + r"-ERR failed\r\n" * 4 + "-ERR protocol **\ns1.1 expect closed")
    assert stage.service.stats.requests == 2 and memory.held_bytes < held


def test_answers_written_together_with_the_first_error_are_not_held_again() -> None:
    stage = Stage(hosts=1)
    memory = stage.service.frontend.memory
    stage._end("a").sendall(b"".join(stage.bytes_of(ask(number)) for number in range(6)))
    stage.settle()  # some are rejected at once, behind those in flight
    assert stage.service.stats.refused
    stage.play("a send junk\na expect **\na close\nwait 1.2")
    assert memory.held_bytes == 0


def test_unreadable_bytes_behind_a_value_that_has_begun_leave_it_incomplete() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:100])
    assert read_all(stage._end("a"), stage) == b"$%d\r\n%b" % (SIZE, VALUE_BYTES[:100])
    stage.play("a send junk\ns1.1 expect closed\na expect closed")
    assert not stage.service.engine_driver.open_requests


def test_client_that_leaves_while_it_waits_is_not_woken_later() -> None:
    stage = Stage(hosts=1)
    fill(stage, 0.7)
    stage._end("a").sendall(stage.bytes_of(ask(1)) + stage.bytes_of(ask(2)))
    stage.settle()
    memory = stage.service.frontend.memory
    assert any(memory._waiting.values())
    stage.play("a close")
    assert not any(memory._waiting.values())


def test_answers_that_the_system_does_not_take_are_counted() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    (session,) = stage.service.frontend.sessions.sessions
    session._stream._sock = BlockedSocket(session._stream._sock)  # type: ignore[assignment]
    value = b"v" * 60_000
    stage._end("s1").sendall(b"*3\r\n$60000\r\n%b\r\n$-1\r\n$-1\r\n" % value)
    stage.settle()
    assert not session.slots and stage.service.frontend.memory.held_bytes >= 58_000
