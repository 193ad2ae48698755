"""Connections to endpoints that end at a bad moment: may the attempt have run, and what follows."""

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
from tests.net.test_scenarios import DO, GET, VALUE, ask

UNSAFE = replace(BUY, effect="unsafe")
CELL = replace(BUY, dedup_scope="cell", dedup_window=5.0)
ANY = replace(BUY, dedup_scope="all", dedup_window=5.0)
SHORT = replace(BUY, dedup_scope="all", dedup_window=0.3)
# By class: what the client gets once the only attempt may have run, and whether another attempt is
# made.
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
        else DO.format(number).replace("d=1000", f"d={wait}")
    ).replace("look", kind.name)


def stage_of(kind: api.RequestClass) -> Stage:
    return Stage(
        hosts=1,
        settings=replace(SETTINGS, classes=(LOOK, kind) if kind.name != "look" else (LOOK, BUY)),
    )


@pytest.mark.parametrize("case", MAY_HAVE_RUN)
@pytest.mark.parametrize("how", ["reset", "close", "half an answer", "no answer of the protocol"])
def test_a_connection_that_ends_long_after_its_request_may_have_run_it(case: str, how: str) -> None:
    """A connection breaks long after the whole request was sent.

    It may have run, so only a class that allows it is sent again.
    """
    kind, said, again = MAY_HAVE_RUN[case]
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
    if again:
        stage.play(f"s1 expect {command(kind, 1, 650)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    else:
        stage.play(f"a expect {said}")
    assert (
        stage.service.stats.attempts == 1 + again and not stage.service.engine_driver.open_requests
    )


@pytest.mark.parametrize("case", MAY_HAVE_RUN)
def test_a_connection_that_its_host_resets_just_as_it_is_used_again_may_have_run(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The endpoint closes an idle connection between the limiter's look and its write.

    The request was sent completely, so nobody can tell whether it ran.
    """
    kind, said, again = MAY_HAVE_RUN[case]
    stage = stage_of(kind)
    stage.play(
        f"b send {ask(9)}\ns1 expect {ask(9)}\ns1 send {VALUE}\nb expect $2\\r\\nhi\nwait 0.35"
    )
    (line,) = stage.service.pool._endpoints["s1"].idle
    end, whole = stage.ends["s1"].pop(), stream.Stream.is_open_and_quiet

    def alive(self: stream.Stream) -> bool:
        found = whole(self)
        if self is line.stream and found:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            end.close()
        return found

    monkeypatch.setattr(stream.Stream, "is_open_and_quiet", alive)
    stage.play(f"a send {command(kind, 1)}")
    whole_written = stage.service.stats.dispatches > 1
    if again or not whole_written:  # a write that failed outright has left nothing with the host
        stage.play(f"s1 expect {command(kind, 1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    else:
        stage.play(f"a expect {said}")
    assert not stage.service.engine_driver.open_requests


def test_an_answer_that_trickles_without_end_is_given_up_at_the_deadline_at_the_latest() -> None:
    """An endpoint sends its answer byte by byte without end.

    The client has its answer at its deadline.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send *3\\r\\n$9000")
    end = stage._end("s1")
    for _ in range(9):  # never PARTIAL_ANSWER_TIMEOUT_S without a byte
        stage.play("wait 0.1\na expect nothing")
        end.sendall(b"x")
        stage.settle()
    stage.play("wait 0.2\na expect -BUSY 250")
    assert (
        PARTIAL_ANSWER_TIMEOUT_S > 0.1
        and not stage.service.pool._connections
        and not stage.service.engine_driver.open_requests
    )


def test_a_connection_that_comes_up_after_it_was_given_up_carries_nothing_and_is_closed() -> None:
    """A connection comes up after its attempt was given up.

    Nothing is sent on it, and it is closed.
    """
    stage = Stage(hosts=2, settings=replace(SETTINGS, classes=(LOOK, UNSAFE)), connect_timeout=0.25)
    fillers = block_connects(stage, "s1")
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 2, "s1:in_service"))
    )
    stage.play(f"a send {DO.format(1)}")
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 3, "s1:in_service", "s2:in_service"))
    )
    assert len(stage.service.pool._connections) == 1
    stage.play("wait 0.3")
    assert (
        stage.service.stats.outcomes["connect_failed"] == 1
    )  # it never ran, so that even this class goes on
    stage.play(
        f"s2 expect {DO.format(1).replace('d=1000', 'd=750')}\ns2 send {VALUE}\na expect $2\\r\\nhi"
    )
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


def test_a_request_that_has_begun_to_leave_for_a_host_that_drains_goes_on_to_its_answer() -> None:
    """An endpoint starts to drain while a request to it is half sent.

    That request goes on and is answered.
    """
    stage, body = Stage(hosts=2), "B" * 65536
    stage.listeners["s1"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connect = stream.connect

    def narrow(*words: object) -> object:
        made = connect(*words)  # type: ignore[arg-type]
        made._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # type: ignore[union-attr]
        return made

    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(stream, "connect", narrow)
        stage.play(f"a send {DO.format(1).replace('BODY', body)}")
    (line,) = stage.service.pool._endpoints["s1"].connections
    assert line.has_sent_any() and not line.has_sent_all()
    stage.service._endpoints_changed(
        stage.service.endpoint_list.apply(
            stage.table("whole", 3, "s1:terminating", "s2:in_service")
        )
    )
    stage.play(
        f"s1 expect {DO.format(1).replace('BODY', body)}\ns1 send {VALUE}\na expect $2\\r\\nhi"
    )
    assert stage.service.stats.attempts == 1


def test_a_class_made_safe_by_reload_does_not_reach_back_to_what_may_have_run() -> None:
    """A reload makes a class idempotent while one of its requests is out.

    That request keeps the rule that it came with.
    """
    stage = Stage(hosts=1, settings=replace(SETTINGS, classes=(LOOK, UNSAFE)))
    stage.play(f"a send {DO.format(1)}\ns1 expect {DO.format(1)}")
    harmless = replace(SETTINGS, classes=(LOOK, replace(BUY, effect="safe")), max_attempts=9)
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=harmless))
    stage.play("s1 close\na expect -ERR failed")
    assert stage.service.stats.attempts == 1


def test_a_window_that_grows_by_name_does_not_reach_back_to_an_order_that_may_have_run() -> None:
    """A reload lengthens the window in which endpoints drop repeats.

    A request from before it keeps the shorter one.
    """
    stage = Stage(hosts=1, settings=replace(SETTINGS, classes=(LOOK, SHORT)))
    stage.play(f"a send {DO.format(1)}\ns1 expect {DO.format(1)}")
    stage.service.settings_reload.reload(
        lambda: replace(stage.config, settings=replace(SETTINGS, classes=(LOOK, ANY)))
    )
    stage.play("wait 0.35\ns1 close\na expect -BUSY 250")
    assert stage.service.stats.attempts == 1
