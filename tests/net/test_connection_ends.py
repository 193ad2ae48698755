"""What is owed when a connection or a request ends at a bad moment, each forced on real sockets."""

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
from tests.net.test_scenarios import DO, GET, VALUE, WATCH, ask

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets


def to_the_end(stage: Stage, end: socket.socket) -> bytes:
    """All that comes up to the orderly end of the connection.

    A reset is an error, and so is no end.
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
    raise AssertionError(f"no end after {got!r}")


def say_after_the_look(monkeypatch: pytest.MonkeyPatch, end: socket.socket, words: bytes) -> None:
    """What the client sends comes between the limiter's look at the socket and its act."""
    whole = stream.Stream.is_open_and_quiet

    def alive(self: stream.Stream) -> bool:
        found = whole(self)
        if found and self._sock.getpeername() == end.getsockname():
            end.sendall(words)
        return found

    monkeypatch.setattr(stream.Stream, "is_open_and_quiet", alive)


def answered(stage: Stage, name: str = "a") -> socket.socket:
    """A client that has had an answer it has not read yet."""
    stage.play(f"{name} send [SELECT 0]")
    return stage._end(name)


CLOSES: dict[str, Callable[[Stage], object]] = {
    "idle": lambda stage: stage.play("wait 11"),
    "room": lambda stage: in_need_of_room(stage),
    "kept": lambda stage: keep_none(stage),
    "sigterm": lambda stage: told_to_end(stage, 0.6),
}


def in_need_of_room(stage: Stage) -> None:
    session = stage.service.frontend.sessions.idlest()
    assert session
    session.end(CloseReason.NO_DESCRIPTOR)


def keep_none(stage: Stage) -> None:
    stage.service.frontend.sessions.max_used = 0
    stage.play("wait 0.2\nb send [SELECT 0]")


def told_to_end(stage: Stage, seconds: float) -> None:
    stage.service.shutdown.begin()
    stage.play(f"wait {seconds}")


@pytest.mark.parametrize("why", CLOSES)
def test_a_request_that_crosses_the_end_of_a_resting_connection_takes_no_answer_along(
    why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The limiter closes an idle connection while the client's next command is on its way.

    A plain close would reset the connection, and the last answer would be lost with it.
    """
    stage = Stage(hosts=1)
    end = answered(stage)
    say_after_the_look(monkeypatch, end, stage.bytes_of(ask(1)))
    CLOSES[why](stage)
    assert to_the_end(stage, end) == b"+OK\r\n"
    assert (
        not stage.service.stats.requests
    )  # it is read after the end, and its client sends it again elsewhere
    end.close()
    stage.settle()
    assert not stage.service.frontend.sessions.lingering


JUNK = {
    "no command": b"junk\r\n" + b"x" * 300_000,
    "too long": b"*1\r\n$99999999\r\n" + b"y" * 70_000,
    "bad in a row": resp.encode_command([b"Q.ASK"]) * 400,
}


@pytest.mark.parametrize("junk", JUNK.values(), ids=JUNK.keys())
def test_malformed_input_with_more_behind_it_gets_its_error_and_an_orderly_end(junk: bytes) -> None:
    """Malformed bytes come with more behind them.

    The client must still be able to read its error, not meet a reset.
    """
    stage = Stage(hosts=1)
    end = answered(stage)
    end.setblocking(True)
    end.settimeout(5)
    sent = 0
    while sent < len(junk):
        sent += end.send(junk[sent : sent + 10_000])
        stage.settle(3)
    end.setblocking(False)
    assert to_the_end(stage, end).startswith(b"+OK\r\n-ERR ")


def test_junk_behind_a_request_that_takes_long_costs_it_no_answer() -> None:
    """Malformed bytes follow a request that is in flight.

    The request still gets its answer before the connection ends.
    """
    stage = Stage(hosts=1)
    stage.play(
        f"a send {ask(1, 2900)}\ns1 expect {ask(1, 2900)}\na send junk\nwait 2.6\na "
        f"expect nothing\ns1 send {VALUE}"
    )
    assert to_the_end(stage, stage._end("a")).startswith(b"$2\r\nhi\r\n-ERR protocol error")


def test_a_client_that_never_ends_its_side_holds_a_descriptor_for_a_bound_only() -> None:
    """A connection was closed here and its client never closes.

    After LINGER_S its descriptor is free again.
    """
    stage = Stage(hosts=1)
    answered(stage)
    stage.play("wait 11")
    stage.play(f"wait {LINGER_S + 0.1}")
    assert stage.service.frontend.sessions.is_empty()


def test_connections_ended_here_hold_no_more_than_so_many_descriptors() -> None:
    """Many clients never close connections that were closed here.

    Only so many of them may hold a descriptor at once.
    """
    stage = Stage(hosts=1, sockets=0)  # room for nine clients
    for number in range(60):
        stage.play(f"c{number} send [SELECT 0]\nc{number} expect +OK")
        frontend = stage.service.frontend
        assert (
            len(frontend.sessions.sessions) + len(frontend.sessions.lingering) <= 9 + MAX_LINGERING
        )
    assert frontend.sessions.lingering


def test_who_lingers_goes_first_when_a_descriptor_is_needed() -> None:
    """No descriptor is left.

    A connection that only waits for its client to close goes before any that is in use.
    """
    stage = Stage(hosts=1)
    answered(stage)
    stage.play("wait 10.2\nb send [CLIENT]\nb expect +OK")
    assert stage.service.frontend.sessions.lingering and stage.service.frontend.free_descriptor()
    assert not stage.service.frontend.sessions.lingering
    stage.play("b send [CLIENT]\nb expect +OK")


def test_after_sigterm_a_client_that_never_stops_asking_has_each_answer_and_the_limiter_ends() -> (
    None
):
    """A client pipelines requests without end while the limiter shuts down.

    Each that was taken is answered, and the limiter still ends.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1, 2500)}\ns1 expect {ask(1, 2500)}")
    stage.service.shutdown.begin()
    stage.play(f"wait 0.8\na send {ask(2)}\na send {ask(3)}")
    assert (
        stage.service.stats.requests == 1
    )  # the others might not be answered before SIGKILL: nobody takes them
    stage.play(f"s1 send {VALUE}")
    assert to_the_end(stage, stage._end("a")) == b"$2\r\nhi\r\n"
    stage.play("a close\nwait 0.1")
    assert stage.scheduler._stopped


def test_a_connection_let_in_just_before_the_end_has_its_request_answered() -> None:
    """A client connects just before the listening socket closes, and asks a moment later.

    Its request is answered, not reset.
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


def test_half_a_request_does_not_keep_a_limiter_that_leaves() -> None:
    """A client has sent half a command and nothing more.

    The shutdown does not wait for the rest.
    """
    stage = Stage(hosts=1)
    end = answered(stage)
    end.sendall(stage.bytes_of(ask(1))[:30])
    stage.service.shutdown.begin()
    stage.play("wait 0.65")
    assert stage.service.frontend.sessions.sessions  # the rest may come
    stage.play("wait 0.1")
    end.sendall(stage.bytes_of(ask(1))[30:])
    assert to_the_end(stage, end) == b"+OK\r\n" and not stage.service.stats.requests


def held(monkeypatch: pytest.MonkeyPatch, stage: Stage) -> None:
    """The module keeps every request waiting for its first attempt."""
    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", lambda event, now: [])


@pytest.mark.parametrize("how", ["close", "half", "reset"])
def test_a_client_that_goes_is_seen_behind_its_own_unread_commands(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client has filled all its places, so nothing more is read from it, and disconnects.

    Its end lies behind unread commands and must be seen all the same.
    """
    stage = Stage(hosts=1)
    held(monkeypatch, stage)
    for number in range(MAX_PIPELINED + 20):
        stage.play(f"a send {ask(number, 3000)}")
    leave(stage, "a", how)
    assert (
        stage.service.stats.clients_gone == MAX_PIPELINED
        and not stage.service.engine_driver.open_requests
    )


@pytest.mark.parametrize("how", ["close", "half", "reset"])
def test_a_client_that_goes_while_it_waits_its_turn_is_seen(how: str) -> None:
    """A client that was held back for fruitless commands disconnects while nothing is read from it.
    That must be seen all the same.
    """
    stage = Stage(hosts=1)
    for number in range(40):  # each is refused at once, so it soon has to wait
        stage._end("a").sendall(stage.bytes_of(ask(number, 0)) * 10)
        stage.settle(20)
    leave(stage, "a", how)
    assert not stage.service.frontend.sessions.sessions


def leave(stage: Stage, name: str, how: str) -> None:
    end = stage._end(name)
    if how == "half":
        end.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        end.close()
    stage.settle()


def unanswering(stage: Stage, name: str = "s1") -> list[socket.socket]:
    """The host's machine lets nobody in: a connection to it does not come up."""
    stage.listeners[name].listen(0)
    fillers = []
    for _ in range(2):
        fillers.append(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        fillers[-1].setblocking(False)
        fillers[-1].connect_ex(stage.listeners[name].getsockname())
    return fillers


@pytest.mark.parametrize("how", ["close", "half", "reset"])
def test_a_request_whose_client_goes_while_the_connection_to_its_host_comes_up_is_never_sent(
    how: str,
) -> None:
    """The client disconnects while the connection to the endpoint is being opened.

    The request must not be sent once it is up.
    """
    stage = Stage(hosts=1)
    fillers = unanswering(stage)
    stage.play(f"a send {ask(1)}")
    assert stage.service.stats.attempts == 1 and stage.service.stats.opened == 0
    leave(stage, "a", how)
    assert not stage.service.pool._connections and not stage.service.engine_driver.open_requests
    assert stage.service.stats.dispatches == 0 and len(fillers) == 2


def test_a_request_partly_written_as_its_client_goes_is_not_finished() -> None:
    """The client disconnects while a large request is half sent.

    The endpoint cannot have begun it, so the rest is never sent.
    """
    stage, body = Stage(hosts=1), "B" * 65536
    stage.listeners["s1"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connect = stream.connect

    def narrow(*words: Any) -> Any:
        made: Any = connect(*words)
        # the system takes a part only
        made._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return made

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(stream, "connect", narrow)
        stage.play(f"b send {DO.format(2).replace('BODY', body)}")
    (line,) = stage.service.pool._endpoints["s1"].connections
    assert line.has_sent_any() and not line.has_sent_all()
    leave(stage, "b", "close")
    assert not stage.service.pool._connections and not stage.service.engine_driver.open_requests


def test_of_many_that_leave_at_mixed_stages_nothing_is_sent_on_later() -> None:
    """Clients disconnect while they wait for a connection, behind pipelined requests or for
    readiness. What had no attempt by then never gets one.
    """
    stage = Stage(hosts=2, heard=False)
    fillers = unanswering(stage, "s1") + unanswering(stage, "s2")
    for number in range(10):
        stage.play(f"w{number} send {ask(number, 3000)}")  # for readiness
    for number in range(0, 10, 2):
        leave(stage, f"w{number}", ("close", "half", "reset")[number % 3])
    stage.service.frontend.set_ready()
    stage.settle()
    assert stage.service.stats.requests == 5
    for number in range(10, 30):
        for part in range(3):
            stage._end(f"p{number}").sendall(stage.bytes_of(ask(10 * number + part, 3000)))
        stage.settle(2)
    for number in range(10, 30):
        leave(stage, f"p{number}", ("close", "half", "reset")[number % 3])
    for number in range(1, 10, 2):
        leave(stage, f"w{number}", "close")
    attempts = stage.service.stats.attempts
    stage.play("wait 3.5")
    assert stage.service.stats.attempts == attempts and stage.service.stats.dispatches == 0
    assert (
        not stage.service.engine_driver.open_requests
        and not stage.service.frontend.sessions.sessions
        and len(fillers) == 4
    )


def test_a_flood_whose_client_has_gone_by_the_time_it_is_read_costs_no_attempt() -> None:
    """A client sends many requests and closes before they are read.

    None of them may cost an endpoint an attempt.
    """
    stage = Stage(hosts=1)
    end = stage._end("a")
    stage.settle()
    end.sendall(b"".join(stage.bytes_of(ask(number)) for number in range(50)))
    end.close()
    stage.play(f"b send {ask(60)}\ns1 expect {ask(60)}\ns1 send {VALUE}\nb expect $2\\r\\nhi")
    assert stage.service.stats.requests == 1 == stage.service.stats.attempts


def test_an_answer_is_told_to_the_module_once_also_when_the_client_goes_in_the_same_turn() -> None:
    """An answer and the client's disconnection arrive in one turn.

    The engine gets the attempt's end exactly once.
    """
    stage, seen = Stage(hosts=1), list[api.Event]()
    whole = stage.service.engine_driver._decisions.handle

    def handle(event: api.Event, now: float) -> list[api.Action]:
        seen.append(event)
        return whole(event, now)

    stage.service.engine_driver._decisions.handle = handle  # type: ignore[method-assign]
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(stage.bytes_of(VALUE))
    leave(stage, "a", "close")
    outcomes = [event for event in seen if isinstance(event, api.AttemptEnded)]
    assert len(outcomes) == 1 and not stage.service.engine_driver.open_requests


# Hosts


def test_a_second_copy_some_milliseconds_late_is_no_other_requests_answer() -> None:
    """An endpoint sends its answer twice.

    The late copy must not be taken for the answer to the next request on that connection.
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


def test_half_an_answer_of_a_host_that_is_listed_no_more_is_given_up_too() -> None:
    """An endpoint that was dropped from the list stops in the middle of an answer.

    The attempt ends after PARTIAL_ANSWER_TIMEOUT_S as on any other.
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
def test_a_repeat_whose_connection_comes_up_after_the_window_is_never_sent(left: float) -> None:
    """A retry begins within the window in which endpoints drop repeats, and its connection comes up
    after it. Sent then, it might run twice.
    """
    stage = Stage(hosts=2, settings=replace(SETTINGS, classes=(LOOK, WINDOW)), connect_timeout=2.0)
    fillers = unanswering(stage, "s2")
    stage.play(
        "disco expect "
        + GET
        + "\ndisco send whole 1 s1:in_service\n"
        + f"a send {DO.format(1)}\ns1 expect {DO.format(1)}"
    )
    stage.play("disco expect " + WATCH.format(1) + "\ndisco send whole 2 s2:in_service\n")
    stage.now += 0.3 - left - 0.05
    stage.play("s1 close")
    (one,) = stage.service.engine_driver.open_requests.values()
    assert len(one.attempts) == 2 and one.attempts_out == 1
    stage.play(f"wait {left + 0.05}")
    assert not one.attempts_out and not stage.service.pool._connections and len(fillers) == 2
    stage.play("a expect -BUSY 250")  # all hosts know its key, so it may be tried anew


def test_a_request_that_is_unsafe_to_repeat_is_sent_again_only_if_it_never_ran() -> None:
    """An attempt of a request that is not idempotent ends without an answer.

    It is sent again only if the first cannot have run.
    """
    stage = Stage(hosts=2, settings=replace(SETTINGS, classes=(LOOK, UNSAFE), hedging=True))
    order = DO.format(1)
    stage.play(
        f"s1 stop\na send {order}\ns2 expect {order}\ns2.1 expect nothing\ns2 close\na "
        "expect -ERR failed"
    )
    assert stage.service.stats.outcomes["reset"] == 1


@pytest.mark.parametrize("first", ["answer", "deadline"])
def test_an_answer_and_the_deadline_in_one_turn_give_one_answer(first: str) -> None:
    """The answer arrives in the turn in which the deadline passes.

    The client gets exactly one answer.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    host = stage._end("s1")
    if first == "answer":
        stage.now += 0.9999
        host.sendall(stage.bytes_of(VALUE))
        stage.settle(3)
        stage.now += 0.01
    else:
        stage.now += 1.01
        host.sendall(stage.bytes_of(VALUE))
    stage.settle()
    assert stage._end("a").recv(99) in (
        (b"$2\r\nhi\r\n",) if first == "answer" else (b"-BUSY 250\r\n", b"-ERR failed\r\n")
    )
    stage.play("a expect nothing")
    assert not stage.service.engine_driver.open_requests


@pytest.mark.parametrize("order", ["cancel first", "answer first"])
def test_a_cancelled_attempt_and_its_answer_in_one_turn_end_once_and_the_line_serves_nobody_else(
    order: str,
) -> None:
    """An attempt is cancelled in the turn in which its answer arrives.

    It ends once, and its connection carries no other request.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    pool = stage.service.pool
    (one,) = stage.service.engine_driver.open_requests.values()
    (attempt,) = one.attempts
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
            and not one.attempts_out
            and len(pool._connections) == 1
        )
    else:  # the module tries again, on another connection
        stage.play(
            f"s1.1 expect closed\ns1.2 expect {ask(1)}\ns1.2 send {VALUE}\na expect $2\\r\\nhi"
        )


def test_an_attempt_given_up_in_the_turn_in_which_its_connection_comes_up_is_not_sent() -> None:
    """An attempt is aborted in the turn in which its connection comes up.

    Its request is not sent.
    """
    stage = Stage(hosts=1)
    attempt = stage.service.pool.start("s1", b"x" * 10, lambda result: None)
    stage.scheduler._run()  # its connection is begun, and up by now; that it is has not been read
    stage.service.pool.abort(attempt, CloseReason.CANCELLED)
    stage.settle()
    end = stage._end("s1")
    assert end.recv(99) == b"" and stage.service.stats.dispatches == 0


# Ids and settings


def test_equal_ids_of_two_customers_are_two_requests() -> None:
    """Two customers pick the same request id. Each gets the answer to its own request."""
    stage = Stage(hosts=1)
    other = ask(1).replace("b4d65521", "0badcafe")
    stage.play(f"a send {ask(1)}\ns1.1 expect {ask(1)}\nb send {other}\ns1.2 expect {other}")
    stage.play(
        f"s1.2 send {VALUE.replace('hi', 'no')}\nb expect $2\\r\\nno\ns1.1 send "
        f"{VALUE}\na expect $2\\r\\nhi"
    )
    assert not stage.service.engine_driver.open_requests


def test_an_id_whose_first_owner_has_gone_while_its_attempt_is_out_is_anothers_too() -> None:
    """A client has gone, its attempt is still out, and another customer uses the same id.

    The second request is served as its own.
    """
    stage = Stage(hosts=1)
    other = ask(1).replace("b4d65521", "0badcafe")
    stage.play(
        f"a send {ask(1)}\ns1.1 expect {ask(1)}\na close\nb send {other}\ns1.2 expect "
        f"{other}\ns1.1 send {VALUE}\nb expect nothing"
    )
    stage.play(f"s1.2 send {VALUE.replace('hi', 'no')}\nb expect $2\\r\\nno")


def test_a_customer_does_not_go_by_the_plan_of_another_that_has_its_key_in_messages() -> None:
    """Two customers share the short key of gossip messages.

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


# The watch


def watched(stage: Stage) -> None:
    stage.play(
        f"disco expect {GET}\ndisco send whole 5 s1:in_service s2:in_service\ndisco "
        f"expect {WATCH.format(5)}"
    )


ENDLESS = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


def drains(stage: Stage, version: int = 6, indent: bool = False) -> bytes:
    table = stage.table("whole", version, "s1:terminating", "s2:in_service")
    return orjson.dumps(table, option=orjson.OPT_INDENT_2 if indent else None)


def s1_is_left(stage: Stage) -> bool:
    return "s1" not in stage.service.pool._endpoints


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    """Discovery answers without a length and closes.

    The list is taken, and the next call needs a new connection.
    """
    stage = Stage(hosts=2)
    watched(stage)
    end = stage._end("disco")
    end.sendall(ENDLESS.encode() + drains(stage, indent=True))
    stage.settle()
    assert not s1_is_left(stage)  # more may come
    end.shutdown(socket.SHUT_WR)
    stage.settle()
    assert s1_is_left(stage)
    stage.play(f"wait 0.1\ndisco.2 expect {WATCH.format(6)}")


@pytest.mark.parametrize("whole", [True, False])
def test_a_reset_is_no_end_of_an_answer_without_a_length(whole: bool) -> None:
    """A connection is reset within a response without a length.

    What came may be a part that happens to read well, so the list is asked for anew.
    """
    stage = Stage(hosts=2)
    watched(stage)
    end = stage._end("disco")
    end.sendall(ENDLESS.encode() + (drains(stage) if whole else drains(stage)[:40]))
    stage.settle()
    leave(stage, "disco", "reset")
    stage.ends["disco"].remove(end)
    assert not s1_is_left(stage)
    stage.play(f"wait 0.1\ndisco expect {GET}\ndisco send whole 7 s1:terminating s2:in_service")
    assert s1_is_left(stage)


def asked_anew(stage: Stage) -> None:
    """Up to the next call, since the one before may be given up by now."""
    for _ in range(10):
        try:
            stage.play(f"wait 0.05\ndisco expect {GET}")
            return
        except AssertionError:
            pass
    raise AssertionError("not asked again")


DEATHS: dict[str, str] = {
    "silent while it waits": "wait 2.0",
    "silent in mid-answer": (
        "disco send HTTP/1.1 200 OK\\r\\nContent-Length: 400\\r\\n\\r\\n{\n" "wait 2.0"
    ),
    "trickling": (
        "disco send HTTP/1.1 200 OK\\r\\nContent-Le\nwait 1.2\n" "disco send ngth: 40\nwait 0.8"
    ),
    "closed": "disco close",
    "not JSON": "disco send HTTP/1.1 200 OK\\r\\nContent-Length: 3\\r\\n\\r\\nno",
    "a change that goes back": "disco send table 3 s2:in_service",
    "an error": "disco send HTTP/1.1 503 Busy\\r\\nContent-Length: 0\\r\\n",
}


@pytest.mark.parametrize("death", DEATHS)
def test_after_a_watch_has_died_the_whole_list_is_asked_for_and_obeyed(death: str) -> None:
    """The watch on discovery breaks.

    The whole list is asked for and obeyed within 2.6 s, also where the first tries are met with
    silence; the page allows 6.
    """
    stage = Stage(hosts=2)
    watched(stage)
    stage.play(DEATHS[death])
    before = len(stage.ends["disco"])
    stage.play("wait 0.6")  # asked again meanwhile, twice at least, and not answered
    asked_anew(stage)
    stage.play("disco send whole 2 s1:terminating s2:in_service")
    assert s1_is_left(stage) and len(stage.ends["disco"]) >= before + 2
    stage.play(f"disco expect {WATCH.format(2)}")


def test_a_watch_moved_while_it_connects_or_rests_between_two_calls_asks_the_new_one_for_all() -> (
    None
):
    """The configuration moves discovery while the watch connects or pauses.

    It must ask the new one for the whole list, not go on with the old one's version.
    """
    for seconds in (0.0, 0.05, 0.12):
        stage = Stage(hosts=2)
        watched(stage)
        stage.listeners["disco"].close()
        stage.play("disco close")
        stage.now += seconds
        stage.settle(1)
        stage.play(
            f"disco2 reload\nwait 0.15\ndisco2 expect {GET}\ndisco2 send whole 2 "
            "s1:terminating s2:in_service"
        )
        assert s1_is_left(stage)


def test_a_list_that_lies_unread_as_its_time_is_over_is_read() -> None:
    """The limiter was the late one: the list lay in the socket when its time was over.

    A watch given up for that would be given up each time.
    """
    stage = Stage(hosts=2)
    stage.play(f"disco expect {GET}")
    end = stage._end("disco")
    stage.now += 0.3
    end.sendall(stage.bytes_of("whole 5 s1:terminating s2:in_service"))
    stage.settle()
    assert s1_is_left(stage)


def test_an_agent_that_is_slower_than_it_should_be_is_heard_all_the_same() -> None:
    """Discovery answers each call after the next one was made.

    It is heard all the same, also after a move.
    """
    stage = Stage(hosts=2)
    stage.play(f"disco expect {GET}\nwait 0.7")
    stage.play("disco.1 send whole 5 s1:terminating s2:in_service")
    assert s1_is_left(stage)
    stage.play(
        "wait 1.0\ndisco2 reload\ndisco2 expect "
        + GET
        + "\nwait 0.7\ndisco2.1 send whole 2 s1:in_service s2:in_service"
    )
    assert not s1_is_left(stage)


def test_a_slow_list_changes_nothing_once_a_later_call_was_answered() -> None:
    """A call that was late is answered after a newer one.

    Its list is older and must not replace the newer.
    """
    stage = Stage(hosts=2)
    stage.play(
        f"disco expect {GET}\nwait 0.3\ndisco.2 expect {GET}\ndisco.2 send whole 5 "
        "s1:terminating s2:in_service"
    )
    stage.play("disco.1 send whole 4 s1:in_service s2:in_service")
    assert s1_is_left(stage)
    stage.play("disco.1 expect closed")


def test_a_slow_list_of_a_discovery_that_was_moved_from_is_nobodys() -> None:
    """Discovery was moved while a slow call to the old one was out.

    What that one answers is not taken.
    """
    stage = Stage(hosts=2)
    stage.play(
        f"disco expect {GET}\nwait 0.3\ndisco2 reload\ndisco2 expect {GET}\ndisco.1 expect closed"
    )
    assert stage.service.stats.tables == 0


def test_no_more_than_one_slow_call_is_waited_for() -> None:
    """An agent answers every call late.

    Only one late call is waited for at a time, or descriptors would run out.
    """
    stage = Stage(hosts=2)
    stage.play(
        f"disco expect {GET}\nwait 1.0\ndisco.2 expect {GET}\ndisco.2 expect "
        "closed\ndisco.1 expect nothing\nwait 1.5\ndisco.1 expect closed"
    )


def test_a_change_that_goes_back_leaves_the_list_as_it_was() -> None:
    """Discovery sends a change with an older version than the list's.

    The list stays, and the whole of it is asked for.
    """
    stage = Stage(hosts=2)
    watched(stage)
    stage.play("disco send table 3 s2:terminating")
    assert (
        stage.service.endpoint_list.version == 5
        and "s2" in stage.service.endpoint_list.open_addresses()
    )


def test_an_attempt_that_has_not_left_for_a_host_put_out_by_hand_goes_elsewhere() -> None:
    """An operator disables an endpoint while an attempt to it waits for its connection.

    The attempt goes to another endpoint.
    """
    stage = Stage(hosts=2)
    fillers = unanswering(stage, "s1")
    watched(stage)
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 6, "s1:in_service"))
    )
    stage.play(f"a send {ask(1)}")
    assert len(stage.service.pool._connections) == 1 and len(fillers) == 2
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 7, "s1:in_service", "s2:in_service"))
    )
    stage.service.overrides.replace({"s1"})
    stage.play(f"s2 expect {ask(1)}")
