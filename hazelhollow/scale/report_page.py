"""Marked blocks of a Markdown page.

The program writes what stands between the markers, people what stands around them.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from hazelhollow.scale.errors import PageError

BEGIN = "<!-- table: {} -->"
END = "<!-- end: {} -->"
_MARKER = re.compile(r"^<!-- (table|end): ([a-z-]+) -->$")


def render(page: str, tables: Mapping[str, str]) -> str:
    """The page with each block filled anew.

    Tables without a block on the page are left out. Raises PageError.
    """
    lines: list[str] = []
    seen = set[str]()
    inside = ""
    for number, line in enumerate(page.split("\n"), 1):
        marker = _MARKER.match(line)
        if marker is None:
            if not inside:
                lines.append(line)
            continue
        kind, name = marker[1], marker[2]
        _check(kind, name, inside, seen, tables, number)
        lines.append(line)
        if kind == "table":
            inside = name
            seen.add(name)
            lines += ["", *tables[name].split("\n"), ""]
        else:
            inside = ""
    if inside:
        raise PageError(f"the block {inside!r} has no end")
    return "\n".join(lines)


def _check(
    kind: str, name: str, inside: str, seen: set[str], tables: Mapping[str, str], number: int
) -> None:
    if kind == "end":
        if inside != name:
            raise PageError(
                f"line {number}: the end of {name!r} where {inside or 'no block'!r} is open"
            )
        return
    if inside:
        raise PageError(f"line {number}: {name!r} begins within {inside!r}")
    if name in seen:
        raise PageError(f"line {number}: a second block {name!r}")
    if name not in tables:
        raise PageError(f"line {number}: no table {name!r}; there are {', '.join(sorted(tables))}")
