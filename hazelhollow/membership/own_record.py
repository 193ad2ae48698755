"""The record that a member keeps of itself. Only the member itself raises the record version."""

from __future__ import annotations

from hazelhollow.membership.codec import MAX_UNREACHABLE
from hazelhollow.membership.records import MemberState, Record


class OwnRecord:
    """This member's own record, and `unreachable`, the members whose datagrams do not arrive here.

    `record` is the version that the other members should have. A caller that changes it must also
    put the new record into the member table.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.unreachable = set[int]()

    def restate(self, state: MemberState, versions: str | None = None) -> Record:
        """Returns the next version of the record with this state.

        `versions` replaces those of the record; by default they stay the same.
        """
        own = self.record
        changed = own._replace(
            record_version=own.record_version + 1,
            state=state,
            versions=own.versions if versions is None else versions,
        )
        return self._keep(changed)

    def refute(self, reported: Record) -> Record:
        """Returns a version that overrides what was reported about this incarnation."""
        return self._keep(self.record._replace(record_version=reported.record_version + 1))

    def begin_incarnation(self, incarnation: int) -> Record:
        """Returns the first version of another incarnation, in the joining state."""
        return self._keep(
            self.record._replace(
                incarnation=incarnation, record_version=0, state=MemberState.JOINING
            )
        )

    def _keep(self, record: Record) -> Record:
        listed = tuple(sorted(self.unreachable)[:MAX_UNREACHABLE])
        self.record = record._replace(unreachable=listed)
        return self.record
