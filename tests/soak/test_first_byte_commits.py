"""A long answer is begun by its value's first byte: until then the request is as open as before."""

from __future__ import annotations

import pytest

from hazelhollow.soak.rig import Rig, RigOptions
from hazelhollow.soak.wire import Answer, Kind
from hazelhollow.standins.answer_script import AnswerScript, End, Pause, Write, answer
from tests.soak.helpers import new_id, request

CLASS_NAMES = ("look", "buy", "pay")
WAIT_MS = 400
LATE_S = 0.5  # after its time an answer only earns nothing for this long; then it is lost
PATIENCE_S = 3.6  # after its time a client leaves that has not been told
VALUE = bytes(range(250)) * 1200
HEAD = b"*3\r\n$%d\r\n" % len(VALUE)
SILENT_HEADS: dict[str, AnswerScript] = {
    "a head and nothing": [Write(HEAD), End.HANG],
    "half a head": [Write(b"*3\r\n$30"), End.HANG],
    "a head and a late value": [Write(HEAD), Pause(1.2), Write(answer(VALUE)[len(HEAD) :])],
    "a head in two pieces": [Write(HEAD[:-1]), Pause(0.1), Write(HEAD[-1:]), End.HANG],
}


@pytest.mark.parametrize("moment", ["alone", "beside a shutdown"])
@pytest.mark.parametrize("script", SILENT_HEADS)
def test_head_without_a_value_ends_the_deadline(script: str, moment: str) -> None:
    """Each client gets its final answer by its time and half a second."""
    late = list[tuple[str, float, Answer | None]]()
    with Rig(RigOptions(endpoints=6)) as rig:
        rig.script = lambda _: SILENT_HEADS[script]

        def ask(class_name: str) -> None:
            client = rig.connect()
            sent_at = rig.scheduler.clock()
            client.send(request(class_name, new_id(), WAIT_MS))
            found = client.answer(6.0)
            took = rig.scheduler.clock() - sent_at
            if found is None or found.kind is Kind.VALUE or took > WAIT_MS / 1000 + LATE_S:
                late.append((class_name, took, found))
            client.close()
            open_clients.remove(class_name)

        open_clients = list(CLASS_NAMES)

        def scenario() -> None:
            rig.start()
            for class_name in CLASS_NAMES:
                rig.scheduler.spawn(ask, class_name)
            if moment == "beside a shutdown":
                rig.scheduler.sleep(0.05)
                rig.terminate("n0")
            while open_clients:
                rig.scheduler.sleep(0.02)

        rig.run(scenario)
    assert late == []


def test_head_without_a_value_ends_retries() -> None:
    """One of six endpoints writes heads only: the others serve 120 safe requests in time."""
    found = list[Answer | None]()
    with Rig(RigOptions(endpoints=6)) as rig:

        def script(arguments: list[bytes]) -> AnswerScript:
            latest = next(run for run in reversed(rig.executions) if run.id == arguments[2])
            is_bad = latest.endpoint == "s-0"
            return [Write(HEAD), End.HANG] if is_bad else [Write(answer(VALUE))]

        def ask() -> None:
            for _ in range(20):
                client = rig.connect()
                client.send(request("look", new_id(), 2000))
                found.append(client.answer(4.0))
                client.close()

        def scenario() -> None:
            rig.start()
            for _ in range(6):
                rig.scheduler.spawn(ask)
            while len(found) < 120:
                rig.scheduler.sleep(0.02)
            assert any(run.endpoint == "s-0" for run in rig.executions)

        rig.script = script
        rig.run(scenario)
    assert [one for one in found if one != Answer(Kind.VALUE, VALUE)] == []


@pytest.mark.parametrize("given", [1, 1000, len(VALUE) - 1, len(VALUE)])
def test_client_of_a_value_that_stops_for_good_is_told_after_it_has_left(given: int) -> None:
    """The value has begun in time, so that its client waits on; it is told by a close."""
    told = list[tuple[Answer | None, bool, float]]()
    with Rig() as rig:
        rig.script = lambda _: [Write(HEAD + VALUE[:given]), End.HANG]

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            sent_at = rig.scheduler.clock()
            client.send(request("look", new_id(), WAIT_MS))
            found = client.answer(6.0)
            told.append((found, client.closed, rig.scheduler.clock() - sent_at))
            client.close()

        rig.run(scenario)
    ((found, closed, took),) = told
    assert found is None and closed and took < WAIT_MS / 1000 + PATIENCE_S


def test_value_with_sound_pauses_cut_off() -> None:
    """Pauses of 1.7 s at each place of an answer, past the client's time: it arrives whole."""
    whole_answer = answer(VALUE, b"used=1", b"inflight=1,queue=0,util=0.1")
    ends = [len(HEAD) + 1, len(HEAD) + len(VALUE), len(whole_answer)]
    got = list[bool]()
    with Rig() as rig:
        rig.script = lambda _: [
            Write(whole_answer[: ends[0]]), Pause(1.7), Write(whole_answer[ends[0] : ends[1]]),
            Pause(1.7), Write(whole_answer[ends[1] :]),
        ]  # fmt: skip

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            client.send(request("pay", new_id(), WAIT_MS))
            got.append(client.answer(6.0) == Answer(Kind.VALUE, VALUE))
            client.close()

        rig.run(scenario)
    assert got == [True]
