"""The clients of a soak run: what each sends, when it leaves, and what it was answered."""

from __future__ import annotations

import random
from collections import deque

from hazelhollow.net.scheduler import Scheduler
from hazelhollow.soak.hostile_clients import send_under_open_id, send_with_bytes_behind
from hazelhollow.soak.pipelining_clients import (
    ANSWER_TIMEOUT_S,
    OUTCOMES,
    note_missing,
    send_much_and_leave,
    send_orders_behind,
)
from hazelhollow.soak.plan import SoakPlan
from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.record import (
    KEYED,
    SAFE,
    UNSAFE,
    RequestRecord,
    SoakRecord,
    digest,
)
from hazelhollow.soak.rig import Rig
from hazelhollow.soak.slow_clients import ask_for_slow_answers, send_large_orders
from hazelhollow.soak.wire import Kind, UnsoundAnswerError, encode

CLASS_NAMES = (SAFE, KEYED, UNSAFE)
CUSTOMERS = 40
BODY_SIZES = (0, 1, 4, 1000, 16_384, 65_535, 65_536)
SHORT_SIZES = (0, 1, 30, 500, 4096, 65_535, 65_536)
LONG_SIZES = (65_537, 70_000, 200_000, 1_000_000, 4 << 20)
WAITS_MS = (300, 700, 1500, 3000)
LONG_SHARE, LEAVE_SHARE, UNSOUND_SHARE = 0.1, 0.15, 0.15
PAUSE_S = 0.12  # mean time between a client's requests
ON_OWN_CONNECTIONS = (
    ("client: bytes behind", send_with_bytes_behind),
    ("client: other id", send_under_open_id),
    ("client: orders behind", send_orders_behind),
    ("client: much and gone", send_much_and_leave),
    ("client: slow answers", ask_for_slow_answers),
    ("client: large orders", send_large_orders),
)
LONG_KINDS = ("server: long", "server: heads", "server: drips", "server: stops")


class SoakClient:
    """One client: draws requests, sends them, and records what became of them."""

    def __init__(self, rig: Rig, plan: SoakPlan, number: int, record: SoakRecord) -> None:
        self._rig, self._plan, self._record = rig, plan, record
        self._scheduler: Scheduler = rig.scheduler
        self._draw = random.Random(plan.seed * 1000 + number)
        self._client: RawClient | None = None
        self._limiter = ""  # to which it is connected
        self._used = False  # whether the connection has had an answer
        self.is_done = False

    def run(self, until: float) -> None:
        """Sends requests until that time; the body of its task."""
        while self._scheduler.clock() < until:
            self._scheduler.sleep(self._draw.expovariate(1.0 / PAUSE_S))
            self._use_connection()
        if self._client:
            self._client.close()
        self.is_done = True

    def _use_connection(self) -> None:
        if self._uses_own_connections():
            return
        if self._client is None or self._client.closed:
            self._connect()
        client = self._client
        if client is None:
            return
        if self._plan.has("client: unsound") and self._draw.random() < UNSOUND_SHARE:
            self._send_unsound(client)
            return
        count = 1
        if self._plan.has("client: pipeline"):
            count = self._draw.choice((1, 1, 2, 8, 64))
        batch = [self._draw_request() for _ in range(count)]
        self._send(client, batch)
        leaves = self._plan.has("client: leave") or self._plan.has("client: resend")
        if leaves and self._draw.random() < LEAVE_SHARE:
            self._leave(client, [request for request, _ in batch], batch)
            return
        self._await_answers(client, [request for request, _ in batch])

    def _uses_own_connections(self) -> bool:
        """Plays one of the kinds with connections of their own; returns whether it did."""
        for kind, send in ON_OWN_CONNECTIONS:
            if self._plan.has(kind) and self._draw.random() < UNSOUND_SHARE:
                name = self._draw.choice(self._rig.names)
                send(self._rig, self._record, self._draw, name, self._draw_request)
                return True
        return False

    def _connect(self, name: str = "") -> None:
        """Connects to a limiter, by default to a drawn one."""
        if self._client:
            self._client.close()
        slow = self._plan.has("client: slow reader") and self._draw.random() < 0.3
        self._limiter = name or self._draw.choice(self._rig.names)
        self._client, self._used = self._rig.connect(self._limiter, 8192 if slow else 0), False
        if not self._client.connected:
            self._client.close()
            self._client = None

    # Requests

    def _draw_request(
        self, class_name: str = "", value_size: int | None = None, body_size: int | None = None
    ) -> tuple[RequestRecord, bytes]:
        """Draws a request; what is given is not drawn."""
        draw = self._draw
        class_name = class_name or draw.choice(CLASS_NAMES)
        wait_ms = min(draw.choice(WAITS_MS), 2000 if class_name == SAFE else 3000)
        size = draw.choice(SHORT_SIZES)
        if any(map(self._plan.has, LONG_KINDS)) and draw.random() < LONG_SHARE:
            size = draw.choice(LONG_SIZES)
        size = size if value_size is None else value_size
        request_id = f"{draw.getrandbits(48):012x}{size:x}"
        request = RequestRecord(request_id, class_name, wait_ms / 1000, value_size=size)
        key = f"k={draw.getrandbits(64):016x}," if class_name == KEYED else ""
        first = draw.randrange(self._plan.limiters)
        fields = (
            f"c={class_name},t=gold,d={wait_ms},{key}units={draw.randint(1, 4)},"
            f"spread={self._plan.limiters},first={first}"
        )
        customer = f"{draw.randrange(CUSTOMERS):016x}"
        words = [customer.encode(), request_id.encode(), fields.encode()]
        if class_name == SAFE:
            return request, encode(b"Q.ASK", *words)
        if body_size is None:
            body_size = draw.choice(BODY_SIZES) if self._plan.has("client: large body") else 4
        return request, encode(b"Q.DO", *words, b"B" * body_size)

    def _send(self, client: RawClient, batch: list[tuple[RequestRecord, bytes]]) -> None:
        in_pieces = self._plan.has("client: pieces")
        for position, (request, data) in enumerate(batch):
            request.on_new_connection = not self._used and position == 0
            request.waits_behind = position
            self._record.requests.append(request)
            cuts = self._draw.choice((1, 2, 5)) if in_pieces else 1
            size = -(-len(data) // cuts)
            for start in range(0, len(data), size):
                if start:
                    client.read_for(0.03 * self._draw.random())
                client.send(data[start : start + size])
            request.sent_at = self._scheduler.clock()

    def _await_answers(self, client: RawClient, requests: list[RequestRecord]) -> None:
        waiting = deque(requests)
        while waiting:
            request = waiting.popleft()
            try:
                answer = client.answer(ANSWER_TIMEOUT_S)
            except UnsoundAnswerError as error:
                self._record.crashes.append(f"unsound answer to {request.id}: {error}")
                answer = None
            if answer is None:
                note_missing(client, request, list(waiting), self._scheduler.clock())
                client.close()
                self._client = None
                return
            request.first_byte_at, request.ended_at = client.first_byte_at, client.completed_at
            self._used = True
            request.outcome = OUTCOMES[answer.kind]
            if answer.kind is Kind.VALUE:
                request.value = digest(answer.text)

    def _leave(
        self,
        client: RawClient,
        requests: list[RequestRecord],
        batch: list[tuple[RequestRecord, bytes]],
    ) -> None:
        client.pause_reading(0.15 * self._draw.random())
        left_at = self._scheduler.clock()
        client.close(reset=self._draw.random() < 0.3)
        self._client = None
        for request in requests:
            request.left_at, request.ended_at, request.outcome = left_at, left_at, "left"
        if not self._plan.has("client: resend"):
            return
        self._scheduler.sleep(0.2 * self._draw.random())
        self._connect(self._limiter)  # no way leads from one limiter to another for an id
        if self._client is None:
            return
        again = [
            (
                RequestRecord(one.id, one.class_name, one.wait, value_size=one.value_size,
                              resent=True),
                data,
            )
            for one, data in batch
        ]  # fmt: skip
        self._send(self._client, again)
        self._await_answers(self._client, [request for request, _ in again])

    def _send_unsound(self, client: RawClient) -> None:
        request, data = self._draw_request()
        request.is_sound = False
        changed = {
            "count": data.replace(b"*", b"*0", 1),
            "length": data.replace(b"$16", b"$016", 1),
            "status": data.replace(b"$16\r\n", b"+", 1),
            "verb": data.replace(b"Q.", b"q.", 1),
            "unknown field": data.replace(b"c=", b"x=", 1),
            "no units": data.replace(b"units=", b"units=0", 1),
            "sign": data.replace(b",d=", b",d=+", 1),
        }
        request.on_new_connection = not self._used
        self._record.requests.append(request)
        client.send(changed[self._draw.choice(sorted(changed))])
        request.sent_at = self._scheduler.clock()
        answer = client.answer(4.0)
        request.ended_at = self._scheduler.clock()
        request.outcome = (
            OUTCOMES[answer.kind] if answer else "closed" if client.closed else "silent"
        )
        client.close()
        self._client = None
