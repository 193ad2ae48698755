"""The members that this member suspects, until they refute it or the suspicion times out.

| event | effect on a suspicion |
| --- | --- |
| a probe fails, or another member reports the suspicion | begins; `SUSPICION_TIMEOUT_S` to refute |
| the suspect refutes, leaves or is known to be dead | ends |
| a datagram of the suspect arrives that does not refute | timeout restarts, not yet pinged |
| the timeout expires and the suspect was pinged meanwhile | the suspect is considered dead |
| the timeout expires and the suspect was not pinged | waits until it has been pinged |

Each suspect is pinged so that it can refute before it is considered dead. With many suspects at
once the pings are spread over several periods, and none is considered dead merely because it has
not been pinged. Once `MASS_FAILURE_SAMPLE` suspects in a row were pinged and did not answer, an
entire zone is assumed to have failed, and the remaining suspects need no pings of their own. An
answer from any suspect ends that state.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.membership.timing import MASS_FAILURE_SAMPLE

MAX_PINGS_PER_PERIOD = 4  # to all suspects, by one member
FLEET_PINGS_PER_PERIOD = 8  # to each suspect, by all members together


@dataclass
class Suspicion:
    """A suspicion of one member.

    `since` is when it began, and `until` when the suspect is considered dead unless it refutes.
    `pings` counts the datagrams that notified the suspect, whether pings or others.
    """

    record: Record
    since: float
    until: float
    pings: int = 0


class SuspicionTable:
    """The suspicions that this member holds, its own and those that others reported."""

    def __init__(self) -> None:
        self._suspicions: dict[int, Suspicion] = {}
        self._consecutive_silent = 0  # suspects that were pinged and timed out

    def __len__(self) -> int:
        return len(self._suspicions)

    def record(self, number: int) -> Record | None:
        """The record that states the suspicion of that member, if it is suspected."""
        suspicion = self._suspicions.get(number)
        return suspicion.record if suspicion else None

    def is_mass_failure(self) -> bool:
        """Whether so many suspects in a row were silent that pinging more reveals little."""
        return self._consecutive_silent >= MASS_FAILURE_SAMPLE

    def record_changed(self, record: Record, now: float, timeout_s: float) -> None:
        """Updates the suspicions after the member table has adopted a record of another member."""
        if record.state == MemberState.SUSPECT:
            self.add(record, now, timeout_s)
        else:
            self.withdraw(record.number, record.state in PRESENT_STATES)

    def add(self, record: Record, now: float, timeout_s: float) -> None:
        """Begins a suspicion; it replaces an older one of that member."""
        self._suspicions[record.number] = Suspicion(record, now, now + timeout_s)

    def withdraw(self, number: int, refuted: bool) -> None:
        """Ends a suspicion that the member has refuted, or whose member has left or died."""
        if self._suspicions.pop(number, None) and refuted:
            self._consecutive_silent = 0
        self._reset_if_empty()

    def restart_all(self, now: float, timeout_s: float) -> None:
        """Restarts all timeouts, for example after this member was paused."""
        for suspicion in self._suspicions.values():
            suspicion.since, suspicion.until, suspicion.pings = now, now + timeout_s, 0
        self._consecutive_silent = 0

    def datagram_received(self, number: int, now: float, timeout_s: float) -> None:
        """Restarts timeouts after a datagram from a member that is suspect or dead here.

        In a mass failure it indicates that the silence may have been due to a partition that has
        healed, so all suspicions restart.
        """
        if self.is_mass_failure():
            self.restart_all(now, timeout_s)
            return
        suspicion = self._suspicions.get(number)
        if suspicion:
            suspicion.until, suspicion.pings = now + timeout_s, 0

    def pings_per_period(self, present_count: int) -> int:
        """This member's part of the pings that all `present_count` members send to suspects."""
        if not self._suspicions:
            return 0
        if self.is_mass_failure():
            return 1
        part = FLEET_PINGS_PER_PERIOD * len(self._suspicions) / present_count
        return max(1, min(MAX_PINGS_PER_PERIOD, math.ceil(part)))

    def next_to_ping(self, limit: int) -> list[int]:
        """Suspects to ping now: the least pinged first, and among those the newest."""
        order = sorted(self._suspicions.values(), key=lambda entry: (entry.pings, -entry.since))
        return [suspicion.record.number for suspicion in order[:limit]]

    def pinged(self, number: int) -> None:
        """Records that the suspicion was sent to that member."""
        suspicion = self._suspicions.get(number)
        if suspicion:
            suspicion.pings += 1

    def drain_expired(self, now: float) -> list[Record]:
        """Removes and returns the suspicions that have timed out and whose suspect was pinged."""
        expired = list[Record]()
        for number, suspicion in list(self._suspicions.items()):
            if now >= suspicion.until and (suspicion.pings or self.is_mass_failure()):
                self._consecutive_silent += bool(suspicion.pings)
                del self._suspicions[number]
                expired.append(suspicion.record)
        self._reset_if_empty()
        return expired

    def _reset_if_empty(self) -> None:
        if not self._suspicions:
            self._consecutive_silent = 0
