"""How a member joins, and joins again after it stood still.

Until a peer has answered it admits nothing: the others may consider it dead, or another process may
have its id, and what a peer says of that arrives with its answer. With nobody there it goes on
alone.
"""

from __future__ import annotations

import random

from hazelhollow.membership.settings import MembershipSettings

FANOUT = 3  # members that are pinged at each tick while it waits
ALONE_AFTER_S = 1.5  # without an answer, until it goes on alone


class JoinProtocol:
    """`may_admit`: whether this member may admit work. `now`: of the start, in seconds."""

    def __init__(self, settings: MembershipSettings, chance: random.Random, now: float) -> None:
        self._limiter_id, self._member_count = settings.limiter_id, settings.member_count
        self._random, self._waiting_since = chance, now
        self.may_admit = False

    def begin(self, now: float) -> None:
        """It must hear a peer before it admits work again."""
        self.may_admit, self._waiting_since = False, now

    def is_alone(self, now: float) -> bool:
        """Whether no peer has answered for so long that it goes on without one."""
        return now - self._waiting_since > ALONE_AFTER_S

    def peers_to_ask(self) -> list[int]:
        """Members to ping now, drawn from all, present or not."""
        others = [n for n in range(self._member_count) if n != self._limiter_id]
        return self._random.sample(others, min(len(others), FANOUT))

    def complete(self) -> bool:
        """A peer has answered, or it is alone. Whether it was waiting."""
        waited, self.may_admit = not self.may_admit, True
        return waited
