"""Reads the JSON-line files of a run, and takes quantiles of what is in them."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


def read_json_lines(path: Path) -> list[dict[str, Any]]:
    """The lines of a file, none if there is no file; one cut short by a kill is left out."""
    found = []
    for line in path.read_text().splitlines() if path.exists() else []:
        try:
            found.append(json.loads(line))
        except ValueError:
            continue
    return found


def quantile(values: list[float], share: float) -> float | None:
    """The value that this share of the values does not pass; None without values."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3) if ordered else None
