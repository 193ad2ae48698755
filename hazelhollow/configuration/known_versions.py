"""The versions of the members that are up, updated with each membership record.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping

from hazelhollow.configuration import versions
from hazelhollow.configuration.versions import Versions
from hazelhollow.membership.records import PRESENT_STATES, Record


class KnownVersions(Mapping[int, Versions]):
    """Versions by member; finds the newest revision without iterating over all members.

    Args:
        initial: The versions to begin with; None: none.
    """

    def __init__(self, initial: Mapping[int, Versions] | None = None) -> None:
        self._by_member: dict[int, Versions] = {}
        # Number of members with these settings in force, by revision and digest.
        self._members_by_settings = Counter[tuple[int, str]]()
        self._canaries = dict[int, Versions]()  # by member; those that try settings
        self._changed = dict[int, None]()  # members, in order, since `drain_changed`
        for number, member_versions in (initial or {}).items():
            self.put(number, member_versions)

    def __getitem__(self, number: int) -> Versions:
        return self._by_member[number]

    def __iter__(self) -> Iterator[int]:
        return iter(self._by_member)

    def __len__(self) -> int:
        return len(self._by_member)

    def update_from(self, record: Record) -> None:
        """Stores the versions in a new membership record; removes those of an absent member."""
        decoded = versions.decode(record.versions) if record.state in PRESENT_STATES else None
        if decoded is None:
            self._remove(record.number)
        else:
            self.put(record.number, decoded)

    def put(self, number: int, member_versions: Versions) -> None:
        """Stores the versions of a member."""
        if self._by_member.get(number) == member_versions:
            return
        self._remove(number)
        self._by_member[number] = member_versions
        if member_versions.candidate:
            self._canaries[number] = member_versions
        else:
            self._members_by_settings[member_versions.revision, member_versions.settings] += 1
        self._changed[number] = None

    def newest(self) -> tuple[int, set[str]]:
        """Returns the greatest revision in force at any member, and the digests under it.

        More than one digest is a contradiction.
        """
        newest = max((revision for revision, _ in self._members_by_settings), default=0)
        return newest, {
            settings for revision, settings in self._members_by_settings if revision == newest
        }

    def greatest(self) -> int:
        """Returns the greatest revision, in force or tried."""
        tried = max((canary.revision for canary in self._canaries.values()), default=0)
        return max(tried, self.newest()[0])

    def canaries(self) -> Mapping[int, Versions]:
        """Returns the versions of canaries whose candidate is newer than all settings in force."""
        newest = self.newest()[0]
        return {
            number: canary for number, canary in self._canaries.items() if canary.revision > newest
        }

    def digests_of(self, revision: int) -> set[str]:
        """Returns the digests under that revision, in force or tried."""
        return {member.settings for member in self.values() if member.revision == revision}

    def drain_changed(self) -> list[tuple[int, Versions]]:
        """Returns and clears the members with changed versions, without those removed since."""
        changed, self._changed = self._changed, {}
        return [
            (number, self._by_member[number]) for number in changed if number in self._by_member
        ]

    def _remove(self, number: int) -> None:
        previous = self._by_member.pop(number, None)
        if previous is None:
            return
        if previous.candidate:
            del self._canaries[number]
            return
        key = previous.revision, previous.settings
        self._members_by_settings[key] -= 1
        if not self._members_by_settings[key]:
            del self._members_by_settings[key]
