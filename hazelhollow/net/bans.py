"""Servers left out by hand, kept in a file of `$TMPDIR` so that a restart or a new version beside
this one holds them.

The file is written whole and then put in place, so that a reader meets the old or the new, never a
part. A file that is broken, or of another format or version, is not taken: the limiter says so once
and goes on without it.
"""

from __future__ import annotations

import logging
import os
import tempfile
from pathlib import Path

import orjson

FORMAT, VERSION = "hazelhollow-bans", 1

log = logging.getLogger(__name__)


def folder_of(directory: str | None = None) -> Path:
    """Where what must outlast a process is kept.

    `$TMPDIR`, which the processes of one upgrade share.
    """
    return Path(directory or os.environ.get("TMPDIR") or tempfile.gettempdir())


def safe_name(name: str) -> str:
    """A limiter's name as a part of a file's name."""
    return "".join(c if c.isalnum() or c in "-_." else "_" for c in name) or "limiter"


def path_for(name: str, directory: str | None = None) -> Path:
    """Where the limiter of that name keeps its bans."""
    return folder_of(directory) / f"hazelhollow-{safe_name(name)}-bans.json"


class BanFile:
    def __init__(self, path: Path) -> None:
        self.path = path
        self._seen: tuple[int, int] | None = None  # size and time of the version read last
        self._said = ""

    def read(self) -> set[str] | None:
        """The bans, when the file is new to this process.

        None when it is as it was, absent or not to be taken.
        """
        try:
            status = self.path.stat()
            seen = (status.st_size, status.st_mtime_ns)
            if seen == self._seen:
                return None
            self._seen = seen
            document = orjson.loads(self.path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, orjson.JSONDecodeError) as error:
            return self._refuse(f"cannot be read: {error}")
        if not isinstance(document, dict) or document.get("format") != FORMAT:
            return self._refuse("is not a file of bans")
        if document.get("version") != VERSION:
            return self._refuse(
                f"is of version {document.get('version')!r}, this one reads {VERSION}"
            )
        down = document.get("down")
        if not isinstance(down, list) or not all(isinstance(name, str) for name in down):
            return self._refuse("'down' is not a list of server ids")
        return set(down)

    def write(self, down: set[str]) -> None:
        document = {"format": FORMAT, "version": VERSION, "down": sorted(down)}
        part = self.path.with_name(f"{self.path.name}.{os.getpid()}.part")
        try:
            part.write_bytes(orjson.dumps(document))
            os.replace(part, self.path)
            status = self.path.stat()
            self._seen = (status.st_size, status.st_mtime_ns)
        except OSError as error:
            log.error(
                "bans: %s cannot be written, they hold in this process alone: %s", self.path, error
            )

    def _refuse(self, why: str) -> set[str] | None:
        if why != self._said:
            log.warning("bans: %s %s; it is not taken", self.path, why)
            self._said = why
        return None
