"""How a member joins the fleet, and how it rejoins after a stall.

Until a peer has answered, it admits no work: the others may consider it dead, or another process
may use its id, and a peer reports either with its answer. If no peer is up, it continues alone.
"""

from __future__ import annotations

import random

from hazelhollow.membership.settings import MembershipSettings

FANOUT = 3  # members pinged at each tick while waiting
ALONE_AFTER_S = 1.5  # without an answer until it continues alone


class JoinProtocol:
    """The joining of one member.

    `may_admit` says whether it may admit work. `now` is the time of the start in seconds.
    """

    def __init__(self, settings: MembershipSettings, rng: random.Random, now: float) -> None:
        self._limiter_id, self._member_count = settings.limiter_id, settings.member_count
        self._random, self._waiting_since = rng, now
        self.may_admit = False

    def begin(self, now: float) -> None:
        """Starts waiting for a peer; until one answers, no work is admitted."""
        self.may_admit, self._waiting_since = False, now

    def is_alone(self, now: float) -> bool:
        """Whether no peer has answered in time, so that this member continues alone."""
        return now - self._waiting_since > ALONE_AFTER_S

    def peers_to_ask(self) -> list[int]:
        """Members to ping now, drawn at random from all members, present or not."""
        others = [n for n in range(self._member_count) if n != self._limiter_id]
        return self._random.sample(others, min(len(others), FANOUT))

    def complete(self) -> bool:
        """Ends the wait, after a peer's answer or alone; returns whether it was still waiting."""
        was_waiting, self.may_admit = not self.may_admit, True
        return was_waiting
