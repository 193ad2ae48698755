"""What the engine is told of answers that come in parts."""

from __future__ import annotations

from collections.abc import Callable

from hazelhollow.decisions import interface as api
from tests.net.scenario import Stage
from tests.net.test_requests_behind_values import SERVED, WHOLE, begin_with_requests_behind
from tests.net.test_scenarios import ask
from tests.net.test_value_forwarding import HEAD, VALUE_BYTES, read_all

END = b"\r\n$-1\r\n$-1\r\n"


def record_events(stage: Stage) -> list[api.Event]:
    """Returns the list to which each event of the engine is added from now on."""
    events = list[api.Event]()
    handle: Callable[[api.Event, float], list[api.Action]] = stage.service.engine.handle

    def handle_and_record(event: api.Event, now: float) -> list[api.Action]:
        events.append(event)
        return handle(event, now)

    stage.service.engine.handle = handle_and_record  # type: ignore[method-assign]
    return events


def progress_of(events: list[api.Event]) -> list[api.AnswerProgress]:
    reports = [one for one in events if isinstance(one, api.AnswersProgressed)]
    return [progress for report in reports for progress in report.answers]


def test_short_answer_in_parts_counts_as_waiting_until_its_end() -> None:
    stage = Stage(hosts=1)
    events = record_events(stage)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send *3\\r\\n$6\\r\\nhi\nwait 0.3")
    stage.play("s1 send so\\r\\n$-1\\r\\n$-1\na expect $6\\r\\nhi\\r\\nso")
    (ended,) = [one for one in events if isinstance(one, api.AttemptEnded)]
    assert 0.25 < ended.answer_time <= ended.elapsed
    assert [(one.id, one.attempt) for one in progress_of(events)] == [("r1", 0)]


def test_value_that_is_forwarded_is_reported_part_by_part() -> None:
    """Its attempt has ended for the engine when its first byte came."""
    stage = Stage(hosts=1)
    events = record_events(stage)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    stage._end("s1").sendall(HEAD + VALUE_BYTES[:70_000])
    stage.settle()
    for start in (70_000, 100_000):
        read_all(stage._end("a"), stage)
        stage.play("wait 0.2")
        stage._end("s1").sendall(VALUE_BYTES[start : start + 30_000])
        stage.settle()
    stage._end("s1").sendall(VALUE_BYTES[130_000:] + END)
    read_all(stage._end("a"), stage)
    (ended,) = [one for one in events if isinstance(one, api.AttemptEnded)]
    assert ended.answer_time == 0.0 and progress_of(events) == []


def test_progress_of_an_attempt_that_has_ended_is_taken_for_the_next_of_its_id() -> None:
    stage = Stage(hosts=1)
    events = record_events(stage)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send *3\\r\\n$6\\r\\nhi")
    stage.play("s1 send so\\r\\n$-1\\r\\n$-1\na expect $6\\r\\nhi\\r\\nso\nwait 0.1")
    assert progress_of(events) == []


def test_pause_in_a_value_with_requests_behind_it_costs_its_attempt() -> None:
    """It pauses for 0.6 s, and is whole in time; another attempt could have started."""
    stage = Stage(hosts=1)
    begin_with_requests_behind(stage)
    stage.play("wait 0.6\na expect nothing")
    stage._end("s1.1").sendall(VALUE_BYTES[9:] + END)
    assert read_all(stage._end("a"), stage) == WHOLE + SERVED
    assert stage.service.stats.attempts == 2
