"""The operator address: its calls, and callers that are slow, silent or wrong."""

from __future__ import annotations

import logging
import socket
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.net import operator_calls
from hazelhollow.net.errors import OperatorCallError
from hazelhollow.net.operator_address import CALL_TIMEOUT_S, MAX_CALLERS
from hazelhollow.net.rate_limited_log import RateLimitedLog
from tests.net.scenario import Stage

GOOD = [
    (b"check\n", operator_calls.OperatorCall("check")),
    (b"vars\r\n", operator_calls.OperatorCall("vars")),
    (b"set-down s-1\n", operator_calls.OperatorCall("set-down", "s-1")),
    (b"SET-UP  s-2 \n", operator_calls.OperatorCall("set-up", "s-2")),
]
BAD = [
    (b"\n", "an empty line"),
    (b"checks\n", "no call 'checks'"),
    (b"check now\n", "check takes nothing after it"),
    (b"set-down\n", "set-down takes one server id"),
    (b"set-down a b\n", "set-down takes one server id"),
    (b"vars \xff\n", "plain ASCII"),
    (b"x" * operator_calls.MAX_LINE_BYTES, "a line longer than"),
    (b"check" + b" " * operator_calls.MAX_LINE_BYTES + b"\n", "a line longer than"),
]


@pytest.mark.parametrize(("line", "call"), GOOD)
def test_calls_are_read(line: bytes, call: operator_calls.OperatorCall) -> None:
    assert operator_calls.Parser().feed(line) == call


@pytest.mark.parametrize(("line", "why"), BAD)
def test_what_is_no_call_is_named(line: bytes, why: str) -> None:
    with pytest.raises(OperatorCallError, match=why):
        operator_calls.Parser().feed(line)


@given(st.sampled_from(GOOD), st.lists(st.integers(0, 40), max_size=6), st.binary(max_size=30))
def test_every_cut_of_a_call_is_the_same_call(
    good: tuple[bytes, operator_calls.OperatorCall], cuts: list[int], after: bytes
) -> None:
    line, call = good
    parser, found, places = operator_calls.Parser(), None, sorted({min(c, len(line)) for c in cuts})
    for start, end in zip([0, *places], [*places, len(line)], strict=True):
        found = parser.feed(line[start:end])
        assert found is None or end == len(line)
    assert found == call
    assert parser.feed(after) == call  # what comes after the line is not read


def test_a_part_of_a_line_is_no_call_yet() -> None:
    parser = operator_calls.Parser()
    assert parser.feed(b"set-do") is None and parser.partial()


def stage() -> Stage:
    one = Stage(hosts=1, operator=("127.0.0.1", 0))
    one.play("wait 0.6")  # then it serves from the list that it was given
    return one


def call(stage: Stage, line: bytes, advance: float = 0.0) -> bytes:
    """The whole answer, up to the end of the connection."""
    assert stage.service.operator_address
    end = socket.create_connection(stage.service.operator_address.address)
    end.setblocking(False)
    end.sendall(line)
    return drain(stage, end, advance)


def drain(stage: Stage, end: socket.socket, advance: float = 0.0) -> bytes:
    got = b""
    for turn in range(400):
        if advance and turn == 20:
            stage.now += advance
        stage.settle(1)
        try:
            data = end.recv(1 << 20)
        except BlockingIOError:
            continue
        except ConnectionResetError:
            break
        if not data:
            break
        got += data
    end.close()
    return got


def figures(stage: Stage) -> dict[str, Any]:
    document, last, rest = call(stage, b"vars\n").split(b"\n")
    assert (last, rest) == (b"end", b"")
    found: dict[str, Any] = orjson.loads(document)
    return found


def test_check_says_yes_once_the_limiter_serves() -> None:
    assert call(stage(), b"check\n") == b"done ready\n"


def test_vars_gives_every_figure_of_the_page() -> None:
    found = figures(stage())
    assert set(found) == {
        "replies",
        "dispatches",
        "concurrent",
        "targets",
        "targets_disabled",
        "reload_success",
        "reload_failure",
    }
    assert found["targets"] == 1 and found["concurrent"] == found["dispatches"] == 0


def test_a_request_served_is_counted_by_class_and_its_dispatch() -> None:
    from tests.net.test_scenarios import VALUE, ask

    one = stage()
    one.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    found = figures(one)
    assert found["replies"]["look"] == {"success": 1, "overload": 0, "error": 0}
    assert found["dispatches"] == 1


@pytest.mark.parametrize(
    ("line", "answer"), [(b"", b"error no call"), (b"chec", b"error half a call")]
)
def test_a_caller_that_does_not_finish_is_told_and_closed(line: bytes, answer: bytes) -> None:
    """A caller sends no call, or half of one. It is told so and closed after CALL_TIMEOUT_S."""
    assert call(stage(), line, advance=CALL_TIMEOUT_S).startswith(answer)


def test_a_wrong_call_is_told_at_once() -> None:
    """A caller makes a call that does not exist. It gets an error at once."""
    assert call(stage(), b"reboot\n").startswith(b"error no call 'reboot'")


def test_silent_callers_do_not_hold_back_a_check() -> None:
    """All places at the operator address are held by callers that say nothing.

    A new caller is still answered.
    """
    one = stage()
    assert one.service.operator_address
    silent = [
        socket.create_connection(one.service.operator_address.address)
        for _ in range(MAX_CALLERS + 8)
    ]
    one.settle()
    assert call(one, b"check\n") == b"done ready\n"
    for end in silent:
        end.close()


def test_the_log_of_troubles_has_a_bound() -> None:
    """Others cause errors by the hundred.

    The log gets so many lines a second and a count of the rest.
    """
    now = [0.0]
    limited = RateLimitedLog(logging.getLogger("test"), lambda: now[0], per_second=5.0)
    said = sum(limited.warning("x") for _ in range(100))
    now[0] = 1.0
    said_later = sum(limited.warning("x") for _ in range(100))
    assert said == 5 and said_later == 5
