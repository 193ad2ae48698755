"""The settings that a member has acted on lately.

The newest whole, and the changes from each back to the one before. No I/O, no clock.

With these a member gives another the difference from settings that were in force hours ago, and
goes back to earlier ones by itself. The changes of a step are worked out in slices; whoever asks
for earlier settings before that is done has them worked out at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any

import orjson

from hazelhollow.configuration.difference import Change, apply, merged
from hazelhollow.configuration.slices import Comparison, finished

MOST_STEPS = 256  # at 480 changes a day those of half a day
MOST_BYTES = 1 << 18  # of all changes that are kept, as JSON

Document = Mapping[str, Any]


@dataclass(frozen=True)
class _Step:
    """`changes`.

    From the settings that came next back to those of this digest; `size`: of them, as JSON.
    """

    digest: str
    changes: list[Change]
    size: int


class History:
    """Settings by their digests, without what is each member's own."""

    def __init__(self, most_steps: int = MOST_STEPS, most_bytes: int = MOST_BYTES) -> None:
        self._most_steps, self._most_bytes = most_steps, most_bytes
        self._current = ""
        self._document: Document = {}
        self._steps = deque[_Step]()  # the newest first
        self._size = 0
        self._comparison: Comparison | None = None  # of the newest step
        self._before = ""  # the digest that it leads back to

    @property
    def current(self) -> str:
        """The digest of what is acted on; nothing before the first."""
        return self._current

    def knows(self, digest: str) -> bool:
        """Whether these settings can be had from here."""
        return digest in (self._current, self._before) or any(
            one.digest == digest for one in self._steps
        )

    def put(self, digest: str, document: Document) -> None:
        """This member acts on these now."""
        if digest == self._current:
            return
        self._finish()
        if self._current:
            self._comparison, self._before = Comparison(document, self._document), self._current
        self._current, self._document = digest, document

    def worked_out(self) -> bool:
        """Whether the changes of the newest step are known."""
        return self._comparison is None

    def step(self) -> bool:
        """Works on the changes of the newest step; whether they are known."""
        if self._comparison is not None and self._comparison.step():
            self._add(_step(self._before, self._comparison.changes))
            self._comparison, self._before = None, ""
        return self._comparison is None

    def document(self, digest: str) -> Document | None:
        """The settings of that digest; nothing where they are not known."""
        if digest == self._current:
            return self._document
        self._finish()
        at = next((n for n, one in enumerate(self._steps) if one.digest == digest), None)
        if at is None:
            return None
        return apply(self._document, merged(one.changes for one in islice(self._steps, at + 1)))

    def _finish(self) -> None:
        if self._comparison is not None:
            finished(self)

    def _add(self, one: _Step) -> None:
        self._steps.appendleft(one)
        self._size += one.size
        while self._steps and (
            len(self._steps) > self._most_steps or self._size > self._most_bytes
        ):
            self._size -= self._steps.pop().size


def _step(digest: str, changes: list[Change]) -> _Step:
    return _Step(digest, changes, len(orjson.dumps(changes)))
