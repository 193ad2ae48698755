"""A planned restart while clients send many commands at once. Does each request taken get its answer?"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import bench  # noqa: E402

CLIENTS = 10  # connections of usual clients
AT_ONCE = 120  # commands that a client sends at once, 15 KB
PAUSE_S = 0.05  # of a client between its last answer and its next commands
WAIT_MS = 3000  # `d` of each request: the deadline of its class
SLACK_S = 0.05 + 0.5  # time limits are 50 ms longer; half a second late is not lost (STANDING)
MEAN_WORK_S = 0.125  # of `schedule-read` at espoo-main: 90 to 160 ms, exponential
LONGEST_WORK_S = 1.0
QUIET_S = 3.0  # before the SIGTERM
KILL_S = 3.0 + 0.7  # after it: the longest deadline and 0.7 s
TAKEN_UNTIL_S = 0.7  # after the SIGTERM: later requests may find the limiter closing
SAMPLE_S = 0.02  # between two looks at the sockets' queues
# A close that comes this shortly after the limiter has read the bytes may have crossed them: a
# limiter that has closed its side of a connection reads on for a while, and drops what it reads.
CROSSING_S = 0.1
SEED = 45


def settings() -> dict[str, Any]:
    return {
        "position": 0,
        "balancers": 1,
        "zone": "hall-a",
        "zones": ["hall-a"],
        "step": 0.002,
        "registry_mode": "push",
        "grades": [
            {"name": "schedule-read", "objective": 1.0, "deadline": 3.0, "effect": "pure",
             "dedup_scope": "all", "window": 5.0, "credit": 2.0, "late_share": 0.2,
             "streamed": False},
        ],
        "tariffs": [
            {"name": "kumppani", "per_second": 500.0, "most_at_once": 1000.0, "price": 1.8,
             "max_out": 0, "over_worth": 0.0, "excess_cost": 1.0, "ceiling_rate": 0.0,
             "hard_burst": 0.0, "tolerance": 0.0},
        ],
        "family_info": {"max_units": 6, "inbox_per_s": 60.0, "counter": False,
                        "post_paid": False, "meter_period": 0.0},
        "policy_limits": {"max_attempts": 6, "cancelling": True, "parallel_tries": True,
                          "conn_idle": 30.0, "connect_timeout": 0.25, "max_open": 20000,
                          "max_retry_after": 1.0, "retry_after": False, "probes": False,
                          "peers": True, "max_streams": 100},
        "report": {"how": "none", "fields": []},
        "safety": {"answer_slack": 0.008, "drain_grace": 0.25, "cold": 18.0, "cold_from": 0.25,
                   "tip_after": 3.0, "tip_multiple": 2.0, "ask_within": 10.0},
    }


async def main(record: bench.Record, folder: Path) -> int:
    rng = random.Random(SEED)
    ran = set[str]()

    async def serve(server: bench.Server, words: list[bytes]) -> bytes:
        ran.add(words[2].decode())
        record.add("run", server=server.name, id=words[2].decode())
        await asyncio.sleep(min(rng.expovariate(1 / MEAN_WORK_S), LONGEST_WORK_S))
        return b"*3\r\n" + bench.bulk(b"value of " + words[2]) + b"$-1\r\n$-1\r\n"

    servers = [bench.Server(f"s-{n}", serve, "hall-a") for n in range(14)]
    for server in servers:
        await server.start()
    discovery = bench.Discovery([server.entry() for server in servers])
    await discovery.start()
    listen = f"127.0.0.1:{bench.free_port()}"
    limiter = bench.Limiter(folder, {
        "name": "n0", "listen": listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.known(), "settings": settings(),
    })
    bench.stop_at_signals([limiter])
    stop, queues = asyncio.Event(), Queues(int(listen.rpartition(":")[2]))
    try:
        limiter.start()
        await limiter.ready()
        watching = asyncio.create_task(queues.watch())
        load = [asyncio.create_task(client(record, listen, n, stop, queues)) for n in range(CLIENTS)]
        await asyncio.sleep(QUIET_S)
        limiter.must_run()
        told_at = time.monotonic()
        if bench.TROUBLE:
            record.add("SIGTERM")
            limiter.signal(signal.SIGTERM)
        while limiter.is_running() and time.monotonic() < told_at + KILL_S:
            await asyncio.sleep(0.02)
        status = limiter.process.returncode if limiter.process else None
        record.add("end", running=limiter.is_running(), status=status)
        # Nobody but the limiter itself may have ended it, and without a SIGTERM it has not ended.
        if status != (0 if bench.TROUBLE else None):
            raise bench.NotRunError(f"the limiter's status is {status} {KILL_S} s after the SIGTERM")
        stop.set()
        results = await asyncio.gather(*load)
        if watching.done():
            raise bench.NotRunError("the system's table of sockets could not be read")
        watching.cancel()
    finally:
        limiter.end()
    sent = sum(count for count, _ in results)
    # Only what the limiter had read counts: a close may cross a request that it has not read.
    # It counts up to 0.7 s after the SIGTERM; what comes later may go unanswered at the end.
    lost = [row for _, unanswered in results for row in unanswered
            if row.read_after is not None
            and (row.closed_at is None or row.sent_at + row.read_after < told_at + TAKEN_UNTIL_S)]
    for row in lost:
        record.add("lost", id=row.id, had_run=row.id in ran,
                   sent_after_sigterm_s=round(row.sent_at - told_at, 3),
                   read_after_sent_s=round(row.read_after, 3),
                   closed_after_sent_s=row.closed_at and round(row.closed_at - row.sent_at, 3))
    record.add("result", requests=sent, lost=len(lost))
    bench.say(f"{sent} requests; {len(lost)} lost")
    return bench.BROKEN if lost else bench.HELD


class Unanswered(NamedTuple):
    """A request without an answer.

    `read_after`: seconds from its sending until it was seen that the limiter had read it; None if
    that was not seen. `closed_at`: when the limiter closed the connection; None if it did not.
    """

    id: str
    sent_at: float
    read_after: float | None
    closed_at: float | None


class Queues:
    """Looks at the system's table of sockets: which bytes has the limiter's process read?"""

    def __init__(self, listen_port: int) -> None:
        self._port = listen_port
        self._all_read_at: dict[int, list[float]] = {}  # by client's port: when nothing was queued

    async def watch(self) -> None:
        while True:
            now, waiting = time.monotonic(), dict[int, int]()
            for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
                _, local, remote, _, sizes, *_ = line.split()
                ports = int(local.split(":")[1], 16), int(remote.split(":")[1], 16)
                unsent, unread = (int(size, 16) for size in sizes.split(":"))
                if ports[0] == self._port and ports[1]:  # the limiter's socket
                    waiting[ports[1]] = waiting.get(ports[1], 0) + unread
                elif ports[1] == self._port:  # the client's
                    waiting[ports[0]] = waiting.get(ports[0], 0) + unsent
            for port, size in waiting.items():
                if not size:
                    self._all_read_at.setdefault(port, []).append(now)
            await asyncio.sleep(SAMPLE_S)

    def read_after(self, port: int, sent_at: float, closed_at: float) -> float | None:
        """Returns how long after `sent_at` all bytes were seen to be read, well before the close."""
        latest = closed_at - CROSSING_S
        seen = [at for at in self._all_read_at.get(port, []) if sent_at < at < latest]
        return seen[0] - sent_at if seen else None


async def client(
    record: bench.Record, listen: str, number: int, stop: asyncio.Event, queues: Queues
) -> tuple[int, list[Unanswered]]:
    """Sends many commands at once, again and again, as long as its connection stays open.

    Returns how many, and those without an answer.
    """
    connection, sent, turn = bench.Client(listen), 0, 0
    await connection.connect()
    port = connection.writer.get_extra_info("sockname")[1]
    while not stop.is_set():
        turn += 1
        ids = [f"{number:04x}{turn:04x}{place:08x}" for place in range(AT_ONCE)]
        at = time.monotonic()
        connection.send(b"".join(request(number, i) for i in ids))
        sent += len(ids)
        record.add("sent", client=number, ids=f"{ids[0]} to {ids[-1]}")
        for place, request_id in enumerate(ids):
            try:
                answer = await connection.answer(WAIT_MS / 1000 + SLACK_S)
                record.add("answered", id=request_id, answer=str(answer)[:60])
            except asyncio.TimeoutError:
                record.add("no answer in time", ids=f"{request_id} to {ids[-1]}")
                read_after = queues.read_after(port, at, time.monotonic())
                return sent, [Unanswered(i, at, read_after, None) for i in ids[place:]]
            except EOFError:
                closed = time.monotonic()
                record.add("closed by the limiter", client=number, answered=place,
                           unanswered=f"{request_id} to {ids[-1]}",
                           seconds_after_sent=round(closed - at, 3))
                read_after = queues.read_after(port, at, closed)
                return sent, [Unanswered(i, at, read_after, closed) for i in ids[place:]]
        await asyncio.sleep(PAUSE_S)
    connection.close()
    return sent, []


def request(customer: int, request_id: str) -> bytes:
    fields = f"c=schedule-read,t=kumppani,d={WAIT_MS},units=1,spread=1,first=0"
    return bench.command(b"Q.ASK", b"%016x" % (customer + 1), request_id.encode(), fields.encode())


bench.run_case(main, Path(sys.argv[1]))
