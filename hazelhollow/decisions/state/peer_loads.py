"""What peers have in flight at endpoints, as they said."""

from __future__ import annotations

from hazelhollow.decisions.context import PERIOD_S, DecisionContext

LOAD_REPORT_LIFETIME_S = 2.0 * PERIOD_S  # after which a peer's loads count no more


class PeerLoads:
    """Seconds of work in flight at endpoints, by peer. Only small fleets tell each other.

    Attributes:
        by_peer: When a peer said so, and its work by endpoint's tag.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.by_peer: dict[int, tuple[float, dict[str, float]]] = {}
        self._total = dict[str, float]()
        self._total_at = -1.0  # the instant that the total is of

    def record(self, peer: int, work_by_tag: dict[str, float]) -> None:
        """A peer's loads, in place of those that it said before."""
        if self._context.small_fleet:
            self.by_peer[peer] = self._context.now, work_by_tag
        self._total_at = -1.0

    def total(self) -> dict[str, float]:
        """The work of all peers heard of lately, by endpoint's tag. Not to be changed."""
        now = self._context.now
        if self._total_at != now:
            self._total_at, self._total = now, dict[str, float]()
            for at, work_by_tag in self.by_peer.values():
                if at > now - LOAD_REPORT_LIFETIME_S:
                    for tag, work in work_by_tag.items():
                        self._total[tag] = self._total.get(tag, 0.0) + work
        return self._total
