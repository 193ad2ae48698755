"""Parses the load and usage figures that real endpoints send, such as `inflight=7,queue=2`."""

from __future__ import annotations

import re

from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import REPORT_FIGURES

MAX_REPORT_BYTES = 256
_KNOWN_FIGURES = {*REPORT_FIGURES, *REPORT_FIGURES.values()}
_FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")  # excludes `nan`, `inf` and negative numbers


def read_report(text: bytes) -> dict[str, float]:
    """Parses a load report and returns its figures under the names of the decision engine.

    Invalid items are left out, and so are usage figures, which may precede the report in an error
    line.
    """
    report = {}
    for item in text.decode("ascii", "replace").split(",") if len(text) <= MAX_REPORT_BYTES else ():
        name, _, value = item.partition("=")
        if name in _KNOWN_FIGURES and _FIGURE.fullmatch(value):
            report[REPORT_FIGURES.get(name, name)] = float(value)
    return report


def read_cost(text: bytes, max_units: float) -> float:
    """Returns the true units of a request from usage figures such as `used=37,cost=4`.

    0 if they hold no cost.

    Raises:
        WireError: The figures are invalid. They must not be accepted, since the difference to the
            estimated units is charged to a quota or refunded to it.
    """
    if len(text) > MAX_REPORT_BYTES:
        raise WireError(f"usage figures have {len(text)} bytes, the limit is {MAX_REPORT_BYTES}")
    items = (
        [item.partition("=") for item in text.decode("ascii", "replace").split(",")] if text else []
    )
    costs = [value for name, _, value in items if name == "cost"]
    if not costs:
        return 0.0
    if len(costs) > 1 or not _FIGURE.fullmatch(costs[0]) or not 0 < float(costs[0]) <= max_units:
        raise WireError(
            f"usage figures need one cost above 0 and up to {max_units}, got {text[:60]!r}"
        )
    return float(costs[0])
