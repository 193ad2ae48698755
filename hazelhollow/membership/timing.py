"""When a member is suspected and when it is dead: every time and count that decides it.

Suspected, by the member that probed it: neither the ping nor an indirect ping was answered within
`PROBE_TIMEOUT_S`. One member is probed every `PROBE_INTERVAL_S`; `INDIRECT_PROBE_HELPERS` others
are asked to ping it too after `INDIRECT_PROBE_AFTER_S` (`failure_detector.py`).

Dead, at each member that holds it suspect: `SUSPICION_TIMEOUT_S` have passed, it was told of the
suspicion in that time, and it has not refuted it (`suspicion.py`). A death that others report of a
member that is well here counts once `CONFIRMATION_ATTEMPTS` pings to it had no answer in time
(`death_confirmation.py`). After `MASS_FAILURE_SAMPLE` silent members in a row the rest of the
suspects need no ping of their own. A member of which nobody has ever heard is dead
`NEVER_SEEN_TIMEOUT_S` after this one's start.

A member that is itself slow waits longer: `LocalHealth` stretches the times of a probe and of a
suspicion by 1 to 1 + `MAX_HEALTH_SCORE` * `HEALTH_STEP`.
"""

from __future__ import annotations

PROBE_INTERVAL_S = 0.25  # one protocol period: one member is pinged in each
INDIRECT_PROBE_AFTER_S = 0.15  # from the ping, until others are asked to ping too
INDIRECT_PROBE_HELPERS = 3  # members that are asked
PROBE_TIMEOUT_S = 0.45  # from the ping, until the probe has failed and its target is suspected
SUSPICION_TIMEOUT_S = 1.6  # from suspicion to death
CONFIRMATION_ATTEMPTS = 2  # pings to a member whose death others report, before that is believed
MASS_FAILURE_SAMPLE = 8  # members in a row that were asked and said nothing: a whole zone is gone
NEVER_SEEN_TIMEOUT_S = 3.0  # from the own start, until a member nobody heard of counts as dead
MAX_HEALTH_SCORE = 4  # steps by which a slow member's own times are stretched at most
HEALTH_STEP = 0.5  # of the plain time, for each step


class LocalHealth:
    """How far this member must doubt itself before it doubts others (Lifeguard).

    The score rises with each late tick of its own and falls with each direct answer to a probe.
    """

    def __init__(self) -> None:
        self.score = 0  # 0 (well) to MAX_HEALTH_SCORE

    def worsen(self) -> None:
        """An own tick came late."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1)

    def improve(self) -> None:
        """A probe was answered directly and in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> float:
        """By which this member's timeouts are longer than the plain ones; 1 or more."""
        return 1.0 + HEALTH_STEP * self.score

    @property
    def indirect_probe_after_s(self) -> float:
        """Seconds from a ping until others are asked to ping too."""
        return INDIRECT_PROBE_AFTER_S * self.multiplier

    @property
    def probe_timeout_s(self) -> float:
        """Seconds from a ping until the probe has failed."""
        return PROBE_TIMEOUT_S * self.multiplier

    @property
    def suspicion_timeout_s(self) -> float:
        """Seconds from a suspicion until its member is dead."""
        return SUSPICION_TIMEOUT_S * self.multiplier
