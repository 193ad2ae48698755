"""The control budget of one limiter, as its subsystems are given it.

A part for each role, and the gossip's debit.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from hazelhollow.control_budget.budget import (
    HEADER_BYTES,
    ControlBudget,
    Role,
    RoleBudget,
    settings_for,
)
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip.codec import DIALECT, PREVIOUS_DIALECT
from hazelhollow.net.peers import Peers


def with_gossip_rate(settings: api.Settings, bytes_per_s: float) -> api.Settings:
    """Settings whose gossip keeps to the QUOTA role's part of so many bytes a second of control
    traffic.
    """
    quota = settings_for(bytes_per_s).roles[Role.QUOTA]
    return replace(settings, gossip_bytes_per_s=quota.rate)


class LimiterBudget:
    """`bytes_per_s`: of all control traffic, headers included.

    `seal_bytes`: that a keyed hash adds to a datagram. Raises ValueError for too few bytes a
    second.
    """

    def __init__(
        self, bytes_per_s: float, peers: Peers, clock: Callable[[], float], seal_bytes: int = 0
    ) -> None:
        self.budget = ControlBudget(settings_for(bytes_per_s), clock())
        self._clock, self._overhead = clock, HEADER_BYTES + seal_bytes
        peers.meter = self._debit_gossip

    def part(self, role: Role) -> RoleBudget:
        """What that role asks before it sends."""
        return RoleBudget(self.budget, role, self._overhead)

    def _debit_gossip(self, text: str) -> None:
        """The decision module paces its gossip by itself and does not ask."""
        if text[0] in (DIALECT, PREVIOUS_DIALECT):
            self.budget.debit(Role.QUOTA, len(text) + HEADER_BYTES, self._clock())
