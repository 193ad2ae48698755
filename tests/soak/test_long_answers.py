"""Long and slow answers of endpoints, through real processes."""

from __future__ import annotations

import random
from functools import partial

import pytest

from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.rig import Rig, RigOptions
from hazelhollow.soak.wire import Kind, encode
from hazelhollow.standins.answer_script import (
    AnswerScript,
    End,
    Pause,
    Step,
    Write,
    answer,
    in_pieces,
)
from tests.soak.helpers import new_id, request

CLASS_NAMES = ("look", "buy", "pay")


def value_of(size: int) -> bytes:
    return random.Random(size).randbytes(size)


def written(steps: list[Step], _arguments: list[bytes]) -> AnswerScript:
    return steps


def received(client: RawClient, timeout: float = 10.0) -> bytes | None:
    found = client.answer(timeout)
    return found.text if found and found.kind is Kind.VALUE else None


def test_long_answer_cut_off_at_its_head_after_the_work_was_done() -> None:
    """Each answer of 70 KB to 4 MiB arrives whole, after one attempt."""
    sizes = [65_536, 65_537, 70_000, 155_502, 1_623_779, 4 << 20]
    results = {}
    with Rig() as rig:

        def scenario() -> None:
            rig.start()
            for number, size in enumerate(sizes):
                value, request_id = value_of(size), new_id()
                whole_answer = answer(value, b"used=1", b"inflight=1,queue=0,util=0.1")
                rig.script = partial(written, in_pieces(whole_answer, 4, 0.05))
                client = rig.connect()
                client.send(request(CLASS_NAMES[number % 3], request_id))
                whole = received(client) == value
                runs = [run for run in rig.executions if run.id == request_id]
                results[size] = (whole, len(runs))
                client.close()

        rig.run(scenario)
    assert results == dict.fromkeys(sizes, (True, 1))


@pytest.mark.parametrize("moment", ["past its deadline", "beside a shutdown"])
def test_slowly_written_answer_cut_off(moment: str) -> None:
    """An answer that began in time goes on while it moves."""
    value, got, status = value_of(300_000), [], []
    with Rig() as rig:
        rig.script = lambda _: in_pieces(answer(value), 5, 0.6)

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            client.send(request("pay", new_id(), 1000 if moment == "past its deadline" else 3000))
            client.read_some(rig.scheduler.clock() + 1.0)
            if moment == "beside a shutdown":
                rig.terminate("n0")
            got.append(received(client) == value)
            client.close()
            if moment == "beside a shutdown":
                rig.await_end("n0", 5.0)
                status.append(rig.processes.members["n0"].status)

        rig.run(scenario)
    assert got == [True] and status in ([], [0])


def test_reads_from_an_endpoint_go_on_without_a_reader() -> None:
    """A client that reads nothing stops the reads from its endpoint, and still gets all."""
    value, got, unread = value_of(4 << 20), [], []
    with Rig() as rig:
        rig.script = lambda _: [Write(answer(value))]

        def scenario() -> None:
            rig.start()
            client = rig.connect(receive_buffer=4096)
            client.send(request("look", new_id(), 1000))
            rig.scheduler.sleep(1.5)
            unread.append(not rig.written)  # the endpoint still has a part of its answer
            got.append(received(client) == value)
            client.close()

        rig.run(scenario)
    assert unread == [True] and got == [True]


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET, End.HANG], ids=lambda end: end.name)
def test_broken_long_answer_taken_for_a_whole_one(end: End) -> None:
    """The client can tell that it is not whole, and the endpoint is not asked a second time."""
    value, found = value_of(200_000), []
    with Rig() as rig:
        rig.script = lambda _: [Write(answer(value)[:150_000]), Pause(0.2), end]

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            client.send(request("look", new_id()))
            found.append((client.answer(9.0), client.closed, client.partial_bytes() > 0))
            client.close()

        rig.run(scenario)
        assert len(rig.executions) == 1
    assert found == [(None, True, True)]


@pytest.mark.parametrize(
    "tail",
    [
        pytest.param(b"$6\r\nused=1\r\n", id="no report"),
        pytest.param(b"$6\r\nused=1\r\n*0\r\n", id="an array as the report"),
        pytest.param(b"+x\r\n$-1\r\n", id="a status line as the figures"),
        pytest.param(b"x", id="noise"),
        pytest.param(b"", id="nothing"),
        pytest.param(b"$-1\r\n$5\r\nab", id="half a report"),
    ],
)
def test_long_answer_with_an_unsound_end_served_as_whole(tail: bytes) -> None:
    """The figures or the report behind the value are missing or no strings."""
    value, found = value_of(100_000), []
    head = b"*3\r\n$%d\r\n%b\r\n" % (len(value), value)
    with Rig() as rig:
        rig.script = lambda _: [Write(head + tail), Pause(0.05), End.CLOSE]

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            client.send(request("look", new_id()))
            found.append((client.answer(9.0), client.closed))
            client.close()

        rig.run(scenario)
    assert found == [(None, True)]


def test_long_answers_of_slow_readers_pass_the_memory_limit() -> None:
    """150 clients read 2 MiB each, slowly: together far over the limit of 96 MB."""
    value, count = value_of(2 << 20), 150
    whole, memory = [], []
    options = RigOptions(limits={"cores": 1.0, "memory_mb": 96, "sockets": 1024})
    with Rig(options) as rig:
        rig.script = lambda _: [Write(answer(value))]

        def read(client: RawClient) -> None:
            rig.scheduler.sleep(1.0)
            until = rig.scheduler.clock() + 30.0
            found = None
            while found is None and not client.closed and rig.scheduler.clock() < until:
                client.read_some(until, 1 << 15)
                found = client.answer(0.0) if client.received_bytes > len(value) else None
            whole.append(found is not None and found.text == value)
            client.close()

        def scenario() -> None:
            rig.start()
            for _ in range(count):  # each begins before the next, so that none is rejected
                client = rig.connect(receive_buffer=8192)
                client.send(request("look", new_id()))
                client.read_some(rig.scheduler.clock() + 2.0, 1)
                rig.scheduler.spawn(read, client)
            while len(whole) < count:
                memory.append(rig.memory_kb("n0"))
                rig.scheduler.sleep(0.05)

        rig.run(scenario)
    assert whole == [True] * count and max(memory) < 96 * 1024


def test_answers_behind_a_long_one_are_lost_or_out_of_order() -> None:
    value, texts = value_of(400_000), []
    with Rig() as rig:
        rig.script = lambda arguments: in_pieces(
            answer(value if arguments[2].startswith(b"long") else arguments[2]), 4, 0.2
        )

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            client.send(
                request("look", b"a") + request("look", b"long1") + request("pay", b"b")
                + request("buy", b"long2") + request("look", b"c") + encode(b"PING")
            )  # fmt: skip
            for _ in range(6):
                found = client.answer(10.0)
                texts.append(found and found.text)
            client.close()

        rig.run(scenario)
    assert texts == [b"a", value, b"b", value, b"c", b"PONG"]


def test_client_that_leaves_a_long_answer_keeps_its_endpoint_writing() -> None:
    """When the client closes, the connection to the endpoint is closed: its writing ends."""
    value, sent_bytes = value_of(4 << 20), list[int]()
    with Rig() as rig:
        rig.script = lambda _: [Write(answer(value))]

        def scenario() -> None:
            rig.start()
            client = rig.connect(receive_buffer=4096)
            client.send(request("look", new_id()))
            client.read_some(rig.scheduler.clock() + 2.0)
            client.close(reset=True)
            until = rig.scheduler.clock() + 2.0
            while not rig.written and rig.scheduler.clock() < until:
                rig.scheduler.sleep(0.02)
            sent_bytes.extend(sent for _, sent in rig.written)

        rig.run(scenario)
    assert len(sent_bytes) == 1 and sent_bytes[0] < len(value)
