"""Records which settings this member acts on, and then announces them to the other members.

Because the record comes first, a limiter that is killed right after a change has the change on
record, unless the disk takes longer than DISK_WAIT_S, which is logged.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from hazelhollow import __version__
from hazelhollow.configuration import versions
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.state import ConfigurationState

# Blocking wait for the record of settings that are already in force, so that no request is served
# under them before.
DISK_WAIT_S = 0.05

log = logging.getLogger(__name__)


class RecordKeeper:
    """Writes the member's record and announces its versions.

    Args:
        state: The settings that the member acts on.
        record: The member's audit record.
        announce: Announces this member's encoded versions to the others.
        serve: Sets the revision, digest and document that other members can fetch from now on.
    """

    def __init__(
        self,
        state: ConfigurationState,
        record: AuditRecord,
        announce: Callable[[str], None],
        serve: Callable[[int, str, Mapping[str, Any]], None],
    ) -> None:
        self._state, self._record = state, record
        self._announce, self._serve = announce, serve
        self._current = ("", 0, False)  # digest, revision, tried
        # Set while settings are on record that are not in force yet. The settings in force until
        # then are on record as well.
        self._recorded_ahead = False
        self._current_second = int(state.clock())

    def begin(self) -> None:
        """Records the start of the program; called after its versions were announced once."""
        self._state.activity.program(__version__, "began", self._state.in_force.revision())
        self._record_changes("began")

    def announce(self) -> None:
        """Announces this member's versions to the others."""
        self._announce(versions.encode(self._state.versions()))

    def publish(self, reason: str) -> None:
        """Records what has changed, with that reason, and announces it.

        Must be called in the event loop turn of the change, before a request is served under it.
        """
        if self._record_changes(reason):
            self._record.flush()
            if not self._record.wait_until_written(DISK_WAIT_S):
                log.warning(
                    "audit: the disk did not write the record within %.2f s; "
                    "the settings in force are not on record yet",
                    DISK_WAIT_S,
                )
        self.announce()

    def record_ahead(self, digest: str, revision: int, tried: bool, reason: str) -> None:
        """Records settings before this member acts on them.

        No other settings are recorded until `resume_recording` is called.
        """
        self._recorded_ahead = True
        self._state.activity.settings(digest, revision, tried, reason)
        self._record.flush()

    def resume_recording(self) -> None:
        """Ends the effect of `record_ahead`: its settings are in force now, or were withdrawn."""
        self._recorded_ahead = False

    def is_written(self) -> bool:
        """Whether the complete record is on disk."""
        return self._record.wait_until_written()

    def tick(self, now: float) -> bool:
        """Hands new entries to the disk; returns whether a new second of the clock has begun."""
        second_began = int(now) > self._current_second
        if second_began:
            self._current_second = int(now)
            digest, revision, _ = self._current
            self._state.activity.second(digest, revision)
        self._record.flush()
        return second_began

    def end(self) -> None:
        """Records the end of the program and closes the record."""
        self._state.activity.program(__version__, "ended", self._state.in_force.revision())
        self._record.close()

    def _record_changes(self, reason: str) -> bool:
        """Records what has changed; returns whether the settings have."""
        in_force, tried = self._state.in_force, self._state.rollout.candidate is not None
        digest, revision = in_force.digest(), in_force.revision()
        if (digest, revision, tried) != self._current:
            self._current = digest, revision, tried
            self._serve(revision, digest, in_force.document())
            if not tried:
                in_force.remember_in_force(digest)
        changed = not self._recorded_ahead and self._state.activity.settings(
            digest, revision, tried, reason
        )
        self._state.activity.endpoints(revision)
        return changed
