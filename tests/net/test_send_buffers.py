"""Room in send buffers: for answers that wait for it, and for the largest request.

The operating system may take a full send buffer in one call. No poll event follows, so a session
that waits for room can only be woken by the call that sent the bytes.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from dataclasses import replace

import pytest

from hazelhollow.net import resp
from hazelhollow.net.scheduler import WOKEN, Scheduler
from hazelhollow.net.session import MAX_UNSENT_BYTES, Session
from hazelhollow.net.stream import Stream
from tests.net.scenario import BUY, SETTINGS, Stage
from tests.net.test_scenarios import DO, ask
from tests.net.test_scenarios import VALUE as ANSWER

SOCKET_BUFFER_BYTES = 1 << 20  # so that the system takes a full send buffer in one call
VALUE = b"v" * 45_000  # six of these answers do not fit into the send buffer
ANSWER_BYTES = len(b"$45000\r\n%b\r\n" % VALUE)


def stage_with_requests(count: int) -> tuple[Stage, socket.socket, Session]:
    """Returns a limiter, and a client with its session that has sent `count` requests at once."""
    stage = Stage(hosts=4)
    client = stage._end("a")
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    stage.settle()
    (session,) = stage.service.frontend.sessions.sessions
    session._stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    client.sendall(b"".join(stage.bytes_of(ask(number)) for number in range(count)))
    stage.settle()
    assert len(session.slots) == count
    return stage, client, session


def received_bytes(stage: Stage, client: socket.socket) -> int:
    """Returns how many bytes arrive without any further step of the client."""
    count = 0
    for _ in range(300):
        stage.settle(1)
        try:
            count += len(client.recv(1 << 20))
        except BlockingIOError:
            continue
    return count


def test_answers_beyond_the_send_buffer_follow_without_further_input() -> None:
    """Guards against answers that stay in the session: the first of 16 requests is answered last.

    The client received five of the answers, and the others only after its next command.
    """
    stage, client, session = stage_with_requests(16)
    for slot in reversed(list(session.slots)):
        slot.send_value(VALUE)
    assert received_bytes(stage, client) == 16 * ANSWER_BYTES
    assert not session.slots


def test_commands_are_read_again_once_unsent_answers_were_sent() -> None:
    """Guards against a connection that is never read again, with nothing left to send.

    The session stopped reading since its send buffer was over half full, and emptied it itself
    right after, before it waited.
    """
    stage, client, session = stage_with_requests(4)
    slots = list(session.slots)

    def answer_all() -> None:
        for slot in slots:
            slot.send_value(VALUE)

    stage.scheduler.spawn(answer_all)
    session._stream.wake()  # it runs after that task, in the same turn
    assert received_bytes(stage, client) == 4 * ANSWER_BYTES
    client.sendall(stage.bytes_of("[PING]"))
    stage.play("a expect +PONG")


def test_command_whose_rest_is_not_read_here_does_not_time_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client that is told to be too slow while the session does not read.

    The client does not read its answers for three seconds, and has sent a whole command meanwhile.
    """
    stage, client, session = stage_with_requests(4)
    last = stage.bytes_of("[PING]")
    client.sendall(last[:5])
    stage.settle()
    monkeypatch.setattr(Stream, "flush", lambda stream: None)  # the system takes no bytes
    for slot in list(session.slots):
        slot.send_value(VALUE)
    client.sendall(last[5:8])  # after these bytes the session stops reading
    stage.settle()
    client.sendall(last[8:])
    stage.play("wait 3.0")
    monkeypatch.undo()
    assert received_bytes(stage, client) == 4 * ANSWER_BYTES + len(b"+PONG\r\n")
    assert not stage.service.stats.malformed


def test_answer_larger_than_the_send_buffer_is_sent_in_pieces() -> None:
    """Guards against an answer that waits for more room than there can be: INFO with many classes.

    It was never written, and neither was any answer behind it.
    """
    stage = Stage(hosts=1)
    for number in range(8_000):
        stage.service.stats.reply(f"class-{number}", "success")
    stage.play("a send [INFO]\na send [PING]")
    answer = b"$%d\r\n%b\r\n+PONG\r\n"
    expected = stage.service.stats.to_json().encode()
    assert len(expected) > MAX_UNSENT_BYTES
    assert received_bytes(stage, stage._end("a")) == len(answer % (len(expected), expected))


@pytest.mark.parametrize("spare_bytes", [100, 43, 1, 0])
def test_largest_request_fits_the_send_buffer_to_an_endpoint(spare_bytes: int) -> None:
    """Guards against a request that is accepted and fits no send buffer: the headers count too.

    Its connection was never freed, and the client got an error at the deadline. No field can be
    made long by unknown names, so that the class's name fills the request up to the parser's limit.
    """
    fixed = DO.format(1).replace("c=buy", "c=").replace("BODY", "").strip("[]").split()
    used = sum(map(len, fixed)) + resp.MAX_STRING_BYTES
    name = "b" * (resp.MAX_VALUE_BYTES - used - spare_bytes)
    stage = Stage(hosts=1, settings=replace(SETTINGS, classes=(replace(BUY, name=name),)))
    words = [word.encode() for word in fixed] + [b"B" * resp.MAX_STRING_BYTES]
    words[3] = words[3].replace(b"c=", b"c=" + name.encode())
    client = stage._end("a")
    client.sendall(resp.encode_command(words))
    stage.settle()
    expected, endpoint, received = len(resp.encode_command(words)), stage._end("s1"), 0
    for _ in range(300):
        stage.settle(1)
        with suppress(BlockingIOError):
            received += len(endpoint.recv(1 << 20))
    assert received == expected
    stage.play(f"s1 send {ANSWER}\na expect $2\\r\\nhi")


@pytest.mark.parametrize("refused_in", ["the task", "another task"])
@pytest.mark.parametrize("flushed_by", ["end of turn", "direct call"])
def test_task_that_was_refused_room_is_woken_by_any_flush(refused_in: str, flushed_by: str) -> None:
    """Guards against a wake-up that no path owns: each way of sending has to announce the room."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    scheduler, results = Scheduler(lambda: 0.0), list[int]()
    stream = Stream(scheduler, accepted, MAX_UNSENT_BYTES)

    def be_refused() -> None:
        stream.write(b"x" * 1000)
        assert not stream.has_room(MAX_UNSENT_BYTES)
        if flushed_by == "direct call":
            stream.flush()

    def run() -> None:
        if refused_in == "the task":
            be_refused()
        results.append(stream.wait(None, 0))

    with client, accepted:
        scheduler.spawn(run)
        if refused_in == "another task":
            scheduler.turn(longest=0.0)
            be_refused()
        scheduler.turn(longest=0.0)
        assert results == [WOKEN]
