"""Reading of a run's JSON Lines files, and quantiles of their values."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


def read_json_lines(path: Path) -> list[dict[str, Any]]:
    """Returns the documents of a JSON Lines file; none if the file does not exist.

    A line that is not valid JSON is skipped: a kill can cut the last line short.
    """
    documents = []
    for line in path.read_text().splitlines() if path.exists() else []:
        try:
            documents.append(json.loads(line))
        except ValueError:
            continue
    return documents


def quantile(values: list[float], share: float) -> float | None:
    """Returns the quantile `share` of the values, rounded to 3 digits; None without values."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3) if ordered else None
