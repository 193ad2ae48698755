"""Long values that are passed on while they arrive: engine, quota, deadline, memory."""

from __future__ import annotations

import socket
from dataclasses import replace
from typing import Any

from hazelhollow.net.connection_pool import FORWARDING_STALL_S
from hazelhollow.net.value_forwarding import (
    BUFFERS_PER_VALUE,
    MAX_WINDOW_BYTES,
    MIN_WINDOW_BYTES,
    ForwardingWindow,
)
from tests.decisions.test_settlement import SETTLED, quota_level
from tests.net.scenario import BUY, LOOK, SETTINGS, Stage
from tests.net.test_scenarios import UNKEYED_DO, VALUE, ask

SIZE = 200_000
VALUE_BYTES = bytes(range(250)) * (SIZE // 250)
HEAD = b"*3\r\n$%d\r\n" % SIZE
UNSAFE = replace(BUY, effect="unsafe")


def read_all(end: socket.socket, stage: Stage, turns: int = 100) -> bytes:
    got = b""
    for _ in range(turns):
        stage.settle(1)
        try:
            got += end.recv(1 << 20)
        except BlockingIOError:
            continue
    return got


def begin(stage: Stage, command: str, data: bytes) -> tuple[socket.socket, socket.socket]:
    """Sends a request and the first bytes of its answer; returns both test's ends."""
    stage.play(f"a send {command}\ns1 expect {command}")
    endpoint = stage._end("s1")
    endpoint.sendall(data)
    return stage._end("a"), endpoint


def test_units_behind_a_long_value_are_settled() -> None:
    """Guards against a quota that is charged the estimate, since the figures come last."""
    stage = Stage(hosts=1, settings=SETTLED)
    command = ask(1).replace("units=1", "units=2")
    client, endpoint = begin(stage, command, HEAD + VALUE_BYTES[:100_000])
    assert read_all(client, stage) == b"$%d\r\n%b" % (SIZE, VALUE_BYTES[:100_000])
    before = quota_level(stage)
    endpoint.sendall(VALUE_BYTES[100_000:] + b"\r\n$6\r\ncost=4\r\n$-1\r\n")
    assert read_all(client, stage) == VALUE_BYTES[100_000:] + b"\r\n"
    assert quota_level(stage) == before - 2 and stage.service.stats.settled == 1


def test_lasting_value_does_not_eject_its_endpoint_or_teach_its_work() -> None:
    """A value lasts far longer than the objective: its size and its reader say how long."""
    stage = Stage(hosts=1)
    client, endpoint = begin(stage, ask(1), HEAD + VALUE_BYTES[:70_000])
    read_all(client, stage)
    for start in range(70_000, SIZE, 26_000):  # nothing may hang or be cancelled
        stage.play("wait 3")
        endpoint.sendall(VALUE_BYTES[start : start + 26_000])
        assert read_all(client, stage) == VALUE_BYTES[start : start + 26_000]
    endpoint.sendall(b"\r\n$-1\r\n$-1\r\n")
    assert read_all(client, stage) == b"\r\n"
    engine = stage.service.engine
    assert not engine.endpoints["s1"].outlier_records
    assert engine.load.mean_attempt_time < 1.0 and not engine.pending_requests


def test_silent_endpoint_of_a_long_value_ends_it_after_the_stall_time() -> None:
    stage = Stage(hosts=1)
    client, _ = begin(stage, ask(1), HEAD + VALUE_BYTES[:70_000])
    read_all(client, stage)
    stage.play(f"wait {FORWARDING_STALL_S - 0.5}\na expect nothing\nwait 1\na expect closed")
    assert stage.service.stats.broken_values == 1
    assert not stage.service.engine_driver.open_requests
    assert not stage.service.frontend.forwarding.active


def test_stalled_short_answer_that_cannot_be_retried_is_not_cut_off() -> None:
    """Half of a short answer, a pause, and the rest in time. An unsafe request has no other try."""
    stage = Stage(hosts=1, settings=replace(SETTINGS, classes=(LOOK, UNSAFE)))
    command = UNKEYED_DO.format(1)
    stage.play(f"a send {command}\ns1 expect {command}\ns1 send *3\\r\\n$6\\r\\nhi")
    stage.play(
        "wait 0.85\na expect nothing\ns1 send so\\r\\n$-1\\r\\n$-1\na expect $6\\r\\nhi\\r\\nso"
    )
    assert stage.service.stats.attempts == 1


def test_value_that_breaks_behind_another_answer_stays_incomplete() -> None:
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na send {ask(2)}\ns1.2 expect {ask(2)}")
    stage._end("s1.2").sendall(HEAD + VALUE_BYTES[:70_000])
    stage.settle()
    stage.play(f"s1.2 close\na expect nothing\ns1 send {VALUE}")
    got = read_all(stage._end("a"), stage)
    assert got == b"$2\r\nhi\r\n$%d\r\n%b" % (SIZE, VALUE_BYTES[:70_000])
    stage.play("a expect closed")


class BlockedSocket:
    """A socket whose system takes nothing while it is blocked."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self.is_blocked = sock, True

    def send(self, data: bytes) -> int:
        if self.is_blocked:
            raise BlockingIOError
        return self._sock.send(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def test_answer_before_a_broken_value_is_sent_before_the_close() -> None:
    """The client's system takes nothing for a while, and the value behind the answer breaks off."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na send {ask(2)}\ns1.2 expect {ask(2)}")
    (session,) = stage.service.frontend.sessions.sessions
    blocked = BlockedSocket(session._stream._sock)
    session._stream._sock = blocked  # type: ignore[assignment]
    stage._end("s1.2").sendall(HEAD + VALUE_BYTES[:20_000])
    stage.play(f"s1.1 send {VALUE}\ns1.2 close\na expect nothing\nwait 0.3\na expect nothing")
    blocked.is_blocked = False
    got = read_all(stage._end("a"), stage)
    assert got.startswith(b"$2\r\nhi\r\n$%d\r\n" % SIZE) and len(got) < SIZE
    stage.play("a expect closed")


def test_windows_of_all_values_share_the_memory_for_them() -> None:
    window = ForwardingWindow(16 << 20)
    assert window.size() == MAX_WINDOW_BYTES
    window.active = 400
    assert window.size() * BUFFERS_PER_VALUE * window.active <= 16 << 20
    window.active = 1_000_000
    assert window.size() == MIN_WINDOW_BYTES
