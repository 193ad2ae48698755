"""Deaths that others report of members that are alive here, checked before they are accepted.

After a partition, each side considers the other side's members dead and reports that to members
that have heard from them throughout. Each such report waits here: its member is pinged up to
`CONFIRMATION_ATTEMPTS` times, and refutes the report if it is up.

| event | effect on a reported death |
| --- | --- |
| the member refutes | dropped |
| a ping has no answer in time, fewer than `CONFIRMATION_ATTEMPTS` so far | pinged again |
| the last ping has no answer in time | accepted |
| `MASS_FAILURE_SAMPLE` members in a row did not answer | accepted without a ping |
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.membership.timing import CONFIRMATION_ATTEMPTS, MASS_FAILURE_SAMPLE

PINGS_PER_PERIOD = 2  # in addition to the ping sent when a death is first reported
MAX_AWAITING_ANSWER = 8  # members whose answers may be awaited at once


@dataclass
class ReportedDeath:
    """A reported death.

    `since` is when it was first reported. `answer_by` is the deadline for an answer to the latest
    ping, or None while none is awaited. `pings` counts the pings sent.
    """

    record: Record
    since: float
    answer_by: float | None = None
    pings: int = 0


class DeathConfirmations:
    """All reported deaths that are being checked. `rng` draws the order of pings."""

    def __init__(self, rng: random.Random) -> None:
        self._confirmations: dict[int, ReportedDeath] = {}
        self._random = rng
        self._consecutive_silent = 0  # members whose last ping was not answered

    def __len__(self) -> int:
        return len(self._confirmations)

    def record(self, number: int) -> Record | None:
        """The reported death of that member, if one is being checked."""
        pending = self._confirmations.get(number)
        return pending.record if pending else None

    def is_needed(self, report: Record, known: Record | None) -> bool:
        """Whether a report must be checked before merging: a death of a member that is alive here.

        `known`: the record in the member table.
        """
        return (
            report.state == MemberState.DEAD
            and known is not None
            and known.state in (MemberState.ALIVE, MemberState.JOINING)
            and report.incarnation == known.incarnation
        )

    def add(self, record: Record, now: float) -> bool:
        """Adds a reported death and returns whether it was not pending yet."""
        pending = self._confirmations.get(record.number)
        if pending is None:
            self._confirmations[record.number] = ReportedDeath(record, now)
        elif record > pending.record:
            pending.record = record
        return pending is None

    def has_room(self) -> bool:
        """Whether a death that has just been reported may be pinged immediately."""
        return len(self._confirmations) <= MAX_AWAITING_ANSWER

    def record_changed(self, record: Record) -> None:
        """Updates the pending reports after the member table has adopted a record."""
        pending = self._confirmations.get(record.number)
        if pending is None or record < pending.record:
            return
        if record.state in PRESENT_STATES:
            self.refute(record.number)
        else:
            self.settle(record.number)

    def refute(self, number: int) -> None:
        """Drops the report of a member that is up."""
        if self._confirmations.pop(number, None):
            self._consecutive_silent = 0

    def settle(self, number: int) -> None:
        """Drops the report of a member that has left or is considered dead."""
        self._confirmations.pop(number, None)

    def reset_mass_failure(self) -> None:
        """Resets the count of silent members, since a member considered dead has answered.

        Others that were silent may answer now too.
        """
        self._consecutive_silent = 0

    def clear(self) -> None:
        """Discards all reports after a stall, since their deadlines no longer count."""
        self._confirmations.clear()
        self._consecutive_silent = 0

    def next_to_ping(
        self, limit: int = PINGS_PER_PERIOD, max_awaited: int = MAX_AWAITING_ANSWER
    ) -> list[int]:
        """Returns at most `limit` members to ping now, those that were pinged before come first.

        Within that the order is random, so that the members of the fleet ping different ones. At
        most `max_awaited` answers are awaited at once.
        """
        waiting = [
            number for number, pending in self._confirmations.items() if pending.answer_by is None
        ]
        self._random.shuffle(waiting)
        waiting.sort(key=lambda number: -self._confirmations[number].pings)
        room = max_awaited - (len(self._confirmations) - len(waiting))
        return waiting[: max(0, min(limit, room))]

    def pinged(self, number: int, answer_by: float) -> None:
        """Records that the report of its death was sent to that member."""
        pending = self._confirmations.get(number)
        if pending and pending.answer_by is None:
            pending.answer_by, pending.pings = answer_by, pending.pings + 1

    def drain_confirmed(self, now: float, min_wait_s: float) -> list[Record]:
        """Removes and returns the deaths that are accepted now.

        `min_wait_s`: the minimum wait of a death that is accepted without a ping.
        """
        confirmed = list[Record]()
        for number, pending in list(self._confirmations.items()):
            if self._advance(pending, now, min_wait_s):
                del self._confirmations[number]
                confirmed.append(pending.record)
        if not self._confirmations:
            self._consecutive_silent = 0
        return confirmed

    def _advance(self, pending: ReportedDeath, now: float, min_wait_s: float) -> bool:
        """Returns whether the death is accepted; schedules another ping where pings remain."""
        is_mass_failure = self._consecutive_silent >= MASS_FAILURE_SAMPLE
        if pending.answer_by is None:
            return is_mass_failure and now >= pending.since + min_wait_s
        if now < pending.answer_by:
            return False
        if pending.pings < CONFIRMATION_ATTEMPTS and not is_mass_failure:
            pending.answer_by = None
            return False
        self._consecutive_silent += 1
        return True
