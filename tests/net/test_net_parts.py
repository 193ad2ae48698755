"""The parts of the network code without sockets: parsers, buffers, event loop, configuration."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow import platform_config
from hazelhollow.net import http1, resp
from hazelhollow.net.close_reason import CloseReason, attempt_status
from hazelhollow.net.errors import ProtocolError, RingBufferFullError
from hazelhollow.net.gc_pauses import MIDDLE_THRESHOLD, YOUNG_THRESHOLD
from hazelhollow.net.ring_buffer import RingBuffer
from hazelhollow.net.scheduler import Clock, Scheduler


def test_collector_passes_visit_only_young_objects() -> None:
    """Records how many objects each collector pass visits while long-lived objects are created.

    It runs in a separate process, as the collector's settings apply to the whole process.
    """
    script = """
import gc
from hazelhollow.net.gc_pauses import shorten_collector_pauses
shorten_collector_pauses()
looked_at = []
def note(phase, found):
    if phase == "start":
        looked_at.append(sum(len(gc.get_objects(n)) for n in range(found["generation"] + 1)))
gc.callbacks.append(note)
kept = [[[number]] for number in range(200_000)]
print(len(looked_at), max(looked_at))
"""
    run = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    passes, most = map(int, run.stdout.split())
    assert passes > 100 and most < 2 * YOUNG_THRESHOLD * (MIDDLE_THRESHOLD + 1)


class ReadablePoller:
    """A poll object that always finds readable descriptors, `late` seconds after the timeout."""

    def __init__(self) -> None:
        self.now, self.late = 1000.0, 0.0

    def register(self, fd: int, events: int) -> None: ...
    def unregister(self, fd: int) -> None: ...
    def poll(self, timeout: float) -> list[tuple[int, int]]:
        self.now += timeout / 1000 + self.late
        return [(7, 1), (8, 1)]


@pytest.mark.parametrize("stopped_in", ["poll", "timer", "another task", "the end of a turn"])
def test_process_pause_is_reported_before_anything_is_read(
    stopped_in: str,
) -> None:
    """The process is paused in the middle of a turn.

    Code that detects silence by the clock must be notified before data that arrived meanwhile is
    read.
    """
    poller, seen = ReadablePoller(), list[str]()
    event_loop = Scheduler(lambda: poller.now, poller)
    event_loop.on_process_pause = lambda: seen.append("process pause")

    def pause() -> None:
        poller.now += 3.0

    def pauses_once() -> None:
        event_loop.wait(7, 1)
        if stopped_in == "another task":
            pause()

    def reads() -> None:
        while True:
            event_loop.wait(8, 1)
            seen.append("read")

    event_loop.spawn(pauses_once)
    event_loop.spawn(reads)
    if stopped_in == "poll":
        poller.late = 3.0
    elif stopped_in == "timer":
        event_loop.at(poller.now, pause)
    elif stopped_in == "the end of a turn":
        event_loop.at_end_of_turn(pause)
    event_loop.turn()
    assert seen == ["process pause", "read"]
    poller.late = 0.0
    event_loop.turn()
    assert seen == ["process pause", "read", "read"]


STREAM = (
    b"*3\r\n$5\r\nva\r\nl\r\n$-1\r\n$0\r\n\r\n+OK\r\n-ERR failed "
    b"a=1\r\n*-1\r\n*0\r\n:-12\r\n*1\r\n*1\r\n$1\r\nx\r\n"
)
VALUES = [[b"va\r\nl", None, b""], b"OK", b"ERR failed a=1", None, [], -12, [[b"x"]]]


def values(parts: list[bytes]) -> list[resp.Value]:
    parser, got = resp.Parser(), []
    for part in parts:
        parser.feed(part)
        while not isinstance(value := parser.next(), resp.NeedMoreData):
            got.append(value)
    return got


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_resp_split_at_any_byte_gives_the_same_values(cuts: list[int]) -> None:
    edges = [0, *sorted(cuts), len(STREAM)]
    assert values([STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]) == VALUES


def test_resp_in_single_bytes_and_with_the_largest_value_is_parsed() -> None:
    assert values([STREAM[i : i + 1] for i in range(len(STREAM))]) == VALUES
    large = b"\r\n" * (resp.MAX_STRING_BYTES // 2)
    assert values([resp.encode_bulk_string(large)[:7], resp.encode_bulk_string(large)[7:]]) == [
        large
    ]


def test_malformed_resp_number_is_none_and_other_values_are_kept() -> None:
    """An answer contains a malformed number; the value next to it must still reach its client."""
    assert values([b"*2\r\n$1\r\nx\r\n:1.5\r\n:--1\r\n:7\r\n"]) == [[b"x", None], None, 7]


@pytest.mark.parametrize(
    "junk",
    [
        b"x\r\n",
        b"\r\n",
        b"$-2\r\n",
        b"$65537\r\n",
        b"$1\r\nabc",
        b"*65\r\n",
        b"*1\r\n" * 5,
        b"$\r\n",
        b"+" + b"a" * 5000,
        b"$ 1\r\n",
        b"$--1\r\n",
        b"*1000000000\r\n",
        b"*2\r\n" + resp.encode_bulk_string(b"x" * 65000) * 2,
    ],
)
def test_malformed_or_too_large_resp_raises_protocol_error(junk: bytes) -> None:
    """The other side sends bytes that are not RESP, or more than the limits allow.

    The parser must raise an error and not guess a value.
    """
    with pytest.raises(ProtocolError):
        values([junk])


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_nothing_but_protocol_error(junk: bytes) -> None:
    """Any other exception would escape the handling of malformed input."""
    http = http1.Parser()
    http.feed(junk)
    for read in (lambda: values([junk]), http.next):
        try:
            read()
        except ProtocolError:
            continue


@given(st.lists(st.tuples(st.binary(max_size=3000), st.integers(0, 3000))))
def test_ring_buffer_returns_written_bytes_in_order(steps: list[tuple[bytes, int]]) -> None:
    ring, model = RingBuffer(8192), b""
    for data, count in steps:
        if len(data) > ring.room():
            with pytest.raises(RingBufferFullError):
                ring.write(data)
        else:
            ring.write(data)
            model += data
        assert ring.find(b"\0") == model.find(b"\0") and model.startswith(bytes(ring.peek()))
        count = min(count, len(model))
        assert ring.consume(count) == model[:count]
        model = model[count:]
        assert len(ring) == len(model)


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_http_responses_with_length_and_in_chunks_are_parsed(step: int) -> None:
    stream = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\nConnection: "
        b"close\r\n\r\n3;x\r\nabc\r\n1\r\nd\r\n0\r\nA: b\r\n\r\n"
    )
    parser, got = http1.Parser(), []
    for at in range(0, len(stream), step):
        parser.feed(stream[at : at + step])
        while answer := parser.next():
            got.append((answer.status, answer.body, answer.keep_alive))
    assert got == [(200, b"{}", True), (503, b"abcd", False)]


@pytest.mark.parametrize(
    ("head", "keeps"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nConnection: Keep-Alive\r\n\r\n", True),
    ],
)
def test_http_keep_alive_follows_version_and_connection_header(head: bytes, keeps: bool) -> None:
    """A connection that the server closes after its response must not be reused."""
    parser = http1.Parser()
    parser.feed(head + b"{}")
    answer = parser.next()
    assert answer and (answer.body, answer.keep_alive) == (b"{}", keeps)


def test_http_response_without_length_is_complete_only_at_the_end() -> None:
    """A body without a length is complete when the connection ends.

    A part of a response must never be treated as a complete one.
    """
    parser = http1.Parser()
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\n{}")
    assert parser.next() is None
    answer = parser.end()
    assert answer and (answer.status, answer.body, answer.keep_alive) == (200, b"{}", False)
    for part in (
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}",
    ):
        parser = http1.Parser()
        parser.feed(part)
        assert parser.next() is None and parser.end() is None


def test_status_of_a_completely_sent_request_never_denies_execution() -> None:
    """Every close reason has a status.

    Once the complete request was sent, it may have run, and no status may say that it did not.
    """
    not_run = {"connect_failed", "full", "never_sent"}
    assert all(attempt_status(reason, sent_all=True) not in not_run for reason in CloseReason)
    assert all(
        attempt_status(reason, sent_all=False) == "connect_failed"
        for reason in CloseReason
        if reason not in (CloseReason.CANCELLED, CloseReason.WITHHELD)
    )
    assert attempt_status(CloseReason.WITHHELD, sent_all=False) == "never_sent"
    assert (
        attempt_status(CloseReason.CLOSED, sent_all=False) == "connect_failed"
        and attempt_status(CloseReason.CLOSED, True) == "reset"
    )


def test_clock_never_goes_back_if_the_wall_clock_is_set_back() -> None:
    """The wall clock is set back while the limiter runs; the engine must not see time go back."""
    wall, steady = iter([5000.0, 10.0]), iter([7.0, 7.5, 8.0])
    clock = Clock(lambda: next(wall), lambda: next(steady))
    assert [clock(), clock()] == [5000.5, 5001.0]  # although the wall clock was set back


def test_timers_run_in_order_and_an_error_ends_only_its_task() -> None:
    """One task raises an exception; timers and other tasks must still run, in order of time."""
    now, seen = [0.0], [""]
    scheduler = Scheduler(lambda: now[0])
    scheduler.at(2.0, seen.append, "second")
    scheduler.at(1.0, seen.append, "first")
    scheduler.at(1.5, seen.append, "never").cancel()
    scheduler.spawn(lambda: 1 / 0, name="broken")

    def sleeper() -> None:
        scheduler.sleep(1.7)
        seen.append("task")

    scheduler.spawn(sleeper)
    for now[0] in (0.0, 1.0, 1.7, 2.0):
        scheduler.turn(longest=0.0)
        scheduler.turn(longest=0.0)
    assert seen[1:] == ["first", "task", "second"]


GOOD = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "ff",
    "settings": {
        "position": 0,
        "balancers": 1,
        "grades": [{"name": "a", "objective": 1, "deadline": 2, "effect": "pure"}],
        "tariffs": [],
        "policy_limits": {"conn_idle": 12.0},
    },
    "peers": ["127.0.0.1:3"],
    "limits": {"sockets": 99},
}


@pytest.mark.parametrize(
    "change, word",
    [
        ({"listen": "nowhere"}, "nowhere"),
        ({"settings": {}}, "position"),
        ({"seed": "xyz"}, "xyz"),
        ({"peers": [1]}, "peers"),
        ({"known": {"index": 1}}, "routing table"),
        ({"limits": {"sockets": "many"}}, "sockets"),
        (None, "No such file"),
    ],
)
def test_invalid_configuration_exits_with_a_one_line_message(
    tmp_path: Path, change: object, word: str
) -> None:
    """The configuration is invalid.

    The program must exit with status 2 and one line with the reason, not a traceback.
    """
    path = tmp_path / "config.json"
    if isinstance(change, dict):
        path.write_bytes(orjson.dumps({**GOOD, **change}))
    command = [sys.executable, "-m", "hazelhollow", "check-config"]
    run = subprocess.run(
        command, env={"RELAY_CONFIG": str(path)}, text=True, capture_output=True, timeout=60
    )
    assert run.returncode == 2 and len(run.stderr.splitlines()) == 1 and word in run.stderr


def test_environment_variables_override_the_configuration_at_start(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(GOOD))
    loaded = platform_config.load({"RELAY_CONFIG": str(path), "RELAY_LISTEN": "127.0.0.9:7"})
    assert (loaded.listen, loaded.seed, loaded.conn_idle, loaded.sockets) == (
        ("127.0.0.9", 7),
        255,
        12.0,
        99,
    )
    assert loaded.peers == (("127.0.0.1", 3),) and loaded.settings.limiter_count == 1
    variables = {"RELAY_CONFIG": str(path), "RELAY_DISCOVERY": "127.0.0.1:9"}
    assert platform_config.load(variables).discovery == ("127.0.0.1", 9)
    assert platform_config.load(variables, is_reload=True).discovery == (
        "127.0.0.1",
        2,
    )  # at a reload the file is newer than the variables


def test_program_serves_until_sigterm_and_prints_its_counters(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps({**GOOD, "listen": "127.0.0.1:0"}))
    command = [sys.executable, "-m", "hazelhollow", "serve"]
    with subprocess.Popen(
        command, env={"RELAY_CONFIG": str(path)}, text=True, stderr=subprocess.PIPE
    ) as program:
        assert program.stderr
        line = next(line for line in program.stderr if "listens at" in line)
        with socket.create_connection(
            ("127.0.0.1", int(line.rpartition(":")[2])), timeout=30
        ) as client:
            client.sendall(resp.encode_command([b"PING"]))
            assert client.recv(99) == b"+PONG\r\n"  # although discovery does not answer
            program.send_signal(signal.SIGUSR1)
            program.send_signal(signal.SIGHUP)
            assert any("discovery at 127.0.0.1:2" in line for line in program.stderr)
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            assert any("stays as it was" in line for line in program.stderr)
            program.send_signal(signal.SIGUSR1)
            program.send_signal(signal.SIGTERM)
            client.sendall(resp.encode_command([b"SELECT", b"0"]))
            assert client.recv(99) == b"+OK\r\n"
            assert client.recv(99) == b""
        assert program.wait(30) == 0
        # at the second SIGUSR1 and at the end
        assert program.stderr.read().count('"accepted":1') == 2


def test_serving_without_operator_file_imports_no_operator_modules() -> None:
    """Features that are switched off must not be imported.

    The libraries for the operator file would cost each limiter some 10 MB.
    """
    code = "import sys, hazelhollow.cli, hazelhollow.net.service; print(*sys.modules)"
    names = subprocess.run(
        [sys.executable, "-c", code], text=True, capture_output=True, timeout=60
    ).stdout.split()
    operator_modules = (
        "lark",
        "msgspec",
        "structlog",
        "hiredis",
        "lupa",
        "ssl",
        "hazelhollow.operator",
        "hazelhollow.shared_store",
        "hazelhollow.standins",
    )
    assert "hazelhollow.decisions.engine" in names and not [
        n for n in names if n.startswith(operator_modules)
    ]
