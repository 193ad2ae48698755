"""Replicated counts in virtual time: real `Replica` objects that exchange datagrams.

Measures the time and the bytes that a new member needs to catch up, the traffic of anti-entropy per
second, how long tables differ after a network partition, and the memory per count.
"""

from __future__ import annotations

import random
import statistics
import tracemalloc
from collections.abc import Callable
from typing import Any

from hazelhollow.bench.fleet import nothing_cut
from hazelhollow.bench.virtual_time import Timeline
from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.replication.count_table import CountRow, CountTable, CountValue
from hazelhollow.replication.messages import AccountCopy, RecentCount
from hazelhollow.replication.outbox import Datagram, LocalMember
from hazelhollow.replication.replica import ROUND_INTERVAL_S, Replica

START = 1_700_000_000  # seconds; the initial time of each run
DATAGRAM_DELAY_S = (0.001, 0.02)  # one way, drawn uniformly
CATCH_UP_TIMEOUT_S = 600.0
HEAL_TIMEOUT_S = 50.0
SPLIT_S = 5.0
STEADY_WARM_UP_S = 5  # before the steady-state traffic is measured
CHARGED_SHARE = 0.1  # of customers, charged per second by each member in the steady state
FIRST_KEY = 36**4  # so that all keys have five digits
CHARGING_MEMBERS = 5  # members that have charged each customer
CUSTOMERS_OF_FLEETS = 200  # in runs of the steady state and of the heal
PLAN_DIGEST = "7kq"


def key_of(number: int) -> str:
    """Returns the key of a customer."""
    return base36(FIRST_KEY + number)


class KnownAccounts:
    """Stands in for a decision engine with these customers, each charged by some members."""

    def __init__(self, customers: int, charging_members: int = CHARGING_MEMBERS) -> None:
        self._keys = [key_of(number) for number in range(customers)]
        self._charging_members = charging_members

    def customers_below_full(self) -> list[str]:
        """Returns the keys of all customers."""
        return self._keys

    def account(self, key: str) -> AccountCopy | None:
        """Returns the account of a customer; all accounts have the same content."""
        through = START - 2
        recent_counts = tuple(
            RecentCount(n, f"7p{n}", CountValue(through - 50, through, 1234 + n), 20, 10)
            for n in range(self._charging_members)
        )
        return AccountCopy(key, PLAN_DIGEST, 0, self._charging_members, 217, recent_counts)


class SimulatedReplicas:
    """Replicas and the network between them. The same seed gives the same run.

    Args:
        sources: The accounts of each member's decision engine.
        seed: Seed of all draws.
        loss: Share of datagrams that are lost.
    """

    def __init__(self, sources: list[KnownAccounts], seed: int, loss: float = 0.0) -> None:
        self.random, self._loss = random.Random(seed), loss
        self._timeline = Timeline(float(START))
        self.replicas = [
            Replica(LocalMember(number, len(sources), f"7p{number}"), seed * 1000 + number, source)
            for number, source in enumerate(sources)
        ]
        self.sent_datagrams = self.sent_bytes = 0
        self.received_accounts = [0] * len(sources)
        self.is_cut: Callable[[int, int], bool] = nothing_cut  # from a sender to a receiver
        for replica in self.replicas:
            first_round = self._timeline.now + self.random.random() * ROUND_INTERVAL_S
            self._timeline.at(first_round, self._run_round, replica)

    def _run_round(self, replica: Replica) -> None:
        now = self._timeline.now
        self._timeline.at(now + ROUND_INTERVAL_S, self._run_round, replica)
        number = replica.local.number
        present = [
            n for n in range(len(self.replicas)) if n != number and not self.is_cut(n, number)
        ]
        self._send(replica, replica.run_round(now, present))

    def _send(self, replica: Replica, datagrams: list[Datagram]) -> None:
        number = replica.local.number
        self.received_accounts[number] += len(replica.catch_up.new_accounts)
        replica.catch_up.new_accounts, replica.anti_entropy.new_rows = [], []
        for datagram in datagrams:
            self.sent_datagrams += 1
            self.sent_bytes += len(datagram.text)
            is_lost = self.random.random() < self._loss
            if not is_lost and not self.is_cut(number, datagram.member):
                arrives_at = self._timeline.now + self.random.uniform(*DATAGRAM_DELAY_S)
                self._timeline.at(arrives_at, self._receive, datagram.member, number, datagram.text)

    def _receive(self, receiver: int, sender: int, text: str) -> None:
        replica = self.replicas[receiver]
        self._send(replica, replica.receive(sender, text, self._timeline.now))

    def run(self, seconds: float, condition: Callable[[], bool] = lambda: False) -> float:
        """Runs events until a condition holds, for at most this many seconds.

        Returns:
            The seconds until the last event that ran.
        """
        timeline = self._timeline
        began, end = timeline.now, timeline.now + seconds
        while timeline.next_at() <= end and not condition():
            timeline.run_next()
        return timeline.now - began

    def complete_all(self) -> None:
        """Marks the catch-up of all members as complete."""
        for replica in self.replicas:
            replica.catch_up.is_complete = True

    def charge_all(self, customers: int, period: int, share: float) -> None:
        """Charges, at every member, a random share of the customers in this second."""
        for replica in self.replicas:
            local = replica.local
            for number in range(customers):
                if self.random.random() < share:
                    total = 10 * (period - START + 1)
                    value = CountValue(START - 9, period, total)
                    replica.record_charge(
                        CountRow(
                            key_of(number),
                            PLAN_DIGEST,
                            0,
                            len(self.replicas),
                            local.number,
                            local.incarnation,
                            value,
                        )
                    )


def catch_up(customers: int, loss: float, seed: int) -> dict[str, float]:
    """Measures the catch-up of a new member from two members with all accounts.

    The other members have no accounts, and their catch-up counts as complete without a source.

    Returns:
        Seconds (infinity if the catch-up timed out), bytes sent by all members, accounts that the
        new member received, and customers.
    """
    empty = [KnownAccounts(0) for _ in range(CHARGING_MEMBERS - 2)]
    simulation = SimulatedReplicas(
        [KnownAccounts(customers), KnownAccounts(customers), *empty], seed, loss
    )
    *others, new = simulation.replicas
    for other in others:
        number = other.local.number
        other.catch_up.is_complete = True
        other.catch_up.completed_by = None if number > 1 else number
    seconds = simulation.run(CATCH_UP_TIMEOUT_S, lambda: new.catch_up.is_complete)
    return {
        "seconds": seconds if new.catch_up.is_complete else float("inf"),
        "bytes": float(simulation.sent_bytes),
        "told": float(simulation.received_accounts[-1]),
        "customers": float(customers),
    }


def steady(members: int, customers: int, seed: int, seconds: int = 20) -> dict[str, float]:
    """Returns the datagrams and bytes that a member sends per second under steady charges."""
    simulation = SimulatedReplicas([KnownAccounts(0) for _ in range(members)], seed)
    simulation.complete_all()
    for second in range(seconds):
        simulation.charge_all(customers, START + second, CHARGED_SHARE)
        simulation.run(1.0)
        if second == STEADY_WARM_UP_S - 1:
            simulation.sent_datagrams = simulation.sent_bytes = 0
    member_seconds = members * (seconds - STEADY_WARM_UP_S)
    return {
        "datagrams": simulation.sent_datagrams / member_seconds,
        "bytes": simulation.sent_bytes / member_seconds,
    }


def heal(members: int, customers: int, seed: int, loss: float = 0.1) -> float:
    """Returns the seconds from the end of a partition until all tables are equal.

    There are no charges in that time.
    """
    simulation = SimulatedReplicas([KnownAccounts(0) for _ in range(members)], seed, loss)
    simulation.complete_all()

    def are_partitioned(one_member: int, other_member: int) -> bool:
        return (one_member < members // 2) != (other_member < members // 2)

    simulation.is_cut = are_partitioned
    simulation.charge_all(customers, START, 1.0)
    simulation.run(SPLIT_S)
    simulation.is_cut = nothing_cut
    for replica in simulation.replicas:
        for number in range(members):
            if are_partitioned(number, replica.local.number):
                replica.anti_entropy.member_returned(number)

    def tables_are_equal() -> bool:
        digests = {tuple(r.anti_entropy.counts.digests()) for r in simulation.replicas}
        return len(digests) == 1

    return simulation.run(HEAL_TIMEOUT_S, tables_are_equal)


def memory(customers: int = 2000, members: int = CHARGING_MEMBERS) -> float:
    """Returns the bytes per count; there is one per customer and member that charged it."""
    tracemalloc.start()
    before, counts = tracemalloc.get_traced_memory()[0], CountTable()
    counts.advance(START)
    for number in range(customers):
        for member in range(members):
            value = CountValue(START - 50, START - 2, 1000 + member)
            counts.merge_in(
                CountRow(key_of(number), PLAN_DIGEST, 0, members, member, f"7p{member}", value)
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
    """Returns the figures of `hazelhollow bench replica`, as medians over the seeds.

    Args:
        sizes: Numbers of customers for the catch-up.
        losses: Shares of datagrams lost during the catch-up.
        seeds: Number of runs of each kind.
        fleets: Numbers of members for the steady state and the heal.
        progress: Called with a description of the next run.

    Returns:
        The figures, as the command writes them.
    """
    results: dict[str, Any] = {
        "catch_up": [],
        "steady": [],
        "heal": [],
        "bytes_per_customer_and_member": round(memory(), 1),
    }
    seed_range = range(1, seeds + 1)
    for customers in sizes:
        for loss in losses:
            progress(f"catch-up with {customers} customers at {loss:.0%} loss")
            rows = [catch_up(customers, loss, seed) for seed in seed_range]
            worst = round(max(row["seconds"] for row in rows), 2)
            results["catch_up"].append(
                _medians(rows, digits=2) | {"lose": loss, "worst_seconds": worst}
            )
    for members in fleets:
        progress(f"{members} members")
        rows = [steady(members, CUSTOMERS_OF_FLEETS, seed) for seed in seed_range]
        healed = [heal(members, CUSTOMERS_OF_FLEETS, seed) for seed in seed_range]
        results["steady"].append({"members": members} | _medians(rows, digits=1))
        results["heal"].append(
            {
                "members": members,
                "seconds": round(statistics.median(healed), 2),
                "worst": round(max(healed), 2),
            }
        )
    return results


def _medians(rows: list[dict[str, float]], digits: int) -> dict[str, float]:
    return {key: round(statistics.median(row[key] for row in rows), digits) for key in rows[0]}
