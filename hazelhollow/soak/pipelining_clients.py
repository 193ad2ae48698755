"""Clients of a soak run that send much on one connection: and a value breaks, or they leave."""

from __future__ import annotations

import random
from collections.abc import Callable

from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.record import KEYED, SAFE, UNSAFE, RequestRecord, SoakRecord
from hazelhollow.soak.rig import Rig
from hazelhollow.soak.wire import Kind

DrawRequest = Callable[..., tuple[RequestRecord, bytes]]
Batch = list[tuple[RequestRecord, bytes]]

OUTCOMES = {Kind.VALUE: "value", Kind.BUSY: "busy", Kind.ERROR: "error", Kind.STATUS: "error"}
ANSWER_TIMEOUT_S = 12.0  # beyond every deadline, stall and shutdown
BROKEN_SIZES = (70_000, 1 << 20, 4 << 20)
ORDERS_BEHIND = 6
MAX_DELAY_S = 0.25  # until the orders are sent, while the value's server pauses
STAYS_S = 0.1  # a client that leaves, from its first byte on
MUCH = ((60, 60_000), (600, 4000), (2000, 4))  # requests, and the bytes of their bodies


def send_orders_behind(
    rig: Rig, record: SoakRecord, draw: random.Random, name: str, draw_request: DrawRequest
) -> None:
    """Sends orders behind a request whose value its server breaks off, at once or meanwhile."""
    client = rig.connect(name)
    first = draw_request(class_name=SAFE, value_size=draw.choice(BROKEN_SIZES))
    orders = [
        draw_request(class_name=draw.choice((KEYED, UNSAFE)), value_size=4)
        for _ in range(ORDERS_BEHIND)
    ]
    record.breaking_ids.add(first[0].id)
    delay = draw.choice((0.0, MAX_DELAY_S * draw.random()))
    if not client.connected:
        client.close()
        return
    _send(rig, record, client, [first] if delay else [first, *orders])
    if delay:
        client.read_for(delay)
        _send(rig, record, client, orders)
    requests = [request for request, _ in (first, *orders)]
    for position, request in enumerate(requests):
        request.on_new_connection, request.waits_behind = position == 0, position
    _await_answers(rig, client, requests)
    client.close()


def send_much_and_leave(
    rig: Rig, record: SoakRecord, draw: random.Random, name: str, draw_request: DrawRequest
) -> None:
    """Sends a request that its first server fails, and much behind it, and closes."""
    client = rig.connect(name)
    count, body_size = draw.choice(MUCH)
    first = draw_request(class_name=SAFE, value_size=4)
    record.failing_ids.add(first[0].id)
    rest = [
        draw_request(class_name=UNSAFE, value_size=4, body_size=body_size) for _ in range(count)
    ]
    if not client.connected:
        client.close()
        return
    began = rig.scheduler.clock()
    _send(rig, record, client, [first])
    client.send(b"".join(data for _, data in rest), timeout=STAYS_S)
    rig.scheduler.sleep(max(began + STAYS_S - rig.scheduler.clock(), 0.0))
    client.close()
    left_at = rig.scheduler.clock()
    record.requests += [request for request, _ in rest]
    for request, _ in (first, *rest):
        request.left_at, request.ended_at, request.outcome = left_at, left_at, "left"


def _send(rig: Rig, record: SoakRecord, client: RawClient, batch: Batch) -> None:
    client.send(b"".join(data for _, data in batch))
    for request, _ in batch:
        request.sent_at = rig.scheduler.clock()
        record.requests.append(request)


def _await_answers(rig: Rig, client: RawClient, requests: list[RequestRecord]) -> None:
    for position, request in enumerate(requests):
        answer = client.answer(ANSWER_TIMEOUT_S)
        if answer is None:
            note_missing(client, request, requests[position + 1 :], rig.scheduler.clock())
            return
        request.first_byte_at, request.ended_at = client.first_byte_at, client.completed_at
        request.outcome = OUTCOMES[answer.kind]
        if answer.kind is Kind.VALUE:
            request.set_value(answer.text)


def note_missing(
    client: RawClient, request: RequestRecord, behind: list[RequestRecord], now: float
) -> None:
    """Notes a connection that ended, or said nothing, before an answer was complete."""
    is_partial = client.closed and client.partial_bytes() > 0 and request.is_long()
    request.first_byte_at, request.last_byte_at = client.partial_since, client.last_byte_at
    request.outcome = "partial" if is_partial else "closed" if client.closed else "silent"
    request.ended_at = now
    for later in behind:
        later.ended_at = now
        later.outcome = "behind a broken value" if is_partial else request.outcome
