"""The file of administrative overrides, which lists the endpoints that an operator has disabled.

It is stored in `$TMPDIR`, so that the overrides survive a restart and are shared with a new version
that runs in parallel during an upgrade. It is written to a temporary file and then renamed, so that
a reader sees either the old or the new file, never a partial one. A file that is unreadable or has
another format or version changes nothing: the limiter logs the problem once and keeps its current
overrides.

Two processes may change it at the same time. Each change is therefore made to the content of the
file, and not to what this process read last, while the process holds a lock (`exclusive`).

The format is `{"format": "hazelhollow-bans", "version": 1, "down": [NAME, ...]}`.
"""

from __future__ import annotations

import fcntl
import logging
import os
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import orjson

FORMAT, VERSION = "hazelhollow-bans", 1
# Another process holds the lock for one write, unless it is stopped. A call must not wait for that.
LOCK_ATTEMPTS = 10
LOCK_RETRY_S = 0.002

log = logging.getLogger(__name__)


def path_for(limiter_name: str, directory: str | None = None) -> Path:
    """Returns the path of the override file of the limiter with that name.

    `directory` defaults to `$TMPDIR`, which the old and the new process share during an upgrade.
    """
    folder = Path(directory or os.environ.get("TMPDIR") or tempfile.gettempdir())
    safe_name = "".join(c if c.isalnum() or c in "-_." else "_" for c in limiter_name) or "limiter"
    return folder / f"hazelhollow-{safe_name}-bans.json"


class OverrideFile:
    """Reads and writes the names of the disabled endpoints on disk."""

    def __init__(self, path: Path) -> None:
        self.path = path
        # inode, size and mtime of the file last read or written
        self._last_signature: tuple[int, int, int] | None = None
        self._last_problem = ""

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Keeps other processes from changing the file; gives up waiting after some 20 ms."""
        try:
            lock = os.open(self.path.with_name(f"{self.path.name}.lock"), os.O_CREAT | os.O_RDWR)
        except OSError:
            yield  # `write` logs that the folder cannot be written
            return
        try:
            for _ in range(LOCK_ATTEMPTS):
                with suppress(OSError):
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                time.sleep(LOCK_RETRY_S)
            yield
        finally:
            os.close(lock)

    def read_if_changed(self) -> set[str] | None:
        """Returns the names if the file has changed since it was last read or written here.

        Returns None if it is unchanged, absent or unusable.
        """
        with suppress(OSError):
            if self._signature() == self._last_signature:
                return None
        return self.read()

    def read(self) -> set[str] | None:
        """Returns the names in the file; None if it is absent or unusable."""
        try:
            self._last_signature = self._signature()
            document = orjson.loads(self.path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, orjson.JSONDecodeError) as error:
            return self._reject(f"cannot be read: {error}")
        if not isinstance(document, dict) or document.get("format") != FORMAT:
            return self._reject("is not an override file")
        if document.get("version") != VERSION:
            return self._reject(
                f"has version {document.get('version')!r}, and this limiter reads only {VERSION}"
            )
        disabled = document.get("down")
        if not isinstance(disabled, list) or not all(isinstance(name, str) for name in disabled):
            return self._reject("has a 'down' that is not a list of server ids")
        return set(disabled)

    def write(self, disabled: set[str]) -> bool:
        """Replaces the file; returns whether it was written completely.

        On an error, which is logged, only this process has the overrides, until a later call.
        """
        document = {"format": FORMAT, "version": VERSION, "down": sorted(disabled)}
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}.part")
        try:
            temporary.write_bytes(orjson.dumps(document))
            os.replace(temporary, self.path)
            self._last_signature = self._signature()
        except OSError as error:
            if str(error) != self._last_problem:
                log.error(
                    "override file %s cannot be written yet; the overrides hold in this process"
                    " only: %s",
                    self.path,
                    error,
                )
            self._last_problem = str(error)
            return False
        self._last_problem = ""
        return True

    def _signature(self) -> tuple[int, int, int]:
        status = self.path.stat()
        return status.st_ino, status.st_size, status.st_mtime_ns

    def _reject(self, problem: str) -> set[str] | None:
        if problem != self._last_problem:
            log.warning("bans: %s %s; it is not taken", self.path, problem)
            self._last_problem = problem
        return None
