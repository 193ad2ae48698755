"""Clients whose close stands behind input that is not read: no attempt begins for them.

The failure (issue 61, case 10): a client sent a request and much behind it, and closed. At 64
commands in progress nothing more was read, so the close was never seen, and the request was
attempted again 0.3 s later.
"""

from __future__ import annotations

import socket
from contextlib import suppress

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.net.client_memory import REQUEST_BYTES, ClientMemory
from hazelhollow.net.client_presence import (
    CLIENT_SEEN_FOR_S,
    MAX_UNREAD_BEFORE_CLOSE_BYTES,
    is_close_visible,
    is_recent,
)
from hazelhollow.net.connection_pool import MAX_WITHHELD_S
from hazelhollow.net.pooled_connection import PooledConnection
from hazelhollow.net.stream import Stream
from tests.net.scenario import Stage
from tests.net.test_client_memory import fill
from tests.net.test_scenarios import DO, VALUE, ask

MAX_RETRIES = 2
MANY = 150  # requests, more than are in progress at a time
BODY_BYTES = 30_000
KEPT_WAITING = 1000  # requests from this number on get no attempt


class RetryingEngine:
    """Attempts each request at s1 and, after each end without an answer, at s2."""

    def __init__(self, stage: Stage) -> None:
        self.ended: list[tuple[str, int, str]] = []
        stage.service.engine_driver._decisions.handle = self.handle  # type: ignore[method-assign]

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        if isinstance(event, api.RequestArrived) and int(event.id[1:]) < KEPT_WAITING:
            return [api.StartAttempt(event.id, "s1")]
        if isinstance(event, api.AttemptEnded):
            self.ended.append((event.id, event.attempt, event.status))
            if not event.final and sum(one[0] == event.id for one in self.ended) <= MAX_RETRIES:
                return [api.StartAttempt(event.id, "s2")]
        return []


def send_much(stage: Stage, client: socket.socket, count: int = MANY) -> bytes:
    """Sends requests until the system takes no more; returns the bytes that were not sent."""
    command = DO.replace("BODY", "B" * BODY_BYTES)
    data = b"".join(
        stage.bytes_of(command.format(KEPT_WAITING + number)) for number in range(count)
    )
    return send_some(client, data)


def send_some(client: socket.socket, data: bytes) -> bytes:
    """Sends until the system takes no more; returns the rest."""
    with suppress(BlockingIOError):
        while data:
            data = data[client.send(data) :]
    return data


def has_request(connection: PooledConnection) -> bool:
    return connection.endpoint.name == "s2" and connection.has_sent_any()


def begin(stage: Stage, is_read: bool) -> RetryingEngine:
    """A request is in flight at s1, and much stands behind it, which is read or is not."""
    engine = RetryingEngine(stage)
    stage.play(f"a send {ask(1, 2900)}\ns1 expect {ask(1, 2900)}")
    if not is_read:
        fill(stage, 1.0)
    rest = send_much(stage, stage._end("a"))
    for _ in range(20):
        stage.settle()
        rest = send_some(stage._end("a"), rest)
    assert len(rest) < (MANY - 5) * BODY_BYTES  # far more was sent than may be unread
    return engine


FAILURES = {"error": "s1 send -ERR failed", "turned away": "s1 send -BUSY", "end": "s1 close"}


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("is_read", [True, False])
def test_no_attempt_begins_for_a_client_that_closed_behind_much_input(
    is_read: bool, failure: str
) -> None:
    """Guards against attempts for clients that have left; without room their input stays unread."""
    stage = Stage(hosts=2)
    engine = begin(stage, is_read)
    stage.play(f"wait 0.05\na close\nwait 0.3\n{FAILURES[failure]}\nwait 0.4")
    assert not any(has_request(one) for one in stage.service.pool._connections)
    assert stage.service.stats.dispatches == 1
    assert [status for _, _, status in engine.ended[1:]] == ([] if is_read else ["never_sent"] * 2)


def test_client_that_left_while_it_waited_to_be_accepted_has_no_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection whose first bytes count as new when it is accepted.

    Found by the soak, seed 70043: an upgrade, and a client that sent much and left.
    """
    stage = Stage(hosts=1)
    RetryingEngine(stage)
    monkeypatch.setattr(Stream, "seconds_since_last_input", lambda self: 0.4)
    client = socket.create_connection(stage.service.frontend.address)
    client.setblocking(False)
    rest = send_some(client, stage.bytes_of(ask(1, 2900)))
    assert not rest and len(send_much(stage, client)) < (MANY - 5) * BODY_BYTES
    client.close()
    stage.settle()
    assert stage.service.stats.accepted == 1 and not stage.service.stats.attempts


def test_attempt_that_was_withheld_keeps_its_number() -> None:
    """Guards against a later attempt that the engine and the network give different numbers."""
    stage = Stage(hosts=2)
    engine = begin(stage, is_read=False)
    stage.play(f"wait 0.2\ns1 send -ERR failed\nwait {2 * MAX_WITHHELD_S + 0.2}")
    assert [(number, status) for _, number, status in engine.ended] == [
        (0, "error"),
        (1, "never_sent"),
        (2, "never_sent"),
    ]
    assert stage.service.stats.endings and stage.service.stats.withheld > 2


def test_attempt_that_cannot_start_any_more_keeps_its_number() -> None:
    stage = Stage(hosts=2)
    engine = RetryingEngine(stage)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    opened = stage.service.engine_driver.open_requests["r1"]
    opened.deadline = stage.now
    stage.play("s1 send -ERR failed")
    assert [number for _, number, _ in engine.ended] == [0, 1, 2]
    assert [status for _, _, status in engine.ended] == ["error", "never_sent", "never_sent"]


def test_client_whose_input_was_read_has_its_request_attempted_again() -> None:
    """Guards against a sound client that sends much and loses its retries."""
    stage = Stage(hosts=2)
    begin(stage, is_read=True)
    stage.play("wait 0.1\ns1 send -ERR failed")
    stage.play(f"s2 expect {ask(1, 2800)}\ns2 send {VALUE}\na expect $2\\r\\nhi")


def test_little_unread_input_hides_no_close() -> None:
    """Guards against a client that loses its retries while a few of its commands wait unread."""
    stage = Stage(hosts=2)
    RetryingEngine(stage)
    stage.play(f"a send {ask(1, 2900)}\ns1 expect {ask(1, 2900)}")
    fill(stage, 1.0)
    stage._end("a").sendall(stage.bytes_of(ask(KEPT_WAITING)) * 9)
    stage.play("wait 0.2\ns1 send -ERR failed")
    stage.play(f"s2 expect {ask(1, 2700)}\ns2 send {VALUE}\na expect $2\\r\\nhi")


@pytest.mark.parametrize("is_answered", [True, False])
def test_client_that_was_just_answered_counts_as_connected(is_answered: bool) -> None:
    """What it is sent would be reset if it had closed; an older answer tells nothing."""
    stage = Stage(hosts=2)
    RetryingEngine(stage)
    stage.play(f"a send {ask(1, 2900)}\ns1 expect {ask(1, 2900)}")
    stage.play(f"a send {ask(2, 2900)}\ns1.2 expect {ask(2, 2900)}")
    fill(stage, 1.0)
    send_much(stage, stage._end("a"))
    stage.play("wait 0.2")
    stage.play(f"s1.1 send {VALUE}\na expect $2\\r\\nhi")
    if not is_answered:
        stage.play(f"wait {CLIENT_SEEN_FOR_S + 0.05}")
    dispatched = stage.service.stats.dispatches
    stage.play("s1.2 send -ERR failed")
    stage.settle()
    assert bool(stage.service.pool._connections) and dispatched == 1
    if is_answered:
        stage.play(f"s2 expect {ask(2, 2700)}")
    else:
        stage.play("wait 0.3")
        assert stage.service.stats.dispatches == dispatched + 1  # the failed attempt


def test_request_waits_for_its_connection_until_its_client_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The wait ends with the knowledge, and the endpoint is told the time that is left then."""
    stage = Stage(hosts=2)
    begin(stage, is_read=True)
    stage.play("wait 0.1")
    (session,) = stage.service.frontend.sessions.sessions
    monkeypatch.setattr(type(session), "shows_disconnect", lambda self: False)
    known = [False]
    monkeypatch.setattr(type(session), "is_client_known", lambda self, margin=0.0: known[0])
    stage.play("s1 send -ERR failed\nwait 0.05\ns2 expect nothing")
    known[0] = True
    stage.play(f"wait 0.05\ns2 expect {ask(1, 2700)}")


def test_queued_request_waits_until_its_client_is_known_or_its_deadline() -> None:
    """Guards against first attempts for a client that has left behind what it sent."""
    stage = Stage(hosts=2)
    RetryingEngine(stage)
    stage.play("a expect nothing")
    (session,) = stage.service.frontend.sessions.sessions
    is_known = [False]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(type(session), "is_client_known", lambda self, margin=0.0: is_known[0])
        stage.play(f"a send {ask(1)}\nwait 0.3")
        assert stage.service.stats.requests == 0
        is_known[0] = True
        stage.play(f"wait 0.05\ns1 expect {ask(1, 650)}")
        is_known[0] = False
        stage.play(f"a send {ask(2)}\nwait 1.2")
        assert stage.service.stats.requests == 2 and stage.service.stats.attempts == 1


def test_input_is_read_ahead_up_to_its_share_of_the_memory() -> None:
    """Guards against a client that sends without end, and fills the memory of all."""
    stage = Stage(hosts=1, memory_mb=64)
    RetryingEngine(stage)
    memory, client = stage.service.frontend.memory, stage._end("a")
    rest = send_much(stage, client, 800)
    for _ in range(50):
        stage.settle()
        rest = send_some(client, rest)
    assert rest
    share = memory._max_pipelined_bytes // 2
    assert share - REQUEST_BYTES < memory.queued_bytes < share + REQUEST_BYTES
    assert memory.has_room(is_pipelined=True)


def test_commands_read_ahead_leave_room_for_what_is_executed() -> None:
    memory = ClientMemory(10 * REQUEST_BYTES, 4 * REQUEST_BYTES, lambda call: None)
    memory.add_queued(2 * REQUEST_BYTES)
    assert not memory.has_room_to_read_ahead() and memory.has_room(is_pipelined=True)
    memory.add(4 * REQUEST_BYTES)
    assert not memory.has_room(is_pipelined=True) and memory.has_room(is_pipelined=False)
    memory.add_queued(-1)
    assert memory.has_room_to_read_ahead()
    memory.add(4 * REQUEST_BYTES)
    assert not memory.has_room_to_read_ahead()  # not into the last of the memory


def test_evidence_of_a_client_grows_old() -> None:
    assert is_recent(10.0, 10.0 + CLIENT_SEEN_FOR_S / 2)
    assert not is_recent(10.0, 10.0 + CLIENT_SEEN_FOR_S / 2, margin=CLIENT_SEEN_FOR_S)
    assert not is_recent(10.0, 10.1)
    assert is_close_visible(0) and not is_close_visible(MAX_UNREAD_BEFORE_CLOSE_BYTES + 1)
