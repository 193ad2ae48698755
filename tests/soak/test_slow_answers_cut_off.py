"""Answers that their endpoints still write are cut off for another attempt, or refused."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.rig import CLASSES, Rig, RigOptions
from hazelhollow.soak.wire import Answer, Kind
from hazelhollow.standins.answer_script import AnswerScript, End, Pause, Write, answer, in_pieces
from tests.soak.helpers import new_id, request

WAIT_MS = 2500
LATE_S = 0.5  # after its time an answer only earns nothing for this long; then it is lost
BUSY_CLIENTS = 4  # whose requests are answered at once; beside them a slow one is no overload
WARM_UP_S = 1.5
LOOK_CLASS = {**CLASSES[0], "deadline": 3.0}
TIGHT_CLASS = {"name": "check", "objective": 0.6, "deadline": 1.5, "effect": "pure"}
OPTIONS = RigOptions(endpoints=6, classes=(LOOK_CLASS, *CLASSES[1:], TIGHT_CLASS))
LONG, MIDDLE, TINY = (random.Random(size).randbytes(size) for size in (178_000, 50_000, 60))


def late_value(value: bytes, delay: float) -> AnswerScript:
    head = b"*3\r\n$%d\r\n" % len(value)
    return [Write(head), Pause(delay), Write(answer(value)[len(head) :])]


def in_drops(value: bytes, seconds: float, drops: int = 15) -> AnswerScript:
    return in_pieces(answer(value), drops, seconds / drops)


SLOW_ANSWERS: dict[str, tuple[bytes, AnswerScript]] = {
    "value 0.9 s after its head": (LONG, late_value(LONG, 0.9)),
    "value 1.9 s after its head": (LONG, late_value(LONG, 1.9)),
    "50 KB in drops": (MIDDLE, in_drops(MIDDLE, 1.6)),
    "60 bytes in drops": (TINY, in_drops(TINY, 1.6)),
}


class Outcome(NamedTuple):
    """What a client was answered, and seconds after it had sent its requests."""

    answers: list[Answer | None]
    took: float


class SlowAnswers:
    """Requests with slow answers beside clients whose requests are answered at once."""

    def __init__(self, rig: Rig, script: AnswerScript) -> None:
        self.rig, self._script = rig, script
        self._slow_ids = set[bytes]()
        self.outcomes = list[Outcome]()
        self._is_done = False
        rig.script = self.write

    def write(self, arguments: list[bytes]) -> AnswerScript:
        is_slow = arguments[2] in self._slow_ids
        return self._script if is_slow else [Write(answer(b"short"))]

    def slow_request(self) -> bytes:
        request_id = new_id()
        self._slow_ids.add(request_id)
        return request("look", request_id, WAIT_MS)

    def executions(self) -> int:
        return sum(run.id in self._slow_ids for run in self.rig.executions)

    def play(self, batches: list[bytes], each: int = 1) -> list[Outcome]:
        """Sends each batch of requests on a connection of its own, all at once."""

        def scenario() -> None:
            self.rig.start()
            for _ in range(BUSY_CLIENTS):
                self.rig.scheduler.spawn(self._keep_asking)
            self.rig.scheduler.sleep(WARM_UP_S)
            for data in batches:
                self.rig.scheduler.spawn(self._ask, data, each)
            while len(self.outcomes) < len(batches):
                self.rig.scheduler.sleep(0.02)
            self._is_done = True

        self.rig.run(scenario)
        return self.outcomes

    def _keep_asking(self) -> None:
        client = self.rig.connect()
        while not self._is_done and not client.closed:
            client.send(request("look", new_id(), WAIT_MS))
            client.answer(3.0)

    def _ask(self, data: bytes, each: int) -> None:
        client: RawClient = self.rig.connect()
        sent_at = self.rig.scheduler.clock()
        client.send(data)
        answers = [client.answer(6.0) for _ in range(each)]
        self.outcomes.append(Outcome(answers, self.rig.scheduler.clock() - sent_at))
        client.close()


@pytest.mark.parametrize("count", [1, 16])
@pytest.mark.parametrize("name", SLOW_ANSWERS)
def test_answer_that_comes_slowly_is_cut_off_for_another_attempt(name: str, count: int) -> None:
    """Each request is served by its only attempt."""
    value, script = SLOW_ANSWERS[name]
    with Rig(OPTIONS) as rig:
        slow = SlowAnswers(rig, script)
        outcomes = slow.play([slow.slow_request() for _ in range(count)])
    served = [one.answers == [Answer(Kind.VALUE, value)] for one in outcomes]
    assert served == [True] * count and slow.executions() == count


@pytest.mark.parametrize("seconds", [1.5, 1.9])
def test_value_that_flows_is_cut_off_since_requests_wait_behind_it(seconds: float) -> None:
    """The value is collected for the request behind it, and comes from its only attempt."""
    with Rig(OPTIONS) as rig:
        slow = SlowAnswers(rig, in_drops(LONG, seconds))
        behind = request("look", new_id(), WAIT_MS)
        (outcome,) = slow.play([slow.slow_request() + behind], each=2)
    expected = [Answer(Kind.VALUE, LONG), Answer(Kind.VALUE, b"short")]
    assert outcome.answers == expected and slow.executions() == 1


def test_many_silent_attempts_are_cancelled_at_once_and_refused_with_time_left() -> None:
    """No endpoint says a word to 24 requests; none is refused before its time."""
    with Rig(OPTIONS) as rig:
        slow = SlowAnswers(rig, [End.HANG])
        outcomes = slow.play([slow.slow_request() for _ in range(24)])
    wait = WAIT_MS / 1000
    assert [one for one in outcomes if not wait - 0.1 < one.took < wait + LATE_S] == []


@pytest.mark.parametrize("piece", [60_000, 700])
def test_client_is_cut_off_whose_requests_do_not_fit_behind_a_value_that_flows(piece: int) -> None:
    """A value flows for 2.6 s; its client sends 6 orders of 60 KB behind it, more than fits."""
    answers, first = list[Answer | None](), new_id()
    with Rig(OPTIONS) as rig:
        rig.script = lambda arguments: (
            in_drops(LONG, 2.6, 26) if arguments[2] == first else [Write(answer(b"short"))]
        )
        orders = [request("pay", new_id(), 3000, b"B" * 60_000) for _ in range(6)]
        data = b"".join(orders)

        def write(client: RawClient) -> None:
            for start in range(0, len(data), piece):
                client.send(data[start : start + piece], 8.0)

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            client.send(request("look", first, WAIT_MS))
            client.read_some(rig.scheduler.clock() + 2.0, 1)
            rig.scheduler.spawn(write, client)
            answers.extend(client.answer(8.0) for _ in range(7))
            client.close()

        rig.run(scenario)
    assert answers == [Answer(Kind.VALUE, LONG)] + [Answer(Kind.VALUE, b"short")] * 6


def test_client_that_stops_in_a_command_behind_a_value_that_flows_is_not_told() -> None:
    """A value flows for 6 s; its client stops in the body of an order: it is told within 3 s."""
    told = list[tuple[bool, float]]()
    with Rig(OPTIONS) as rig:
        rig.script = lambda _: in_drops(LONG, 6.0, 60)

        def scenario() -> None:
            rig.start()
            client = rig.connect()
            client.send(request("look", new_id(), WAIT_MS))
            client.read_some(rig.scheduler.clock() + 2.0, 1)
            client.send(request("pay", new_id(), 3000, b"B" * 65_000)[:64_000], 2.0)
            stopped_at = rig.scheduler.clock()
            found = client.answer(8.0)
            told.append((found is None, rig.scheduler.clock() - stopped_at))
            client.close()

        rig.run(scenario)
    ((is_closed, took),) = told
    assert is_closed and took < 3.0
