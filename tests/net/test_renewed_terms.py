"""Terms of the standing test (docs/design/standing-test.md), each with its bad order forced."""

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
from hazelhollow.net.command_reader import MAX_COMMANDS_PER_TURN
from hazelhollow.net.lifecycle import watch_signals
from hazelhollow.net.session import COMMAND_TIMEOUT_S
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

STEP = 0.05  # seconds by which the clock goes on
TOLD_WITHIN = 3.0  # seconds; the operators' page allows 6
OLD_LIST = orjson.dumps(
    {"index": 1, "snapshot": True, "endpoints": []}
)  # a part that happens to read well, and is none


class Agent:
    """Discovery's agent.

    It answers at once with what it has, and holds a watch, or it fails as it is told to.
    """

    def __init__(self, stage: Stage, patch: pytest.MonkeyPatch) -> None:
        self.stage, self.mode, self.version, self.changed = stage, "well", 1, False
        self.address = stage.listeners["disco"].getsockname()
        # not answered: connection, call, since when
        self._calls: list[tuple[socket.socket, str, float]] = []
        self._open: list[socket.socket] = []
        self._fillers: list[socket.socket] = []
        self._late_up: dict[stream.Stream, float] = {}
        self._patch_connecting(patch)

    def _patch_connecting(self, patch: pytest.MonkeyPatch) -> None:
        """On loopback no connection comes up late; here it does, by the stage's clock."""
        establish, go_on = stream.Stream.connect, stream.Stream.await_connected

        def begin(one: stream.Stream, address: tuple[str, int], until: float) -> CloseReason | None:
            if address != self.address or self.mode != "late up":
                return establish(one, address, until)
            self._late_up[one] = self.stage.now + 0.4
            return wait(one, until)

        def more(one: stream.Stream, until: float) -> CloseReason | None:
            return wait(one, until) if one in self._late_up else go_on(one, until)

        def wait(one: stream.Stream, until: float) -> CloseReason | None:
            one._task = one.scheduler.current()
            one.scheduler.wait(until=min(until, self._late_up[one]))
            if one.close_reason or self.stage.now < self._late_up[one]:
                return one.close_reason or CloseReason.NEVER_UP
            del self._late_up[one]
            return establish(one, self.address, until)

        patch.setattr(stream.Stream, "connect", begin)
        patch.setattr(stream.Stream, "await_connected", more)

    def change(self) -> None:
        """Discovery has it from now on: s1 drains."""
        self.changed, self.version = True, self.version + 1

    def turn_to(self, mode: str) -> None:
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
        if mode == "moved away":  # to one that lets in and says nothing
            self.stage.play("disco2 reload")
        if mode == "silent":  # it never answers what came until then
            self._calls.clear()

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Seconds that it took."""
        began = self.stage.now
        while self.stage.now - began < seconds and not until():
            self.stage.now += STEP
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
                words = end.recv(1 << 16)
            except BlockingIOError:
                continue
            except ConnectionResetError:
                words = b""
            if not words:
                self._end(end)
            elif self.mode != "silent":
                self._calls.append((end, words.split(b" ")[1].decode(), self.stage.now))
        for call in list(self._calls):
            if self._answer(*call) and call in self._calls:
                self._calls.remove(call)

    def _answer(self, end: socket.socket, target: str, since: float) -> bool:
        """Whether there is no more to be said to that call."""
        if self.mode in ("well", "late up"):
            is_news = "from=" not in target or f"from={self.version}&" not in target
            return (is_news or self.stage.now - since >= 1.5) and self._say(end, self._list())
        if self.mode == "slow":
            return self.stage.now - since >= 0.4 and self._say(end, self._list())
        if self.mode in FAILED_ANSWERS:
            words, ending = FAILED_ANSWERS[self.mode]
            self._say(end, words)
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

    def _say(self, end: socket.socket, words: bytes) -> bool:
        try:
            end.sendall(words)
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
    "no length and a reset": (ENDLESS.encode() + OLD_LIST, "reset"),
    "not JSON": (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nno!", ""),
    "not HTTP": (b"-ERR what\r\n\r\n", ""),
}
FAILURES = (*FAILED_ANSWERS, "silent", "refused", "never up", "late up", "slow", "moved away")


def told_after(mix: list[tuple[str, float]], changed_at: int) -> float:
    """Seconds from when discovery has the change and can be reached to when the limiter keeps to
    it.
    """
    with pytest.MonkeyPatch.context() as patch:
        stage = Stage(hosts=2)
        agent = Agent(stage, patch)
        agent.run(0.5)
        assert stage.service.discovery_watch.is_following and not s1_is_dropped(stage)
        for number, (mode, seconds) in enumerate(mix):
            if number == changed_at:
                agent.change()
            agent.turn_to(mode)
            agent.run(seconds)
            # nothing but a whole answer is taken for a list
            assert "s2" in stage.service.pool._endpoints
        agent.turn_to("well")
        if not agent.changed:
            agent.change()
        took = agent.run(7.0, until=lambda: s1_is_dropped(stage))
        assert set(stage.service.pool._endpoints) == {"s2"}
        agent.close()
        STAGES.remove(stage)
        stage.close()
    return took


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("seconds", [0.1, 1.0, 5.0])
def test_a_change_is_told_in_time_after_any_failure(failure: str, seconds: float) -> None:
    """A call to discovery fails in one of several ways as an endpoint starts to drain.

    The change arrives in time all the same.
    """
    assert told_after([(failure, seconds)], changed_at=9) <= TOLD_WITHIN


@settings(max_examples=60)
@given(
    st.lists(st.tuples(st.sampled_from(FAILURES), st.floats(0.05, 2.6)), min_size=2, max_size=6),
    st.integers(0, 9),
)
def test_a_change_is_told_in_time_after_any_mix_of_failures(
    mix: list[tuple[str, float]], changed_at: int
) -> None:
    """Calls to discovery fail one after another in different ways.

    A change still arrives in time.
    """
    assert told_after(mix, changed_at) <= TOLD_WITHIN


@pytest.mark.parametrize("mode", ["late up", "slow"])
def test_an_agent_that_is_late_with_all_that_it_does_is_heard_in_time(mode: str) -> None:
    """Each of its connections comes up.

    Or each of its answers comes, after another call has been begun.
    """
    with pytest.MonkeyPatch.context() as patch:
        stage = Stage(hosts=2)
        agent = Agent(stage, patch)
        agent.turn_to("closes")
        agent.run(0.5)
        agent.turn_to(mode)
        agent.run(5.0)
        agent.change()
        assert agent.run(7.0, until=lambda: s1_is_dropped(stage)) <= TOLD_WITHIN
        agent.close()


def test_a_call_that_hangs_does_not_keep_a_later_slow_one_from_being_heard() -> None:
    """One slow call at a time is waited for.

    The first, which is never answered, must make room for it soon.
    """
    with pytest.MonkeyPatch.context() as patch:
        stage = Stage(hosts=2)
        agent = Agent(stage, patch)
        agent.turn_to("silent")
        agent.run(2.3)  # the watch is given up, and the next call hangs
        agent.change()
        agent.turn_to("slow")
        assert agent.run(7.0, until=lambda: s1_is_dropped(stage)) <= TOLD_WITHIN
        agent.close()


def test_a_failure_of_our_own_as_a_list_is_taken_in_costs_no_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The version is known by then, and the module has not been told.

    Only the whole list says it again.
    """
    stage = Stage(hosts=2)
    start_watch(stage)
    with monkeypatch.context() as patch:
        patch.setattr(stage.service.discovery_watch, "_on_change", lambda event: 1 / 0)
        stage.play("disco send table 6 s1:terminating")
    stage.play(f"wait 0.2\ndisco expect {GET}\ndisco send whole 6 s1:terminating s2:in_service")
    assert s1_is_dropped(stage)


def test_a_change_that_cannot_be_read_is_no_drain_missed() -> None:
    """A change holds an entry that cannot be read, which may be a drain.

    The whole list is asked for instead of skipping it.
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
def test_a_watch_that_dies_after_long_health_is_begun_anew(death: str) -> None:
    """Late: after 13 s and more of calls that each had their answer in time."""
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


# Clients that go


def test_what_waits_behind_answers_that_a_client_does_not_take_is_not_begun_once_it_has_gone() -> (
    None
):
    """Back pressure.

    The system takes no more of an answer while the limiter waits for the client's next command.
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


def test_an_attempt_does_not_begin_for_a_client_that_left_while_the_limiter_was_busy() -> None:
    """What is due by then comes before the next look at the sockets.

    And a connection to a host lies ready for it.
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
    stage.play(f"c send {ask(8)}")  # a connection to s2 that is warm
    stage.play(f"s2 expect {ask(8)}\ns2 send {VALUE}\nc expect $2\\r\\nhi\nwait 0.05")
    attempts = stage.service.stats.attempts
    stage._end("a").close()
    stage.now += 0.3
    stage.settle()
    assert stage.service.stats.attempts == attempts and stage.service.stats.dispatches == 2
    stage.play("s2 expect nothing")
    assert not stage.service.engine_driver.open_requests and stage.service.stats.clients_gone == 1


def test_a_connection_that_comes_up_at_a_busy_limiter_carries_nothing_for_a_client_that_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client leaves and the connection comes up between two looks at the sockets.

    The connection is seen first.
    """
    stage = Stage(hosts=1)

    def late(self: stream.Stream, address: tuple[str, int], until: float) -> CloseReason | None:
        self._task = self.scheduler.current()
        self.scheduler.wait(until=stage.now + 0.2)
        self._sock.setblocking(True)
        self._sock.connect(address)
        self._sock.setblocking(False)
        return None

    monkeypatch.setattr(stream.Stream, "connect", late)
    stage.play(f"a send {ask(1)}")
    assert stage.service.stats.attempts == 1 and stage.service.stats.opened == 0
    stage._end("a").close()
    stage.now += 0.35
    stage.settle()
    assert stage.service.stats.opened == 1 and stage.service.stats.dispatches == 0
    assert stage._end("s1").recv(99) == b"" and not stage.service.engine_driver.open_requests


@pytest.mark.parametrize("how", ["close", "half", "reset"])
@pytest.mark.parametrize("whole", [False, True])
def test_a_close_behind_a_part_of_a_command_is_seen(how: str, whole: bool) -> None:
    """A client that cancels in the middle of what it sends.

    Before it, perhaps, a request whose attempt waits.
    """
    stage = Stage(hosts=1)
    fillers = block_connects(stage)
    if whole:
        stage.play(f"a send {ask(1)}")
    words = stage.bytes_of(ask(2))
    for part in (words[:20], words[20:40]):
        stage._end("a").sendall(part)
        stage.play("wait 0.05")
    assert len(stage.service.engine_driver.open_requests) == whole and len(fillers) == 2
    disconnect(stage, "a", how)
    assert stage.service.stats.requests == whole == stage.service.stats.attempts
    assert not stage.service.engine_driver.open_requests and not stage.service.pool._connections
    assert not stage.service.frontend.sessions.sessions


LATER: dict[str, Callable[[Stage], None]] = {
    "an error": lambda stage: stage.play("s1 send -ERR failed"),
    "turned away": lambda stage: stage.play("s1 send -BUSY"),
    "a reset": lambda stage: disconnect(stage, "s1", "reset"),
    "no answer": lambda stage: stage.play("wait 3"),
}


@pytest.mark.parametrize("how", ["close", "half", "reset"])
@pytest.mark.parametrize("later", LATER)
def test_no_further_attempt_is_made_for_a_client_that_has_gone(how: str, later: str) -> None:
    """Its first attempt is out, and gives cause for another after the client has left."""
    stage = Stage(hosts=2)
    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service\na send {ask(1, 3000)}")
    stage.play(f"s1 expect {ask(1, 3000)}\ndisco send whole 3 s1:in_service s2:in_service")
    disconnect(stage, "a", how)
    LATER[later](stage)
    stage.play("wait 0.5")
    assert stage.service.stats.attempts == 1


def test_a_second_attempt_that_waits_for_its_connection_ends_with_its_client() -> None:
    """The first has failed while the client was there; its repeat's connection is not up yet."""
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


def test_of_two_attempts_out_at_once_the_one_that_has_not_left_never_does_once_the_client_has_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A hedge: one host has the request whole, the connection to the other is not up yet."""
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


def test_who_leaves_while_all_connections_to_hosts_are_taken_gets_no_attempt_once_one_is_free() -> (
    None
):
    """All connections to endpoints are taken, and a client that waits for one disconnects.

    It gets no attempt when one is free.
    """
    stage = Stage(hosts=2, sockets=0)  # room for six connections to hosts
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


# Descriptors that idle clients fill


@contextmanager
def no_descriptor_left() -> Iterator[None]:
    """Of this process, for real: whoever wants one has to end something."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = 1 + max(int(name) for name in os.listdir("/proc/self/fd"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    taken = list[int]()
    try:
        while True:
            try:
                taken.append(os.dup(0))
            except OSError:
                break
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for number in taken:
            os.close(number)


def idle_clients(stage: Stage, first: int, count: int) -> None:
    """They have said something once, and keep their connections."""
    for number in range(first, first + count):
        stage.play(f"i{number} send [SELECT 0]\ni{number} expect +OK")


def test_requests_and_discovery_get_descriptors_though_idle_clients_hold_all() -> None:
    """Idle clients hold every descriptor. Attempts and the watch on discovery still get one."""
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
    stage.listeners["disco"] = socket.create_server(address)  # it returns
    stage.listeners["disco"].setblocking(False)
    while stage.service.pool.close_longest_idle():  # what could be had without any client
        pass
    with no_descriptor_left():
        stage.play("wait 0.2")
    stage.play(f"disco expect {GET}\ndisco send whole 6 s1:terminating")
    assert s1_is_dropped(stage)


def test_a_descriptor_is_had_also_of_an_idle_client_that_breaks_its_connection_just_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Between the look at it and its end, so that there is nothing left to linger for."""
    stage = Stage(hosts=1)
    idle_clients(stage, 0, 1)
    whole = stream.Stream.is_open_and_quiet

    def alive(self: stream.Stream) -> bool:
        found = whole(self)
        if stage.ends["i0"]:
            stage._end("i0").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            stage.ends["i0"].pop().close()
        return found

    monkeypatch.setattr(stream.Stream, "is_open_and_quiet", alive)
    assert stage.service.frontend.free_descriptor()
    assert (
        not stage.service.frontend.sessions.sessions
        and not stage.service.frontend.sessions.lingering
    )


def test_clients_that_hold_half_a_command_each_take_no_more_than_the_clients_share() -> None:
    """None of them rests, so none of them may be ended to let in another.

    The others wait in the queue.
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
def test_a_limiter_is_ready_within_seconds_whatever_discovery_and_clients_do(
    mode: str, fill: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The page allows 10 s to be ready, also where discovery is ill and clients hold all places.

    Needed are READY_WITHOUT_DISCOVERY_AFTER_S and the time in which a command must come to its end.
    """
    stage = Stage(hosts=2, discovery_answered=False, sockets=0)
    agent = Agent(stage, monkeypatch)
    agent.turn_to(mode)
    if fill != "nobody":
        for number in range(30):
            stage._end(f"f{number}").sendall(FILLS[fill])
    front = socket.create_connection(stage.service.frontend.address)
    front.setblocking(False)
    front.sendall(stage.bytes_of("[PING]"))
    got = list[bytes]()

    def is_answered() -> bool:
        with suppress(BlockingIOError):
            got.append(front.recv(99))
        return bool(got)

    took = agent.run(30.0, until=is_answered)
    front.close()
    agent.close()
    rounds = 4 if fill == "clients with half a command" else 0  # 30 clients in nine places
    assert got == [b"+PONG\r\n"] and took <= 0.6 + rounds * (COMMAND_TIMEOUT_S + 0.3)


@pytest.mark.parametrize("seconds", [0.0, 0.1, 0.45, 0.55])
def test_what_came_before_an_early_sigterm_is_answered_also_without_a_list(seconds: float) -> None:
    """SIGTERM before the first list, before it is ready, or in the very turn in which it is."""
    stage = Stage(hosts=1, discovery_answered=False)
    stage.play(f"a send {ask(1, 2000)}\nb send [PING]\nwait {seconds}")
    stage.service.shutdown.begin()
    stage.play("wait 0.3\nwait 0.3")
    left = 1500
    stage.play(
        f"b expect +PONG\ns1 expect {ask(1, left)}\ns1 send {VALUE}\na expect "
        "$2\\r\\nhi\na close\nb close\nwait 1"
    )
    assert stage.scheduler._stopped


def test_a_sighup_before_the_first_list_moves_the_watch_and_delays_no_readiness() -> None:
    """SIGHUP moves discovery before its first list has come.

    The watch asks the new one, and readiness is not put off.
    """
    stage = Stage(hosts=2, discovery_answered=False)
    stage.play(
        f"a send [PING]\nb send {ask(1)}\nwait 0.2\ndisco2 reload\na expect nothing\nwait 0.1"
    )
    stage.play(
        f"disco2 expect {GET}\ndisco2 send whole 2 s1:terminating s2:in_service\na expect +PONG"
    )
    stage.play(f"s2 expect {ask(1, 700)}")


def test_a_reload_that_fails_in_an_odd_way_loses_no_sigterm_that_came_with_it() -> None:
    """A reload raises an error that nobody foresaw, and a SIGTERM came in the same read.

    The shutdown still begins.
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


# Whole lists that leave out what drains


def test_a_host_that_a_whole_list_leaves_out_is_gone_though_it_still_answers() -> None:
    """A whole list does not name an endpoint any more.

    It gets nothing new, while its requests in flight go on.
    """
    stage = Stage(hosts=2)
    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service")
    stage.play(f"a send {ask(1)}\ns1.1 expect {ask(1)}\nb send {ask(2)}\ns1.2 expect {ask(2)}")
    stage.play(f"disco send whole 3 s2:in_service\ns1.1 send {VALUE}\na expect $2\\r\\nhi")
    stage.play("s1.1 expect closed\ns1.2 expect nothing")  # the other goes on
    stage.play("s1.2 send -ERR failed")  # and its repeat goes elsewhere
    stage.play(f"s2.1 expect {ask(2)}\ns2 send {VALUE}\nb expect $2\\r\\nhi\nwait 0.05")
    stage.play(f"c send {ask(3)}\ns2.1 expect {ask(3)}")
    assert stage.service.stats.outcomes["ok"] == 2 and set(stage.service.pool._endpoints) == {"s2"}


def test_an_attempt_that_has_not_left_for_a_host_that_a_whole_list_leaves_out_goes_to_another() -> (
    None
):
    """A whole list leaves out an endpoint while an attempt to it waits for its connection.

    The attempt goes to another.
    """
    stage = Stage(hosts=2)
    fillers = block_connects(stage, "s1")
    stage.play(f"disco expect {GET}\ndisco send whole 2 s1:in_service\na send {DO.format(1)}")
    assert len(stage.service.pool._connections) == 1 and len(fillers) == 2
    stage.play(f"disco send whole 3 s2:in_service\ns2 expect {DO.format(1)}")


def test_a_host_that_was_left_out_and_is_named_again_serves_again() -> None:
    """An endpoint vanishes from one list and is back in the next. It serves again."""
    stage = Stage(hosts=1)
    stage.play(
        f"disco expect {GET}\ndisco send whole 2 s1:in_service\ndisco expect {WATCH.format(2)}"
    )
    stage.play(
        f"disco send whole 3\ndisco expect {WATCH.format(3)}\na send {ask(1)}\na expect -BUSY 250"
    )
    stage.play(f"disco send whole 4 s1:in_service\na send {ask(2)}\ns1 expect {ask(2)}")


def test_half_a_request_keeps_no_other_from_its_answer_and_is_whole_in_any_pieces() -> None:
    """A byte at a time, as slow clients write, beside one that is served meanwhile."""
    stage = Stage(hosts=1, settings=replace(SETTINGS, hedging=True))
    words = stage.bytes_of(DO.format(1))
    for number in range(len(words)):
        stage._end("a").sendall(words[number : number + 1])
        stage.settle(2)
        if number == len(words) // 2:
            stage.play(
                f"b send {ask(2)}\ns1.1 expect {ask(2)}\ns1 send {VALUE}\nb expect "
                "$2\\r\\nhi\nwait 0.05"
            )
    stage.play(f"s1 expect {DO.format(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi")
