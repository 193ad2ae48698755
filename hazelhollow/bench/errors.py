"""Errors of the seeded runs."""


class BenchError(Exception):
    """Base class of the errors raised here."""


class InvariantError(BenchError):
    """The product under test broke an invariant that the run checks."""


class LimiterStartError(BenchError):
    """A limiter process did not answer in time."""
