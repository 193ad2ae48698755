"""Writes to disk beside the event loop.

A write blocks its thread while the file system commits its journal, up to seconds on a busy disk,
and a limiter whose event loop waits for that answers nobody. So write jobs are queued and done in
order by a thread of their own. The event loop never waits for one, except in `finish`, which has a
timeout. What waits is bounded in bytes; what does not fit is dropped and logged.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_PENDING_BYTES = 4 << 20

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class WriteJob:
    """`write` opens, writes or closes files and handles their OSErrors.

    `size`: the bytes that it holds. `replaces`: a name; of pending jobs with one name only the
    newest is done, at the place of the first. Without a name a job replaces none.
    """

    write: Callable[[], None]
    size: int = 0
    replaces: str = ""


class Writer(Protocol):
    """Does write jobs in the order in which they were submitted."""

    def submit(self, job: WriteJob) -> bool:
        """Takes a job; False if too much is pending, and the job was dropped."""

    def finish(self, timeout: float) -> bool:
        """Waits for `timeout` seconds at most; gives whether all submitted jobs are done."""


class DirectWriter:
    """Does each job at once, in the caller's thread: for tools, and models without a slow disk."""

    def submit(self, job: WriteJob) -> bool:
        """Does the job."""
        job.write()
        return True

    def finish(self, timeout: float) -> bool:
        """Nothing is ever pending."""
        del timeout
        return True


class BackgroundWriter:
    """Does the jobs in a thread, which begins with the first and does not outlive the process.

    `dropped` counts jobs for which there was no room.
    """

    def __init__(self, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        self._max_pending_bytes = max_pending_bytes
        self._pending: dict[str, WriteJob] = {}  # in order, by name or number
        self._pending_bytes = 0
        self._submitted = 0
        self._is_writing = self._drop_logged = False
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None
        self.dropped = 0

    def submit(self, job: WriteJob) -> bool:
        """Queues the job; False if it was dropped. The first of several drops is logged."""
        with self._changed:
            taken = self._add(job)
            self._changed.notify_all()
        if not taken and not self._drop_logged:
            log.error("storage: the disk is too slow, and what is to be written is thrown away")
        self._drop_logged = not taken
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="disk writer", daemon=True)
            self._thread.start()
        return taken

    def _add(self, job: WriteJob) -> bool:
        self._submitted += 1
        name = job.replaces or f"#{self._submitted}"
        replaced = self._pending.get(name)
        size = self._pending_bytes + job.size - (replaced.size if replaced else 0)
        if size > self._max_pending_bytes:
            self.dropped += 1
            return False
        self._pending[name] = job
        self._pending_bytes = size
        return True

    def finish(self, timeout: float) -> bool:
        """Waits for `timeout` seconds at most; gives whether all submitted jobs are done."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._pending and not self._is_writing, timeout
            )

    def _run(self) -> None:
        while True:
            job = self._next()
            try:
                job.write()
            except Exception:
                log.exception("storage: a file could not be written")
            with self._changed:
                self._is_writing = False
                self._changed.notify_all()

    def _next(self) -> WriteJob:
        with self._changed:
            self._changed.wait_for(lambda: bool(self._pending))
            job = self._pending.pop(next(iter(self._pending)))
            self._pending_bytes -= job.size
            self._is_writing = True
            return job
