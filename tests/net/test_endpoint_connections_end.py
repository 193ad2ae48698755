"""Connections to endpoints that end at a critical moment, and whether the attempt may have run."""

from __future__ import annotations

import socket
from contextlib import suppress
from dataclasses import replace

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.net import stream
from hazelhollow.net.connection_pool import PARTIAL_ANSWER_TIMEOUT_S
from tests.net.scenario import BUY, LOOK, SETTINGS, Stage
from tests.net.test_connection_ends import RESET, block_connects, disconnect
from tests.net.test_scenarios import DO, GET, UNKEYED_DO, VALUE, ask

UNSAFE = replace(BUY, effect="unsafe")
CELL = replace(BUY, dedup_scope="cell", dedup_window=5.0)
ANY = replace(BUY, dedup_scope="all", dedup_window=5.0)
SHORT = replace(BUY, dedup_scope="all", dedup_window=0.3)
# By kind of class: the class, what the client gets once the only attempt may have run, and whether
# another attempt is made.
MAY_HAVE_RUN = {
    "safe": (LOOK, None, True),
    "unsafe": (UNSAFE, "-ERR failed", False),
    "cell": (CELL, None, True),
    "short": (SHORT, "-BUSY 250", False),
}


def command(kind: api.RequestClass, number: int, wait: int = 1000) -> str:
    return (
        ask(number, wait)
        if kind.effect == "safe"
        else (UNKEYED_DO if kind.effect == "unsafe" else DO)
        .format(number)
        .replace("d=1000", f"d={wait}")
    ).replace("look", kind.name)


def stage_of(kind: api.RequestClass) -> Stage:
    return Stage(
        hosts=1,
        settings=replace(SETTINGS, classes=(LOOK, kind) if kind.name != "look" else (LOOK, BUY)),
    )


@pytest.mark.parametrize("case", MAY_HAVE_RUN)
@pytest.mark.parametrize("how", ["reset", "close", "half an answer", "no answer of the protocol"])
def test_request_may_have_run_if_its_connection_ends_long_after_sending(
    case: str, how: str
) -> None:
    """A connection ends long after the complete request was sent.

    The request may have run, so it is retried only if its class allows that.
    """
    kind, answer, retried = MAY_HAVE_RUN[case]
    stage = stage_of(kind)
    stage.play(f"a send {command(kind, 1)}\ns1 expect {command(kind, 1)}\nwait 0.35")
    if how == "half an answer":
        stage._end("s1").sendall(b"*3\r\n$2\r\nh")
        stage.settle()
    if how == "no answer of the protocol":
        stage.play("s1 send +what")
    else:
        disconnect(stage, "s1", "reset" if how == "reset" else "close")
        stage.ends["s1"].clear()
    if retried:
        stage.play(f"s1 expect {command(kind, 1, 650)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    else:
        stage.play(f"a expect {answer}")
    assert (
        stage.service.stats.attempts == 1 + retried
        and not stage.service.engine_driver.open_requests
    )


@pytest.mark.parametrize("case", MAY_HAVE_RUN)
def test_request_may_have_run_if_a_reused_connection_is_reset(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The endpoint resets an idle connection between the limiter's check and its write.

    If the request was sent completely, it is unknown whether it ran.
    """
    kind, answer, retried = MAY_HAVE_RUN[case]
    stage = stage_of(kind)
    stage.play(
        f"b send {ask(9)}\ns1 expect {ask(9)}\ns1 send {VALUE}\nb expect $2\\r\\nhi\nwait 0.35"
    )
    (connection,) = stage.service.pool._endpoints["s1"].idle
    end, original = stage.ends["s1"].pop(), stream.Stream.is_open_without_unread_input

    def check_then_reset(self: stream.Stream) -> bool:
        found = original(self)
        if self is connection.stream and found:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            end.close()
        return found

    monkeypatch.setattr(stream.Stream, "is_open_without_unread_input", check_then_reset)
    stage.play(f"a send {command(kind, 1)}")
    fully_sent = stage.service.stats.dispatches > 1
    if retried or not fully_sent:  # after a failed write the endpoint has nothing
        stage.play(f"s1 expect {command(kind, 1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    else:
        stage.play(f"a expect {answer}")
    assert not stage.service.engine_driver.open_requests


def test_answer_that_is_never_completed_is_aborted_at_the_deadline() -> None:
    """An endpoint sends its answer byte by byte and never completes it.

    The client must be answered at its deadline.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send *3\\r\\n$9000")
    end = stage._end("s1")
    for _ in range(9):  # no gap reaches PARTIAL_ANSWER_TIMEOUT_S
        stage.play("wait 0.1\na expect nothing")
        end.sendall(b"x")
        stage.settle()
    stage.play("wait 0.2\na expect -BUSY 250")
    assert (
        PARTIAL_ANSWER_TIMEOUT_S > 0.1
        and not stage.service.pool._connections
        and not stage.service.engine_driver.open_requests
    )


def test_connection_established_after_its_attempt_ended_carries_nothing() -> None:
    """A connection is established after its attempt has ended.

    Nothing may be sent on it, and it must be closed.
    """
    stage = Stage(hosts=2, settings=replace(SETTINGS, classes=(LOOK, UNSAFE)), connect_timeout=0.25)
    fillers = block_connects(stage, "s1")
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 2, "s1:in_service"))
    )
    stage.play(f"a send {UNKEYED_DO.format(1)}")
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 3, "s1:in_service", "s2:in_service"))
    )
    assert len(stage.service.pool._connections) == 1
    stage.play("wait 0.3")
    assert (
        stage.service.stats.outcomes["connect_failed"] == 1
    )  # it never ran, so even a request of this class is retried
    retried = UNKEYED_DO.format(1).replace("d=1000", "d=750")
    stage.play(f"s2 expect {retried}\ns2 send {VALUE}\na expect $2\\r\\nhi")
    for filler in fillers:
        filler.close()
    got = b""
    stage.listeners["s1"].listen(16)
    for _ in range(20):
        try:
            end = stage.listeners["s1"].accept()[0]
        except BlockingIOError:
            break
        end.settimeout(1)
        with suppress(ConnectionResetError):
            got += end.recv(99)
        end.close()
    assert not got and stage.service.stats.dispatches == 1


def test_half_sent_request_is_answered_if_its_endpoint_drains() -> None:
    """An endpoint starts to drain while a request to it is half sent.

    That request must be sent completely and answered.
    """
    stage, body = Stage(hosts=2), "B" * 65536
    stage.listeners["s1"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connect = stream.connect

    def connect_with_small_buffer(*arguments: object) -> object:
        made = connect(*arguments)  # type: ignore[arg-type]
        made._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # type: ignore[union-attr]
        return made

    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(stream, "connect", connect_with_small_buffer)
        stage.play(f"a send {DO.format(1).replace('BODY', body)}")
    (connection,) = stage.service.pool._endpoints["s1"].connections
    assert connection.has_sent_any() and not connection.has_sent_all()
    stage.service._endpoints_changed(
        stage.service.endpoint_list.apply(
            stage.table("whole", 3, "s1:terminating", "s2:in_service")
        )
    )
    stage.play(
        f"s1 expect {DO.format(1).replace('BODY', body)}\ns1 send {VALUE}\na expect $2\\r\\nhi"
    )
    assert stage.service.stats.attempts == 1


def test_request_in_flight_keeps_its_rule_if_a_reload_makes_it_safe() -> None:
    """A reload makes a class safe to repeat while one of its requests is in flight.

    That request may have run, and must keep the rule under which it arrived.
    """
    stage = Stage(hosts=1, settings=replace(SETTINGS, classes=(LOOK, UNSAFE)))
    stage.play(f"a send {UNKEYED_DO.format(1)}\ns1 expect {UNKEYED_DO.format(1)}")
    safe_settings = replace(SETTINGS, classes=(LOOK, replace(BUY, effect="safe")), max_attempts=9)
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=safe_settings))
    stage.play("s1 close\na expect -ERR failed")
    assert stage.service.stats.attempts == 1


def test_request_in_flight_keeps_its_dedup_window_over_a_reload() -> None:
    """A reload extends the deduplication window while a request is in flight.

    That request may have run, and must keep the shorter window.
    """
    stage = Stage(hosts=1, settings=replace(SETTINGS, classes=(LOOK, SHORT)))
    stage.play(f"a send {DO.format(1)}\ns1 expect {DO.format(1)}")
    stage.service.settings_reload.reload(
        lambda: replace(stage.config, settings=replace(SETTINGS, classes=(LOOK, ANY)))
    )
    stage.play("wait 0.35\ns1 close\na expect -BUSY 250")
    assert stage.service.stats.attempts == 1
