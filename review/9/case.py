"""A rolling upgrade while a customer presses against its ceiling."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"  # written by the rig, line by line
sys.path.insert(0, str(FOLDER.parent / "lib2"))
from rig import TROUBLE, Client, Process, Request, Rig, Server, lowest_ceiling, play, settings  # noqa: E402

CUSTOMER = 0x91F03B7C
RATE, BURST, TOLERANCE = 56.0, 84.0, 8.4  # espoo-main, laaja: 2 x 28, 1.5 s worth, a tenth
SLACK_S = 0.15  # PROTOCOL: the slack is wider by what the ceiling's rate gives in 150 ms
SPREAD = 2
PER_SECOND, UNITS, WAIT_MS = 30, 2, 1500  # of the customer at each limiter: 60 units a second
STEADY_S, BETWEEN_S, END_S = 8.0, 3.0, 3.0

PLAN = {
    "name": "laaja", "per_second": 0.0, "most_at_once": 0.0, "ceiling_rate": RATE, "hard_burst": BURST,
    "tolerance": TOLERANCE, "max_out": 16, "excess_cost": 1.2, "over_worth": 0.0, "price": 1.3,
}


def make() -> Rig:
    return Rig(RECORD, SPREAD, settings(tariffs=[PLAN]))


async def press(rig: Rig, client: Client, offset: int, until: asyncio.Event) -> None:
    """The customer's requests at one limiter: evenly, whatever is answered."""
    loop, number = asyncio.get_running_loop(), offset
    due = loop.time()
    while not until.is_set():
        number += 1
        request = Request(number, "schedule-read", "laaja", CUSTOMER, WAIT_MS, UNITS, SPREAD, 0)
        rig.spawn(client.ask(request))
        due += 1 / PER_SECOND
        await asyncio.sleep(max(due - loop.time(), 0))


async def upgrade(rig: Rig, number: int) -> None:
    """DAYS: the new process starts beside the old one; at its yes the old one gets SIGTERM."""
    limiter = rig.limiters[number]
    old = limiter.processes[-1]
    new = Process(limiter, rig.settings, fresh_tmp=False)
    await new.ready(6.0)
    old.signal(signal.SIGTERM)
    if not await old.ended(3.0 + 0.7):
        old.signal(signal.SIGKILL)


async def case(rig: Rig) -> bool:
    await rig.start([Server(rig, f"s-{n}") for n in range(4)])
    enough = asyncio.Event()
    for limiter in rig.limiters:
        rig.spawn(press(rig, Client(rig, limiter), limiter.number * 100_000, enough))
    await asyncio.sleep(STEADY_S)
    for number in range(SPREAD):
        if TROUBLE:
            await upgrade(rig, number)
        await asyncio.sleep(BETWEEN_S)
    await asyncio.sleep(END_S)
    enough.set()
    await rig.finish_tasks()
    lowest, at = lowest_ceiling(rig.runs, f"{CUSTOMER:016x}", RATE, BURST)
    allowed = -(TOLERANCE + RATE * SLACK_S)
    rig.record.say(f"{len(rig.runs)} attempts; the ceiling's store was at {lowest:.1f} at {at:.2f} s")
    rig.record.say(f"the rule allows {allowed:.1f}: {'held' if lowest >= allowed else 'BROKEN'}")
    return lowest >= allowed


play(case, make)
