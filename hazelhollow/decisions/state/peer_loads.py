"""The work that peers have in flight at endpoints, as they reported it."""

from __future__ import annotations

from hazelhollow.decisions.context import PERIOD_S, DecisionContext

LOAD_REPORT_LIFETIME_S = 2.0 * PERIOD_S  # age at which a peer's loads are ignored


class PeerLoads:
    """Seconds of work in flight at endpoints, by peer. Loads are shared in small fleets only.

    Attributes:
        by_peer: The time of each peer's last report, and its work by endpoint tag.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.by_peer: dict[int, tuple[float, dict[str, float]]] = {}
        self._total = dict[str, float]()
        self._total_at = -1.0  # the time for which the total was computed

    def record(self, peer: int, work_by_tag: dict[str, float]) -> None:
        """Replaces a peer's loads."""
        if self._context.small_fleet:
            self.by_peer[peer] = self._context.now, work_by_tag
        self._total_at = -1.0

    def total(self) -> dict[str, float]:
        """Returns the work of all peers with a recent report, by endpoint tag.

        Callers must not modify the result.
        """
        now = self._context.now
        if self._total_at != now:
            self._total_at, self._total = now, dict[str, float]()
            for at, work_by_tag in self.by_peer.values():
                if at > now - LOAD_REPORT_LIFETIME_S:
                    for tag, work in work_by_tag.items():
                        self._total[tag] = self._total.get(tag, 0.0) + work
        return self._total
