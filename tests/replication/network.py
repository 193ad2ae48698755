"""Replicas on a modelled network, and Hypothesis strategies for what they replicate."""

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


def table_of(rows_to_merge: list[CountRow], period: int = NOW) -> CountTable:
    table = CountTable()
    table.advance(period)
    for row in rows_to_merge:
        table.merge_in(row)
    return table


def rows_of(table: CountTable) -> set[CountRow]:
    return {row for key in table.customers for row in table.rows(key)}


class FakeAccounts:
    """An `AccountSource` with a number of customers, in place of a decision engine."""

    def __init__(self, customers: int = 0) -> None:
        self.keys = [base36(n + 36**3) for n in range(customers)]

    def store(self, copies: list[AccountCopy]) -> None:
        self.keys += [stored.customer for stored in copies if stored.customer not in self.keys]

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
    """Replicas that send each other datagrams, and their clock.

    A generator with a fixed seed draws which datagrams are lost or duplicated. The members in
    `complete` have the state of a finished catch-up from the start.
    """

    def __init__(
        self,
        sources: list[FakeAccounts],
        seed: int = 1,
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
        complete: tuple[int, ...] = (0, 1),
    ) -> None:
        self.random, self.now, self.loss_rate, self.duplicate_rate = (
            random.Random(seed),
            float(NOW),
            loss_rate,
            duplicate_rate,
        )
        self.all = [
            Replica(LocalMember(n, len(sources), f"l{n}"), seed + n, source)
            for n, source in enumerate(sources)
        ]
        for number in complete:
            self.all[number].catch_up.is_complete, self.all[number].catch_up.completed_by = (
                True,
                number,
            )
        self.running = set(range(len(sources)))
        self.is_partitioned: Callable[[int, int], bool] = lambda a, b: False
        self.is_dropped = self.is_partitioned
        # By member: those that it knows to be older. A member without an entry does not know.
        self.older: dict[int, set[int]] = {}
        self.received: list[list[AccountCopy]] = [[] for _ in sources]
        self.bytes = self.largest_datagram = 0

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        started_at = self.now
        while self.now < started_at + seconds and not until():
            self.now += ROUND_INTERVAL_S
            for replica in self.all:
                if replica.local.number in self.running:
                    present = sorted(
                        n
                        for n in self.running
                        if n != replica.local.number
                        and not self.is_partitioned(replica.local.number, n)
                    )
                    self.deliver(
                        replica.local.number,
                        replica.run_round(self.now, present, self.older.get(replica.local.number)),
                    )
        return self.now - started_at

    def deliver(self, source: int, datagrams: list[Datagram]) -> None:
        """Delivers datagrams and the answers to them, in a random order."""
        pending = [(source, datagram) for datagram in datagrams]
        while pending:
            sender, datagram = pending.pop(self.random.randrange(len(pending)))
            self.largest_datagram = max(self.largest_datagram, len(datagram.text))
            self.bytes += len(datagram.text)
            if (
                datagram.member not in self.running
                or self.is_partitioned(sender, datagram.member)
                or self.is_dropped(sender, datagram.member)
                or self.random.random() < self.loss_rate
            ):
                continue
            if self.random.random() < self.duplicate_rate:
                pending.append((sender, datagram))
            receiver = self.all[datagram.member]
            pending += [
                (receiver.local.number, answer)
                for answer in receiver.receive(sender, datagram.text, self.now)
            ]
            accounts, receiver.catch_up.new_accounts = (
                [account_copy for account_copy, _ in receiver.catch_up.new_accounts],
                [],
            )
            self.received[receiver.local.number] += accounts
            if isinstance(receiver.source, FakeAccounts):
                receiver.source.store(accounts)

    def tables_are_equal(self) -> bool:
        return (
            len(
                {
                    tuple(replica.anti_entropy.counts.digests())
                    for replica in self.all
                    if replica.local.number in self.running
                }
            )
            == 1
        )


def charge(net: Network, number: int, key: str, total: int, through: int = NOW - 2) -> CountRow:
    row = CountRow(key, "pl", 0, 3, number, f"l{number}", CountValue(NOW - 30, through, total))
    net.all[number].anti_entropy.counts.advance(NOW)
    net.all[number].record_charge(row)
    return row
