"""The control budget of one limiter, as its subsystems are given it.

Each subsystem asks its role's part before it sends. The decision engine does not ask: it paces its
gossip by a rate in its settings, and what it sends is debited as it leaves.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from hazelhollow.control_budget.budget import (
    HEADER_BYTES,
    ControlBudget,
    RoleBudget,
    TrafficRole,
    settings_for,
)
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip.codec import DIALECT, PREVIOUS_DIALECT
from hazelhollow.net.peer_socket import PeerSocket


def with_gossip_rate(settings: api.Settings, bytes_per_s: float) -> api.Settings:
    """The settings with gossip kept to its guaranteed rate.

    `bytes_per_s`: of all control traffic. Raises ValueError for too few.
    """
    quota = settings_for(bytes_per_s).roles[TrafficRole.QUOTA]
    return replace(settings, gossip_bytes_per_s=quota.rate)


class LimiterBudget:
    """`bytes_per_s`: of all control traffic, headers included.

    `signature_bytes`: that a keyed hash adds to a datagram. Raises ValueError for too few bytes a
    second.
    """

    def __init__(
        self,
        bytes_per_s: float,
        peers: PeerSocket,
        clock: Callable[[], float],
        signature_bytes: int = 0,
    ) -> None:
        self.budget = ControlBudget(settings_for(bytes_per_s), clock())
        self._clock, self._overhead_bytes = clock, HEADER_BYTES + signature_bytes
        peers.on_sent = self._debit_gossip

    def for_role(self, role: TrafficRole) -> RoleBudget:
        """What that role's subsystem asks before it sends."""
        return RoleBudget(self.budget, role, self._overhead_bytes)

    def _debit_gossip(self, text: str) -> None:
        """A datagram has left. Gossip is known by its first letter."""
        if text[0] in (DIALECT, PREVIOUS_DIALECT):
            self.budget.debit(TrafficRole.QUOTA, len(text) + HEADER_BYTES, self._clock())
