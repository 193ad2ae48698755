"""Judges a soak run from its record alone; shares no code with the limiter.

| rule | the platform's sentence |
| --- | --- |
| answered | every request that was read gets one final answer |
| behind | one behind a value that breaks off has its answer, or no server has got it |
| late | it comes up to 0.5 s after its time |
| value | a value is the one that a server made for this request, complete |
| once | an unsafe request runs once; a keyed one in one cell only, within its window |
| refusal | `-BUSY` only if nothing may have run, where a repetition is not harmless |
| gone | no attempt begins more than 0.1 s after its client has closed |
| unsound | a request that is not allowed gets an error or a close within 3 s, and never runs |
| begun | a long value that has begun goes on while its server gives more; if it stops, the client |
|  | is told by a close before it leaves, 3.6 s later |
| cut off | an answer that comes slowly, but in time, is not cut off for another attempt |
| memory | a process stays within its limit |
| told time | a server is told at most what is left to the client, with 0.15 s of slack; the pages |
|  | allow for a process that is held up between reading its clock and writing |
| drain | nothing new to a draining server after the grace |
| exit | a process ends with status 0, unless SIGKILL ended it at its time; none crashes |
| service | after the last fault requests are served |
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from hazelhollow.soak.plan import LIMITER_MEMORY_MB
from hazelhollow.soak.record import (
    KEYED,
    SAFE,
    TIMED_BY_FIRST_BYTE,
    UNSAFE,
    ExecutionRecord,
    PauseRecord,
    RequestRecord,
    SoakRecord,
    digest,
    value_for,
)

LATE_S = 0.5
GONE_GRACE_S = 0.1
UNSOUND_ANSWER_S = 3.0
TOLD_SLACK_S = 0.15
DRAIN_GRACE_S = 0.25 + 0.05
KILL_AFTER_S = 3.7
SIGKILL_STATUS = -9
WINDOW_S = 5.0 + 0.05
PATIENCE_S = 3.6  # for which a client waits for a further byte of a value that has begun
MAX_MEMORY_KB = LIMITER_MEMORY_MB * 1024
TIMED_RULES = ("late", "begun", "cut off", "gone", "told time", "drain", "unsound")
LAST_TRY_S = 0.55  # of a client's time: an answer that is silent then may lose its attempt
CROSSING_S = 0.02  # between the end of an answer and when its client notes it
KILL_SLACK_S = 0.3  # between the end of a process and when its clients note it
MAX_OWN_LATENESS_S = 0.05  # beyond it the run's own figures are not exact enough to judge


class Violation(NamedTuple):
    """A broken rule, and what was seen."""

    rule: str
    text: str


def check(record: SoakRecord) -> list[Violation]:
    """Returns the broken rules of a run."""
    runs = defaultdict[str, list[ExecutionRecord]](list)
    for execution in record.executions:
        runs[execution.id].append(execution)
    by_id = defaultdict[str, list[RequestRecord]](list)
    for request in record.requests:
        if request.is_sound:
            by_id[request.id].append(request)
    found: list[Violation] = []
    for request in record.requests:
        if not request.is_sound:
            found += _check_unsound(request, runs[request.id], by_id.get(request.id, []))
        else:
            found += _check_request(request, runs[request.id])
            found += _check_begun(request, record)
    shared_ids = {one.id for one in record.requests if not one.is_sound and one.may_run}
    for request_id, requests in by_id.items():
        if request_id in shared_ids:  # its runs may be those of another client's request
            continue
        found += _check_executions(requests, runs[request_id])
        found += _check_slow_answer(requests[0], runs[request_id], record)
        found += _check_behind(requests, runs[request_id], record)
        found += _check_told_time(requests, runs[request_id], record.pauses)
    found += _check_processes(record)
    drained = {drain.endpoint: drain.told_at for drain in record.drains}
    for execution in record.executions:
        told_at = drained.get(execution.endpoint)
        if told_at is not None and execution.received_at() > told_at + DRAIN_GRACE_S:
            found.append(Violation("drain", f"{execution} {execution.at - told_at:.3f} s after"))
    return found


def judge(record: SoakRecord) -> list[Violation]:
    """Returns the broken rules that the run can tell.

    If the run's own process was late, times that it noted are too late as well: then only the rules
    without times are judged.
    """
    found = check(record)
    return found if is_measured(record) else [one for one in found if one.rule not in TIMED_RULES]


def is_measured(record: SoakRecord) -> bool:
    """Whether the run's own process was on time, so that its figures count."""
    return record.max_lateness <= MAX_OWN_LATENESS_S


def _check_request(request: RequestRecord, runs: list[ExecutionRecord]) -> Iterator[Violation]:
    if request.outcome == "value":
        yield from _check_value(request)
    elif request.outcome == "silent":
        yield Violation("answered", f"never: {request}")
    elif request.outcome == "closed":
        # The close of a resting connection may cross a request, which has then not been read.
        if request.on_new_connection or any(run.at >= request.sent_at - 0.05 for run in runs):
            yield Violation("answered", f"closed without an answer: {request}, {runs}")
    elif request.outcome in ("busy", "error"):
        yield from _check_refusal(request, runs)


def _check_unsound(
    request: RequestRecord, runs: list[ExecutionRecord], same_id: list[RequestRecord]
) -> Iterator[Violation]:
    """`same_id`: the sound requests whose id it has; once they have ended, the id is free."""
    if same_id:
        yield from _check_used_id(request, runs, same_id[0])
        return
    in_time = request.ended_at - request.sent_at <= UNSOUND_ANSWER_S
    has_run = runs and not request.may_run
    if has_run or request.outcome not in ("error", "closed") or not in_time:
        yield Violation("unsound", f"{request}, ran {len(runs)} times")


def _check_used_id(
    request: RequestRecord, runs: list[ExecutionRecord], opened: RequestRecord
) -> Iterator[Violation]:
    """`opened`: the request of another client that has the id."""
    if not opened.sent_at < request.sent_at < opened.ended_at:
        return
    until = opened.ended_at - CROSSING_S
    ran_beside = any(request.sent_at <= run.at < until for run in runs)
    if request.outcome == "silent" or (request.outcome == "value" and ran_beside):
        yield Violation("unsound", f"{request} under the id of {opened}")


def _check_behind(
    requests: list[RequestRecord], runs: list[ExecutionRecord], record: SoakRecord
) -> Iterator[Violation]:
    """Its client may send one that was not forwarded again; any other is owed its answer."""
    request = requests[0]
    is_sent_again = len(requests) > 1
    if request.outcome != "behind a broken value" or is_sent_again or not runs:
        return
    if not _was_killed(request, record):
        yield Violation("behind", f"no answer: {request}, {runs}")


def _check_slow_answer(
    request: RequestRecord, runs: list[ExecutionRecord], record: SoakRecord
) -> Iterator[Violation]:
    """Requests that no endpoint has got may be refused: the limiter sheds load."""
    slow = record.slow_answers.get(request.id)
    if slow is None or not runs or _was_killed(request, record):
        return
    if runs[0].at + slow.seconds > request.sent_at + request.wait - LAST_TRY_S:
        return
    if request.outcome != "value" or len(runs) > 1:
        yield Violation("cut off", f"{request}, {runs}, {slow}")


def _was_killed(request: RequestRecord, record: SoakRecord) -> bool:
    """Whether the end of a process ended its connection."""
    return any(abs(end.at - request.ended_at) < KILL_SLACK_S for end in record.exits)


def _check_begun(request: RequestRecord, record: SoakRecord) -> Iterator[Violation]:
    if request.outcome != "partial":
        return
    yield from _check_time(request, request.first_byte_at)
    if request.id not in record.broken_ids and not _was_killed(request, record):
        yield Violation("begun", f"cut off although its server gave more: {request}")
    if request.ended_at - request.last_byte_at > PATIENCE_S:
        yield Violation("begun", f"its client was told after it had left: {request}")


def _check_value(request: RequestRecord) -> Iterator[Violation]:
    if request.value != digest(value_for(request.id, request.value_size)):
        yield Violation("value", f"{request}")
    is_long = request.value_size > TIMED_BY_FIRST_BYTE
    yield from _check_time(request, request.first_byte_at if is_long else request.ended_at)


def _check_refusal(request: RequestRecord, runs: list[ExecutionRecord]) -> Iterator[Violation]:
    yield from _check_time(request, request.ended_at)
    ran = [run for run in runs if not run.refused and run.at <= request.ended_at]
    if request.outcome == "busy" and request.class_name != SAFE and ran:
        yield Violation("refusal", f"{request}, but {ran}")


def _check_time(request: RequestRecord, ended_at: float) -> Iterator[Violation]:
    """The time spent waiting for answers before it does not count."""
    late = ended_at - request.sent_at - request.wait
    if not request.waits_behind and late > LATE_S:
        yield Violation("late", f"by {late:.3f} s: {request}")


def _check_executions(
    requests: list[RequestRecord], runs: list[ExecutionRecord]
) -> Iterator[Violation]:
    first = requests[0]
    ran = [run for run in runs if not run.refused]
    if first.class_name == UNSAFE and len(ran) > 1:
        yield Violation("once", f"{first.id} ran {len(ran)} times: {ran}")
    if first.class_name == KEYED and ran:
        if len({run.cell for run in ran}) > 1:
            yield Violation("once", f"{first.id} ran in several cells: {ran}")
        if ran[-1].at - ran[0].at > WINDOW_S + first.wait:
            yield Violation("once", f"{first.id} ran after its window: {ran}")
    if all(request.left_at for request in requests):
        left_at = max(request.left_at for request in requests)
        late = [run for run in runs if run.received_at() > left_at + GONE_GRACE_S + TOLD_SLACK_S]
        if late:
            yield Violation("gone", f"{first.id} left at {left_at:.3f}: {late}")


def _check_told_time(
    requests: list[RequestRecord], runs: list[ExecutionRecord], pauses: list[PauseRecord]
) -> Iterator[Violation]:
    first = requests[0]
    if len(requests) > 1 or not first.sent_at:
        return
    for run in runs:
        left = first.sent_at + first.wait - run.received_at()
        held_up = sum(
            max(0.0, min(pause.ended, run.at) - max(pause.began, first.sent_at)) for pause in pauses
        )
        if run.told_wait > left + TOLD_SLACK_S + held_up:
            yield Violation("told time", f"{run.told_wait:.3f} told, {left:.3f} left: {first}")


def _check_processes(record: SoakRecord) -> Iterator[Violation]:
    if record.peak_memory_kb > MAX_MEMORY_KB:
        yield Violation("memory", f"{record.peak_memory_kb} KB of {MAX_MEMORY_KB}")
    for crash in record.crashes:
        yield Violation("exit", f"crashed: {crash}")
    for end in record.exits:
        was_killed = end.status == SIGKILL_STATUS and end.after >= KILL_AFTER_S
        if end.status != 0 and not was_killed:
            yield Violation("exit", f"{end}")
    if not record.served_at_end:
        yield Violation("service", "no request was served after the last fault")
