"""A configuration file that is short of a key arrives by SIGHUP. Do the old settings stay, whole?

Judged at the servers: a keyed request must not run at two cells.
"""

from __future__ import annotations

import asyncio
import copy
import json
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import bench  # noqa: E402

SECONDS = 20.0  # of load after the SIGHUP
CLIENTS = 6
PAUSE_S = 0.1  # of a client between an answer and its next request
SERVERS, CELL_SIZE = 8, 4  # two cells of four
RESET_SHARE = 0.03  # of the requests: the connection is reset under them, after they have run
WORK_S = (0.054, 0.094)  # mean work of `order-place` at espoo-main
WAIT_MS = 3000
WINDOW_S = 6.0  # for which a cell drops a repeat
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
            {"name": "order-place", "objective": 0.75, "deadline": 3.0, "effect": "token",
             "dedup_scope": "cell", "window": WINDOW_S, "credit": 2.0, "late_share": 0.0,
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
    rng, resets = random.Random(SEED), 0
    ran: dict[str, list[tuple[float, int]]] = {}  # by key: when it ran, and at which cell

    async def serve(server: bench.Server, words: list[bytes]) -> bytes | None:
        nonlocal resets
        key, now = bench.fields_of(words)["k"], time.monotonic()
        known = [at for at, cell in ran.get(key, []) if cell == server.group and now - at < WINDOW_S]
        if known:  # a sound cell drops the repeat, and answers with the value
            record.add("repeat dropped", server=server.name, cell=server.group, key=key)
        else:
            ran.setdefault(key, []).append((now, server.group))
            record.add("run", server=server.name, cell=server.group, key=key, id=words[2].decode())
            await asyncio.sleep(rng.uniform(*WORK_S))
            if rng.random() < RESET_SHARE:
                resets += 1
                record.add("reset under the request", server=server.name, key=key)
                return None
        return b"*3\r\n" + bench.bulk(b"order " + key.encode()) + b"$-1\r\n$-1\r\n"

    servers = [bench.Server(f"s-{n}", serve, "hall-a", n // CELL_SIZE) for n in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = bench.Discovery([server.entry() for server in servers])
    await discovery.start()
    listen, operator = (f"127.0.0.1:{bench.free_port()}" for _ in range(2))
    config = {
        "name": "n0", "listen": listen, "discovery": discovery.address, "operator": operator,
        "seed": "8c1f30d27a5be964", "known": discovery.known(), "settings": settings(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }
    limiter = bench.Limiter(folder, config)
    bench.stop_at_signals([limiter])
    try:
        limiter.start()
        await limiter.ready()
        await asyncio.sleep(1.5)  # no SIGHUP in the first second
        if bench.TROUBLE:
            broken = copy.deepcopy(config)
            del broken["settings"]["grades"][1]["dedup_scope"]  # type: ignore[index]
            limiter.write_config(broken)
            limiter.signal(signal.SIGHUP)
            record.add("SIGHUP", file="as before, but the class order-place is short of dedup_scope")
        await asyncio.sleep(1.2)
        until = time.monotonic() + SECONDS
        counts = await asyncio.gather(
            *[client(record, listen, number, until) for number in range(CLIENTS)]
        )
        limiter.must_run()
        figures = await bench.operator_call(operator, "vars")
        record.add("vars", answer=figures)
    finally:
        limiter.end()
    twice = {key: cells for key, runs in ran.items() if len(cells := {c for _, c in runs}) > 1}
    for key in twice:
        record.add("ran at two cells", key=key, at=[[round(t - ran[key][0][0], 3), c]
                                                    for t, c in ran[key]])
    record.add("result", requests=sum(counts), keys_run=len(ran), run_at_two_cells=len(twice))
    bench.say(f"{sum(counts)} requests; {len(twice)} of {len(ran)} keys ran at two cells")
    seen = json.loads(figures)
    files = seen["reload_success"] + seen["reload_failure"]
    if not ran or not resets or files != int(bench.TROUBLE):
        raise bench.NotRunError(f"{len(ran)} requests run, {resets} reset, {files} files read")
    return bench.BROKEN if twice else bench.HELD


async def client(record: bench.Record, listen: str, number: int, until: float) -> int:
    """Sends one request after the other, each with a new key and no retry; returns how many."""
    connection, sent = bench.Client(listen), 0
    await connection.connect()
    while time.monotonic() < until:
        sent += 1
        request_id, key = f"{number:04x}{sent:012x}", f"{number + 1:04x}{sent:012x}"
        fields = f"c=order-place,t=kumppani,d={WAIT_MS},k={key},units=1,spread=1,first=0"
        record.add("sent", client=number, id=request_id, key=key)
        connection.send(
            bench.command(
                b"Q.DO", b"%016x" % (number + 1), request_id.encode(), fields.encode(), b"an order"
            )
        )
        answer = await connection.answer(WAIT_MS / 1000 + 1)
        record.add("answered", id=request_id, answer=str(answer)[:60])
        await asyncio.sleep(PAUSE_S)
    connection.close()
    return sent


bench.run_case(main, Path(sys.argv[1]))
