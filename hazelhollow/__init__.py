"""hazelhollow: the decisions of an admission gateway for a service sold by plan."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hazelhollow.decisions.engine import DecisionEngine
    from hazelhollow.decisions.interface import Settings

__all__ = ["DecisionEngine", "Settings"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Found when asked for.

    A start sets its signals (hazelhollow/signals.py) before anything that takes time.
    """
    if name == "DecisionEngine":
        from hazelhollow.decisions.engine import DecisionEngine

        return DecisionEngine
    if name == "Settings":
        from hazelhollow.decisions.interface import Settings

        return Settings
    raise AttributeError(name)
