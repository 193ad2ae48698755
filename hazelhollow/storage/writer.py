"""Writes to disk beside the event loop.

A write to a file system blocks its thread while the file system commits its journal, up to seconds
on a busy disk, and a limiter answers nobody meanwhile. So jobs that write are queued and done in
order by a thread of their own; the event loop never waits for one, but where it says for how long
at most.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MOST_WAITING = 4 << 20  # bytes of jobs that wait

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class WriteJob:
    """`write` opens, writes or closes files and handles their OSErrors.

    `size`: the bytes that it holds. A job with the name `replaces` takes the place of one of that
    name that still waits.
    """

    write: Callable[[], None]
    size: int = 0
    replaces: str = ""


class Writer(Protocol):
    def submit(self, job: WriteJob) -> bool:
        """Takes a job, to be done after those before it.

        False: too much waits, and it was thrown away.
        """

    def finish(self, within: float) -> bool:
        """Waits until all that was submitted is done, `within` seconds at most; whether it is."""


class DirectWriter:
    """Does each job at once, in the caller's thread.

    For tools, and for models that have no disk to wait for.
    """

    def submit(self, job: WriteJob) -> bool:
        job.write()
        return True

    def finish(self, within: float) -> bool:
        return True


class BackgroundWriter:
    """Does the jobs in a thread, which begins with the first.

    The thread does not hold up the end of the process.
    """

    def __init__(self, most_waiting: int = MOST_WAITING) -> None:
        self._most_waiting = most_waiting
        self._jobs: dict[str, WriteJob] = {}  # those that wait, in order, by name or number
        self._size = 0  # bytes of those
        self._submitted = 0
        self._busy = self._said = False
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None
        self.dropped = 0  # jobs that were thrown away

    def submit(self, job: WriteJob) -> bool:
        with self._changed:
            taken = self._add(job)
            self._changed.notify_all()
        if not taken and not self._said:
            log.error("storage: the disk is too slow, and what is to be written is thrown away")
        self._said = not taken
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="disk writer", daemon=True)
            self._thread.start()
        return taken

    def _add(self, job: WriteJob) -> bool:
        self._submitted += 1
        name = job.replaces or f"#{self._submitted}"
        before = self._jobs.get(name)
        size = self._size + job.size - (before.size if before else 0)
        if size > self._most_waiting:
            self.dropped += 1
            return False
        self._jobs[name] = job  # at the place of the one that it replaces
        self._size = size
        return True

    def finish(self, within: float) -> bool:
        with self._changed:
            return self._changed.wait_for(lambda: not self._jobs and not self._busy, within)

    def _run(self) -> None:
        while True:
            job = self._next()
            try:
                job.write()
            except Exception:
                log.exception("storage: a file could not be written")
            with self._changed:
                self._busy = False
                self._changed.notify_all()

    def _next(self) -> WriteJob:
        with self._changed:
            self._changed.wait_for(lambda: bool(self._jobs))
            job = self._jobs.pop(next(iter(self._jobs)))
            self._size -= job.size
            self._busy = True
            return job
