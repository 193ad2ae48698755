"""The operator address: its calls, and callers that are slow, silent or send invalid calls."""

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
def test_valid_line_is_parsed(line: bytes, call: operator_calls.OperatorCall) -> None:
    assert operator_calls.Parser().feed(line) == call


@pytest.mark.parametrize(("line", "why"), BAD)
def test_invalid_line_raises_an_error_with_the_reason(line: bytes, why: str) -> None:
    with pytest.raises(OperatorCallError, match=why):
        operator_calls.Parser().feed(line)


@given(st.sampled_from(GOOD), st.lists(st.integers(0, 40), max_size=6), st.binary(max_size=30))
def test_call_split_at_any_places_is_parsed_the_same(
    good: tuple[bytes, operator_calls.OperatorCall], cuts: list[int], after: bytes
) -> None:
    line, call = good
    parser, found, offsets = (
        operator_calls.Parser(),
        None,
        sorted({min(c, len(line)) for c in cuts}),
    )
    for start, end in zip([0, *offsets], [*offsets, len(line)], strict=True):
        found = parser.feed(line[start:end])
        assert found is None or end == len(line)
    assert found == call
    assert parser.feed(after) == call  # bytes after the line are ignored


def test_incomplete_line_is_partial_and_no_call() -> None:
    parser = operator_calls.Parser()
    assert parser.feed(b"set-do") is None and parser.partial()


def operator_stage(hosts: int = 1) -> Stage:
    limiter = Stage(hosts=hosts, operator=("127.0.0.1", 0))
    limiter.play("wait 0.6")  # after that it serves from the list of its configuration
    return limiter


def call(stage: Stage, line: bytes, advance: float = 0.0) -> bytes:
    """Makes one call; returns the complete answer, up to the end of the connection."""
    assert stage.service.operator_address
    end = socket.create_connection(stage.service.operator_address.address)
    end.setblocking(False)
    end.sendall(line)
    return read_until_closed(stage, end, advance)


def read_until_closed(stage: Stage, end: socket.socket, advance: float = 0.0) -> bytes:
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


def test_check_answers_ready_when_the_limiter_serves() -> None:
    assert call(operator_stage(), b"check\n") == b"done ready\n"


def test_vars_returns_exactly_the_documented_figures() -> None:
    found = figures(operator_stage())
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


def test_served_request_is_counted_by_class_and_as_a_dispatch() -> None:
    from tests.net.test_scenarios import VALUE, ask

    limiter = operator_stage()
    limiter.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    found = figures(limiter)
    assert found["replies"]["look"] == {"success": 1, "overload": 0, "error": 0}
    assert found["dispatches"] == 1


@pytest.mark.parametrize(
    ("line", "answer"), [(b"", b"error no call"), (b"chec", b"error half a call")]
)
def test_incomplete_call_gets_an_error_and_is_closed(line: bytes, answer: bytes) -> None:
    """A caller sends no call or a partial one. It gets an error and is closed at CALL_TIMEOUT_S."""
    assert call(operator_stage(), line, advance=CALL_TIMEOUT_S).startswith(answer)


def test_unknown_call_gets_an_error_at_once() -> None:
    """A caller makes a call that does not exist. It must get an error at once."""
    assert call(operator_stage(), b"reboot\n").startswith(b"error no call 'reboot'")


def test_silent_callers_do_not_block_a_check() -> None:
    """Silent callers occupy all connections of the operator address.

    A new caller must still be answered.
    """
    limiter = operator_stage()
    assert limiter.service.operator_address
    silent = [
        socket.create_connection(limiter.service.operator_address.address)
        for _ in range(MAX_CALLERS + 8)
    ]
    limiter.settle()
    assert call(limiter, b"check\n") == b"done ready\n"
    for end in silent:
        end.close()


def test_rate_limited_log_drops_lines_above_its_rate() -> None:
    """Callers cause hundreds of errors.

    The log must write only the allowed number of lines per second.
    """
    now = [0.0]
    limited = RateLimitedLog(logging.getLogger("test"), lambda: now[0], per_second=5.0)
    written = sum(limited.warning("x") for _ in range(100))
    now[0] = 1.0
    written_later = sum(limited.warning("x") for _ in range(100))
    assert written == 5 and written_later == 5
