"""Anti-entropy: finds differences between two members' tables and repairs them.

This module does no I/O and reads no clock.

Each member sends digests to one other member, drawn at random, every ROUNDS_PER_DIGEST rounds, and
immediately to a member that has become reachable again. A member that receives digests unlike its
own answers with its own digests, once, and sends the counters of the buckets that differ, the most
recently changed first, and all overrides if those differ. So both members' tables are repaired,
including the counters of third members.

Nothing is acknowledged: later digests reveal what was lost. The number of datagrams sent in a round
is bounded, however much is missing.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence

from hazelhollow.replication import codec
from hazelhollow.replication.count_table import CountRow, CountTable
from hazelhollow.replication.messages import Counts, Digests, Kind, Overrides
from hazelhollow.replication.outbox import LocalMember, Outbox
from hazelhollow.replication.overrides import Override, OverrideTable

ROUNDS_PER_DIGEST = 2
MAX_DATAGRAMS_PER_REPAIR = 4  # of counters, in answer to one member's digests
MAX_DATAGRAMS_PER_ROUND = 12  # of counters and overrides, to all members
MAX_RETURNED_PER_ROUND = 4  # members reachable again that are sent digests in one round
OVERRIDE_FANOUT = 5  # members drawn to be sent a new override at once; may include this member


class AntiEntropy:
    """The tables of one member and their repair.

    Counters and overrides that other members' messages changed are appended to `new_rows` and
    `new_overrides`, which the driver empties. `CatchUp` draws from the same `rng`.
    """

    def __init__(
        self, local: LocalMember, outbox: Outbox, rng: random.Random, counters: Counter[str]
    ) -> None:
        self._local, self._outbox, self._random, self._counters = local, outbox, rng, counters
        self.counts, self.overrides = CountTable(), OverrideTable()
        self.new_rows: list[CountRow] = []
        self.new_overrides: list[Override] = []
        self._rounds = 0
        self._returned: list[int] = []  # members reachable again that are to be sent digests
        self._datagrams_left = MAX_DATAGRAMS_PER_ROUND

    def begin_round(self) -> None:
        """Begins a round, in which MAX_DATAGRAMS_PER_ROUND may be sent again."""
        self._rounds += 1
        self._datagrams_left = MAX_DATAGRAMS_PER_ROUND

    def send_round_digests(self, present: Sequence[int]) -> None:
        """Sends the round's digests; `present` are the other members that are up."""
        for member in self._returned[:MAX_RETURNED_PER_ROUND]:
            self._send_digests(member, is_answer=False)
        del self._returned[:MAX_RETURNED_PER_ROUND]
        if self._rounds % ROUNDS_PER_DIGEST == 0 and present:
            self._send_digests(self._random.choice(present), is_answer=False)

    def member_returned(self, member: int) -> None:
        """Notes that a member has become reachable again or is new."""
        if member != self._local.number and member not in self._returned:
            self._returned.append(member)

    def set_override(self, endpoint: str, disabled: bool, now: float) -> None:
        """Applies an operator's instruction at this member.

        A new override is sent to some members at once; the others receive it by anti-entropy.
        """
        if not self.overrides.set_local(endpoint, disabled, now, self._local.number):
            return
        count = self._local.member_count
        for member in self._random.sample(range(count), min(count, OVERRIDE_FANOUT)):
            if member != self._local.number:
                self._send_overrides(member)

    def receive_digests(self, sender: int, digests: Digests) -> None:
        """Compares another member's digests and sends it what differs."""
        buckets = self.counts.differing_buckets(digests.buckets)
        if digests.overrides != self.overrides.digest():
            self._send_overrides(sender)
        elif not buckets:
            return
        if not digests.is_answer:
            self._send_digests(sender, is_answer=True)
        self._random.shuffle(buckets)
        self._send_counts(sender, buckets)

    def receive_counts(self, counts: Counts) -> None:
        """Merges counters, except those of this incarnation, to which only this member adds.

        A received count of this incarnation that exceeds the stored one is counted as an error.
        """
        for row in counts.rows:
            if (row.member, row.incarnation) == (self._local.number, self._local.incarnation):
                if row.value.total > self._own_total(row):
                    self._counters["own count told greater"] += 1
            elif self.counts.merge_in(row):
                self.new_rows.append(row)

    def _own_total(self, claimed: CountRow) -> int:
        for row in self.counts.rows(claimed.customer):
            if (row.member, row.incarnation) == (claimed.member, claimed.incarnation):
                return row.value.total
        return claimed.value.total

    def receive_overrides(self, message: Overrides) -> None:
        """Merges overrides and notes those that changed the table."""
        for override in message.overrides:
            if self.overrides.merge_in(override):
                self.new_overrides.append(override)

    def _send_digests(self, member: int, is_answer: bool) -> None:
        numbers = (*self.counts.digests(), self.overrides.digest(), int(is_answer))
        self._outbox.send(member, Kind.DIGESTS, numbers)

    def _send_counts(self, member: int, buckets: list[int]) -> None:
        """Sends the most recently changed counters first: decisions depend on those most."""
        items, sent = list[str](), 0
        room = self._outbox.room_for_items(Kind.COUNTS)
        for customer in self.counts.newest_customers(buckets):
            for item in self._count_items(customer, room):
                if sum([len(queued) for queued in items]) + len(item) > room:
                    self._outbox.send(member, Kind.COUNTS, (), items)
                    items, sent = [], sent + 1
                    self._datagrams_left -= 1
                if sent >= MAX_DATAGRAMS_PER_REPAIR or self._datagrams_left <= 0:
                    return
                items.append(item)
        if items:
            self._datagrams_left -= 1
            self._outbox.send(member, Kind.COUNTS, (), items)

    def _count_items(self, customer: str, room: int) -> list[str]:
        """Returns the counters of one customer, in as many items as they need."""
        items, rows = list[str](), list[CountRow]()
        period = self._outbox.period
        for row in self.counts.rows(customer):
            if rows and len(codec.encode_counts([*rows, row], period)) > room:
                items.append(codec.encode_counts(rows, period))
                rows = []
            rows.append(row)
        return [*items, codec.encode_counts(rows, period)]

    def _send_overrides(self, member: int) -> None:
        items = [codec.encode_override(override) for override in self.overrides.newest_first()]
        while items and self._datagrams_left > 0:
            self._datagrams_left -= 1
            items = items[max(1, self._outbox.send(member, Kind.OVERRIDES, (), items)) :]
