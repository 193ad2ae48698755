"""The replica's own modules on a virtual clock.

How long and how many bytes until one that begins is whole, what keeping alike costs each second,
and how much memory a count takes.
"""

from __future__ import annotations

import heapq
import random
import statistics
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any

from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.replication.count_table import CountRow, CountTable, CountValue
from hazelhollow.replication.messages import AccountCopy, RecentCount
from hazelhollow.replication.outbox import Datagram, LocalMember
from hazelhollow.replication.replica import ROUND_INTERVAL_S, Replica

START = 1_700_000_000.0
DELAY = (0.001, 0.02)  # seconds on the way
LONGEST = 600.0  # seconds until a catch-up counts as not done
KEYS_FROM = 36**4
LIVES = 5  # members that have charged each customer


def key_of(number: int) -> str:
    return base36(KEYS_FROM + number)


class Known:
    """What a decision module with so many customers would say, each charged by some members."""

    def __init__(self, customers: int, incarnations: int = LIVES) -> None:
        self.keys, self.incarnations = [key_of(n) for n in range(customers)], incarnations

    def customers_below_full(self) -> list[str]:
        return self.keys

    def account(self, key: str) -> AccountCopy | None:
        through = int(START) - 2
        recents = tuple(
            RecentCount(n, f"7p{n}", CountValue(through - 50, through, 1234 + n), 20, 10)
            for n in range(self.incarnations)
        )
        return AccountCopy(key, "7kq", 0, self.incarnations, 217, recents)


class Sim:
    """Exchanges with their datagrams on the way. The same seed plays the same."""

    def __init__(self, sources: list[Known], seed: int, lose: float = 0.0) -> None:
        self.random, self.lose, self.now = random.Random(seed), lose, START
        self.all = [
            Replica(LocalMember(n, len(sources), f"7p{n}"), seed * 1000 + n, source)
            for n, source in enumerate(sources)
        ]
        self.sent = self.bytes = self._serial = 0
        self.got = [0] * len(sources)
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        for one in self.all:
            self._at(self.now + self.random.random() * ROUND_INTERVAL_S, partial(self._beat, one))

    def _at(self, when: float, call: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, call))

    def _beat(self, one: Replica) -> None:
        self._at(self.now + ROUND_INTERVAL_S, lambda: self._beat(one))
        me = one.local.number
        present = [n for n in range(len(self.all)) if n != me and not self.cut(n, me)]
        self._pass(one, one.run_round(self.now, present))

    def _pass(self, one: Replica, sends: list[Datagram]) -> None:
        self.got[one.local.number] += len(one.catch_up.new_accounts)
        one.catch_up.new_accounts, one.anti_entropy.new_rows = [], []
        for send in sends:
            self.sent, self.bytes = self.sent + 1, self.bytes + len(send.text)
            if self.random.random() >= self.lose and not self.cut(one.local.number, send.member):
                self._at(
                    self.now + self.random.uniform(*DELAY),
                    partial(self._take, send.member, one.local.number, send.text),
                )

    def _take(self, number: int, source: int, text: str) -> None:
        one = self.all[number]
        self._pass(one, one.receive(source, text, self.now))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        began, end = self.now, self.now + seconds
        while self._heap and self._heap[0][0] <= end and not until():
            self.now, _, call = heapq.heappop(self._heap)
            call()
        return self.now - began


def catch_up(customers: int, lose: float, seed: int) -> dict[str, float]:
    """One that begins beside two that know all and two that have begun themselves.

    Seconds and bytes until it is whole.
    """
    sim = Sim(
        [Known(customers), Known(customers), *(Known(0) for _ in range(LIVES - 2))], seed, lose
    )
    for other in sim.all[:-1]:
        number = other.local.number
        other.catch_up.is_complete = True
        other.catch_up.completed_by = None if number > 1 else number
    new = sim.all[-1]
    seconds = sim.run(LONGEST, lambda: new.catch_up.is_complete)
    return {
        "seconds": seconds if new.catch_up.is_complete else float("inf"),
        "bytes": float(sim.bytes),
        "told": float(sim.got[-1]),
        "customers": float(customers),
    }


def charged(sim: Sim, customers: int, period: int, share: float) -> None:
    """In that second a share of the customers is charged by every member."""
    for one in sim.all:
        for number in range(customers):
            if sim.random.random() < share:
                total = 10 * (period - int(START) + 1)
                one.record_charge(
                    CountRow(
                        key_of(number),
                        "7kq",
                        0,
                        len(sim.all),
                        one.local.number,
                        one.local.incarnation,
                        CountValue(int(START) - 9, period, total),
                    )
                )


def steady(members: int, customers: int, seed: int, seconds: int = 20) -> dict[str, float]:
    """Datagrams and bytes that a member sends a second while a tenth of the customers is charged
    each second.
    """
    sim = Sim([Known(0) for _ in range(members)], seed)
    for one in sim.all:
        one.catch_up.is_complete = True
    for period in range(int(START), int(START) + seconds):
        charged(sim, customers, period, 0.1)
        sim.run(1.0)
        if period == int(START) + 4:
            sim.sent = sim.bytes = 0
    span = members * (seconds - 5)
    return {"datagrams": sim.sent / span, "bytes": sim.bytes / span}


def heal(members: int, customers: int, seed: int, lose: float = 0.1) -> float:
    """Seconds after two parts hear each other again until all books are alike, with nothing charged
    meanwhile.
    """
    sim = Sim([Known(0) for _ in range(members)], seed, lose)
    for one in sim.all:
        one.catch_up.is_complete = True
    sim.cut = lambda a, b: (a < members // 2) != (b < members // 2)
    charged(sim, customers, int(START), 1.0)
    sim.run(5.0)
    sim.cut = lambda a, b: False
    for one in sim.all:
        for number in range(members):
            if (number < members // 2) != (one.local.number < members // 2):
                one.anti_entropy.member_returned(number)
    return sim.run(
        50.0, lambda: len({tuple(one.anti_entropy.counts.digests()) for one in sim.all}) == 1
    )


def memory(customers: int = 2000, members: int = LIVES) -> float:
    """Bytes for a customer and member that used it."""
    tracemalloc.start()
    before, book = tracemalloc.get_traced_memory()[0], CountTable()
    book.advance(int(START))
    for number in range(customers):
        for member in range(members):
            book.merge_in(
                CountRow(
                    key_of(number),
                    "7kq",
                    0,
                    members,
                    member,
                    f"7p{member}",
                    CountValue(int(START) - 50, int(START) - 2, 1000 + member),
                )
            )
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / customers / members


def report(
    sizes: list[int],
    losses: list[float],
    seeds: int,
    fleets: list[int],
    progress: Callable[[str], None],
) -> dict[str, Any]:
    found: dict[str, Any] = {
        "catch_up": [],
        "steady": [],
        "heal": [],
        "bytes_per_customer_and_member": round(memory(), 1),
    }
    for customers in sizes:
        for lose in losses:
            progress(f"catch-up with {customers} customers at {lose:.0%} loss")
            rows = [catch_up(customers, lose, seed) for seed in range(1, seeds + 1)]
            row = {key: round(statistics.median(one[key] for one in rows), 2) for key in rows[0]}
            found["catch_up"].append(
                row | {"lose": lose, "worst_seconds": round(max(one["seconds"] for one in rows), 2)}
            )
    for members in fleets:
        progress(f"{members} members")
        rows = [steady(members, 200, seed) for seed in range(1, seeds + 1)]
        healed = [heal(members, 200, seed) for seed in range(1, seeds + 1)]
        found["steady"].append(
            {"members": members}
            | {key: round(statistics.median(one[key] for one in rows), 1) for key in rows[0]}
        )
        found["heal"].append(
            {
                "members": members,
                "seconds": round(statistics.median(healed), 2),
                "worst": round(max(healed), 2),
            }
        )
    return found
