"""Errors of scale runs.

The caller's input is wrong (`PlanError`, `ResultsError`, `PageError`), or a measurement could not
be made on this machine (`RunError`, `MeasurementError`). The text of each is shown to the operator.
"""

from __future__ import annotations


class PlanError(ValueError):
    """A plan cannot be played; the text names the file, the place in it, and the reason."""


class ResultsError(ValueError):
    """A file holds no results of this format; the text names the file and the reason."""


class PageError(ValueError):
    """A page's markers do not fit the tables; the text names the marker."""


class RunError(Exception):
    """A point of a scale run could not be played; the text says why."""


class ClockTooFastError(Exception):
    """Workers asked for a slower clock; the coordinator tries the point again."""


class MeasurementError(Exception):
    """A measurement with real processes gave no figure; the text says why."""


class BusyMachineError(MeasurementError):
    """The figures would be those of a busy machine; another attempt may find it idle."""


class LateClientError(BusyMachineError):
    """The load generator itself was late, so that the figures would be its own."""
