"""Deaths that others report of members that are well here: checked before they are believed.

After a partition each side holds the other's members dead and reports so to those who have heard
them all the time. Each such death waits here: its member is pinged up to `CONFIRMATION_ATTEMPTS`
times, and refutes if it is there.

| event | effect on a reported death |
| --- | --- |
| the member refutes | dropped |
| a ping has no answer in time, fewer than `CONFIRMATION_ATTEMPTS` so far | pinged again |
| the last ping has no answer in time | believed |
| `MASS_FAILURE_SAMPLE` members in a row did not answer | believed without a ping |
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.membership.timing import CONFIRMATION_ATTEMPTS, MASS_FAILURE_SAMPLE

PINGS_PER_PERIOD = 2  # beside the one that is sent when a death is first reported
MAX_AWAITING_ANSWER = 8  # members whose answers are awaited at once


@dataclass
class ReportedDeath:
    """A reported death.

    `since`: when it was reported first. `answer_by`: until when an answer to the latest ping may
    come; None while none is awaited. `pings`: how many were sent.
    """

    record: Record
    since: float
    answer_by: float | None = None
    pings: int = 0


class DeathConfirmations:
    """All reported deaths that are being checked. `chance`: draws who is pinged first."""

    def __init__(self, chance: random.Random) -> None:
        self._confirmations: dict[int, ReportedDeath] = {}
        self._random = chance
        self._silent_in_a_row = 0  # members whose last ping had no answer

    def __len__(self) -> int:
        return len(self._confirmations)

    def record(self, number: int) -> Record | None:
        """The reported death of that member."""
        known = self._confirmations.get(number)
        return known.record if known else None

    def is_needed(self, report: Record, known: Record | None) -> bool:
        """Whether a reported record must be checked rather than merged: a death of one well here.

        `known`: what the member table holds.
        """
        return (
            report.state == MemberState.DEAD
            and known is not None
            and known.state in (MemberState.ALIVE, MemberState.JOINING)
            and report.incarnation == known.incarnation
        )

    def add(self, record: Record, now: float) -> bool:
        """A death was reported. Whether it is new."""
        known = self._confirmations.get(record.number)
        if known is None:
            self._confirmations[record.number] = ReportedDeath(record, now)
        elif record > known.record:
            known.record = record
        return known is None

    def has_room(self) -> bool:
        """Whether a death that has just been reported may be pinged at once."""
        return len(self._confirmations) <= MAX_AWAITING_ANSWER

    def record_changed(self, record: Record) -> None:
        """The member table holds this record from now on."""
        known = self._confirmations.get(record.number)
        if known is None or record < known.record:
            return
        if record.state in PRESENT_STATES:
            self.refute(record.number)
        else:
            self.settle(record.number)

    def refute(self, number: int) -> None:
        """The member is there."""
        if self._confirmations.pop(number, None):
            self._silent_in_a_row = 0

    def settle(self, number: int) -> None:
        """The member is known to be gone."""
        self._confirmations.pop(number, None)

    def heard_from_suspect_or_dead(self) -> None:
        """A member that was considered dead was heard: those that were silent may answer now."""
        self._silent_in_a_row = 0

    def clear(self) -> None:
        """This member stood still: nothing that was awaited before counts."""
        self._confirmations.clear()
        self._silent_in_a_row = 0

    def next_to_ping(
        self, limit: int = PINGS_PER_PERIOD, max_awaited: int = MAX_AWAITING_ANSWER
    ) -> list[int]:
        """At most `limit` members to ping now, those first that were pinged before.

        Drawn by chance, so that each member of the fleet pings others; no more than `max_awaited`
        answers are awaited at once.
        """
        waiting = [
            number for number, known in self._confirmations.items() if known.answer_by is None
        ]
        self._random.shuffle(waiting)
        waiting.sort(key=lambda number: -self._confirmations[number].pings)
        room = max_awaited - (len(self._confirmations) - len(waiting))
        return waiting[: max(0, min(limit, room))]

    def pinged(self, number: int, answer_by: float) -> None:
        """That member was sent the report of its death."""
        known = self._confirmations.get(number)
        if known and known.answer_by is None:
            known.answer_by, known.pings = answer_by, known.pings + 1

    def take_confirmed(self, now: float, min_wait_s: float) -> list[Record]:
        """Takes out the deaths to be believed now.

        `min_wait_s`: that each waits at least where it is believed without a ping.
        """
        confirmed = list[Record]()
        for number, known in list(self._confirmations.items()):
            if self._advance(known, now, min_wait_s):
                del self._confirmations[number]
                confirmed.append(known.record)
        if not self._confirmations:
            self._silent_in_a_row = 0
        return confirmed

    def _advance(self, known: ReportedDeath, now: float, min_wait_s: float) -> bool:
        """Whether the death is believed; where an answer may have been lost, the next ping."""
        is_mass_failure = self._silent_in_a_row >= MASS_FAILURE_SAMPLE
        if known.answer_by is None:
            return is_mass_failure and now >= known.since + min_wait_s
        if now < known.answer_by:
            return False
        if known.pings < CONFIRMATION_ATTEMPTS and not is_mass_failure:
            known.answer_by = None
            return False
        self._silent_in_a_row += 1
        return True
