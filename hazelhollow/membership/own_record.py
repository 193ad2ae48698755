"""The record that a member keeps of itself: only it raises the version."""

from __future__ import annotations

from hazelhollow.membership.codec import MAX_UNREACHABLE
from hazelhollow.membership.records import MemberState, Record


class OwnRecord:
    """`record` is as others are to hold it; `unreachable`: members that cannot be heard directly.

    Whoever changes it puts the new record into the member table too.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.unreachable = set[int]()

    def restate(self, state: MemberState, versions: str | None = None) -> Record:
        """The next version of the record. `versions`: as before by default."""
        own = self.record
        changed = own._replace(
            record_version=own.record_version + 1,
            state=state,
            versions=own.versions if versions is None else versions,
        )
        return self._keep(changed)

    def refute(self, reported: Record) -> Record:
        """A version that overrides what was reported of this incarnation."""
        return self._keep(self.record._replace(record_version=reported.record_version + 1))

    def begin_again(self, incarnation: int) -> Record:
        """The first version of another incarnation, which is joining."""
        return self._keep(
            self.record._replace(
                incarnation=incarnation, record_version=0, state=MemberState.JOINING
            )
        )

    def _keep(self, record: Record) -> Record:
        named = tuple(sorted(self.unreachable)[:MAX_UNREACHABLE])
        self.record = record._replace(unreachable=named)
        return self.record
