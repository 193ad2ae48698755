"""What a client sends behind a sound request: unreadable bytes, and ids that others have open."""

from __future__ import annotations

import pytest

from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.rig import Rig
from hazelhollow.soak.wire import Answer, Kind, encode
from hazelhollow.standins.answer_script import Pause, Write, answer
from tests.soak.helpers import CUSTOMER, new_id, request

CLASS_NAMES = ("look", "buy", "pay")
HELD_S = 0.45  # by an endpoint, before it answers
ERROR_WITHIN_S = 3.0
OTHER_CUSTOMER = b"000000000badcafe"

UNREADABLE = {
    "noise": b"\x00\x01noise\r\n",
    "noise without an end": b"x",
    "more items than its count": request("look", b"short").replace(b"*4", b"*3", 1),
    "length not a number": b"*4\r\n$x\r\n",
    "length over 64 KiB": b"*4\r\n$65537\r\n",
    "length of 3 GB": b"*1\r\n$3000000000\r\n",
    "count out of range": b"*100000\r\n",
    "negative count": b"*-3\r\n",
    "string longer than its length": b"*4\r\n$5\r\nQ.ASKK",
    "status line as an argument": b"*4\r\n$5\r\nQ.ASK\r\n+x\r\n",
    "number as an argument": b"*4\r\n$5\r\nQ.ASK\r\n:",
    "nested array": b"*4\r\n$5\r\nQ.ASK\r\n*1\r\n",
    "line that does not end": b"*4" + b"4" * 5000,
    "inline command": b"PING\r\n",
}


def is_refused(client: RawClient, timeout: float) -> bool:
    """Whether the client gets errors or a close, and no value."""
    found = client.answer(timeout)
    while found is not None and found.kind in (Kind.ERROR, Kind.BUSY):
        found = client.answer(timeout)
    return found is None and client.closed


@pytest.mark.parametrize("later", [0.0, 0.2], ids=["at once", "later"])
def test_request_with_unreadable_bytes_behind_it_served(later: float) -> None:
    """In each class: an error or a close within 3 s, no value; read together, it never runs."""
    wrong = list[tuple[str, str, str]]()
    with Rig() as rig:
        rig.script = lambda arguments: [Pause(HELD_S), Write(answer(arguments[2]))]

        def scenario() -> None:
            rig.start()
            for number, (name, data) in enumerate(UNREADABLE.items()):
                for class_name in CLASS_NAMES if number < 3 else CLASS_NAMES[number % 3 :][:1]:
                    request_id, client = new_id(), rig.connect()
                    sound = request(class_name, request_id)
                    if later:
                        client.send(sound)
                        rig.scheduler.sleep(later)
                        client.send(data)
                    else:
                        client.send(sound + data)
                    if not is_refused(client, ERROR_WITHIN_S):
                        wrong.append((name, class_name, "served, or no close"))
                    client.close()
                    ran = any(run.id == request_id for run in rig.executions)
                    if ran and not later:
                        wrong.append((name, class_name, "ran"))

        rig.run(scenario)
    assert wrong == []


def test_requests_of_a_pipeline_with_unreadable_bytes_at_its_end_served() -> None:
    """More commands than are executed at once, and noise behind the last one."""
    with Rig() as rig:
        rig.script = lambda arguments: [Pause(HELD_S), Write(answer(arguments[2]))]

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            client.send(b"".join(request("look", new_id()) for _ in range(40)) + b"\0\r\n")
            assert is_refused(client, ERROR_WITHIN_S)
            client.close()

        rig.run(scenario)
        assert rig.executions == []


def test_part_of_a_next_command_delays_the_one_before_it() -> None:
    """A sound part of a next command is no reason to wait, nor to refuse what stands before it."""
    waits = list[float]()
    with Rig() as rig:

        def scenario() -> None:
            rig.start()
            half = request("pay", new_id(), body=b"B" * 500)
            for cut in (1, 3, 5, 20, 60, 300):
                request_id, client = new_id(), rig.connect()
                sent_at = rig.scheduler.clock()
                client.send(request("look", request_id) + half[:cut])
                assert client.answer(2.0) == Answer(Kind.VALUE, b"value of " + request_id)
                waits.append(rig.scheduler.clock() - sent_at)
                client.close()

        rig.run(scenario)
    assert max(waits) < 0.5


@pytest.mark.parametrize("first_client", ["stays", "leaves"])
@pytest.mark.parametrize("customer", [CUSTOMER, OTHER_CUSTOMER], ids=["same", "other customer"])
def test_id_of_an_open_request_of_another_client_served(first_client: str, customer: bytes) -> None:
    """In each class, also under another customer: an error, and the first keeps its answer."""
    wrong = list[str]()
    with Rig() as rig:
        rig.script = lambda arguments: [Pause(HELD_S), Write(answer(arguments[1]))]

        def scenario() -> None:
            rig.start()
            for class_name in CLASS_NAMES:
                for other_class in CLASS_NAMES:
                    request_id = new_id()
                    first, second = rig.connect(), rig.connect()
                    first.send(request(class_name, request_id))
                    rig.scheduler.sleep(0.1)
                    if first_client == "leaves":
                        first.close()
                        rig.scheduler.sleep(0.05)
                    second.send(request(other_class, request_id).replace(CUSTOMER, customer))
                    found = second.answer(ERROR_WITHIN_S)
                    if found is None or found.kind is not Kind.ERROR:
                        wrong.append(f"{other_class} under the id of {class_name}: {found}")
                    if first_client == "stays":
                        kept = first.answer(2.0)
                        if kept != Answer(Kind.VALUE, CUSTOMER):
                            wrong.append(f"first {class_name}: {kept}")
                    first.close()
                    second.close()

        rig.run(scenario)
    assert wrong == []


def test_id_is_free_again_once_nothing_runs_under_it() -> None:
    """A safe request may come again under its id after its answer, as it may come anew."""
    with Rig() as rig:

        def scenario() -> None:
            rig.start()
            client, request_id = rig.connect(), new_id()
            for _ in range(3):
                client.send(request("look", request_id))
                assert client.answer(2.0) == Answer(Kind.VALUE, b"value of " + request_id)
            client.send(encode(b"PING"))
            assert client.answer(1.0) == Answer(Kind.STATUS, b"PONG")
            client.close()

        rig.run(scenario)
