"""What a real endpoint says of itself and of a request, as text: `inflight=7,queue=2`."""

from __future__ import annotations

import re

from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import REPORT_FIGURES

MAX_REPORT_BYTES = 256
_KNOWN_FIGURES = {*REPORT_FIGURES, *REPORT_FIGURES.values()}
_FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")  # so neither `nan`, `inf` nor below zero


def read_report(text: bytes) -> dict[str, float]:
    """A load report, in our names.

    What can't be read is left out, and so are figures on use, which an error line may hold before
    it.
    """
    report = {}
    for item in text.decode("ascii", "replace").split(",") if len(text) <= MAX_REPORT_BYTES else ():
        name, _, value = item.partition("=")
        if name in _KNOWN_FIGURES and _FIGURE.fullmatch(value):
            report[REPORT_FIGURES.get(name, name)] = float(value)
    return report


def read_cost(text: bytes, max_units: float) -> float:
    """The true units of a request in the figures on use, `used=37,cost=4`; 0 if they name none.

    Raises:
        WireError: The figures can't be true: a figure that is believed is taken from a quota or
            given back to it.
    """
    if len(text) > MAX_REPORT_BYTES:
        raise WireError(f"figures on use of {len(text)} bytes")
    items = (
        [item.partition("=") for item in text.decode("ascii", "replace").split(",")] if text else []
    )
    costs = [value for name, _, value in items if name == "cost"]
    if not costs:
        return 0.0
    if len(costs) > 1 or not _FIGURE.fullmatch(costs[0]) or not 0 < float(costs[0]) <= max_units:
        raise WireError(f"figures on use that cannot be: {text[:60]!r}")
    return float(costs[0])
