"""Marked blocks of a Markdown page: the program writes what is in them, people what is around."""

from __future__ import annotations

import re
from collections.abc import Mapping

from hazelhollow.scale.errors import PageError

BEGIN = "<!-- table: {} -->"
END = "<!-- end: {} -->"
_MARKER = re.compile(r"^<!-- (table|end): ([a-z-]+) -->$")


def render(page: str, tables: Mapping[str, str]) -> str:
    """The page with each block filled anew; tables without a block are left out.

    Args:
        page: The page's text.
        tables: Text by name of the block.

    Raises:
        PageError: A block has no end, an unknown name, or a name that another one has.
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
        raise PageError(f"the block {open_block!r} has no end")
    return "\n".join(lines)


def _check_end(name: str, open_block: str, number: int) -> None:
    """Raises PageError unless the block that ends at a line is the open one."""
    if open_block != name:
        raise PageError(
            f"line {number}: the end of {name!r} where {open_block or 'no block'!r} is open"
        )


def _check_begin(
    name: str, open_block: str, seen: set[str], tables: Mapping[str, str], number: int
) -> None:
    """Raises PageError unless a block of that name may begin at a line."""
    if open_block:
        raise PageError(f"line {number}: {name!r} begins within {open_block!r}")
    if name in seen:
        raise PageError(f"line {number}: a second block {name!r}")
    if name not in tables:
        raise PageError(f"line {number}: no table {name!r}; there are {', '.join(sorted(tables))}")
