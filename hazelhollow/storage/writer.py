"""Writes to disk outside the event loop.

A write blocks its thread while the file system commits its journal, up to seconds on a busy disk,
and a limiter whose event loop waits for that answers no requests. So write jobs are queued, and a
separate thread does them in order. The event loop never waits for one, except in `finish`, which
has a timeout. The pending jobs are bounded in bytes; a job that does not fit is dropped and logged.
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
    """A job for a writer.

    `write` opens, writes or closes files and handles their OSErrors. `size` is the number of bytes
    that the job holds in memory. `replaces` is a name: of the pending jobs with the same name only
    the newest is done, at the place of the first in the queue. A job without a name replaces none.
    """

    write: Callable[[], None]
    size: int = 0
    replaces: str = ""


class Writer(Protocol):
    """Does write jobs in the order in which they were submitted."""

    def submit(self, job: WriteJob) -> bool:
        """Accepts a job, or drops it and returns False if too many bytes are pending."""

    def finish(self, timeout: float) -> bool:
        """Waits at most `timeout` seconds and returns whether all submitted jobs are done."""


class DirectWriter:
    """Does each job at once, in the caller's thread: for tools, and models without a slow disk."""

    def submit(self, job: WriteJob) -> bool:
        """Does the job and returns True."""
        job.write()
        return True

    def finish(self, timeout: float) -> bool:
        """Returns True at once, since no job is ever pending."""
        del timeout
        return True


class BackgroundWriter:
    """Does the jobs in a thread, which starts with the first job and does not outlive the process.

    `dropped` counts the jobs that were dropped because too many bytes were pending.
    """

    def __init__(self, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        self._max_pending_bytes = max_pending_bytes
        self._pending: dict[str, WriteJob] = {}  # in order, by `replaces` or by serial number
        self._pending_bytes = 0
        self._submitted = 0
        self._is_writing = self._drop_logged = False
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None
        self.dropped = 0

    def submit(self, job: WriteJob) -> bool:
        """Queues the job, or drops it and returns False; logs the first of successive drops."""
        with self._changed:
            is_accepted = self._add(job)
            self._changed.notify_all()
        if not is_accepted and not self._drop_logged:
            log.error(
                "storage: the disk is too slow; dropped a write of %d bytes, as at most %d bytes"
                " may be pending",
                job.size,
                self._max_pending_bytes,
            )
        self._drop_logged = not is_accepted
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="disk writer", daemon=True)
            self._thread.start()
        return is_accepted

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
        """Waits at most `timeout` seconds and returns whether all submitted jobs are done."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._pending and not self._is_writing, timeout
            )

    def _run(self) -> None:
        while True:
            job = self._pop_next()
            try:
                job.write()
            except Exception:
                log.exception("storage: a write of %d bytes failed", job.size)
            with self._changed:
                self._is_writing = False
                self._changed.notify_all()

    def _pop_next(self) -> WriteJob:
        with self._changed:
            self._changed.wait_for(lambda: bool(self._pending))
            job = self._pending.pop(next(iter(self._pending)))
            self._pending_bytes -= job.size
            self._is_writing = True
            return job
