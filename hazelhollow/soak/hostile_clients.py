"""Clients of a soak run that break the protocol, or read nothing."""

from __future__ import annotations

import random
from collections.abc import Callable

from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.record import SAFE, RequestRecord, SoakRecord
from hazelhollow.soak.rig import Rig
from hazelhollow.soak.wire import Kind, encode

ANSWER_TIMEOUT_S = 4.0  # beyond the 3 s within which such a client is owed an error or a close
POLL_S = 0.01
CROSSING_S = 0.05  # an answer that comes so soon after unreadable bytes may have crossed them
COMMANDS_WITHOUT_READER = 64
UNREAD_VALUE_BYTES = 60_000
RECEIVE_BUFFER_BYTES = 4096
UNREADABLE = (
    b"\x00noise\r\n",
    b"x",
    b"*4\r\n$x\r\n",
    b"*-3\r\n",
    b"*4\r\n$5\r\nQ.ASKK",
    b"*4\r\n$5\r\nQ.ASK\r\n:1\r\n",
    b"*1\r\n$3000000000\r\n",
    b"PING\r\n",
)
DrawRequest = Callable[[], tuple[RequestRecord, bytes]]


def send_with_bytes_behind(
    rig: Rig, record: SoakRecord, draw: random.Random, name: str, draw_request: DrawRequest
) -> None:
    """Sends a sound request and unreadable bytes behind it, at once or a little later."""
    client, (request, data) = rig.connect(name), draw_request()
    junk, is_later = draw.choice(UNREADABLE), draw.random() < 0.5
    record.held_ids.add(request.id)
    request.is_sound, request.may_run = False, is_later
    if not client.connected or not client.send(data if is_later else data + junk):
        client.close()  # refused, or reset before it was accepted
        return
    record.requests.append(request)
    if is_later:
        rig.scheduler.sleep(0.2 * draw.random())
        client.send(junk)
    request.sent_at = rig.scheduler.clock()
    is_served = False
    while (found := client.answer(ANSWER_TIMEOUT_S)) is not None:
        request.first_byte_at = client.first_byte_at
        is_crossing = is_later and request.first_byte_at < request.sent_at + CROSSING_S
        is_served = is_served or (found.kind is Kind.VALUE and not is_crossing)
    request.ended_at = rig.scheduler.clock()
    request.outcome = "value" if is_served else "closed" if client.closed else "silent"
    client.close()


def send_under_open_id(
    rig: Rig, record: SoakRecord, draw: random.Random, name: str, draw_request: DrawRequest
) -> None:
    """Sends a request under the id that another client has open, as that or another customer."""
    first, second = rig.connect(name), rig.connect(name)
    (opened, opened_data), (stolen, data) = draw_request(), draw_request()
    record.held_ids.add(opened.id)
    data = data.replace(
        b"$%d\r\n%b" % (len(stolen.id), stolen.id.encode()),
        b"$%d\r\n%b" % (len(opened.id), opened.id.encode()),
    )
    stolen.id, stolen.is_sound, stolen.may_run = opened.id, False, True
    are_connected = first.connected and second.connected
    if not are_connected or not first.send(opened_data):
        first.close()
        second.close()
        return
    record.requests += [opened, stolen]
    opened.sent_at = rig.scheduler.clock()
    rig.scheduler.spawn(_note_answer, rig, first, opened, name="client whose id is used")
    rig.scheduler.sleep(0.05 + 0.1 * draw.random())
    second.send(data)
    stolen.sent_at = rig.scheduler.clock()
    _note_answer(rig, second, stolen)
    while not opened.outcome:
        rig.scheduler.sleep(POLL_S)


def _note_answer(rig: Rig, client: RawClient, request: RequestRecord) -> None:
    """Waits for the only answer of a connection, notes it, and closes the connection."""
    found = client.answer(ANSWER_TIMEOUT_S)
    request.ended_at = client.completed_at if found else rig.scheduler.clock()
    request.first_byte_at = client.first_byte_at
    if found and found.kind is Kind.VALUE:
        request.set_value(found.text)
    names = {Kind.VALUE: "value", Kind.BUSY: "busy"}
    ended = "closed" if client.closed else "silent"
    request.outcome = names.get(found.kind, "error") if found else ended
    client.close()


def read_nothing(rig: Rig, draw: random.Random, name: str) -> RawClient:
    """Sends many commands for large answers; the caller closes the connection at the end."""
    client = rig.connect(name, RECEIVE_BUFFER_BYTES)
    fields = f"c={SAFE},t=gold,d=2000,units=1,spread={len(rig.names)},first=0".encode()
    commands = [
        encode(
            b"Q.ASK",
            b"0" * 16,
            f"{draw.getrandbits(48):012x}{UNREAD_VALUE_BYTES:x}".encode(),
            fields,
        )
        for _ in range(COMMANDS_WITHOUT_READER)
    ]
    client.send(b"".join(commands))
    return client
