"""The settings that a member has recently had in force.

The history holds the newest document, and for each document the delta back to its predecessor.
With these a member can send another the delta from settings that were in force hours ago, and can
roll back without other members. The delta of the newest step is computed in slices; a call for
earlier settings in the meantime finishes it at once. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any

import orjson

from hazelhollow.configuration.distribution.delta import Change, apply_delta, concatenate_deltas
from hazelhollow.configuration.distribution.incremental import DeltaComputation, run_to_end

MAX_STEPS = 256  # half a day at 480 changes a day
MAX_BYTES = 1 << 18  # total of the deltas, as JSON

Document = Mapping[str, Any]


@dataclass(frozen=True)
class _Step:
    """A step back to the settings with that digest, from their successor."""

    digest: str
    changes: list[Change]
    size: int  # bytes of the changes as JSON


class SettingsHistory:
    """Settings by their digests, without the fields in `versions.LIMITER_FIELDS`."""

    def __init__(self, max_steps: int = MAX_STEPS, max_bytes: int = MAX_BYTES) -> None:
        self._max_steps, self._max_bytes = max_steps, max_bytes
        self._current = ""
        self._document: Document = {}
        self._steps = deque[_Step]()  # the newest first
        self._bytes = 0
        self._computation: DeltaComputation | None = None  # of the newest step
        self._previous = ""  # the digest of the settings that it leads back to

    @property
    def current(self) -> str:
        """The digest of the newest settings; empty before the first."""
        return self._current

    def knows(self, digest: str) -> bool:
        """Whether `document` can return the settings with that digest."""
        return digest in (self._current, self._previous) or any(
            step.digest == digest for step in self._steps
        )

    def put(self, digest: str, document: Document) -> None:
        """Makes these the newest settings."""
        if digest == self._current:
            return
        self._finish_step()
        if self._current:
            self._computation = DeltaComputation(document, self._document)
            self._previous = self._current
        self._current, self._document = digest, document

    def is_computed(self) -> bool:
        """Whether the delta of the newest step has been computed."""
        return self._computation is None

    def step(self) -> bool:
        """Computes a slice of the delta of the newest step; returns whether it is complete."""
        if self._computation is not None and self._computation.step():
            changes = self._computation.changes
            self._add(_Step(self._previous, changes, len(orjson.dumps(changes))))
            self._computation, self._previous = None, ""
        return self._computation is None

    def document(self, digest: str) -> Document | None:
        """Returns the settings with that digest; None if the history does not hold them."""
        if digest == self._current:
            return self._document
        self._finish_step()
        index = next((n for n, step in enumerate(self._steps) if step.digest == digest), None)
        if index is None:
            return None
        deltas = (step.changes for step in islice(self._steps, index + 1))
        return apply_delta(self._document, concatenate_deltas(deltas))

    def _finish_step(self) -> None:
        if self._computation is not None:
            run_to_end(self)

    def _add(self, step: _Step) -> None:
        self._steps.appendleft(step)
        self._bytes += step.size
        while self._steps and (len(self._steps) > self._max_steps or self._bytes > self._max_bytes):
            self._bytes -= self._steps.pop().size
