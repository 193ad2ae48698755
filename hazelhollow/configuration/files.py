"""Records on disk: which files there are, and their entries in each limiter's own order."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from hazelhollow.configuration.record import Entry, unpack


def segments(folder: Path) -> list[Path]:
    """Of all limiters whose folders are in this one, or that wrote here.

    By limiter, incarnation and number.
    """
    return sorted(folder.rglob("audit-*.seg"), key=lambda path: path.name)


def told(answer: bytes) -> list[Entry]:
    """Of a limiter's answer to `audit`. Raises ValueError for what is none."""
    text, _, end = answer.rpartition(b"\nend\n")
    if end or not text:
        raise ValueError(answer[:80].decode(errors="replace").strip() or "no answer")
    return msgspec.json.decode(text, type=list[Entry])


def entries(
    folder: Path,
    trouble: Callable[[str], None],
    progress: Callable[[int, int], None] = lambda done, of: None,
) -> Iterator[Entry]:
    """`trouble` gets a line for what cannot be read.

    `progress`: bytes read so far, and of how many.
    """
    paths = segments(folder)
    sizes = [path.stat().st_size for path in paths]
    done, whole = 0, sum(sizes)
    for path, size in zip(paths, sizes, strict=True):
        try:
            data = path.read_bytes()
        except OSError as error:
            trouble(f"{path.name}: {error.strerror}")
            continue
        for found in unpack(data):
            if isinstance(found, str):
                trouble(f"{path.name}: {found}")
            else:
                yield found
        done += size
        progress(done, whole)
