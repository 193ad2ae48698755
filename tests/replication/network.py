"""Replicas that hear each other over a modelled network, and strategies for what they replicate."""

from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import strategies as st

from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.replication.count_table import CountRow, CountTable, CountValue
from hazelhollow.replication.messages import AccountCopy, RecentCount
from hazelhollow.replication.outbox import Datagram, LocalMember
from hazelhollow.replication.overrides import Override
from hazelhollow.replication.replica import ROUND_INTERVAL_S, Replica

NOW = 1_700_000_000


values = st.builds(
    CountValue,
    st.integers(NOW - 9, NOW - 7),
    st.integers(NOW - 6, NOW),
    st.integers(0, 40),
    st.integers(0, 1),
)


rows = st.builds(
    CountRow,
    st.sampled_from("ab"),
    st.just("pl"),
    st.just(0),
    st.just(3),
    st.integers(0, 2),
    st.sampled_from(["l1", "l2"]),
    values,
)


overrides = st.builds(
    Override,
    st.just("h"),
    st.integers(0, 3),
    st.integers(0, 1),
    st.integers(0, 3),
    st.integers(0, 3),
)


def table_of(some: list[CountRow], period: int = NOW) -> CountTable:
    table = CountTable()
    table.advance(period)
    for row in some:
        table.merge_in(row)
    return table


def rows_of(table: CountTable) -> set[CountRow]:
    return {row for key in table.customers for row in table.rows(key)}


class KnownAccounts:
    """An engine that knows so many customers."""

    def __init__(self, customers: int = 0) -> None:
        self.keys = [base36(n + 36**3) for n in range(customers)]

    def learn(self, pieces: list[AccountCopy]) -> None:
        self.keys += [one.customer for one in pieces if one.customer not in self.keys]

    def customers_below_full(self) -> list[str]:
        return list(self.keys)

    def account(self, key: str) -> AccountCopy | None:
        return (
            AccountCopy(
                key,
                "pl",
                0,
                3,
                7,
                (RecentCount(0, "l0", CountValue(NOW - 50, NOW - 2, 100), 10, 10),),
            )
            if key in self.keys
            else None
        )


class Network:
    """Replicas that hear each other, with a clock.

    What is lost or doubled is drawn from a seed.
    """

    def __init__(
        self,
        sources: list[KnownAccounts],
        seed: int = 1,
        lose: float = 0.0,
        double: float = 0.0,
        whole: tuple[int, ...] = (0, 1),
    ) -> None:
        self.random, self.now, self.lose, self.double = (
            random.Random(seed),
            float(NOW),
            lose,
            double,
        )
        self.all = [
            Replica(LocalMember(n, len(sources), f"l{n}"), seed + n, source)
            for n, source in enumerate(sources)
        ]
        for number in whole:
            self.all[number].catch_up.is_complete, self.all[number].catch_up.completed_by = (
                True,
                number,
            )
        self.up = set(range(len(sources)))
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.deaf = self.cut
        self.older: dict[
            int, set[int]
        ] = {}  # by member: those that it knows to be older; none: it knows nothing
        self.got: list[list[AccountCopy]] = [[] for _ in sources]
        self.bytes = self.most = 0

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        began = self.now
        while self.now < began + seconds and not until():
            self.now += ROUND_INTERVAL_S
            for one in self.all:
                if one.local.number in self.up:
                    present = sorted(
                        n
                        for n in self.up
                        if n != one.local.number and not self.cut(one.local.number, n)
                    )
                    self.carry(
                        one.local.number,
                        one.run_round(self.now, present, self.older.get(one.local.number)),
                    )
        return self.now - began

    def carry(self, source: int, sends: list[Datagram]) -> None:
        """Delivers datagrams and the answers to them, in a random order."""
        waiting = [(source, send) for send in sends]
        while waiting:
            a, send = waiting.pop(self.random.randrange(len(waiting)))
            self.most = max(self.most, len(send.text))
            self.bytes += len(send.text)
            if (
                send.member not in self.up
                or self.cut(a, send.member)
                or self.deaf(a, send.member)
                or self.random.random() < self.lose
            ):
                continue
            if self.random.random() < self.double:
                waiting.append((a, send))
            one = self.all[send.member]
            waiting += [
                (one.local.number, answer) for answer in one.receive(a, send.text, self.now)
            ]
            pieces, one.catch_up.new_accounts = (
                [piece for piece, _ in one.catch_up.new_accounts],
                [],
            )
            self.got[one.local.number] += pieces
            if isinstance(one.source, KnownAccounts):
                one.source.learn(pieces)

    def same(self) -> bool:
        return (
            len(
                {
                    tuple(one.anti_entropy.counts.digests())
                    for one in self.all
                    if one.local.number in self.up
                }
            )
            == 1
        )


def charge(net: Network, number: int, key: str, total: int, through: int = NOW - 2) -> CountRow:
    row = CountRow(key, "pl", 0, 3, number, f"l{number}", CountValue(NOW - 30, through, total))
    net.all[number].anti_entropy.counts.advance(NOW)
    net.all[number].record_charge(row)
    return row
