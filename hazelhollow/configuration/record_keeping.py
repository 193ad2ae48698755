"""What this member acts on goes on record first, and then to the other members.

A limiter that is killed right after a change thus has it on record, unless the disk is slower than
DISK_WAIT_S, which is logged.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from hazelhollow import __version__
from hazelhollow.configuration import versions
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.state import ConfigurationState

# For settings that are in force already, so that no request is served meanwhile.
DISK_WAIT_S = 0.05

log = logging.getLogger(__name__)


class RecordKeeper:
    """Writes the member's record and announces its versions.

    Args:
        state: what the member acts on.
        record: where it is written.
        announce: gives the others this member's encoded versions.
        serve: gives revision, digest and document to those that ask from now on.
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
        # Settings that are about to be acted on are on record; those in force until then as well.
        self._ahead = False
        self._second = int(state.clock())

    def begin(self) -> None:
        """The program begins; to be called when it has announced its versions once."""
        self._state.activity.program(__version__, "began", self._state.in_force.revision())
        self._record_changes("began")

    def announce(self) -> None:
        """Gives the others this member's versions."""
        self._announce(versions.encode(self._state.versions()))

    def publish(self, reason: str) -> None:
        """Records what has changed, for that reason, and announces it.

        To be called in the turn of a change, before a request is served by it.
        """
        if self._record_changes(reason):
            self._record.flush()
            if not self._record.wait_until_written(DISK_WAIT_S):
                log.warning(
                    "audit: the disk is slow; what this member acts on is not on record yet"
                )
        self.announce()

    def record_ahead(self, digest: str, revision: int, tried: bool, reason: str) -> None:
        """Records settings that this member is about to act on.

        Until `settle` no other settings are recorded.
        """
        self._ahead = True
        self._state.activity.settings(digest, revision, tried, reason)
        self._record.flush()

    def settle(self) -> None:
        """What was recorded ahead is in force now, or never will be."""
        self._ahead = False

    def is_written(self) -> bool:
        """Whether all of the record is on disk."""
        return self._record.wait_until_written()

    def tick(self, now: float) -> bool:
        """Hands new entries to the disk; whether a second of the clock has begun since."""
        begun = int(now) > self._second
        if begun:
            self._second = int(now)
            digest, revision, _ = self._current
            self._state.activity.second(digest, revision)
        self._record.flush()
        return begun

    def end(self) -> None:
        """The program ends."""
        self._state.activity.program(__version__, "ended", self._state.in_force.revision())
        self._record.close()

    def _record_changes(self, reason: str) -> bool:
        """Records what is not as before; whether the settings are not."""
        in_force, tried = self._state.in_force, self._state.rollout.candidate is not None
        digest, revision = in_force.digest(), in_force.revision()
        if (digest, revision, tried) != self._current:
            self._current = digest, revision, tried
            self._serve(revision, digest, in_force.document())
            if not tried:
                in_force.remember_in_force(digest)
        changed = not self._ahead and self._state.activity.settings(digest, revision, tried, reason)
        self._state.activity.endpoints(revision)
        return changed
