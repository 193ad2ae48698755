"""When a member is suspected and when it is dead: every time and count that decides it.

| becomes | when | rule in |
| --- | --- | --- |
| suspect | a probe and its indirect pings had no ack in `PROBE_TIMEOUT_S` | `failure_detector.py` |
| suspect | another member reports it suspect | `reception.py` |
| dead | suspect for `SUSPICION_TIMEOUT_S`, pinged meanwhile, not refuted | `suspicion.py` |
| dead | reported, well here, `CONFIRMATION_ATTEMPTS` pings not acked | `death_confirmation.py` |
| dead | reported, suspect or unknown here: at once | `reception.py` |
| dead | never heard of, `NEVER_SEEN_TIMEOUT_S` after this member's start | `period.py` |

Each member pings one other every `PROBE_INTERVAL_S`, all in turn in an order drawn by chance, and
after `INDIRECT_PROBE_AFTER_S` without an ack asks `INDIRECT_PROBE_HELPERS` others to ping it too
(`failure_detector.py`). After `MASS_FAILURE_SAMPLE` suspects in a row that did not answer the
others die without a ping of their own. A datagram of a suspect that does not refute restarts its
time. A member that may not admit suspects nobody by its own probes. Ends of times are looked at
once a protocol period, so each comes up to `PROBE_INTERVAL_S` later.

A member that is itself slow waits longer. `LocalHealth` multiplies its probe's and its suspicion's
times by 1 to 1 + `MAX_HEALTH_SCORE` * `HEALTH_STEP`; each tick that is `LATE_TICK_S` late adds a
step. After a tick that is `STALL_S` late all of its times begin again (`stall.py`).
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
LATE_TICK_S = 0.1  # by which a late tick shows a slow machine
STALL_S = 1.0  # by which a tick must be late for the process to have stood still


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
