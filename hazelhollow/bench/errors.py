"""Errors of the bench."""

from __future__ import annotations


class BenchError(Exception):
    """Base class of the bench's errors."""


class InvariantError(BenchError):
    """The product under test violated an invariant that the bench checks."""


class LimiterStartError(BenchError):
    """A limiter process did not answer within its start timeout."""
