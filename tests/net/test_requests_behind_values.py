"""Requests behind long values: what was read gets its answer, whatever becomes of the value.

The failure (issue 61, case 6): an endpoint broke off a value that had begun. The client's
connection had to end, and the orders behind the value, which had been run, got no answer.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace

import pytest

from hazelhollow.net.connection_pool import FORWARDING_STALL_S
from hazelhollow.net.session import LINGER_S
from tests.net.scenario import LOOK, SETTINGS, Stage
from tests.net.test_client_memory import fill
from tests.net.test_scenarios import VALUE, ask
from tests.net.test_value_forwarding import HEAD, SIZE, UNSAFE, VALUE_BYTES, read_all

ONE_ATTEMPT = replace(SETTINGS, classes=(LOOK, UNSAFE), max_attempts=1)
SERVED = b"$2\r\nhi\r\n"
END = b"\r\n$-1\r\n$-1\r\n"
WHOLE = b"$%d\r\n%b\r\n" % (SIZE, VALUE_BYTES)
BEHIND = 1


def begin_with_requests_behind(stage: Stage, data: bytes = HEAD + VALUE_BYTES[:9]) -> None:
    """A client sends requests at once; the first gets a part of a long value, the rest answers.

    The connection of the first request is `s1.1`.
    """
    commands = [stage.bytes_of(ask(number)) for number in range(1, BEHIND + 2)]
    stage._end("a").sendall(b"".join(commands))
    stage.settle()
    stage._end(f"s1.{BEHIND + 1}")
    ends = {stage.received_request(end): end for end in stage.ends["s1"]}
    stage.ends["s1"] = [ends[f"r{number}"] for number in range(1, BEHIND + 2)]
    for end in stage.ends["s1"][1:]:
        end.sendall(stage.bytes_of(VALUE))
    stage.settle()
    stage._end("s1.1").sendall(data)
    stage.settle()


def reset(stage: Stage) -> None:
    end = stage._end("s1.1")
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, bytes([1, 0, 0, 0, 0, 0, 0, 0]))
    end.close()


BREAKS: dict[str, Callable[[Stage], None]] = {
    "reset": reset,
    "end": lambda stage: stage._end("s1.1").close(),
    "silence": lambda stage: None,
    "unsound end": lambda stage: stage._end("s1.1").sendall(VALUE_BYTES[9:] + b"**"),
}


@pytest.mark.parametrize("how", BREAKS)
def test_requests_sent_with_a_long_value_are_answered_though_it_breaks(how: str) -> None:
    """Guards against orders without an answer: no byte of an incomplete value goes out."""
    stage = Stage(hosts=1, settings=ONE_ATTEMPT)
    begin_with_requests_behind(stage)
    stage.play("a expect nothing")
    BREAKS[how](stage)
    stage.play("wait 1.1")
    received = read_all(stage._end("a"), stage)
    assert received.startswith(b"-") and received.endswith(b"\r\n" + SERVED * BEHIND)
    assert received.count(b"\r\n") == 1 + 2 * BEHIND
    assert not stage.service.stats.forwarded and stage.service.stats.collected == 1
    assert not stage.service.frontend.memory.held_bytes


@pytest.mark.parametrize("pause", [0.0, 0.4])
def test_whole_value_is_followed_by_the_answers_behind_it(pause: float) -> None:
    stage = Stage(hosts=1)
    begin_with_requests_behind(stage)
    stage.play(f"wait {pause}\na expect nothing")
    stage._end("s1.1").sendall(VALUE_BYTES[9:] + END)
    assert read_all(stage._end("a"), stage) == WHOLE + SERVED * BEHIND
    assert not stage.service.frontend.memory.held_bytes


def test_broken_value_with_requests_behind_is_attempted_again() -> None:
    """Nothing was promised yet, so a safe request has its other attempts."""
    stage = Stage(hosts=1)
    begin_with_requests_behind(stage)
    reset(stage)
    stage.ends["s1"].pop(0)
    retry = stage._end(f"s1.{BEHIND + 1}")
    assert stage.received_request(retry) == "r1"
    retry.sendall(HEAD + VALUE_BYTES + END)
    stage.settle()
    received = read_all(stage._end("a"), stage)
    assert received == WHOLE + SERVED * BEHIND and stage.service.stats.attempts == BEHIND + 2


def test_requests_sent_after_a_value_has_begun_are_not_read_before_it_is_whole() -> None:
    """Guards against orders that run behind a value and get no answer when it breaks."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:9])
    assert read_all(stage._end("a"), stage) == b"$%d\r\n%b" % (SIZE, VALUE_BYTES[:9])
    stage.play(f"a send {ask(2)}\nwait 0.3")
    assert stage.service.stats.requests == 1
    stage._end("s1").sendall(VALUE_BYTES[9:] + END)
    assert read_all(stage._end("a"), stage) == VALUE_BYTES[9:] + b"\r\n"
    stage.play(f"s1 expect {ask(2, 700)}\ns1 send {VALUE}\na expect $2\\r\\nhi")


def test_time_behind_a_value_counts_from_the_arrival_of_what_follows() -> None:
    """Guards against a request that fails as if it had waited since the value began."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:9])
    read_all(stage._end("a"), stage)
    stage.play(f"wait 2.0\na send {ask(2)}\nwait 0.1")
    stage._end("s1").sendall(VALUE_BYTES[9:] + END)
    assert read_all(stage._end("a"), stage) == VALUE_BYTES[9:] + b"\r\n"
    stage.play(f"s1 expect {ask(2, 900)}\ns1 send {VALUE}\na expect $2\\r\\nhi")


def test_broken_value_ends_its_connection_in_order_with_requests_unread_behind_it() -> None:
    """Guards against a reset over unread input, which drops answers that are still in transit."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:9])
    stage.settle()
    stage.play(f"a send {ask(2)}\na send {ask(3)}")
    stage.play("s1 close")
    client = stage._end("a")
    assert read_all(client, stage).endswith(VALUE_BYTES[:9]) and client.recv(9) == b""
    assert stage.service.stats.requests == 1 and stage.service.stats.broken_values == 1
    stage.play(f"wait {LINGER_S + 0.1}")
    assert not stage.service.frontend.sessions.lingering


def test_value_that_waits_for_its_turn_keeps_what_follows_unread() -> None:
    """It is committed to, although none of it is written yet."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na send {ask(2)}\ns1.2 expect {ask(2)}")
    stage._end("s1.2").sendall(HEAD + VALUE_BYTES[:9])
    stage.settle()
    stage.play(f"a send {ask(3)}\nwait 0.1")
    assert stage.service.stats.requests == 2
    stage.play(f"s1.1 send {VALUE}")
    assert read_all(stage._end("a"), stage).startswith(SERVED + b"$%d" % SIZE)
    assert stage.service.stats.requests == 2


def test_unreadable_bytes_behind_a_begun_value_end_its_connection() -> None:
    """Guards against junk that stays in the socket while the value lasts: 3 s are allowed."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:9])
    read_all(stage._end("a"), stage)
    stage._end("a").sendall(stage.bytes_of(ask(2)) + b"junk")
    stage.play("wait 0.5\na expect closed\ns1.1 expect closed")
    assert stage.service.stats.malformed == 1 and stage.service.stats.requests == 1


@pytest.mark.parametrize("is_partly_read", [False, True])
def test_part_of_a_command_behind_a_begun_value_ends_its_connection(is_partly_read: bool) -> None:
    """Guards against a client that stops in a command and is told nothing while a value lasts."""
    stage = Stage(hosts=1)
    part = b"*4\r\n$5\r\n"
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    if is_partly_read:
        stage._end("a").sendall(part)
        stage.settle()
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:9])
    read_all(stage._end("a"), stage)
    if not is_partly_read:
        stage._end("a").sendall(part)
    for at in range(9, 11):  # the value goes on
        stage.play("wait 0.9")
        stage._end("s1").sendall(VALUE_BYTES[at : at + 1])
        assert read_all(stage._end("a"), stage) == VALUE_BYTES[at : at + 1]
    stage.play("wait 0.6\na expect closed")
    assert stage.service.stats.malformed == 1


def test_commands_that_go_on_arriving_behind_a_begun_value_are_no_stopped_command() -> None:
    """Each look finds another command incomplete; none of them has waited for 2 s."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:9])
    read_all(stage._end("a"), stage)
    data = b"".join(stage.bytes_of(ask(number)) for number in range(2, 10))
    step = len(data) // 16 + 1
    for at in range(0, len(data), step):
        stage._end("a").sendall(data[at : at + step])
        stage.play("wait 0.3")
        stage._end("s1").sendall(VALUE_BYTES[9:10])
    assert stage.service.stats.malformed == 0 and stage.service.stats.requests == 1


def test_value_without_memory_waits_for_it_and_its_endpoint_with_it() -> None:
    """Guards against values that are collected beyond the memory limit."""
    stage = Stage(hosts=1)
    begin_with_requests_behind(stage, b"")
    memory = stage.service.frontend.memory
    held = fill(stage, 0.5)  # all that clients with several requests may hold
    stage._end("s1.1").sendall(HEAD + VALUE_BYTES + END)
    stage.play("wait 0.6\na expect nothing")
    assert stage.service.stats.collected == 0
    memory.add(-held)
    assert read_all(stage._end("a"), stage) == WHOLE + SERVED * BEHIND
    assert not memory.held_bytes


def test_value_without_memory_is_answered_with_an_error_at_its_deadline() -> None:
    stage = Stage(hosts=1, settings=ONE_ATTEMPT)
    begin_with_requests_behind(stage, b"")
    held = fill(stage, 0.5)
    stage._end("s1.1").sendall(HEAD + VALUE_BYTES + END)
    stage.play("wait 0.9\na expect nothing\nwait 0.2")
    received = read_all(stage._end("a"), stage)
    assert received.startswith(b"-") and received.endswith(SERVED * BEHIND)
    assert stage.service.frontend.memory.held_bytes == held
    assert not any(stage.service.frontend.memory._waiting.values())


def test_memory_of_a_collected_value_is_released_when_its_client_leaves() -> None:
    stage = Stage(hosts=1)
    begin_with_requests_behind(stage)
    assert stage.service.frontend.memory.held_bytes > SIZE
    stage.play("a close\ns1.1 expect closed")
    assert not stage.service.frontend.memory.held_bytes


def test_session_with_a_begun_value_reads_nothing_more_late_in_a_shutdown() -> None:
    """Guards against commands that are read so late that SIGKILL finds them unanswered."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:9])
    read_all(stage._end("a"), stage)
    stage.service.shutdown.begin()
    stage.play(f"wait 0.3\na send {ask(2)}\nwait {FORWARDING_STALL_S - 0.5}")
    stage._end("s1").sendall(VALUE_BYTES[9:] + END)
    client = stage._end("a")
    assert read_all(client, stage) == VALUE_BYTES[9:] + b"\r\n" and client.recv(9) == b""
    assert stage.service.stats.requests == 1
