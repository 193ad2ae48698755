"""A server breaks off a long value; the requests behind it on the client's connection get no answer."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"  # written by the rig, line by line
sys.path.insert(0, str(FOLDER.parent / "lib2"))
from rig import (  # noqa: E402
    TROUBLE, CannotRunError, Request, Rig, Run, Server, encode, now, play, read_answer, settings,
)

VALUE_BYTES = 1 << 20  # DAYS: "Values of up to 4 MiB occur"
BEHIND = 6  # commands that the client sends at once behind the one with the long value
WAIT_MS = 3000  # the deadline of both classes
LATE_S = 0.5 + 0.05  # STANDING: later than half a second after its time is lost; PROTOCOL: 50 ms
PAUSE_S = 0.3  # between the halves of a long value
ROUNDS = 5
CUSTOMER = 0x91F03B7C


class BreakingServer(Server):
    """Answers a first request with a long value, of which it may give half and reset the connection."""

    async def _run(self, words: list[str], writer: asyncio.StreamWriter) -> None:
        if not words[2].endswith("00"):
            await super()._run(words, writer)
            return
        run = Run(self.name, now(), words)
        self.rig.runs.append(run)
        self.rig.record.note(f"server {self.name} runs {run.id}, a value of {VALUE_BYTES} bytes", run.at)
        half = b"v" * (VALUE_BYTES // 2)
        writer.write(b"*3\r\n$%d\r\n%b" % (VALUE_BYTES, half))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        if TROUBLE:
            self.rig.record.note(f"server {self.name} resets the connection in the middle of the value of {run.id}")
            writer.transport.abort()
            raise ConnectionResetError
        writer.write(half + b"\r\n$-1\r\n$-1\r\n")


def make() -> Rig:
    return Rig(RECORD, 1, settings())


async def send_at_once(rig: Rig, number: int) -> list[Request]:
    """A client that sends its commands at once and reads all that it is sent, until the end."""
    first = number * 0x100
    requests = [Request(first, "schedule-read", "perus", CUSTOMER, WAIT_MS, 1, 1, 0)]
    requests += [
        Request(first + n, "order-place", "perus", CUSTOMER, WAIT_MS, 1, 1, 0, body=f"order {n}", key=f"key{number}-{n}")
        for n in range(1, BEHIND + 1)
    ]
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.limiters[0].port)
    rig.writers.add(writer)
    writer.write(b"".join(encode(*one.words) for one in requests))
    for one in requests:
        one.sent_at = now()
    for one in requests:
        try:
            left = one.sent_at + WAIT_MS / 1000 + LATE_S - now()
            one.answer, one.text = await asyncio.wait_for(read_answer(reader), left)
            one.answered_at = now()
        except asyncio.TimeoutError:
            rig.record.note(f"client {one.id}: no answer in time")
            break
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            count = len(error.partial) if isinstance(error, asyncio.IncompleteReadError) else 0
            rig.record.note(f"client {one.id}: the connection has ended, {count} bytes of a value were here")
            for rest in requests[requests.index(one) :]:
                rest.answer = "closed"
            break
        rig.record.note(f"client {one.id}: {one.answer}, {len(one.text)} bytes")
    writer.close()
    return requests


async def case(rig: Rig) -> bool:
    await rig.start([BreakingServer(rig, f"s-{n}", work=0.02) for n in range(4)])
    lost = 0
    for number in range(1, ROUNDS + 1):
        await asyncio.sleep(0.3)
        first, *behind = await send_at_once(rig, number)
        await asyncio.sleep(0.3)
        runs = {run.id for run in rig.runs}
        if first.id not in runs:
            raise CannotRunError("the request with the long value did not reach a server")
        unanswered = [one for one in behind if one.answer in ("none", "closed")]
        has_run = [one.id for one in unanswered if one.id in runs]
        rig.record.say(f"round {number}: the long value: {'whole' if first.answer == 'served' else 'broken off'}; of"
                       f" {len(behind)} requests behind it {len(unanswered)} have no answer, {len(has_run)} of these were run")
        lost += len(has_run)
    return not lost


play(case, make)
