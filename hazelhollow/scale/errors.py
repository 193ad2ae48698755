"""Errors of scale runs.

`PlanError`, `ResultsError` and `PageError` report invalid input; `RunError` and `MeasurementError`
report a measurement that could not be made on this machine. The operator sees the text of each.
"""

from __future__ import annotations


class PlanError(ValueError):
    """A plan cannot be played; the text names the file, the location in it, and the reason."""


class ResultsError(ValueError):
    """A file holds no results of this format; the text names the file and the reason."""


class PageError(ValueError):
    """A page's markers do not match the tables; the text names the marker."""


class RunError(Exception):
    """A point of a scale run could not be played; the text says why."""


class ClockTooFastError(Exception):
    """Workers asked for a slower clock; the coordinator tries the point again."""


class MeasurementError(Exception):
    """A measurement with real processes gave no figure; the text says why."""


class BusyMachineError(MeasurementError):
    """The machine was too busy for valid figures; another attempt may find it idle."""


class LateClientError(BusyMachineError):
    """The load generator was late, so that the figures would measure its own delay."""
