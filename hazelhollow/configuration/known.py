"""What the members that are up act on, kept up record by record. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping

from hazelhollow.configuration import versions
from hazelhollow.configuration.versions import Versions
from hazelhollow.membership.records import PRESENT_STATES, Record


class KnownVersions(Mapping[int, Versions]):
    """Versions by member, and the newest order among them without a pass over all."""

    def __init__(self, known: Mapping[int, Versions] | None = None) -> None:
        self._by_member: dict[int, Versions] = {}
        # members by order and digest of the settings in force
        self._settings = Counter[tuple[int, str]]()
        self._candidates = dict[int, Versions]()  # by member, of those that try settings
        # members whose versions changed since they were asked for
        self._changed = dict[int, None]()
        for number, one in (known or {}).items():
            self.put(number, one)

    def __getitem__(self, number: int) -> Versions:
        return self._by_member[number]

    def __iter__(self) -> Iterator[int]:
        return iter(self._by_member)

    def __len__(self) -> int:
        return len(self._by_member)

    def note(self, record: Record) -> None:
        """That record of the view is new."""
        read = versions.read(record.versions) if record.state in PRESENT_STATES else None
        if read is None:
            self._remove(record.number)
        else:
            self.put(record.number, read)

    def put(self, number: int, one: Versions) -> None:
        """That member acts on these."""
        if self._by_member.get(number) == one:
            return
        self._remove(number)
        self._by_member[number] = one
        if one.candidate:
            self._candidates[number] = one
        else:
            self._settings[one.order, one.settings] += 1
        self._changed[number] = None

    def newest(self) -> tuple[int, set[str]]:
        """The greatest order in force at any member, and the digests under it.

        More than one is a contradiction.
        """
        order = max((order for order, _ in self._settings), default=0)
        return order, {settings for at, settings in self._settings if at == order}

    def greatest(self) -> int:
        """The greatest order, in force or tried."""
        tried = max((one.order for one in self._candidates.values()), default=0)
        return max(tried, self.newest()[0])

    def candidates(self) -> Mapping[int, Versions]:
        """By member.

        The settings that members try, as far as they are newer than all that are in force.
        """
        newest = self.newest()[0]
        return {number: one for number, one in self._candidates.items() if one.order > newest}

    def take_changed(self) -> list[tuple[int, Versions]]:
        """Members whose versions have changed since this was called last.

        As far as they are still known.
        """
        changed, self._changed = self._changed, {}
        return [
            (number, self._by_member[number]) for number in changed if number in self._by_member
        ]

    def _remove(self, number: int) -> None:
        before = self._by_member.pop(number, None)
        if before is None:
            return
        if before.candidate:
            del self._candidates[number]
            return
        key = before.order, before.settings
        self._settings[key] -= 1
        if not self._settings[key]:
            del self._settings[key]
