"""Clients in hundreds, clients that flood, and clients that leave; endpoints that read slowly."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable

import pytest

from hazelhollow.soak.raw_client import RawClient
from hazelhollow.soak.rig import Execution, Rig, RigOptions
from hazelhollow.soak.wire import Kind, encode
from hazelhollow.standins.answer_script import Pause, Write, answer
from tests.soak.helpers import CUSTOMER, fields, new_id, request

MEMORY_MB = 96
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
CLOSE_GRACE_S = 0.1
LATE_S = 0.5  # after its time an answer only earns nothing for this long; then it is lost


class Prober:
    """A usual client: one request after another, each on a connection that it keeps."""

    def __init__(self, rig: Rig) -> None:
        self._rig, self.running = rig, True
        self.waits: list[float] = []
        self.kinds: Counter[Kind | None] = Counter()
        rig.scheduler.spawn(self._run, name="prober")

    def _run(self) -> None:
        client = self._rig.connect()
        while self.running:
            sent_at = self._rig.scheduler.clock()
            client.send(request("look", new_id()))
            found = client.answer(4.0)
            self.kinds[found.kind if found else None] += 1
            self.waits.append(self._rig.scheduler.clock() - sent_at)
            self._rig.scheduler.sleep(0.02)
        client.close()


@pytest.mark.parametrize("count", [60, 350])
def test_requests_of_a_client_that_has_closed_are_sent_on(count: int) -> None:
    """It closes with much unread, and sends the same ids again on a new connection at once."""
    late, ran_twice = list[Execution](), list[bytes]()
    with Rig() as rig:
        rig.script = lambda arguments: [Pause(0.2), Write(answer(b"v" * 3000))]

        def scenario() -> None:
            rig.start()
            ids = [new_id() for _ in range(count)]
            commands = b"".join(request("pay", request_id) for request_id in ids)
            client = rig.connect(receive_buffer=4096)
            client.send(commands)
            client.pause_reading(0.25)
            closed_at = rig.scheduler.clock()
            client.close()
            again = rig.connect()
            rig.scheduler.sleep(2 * CLOSE_GRACE_S)
            late.extend(run for run in rig.executions if run.time > closed_at + CLOSE_GRACE_S)
            again.send(commands)
            for _ in ids:
                again.answer(3.0)
            again.close()
            runs = Counter(run.id for run in rig.executions)
            ran_twice.extend(request_id for request_id in ids if runs[request_id] > 1)

        rig.run(scenario)
    assert not late and not ran_twice


@pytest.mark.parametrize("class_name", ["buy", "pay"])
def test_final_answer_comes_seconds_late_if_an_endpoint_reads_slowly(class_name: str) -> None:
    """Endpoints accept connections and read nothing of a request of 64 KiB."""
    waits = []
    with Rig(RigOptions(endpoints=0)) as rig:
        listeners = []
        for number in range(3):
            host, port = rig.network.own(100 + number, 6379)
            listener = socket.create_server((host, port))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            listeners.append(listener)
            rig.list_endpoint(f"s-{number}", number, 0)

        def scenario() -> None:
            rig.start()
            for wait_ms in (300, 1000, 2500):
                client = rig.connect()
                sent_at = rig.scheduler.clock()
                client.send(request(class_name, new_id(), wait_ms, b"B" * 65536))
                found = client.answer(8.0)
                waits.append((wait_ms / 1000, rig.scheduler.clock() - sent_at, found))
                client.close()

        rig.run(scenario)
        for listener in listeners:
            listener.close()
    assert all(found and waited < wait + LATE_S for wait, waited, found in waits), waits


KINDS = ["writes slowly", "stops half way", "many short fields", "endless lengths"]


@pytest.mark.parametrize(("kind", "count"), [(kind, 250) for kind in KINDS] + [(KINDS[1], 560)])
def test_hundreds_of_slow_writers_pass_the_memory_limit_or_block_others(
    kind: str, count: int
) -> None:
    memory = []
    body = b"B" * 65000
    many_fields = encode(b"Q.ASK", CUSTOMER, b"x", b"c=look," * 9000)
    data = {
        "writes slowly": request("pay", new_id(), 2000, body)[:60_000],
        "stops half way": request("pay", new_id(), 2000, body)[:65_500],
        "many short fields": many_fields[:60_000],
        "endless lengths": b"*64\r\n" + b"$1\r\na\r\n" * 40 + b"$60000\r\n" + b"x" * 30_000,
    }[kind]
    with Rig(RigOptions(limits=LIMITS)) as rig:

        def write(client: RawClient) -> None:
            for start in range(0, len(data), 20_000):
                client.send(data[start : start + 20_000], 0.5)
                rig.scheduler.sleep(0.3)

        def scenario() -> None:
            rig.start()
            prober = Prober(rig)
            clients = [rig.connect() for _ in range(count)]
            for client in clients:
                rig.scheduler.spawn(write, client)
            for _ in range(30):
                memory.append(rig.memory_kb("n0"))
                rig.scheduler.sleep(0.1)
            prober.running = False
            rig.scheduler.sleep(0.2)
            for client in clients:  # each is owed an error or a close
                client.answer(3.0)
                memory.append(client.closed or client.received_bytes > 0)
                client.close()
            assert set(prober.kinds) == {Kind.VALUE} and max(prober.waits) < 1.0, prober.kinds

        rig.run(scenario)
    ended = [one for one in memory if isinstance(one, bool)]
    assert all(ended) and len(ended) == count
    assert max(one for one in memory if not isinstance(one, bool)) < MEMORY_MB * 1024


FLOODS: dict[str, Callable[[int], bytes]] = {
    "small requests": lambda number: request("look", b"%x" % number),
    "ever new customers": lambda number: encode(
        b"Q.ASK", b"%016x" % (number % 2**33), b"%x" % number, fields("look", 2000)
    ),
    "unsound requests": lambda number: encode(b"Q.ASK", CUSTOMER, b"%x" % number, b"c=look"),
    "unknown commands": lambda number: encode(b"X%d" % number),
    "pings": lambda number: encode(b"PING"),
    "many fields": lambda number: encode(b"Q.ASK", CUSTOMER, b"x", b"a=%d," % number * 300),
}


@pytest.mark.parametrize("kind", FLOODS)
def test_flood_of_one_client_delays_others_or_grows_memory(kind: str) -> None:
    """One client sends at full speed for 3 s and reads what it is sent."""
    make, memory = FLOODS[kind], []
    with Rig(RigOptions(limits=LIMITS)) as rig:

        def flood(until: float) -> None:
            number, client = 0, rig.connect()
            while rig.scheduler.clock() < until:
                if client.closed:
                    client.close()
                    client = rig.connect()
                batch = b"".join(make(number + one) for one in range(64))
                number += 64
                client.send(batch, 0.05)
                while client.read_some(rig.scheduler.clock()):
                    pass
            client.close()

        def scenario() -> None:
            rig.start()
            prober = Prober(rig)
            rig.scheduler.spawn(flood, rig.scheduler.clock() + 3.0)
            for _ in range(32):
                memory.append(rig.memory_kb("n0"))
                rig.scheduler.sleep(0.1)
            prober.running = False
            rig.scheduler.sleep(0.2)
            assert len(prober.waits) > 20 and max(prober.waits) < 1.0, sorted(prober.waits)[-5:]
            assert prober.kinds[None] == 0 and prober.kinds[Kind.ERROR] == 0, prober.kinds

        rig.run(scenario)
    assert max(memory) < MEMORY_MB * 1024 and memory[-1] < memory[0] + 20 * 1024, memory[::6]


def test_slow_readers_of_long_answers_and_slow_writers_together_pass_the_memory_limit() -> None:
    """100 clients read 2 MiB slowly while 200 write most of a 64 KiB request and stop."""
    memory, whole = list[int](), list[bool]()
    value, half = bytes(2 << 20), request("pay", new_id(), 2000, b"B" * 65000)[:60_000]
    with Rig(RigOptions(limits=LIMITS)) as rig:
        rig.script = lambda _: [Write(answer(value))]

        def read(client: RawClient) -> None:
            until = rig.scheduler.clock() + 25.0
            while client.received_bytes <= len(value) and rig.scheduler.clock() < until:
                client.read_some(until, 1 << 14)
            found = client.answer(1.0)
            whole.append(found is not None and found.text == value)
            client.close()

        def write(client: RawClient) -> None:
            client.send(half[:30_000], 0.5)
            rig.scheduler.sleep(0.3)
            client.send(half[30_000:], 0.5)

        def scenario() -> None:
            rig.start()
            writers = [rig.connect() for _ in range(200)]
            for client in writers:
                rig.scheduler.spawn(write, client)
            for _ in range(100):  # each begins before the next, so that none is rejected
                client = rig.connect(receive_buffer=8192)
                client.send(request("look", new_id()))
                client.read_some(rig.scheduler.clock() + 2.0, 1)
                memory.append(rig.memory_kb("n0"))
                rig.scheduler.spawn(read, client)
            while len(whole) < 100:
                memory.append(rig.memory_kb("n0"))
                rig.scheduler.sleep(0.05)
            for client in writers:
                client.close()

        rig.run(scenario)
    assert whole == [True] * 100 and max(memory) < MEMORY_MB * 1024, max(memory)


def test_requests_are_forwarded_without_room_for_their_answers() -> None:
    """200 clients stop in a body of 60 KB; 200 send 64 commands for 60 KB answers and read none."""
    memory, limits = list[int](), {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    half = request("pay", new_id(), 2000, b"B" * 60_500)[:60_000]
    with Rig(RigOptions(limits=limits, endpoints=140)) as rig:  # so many that none is overloaded
        rig.script = lambda _: [Write(answer(bytes(60_000)))]

        def stop_in_a_body(client: RawClient) -> None:
            for start in range(0, len(half), 20_000):
                client.send(half[start : start + 20_000], 0.5)
                rig.scheduler.sleep(0.1)

        def read_nothing(client: RawClient) -> None:
            client.send(b"".join(request("look", new_id()) for _ in range(64)), 1.0)

        def scenario() -> None:
            rig.start()
            prober = Prober(rig)
            clients = [rig.connect(receive_buffer=8192) for _ in range(400)]
            for number, client in enumerate(clients):
                rig.scheduler.spawn(read_nothing if number % 2 else stop_in_a_body, client)
                rig.scheduler.sleep(0.015)
                memory.append(rig.memory_kb("n0"))
            for _ in range(50):
                memory.append(rig.memory_kb("n0"))
                rig.scheduler.sleep(0.1)
            prober.running = False
            rig.scheduler.sleep(0.3)
            for client in clients:
                client.close()
            assert prober.kinds[None] == 0 and prober.kinds[Kind.ERROR] == 0, prober.kinds
            assert prober.kinds[Kind.VALUE] > 20, prober.kinds

        rig.run(scenario)
    assert max(memory) < 192 * 1024, max(memory)
