"""A rate limiter that holds quotas by plan across a fleet of limiters.

The decision engine can be used by itself: `DecisionEngine` and its `Settings`.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hazelhollow.decisions.engine import DecisionEngine
    from hazelhollow.decisions.interface import Settings

__all__ = ["DecisionEngine", "Settings"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Imports the public names when they are used.

    The start of a process holds its signals (`early_signals`) before any import that takes time,
    and every import of a module of this package runs this file first.
    """
    if name == "DecisionEngine":
        from hazelhollow.decisions.engine import DecisionEngine

        return DecisionEngine
    if name == "Settings":
        from hazelhollow.decisions.interface import Settings

        return Settings
    raise AttributeError(name)
