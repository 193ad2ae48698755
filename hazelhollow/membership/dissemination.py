"""Selects the records that are piggybacked on a member's datagrams (SWIM's dissemination).

The records that were sent least often come first. Each is sent a few times the logarithm of the
fleet's size; after that, the table exchange (`table_exchange.py`) finds members that missed it.
"""

from __future__ import annotations

import heapq
import math

from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.records import MemberState, Record

RETRANSMIT_FACTOR = 3  # transmissions of a record, as a multiple of log2(fleet size)
RETRANSMIT_FACTOR_BOUNDED = 1  # under an allowance, where table exchange costs fewer bytes
EQUAL_TABLES_UNTIL_CLEARED = 4  # consecutive members with an equal table until the queue is cleared
MAX_PIGGYBACKED = 24  # records that may fit into a datagram
REFUTATION_LEAD = 2  # transmissions by which a refutation precedes other records


class DisseminationQueue:
    """The queue of records to piggyback.

    `member_count` is the size of the fleet; `bounded` says whether an allowance limits what is
    sent.
    """

    def __init__(self, member_count: int, bounded: bool = False) -> None:
        factor = RETRANSMIT_FACTOR_BOUNDED if bounded else RETRANSMIT_FACTOR
        self._max_transmissions = factor * math.ceil(math.log2(member_count + 1))
        self._transmissions: dict[int, int] = {}  # times a record was sent, by member id
        self._equal_tables = 0  # consecutive members whose table equaled this member's

    def record_changed(self, record: Record) -> None:
        """Queues the record that the member table has adopted."""
        # Until its refutation arrives, a member that is up may be considered dead.
        refutes = record.record_version > 1 and record.state == MemberState.ALIVE
        self._transmissions[record.number] = -REFUTATION_LEAD if refutes else 0

    def table_compared(self, equal: bool) -> None:
        """Records whether a peer's table equals this member's.

        After several equal tables in a row the queue is cleared, since digests reveal what others
        lack.
        """
        self._equal_tables = self._equal_tables + 1 if equal else 0
        if self._equal_tables >= EQUAL_TABLES_UNTIL_CLEARED:
            self._transmissions.clear()

    def sent(self, records: list[Record]) -> None:
        """Counts records that were sent with a datagram."""
        for record in records:
            self._transmissions[record.number] += 1

    def next_records(self, table: MemberTable, limiter_id: int) -> list[Record]:
        """Records for one datagram, the least often sent first.

        The record of the sender, `limiter_id`, is omitted, since every datagram contains it.
        """
        selected = list[Record]()
        least_sent = heapq.nsmallest(
            MAX_PIGGYBACKED, self._transmissions, key=self._transmissions.__getitem__
        )
        for number in least_sent:
            record = table.get(number)
            if self._transmissions[number] >= self._max_transmissions or record is None:
                del self._transmissions[number]
            elif number != limiter_id:
                selected.append(record)
        return selected
