"""Reads audit records back: from segments on disk, and from a running limiter's answer."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from hazelhollow.configuration.audit.entries import AuditEntry, decode_entries


def segment_paths(folder: Path) -> list[Path]:
    """All segments in or below the folder, by limiter, incarnation and number."""
    return sorted(folder.rglob("audit-*.seg"), key=lambda path: path.name)


def decode_answer(answer: bytes) -> list[AuditEntry]:
    """The entries of a running limiter's answer to `audit`.

    Raises:
        ValueError: it is no such answer; with what the limiter said instead.
        msgspec.DecodeError: an entry is of another form.
    """
    text, _, end = answer.rpartition(b"\nend\n")
    if end or not text:
        raise ValueError(answer[:80].decode(errors="replace").strip() or "no answer")
    return msgspec.json.decode(text, type=list[AuditEntry])


def read_entries(
    folder: Path,
    unreadable: Callable[[str], None],
    progress: Callable[[int, int], None] | None = None,
) -> Iterator[AuditEntry]:
    """The entries of all segments in or below a folder, each limiter's in its own order.

    Args:
        folder: where the segments are.
        unreadable: called with a line for whatever cannot be read.
        progress: called with the bytes read so far and the bytes of all segments.
    """
    paths = segment_paths(folder)
    sizes = [path.stat().st_size for path in paths]
    done, total = 0, sum(sizes)
    for path, size in zip(paths, sizes, strict=True):
        try:
            data = path.read_bytes()
        except OSError as error:
            unreadable(f"{path.name}: {error.strerror}")
            continue
        for found in decode_entries(data):
            if isinstance(found, str):
                unreadable(f"{path.name}: {found}")
            else:
                yield found
        done += size
        if progress:
            progress(done, total)
