"""Clients of a soak run whose requests endpoints answer, or read, slowly; often many at once."""

from __future__ import annotations

import random
from collections.abc import Callable

from hazelhollow.soak.pipelining_clients import ANSWER_TIMEOUT_S, OUTCOMES, note_missing
from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.record import KEYED, SAFE, UNSAFE, RequestRecord, SlowAnswer, SoakRecord
from hazelhollow.soak.rig import Rig
from hazelhollow.soak.wire import Kind

DrawRequest = Callable[..., tuple[RequestRecord, bytes]]

AT_ONCE = (1, 1, 4, 16)
LONG_SIZES = (70_000, 178_000, 1_000_000)
SHORT_SIZES = (60, 50_000)
MIN_WAIT_S = 1.5
MIN_ANSWER_S = 0.3
SPARE_S = 0.6  # of its client's time that an answer leaves; the latest attempts begin in it
LARGE_BODY_BYTES = 60_000
POLL_S = 0.01


def ask_for_slow_answers(
    rig: Rig, record: SoakRecord, draw: random.Random, name: str, draw_request: DrawRequest
) -> None:
    """Sends safe requests whose values come late or in drops, each on a connection of its own."""
    batch = list[tuple[RequestRecord, bytes]]()
    for _ in range(draw.choice(AT_ONCE)):
        is_late = draw.random() < 0.5
        sizes = LONG_SIZES if is_late else (*LONG_SIZES, *SHORT_SIZES)
        request, data = _draw_patient(draw_request, class_name=SAFE, value_size=draw.choice(sizes))
        seconds = draw.uniform(MIN_ANSWER_S, request.wait - SPARE_S)
        record.slow_answers[request.id] = SlowAnswer(seconds, is_late)
        batch.append((request, data))
    _send_all(rig, record, name, batch)


def send_large_orders(
    rig: Rig, record: SoakRecord, draw: random.Random, name: str, draw_request: DrawRequest
) -> None:
    """Sends orders of 60 KB, each on a connection of its own."""
    batch = [
        draw_request(
            class_name=draw.choice((KEYED, UNSAFE)), value_size=4, body_size=LARGE_BODY_BYTES
        )
        for _ in range(draw.choice(AT_ONCE))
    ]
    _send_all(rig, record, name, batch)


def _draw_patient(
    draw_request: DrawRequest, class_name: str, value_size: int
) -> tuple[RequestRecord, bytes]:
    while True:
        request, data = draw_request(class_name=class_name, value_size=value_size)
        if request.wait >= MIN_WAIT_S:
            return request, data


def _send_all(
    rig: Rig, record: SoakRecord, name: str, batch: list[tuple[RequestRecord, bytes]]
) -> None:
    """Sends all requests at once, and waits until each has its outcome."""
    sent = list[RequestRecord]()
    for request, data in batch:
        client = rig.connect(name)
        if not client.connected or not client.send(data):
            client.close()
            continue
        request.sent_at = rig.scheduler.clock()
        record.requests.append(request)
        sent.append(request)
        rig.scheduler.spawn(_await_answer, rig, client, request, name="client of a slow answer")
    while not all(request.outcome for request in sent):
        rig.scheduler.sleep(POLL_S)


def _await_answer(rig: Rig, client: RawClient, request: RequestRecord) -> None:
    answer = client.answer(ANSWER_TIMEOUT_S)
    if answer is None:
        note_missing(client, request, [], rig.scheduler.clock())
    else:
        request.first_byte_at, request.ended_at = client.first_byte_at, client.completed_at
        if answer.kind is Kind.VALUE:
            request.set_value(answer.text)
        request.outcome = OUTCOMES[answer.kind]
    client.close()
