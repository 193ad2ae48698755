"""A client sends many long commands at once and goes; then a server fails its first one."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"  # written by the rig, line by line
sys.path.insert(0, str(FOLDER.parent / "lib2"))
from rig import TROUBLE, CannotRunError, Request, Rig, Run, Server, encode, now, play, settings  # noqa: E402

COMMANDS = 120  # that the client sends at once behind its first one
BODY_BYTES = 60_000  # PROTOCOL: a value holds 64 KiB at most
STAYS_S = 0.1  # for which the client stays
ERROR_AFTER_S = 0.4  # after which the server of its first request answers with an error
GONE_S = 0.1 + 0.05  # STANDING: 0.1 s after the close; PROTOCOL: every time limit is 50 ms longer
ROUNDS, BETWEEN_S = 8, 3.0
CUSTOMER = 0x91F03B7C
PLAN = {
    "name": "perus", "per_second": 1000.0, "most_at_once": 4000.0, "ceiling_rate": 0.0, "hard_burst": 0.0,
    "tolerance": 0.0, "max_out": 0, "excess_cost": 1.2, "over_worth": 0.0, "price": 0.8,
}


def make() -> Rig:
    return Rig(RECORD, 1, settings(tariffs=[PLAN]))


def send_and_go(rig: Rig, number: int) -> tuple[Request, int, float]:
    """Sends as much as the system takes, and closes; in a thread. Returns when it has closed.

    Without the disruption the client sends its first request alone, and another one, which stays and reads, all the rest.
    """
    first = Request(number * 1000, "schedule-read", "perus", CUSTOMER, 3000, 1, 1, 0)
    rest = [
        encode(*Request(number * 1000 + n, "order-place", "perus", CUSTOMER, 3000, 1, 1, 0,
                        body="b" * BODY_BYTES, key=f"key{number}-{n}").words)
        for n in range(1, COMMANDS + 1)
    ]
    sock = socket.create_connection(("127.0.0.1", rig.limiters[0].port))
    other = sock if TROUBLE else socket.create_connection(("127.0.0.1", rig.limiters[0].port))
    first.sent_at = now()
    sock.sendall(encode(*first.words))
    other.setblocking(False)
    until, sent, data = first.sent_at + STAYS_S, 0, memoryview(b"".join(rest))
    while now() < until:
        sent += send_some(other, data[sent:])
        time.sleep(0.002)
    sock.close()
    closed = now()
    if other is not sock:
        stay(other, data[sent:])
    return first, sent, closed


def send_some(sock: socket.socket, data: memoryview) -> int:
    try:
        return sock.send(data) if data else 0
    except BlockingIOError:
        return 0


def stay(sock: socket.socket, data: memoryview) -> None:
    """Sends the rest and reads the answers for as long as a client of these requests waits."""
    until = now() + 2.5
    while now() < until:
        data = data[send_some(sock, data) :]
        try:
            if not sock.recv(1 << 16):
                break
        except BlockingIOError:
            time.sleep(0.005)
    sock.close()


async def case(rig: Rig) -> bool:
    servers = [Server(rig, f"s-{n}", work=0.02) for n in range(4)]
    seen = set[str]()

    def fails(run: Run) -> bool:
        """The first attempt of each first request is answered with an error, all others are served."""
        is_first = run.fields["c"] == "schedule-read" and run.id not in seen
        seen.add(run.id)
        return is_first

    for server in servers:
        server.fails = fails
        server.work_of = lambda run: ERROR_AFTER_S if run.fields["c"] == "schedule-read" else 0.02
    await rig.start(servers)
    late, reached = list[tuple[Run, float]](), 0
    for number in range(1, ROUNDS + 1):
        first, sent, closed = await asyncio.get_running_loop().run_in_executor(None, send_and_go, rig, number)
        rig.record.note(f"client of {first.id}: sent at {first.sent_at:.3f}, {sent} bytes behind it, closed at {closed:.3f}")
        await asyncio.sleep(BETWEEN_S)
        ids = {f"{first.id[:8]}{number * 1000 + n:08x}" for n in range(COMMANDS + 1)}
        reached += any(run.id == first.id and run.at < closed for run in rig.runs)
        if not TROUBLE:  # the other client is still there
            ids = {first.id}
        allowed = GONE_S + rig.lateness
        found = [(run, run.at - closed) for run in rig.runs if run.id in ids and run.at - closed > allowed]
        for run, after in found:
            rig.record.note(f"attempt for {run.id} ({run.fields['c']}) began {after:.3f} s after the close")
        rig.record.say(f"round {number}: {len(found)} attempts began more than {allowed:.2f} s after the close"
                       f", the latest {max([after for _, after in found], default=0.0):.3f} s")
        late += found
    if not reached:
        raise CannotRunError("no first request reached a server before its client left")
    return not late


play(case, make)
