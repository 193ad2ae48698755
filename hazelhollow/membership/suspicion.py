"""Members whose death is not certain yet.

Suspicions of this member's own, and deaths that others tell. No I/O, no clock.

Each is asked whether it is there before it is held dead. With many at once the asking is spread
over the beats, and those that wait are not held dead for want of a turn; but once several in a row
that were asked have said nothing, the rest need no asking of their own: a whole zone is gone. One
that answers ends that.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from hazelhollow.membership.records import Record

ASKED = 2  # times that a member is asked about its death that others tell
# asked in a row that said nothing, after which the others are held for dead without being asked
SAMPLE = 8


@dataclass
class Suspicion:
    """`until`.

    When it ends in death, if the suspect was asked by then; `asked`: how often it was.
    """

    record: Record
    since: float
    until: float
    asked: int = 0


class Suspicions:
    """This member's own, and those that others told in time."""

    def __init__(self) -> None:
        self._suspicions: dict[int, Suspicion] = {}
        self._silent = 0  # in a row

    def __len__(self) -> int:
        return len(self._suspicions)

    def record(self, number: int) -> Record | None:
        one = self._suspicions.get(number)
        return one.record if one else None

    def many(self) -> bool:
        """Whether several in a row were asked in vain.

        Then asking more is worth less than telling of those that are gone.
        """
        return self._silent >= SAMPLE

    def add(self, record: Record, now: float, seconds: float) -> None:
        """In place of an older one about that member."""
        self._suspicions[record.number] = Suspicion(record, now, now + seconds)

    def withdraw(self, number: int, refuted: bool) -> None:
        """It has refuted it, or it is known to be gone."""
        if self._suspicions.pop(number, None) and refuted:
            self._silent = 0
        self._forget()

    def restart(self, now: float, seconds: float) -> None:
        """This member stood still: nothing that was timed before holds."""
        for one in self._suspicions.values():
            one.since, one.until, one.asked = now, now + seconds, 0
        self._silent = 0

    def spoke(self, number: int, now: float, seconds: float) -> None:
        """That member, which is held suspect or dead, has been heard.

        Where many have been silent, what kept them so may have been a cut that is over: each has
        its time anew.
        """
        if self.many():
            self.restart(now, seconds)
            return
        one = self._suspicions.get(number)
        if one:
            one.until, one.asked = now + seconds, 0

    def to_ask(self, most: int) -> list[int]:
        """Suspects to ping now: those pinged least, and of them the newest."""
        order = sorted(self._suspicions.values(), key=lambda one: (one.asked, -one.since))
        return [one.record.number for one in order[:most]]

    def asked(self, number: int) -> None:
        """It was told that it is suspected, by a ping or along with another message."""
        one = self._suspicions.get(number)
        if one:
            one.asked += 1

    def ended(self, now: float) -> list[Record]:
        """Suspicions whose time is over, which are taken out.

        The others wait until their suspect was asked.
        """
        found = list[Record]()
        for number, one in list(self._suspicions.items()):
            if now >= one.until and (one.asked or self._silent >= SAMPLE):
                self._silent += bool(one.asked)
                del self._suspicions[number]
                found.append(one.record)
        self._forget()
        return found

    def _forget(self) -> None:
        if not self._suspicions:
            self._silent = 0


@dataclass
class DeathConfirmation:
    """A death that others told.

    `until`: when the member's time to answer is over, where it was asked; `asked`: how often.
    """

    record: Record
    since: float
    until: float | None = None
    asked: int = 0


class DeathConfirmations:
    """Deaths that others told of members that are well here."""

    def __init__(self, chance: random.Random) -> None:
        self._confirmations: dict[int, DeathConfirmation] = {}
        self._random = chance
        self._silent = 0  # in a row

    def __len__(self) -> int:
        return len(self._confirmations)

    def record(self, number: int) -> Record | None:
        one = self._confirmations.get(number)
        return one.record if one else None

    def add(self, record: Record, now: float) -> bool:
        """Whether it is new."""
        known = self._confirmations.get(record.number)
        if known is None:
            self._confirmations[record.number] = DeathConfirmation(record, now)
        elif record > known.record:
            known.record = record
        return known is None

    def refuted(self, number: int) -> None:
        """The member is there."""
        if self._confirmations.pop(number, None):
            self._silent = 0

    def settled(self, number: int) -> None:
        """It is known to be gone."""
        self._confirmations.pop(number, None)

    def spoke(self) -> None:
        """A member that was held dead has been heard: those that were silent may answer now."""
        self._silent = 0

    def clear(self) -> None:
        self._confirmations.clear()
        self._silent = 0

    def to_ask(self, most: int, most_open: int) -> list[int]:
        """Members to ask now, drawn by chance so that others ask other ones, those first that were
        asked once; at most so many open at once.
        """
        waiting = [number for number, one in self._confirmations.items() if one.until is None]
        self._random.shuffle(waiting)
        waiting.sort(key=lambda number: -self._confirmations[number].asked)
        return waiting[: max(0, min(most, most_open - (len(self._confirmations) - len(waiting))))]

    def asked(self, number: int, until: float) -> None:
        one = self._confirmations.get(number)
        if one and one.until is None:
            one.until, one.asked = until, one.asked + 1

    def ended(self, now: float, wait: float) -> list[Record]:
        """Deaths to be believed now, which are taken out.

        `wait`: seconds that each has at least.
        """
        found = list[Record]()
        for number, one in list(self._confirmations.items()):
            if one.until is not None and now >= one.until:
                if one.asked < ASKED and self._silent < SAMPLE:
                    one.until = None  # its answer may have been lost
                    continue
                self._silent += 1
            elif one.until is not None or self._silent < SAMPLE or now < one.since + wait:
                continue
            del self._confirmations[number]
            found.append(one.record)
        if not self._confirmations:
            self._silent = 0
        return found
