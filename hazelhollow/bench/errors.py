"""Errors of the seeded runs."""

from __future__ import annotations


class BenchError(Exception):
    """Base class of the errors raised here."""


class InvariantError(BenchError):
    """The product under test broke an invariant that the run checks."""


class LimiterStartError(BenchError):
    """A limiter process did not answer in time."""
