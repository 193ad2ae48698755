"""Reads audit records from segments on disk and from a running limiter's answer."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from hazelhollow.configuration.audit.entries import AuditEntry, decode_entries


def segment_paths(folder: Path) -> list[Path]:
    """Returns all segments in or below a folder, ordered by limiter, incarnation and number."""
    return sorted(folder.rglob("audit-*.seg"), key=lambda path: path.name)


def decode_answer(answer: bytes) -> list[AuditEntry]:
    """Decodes a running limiter's answer to `audit`.

    Raises:
        ValueError: The answer does not have that form; the message is what the limiter answered.
        msgspec.DecodeError: An entry does not have the expected form.
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
    """Reads the entries of all segments in or below a folder, each limiter's in its own order.

    Args:
        folder: Folder of the segments.
        unreadable: Called with a line of text for each segment or entry that cannot be read.
        progress: Called with the bytes read so far and the bytes of all segments.
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
        for item in decode_entries(data):
            if isinstance(item, str):
                unreadable(f"{path.name}: {item}")
            else:
                yield item
        done += size
        if progress:
            progress(done, total)
