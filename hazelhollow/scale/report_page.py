"""Renders generated tables into the marked blocks of a Markdown page; other text is kept."""

from __future__ import annotations

import re
from collections.abc import Mapping

from hazelhollow.scale.errors import PageError

BEGIN = "<!-- table: {} -->"
END = "<!-- end: {} -->"
_MARKER = re.compile(r"^<!-- (table|end): ([a-z-]+) -->$")


def render(page: str, tables: Mapping[str, str]) -> str:
    """Returns the page with the contents of each block replaced; other tables are omitted.

    Args:
        page: The page's text.
        tables: Text of each block, by name of the block.

    Raises:
        PageError: A block has no end marker, an unknown name or a duplicate name, or blocks are
            nested.
    """
    lines: list[str] = []
    seen = set[str]()
    open_block = ""
    for number, line in enumerate(page.split("\n"), 1):
        marker = _MARKER.match(line)
        if marker is None:
            if not open_block:
                lines.append(line)
            continue
        kind, name = marker[1], marker[2]
        lines.append(line)
        if kind == "table":
            _check_begin(name, open_block, seen, tables, number)
            open_block = name
            seen.add(name)
            lines += ["", *tables[name].split("\n"), ""]
        else:
            _check_end(name, open_block, number)
            open_block = ""
    if open_block:
        raise PageError(f"block {open_block!r} has no end marker")
    return "\n".join(lines)


def _check_end(name: str, open_block: str, number: int) -> None:
    """Raises PageError unless the end marker belongs to the open block."""
    if open_block != name:
        raise PageError(
            f"line {number}: end marker of {name!r}, but {open_block or 'no block'!r} is open"
        )


def _check_begin(
    name: str, open_block: str, seen: set[str], tables: Mapping[str, str], number: int
) -> None:
    """Raises PageError unless a block of that name may begin at this line."""
    if open_block:
        raise PageError(f"line {number}: block {name!r} begins inside block {open_block!r}")
    if name in seen:
        raise PageError(f"line {number}: duplicate block {name!r}")
    if name not in tables:
        raise PageError(
            f"line {number}: unknown table {name!r}; expected one of {', '.join(sorted(tables))}"
        )
