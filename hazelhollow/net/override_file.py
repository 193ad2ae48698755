"""The file of administrative overrides: which endpoints an operator has disabled.

It lies in `$TMPDIR`, so that a restart, or a new version started beside this process, keeps them.
It is written completely and then put in place, so that a reader meets the old or the new file,
never a part. A file that cannot be read, or is of another format or version, changes nothing: the
limiter logs that once and goes on with the overrides that it has.

The form is `{"format": "hazelhollow-bans", "version": 1, "down": [NAME, ...]}`.
"""

from __future__ import annotations

import logging
import os
import tempfile
from pathlib import Path

import orjson

FORMAT, VERSION = "hazelhollow-bans", 1

log = logging.getLogger(__name__)


def path_for(limiter_name: str, directory: str | None = None) -> Path:
    """Where the limiter of that name keeps its overrides.

    `directory` is `$TMPDIR` by default, which the processes of one upgrade share.
    """
    folder = Path(directory or os.environ.get("TMPDIR") or tempfile.gettempdir())
    safe_name = "".join(c if c.isalnum() or c in "-_." else "_" for c in limiter_name) or "limiter"
    return folder / f"hazelhollow-{safe_name}-bans.json"


class OverrideFile:
    """The names of the disabled endpoints on disk."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._version_seen: tuple[int, int] | None = None  # size and time of the one read last
        self._last_complaint = ""

    def read(self) -> set[str] | None:
        """The names, if the file has changed since it was read or written here.

        None if it has not, is absent or cannot be used.
        """
        try:
            status = self.path.stat()
            version = (status.st_size, status.st_mtime_ns)
            if version == self._version_seen:
                return None
            self._version_seen = version
            document = orjson.loads(self.path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, orjson.JSONDecodeError) as error:
            return self._reject(f"cannot be read: {error}")
        if not isinstance(document, dict) or document.get("format") != FORMAT:
            return self._reject("is not a file of bans")
        if document.get("version") != VERSION:
            return self._reject(
                f"is of version {document.get('version')!r}, this one reads {VERSION}"
            )
        disabled = document.get("down")
        if not isinstance(disabled, list) or not all(isinstance(name, str) for name in disabled):
            return self._reject("'down' is not a list of server ids")
        return set(disabled)

    def write(self, disabled: set[str]) -> None:
        """Replaces the file. An error is logged: the overrides then hold in this process alone."""
        document = {"format": FORMAT, "version": VERSION, "down": sorted(disabled)}
        part = self.path.with_name(f"{self.path.name}.{os.getpid()}.part")
        try:
            part.write_bytes(orjson.dumps(document))
            os.replace(part, self.path)
            status = self.path.stat()
            self._version_seen = (status.st_size, status.st_mtime_ns)
        except OSError as error:
            log.error(
                "bans: %s cannot be written, they hold in this process alone: %s", self.path, error
            )

    def _reject(self, why: str) -> set[str] | None:
        if why != self._last_complaint:
            log.warning("bans: %s %s; it is not taken", self.path, why)
            self._last_complaint = why
        return None
