"""The control budget of one limiter, as provided to its subsystems.

Each subsystem requests budget from its role's part before it sends. The decision engine does not:
it paces its gossip by a rate in its settings, and each datagram is debited when it is sent.
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
    """Returns the settings with gossip limited to its guaranteed rate.

    `bytes_per_s` is the rate of all control traffic. Raises ValueError if it is too low.
    """
    quota = settings_for(bytes_per_s).roles[TrafficRole.QUOTA]
    return replace(settings, gossip_bytes_per_s=quota.rate)


class LimiterBudget:
    """The budget of a limiter whose control traffic is limited to `bytes_per_s` including headers.

    `signature_bytes` is what a keyed hash adds to a datagram. Raises ValueError if `bytes_per_s` is
    too low.
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
        """The part of the budget from which that role's subsystem requests bytes."""
        return RoleBudget(self.budget, role, self._overhead_bytes)

    def _debit_gossip(self, text: str) -> None:
        """Debits a sent datagram if its first letter marks it as gossip."""
        if text[0] in (DIALECT, PREVIOUS_DIALECT):
            self.budget.debit(TrafficRole.QUOTA, len(text) + HEADER_BYTES, self._clock())
