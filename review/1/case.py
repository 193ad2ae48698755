"""Clients send many commands at once; the answers are long. Does each request get its answer?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import bench  # noqa: E402

LIMITERS = 1
CLIENTS = 4  # connections of usual clients
AT_ONCE = 16  # commands that a client sends at once
ROUNDS = 5  # times that each client does so
WAIT_MS = 3000  # `d` of each request: the deadline of its class
SLACK_S = 0.05 + 0.5  # time limits are 50 ms longer; half a second late is not lost (STANDING)
WORK_S = (0.09, 0.16)  # mean work of `schedule-read` at espoo-main
VALUE_BYTES = (30_000, 60_000)  # a value holds 64 KiB at most
SEED = 45


def settings() -> dict[str, Any]:
    return {
        "position": 0,
        "balancers": LIMITERS,
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
    ran: dict[bytes, int] = {}

    async def serve(server: bench.Server, words: list[bytes]) -> bytes:
        request = words[2]
        ran[request] = ran.get(request, 0) + 1
        record.add("run", server=server.name, id=request.decode())
        await asyncio.sleep(rng.uniform(*WORK_S))
        value = (b"value of %b " % request).ljust(rng.randint(*VALUE_BYTES), b".")
        record.add("served", server=server.name, id=request.decode(), bytes=len(value))
        return b"*3\r\n" + bench.bulk(value) + b"$-1\r\n$-1\r\n"

    servers = [bench.Server(f"s-{n}", serve, "hall-a") for n in range(10)]
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
    try:
        limiter.start()
        await limiter.ready()
        results = await asyncio.gather(
            *[client(record, listen, number) for number in range(CLIENTS)]
        )
        limiter.must_run()
    finally:
        limiter.end()
    lost = [request for unanswered in results for request in unanswered]
    total = CLIENTS * AT_ONCE * ROUNDS
    served_by_servers = sum(request.encode() in ran for request in lost)
    record.add("result", requests=total, unanswered=len(lost), of_these_run=served_by_servers)
    bench.say(f"{total} requests; {len(lost)} got no answer; servers had run {served_by_servers} of these")
    return bench.BROKEN if lost else bench.HELD


async def client(record: bench.Record, listen: str, number: int) -> list[str]:
    """Sends its rounds; returns the ids of the requests that got no answer in time."""
    unanswered = []
    for turn in range(ROUNDS):
        ids = [f"{number:04x}{turn:04x}{place:08x}" for place in range(AT_ONCE)]
        connection = bench.Client(listen)
        await connection.connect()
        if bench.TROUBLE:
            commands = b"".join(request(number, i) for i in ids)
            for i in ids:
                record.add("sent", client=number, id=i)
            connection.send(commands)
            unanswered += await answers(record, connection, ids)
        else:
            for i in ids:
                record.add("sent", client=number, id=i)
                connection.send(request(number, i))
                unanswered += await answers(record, connection, [i])
        connection.close()
    return unanswered


def request(customer: int, request_id: str) -> bytes:
    fields = f"c=schedule-read,t=kumppani,d={WAIT_MS},units=1,spread=1,first=0"
    return bench.command(b"Q.ASK", b"%016x" % (customer + 1), request_id.encode(), fields.encode())


async def answers(record: bench.Record, connection: bench.Client, ids: list[str]) -> list[str]:
    """Reads the answers in their order; returns the ids of the requests that got none in time.

    The time spent waiting for the answers before it does not count for a request.
    """
    for place, request_id in enumerate(ids):
        try:
            answer = await connection.answer(WAIT_MS / 1000 + SLACK_S)
        except (asyncio.TimeoutError, EOFError) as error:
            for missing in ids[place:]:
                record.add("no answer", id=missing, why=type(error).__name__)
            await look_closer(record, connection, ids[place:])
            return ids[place:]
        kind = f"value of {len(answer)} bytes" if isinstance(answer, bytes) else str(answer)
        record.add("answered", id=request_id, answer=kind)
    return []


async def look_closer(record: bench.Record, connection: bench.Client, ids: list[str]) -> None:
    """Shows where the answers are, after the verdict: any further command brings them."""
    connection.send(bench.command(b"PING"))
    for request_id in ids:
        try:
            answer = await connection.answer(1.0)
        except (asyncio.TimeoutError, EOFError):
            record.add("no answer after a further command either", id=request_id)
            return
        kind = f"value of {len(answer)} bytes" if isinstance(answer, bytes) else str(answer)
        record.add("too late, after a further command (PING)", id=request_id, answer=kind)


bench.run_case(main, Path(sys.argv[1]))
