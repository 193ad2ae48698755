"""hazelhollow: the decisions of an admission gateway for a service sold by plan."""

from hazelhollow.decide import Gateway
from hazelhollow.interface import Settings

__all__ = ["Gateway", "Settings"]
__version__ = "0.1.0"
