"""Failures of discovery, disconnects, lack of descriptors and signals, each at a bad moment.

The cases are the conditions of docs/design/standing-test.md; each test forces the order of events
in which the condition is hardest to meet.
"""

from __future__ import annotations

import os
import resource
import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.command_reader import COMMAND_TIMEOUT_S, MAX_COMMANDS_PER_TURN
from hazelhollow.net.lifecycle import watch_signals
from hazelhollow.net.session_table import MAX_LINGERING
from hazelhollow.platform_config import PlatformConfig
from tests.net.scenario import SETTINGS, STAGES, Stage
from tests.net.test_connection_ends import (
    ENDLESS,
    RESET,
    WATCH_FAILURES,
    block_connects,
    disconnect,
    list_with_s1_draining,
    s1_is_dropped,
    start_watch,
)
from tests.net.test_scenarios import DO, GET, VALUE, WATCH, ask

STEP_S = 0.05  # by which the clock advances in `Agent.run`
MAX_DRAIN_DELAY_S = 3.0  # the operators' page allows 6
EMPTY_LIST = orjson.dumps(
    {"index": 1, "snapshot": True, "endpoints": []}
)  # parses as a complete list, but after a reset it may be only a part of the body


class Agent:
    """A fake of discovery's agent.

    It answers at once with its list and holds long polls, or it fails in the way that `mode` names.
    """

    def __init__(self, stage: Stage, patch: pytest.MonkeyPatch) -> None:
        self.stage, self.mode, self.version, self.changed = stage, "well", 1, False
        self.address = stage.listeners["disco"].getsockname()
        # unanswered calls: connection, target, time of arrival
        self._calls: list[tuple[socket.socket, str, float]] = []
        self._open: list[socket.socket] = []
        self._fillers: list[socket.socket] = []
        self._up_at: dict[stream.Stream, float] = {}
        self._patch_connecting(patch)

    def _patch_connecting(self, patch: pytest.MonkeyPatch) -> None:
        """Delays connections by the stage's clock, because on loopback none is established late."""
        real_connect, real_await = stream.Stream.connect, stream.Stream.await_connected

        def delayed_connect(
            connection: stream.Stream, address: tuple[str, int], until: float
        ) -> CloseReason | None:
            if address != self.address or self.mode != "late up":
                return real_connect(connection, address, until)
            self._up_at[connection] = self.stage.now + 0.4
            return wait(connection, until)

        def delayed_await(connection: stream.Stream, until: float) -> CloseReason | None:
            return (
                wait(connection, until)
                if connection in self._up_at
                else real_await(connection, until)
            )

        def wait(connection: stream.Stream, until: float) -> CloseReason | None:
            connection._task = connection.scheduler.current()
            connection.scheduler.wait(until=min(until, self._up_at[connection]))
            if connection.close_reason or self.stage.now < self._up_at[connection]:
                return connection.close_reason or CloseReason.NEVER_UP
            del self._up_at[connection]
            return real_connect(connection, self.address, until)

        patch.setattr(stream.Stream, "connect", delayed_connect)
        patch.setattr(stream.Stream, "await_connected", delayed_await)

    def change(self) -> None:
        """Makes discovery's list say from now on that s1 drains."""
        self.changed, self.version = True, self.version + 1

    def set_mode(self, mode: str) -> None:
        listeners, before, self.mode = self.stage.listeners, self.mode, mode
        if before == "refused":
            listeners["disco"] = socket.create_server(self.address)
            listeners["disco"].setblocking(False)
        if before == "never up":
            listeners["disco"].listen(64)
            while self._fillers:
                self._fillers.pop().close()
        if before == "moved away":
            self.stage.play("disco reload")
        if mode == "refused":
            listeners["disco"].close()
        if mode == "never up":
            self._fillers = block_connects(self.stage, "disco")
        if mode == "moved away":  # to an agent that accepts connections but does not answer
            self.stage.play("disco2 reload")
        if mode == "silent":  # earlier calls are never answered
            self._calls.clear()

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Advances the clock until `until` or for `seconds`; returns the time that passed."""
        began = self.stage.now
        while self.stage.now - began < seconds and not until():
            self.stage.now += STEP_S
            for _ in range(3):
                self.stage.settle(2)
                self._step()
            self.stage.settle(2)
        return self.stage.now - began

    def close(self) -> None:
        for end in (*self._open, *self._fillers):
            end.close()

    def _step(self) -> None:
        while self.mode not in ("refused", "never up"):
            try:
                end = self.stage.listeners["disco"].accept()[0]
            except BlockingIOError:
                break
            end.setblocking(False)
            self._open.append(end)
        for end in list(self._open):
            try:
                data = end.recv(1 << 16)
            except BlockingIOError:
                continue
            except ConnectionResetError:
                data = b""
            if not data:
                self._end(end)
            elif self.mode != "silent":
                self._calls.append((end, data.split(b" ")[1].decode(), self.stage.now))
        for call in list(self._calls):
            if self._answer(*call) and call in self._calls:
                self._calls.remove(call)

    def _answer(self, end: socket.socket, target: str, since: float) -> bool:
        """Answers a call if the mode and the time allow; returns whether the call is finished."""
        if self.mode in ("well", "late up"):
            has_changes = "from=" not in target or f"from={self.version}&" not in target
            return (has_changes or self.stage.now - since >= 1.5) and self._send(end, self._list())
        if self.mode == "slow":
            return self.stage.now - since >= 0.4 and self._send(end, self._list())
        if self.mode in FAILED_ANSWERS:
            data, ending = FAILED_ANSWERS[self.mode]
            self._send(end, data)
            if ending == "reset":
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            if ending:
                self._end(end)
            return True
        return False

    def _list(self) -> bytes:
        body = (
            list_with_s1_draining(self.stage, self.version)
            if self.changed
            else orjson.dumps(
                self.stage.table("whole", self.version, "s1:in_service", "s2:in_service")
            )
        )
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def _send(self, end: socket.socket, data: bytes) -> bool:
        try:
            end.sendall(data)
        except OSError:
            self._end(end)
        return True

    def _end(self, end: socket.socket) -> None:
        end.close()
        self._open.remove(end)
        self._calls = [call for call in self._calls if call[0] is not end]


FAILED_ANSWERS: dict[str, tuple[bytes, str]] = {
    "closes": (b"", "close"),
    "resets": (b"", "reset"),
    "503": (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", ""),
    "half": (b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{", ""),
    "half and close": (b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{", "close"),
    "half and reset": (b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{", "reset"),
    "no length and a reset": (ENDLESS.encode() + EMPTY_LIST, "reset"),
    "not JSON": (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nno!", ""),
    "not HTTP": (b"-ERR what\r\n\r\n", ""),
}
FAILURES = (*FAILED_ANSWERS, "silent", "refused", "never up", "late up", "slow", "moved away")


def drain_delay(failures: list[tuple[str, float]], changed_at: int) -> float:
    """Plays the failures; returns the seconds that the limiter then takes to obey a drain.

    The time starts when discovery has the drain in its list and works again.
    """
    with pytest.MonkeyPatch.context() as patch:
        stage = Stage(hosts=2)
        agent = Agent(stage, patch)
        agent.run(0.5)
        assert stage.service.discovery_watch.is_following and not s1_is_dropped(stage)
        for number, (mode, seconds) in enumerate(failures):
            if number == changed_at:
                agent.change()
            agent.set_mode(mode)
            agent.run(seconds)
            # only a complete answer may be applied as a list
            assert "s2" in stage.service.pool._endpoints
        agent.set_mode("well")
        if not agent.changed:
            agent.change()
        delay = agent.run(7.0, until=lambda: s1_is_dropped(stage))
        assert set(stage.service.pool._endpoints) == {"s2"}
        agent.close()
        STAGES.remove(stage)
        stage.close()
    return delay


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("seconds", [0.1, 1.0, 5.0])
def test_drain_is_obeyed_in_time_after_any_single_failure(failure: str, seconds: float) -> None:
    """A call to discovery fails in one of several ways before an endpoint starts to drain.

    The drain must still be obeyed in time.
    """
    assert drain_delay([(failure, seconds)], changed_at=9) <= MAX_DRAIN_DELAY_S


@settings(max_examples=60)
@given(
    st.lists(st.tuples(st.sampled_from(FAILURES), st.floats(0.05, 2.6)), min_size=2, max_size=6),
    st.integers(0, 9),
)
def test_drain_is_obeyed_in_time_after_any_sequence_of_failures(
    failures: list[tuple[str, float]], changed_at: int
) -> None:
    """Calls to discovery fail one after another in different ways.

    A drain must still be obeyed in time.
    """
    assert drain_delay(failures, changed_at) <= MAX_DRAIN_DELAY_S


@pytest.mark.parametrize("mode", ["late up", "slow"])
def test_drain_is_obeyed_in_time_when_the_agent_is_always_late(mode: str) -> None:
    """Each connection to the agent is established, or each of its answers arrives, too late.

    By then the watch has begun another call, so the late answer to the earlier one must be used.
    """
    with pytest.MonkeyPatch.context() as patch:
        stage = Stage(hosts=2)
        agent = Agent(stage, patch)
        agent.set_mode("closes")
        agent.run(0.5)
        agent.set_mode(mode)
        agent.run(5.0)
        agent.change()
        assert agent.run(7.0, until=lambda: s1_is_dropped(stage)) <= MAX_DRAIN_DELAY_S
        agent.close()


def test_hanging_call_does_not_block_a_later_slow_answer() -> None:
    """The watch waits for one slow call at a time.

    A slow call that is never answered must time out soon enough for a later one.
    """
    with pytest.MonkeyPatch.context() as patch:
        stage = Stage(hosts=2)
        agent = Agent(stage, patch)
        agent.set_mode("silent")
        agent.run(2.3)  # the watch times out, and the next call hangs
        agent.change()
        agent.set_mode("slow")
        assert agent.run(7.0, until=lambda: s1_is_dropped(stage)) <= MAX_DRAIN_DELAY_S
        agent.close()


def test_internal_error_while_applying_a_list_loses_no_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An error occurs when the list has the new version, but the engine was not notified of it.

    Discovery repeats the change only in the full list, which must therefore be requested.
    """
    stage = Stage(hosts=2)
    start_watch(stage)
    with monkeypatch.context() as patch:
        patch.setattr(stage.service.discovery_watch, "_on_change", lambda event: 1 / 0)
        stage.play("disco send table 6 s1:terminating")
    stage.play(f"wait 0.2\ndisco expect {GET}\ndisco send whole 6 s1:terminating s2:in_service")
    assert s1_is_dropped(stage)


def test_unreadable_change_causes_a_request_for_the_full_list() -> None:
    """A change contains an unreadable entry, which may be a drain.

    The entry must not be skipped; the full list must be requested instead.
    """
    stage = Stage(hosts=2)
    start_watch(stage)
    table = stage.table("table", 6, "s1:terminating")
    del table["endpoints"][0]["address"]
    body = orjson.dumps(table)
    stage._end("disco").sendall(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    )
    stage.play(f"wait 0.2\ndisco expect {GET}\ndisco send whole 6 s2:in_service")
    assert s1_is_dropped(stage)


@pytest.mark.parametrize("death", WATCH_FAILURES)
def test_watch_that_fails_after_many_answers_is_restarted(death: str) -> None:
    """The watch fails after more than 13 s in which every call was answered in time."""
    stage = Stage(hosts=2)
    start_watch(stage)
    for number in range(6, 16):
        stage.play(
            f"wait 1.4\ndisco send table {number} s2:in_service\ndisco expect "
            f"{WATCH.format(number)}"
        )
    stage.play(WATCH_FAILURES[death])
    for _ in range(10):
        try:
            stage.play(f"wait 0.05\ndisco expect {GET}")
            break
        except AssertionError:
            pass
    stage.play("disco send whole 16 s2:in_service")
    assert s1_is_dropped(stage)


# Clients that disconnect


def test_command_behind_unread_answers_is_dropped_on_disconnect() -> None:
    """The client does not read its answers, and the system buffers no more of them.

    The command that waits behind them must not be started if the client then disconnects.
    """
    stage = Stage(hosts=1)
    stage._end("a").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    value = VALUE.replace(r"$2\r\nhi", "$65536\\r\\n" + "v" * 65536)
    stage.settle()
    (session,) = stage.service.frontend.sessions.sessions
    sent = 0
    while not session._stream.send_buffer:
        sent += 1
        stage.play(f"a send {ask(sent)}\ns1 expect {ask(sent)}\ns1 send {value}\nwait 0.04")
    stage._end("a").sendall(stage.bytes_of(ask(999)))
    disconnect(stage, "a", "half")
    assert stage.service.stats.requests == sent and not stage.service.frontend.sessions.sessions


def test_no_attempt_starts_after_a_disconnect_while_limiter_was_busy() -> None:
    """The limiter is busy, so timers that are due run before the poll that reports the disconnect.

    The connect timeout is due, and an idle connection to another endpoint is ready for a retry.
    """
    stage = Stage(hosts=2, connect_timeout=0.25)
    stage.play(f"disco expect {GET}\ndisco send whole 2 s2:in_service")
    stage.play(
        f"b send {ask(9)}\ns2 expect {ask(9)}\ns2 send {VALUE}\nb expect $2\\r\\nhi\nwait 0.05"
    )
    fillers = block_connects(stage, "s1")
    changed, table = stage.service._endpoints_changed, stage.service.endpoint_list
    changed(table.apply(stage.table("whole", 3, "s1:in_service")))
    stage.play(f"a send {ask(1)}")
    assert stage.service.stats.attempts == 2 and len(fillers) == 2
    changed(table.apply(stage.table("whole", 4, "s1:in_service", "s2:in_service")))
    stage.play(f"c send {ask(8)}")  # leaves an idle connection to s2
    stage.play(f"s2 expect {ask(8)}\ns2 send {VALUE}\nc expect $2\\r\\nhi\nwait 0.05")
    attempts = stage.service.stats.attempts
    stage._end("a").close()
    stage.now += 0.3
    stage.settle()
    assert stage.service.stats.attempts == attempts and stage.service.stats.dispatches == 2
    stage.play("s2 expect nothing")
    assert not stage.service.engine_driver.open_requests and stage.service.stats.clients_gone == 1


def test_connection_established_after_a_disconnect_carries_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects and the connection to the endpoint is established between two polls.

    The connection is handled before the disconnect.
    """
    stage = Stage(hosts=1)

    def connect_late(
        self: stream.Stream, address: tuple[str, int], until: float
    ) -> CloseReason | None:
        self._task = self.scheduler.current()
        self.scheduler.wait(until=stage.now + 0.2)
        self._sock.setblocking(True)
        self._sock.connect(address)
        self._sock.setblocking(False)
        return None

    monkeypatch.setattr(stream.Stream, "connect", connect_late)
    stage.play(f"a send {ask(1)}")
    assert stage.service.stats.attempts == 1 and stage.service.stats.opened == 0
    stage._end("a").close()
    stage.now += 0.35
    stage.settle()
    assert stage.service.stats.opened == 1 and stage.service.stats.dispatches == 0
    assert stage._end("s1").recv(99) == b"" and not stage.service.engine_driver.open_requests


@pytest.mark.parametrize("how", ["close", "half", "reset"])
@pytest.mark.parametrize("whole", [False, True])
def test_disconnect_after_a_partial_command_is_detected(how: str, whole: bool) -> None:
    """A client disconnects in the middle of a command.

    With `whole`, a complete request precedes it, whose attempt waits for a connection.
    """
    stage = Stage(hosts=1)
    fillers = block_connects(stage)
    if whole:
        stage.play(f"a send {ask(1)}")
    data = stage.bytes_of(ask(2))
    for part in (data[:20], data[20:40]):
        stage._end("a").sendall(part)
        stage.play("wait 0.05")
    assert len(stage.service.engine_driver.open_requests) == whole and len(fillers) == 2
    disconnect(stage, "a", how)
    assert stage.service.stats.requests == whole == stage.service.stats.attempts
    assert not stage.service.engine_driver.open_requests and not stage.service.pool._connections
    assert not stage.service.frontend.sessions.sessions


FIRST_ATTEMPT_FAILURES: dict[str, Callable[[Stage], None]] = {
    "an error": lambda stage: stage.play("s1 send -ERR failed"),
    "turned away": lambda stage: stage.play("s1 send -BUSY"),
    "a reset": lambda stage: disconnect(stage, "s1", "reset"),
    "no answer": lambda stage: stage.play("wait 3"),
}


@pytest.mark.parametrize("how", ["close", "half", "reset"])
@pytest.mark.parametrize("later", FIRST_ATTEMPT_FAILURES)
def test_failed_attempt_is_not_retried_after_a_disconnect(how: str, later: str) -> None:
    """The first attempt is in flight and fails after the client has disconnected."""
    stage = Stage(hosts=2)
    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service\na send {ask(1, 3000)}")
    stage.play(f"s1 expect {ask(1, 3000)}\ndisco send whole 3 s1:in_service s2:in_service")
    disconnect(stage, "a", how)
    FIRST_ATTEMPT_FAILURES[later](stage)
    stage.play("wait 0.5")
    assert stage.service.stats.attempts == 1


def test_retry_that_waits_for_its_connection_ends_on_disconnect() -> None:
    """The first attempt failed before the client left; the retry still waits for its connection."""
    stage = Stage(hosts=2)
    fillers = block_connects(stage, "s2")
    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service\na send {ask(1, 3000)}")
    stage.play(f"s1 expect {ask(1, 3000)}\ndisco send whole 3 s2:in_service\ns1 send -ERR failed")
    assert stage.service.stats.attempts == 2 and len(stage.service.pool._connections) == 1
    disconnect(stage, "a", "close")
    assert (
        not stage.service.pool._connections
        and stage.service.stats.dispatches == 1
        and len(fillers) == 2
    )
    stage.play("wait 3.1")
    assert stage.service.stats.attempts == 2 and not stage.service.engine_driver.open_requests


def test_unsent_hedge_is_dropped_on_disconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One endpoint has the complete request; the hedge's connection is not established yet."""
    stage = Stage(hosts=2)
    fillers = block_connects(stage, "s2")

    def handle(event: api.Event, now: float) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            return [api.StartAttempt(event.id, "s1"), api.StartAttempt(event.id, "s2")]
        return []

    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", handle)
    stage.play(f"a send {ask(1, 3000)}\ns1 expect {ask(1, 3000)}")
    assert stage.service.stats.attempts == len(stage.service.pool._connections) == 2
    disconnect(stage, "a", "close")
    assert len(stage.service.pool._connections) == 1 and len(fillers) == 2
    stage.play(f"s1 send {VALUE}")
    assert not stage.service.engine_driver.open_requests and stage.service.stats.dispatches == 1


def test_request_that_waits_for_a_free_connection_ends_on_disconnect() -> None:
    """All connections to endpoints are in use, and clients whose requests wait for one disconnect.

    Their requests must get no attempt when a connection is free.
    """
    stage = Stage(hosts=2, sockets=0)  # allows six connections to endpoints
    for number in range(9):
        stage.play(f"c{number} send {ask(number, 3000)}")
    assert len(stage.service.pool._connections) == 6 and stage.service.stats.no_descriptor
    for number in range(9):
        disconnect(stage, f"c{number}", "close")
    attempts = stage.service.stats.attempts
    for name in ("s1", "s2"):
        stage._end(name)
        for number in range(1, len(stage.ends[name]) + 1):
            stage.play(f"{name}.{number} send -ERR failed")
    stage.play("wait 3.1")
    assert stage.service.stats.attempts == attempts and stage.service.stats.dispatches == 6
    assert not stage.service.engine_driver.open_requests


# Idle clients that hold all descriptors


@contextmanager
def no_descriptor_left() -> Iterator[None]:
    """Uses up all descriptors of this process, so that a new one requires closing another."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = 1 + max(int(name) for name in os.listdir("/proc/self/fd"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    held = list[int]()
    try:
        while True:
            try:
                held.append(os.dup(0))
            except OSError:
                break
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for number in held:
            os.close(number)


def idle_clients(stage: Stage, first: int, count: int) -> None:
    """Connects clients that send one command and then keep their connections open."""
    for number in range(first, first + count):
        stage.play(f"i{number} send [SELECT 0]\ni{number} expect +OK")


def test_idle_clients_yield_descriptors_to_attempts_and_discovery() -> None:
    """Idle clients hold all descriptors. Attempts and the watch on discovery must still get one."""
    stage = Stage(hosts=1)
    watched_once = (
        f"disco expect {GET}\ndisco send whole 5 s1:in_service\ndisco expect {WATCH.format(5)}"
    )
    stage.play(watched_once)
    address = stage.listeners["disco"].getsockname()
    stage.listeners["disco"].close()  # discovery is down
    stage.play("a send [SELECT 0]\na expect +OK\ndisco close\nwait 0.05")
    idle_clients(stage, 0, 10)
    with no_descriptor_left():
        stage.play(f"a send {ask(1)}")
    stage.play(f"s1 expect {ask(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
    assert len(stage.service.frontend.sessions.sessions) == 10
    idle_clients(stage, 10, 10)
    stage.listeners["disco"] = socket.create_server(address)  # discovery is up again
    stage.listeners["disco"].setblocking(False)
    while stage.service.pool.close_longest_idle():  # descriptors that can be freed without a client
        pass
    with no_descriptor_left():
        stage.play("wait 0.2")
    stage.play(f"disco expect {GET}\ndisco send whole 6 s1:terminating")
    assert s1_is_dropped(stage)


def test_descriptor_is_freed_when_the_idle_client_resets_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client resets its connection between the check of it and its close.

    The connection then does not linger, and its descriptor is free already.
    """
    stage = Stage(hosts=1)
    idle_clients(stage, 0, 1)
    real_check = stream.Stream.is_open_without_unread_input

    def check_then_reset(self: stream.Stream) -> bool:
        is_open = real_check(self)
        if stage.ends["i0"]:
            stage._end("i0").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            stage.ends["i0"].pop().close()
        return is_open

    monkeypatch.setattr(stream.Stream, "is_open_without_unread_input", check_then_reset)
    assert stage.service.frontend.free_descriptor()
    assert (
        not stage.service.frontend.sessions.sessions
        and not stage.service.frontend.sessions.lingering
    )


def test_clients_with_partial_commands_stay_within_the_session_limit() -> None:
    """None of the clients is idle, so none may be closed to accept another.

    The others must wait in the accept queue.
    """
    stage = Stage(hosts=1, sockets=96)
    frontend = stage.service.frontend
    for number in range(200):
        stage._end(f"h{number}").sendall(stage.bytes_of(ask(number))[:40])
        stage.settle(2)
        assert len(frontend.sessions.sessions) <= frontend.sessions.max_sessions
        assert (
            len(frontend.sessions.sessions) + len(frontend.sessions.lingering)
            <= frontend.sessions.max_sessions + MAX_LINGERING
        )
    assert len(frontend.sessions.sessions) == frontend.sessions.max_sessions
    stage.play(f"z send [PING]\nwait {COMMAND_TIMEOUT_S + 0.5}")
    for number in range(200):
        stage.play(f"h{number} close")
    stage.play("wait 1\nz expect +PONG")
    assert (
        len(frontend.sessions.sessions) <= frontend.sessions.max_sessions
        and frontend.sessions.max_sessions > MAX_COMMANDS_PER_TURN
    )


# Starts


FILLS: dict[str, bytes] = {
    "nobody": b"",
    "idle clients": b"",
    "clients with half a command": b"*4\r\n$5\r\n",
}
AGENTS = ("well", "silent", "refused", "never up", "late up", "slow", "503", "half", "not HTTP")


@pytest.mark.parametrize("fill", FILLS)
@pytest.mark.parametrize("mode", AGENTS)
def test_limiter_is_ready_in_time_whatever_discovery_and_clients_do(
    mode: str, fill: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery fails and clients occupy all sessions; 10 s are allowed until the limiter is ready.

    The limiter needs READY_WITHOUT_DISCOVERY_AFTER_S and the timeout of partial commands.
    """
    stage = Stage(hosts=2, discovery_answered=False, sockets=0)
    agent = Agent(stage, monkeypatch)
    agent.set_mode(mode)
    if fill != "nobody":
        for number in range(30):
            stage._end(f"f{number}").sendall(FILLS[fill])
    client = socket.create_connection(stage.service.frontend.address)
    client.setblocking(False)
    client.sendall(stage.bytes_of("[PING]"))
    got = list[bytes]()

    def is_answered() -> bool:
        with suppress(BlockingIOError):
            got.append(client.recv(99))
        return bool(got)

    delay = agent.run(30.0, until=is_answered)
    client.close()
    agent.close()
    rounds = 4 if fill == "clients with half a command" else 0  # 30 clients share nine sessions
    assert got == [b"+PONG\r\n"] and delay <= 0.6 + rounds * (COMMAND_TIMEOUT_S + 0.3)


@pytest.mark.parametrize("seconds", [0.0, 0.1, 0.45, 0.55])
def test_requests_before_an_early_sigterm_are_answered_without_a_list(seconds: float) -> None:
    """SIGTERM arrives before the first list, before the limiter is ready or in the same turn."""
    stage = Stage(hosts=1, discovery_answered=False)
    stage.play(f"a send {ask(1, 2000)}\nb send [PING]\nwait {seconds}")
    stage.service.shutdown.begin()
    stage.play("wait 0.3\nwait 0.3")
    time_left_ms = 1500
    stage.play(
        f"b expect +PONG\ns1 expect {ask(1, time_left_ms)}\ns1 send {VALUE}\na expect "
        "$2\\r\\nhi\na close\nb close\nwait 1"
    )
    assert stage.scheduler._stopped


def test_sighup_before_the_first_list_moves_the_watch_without_delay() -> None:
    """SIGHUP changes discovery's address before the first list has arrived.

    The watch must ask the new address, and readiness must not be delayed.
    """
    stage = Stage(hosts=2, discovery_answered=False)
    stage.play(
        f"a send [PING]\nb send {ask(1)}\nwait 0.2\ndisco2 reload\na expect nothing\nwait 0.1"
    )
    stage.play(
        f"disco2 expect {GET}\ndisco2 send whole 2 s1:terminating s2:in_service\na expect +PONG"
    )
    stage.play(f"s2 expect {ask(1, 700)}")


def test_unexpected_reload_error_does_not_lose_a_sigterm() -> None:
    """A reload raises an unexpected error, and a SIGTERM was received in the same read.

    The shutdown must still begin.
    """

    def reread() -> PlatformConfig:
        raise RuntimeError("not foreseen")

    stage = Stage(hosts=1)
    inner, outer = socket.socketpair()
    with inner, outer:
        inner.setblocking(False)
        stage.scheduler.spawn_supervised(
            lambda: watch_signals(stage.service, inner, reread), "signals"
        )
        outer.send(bytes([signal.SIGHUP, signal.SIGTERM]))
        stage.settle()
        assert stage.service.shutdown.has_begun
        stage.scheduler.unregister(inner.fileno())


# Full lists that omit draining endpoints


def test_endpoint_missing_from_a_full_list_gets_no_new_requests() -> None:
    """A full list no longer contains an endpoint.

    The endpoint must get no new requests, while its requests in flight continue.
    """
    stage = Stage(hosts=2)
    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service")
    stage.play(f"a send {ask(1)}\ns1.1 expect {ask(1)}\nb send {ask(2)}\ns1.2 expect {ask(2)}")
    stage.play(f"disco send whole 3 s2:in_service\ns1.1 send {VALUE}\na expect $2\\r\\nhi")
    stage.play("s1.1 expect closed\ns1.2 expect nothing")  # the other request in flight continues
    stage.play("s1.2 send -ERR failed")  # its retry goes to the other endpoint
    stage.play(f"s2.1 expect {ask(2)}\ns2 send {VALUE}\nb expect $2\\r\\nhi\nwait 0.05")
    stage.play(f"c send {ask(3)}\ns2.1 expect {ask(3)}")
    assert stage.service.stats.outcomes["ok"] == 2 and set(stage.service.pool._endpoints) == {"s2"}


def test_unsent_attempt_to_an_endpoint_missing_from_a_list_is_rerouted() -> None:
    """A full list omits an endpoint while an attempt to it waits for its connection.

    The request must be sent to another endpoint.
    """
    stage = Stage(hosts=2)
    fillers = block_connects(stage, "s1")
    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service\na send {DO.format(1)}")
    assert len(stage.service.pool._connections) == 1 and len(fillers) == 2
    stage.play(f"disco send whole 3 s2:in_service\ns2 expect {DO.format(1)}")


def test_endpoint_that_is_listed_again_serves_again() -> None:
    """An endpoint is missing from one list and back in the next. It must serve again."""
    stage = Stage(hosts=1)
    stage.play(
        f"disco expect {GET}\ndisco send whole 2 s1:in_service\ndisco expect {WATCH.format(2)}"
    )
    stage.play(
        f"disco send whole 3\ndisco expect {WATCH.format(3)}\na send {ask(1)}\na expect -BUSY 250"
    )
    stage.play(f"disco send whole 4 s1:in_service\na send {ask(2)}\ns1 expect {ask(2)}")


def test_request_sent_byte_by_byte_is_served_and_blocks_no_other() -> None:
    """A slow client sends its request byte by byte, while another client is served."""
    stage = Stage(hosts=1, settings=replace(SETTINGS, hedging=True))
    data = stage.bytes_of(DO.format(1))
    for number in range(len(data)):
        stage._end("a").sendall(data[number : number + 1])
        stage.settle(2)
        if number == len(data) // 2:
            stage.play(
                f"b send {ask(2)}\ns1.1 expect {ask(2)}\ns1 send {VALUE}\nb expect "
                "$2\\r\\nhi\nwait 0.05"
            )
    stage.play(f"s1 expect {DO.format(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
