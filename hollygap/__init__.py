"""hollygap: the decisions of an admission gateway for a service sold by plan."""

from hollygap.decide import Gateway
from hollygap.interface import Settings

__all__ = ["Gateway", "Settings"]
