"""An upgrade while a request is open, and a bad client that uses the id of that request."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
from rig import (  # noqa: E402
    TROUBLE, CannotRunError, Client, Process, Request, Rig, Run, Server, play, settings,
)

DEADLINE_MS = 3000  # of schedule-read
LONG_WORK_S = 2.4  # of the usual client's request, within its deadline
USUAL, BAD = 0x91F03B7C, 0x0BAD0BAD
ROUNDS, BAD_CONNECTIONS = 1, 8
LOAD_PER_S = 20


def make() -> Rig:
    return Rig(FOLDER, 1, settings())


async def load(rig: Rig, client: Client, until: asyncio.Event) -> None:
    """The usual traffic of other customers."""
    number = 0
    while not until.is_set():
        number += 1
        rig.spawn(client.ask(Request(number, "schedule-read", "perus", 0x1000 + number % 20, 1500, 1, 1, 0)))
        await asyncio.sleep(1 / LOAD_PER_S)


async def case(rig: Rig) -> bool:
    servers = [Server(rig, f"s-{n}", work=0.02) for n in range(4)]
    long_ids = {f"5d3a91c4a86c{n:04x}" for n in range(ROUNDS)}

    def work_of(run: Run) -> float:
        return LONG_WORK_S if run.id in long_ids else 0.02

    for server in servers:
        server.work_of = work_of
    await rig.start(servers)
    limiter, enough = rig.limiters[0], asyncio.Event()
    rig.spawn(load(rig, Client(rig, limiter), enough))
    served = 0
    for round_number in range(ROUNDS):
        await asyncio.sleep(2.0)
        usual = Request(0, "schedule-read", "perus", USUAL, DEADLINE_MS, 1, 1, 0,
                        request_id=f"5d3a91c4a86c{round_number:04x}")
        asked = rig.spawn(Client(rig, limiter).ask(usual))
        await asyncio.sleep(0.2)
        old = limiter.processes[-1]
        if TROUBLE:
            await Process(limiter, rig.settings, fresh_tmp=False).ready(6.0)
            old.signal(signal.SIGTERM)
        else:
            await asyncio.sleep(0.3)
        bad = [Request(0, "schedule-read", "perus", BAD, DEADLINE_MS, 1, 1, 0, request_id=usual.id)
               for _ in range(BAD_CONNECTIONS)]
        await asyncio.gather(*(Client(rig, limiter).ask(one) for one in bad[:1]))
        still_open = not asked.done()
        await asyncio.gather(*(Client(rig, limiter).ask(one) for one in bad[1:]))
        await asked
        rig.record.say(
            f"round {round_number}: the usual client was {usual.answer}; the bad one, while that was open"
            f" ({still_open}): {', '.join(one.answer for one in bad)}"
        )
        if not still_open:
            raise CannotRunError("the usual client's request was not open any more")
        served += sum(one.answer == "served" for one in bad if one.sent_at < usual.answered_at)
        if TROUBLE and not await old.ended(3.0 + 0.7):
            old.signal(signal.SIGKILL)
    enough.set()
    await rig.finish_tasks()
    foreign = [run for run in rig.runs if run.id in long_ids and run.customer == f"{BAD:016x}"]
    rig.record.say(f"{len(foreign)} runs of the bad client's commands; {served} of them were served")
    return not served


play(case, make)
