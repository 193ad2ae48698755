"""Members that this member suspects, until they refute it or their time is over.

| event | effect on a suspicion |
| --- | --- |
| a probe fails, or another reports the suspicion | begins; `SUSPICION_TIMEOUT_S` to refute |
| the suspect refutes, leaves or is known dead | ends |
| a datagram of the suspect comes that does not refute | its time begins again, unpinged |
| its time is over and it was pinged meanwhile | the suspect is dead |
| its time is over and it was not pinged | waits for its ping |

Each suspect is pinged so that it can refute before it is considered dead. With many at once the
pings are spread over the periods, and none is considered dead for want of a ping. Once
`MASS_FAILURE_SAMPLE` in a row were pinged and said nothing, a whole zone is gone: the rest need no
pings of their own. Any suspect that answers ends that.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.membership.timing import MASS_FAILURE_SAMPLE

MAX_PINGS_PER_PERIOD = 4  # to suspects, by one member
FLEET_PINGS_PER_PERIOD = 8  # to one suspect, by all members together


@dataclass
class Suspicion:
    """`since` and `until`: when it began, and when it ends in death if it was not refuted.

    `pings`: how often the suspect was notified of it, by pings or along with other datagrams.
    """

    record: Record
    since: float
    until: float
    pings: int = 0


class SuspicionTable:
    """The suspicions that this member holds, its own and those that others reported."""

    def __init__(self) -> None:
        self._suspicions: dict[int, Suspicion] = {}
        self._silent_in_a_row = 0  # suspects that were pinged and whose time ended in death

    def __len__(self) -> int:
        return len(self._suspicions)

    def record(self, number: int) -> Record | None:
        """The record by which that member is suspected."""
        suspicion = self._suspicions.get(number)
        return suspicion.record if suspicion else None

    def is_mass_failure(self) -> bool:
        """Whether so many in a row said nothing that pinging more tells less than other news."""
        return self._silent_in_a_row >= MASS_FAILURE_SAMPLE

    def record_changed(self, record: Record, now: float, timeout_s: float) -> None:
        """The member table holds this record of another member from now on."""
        if record.state == MemberState.SUSPECT:
            self.add(record, now, timeout_s)
        else:
            self.withdraw(record.number, record.state in PRESENT_STATES)

    def add(self, record: Record, now: float, timeout_s: float) -> None:
        """Begins a suspicion, in place of an older one about that member."""
        self._suspicions[record.number] = Suspicion(record, now, now + timeout_s)

    def withdraw(self, number: int, refuted: bool) -> None:
        """Ends a suspicion: the member has refuted it, or it is known to be gone."""
        if self._suspicions.pop(number, None) and refuted:
            self._silent_in_a_row = 0
        self._reset_if_empty()

    def restart_all(self, now: float, timeout_s: float) -> None:
        """This member stood still: no time that was running before counts."""
        for suspicion in self._suspicions.values():
            suspicion.since, suspicion.until, suspicion.pings = now, now + timeout_s, 0
        self._silent_in_a_row = 0

    def heard_from(self, number: int, now: float, timeout_s: float) -> None:
        """A datagram has come of a member that is suspect or dead here.

        In a mass failure it shows that what kept many silent may have been a partition that is
        over: each gets its time anew.
        """
        if self.is_mass_failure():
            self.restart_all(now, timeout_s)
            return
        suspicion = self._suspicions.get(number)
        if suspicion:
            suspicion.until, suspicion.pings = now + timeout_s, 0

    def pings_per_period(self, present_count: int) -> int:
        """This member's part of the pings to suspects that all `present_count` members send."""
        if not self._suspicions:
            return 0
        if self.is_mass_failure():
            return 1
        part = FLEET_PINGS_PER_PERIOD * len(self._suspicions) / present_count
        return max(1, min(MAX_PINGS_PER_PERIOD, math.ceil(part)))

    def next_to_ping(self, limit: int) -> list[int]:
        """Suspects to ping now: those pinged least, and of them the newest."""
        order = sorted(self._suspicions.values(), key=lambda known: (known.pings, -known.since))
        return [suspicion.record.number for suspicion in order[:limit]]

    def pinged(self, number: int) -> None:
        """That member was sent the suspicion."""
        suspicion = self._suspicions.get(number)
        if suspicion:
            suspicion.pings += 1

    def take_expired(self, now: float) -> list[Record]:
        """Takes out suspicions whose time is over and whose suspect was pinged."""
        expired = list[Record]()
        for number, suspicion in list(self._suspicions.items()):
            if now >= suspicion.until and (suspicion.pings or self.is_mass_failure()):
                self._silent_in_a_row += bool(suspicion.pings)
                del self._suspicions[number]
                expired.append(suspicion.record)
        self._reset_if_empty()
        return expired

    def _reset_if_empty(self) -> None:
        if not self._suspicions:
            self._silent_in_a_row = 0
