"""Which records ride on a member's datagrams.

Those that were passed on least, until each has been often enough. No I/O, no clock.
"""

from __future__ import annotations

import heapq
import math

from hazelhollow.membership.records import MemberState, MemberTable, Record

TIMES = 3  # times log2 of the fleet that a record is passed on
TIMES_WITHIN = (
    # the same, where an allowance bounds what is sent: exchanges of tables find the rest with fewer
    # bytes
    1
)
SAME = 4  # members in a row with the same table, after which no rumour is worth passing on
MOST_NEWS = 24  # records that a datagram may have room for
REFUTED_FIRST = (
    2  # passings by which a refutation goes before other news: a member that is up may be held dead
)


class DisseminationQueue:
    """`members`: how many there may be; `bounded`: whether there is an allowance."""

    def __init__(self, members: int, bounded: bool = False) -> None:
        self._often = (TIMES_WITHIN if bounded else TIMES) * math.ceil(math.log2(members + 1))
        self._passed: dict[int, int] = {}  # times that a member's record was passed on
        self._same = 0  # members in a row that had the same table

    def changed(self, record: Record) -> None:
        """That record is new here."""
        self._passed[record.number] = (
            -REFUTED_FIRST if record.record_version > 1 and record.state == MemberState.ALIVE else 0
        )

    def compared(self, same: bool) -> None:
        """A member has shown whether its table is as this one's.

        Once several in a row are, what others lack shows by their digests.
        """
        self._same = self._same + 1 if same else 0
        if self._same >= SAME:
            self._passed.clear()

    def passed(self, records: list[Record]) -> None:
        """They have gone out."""
        for record in records:
            self._passed[record.number] += 1

    def news(self, table: MemberTable, me: int) -> list[Record]:
        """What a datagram may hold, the most useful first.

        This member's own record goes with each anyway.
        """
        found = list[Record]()
        for number in heapq.nsmallest(MOST_NEWS, self._passed, key=self._passed.__getitem__):
            record = table.get(number)
            if self._passed[number] >= self._often or record is None:
                del self._passed[number]
            elif number != me:
                found.append(record)
        return found
