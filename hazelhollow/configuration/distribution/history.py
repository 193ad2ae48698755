"""The settings that a member has had in force lately.

It holds the newest document and the delta from each back to the one before. With these a member
gives another the delta from settings that were in force hours ago, and rolls back by itself. The
delta of the newest step is computed in slices; whoever asks for earlier settings before that is
done has it finished at once. No I/O, no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any

import orjson

from hazelhollow.configuration.distribution.delta import Change, apply_delta, concatenated
from hazelhollow.configuration.distribution.incremental import DeltaComputation, run_to_end

MAX_STEPS = 256  # half a day at 480 changes a day
MAX_BYTES = 1 << 18  # of all deltas, as JSON

Document = Mapping[str, Any]


@dataclass(frozen=True)
class _Step:
    """A step back to the settings with that digest, from those that came after them."""

    digest: str
    changes: list[Change]
    size: int  # bytes of the changes as JSON


class SettingsHistory:
    """Settings by their digests, without the fields that are each limiter's own."""

    def __init__(self, max_steps: int = MAX_STEPS, max_bytes: int = MAX_BYTES) -> None:
        self._max_steps, self._max_bytes = max_steps, max_bytes
        self._current = ""
        self._document: Document = {}
        self._steps = deque[_Step]()  # the newest first
        self._bytes = 0
        self._computation: DeltaComputation | None = None  # of the newest step
        self._previous = ""  # the digest to which that step leads back

    @property
    def current(self) -> str:
        """The digest of the newest settings; empty before the first."""
        return self._current

    def knows(self, digest: str) -> bool:
        """Whether `document` has the settings with that digest."""
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
        """Whether the delta of the newest step is known."""
        return self._computation is None

    def step(self) -> bool:
        """Does a part of computing the delta of the newest step; whether it is known."""
        if self._computation is not None and self._computation.step():
            changes = self._computation.changes
            self._add(_Step(self._previous, changes, len(orjson.dumps(changes))))
            self._computation, self._previous = None, ""
        return self._computation is None

    def document(self, digest: str) -> Document | None:
        """The settings with that digest; None where they are not known."""
        if digest == self._current:
            return self._document
        self._finish_step()
        index = next((n for n, step in enumerate(self._steps) if step.digest == digest), None)
        if index is None:
            return None
        deltas = (step.changes for step in islice(self._steps, index + 1))
        return apply_delta(self._document, concatenated(deltas))

    def _finish_step(self) -> None:
        if self._computation is not None:
            run_to_end(self)

    def _add(self, step: _Step) -> None:
        self._steps.appendleft(step)
        self._bytes += step.size
        while self._steps and (len(self._steps) > self._max_steps or self._bytes > self._max_bytes):
            self._bytes -= self._steps.pop().size
