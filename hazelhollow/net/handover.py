"""Figures that run on through an upgrade: each process keeps its own in a file of `$TMPDIR`, and the new one adds
those of the old one while it lives and after it has gone. A restart finds only files of dead processes, and starts
from nothing, as its figures run from its own start."""

from __future__ import annotations

import logging
import os
import re
from collections import Counter
from pathlib import Path
from typing import Any

import orjson

from hazelhollow.net.bans import folder_of, safe_name

FORMAT, VERSION = "hazelhollow-figures", 1
SUMMED = ("dispatches", "reload_success", "reload_failure")

log = logging.getLogger(__name__)


def alive(pid: int) -> bool:
    """Whether that process runs. One that has ended but is not yet reaped by its parent does not."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        return True
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except (OSError, IndexError):
        return True
    return state not in ("Z", "X")


class Figures:
    """This process's file, and those of the processes before it."""

    def __init__(self, name: str, directory: str | None = None, pid: int | None = None) -> None:
        self.pid = pid or os.getpid()
        self._folder, self._stem = folder_of(directory), f"hazelhollow-{safe_name(name)}-figures-"
        self.path = self._folder / f"{self._stem}{self.pid}.json"
        self._before: dict[Path, dict[str, Any]] = {}  # the old processes' latest figures
        self._living: set[Path] = set()
        pattern = re.compile(re.escape(self._stem) + r"([0-9]+)\.json")
        for found in sorted(self._folder.glob(f"{self._stem}*.json")):
            match = pattern.fullmatch(found.name)
            if match and int(match.group(1)) != self.pid and alive(int(match.group(1))):
                self._living.add(found)
        self.look()
        if self._before:
            log.info("figures run on from %d process(es) before this one", len(self._before))

    def look(self) -> None:
        """Reads the old processes' files again while they live."""
        for path in list(self._living):
            document = _read(path)
            if document is not None:
                self._before[path] = document
            if not alive(_pid(path)):
                self._living.discard(path)

    def total(self, own: dict[str, Any]) -> dict[str, Any]:
        """Own figures with those before added."""
        replies: dict[str, Counter[str]] = {k: Counter(v) for k, v in own["replies"].items()}
        whole = dict(own)
        for path, before in self._counted().items():
            for kind, counts in before.get("replies", {}).items():
                replies.setdefault(kind, Counter(success=0, overload=0, error=0)).update(counts)
            for key in SUMMED:
                whole[key] = whole.get(key, 0) + int(before.get(key, 0))
            if path in self._living:
                whole["concurrent"] = whole.get("concurrent", 0) + int(before.get("open", 0))
        whole["replies"] = {kind: dict(counts) for kind, counts in replies.items()}
        return whole

    def _counted(self) -> dict[Path, dict[str, Any]]:
        """The files to add: not one whose figures another of them holds already, or they would count twice."""
        held = {pid for before in self._before.values() for pid in before.get("holds", [])}
        return {path: before for path, before in self._before.items() if _pid(path) not in held}

    def write(self, whole: dict[str, Any], open_now: int) -> None:
        """`whole`: what `total` gave, so that the next version counts on from all."""
        holds = sorted({_pid(path) for path in self._before} | {p for b in self._before.values() for p in b["holds"]})
        document = {
            "format": FORMAT, "version": VERSION, "open": open_now, "holds": holds,
            **{k: whole[k] for k in ("replies", *SUMMED)},
        }  # fmt: skip
        part = self.path.with_name(self.path.name + ".part")
        try:
            part.write_bytes(orjson.dumps(document))
            os.replace(part, self.path)
        except OSError as error:
            log.error("figures: %s cannot be written: %s", self.path, error)


def _read(path: Path) -> dict[str, Any] | None:
    try:
        document = orjson.loads(path.read_bytes())
    except (OSError, orjson.JSONDecodeError):
        return None
    if not isinstance(document, dict) or document.get("format") != FORMAT or document.get("version") != VERSION:
        return None
    if not isinstance(document.get("replies"), dict):
        return None
    holds = document.get("holds", [])
    if not isinstance(holds, list) or not all(isinstance(pid, int) for pid in holds):
        return None
    document["holds"] = holds
    return document


def _pid(path: Path) -> int:
    return int(path.stem.rsplit("-", 1)[1])
