"""A rate limiter that enforces per-plan quotas across a fleet of limiters.

The decision engine can be used on its own: `DecisionEngine` and its `Settings`.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hazelhollow.decisions.engine import DecisionEngine
    from hazelhollow.decisions.interface import Settings

__all__ = ["DecisionEngine", "Settings"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Imports the public names on first use.

    Importing any module of this package runs this file first, and at the start of a process signals
    must be held (`early_signals`) before any import that takes time.
    """
    if name == "DecisionEngine":
        from hazelhollow.decisions.engine import DecisionEngine

        return DecisionEngine
    if name == "Settings":
        from hazelhollow.decisions.interface import Settings

        return Settings
    raise AttributeError(name)
