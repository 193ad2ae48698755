"""An operator takes servers out, one call after the other, while a new version is started beside the old.

Judged at the servers: nothing new after the grace, until the call back, which never comes.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import bench  # noqa: E402

SERVERS = 10
OUT = ("s-1", "s-2", "s-3", "s-4")  # taken out, in this order; the last two after the new one's yes
CLIENTS = 8
WORK_S = (0.054, 0.094)  # mean work of `stock-check` at espoo-main
WAIT_MS = 1500
GRACE_S = 0.25 + 0.05  # `drain_grace`, and 50 ms that every time limit is longer on sockets
BESIDE_S = 1.0  # that both processes serve after the yes, before the old one gets SIGTERM
AFTER_S = 6.0  # that the rule is watched after that
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
            {"name": "stock-check", "objective": 0.6, "deadline": 1.5, "effect": "pure",
             "dedup_scope": "all", "window": 5.0, "credit": 1.0, "late_share": 0.2,
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
    arrived: list[tuple[float, str, str]] = []  # when, at which server, the request's id

    async def serve(server: bench.Server, words: list[bytes]) -> bytes:
        arrived.append((time.monotonic(), server.name, words[2].decode()))
        record.add("run", server=server.name, id=words[2].decode())
        await asyncio.sleep(rng.uniform(*WORK_S))
        return b"*3\r\n" + bench.bulk(b"value of " + words[2]) + b"$-1\r\n$-1\r\n"

    servers = [bench.Server(f"s-{n}", serve, "hall-a") for n in range(SERVERS)]
    for server in servers:
        await server.start()
    agents = [bench.Discovery([server.entry() for server in servers]) for _ in range(2)]
    for agent in agents:
        await agent.start()
    listen, *operators = (f"127.0.0.1:{bench.free_port()}" for _ in range(3))
    # The two processes are one limiter: the same name, addresses and $TMPDIR, another operator address.
    old, new = (
        bench.Limiter(folder, {
            "name": "n0", "listen": listen, "discovery": agent.address, "operator": operator,
            "seed": seed, "known": agent.known(), "settings": settings(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        })
        for agent, operator, seed in zip(
            agents, operators, ("8c1f30d27a5be964", "1b77ce02a94d3f58"), strict=True
        )
    )
    bench.stop_at_signals([old, new])
    banned_at: dict[str, float] = {}
    stop = asyncio.Event()
    load = [asyncio.create_task(client(record, listen, n, stop)) for n in range(CLIENTS)]
    try:
        old.start()
        await old.ready()
        await asyncio.sleep(2.0)
        if bench.TROUBLE:
            new.start()
            await yes(new)
        for place, server_id in enumerate(OUT):
            # The last two calls go to the new process, since it has said yes.
            called = new if bench.TROUBLE and place >= len(OUT) // 2 else old
            answer = await bench.operator_call(called.config["operator"], f"set-down {server_id}")
            banned_at[server_id] = time.monotonic()
            record.add("call", to="new" if called is new else "old", call=f"set-down {server_id}",
                       answer=answer)
            if not answer.startswith("done"):
                raise bench.NotRunError(f"set-down {server_id}: {answer!r}")
        await asyncio.sleep(BESIDE_S)
        if bench.TROUBLE:
            record.add("SIGTERM to the old process")
            old.signal(signal.SIGTERM)
        await asyncio.sleep(AFTER_S)
        if not (new if bench.TROUBLE else old).is_running():
            record.add("the limiter has ended")
            return bench.BROKEN
        stop.set()
        sent = sum(await asyncio.gather(*load))
    finally:
        old.end()
        new.end()
    late = [(at, name, request) for at, name, request in arrived
            if name in banned_at and at > banned_at[name] + GRACE_S]
    for at, name, request in late:
        record.add("sent to a server that is out", server=name, id=request,
                   seconds_after_the_yes=round(at - banned_at[name], 3))
    by_server = {name: sum(at_name == name for _, at_name, _ in late) for name in OUT}
    record.add("result", requests=sent, sent_to_servers_that_are_out=by_server)
    print(f"{sent} requests; sent after the grace to servers that are out: {by_server}")
    if sent < 100:
        raise bench.NotRunError("too few requests")
    return bench.BROKEN if late else bench.HELD


async def yes(limiter: bench.Limiter) -> None:
    """Waits for the new process's yes, which is due within 6 s."""
    until = time.monotonic() + 6.0
    while time.monotonic() < until:
        if (await bench.operator_call(limiter.config["operator"], "check")).startswith("done"):
            return
        await asyncio.sleep(0.05)
    raise bench.NotRunError("the new process has not said yes")


async def client(record: bench.Record, listen: str, number: int, stop: asyncio.Event) -> int:
    """Sends one request after the other, on a connection that it keeps; returns how many."""
    connection, sent = None, 0
    while not stop.is_set():
        sent += 1
        request_id = f"{number:04x}{sent:012x}"
        fields = f"c=stock-check,t=kumppani,d={WAIT_MS},units=1,spread=1,first=0"
        try:
            if connection is None:
                connection = bench.Client(listen)
                await connection.connect()
            connection.send(
                bench.command(
                    b"Q.ASK", b"%016x" % (number + 1), request_id.encode(), fields.encode()
                )
            )
            answer = await connection.answer(WAIT_MS / 1000 + 1)
            record.add("answered", id=request_id, answer=str(answer)[:60])
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            record.add("no answer, a new connection follows", id=request_id, why=repr(error))
            connection = None
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.02)
    return sent


bench.run_case(main, FOLDER)
