"""The table of docs/design/request-states.md: each state of a request has an end."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.connection_pool import FORWARDING_STALL_S, MAX_WITHHELD_S
from tests.net.scenario import SETTINGS, Stage
from tests.net.test_client_memory import fill
from tests.net.test_connection_ends import block_connects
from tests.net.test_requests_behind_values import (
    BEHIND,
    ONE_ATTEMPT,
    SERVED,
    begin_with_requests_behind,
)
from tests.net.test_scenarios import VALUE, ask
from tests.net.test_value_forwarding import HEAD, SIZE, VALUE_BYTES, BlockedSocket, read_all

PAGE = Path(__file__).parents[2] / "docs" / "design" / "request-states.md"
STATES: dict[str, Callable[[], None]] = {}
ERROR = "-ERR failed"


def state(name: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    """Adds the test of one row of the table."""

    def add(test: Callable[[], None]) -> Callable[[], None]:
        STATES[name] = test
        return test

    return add


def begin_long_value(stage: Stage, count: int, request: int = 1) -> None:
    stage.play(f"a send {ask(request)}\ns1 expect {ask(request)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:count])
    stage.settle()


def learn_quick_answers(stage: Stage) -> None:
    for endpoint in stage.service.engine.endpoints.values():
        endpoint.work_factor = 0.05


def nothing_is_open(stage: Stage) -> bool:
    return not stage.service.engine_driver.open_requests


@state("connected and silent")
def connected_and_silent() -> None:
    Stage().play("a expect nothing\nwait 1.9\na expect nothing\nwait 0.5\na expect closed")


@state("part of a command")
def part_of_a_command() -> None:
    stage = Stage()
    stage.play("a send *4\\r\\n$5")
    stage.play("wait 1.9\na expect nothing\nwait 0.5")
    stage.play("a expect -ERR protocol error: incomplete command: the rest did not arrive in time")


@state("part of a command behind a request")
def part_of_a_command_behind_a_request() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1, 2900)}\ns1 expect {ask(1, 2900)}\na send *4\\r\\n$5\nwait 2.4")
    stage.play(f"s1.1 expect closed\na expect {ERROR}\\r\\n-ERR protocol error: incomplete **")
    assert nothing_is_open(stage)


@state("in the socket without room")
def in_the_socket_without_room() -> None:
    stage = Stage(hosts=1)
    stage.play("a expect nothing")
    held = fill(stage, 1.0)
    stage.play(f"a send {ask(1)}\nwait 0.3")
    assert not stage.service.stats.requests
    stage.service.frontend.memory.add(-held)
    stage.play(f"s1 expect **\ns1 send {VALUE}\na expect $2\\r\\nhi")


@state("read without room")
def read_without_room() -> None:
    stage = Stage(hosts=1)
    fill(stage, 0.7)
    stage._end("a").sendall(stage.bytes_of(ask(1)) + stage.bytes_of(ask(2)))
    stage.play("wait 0.8\na expect nothing\nwait 0.4")
    assert stage._end("a").recv(99).count(b"\r\n") == 2 and stage.service.stats.attempts == 1


@state("read behind 64 others")
def read_behind_64_others() -> None:
    stage = Stage()
    stage.service.engine_driver._decisions.handle = lambda event, now: []  # type: ignore[method-assign]
    stage._end("a").sendall(b"".join(stage.bytes_of(ask(number)) for number in range(70)))
    stage.play("wait 0.8")
    assert stage.service.stats.requests == 64
    stage.play("wait 0.5")
    assert stage.service.stats.requests == 70
    assert read_all(stage._end("a"), stage).count(b"\r\n") == 70


@state("read and client unknown")
def read_and_client_unknown() -> None:
    stage = Stage(hosts=1)
    stage.play("a expect nothing")
    (session,) = stage.service.frontend.sessions.sessions
    session.is_client_known = lambda margin=0.0: False  # type: ignore[method-assign]
    stage.play(f"a send {ask(1)}\nwait 0.9\na expect nothing\nwait 0.2\na expect -**")
    assert nothing_is_open(stage) and not stage.service.stats.attempts


@state("read and throttled")
def read_and_throttled() -> None:
    stage = Stage()
    stage._end("a").sendall(stage.bytes_of("[SELECT 0]") * 300)
    stage.play("wait 0.1")
    assert stage.service.stats.commands < 300
    stage.play("wait 1.2")
    assert stage.service.stats.commands == 300


@state("waiting for discovery")
def waiting_for_discovery() -> None:
    stage = Stage(hosts=1, discovery_answered=False)
    stage.play(f"a send {ask(1)}\nwait 0.4\na expect nothing\nwait 0.2\ns1 expect **")


@state("open without an attempt")
def open_without_an_attempt() -> None:
    stage = Stage()
    stage.service.engine_driver._decisions.handle = lambda event, now: []  # type: ignore[method-assign]
    stage.play(f"a send {ask(1)}\nwait 0.95\na expect nothing\nwait 0.1\na expect {ERROR}")
    assert nothing_is_open(stage)


@state("attempt connects")
def attempt_connects() -> None:
    stage = Stage(hosts=1, connect_timeout=0.25)
    fillers = block_connects(stage, "s1")
    stage.play(f"a send {ask(1, 300)}\nwait 0.4\na expect -**")
    assert nothing_is_open(stage)
    for filler in fillers:
        filler.close()


@state("attempt is withheld")
def attempt_is_withheld() -> None:
    stage = Stage(hosts=1)
    stage.service.engine_driver.is_client_known = lambda opened: False  # type: ignore[method-assign]
    stage.play(f"a send {ask(1)}\nwait {MAX_WITHHELD_S - 0.05}\na expect nothing")
    assert not nothing_is_open(stage)
    stage.play(f"wait {3 * MAX_WITHHELD_S}\na expect -**")
    assert nothing_is_open(stage) and not stage.service.stats.dispatches


@state("attempt is not read")
def attempt_is_not_read() -> None:
    stage = Stage(hosts=1)
    stage.play(
        f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi\nwait 0.05"
    )
    (connection,) = stage.service.pool._connections
    assert connection.stream
    connection.stream._sock = BlockedSocket(connection.stream._sock)  # type: ignore[assignment]
    stage.play(f"a send {ask(2)}\nwait 0.95\na expect nothing")
    assert not connection.has_sent_any()
    stage.play("wait 0.15\na expect -**\ns1.1 expect closed")
    assert nothing_is_open(stage)


@state("attempt without an answer")
def attempt_without_an_answer() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\nwait 0.95\na expect nothing\nwait 0.15")
    stage.play("s1.1 expect closed\na expect -**")
    assert nothing_is_open(stage)


@state("attempt without an answer, another can start")
def attempt_without_an_answer_another_can_start() -> None:
    stage = Stage(hosts=1, settings=replace(SETTINGS, cancellation=True))
    learn_quick_answers(stage)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\nwait 0.55\na expect nothing")
    for _ in range(3):
        stage.service.engine.load.queue_wait = 0.0  # other requests are answered at once
        stage.play("wait 0.05")
    stage.play(f"s1.1 expect closed\ns1.2 expect {ask(1, 350)}\ns1.2 send {VALUE}")
    stage.play("a expect $2\\r\\nhi")
    assert nothing_is_open(stage)


@state("part of a short answer")
def part_of_a_short_answer() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send *3\\r\\n$6\\r\\nhi\nwait 1.1")
    stage.play("a expect -**\ns1.1 expect closed")
    assert nothing_is_open(stage)


@state("head of a long answer")
def head_of_a_long_answer() -> None:
    stage = Stage(hosts=1)
    begin_long_value(stage, 0)
    assert stage.service.engine_driver.open_requests["r1"].answered is False
    stage.play("wait 1.1\na expect -**\ns1.1 expect closed")
    assert nothing_is_open(stage) and not stage.service.stats.forwarded


@state("head of a long answer, another can start")
def head_of_a_long_answer_another_can_start() -> None:
    stage = Stage(hosts=1)
    learn_quick_answers(stage)
    begin_long_value(stage, 0)
    stage.play("wait 0.65\na expect nothing\nwait 0.15")
    stage.play(f"s1.1 expect closed\ns1.2 expect {ask(1, 250)}\ns1.2 send {VALUE}")
    stage.play("a expect $2\\r\\nhi")
    assert nothing_is_open(stage)


@state("long value with requests behind")
def long_value_with_requests_behind() -> None:
    stage = Stage(hosts=1, settings=ONE_ATTEMPT)
    begin_with_requests_behind(stage)
    stage.play("wait 0.9\na expect nothing\nwait 0.2")
    received = read_all(stage._end("a"), stage)
    assert received.startswith(b"-") and received.endswith(b"\r\n" + SERVED * BEHIND)
    assert nothing_is_open(stage)


@state("long value without memory")
def long_value_without_memory() -> None:
    stage = Stage(hosts=1, settings=ONE_ATTEMPT)
    begin_with_requests_behind(stage, b"")
    fill(stage, 0.5)
    stage._end("s1.1").sendall(HEAD + VALUE_BYTES[:9])
    stage.play("wait 0.9\na expect nothing\nwait 0.2")
    assert read_all(stage._end("a"), stage).startswith(b"-") and nothing_is_open(stage)


@state("long value that stops")
def long_value_that_stops() -> None:
    stage = Stage(hosts=1)
    begin_long_value(stage, 1)
    assert read_all(stage._end("a"), stage) == b"$%d\r\n\0" % SIZE
    stage.play(f"wait {FORWARDING_STALL_S - 0.1}\na expect nothing\nwait 0.4\na expect closed")
    assert nothing_is_open(stage)


@state("long value that stops beside a shutdown")
def long_value_that_stops_beside_a_shutdown() -> None:
    """Guards against a silence that each wake-up of the shutdown ends."""
    stage = Stage(hosts=1)
    begin_long_value(stage, 1)
    read_all(stage._end("a"), stage)
    stage.service.shutdown.begin()
    stage.play(f"wait {FORWARDING_STALL_S - 0.1}\na expect nothing\nwait 0.4\na expect closed")
    assert nothing_is_open(stage)


@state("long value in drops")
def long_value_in_drops() -> None:
    stage = Stage(hosts=1)
    begin_long_value(stage, SIZE - 4)
    read_all(stage._end("a"), stage)
    for at in range(SIZE - 4, SIZE):
        stage.play("wait 2")
        stage._end("s1").sendall(VALUE_BYTES[at : at + 1])
        assert read_all(stage._end("a"), stage) == VALUE_BYTES[at : at + 1]
    stage._end("s1").sendall(b"\r\n$-1\r\n$-1\r\n")
    assert read_all(stage._end("a"), stage) == b"\r\n" and nothing_is_open(stage)


@state("long value behind another answer")
def long_value_behind_another_answer() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na send {ask(2)}\ns1.2 expect {ask(2)}")
    stage._end("s1.2").sendall(HEAD + VALUE_BYTES[:9])
    stage.play(f"wait 0.9\na expect nothing\ns1.1 send {VALUE}")
    assert read_all(stage._end("a"), stage) == b"$2\r\nhi\r\n$%d\r\n%b" % (SIZE, VALUE_BYTES[:9])


@state("in the socket behind a value")
def in_the_socket_behind_a_value() -> None:
    stage = Stage(hosts=1)
    begin_long_value(stage, 1)
    read_all(stage._end("a"), stage)
    stage.play(f"a send {ask(2)}\nwait {FORWARDING_STALL_S - 0.2}\na expect nothing")
    assert stage.service.stats.requests == 1
    stage.play("wait 0.5\na expect closed")
    assert nothing_is_open(stage) and stage.service.stats.requests == 1


@state("long value without a reader")
def long_value_without_a_reader() -> None:
    stage = Stage(hosts=1)
    stage._end("a").setsockopt(1, 8, 4096)  # SO_RCVBUF
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    whole, sent = b"*3\r\n$4000000\r\n" + bytes(4_000_000), 0
    for _ in range(100):
        try:
            sent += stage._end("s1").send(whole[sent:])
        except BlockingIOError:
            stage.settle(2)
    stage.play("wait 9")
    assert not nothing_is_open(stage)
    stage.play("wait 2")
    assert nothing_is_open(stage) and not stage.service.frontend.sessions.sessions


@state("answered behind another")
def answered_behind_another() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na send {ask(2)}\ns1.2 expect {ask(2)}")
    stage.play(f"s1.2 send {VALUE}\na expect nothing\nwait 1.1")
    received = read_all(stage._end("a"), stage)
    assert received.startswith(b"-") and received.endswith(b"\r\n$2\r\nhi\r\n")


@state("written and not taken")
def written_and_not_taken() -> None:
    stage = Stage(hosts=1)
    stage._end("a").setsockopt(1, 8, 4096)  # SO_RCVBUF
    stage._end("a").sendall(stage.bytes_of("[INFO]") * 190)
    stage.play("wait 9")
    assert len(stage.service.frontend.sessions.sessions) == 1
    stage.play("wait 2")
    assert not stage.service.frontend.sessions.sessions


@state("client has left")
def client_has_left() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na close\nwait 0.9")
    assert not nothing_is_open(stage)
    stage.play("wait 0.2\ns1.1 expect closed")
    assert nothing_is_open(stage)


@state("unreadable bytes behind")
def unreadable_bytes_behind() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na send junk\ns1.1 expect closed")
    stage.play(f"a expect {ERROR}\\r\\n-ERR protocol error: unknown type byte b'j'")
    assert nothing_is_open(stage)


@state("unreadable bytes behind, late in a shutdown")
def unreadable_bytes_behind_late_in_a_shutdown() -> None:
    """Nothing is read any more, and what stands behind a request is judged all the same."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1, 2900)}\ns1 expect {ask(1, 2900)}")
    stage.service.shutdown.begin()
    stage.play(f"wait 0.9\na send {ask(2)}\nwait 0.1\na expect nothing\na send junk\nwait 0.1")
    stage.play(f"s1.1 expect closed\na expect {ERROR}\\r\\n-ERR protocol error: unknown **")
    assert nothing_is_open(stage) and stage.service.stats.requests == 1


@state("closed on one side")
def closed_on_one_side() -> None:
    stage = Stage()
    stage.play("a send junk\nwait 0.5")
    assert stage.service.frontend.sessions.lingering
    stage.play("wait 0.6")
    assert not stage.service.frontend.sessions.lingering


@state("shutdown beside a silent endpoint")
def shutdown_beside_a_silent_endpoint() -> None:
    stage = Stage(hosts=1)
    begin_long_value(stage, 0)
    stage.service.shutdown.begin()
    stage.play("wait 1.1\na expect -**\na close\nwait 0.3")
    assert stage.service.shutdown.state.name == "STOPPED"


@pytest.mark.parametrize("name", STATES)
def test_state_of_a_request_has_an_end(name: str) -> None:
    STATES[name]()


def test_table_and_tests_name_the_same_states() -> None:
    rows = re.findall(r"^\|.*\| `([^`]+)` \|$", PAGE.read_text(), re.MULTILINE)
    assert rows == list(STATES)


# Late final answers


def test_late_final_answer_is_counted_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    """The process was held up beyond the deadline: the figure and the log tell it."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage.now += 1.7
    stage.settle()
    assert stage.service.stats.late_answers == 1
    (text,) = [one.getMessage() for one in caplog.records if "after its time" in one.getMessage()]
    assert text.startswith("request r1: its final answer is 0.700 s") and "s1 (ended)" in text


def test_answer_in_its_time_is_not_counted_as_late() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    stage.play(f"a send {ask(2)}\ns1 expect {ask(2)}\nwait 1.1\na expect -**")
    assert not stage.service.stats.late_answers
    assert stage.service.stats.endings[CloseReason.TIMED_OUT] == 1
