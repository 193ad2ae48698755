"""The changes of the member table since the driver last asked."""

from __future__ import annotations

from hazelhollow.membership.records import Record


class ChangeLog:
    """Tracks changes for the driver, and when each member entered its state, for operators."""

    def __init__(self) -> None:
        self._has_changed = True
        self._changed_members: list[int] = []
        self._since: dict[int, float] = {}

    def note_change(self) -> None:
        """Records a change other than of a record: whether this member may admit work."""
        self._has_changed = True

    def record_changed(self, before: Record | None, after: Record, now: float) -> None:
        """Records that the member table now holds `after` in place of `before`."""
        self._has_changed = True
        if before is None or (before.state, before.incarnation) != (after.state, after.incarnation):
            self._since[after.number] = now
            self._changed_members.append(after.number)

    def consume_changed(self) -> bool:
        """Returns whether anything has changed since the last call."""
        changed, self._has_changed = self._has_changed, False
        return changed

    def drain_members(self) -> list[int]:
        """Members whose state or incarnation has changed since the last call, oldest first."""
        members, self._changed_members = self._changed_members, []
        return members

    def since(self, number: int, default: float) -> float:
        """When this member first saw the current state of that member, in seconds."""
        return self._since.get(number, default)
