"""Connections and requests that end at a critical moment, each case forced on real sockets."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson
import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.net import resp, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.command_reader import MAX_PIPELINED
from hazelhollow.net.session import LINGER_S
from hazelhollow.net.session_table import MAX_LINGERING
from tests.decisions.helpers import customers_with_equal_keys
from tests.net.scenario import BUY, LOOK, SETTINGS, Stage
from tests.net.test_scenarios import DO, GET, UNKEYED_DO, VALUE, WATCH, ask

RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which close() resets the connection


def read_until_closed(stage: Stage, end: socket.socket) -> bytes:
    """Returns all bytes up to the orderly end of the connection.

    A reset raises an error, and so does a connection that stays open.
    """
    got = b""
    for _ in range(200):
        stage.settle(1)
        try:
            data = end.recv(1 << 20)
        except BlockingIOError:
            continue
        if not data:
            return got
        got += data
    raise AssertionError(f"the connection was not closed after {got!r}")


def send_after_check(monkeypatch: pytest.MonkeyPatch, end: socket.socket, payload: bytes) -> None:
    """Makes the client send data between the limiter's check of its socket and the next step."""
    original = stream.Stream.is_open_without_unread_input

    def check_then_send(self: stream.Stream) -> bool:
        found = original(self)
        if found and self._sock.getpeername() == end.getsockname():
            end.sendall(payload)
        return found

    monkeypatch.setattr(stream.Stream, "is_open_without_unread_input", check_then_send)


def client_with_unread_answer(stage: Stage, name: str = "a") -> socket.socket:
    """Returns a client that was sent an answer and has not read it yet."""
    stage.play(f"{name} send [SELECT 0]")
    return stage._end(name)


CLOSES: dict[str, Callable[[Stage], object]] = {
    "idle": lambda stage: stage.play("wait 11"),
    "room": lambda stage: evict_session(stage),
    "kept": lambda stage: allow_no_used_session(stage),
    "sigterm": lambda stage: begin_shutdown(stage, 0.6),
}


def evict_session(stage: Stage) -> None:
    session = stage.service.frontend.sessions.eviction_candidate()
    assert session
    session.end(CloseReason.NO_DESCRIPTOR)


def allow_no_used_session(stage: Stage) -> None:
    stage.service.frontend.sessions.max_used = 0
    stage.play("wait 0.2\nb send [SELECT 0]")


def begin_shutdown(stage: Stage, seconds: float) -> None:
    stage.service.shutdown.begin()
    stage.play(f"wait {seconds}")


@pytest.mark.parametrize("why", CLOSES)
def test_request_crossing_an_idle_close_loses_no_earlier_answer(
    why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The limiter closes an idle connection while the client's next command is in transit.

    A plain close would reset the connection, and the client would lose its last answer.
    """
    stage = Stage(hosts=1)
    end = client_with_unread_answer(stage)
    send_after_check(monkeypatch, end, stage.bytes_of(ask(1)))
    CLOSES[why](stage)
    assert read_until_closed(stage, end) == b"+OK\r\n"
    assert (
        not stage.service.stats.requests
    )  # it arrived after the close, so the client has to send it again elsewhere
    end.close()
    stage.settle()
    assert not stage.service.frontend.sessions.lingering


JUNK = {
    "no command": b"junk\r\n" + b"x" * 300_000,
    "too long": b"*1\r\n$99999999\r\n" + b"y" * 70_000,
    "bad in a row": resp.encode_command([b"Q.ASK"]) * 400,
}


@pytest.mark.parametrize("junk", JUNK.values(), ids=JUNK.keys())
def test_malformed_input_followed_by_more_gets_error_and_orderly_close(junk: bytes) -> None:
    """Malformed bytes arrive with more bytes after them.

    The client must be able to read its error, and must not get a reset instead.
    """
    stage = Stage(hosts=1)
    end = client_with_unread_answer(stage)
    end.setblocking(True)
    end.settimeout(5)
    sent = 0
    while sent < len(junk):
        sent += end.send(junk[sent : sent + 10_000])
        stage.settle(3)
    end.setblocking(False)
    assert read_until_closed(stage, end).startswith(b"+OK\r\n-ERR ")


@pytest.mark.parametrize("wait", [0.0, 2.6])
def test_malformed_bytes_after_a_slow_request_end_it_at_once(wait: float) -> None:
    """What can't be read is closed on, whatever else waits on that connection.

    The request in flight gets an error, its attempt is given up, and it is not served later.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1, 2900)}\ns1 expect {ask(1, 2900)}\nwait {wait}\na send junk")
    assert read_until_closed(stage, stage._end("a")).startswith(
        b"-ERR failed\r\n-ERR protocol error"
    )
    stage.play("s1.1 expect closed")
    assert not stage.service.engine_driver.open_requests and not stage.service.stats.served
    assert stage.service.stats.given_up == 1


def test_lingering_session_ends_after_linger_time_without_client_close() -> None:
    """The limiter has closed a connection, and its client never does.

    After LINGER_S its descriptor must be free again.
    """
    stage = Stage(hosts=1)
    client_with_unread_answer(stage)
    stage.play("wait 11")
    stage.play(f"wait {LINGER_S + 0.1}")
    assert stage.service.frontend.sessions.is_empty()


def test_number_of_lingering_sessions_is_bounded() -> None:
    """Many clients never close connections that the limiter has closed.

    At most MAX_LINGERING of them, beyond the clients' own limit, may hold a descriptor.
    """
    stage = Stage(hosts=1, sockets=0)  # allows nine clients
    for number in range(60):
        stage.play(f"c{number} send [SELECT 0]\nc{number} expect +OK")
        frontend = stage.service.frontend
        assert (
            len(frontend.sessions.sessions) + len(frontend.sessions.lingering) <= 9 + MAX_LINGERING
        )
    assert frontend.sessions.lingering


def test_lingering_session_is_closed_first_to_free_a_descriptor() -> None:
    """No descriptor is left.

    A session that only waits for its client to close must be closed before one that is in use.
    """
    stage = Stage(hosts=1)
    client_with_unread_answer(stage)
    stage.play("wait 10.2\nb send [CLIENT]\nb expect +OK")
    assert stage.service.frontend.sessions.lingering and stage.service.frontend.free_descriptor()
    assert not stage.service.frontend.sessions.lingering
    stage.play("b send [CLIENT]\nb expect +OK")


def test_pipelining_client_at_sigterm_gets_its_answers_and_limiter_exits() -> None:
    """A client keeps pipelining requests while the limiter shuts down.

    Each accepted request must be answered, and the limiter must still exit.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1, 2500)}\ns1 expect {ask(1, 2500)}")
    stage.service.shutdown.begin()
    stage.play(f"wait 0.8\na send {ask(2)}\na send {ask(3)}")
    assert (
        stage.service.stats.requests == 1
    )  # the others are not accepted, as they might not be answered before SIGKILL
    stage.play(f"s1 send {VALUE}")
    assert read_until_closed(stage, stage._end("a")) == b"$2\r\nhi\r\n"
    stage.play("a close\nwait 0.1")
    assert stage.scheduler._stopped


def test_connection_accepted_just_before_close_has_its_request_answered() -> None:
    """A client connects just before the listening socket closes, and sends a request after that.

    The request must be answered; the connection must not be reset.
    """
    stage = Stage(hosts=1)
    stage.service.shutdown.begin()
    stage.play("wait 0.45")
    stage._end("a")
    stage.settle()
    stage.play(
        f"wait 0.1\na expect nothing\na send {ask(1)}\ns1 expect {ask(1)}\ns1 send "
        f"{VALUE}\na expect $2\\r\\nhi\na expect closed"
    )


def test_half_a_request_does_not_delay_the_shutdown() -> None:
    """A client has sent half a command and nothing more.

    The shutdown must not wait for the rest.
    """
    stage = Stage(hosts=1)
    end = client_with_unread_answer(stage)
    end.sendall(stage.bytes_of(ask(1))[:30])
    stage.service.shutdown.begin()
    stage.play("wait 0.65")
    assert stage.service.frontend.sessions.sessions  # the rest may still arrive
    stage.play("wait 0.1")
    end.sendall(stage.bytes_of(ask(1))[30:])
    assert read_until_closed(stage, end) == b"+OK\r\n" and not stage.service.stats.requests


def never_decide(monkeypatch: pytest.MonkeyPatch, stage: Stage) -> None:
    """Makes the engine keep every request waiting for its first attempt."""
    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", lambda event, now: [])


@pytest.mark.parametrize("how", ["close", "half", "reset"])
def test_disconnection_behind_unread_commands_is_detected(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client has reached its pipeline limit, so nothing more is read from it, and disconnects.

    The end of its stream lies behind unread commands, and must still be detected.
    """
    stage = Stage(hosts=1)
    never_decide(monkeypatch, stage)
    for number in range(MAX_PIPELINED + 20):
        stage.play(f"a send {ask(number, 3000)}")
    disconnect(stage, "a", how)
    assert (
        stage.service.stats.clients_gone == MAX_PIPELINED
        and not stage.service.engine_driver.open_requests
    )


@pytest.mark.parametrize("how", ["close", "half", "reset"])
def test_disconnection_of_a_throttled_client_is_detected(how: str) -> None:
    """A client throttled for unserved commands disconnects while nothing is read from it.

    The disconnection must still be detected.
    """
    stage = Stage(hosts=1)
    for number in range(40):  # each is rejected immediately, so the client is soon throttled
        stage._end("a").sendall(stage.bytes_of(ask(number, 0)) * 10)
        stage.settle(20)
    disconnect(stage, "a", how)
    assert not stage.service.frontend.sessions.sessions


def disconnect(stage: Stage, name: str, how: str) -> None:
    end = stage._end(name)
    if how == "half":
        end.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        end.close()
    stage.settle()


def block_connects(stage: Stage, name: str = "s1") -> list[socket.socket]:
    """Fills the accept queue of an endpoint, so that further connections are not established."""
    stage.listeners[name].listen(0)
    fillers = []
    for _ in range(2):
        fillers.append(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        fillers[-1].setblocking(False)
        fillers[-1].connect_ex(stage.listeners[name].getsockname())
    return fillers


@pytest.mark.parametrize("how", ["close", "half", "reset"])
def test_request_is_never_sent_if_client_leaves_during_the_connect(
    how: str,
) -> None:
    """The client disconnects while the connection to the endpoint is being established.

    The request must not be sent once the connection is up.
    """
    stage = Stage(hosts=1)
    fillers = block_connects(stage)
    stage.play(f"a send {ask(1)}")
    assert stage.service.stats.attempts == 1 and stage.service.stats.opened == 0
    disconnect(stage, "a", how)
    assert not stage.service.pool._connections and not stage.service.engine_driver.open_requests
    assert stage.service.stats.dispatches == 0 and len(fillers) == 2


def test_rest_of_a_half_sent_request_is_not_sent_after_a_disconnect() -> None:
    """The client disconnects while a large request is half sent.

    The endpoint cannot have started to execute it, so the rest must never be sent.
    """
    stage, body = Stage(hosts=1), "B" * 65536
    stage.listeners["s1"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connect = stream.connect

    def connect_with_small_buffer(*arguments: Any) -> Any:
        connected: Any = connect(*arguments)
        # the operating system accepts only a part of the request
        connected._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return connected

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(stream, "connect", connect_with_small_buffer)
        stage.play(f"b send {DO.format(2).replace('BODY', body)}")
    (connection,) = stage.service.pool._endpoints["s1"].connections
    assert connection.has_sent_any() and not connection.has_sent_all()
    disconnect(stage, "b", "close")
    assert not stage.service.pool._connections and not stage.service.engine_driver.open_requests


def test_nothing_is_sent_for_clients_that_disconnect_at_mixed_stages() -> None:
    """Clients disconnect while requests wait for a connection, in a pipeline or for readiness.

    Requests without an attempt at that time must never get one.
    """
    stage = Stage(hosts=2, discovery_answered=False)
    fillers = block_connects(stage, "s1") + block_connects(stage, "s2")
    for number in range(10):
        stage.play(f"w{number} send {ask(number, 3000)}")  # waits for readiness
    for number in range(0, 10, 2):
        disconnect(stage, f"w{number}", ("close", "half", "reset")[number % 3])
    stage.service.frontend.set_ready()
    stage.settle()
    assert stage.service.stats.requests == 5
    for number in range(10, 30):
        for part in range(3):
            stage._end(f"p{number}").sendall(stage.bytes_of(ask(10 * number + part, 3000)))
        stage.settle(2)
    for number in range(10, 30):
        disconnect(stage, f"p{number}", ("close", "half", "reset")[number % 3])
    for number in range(1, 10, 2):
        disconnect(stage, f"w{number}", "close")
    attempts = stage.service.stats.attempts
    stage.play("wait 3.5")
    assert stage.service.stats.attempts == attempts and stage.service.stats.dispatches == 0
    assert (
        not stage.service.engine_driver.open_requests
        and not stage.service.frontend.sessions.sessions
        and len(fillers) == 4
    )


def test_requests_of_a_disconnected_client_cause_no_attempts() -> None:
    """A client sends many requests and disconnects before they are read.

    None of them may cause an attempt.
    """
    stage = Stage(hosts=1)
    end = stage._end("a")
    stage.settle()
    end.sendall(b"".join(stage.bytes_of(ask(number)) for number in range(50)))
    end.close()
    stage.play(f"b send {ask(60)}\ns1 expect {ask(60)}\ns1 send {VALUE}\nb expect $2\\r\\nhi")
    assert stage.service.stats.requests == 1 == stage.service.stats.attempts


def test_answer_and_disconnection_in_one_turn_end_the_attempt_once() -> None:
    """An answer and the client's disconnection arrive in the same turn.

    The engine must be notified of the attempt's end exactly once.
    """
    stage, seen = Stage(hosts=1), list[api.Event]()
    original_handle = stage.service.engine_driver._decisions.handle

    def handle(event: api.Event, now: float) -> list[api.Action]:
        seen.append(event)
        return original_handle(event, now)

    stage.service.engine_driver._decisions.handle = handle  # type: ignore[method-assign]
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(stage.bytes_of(VALUE))
    disconnect(stage, "a", "close")
    outcomes = [event for event in seen if isinstance(event, api.AttemptEnded)]
    assert len(outcomes) == 1 and not stage.service.engine_driver.open_requests


# Endpoints


def test_late_second_copy_of_an_answer_goes_to_no_other_request() -> None:
    """An endpoint sends its answer twice, the second copy some milliseconds late.

    The copy must not be mistaken for the answer to the next request on that connection.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    stage.now += 0.01
    stage.play(f"b send {ask(2)}\ns1.2 expect {ask(2)}")
    stage.now += 0.01
    stage.play(
        f"s1.1 send {VALUE}\nb expect nothing\ns1.2 send {VALUE.replace('hi', 'no')}\nb "
        "expect $2\\r\\nno"
    )


def test_incomplete_answer_of_an_unlisted_endpoint_times_out() -> None:
    """An endpoint that was removed from the list stops in the middle of an answer.

    The attempt must end after PARTIAL_ANSWER_TIMEOUT_S, as with a listed endpoint.
    """
    stage = Stage(hosts=2)
    stage.play(
        f"disco expect {GET}\ndisco send whole 1 s1:in_service\na send {ask(1)}\ns1 "
        f"expect {ask(1)}\ns1 send *3\\r\\n$20\\r\\nhi"
    )
    stage.play(
        f"disco expect {WATCH.format(1)}\ndisco send whole 2 s2:in_service\nwait "
        f"0.8\ns1.1 expect closed\ns2 expect {ask(1, 500)}"
    )


WINDOW = replace(BUY, dedup_window=0.3, dedup_scope="all")
UNSAFE = replace(BUY, effect="unsafe")


@pytest.mark.parametrize("left", [0.0, 0.2])
def test_retry_connected_after_the_dedup_window_is_never_sent(left: float) -> None:
    """A retry starts within the deduplication window, and its connection is established after it.

    If it were sent then, the request might be executed twice.
    """
    stage = Stage(hosts=2, settings=replace(SETTINGS, classes=(LOOK, WINDOW)), connect_timeout=2.0)
    fillers = block_connects(stage, "s2")
    stage.play(
        "disco expect "
        + GET
        + "\ndisco send whole 1 s1:in_service\n"
        + f"a send {DO.format(1)}\ns1 expect {DO.format(1)}"
    )
    stage.play("disco expect " + WATCH.format(1) + "\ndisco send whole 2 s2:in_service\n")
    stage.now += 0.3 - left - 0.05
    stage.play("s1 close")
    (open_request,) = stage.service.engine_driver.open_requests.values()
    assert len(open_request.attempts) == 2 and open_request.attempts_out == 1
    stage.play(f"wait {left + 0.05}")
    assert (
        not open_request.attempts_out and not stage.service.pool._connections and len(fillers) == 2
    )
    stage.play("a expect -BUSY 250")  # all endpoints know its key, so the client may retry


def test_unsafe_request_is_retried_only_if_it_cannot_have_run() -> None:
    """An attempt of a request that is not idempotent ends without an answer.

    The request may be sent again only if that attempt cannot have run.
    """
    stage = Stage(hosts=2, settings=replace(SETTINGS, classes=(LOOK, UNSAFE), hedging=True))
    order = UNKEYED_DO.format(1)
    stage.play(
        f"s1 stop\na send {order}\ns2 expect {order}\ns2.1 expect nothing\ns2 close\na "
        "expect -ERR failed"
    )
    assert stage.service.stats.outcomes["reset"] == 1


@pytest.mark.parametrize("first", ["answer", "deadline"])
def test_answer_and_deadline_in_one_turn_give_exactly_one_answer(first: str) -> None:
    """The answer arrives in the turn in which the deadline passes."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    endpoint = stage._end("s1")
    if first == "answer":
        stage.now += 0.9999
        endpoint.sendall(stage.bytes_of(VALUE))
        stage.settle(3)
        stage.now += 0.01
    else:
        stage.now += 1.01
        endpoint.sendall(stage.bytes_of(VALUE))
    stage.settle()
    assert stage._end("a").recv(99) in (
        (b"$2\r\nhi\r\n",) if first == "answer" else (b"-BUSY 250\r\n", b"-ERR failed\r\n")
    )
    stage.play("a expect nothing")
    assert not stage.service.engine_driver.open_requests


@pytest.mark.parametrize("order", ["cancel first", "answer first"])
def test_cancellation_and_answer_in_one_turn_end_the_attempt_once(
    order: str,
) -> None:
    """An attempt is cancelled in the turn in which its answer arrives.

    It must end once, and its connection must not carry another request.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    pool = stage.service.pool
    (open_request,) = stage.service.engine_driver.open_requests.values()
    (attempt,) = open_request.attempts
    stage._end("s1").sendall(stage.bytes_of(VALUE))
    if order == "answer first":
        stage.settle()
    pool.abort(attempt, CloseReason.CANCELLED)
    pool.abort(attempt, CloseReason.TIMED_OUT)
    stage.settle()
    assert sum(stage.service.stats.outcomes.values()) == 1
    if order == "answer first":
        assert (
            stage.service.stats.outcomes["ok"] == 1
            and not open_request.attempts_out
            and len(pool._connections) == 1
        )
    else:  # the engine retries, on another connection
        stage.play(
            f"s1.1 expect closed\ns1.2 expect {ask(1)}\ns1.2 send {VALUE}\na expect $2\\r\\nhi"
        )


def test_attempt_aborted_as_its_connection_is_established_is_not_sent() -> None:
    """An attempt is aborted in the turn in which its connection is established."""
    stage = Stage(hosts=1)
    attempt = stage.service.pool.start("s1", b"x" * 10, lambda result: None)
    stage.scheduler._run()  # the connection is established, but its task has not run yet
    stage.service.pool.abort(attempt, CloseReason.CANCELLED)
    stage.settle()
    end = stage._end("s1")
    assert end.recv(99) == b"" and stage.service.stats.dispatches == 0


# Ids and settings


def test_id_of_an_open_request_is_an_error_under_another_customer_too() -> None:
    """Two customers send one id: a bad client may name the id of another client's open request.

    The first request keeps its answer; the second one gets an error and reaches no endpoint.
    """
    stage = Stage(hosts=1)
    other = ask(1).replace("b4d65521", "0badcafe")
    stage.play(f"a send {ask(1)}\ns1.1 expect {ask(1)}\nb send {other}\nb expect -ERR failed")
    stage.play(f"s1.1 send {VALUE}\na expect $2\\r\\nhi")
    assert stage.service.stats.attempts == 1 and stage.service.stats.duplicate_ids == 1
    assert not stage.service.engine_driver.open_requests


def test_id_of_a_disconnected_client_is_an_error_while_its_attempt_runs() -> None:
    """A client has disconnected, its attempt is in flight, and another customer uses the same id.

    The second request gets an error; once nothing runs under the id, it is free again.
    """
    stage = Stage(hosts=1)
    other = ask(1).replace("b4d65521", "0badcafe")
    stage.play(
        f"a send {ask(1)}\ns1.1 expect {ask(1)}\na close\nb send {other}\nb expect -ERR failed\n"
        f"s1.1 send {VALUE}\nb expect nothing"
    )
    assert stage.service.stats.attempts == 1
    stage.play(f"wait 0.1\nb send {other}\ns1.1 expect {other}\ns1.1 send {VALUE}")
    stage.play("b expect $2\\r\\nhi")


def test_customers_with_equal_gossip_keys_keep_their_own_plans() -> None:
    """Two customers share the short key that identifies them in gossip messages.

    Neither may be limited by the plan of the other.
    """
    scarce = replace(
        SETTINGS.plans[0], name="scarce", rate=0.001, burst=2.0, excess_weight=0.0, excess_cost=1.0
    )
    stage = Stage(
        hosts=1, settings=replace(SETTINGS, limiter_count=1, plans=(*SETTINGS.plans, scarce))
    )
    first, second = customers_with_equal_keys(stage.service.engine)
    lean, full = (
        ask(n, 3000).replace("00000000b4d65521", who).replace("spread=2", "spread=1")
        for n, who in ((1, first), (2, second))
    )
    lean = lean.replace("t=basic", "t=scarce").replace("units=1", "units=2")
    stage.play(f"a send {lean}\ns1 expect {lean}\na send {full}\ns1.2 expect {full}")


# The watch on discovery


def start_watch(stage: Stage) -> None:
    stage.play(
        f"disco expect {GET}\ndisco send whole 5 s1:in_service s2:in_service\ndisco "
        f"expect {WATCH.format(5)}"
    )


ENDLESS = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


def list_with_s1_draining(stage: Stage, version: int = 6, indent: bool = False) -> bytes:
    table = stage.table("whole", version, "s1:terminating", "s2:in_service")
    return orjson.dumps(table, option=orjson.OPT_INDENT_2 if indent else None)


def s1_is_dropped(stage: Stage) -> bool:
    return "s1" not in stage.service.pool._endpoints


def test_response_without_length_is_complete_at_connection_close() -> None:
    """Discovery answers without a length and closes the connection.

    The list must be applied then, and the next call must use a new connection.
    """
    stage = Stage(hosts=2)
    start_watch(stage)
    end = stage._end("disco")
    end.sendall(ENDLESS.encode() + list_with_s1_draining(stage, indent=True))
    stage.settle()
    assert not s1_is_dropped(stage)  # more may arrive
    end.shutdown(socket.SHUT_WR)
    stage.settle()
    assert s1_is_dropped(stage)
    stage.play(f"wait 0.1\ndisco.2 expect {WATCH.format(6)}")


@pytest.mark.parametrize("whole", [True, False])
def test_response_without_length_cut_by_a_reset_is_discarded(whole: bool) -> None:
    """A connection is reset during a response without a length.

    The received part may happen to be valid, so the list must be requested again.
    """
    stage = Stage(hosts=2)
    start_watch(stage)
    end = stage._end("disco")
    end.sendall(
        ENDLESS.encode()
        + (list_with_s1_draining(stage) if whole else list_with_s1_draining(stage)[:40])
    )
    stage.settle()
    disconnect(stage, "disco", "reset")
    stage.ends["disco"].remove(end)
    assert not s1_is_dropped(stage)
    stage.play(f"wait 0.1\ndisco expect {GET}\ndisco send whole 7 s1:terminating s2:in_service")
    assert s1_is_dropped(stage)


def expect_new_call(stage: Stage) -> None:
    """Waits for the next call for the complete list, as the previous one may have timed out."""
    for _ in range(10):
        try:
            stage.play(f"wait 0.05\ndisco expect {GET}")
            return
        except AssertionError:
            pass
    raise AssertionError("discovery was not called again")


WATCH_FAILURES: dict[str, str] = {
    "silent while waiting": "wait 2.0",
    "silent in mid-response": (
        "disco send HTTP/1.1 200 OK\\r\\nContent-Length: 400\\r\\n\\r\\n{\n" "wait 2.0"
    ),
    "trickling": (
        "disco send HTTP/1.1 200 OK\\r\\nContent-Le\nwait 1.2\n" "disco send ngth: 40\nwait 0.8"
    ),
    "closed": "disco close",
    "not JSON": "disco send HTTP/1.1 200 OK\\r\\nContent-Length: 3\\r\\n\\r\\nno",
    "a change to an older version": "disco send table 3 s2:in_service",
    "an error": "disco send HTTP/1.1 503 Busy\\r\\nContent-Length: 0\\r\\n",
}


@pytest.mark.parametrize("death", WATCH_FAILURES)
def test_complete_list_is_requested_and_applied_after_a_watch_failure(death: str) -> None:
    """The watch on discovery fails.

    The complete list must be requested and applied within 2.6 s, even if the first calls are not
    answered; the operators' page allows 6 s.
    """
    stage = Stage(hosts=2)
    start_watch(stage)
    stage.play(WATCH_FAILURES[death])
    before = len(stage.ends["disco"])
    stage.play("wait 0.6")  # at least two calls meanwhile, which are not answered
    expect_new_call(stage)
    stage.play("disco send whole 2 s1:terminating s2:in_service")
    assert s1_is_dropped(stage) and len(stage.ends["disco"]) >= before + 2
    stage.play(f"disco expect {WATCH.format(2)}")


def test_complete_list_is_requested_if_discovery_moves_between_calls() -> None:
    """A reload changes the discovery address while the watch connects or pauses between calls.

    It must request the complete list, and not continue from the version of the old discovery.
    """
    for seconds in (0.0, 0.05, 0.12):
        stage = Stage(hosts=2)
        start_watch(stage)
        stage.listeners["disco"].close()
        stage.play("disco close")
        stage.now += seconds
        stage.settle(1)
        stage.play(
            f"disco2 reload\nwait 0.15\ndisco2 expect {GET}\ndisco2 send whole 2 "
            "s1:terminating s2:in_service"
        )
        assert s1_is_dropped(stage)


def test_list_received_before_its_timeout_but_unread_is_applied() -> None:
    """The limiter is late, and the list is already in the socket when the timeout passes.

    A limiter that is always late would otherwise let every call time out.
    """
    stage = Stage(hosts=2)
    stage.play(f"disco expect {GET}")
    end = stage._end("disco")
    stage.now += 0.3
    end.sendall(stage.bytes_of("whole 5 s1:terminating s2:in_service"))
    stage.settle()
    assert s1_is_dropped(stage)


def test_discovery_answering_after_the_timeout_is_still_used() -> None:
    """Discovery answers each call only after the next one was made.

    Its answers must still be used, also after its address has changed.
    """
    stage = Stage(hosts=2)
    stage.play(f"disco expect {GET}\nwait 0.7")
    stage.play("disco.1 send whole 5 s1:terminating s2:in_service")
    assert s1_is_dropped(stage)
    stage.play(
        "wait 1.0\ndisco2 reload\ndisco2 expect "
        + GET
        + "\nwait 0.7\ndisco2.1 send whole 2 s1:in_service s2:in_service"
    )
    assert not s1_is_dropped(stage)


def test_late_list_is_ignored_once_a_newer_call_was_answered() -> None:
    """A late call is answered after a newer one.

    Its list is older and must not replace the newer list.
    """
    stage = Stage(hosts=2)
    stage.play(
        f"disco expect {GET}\nwait 0.3\ndisco.2 expect {GET}\ndisco.2 send whole 5 "
        "s1:terminating s2:in_service"
    )
    stage.play("disco.1 send whole 4 s1:in_service s2:in_service")
    assert s1_is_dropped(stage)
    stage.play("disco.1 expect closed")


def test_late_list_of_the_previous_discovery_is_ignored() -> None:
    """The discovery address changes while a slow call to the previous one is in flight."""
    stage = Stage(hosts=2)
    stage.play(
        f"disco expect {GET}\nwait 0.3\ndisco2 reload\ndisco2 expect {GET}\ndisco.1 expect closed"
    )
    assert stage.service.stats.tables == 0


def test_at_most_one_late_discovery_call_is_kept() -> None:
    """Discovery answers every call late.

    Only one late call may be kept open at a time, or descriptors would run out.
    """
    stage = Stage(hosts=2)
    stage.play(
        f"disco expect {GET}\nwait 1.0\ndisco.2 expect {GET}\ndisco.2 expect "
        "closed\ndisco.1 expect nothing\nwait 1.5\ndisco.1 expect closed"
    )


def test_change_with_an_older_version_is_not_applied() -> None:
    """Discovery sends a change whose version is older than that of the list.

    The list must remain unchanged, and the complete list must be requested.
    """
    stage = Stage(hosts=2)
    start_watch(stage)
    stage.play("disco send table 3 s2:terminating")
    assert (
        stage.service.endpoint_list.version == 5
        and "s2" in stage.service.endpoint_list.in_service_addresses()
    )


def test_unsent_attempt_to_a_disabled_endpoint_goes_to_another() -> None:
    """An operator disables an endpoint while an attempt to it waits for its connection.

    The request must go to another endpoint.
    """
    stage = Stage(hosts=2)
    fillers = block_connects(stage, "s1")
    start_watch(stage)
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 6, "s1:in_service"))
    )
    stage.play(f"a send {ask(1)}")
    assert len(stage.service.pool._connections) == 1 and len(fillers) == 2
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 7, "s1:in_service", "s2:in_service"))
    )
    stage.service.overrides.apply({"s1": True})
    stage.play(f"s2 expect {ask(1)}")
