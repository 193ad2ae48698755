"""The conditions under which a member becomes suspect or dead, with all their times and counts.

| becomes | when | rule in |
| --- | --- | --- |
| suspect | a probe and its indirect pings had no ack in `PROBE_TIMEOUT_S` | `failure_detector.py` |
| suspect | another member reports it suspect | `reception.py` |
| dead | suspect for `SUSPICION_TIMEOUT_S`, pinged meanwhile, not refuted | `suspicion.py` |
| dead | reported, alive here, `CONFIRMATION_ATTEMPTS` pings not acked | `death_confirmation.py` |
| dead | reported, suspect or unknown here: immediately | `reception.py` |
| dead | never seen, `NEVER_SEEN_TIMEOUT_S` after this member's start | `period.py` |

Each member pings one other member every `PROBE_INTERVAL_S`, all of them in turn in a random order.
After `INDIRECT_PROBE_AFTER_S` without an ack it asks `INDIRECT_PROBE_HELPERS` others to ping the
target too (`failure_detector.py`). Once `MASS_FAILURE_SAMPLE` suspects in a row have not
answered, the remaining suspects are considered dead without a ping of their own. A datagram from a
suspect that does not refute restarts its timeout. While a member may not admit work, its own
probes start no suspicions. Timeouts are checked once per protocol period, so each takes effect up
to `PROBE_INTERVAL_S` late.

A member that is itself slow waits longer. `LocalHealth` multiplies its probe and suspicion timeouts
by 1 to 1 + `MAX_HEALTH_SCORE` * `HEALTH_STEP`; each tick that is `LATE_TICK_S` late adds a step.
After a tick that is `STALL_S` late, all of its timeouts restart (`stall.py`).
"""

from __future__ import annotations

PROBE_INTERVAL_S = 0.25  # one protocol period; one member is pinged in each
INDIRECT_PROBE_AFTER_S = 0.15  # from the ping until others are asked to ping too
INDIRECT_PROBE_HELPERS = 3  # members asked to ping the target
PROBE_TIMEOUT_S = 0.45  # from the ping until the probe fails and its target is suspected
SUSPICION_TIMEOUT_S = 1.6  # from suspicion to death
CONFIRMATION_ATTEMPTS = 2  # unanswered pings before a death that others report is accepted
MASS_FAILURE_SAMPLE = 8  # silent members in a row from which a failed zone is inferred
NEVER_SEEN_TIMEOUT_S = 3.0  # from this member's start until a never-seen one is considered dead
MAX_HEALTH_SCORE = 4  # maximum steps by which a slow member lengthens its timeouts
HEALTH_STEP = 0.5  # fraction of the base timeout added per step
LATE_TICK_S = 0.1  # delay of a tick that indicates a slow machine
STALL_S = 1.0  # delay of a tick that indicates that the process was paused


class LocalHealth:
    """Local health as in Lifeguard: how much this member distrusts its own timing.

    The score rises with each late tick of its own and falls with each direct answer to a probe.
    """

    def __init__(self) -> None:
        self.score = 0  # 0 (healthy) to MAX_HEALTH_SCORE

    def worsen(self) -> None:
        """Raises the score after one of this member's own ticks was late."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1)

    def improve(self) -> None:
        """Lowers the score after a probe was answered directly and in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> float:
        """The factor by which this member's timeouts exceed the base values; 1 or more."""
        return 1.0 + HEALTH_STEP * self.score

    @property
    def indirect_probe_after_s(self) -> float:
        """Seconds from a ping until others are asked to ping the target too."""
        return INDIRECT_PROBE_AFTER_S * self.multiplier

    @property
    def probe_timeout_s(self) -> float:
        """Seconds from a ping until the probe fails."""
        return PROBE_TIMEOUT_S * self.multiplier

    @property
    def suspicion_timeout_s(self) -> float:
        """Seconds from a suspicion until its member is considered dead."""
        return SUSPICION_TIMEOUT_S * self.multiplier
