"""Which records ride along with a member's datagrams (SWIM's dissemination by piggybacking).

Those that were sent least go first. A record is sent a few times the logarithm of the fleet's size
and then left to the exchange of tables (`table_exchange.py`), which finds whom it missed.
"""

from __future__ import annotations

import heapq
import math

from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.records import MemberState, Record

RETRANSMIT_FACTOR = 3  # times log2 of the fleet's size that a record is sent
RETRANSMIT_FACTOR_BOUNDED = 1  # the same under an allowance: exchanging tables costs fewer bytes
EQUAL_TABLES_UNTIL_QUIET = 4  # members in a row with the same table: no record is news any more
MAX_PIGGYBACKED = 24  # records that a datagram may have room for
REFUTATION_LEAD = 2  # transmissions by which a refutation goes before other records


class DisseminationQueue:
    """`member_count`: size of the fleet; `bounded`: whether an allowance bounds what is sent."""

    def __init__(self, member_count: int, bounded: bool = False) -> None:
        factor = RETRANSMIT_FACTOR_BOUNDED if bounded else RETRANSMIT_FACTOR
        self._max_transmissions = factor * math.ceil(math.log2(member_count + 1))
        self._transmissions: dict[int, int] = {}  # by member: times that its record was sent
        self._equal_tables = 0  # members in a row whose table was the same as this member's

    def record_changed(self, record: Record) -> None:
        """The member table holds this record from now on."""
        # A member that is up may be considered dead until its refutation arrives.
        refutes = record.record_version > 1 and record.state == MemberState.ALIVE
        self._transmissions[record.number] = -REFUTATION_LEAD if refutes else 0

    def table_compared(self, equal: bool) -> None:
        """A member has shown whether its table is the same as this member's.

        Once several in a row are, digests show what the others lack.
        """
        self._equal_tables = self._equal_tables + 1 if equal else 0
        if self._equal_tables >= EQUAL_TABLES_UNTIL_QUIET:
            self._transmissions.clear()

    def sent(self, records: list[Record]) -> None:
        """These have gone out with a datagram."""
        for record in records:
            self._transmissions[record.number] += 1

    def next_records(self, table: MemberTable, limiter_id: int) -> list[Record]:
        """Records for one datagram, the least sent first.

        Without that of `limiter_id`, the sender: its own record is in every datagram.
        """
        found = list[Record]()
        least_sent = heapq.nsmallest(
            MAX_PIGGYBACKED, self._transmissions, key=self._transmissions.__getitem__
        )
        for number in least_sent:
            record = table.get(number)
            if self._transmissions[number] >= self._max_transmissions or record is None:
                del self._transmissions[number]
            elif number != limiter_id:
                found.append(record)
        return found
