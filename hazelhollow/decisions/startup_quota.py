"""What a limiter that has just started lets a customer use.

It doesn't know what others, or an earlier incarnation of it, charged before. So it begins
cautiously, and adds the rest once it knows better:

- Nothing known: the burst's even part of the set, and what has come in since the start.
- All limiters started together (`MAX_START_DIFFERENCE_S`): the whole burst; where membership is
  kept, half of the rest, since they may have been killed together.
- A peer has sent everything that it knows (the catch-up): the level that it sent; of a customer
  that it did not name, the whole burst.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.settings import Plan
from hazelhollow.decisions.state.accounts import MAX_DIRECT_SET, Account

MAX_START_DIFFERENCE_S = 1.0  # between the starts of limiters that started together
MEETING_TIME_S = 3.0  # after its start, in which a limiter must hear from all that did
# Of what is left of the burst. With membership kept, limiters that started together may all have
# been there before, and been killed together.
SHARE_IF_MEMBERSHIP_IS_KEPT = 0.5


class StartupQuota:
    """How much is known of what was charged before this limiter started.

    Attributes:
        all_started_together: All limiters have been heard from, and started when this one did.
        complete_since: The instant since which all charges are known here; infinite at first,
            minus infinite once the catch-up is complete.
        incarnations: Those of the peers heard from while meeting.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.all_started_together, self.complete_since = False, math.inf
        self.incarnations: dict[int, str] = {}
        self._share_if_together = 1.0

    def record_membership_protocol(self) -> None:
        """There is a membership protocol, by which an earlier incarnation may have been known."""
        self._share_if_together = SHARE_IF_MEMBERSHIP_IS_KEPT

    def initial_level(self, plan: Plan, set_size: int) -> float:
        """Units that a new account begins with; `set_size` 0 is not known."""
        context = self._context
        # In a large set, whose hubs announce when it is spent, one request at least, or customers
        # that ask seldom would be rejected.
        large = set_size > MAX_DIRECT_SET
        least = context.settings.max_units if large and not context.counts_replicated else 0.0
        part = max(plan.burst / max(set_size, 1), least)
        if self.all_started_together:
            part += max(plan.burst - part, 0.0) * self._share_if_together
        since = min(context.started_at, self.complete_since)
        return min(plan.burst, part + plan.rate * (context.now - since))

    def record_peer_incarnation(
        self, peer: int, incarnation: str, accounts: Iterable[Account]
    ) -> None:
        """Takes note of a peer's incarnation.

        Once all peers have been heard from and started together, nothing was charged before:
        accounts get the rest of the burst and of the ceiling.
        """
        context = self._context
        if self.all_started_together or context.now - context.started_at > MEETING_TIME_S:
            return
        self.incarnations[peer] = incarnation
        differences = [
            codec.seconds_between(context.incarnation, other)
            for other in self.incarnations.values()
        ]
        if (
            len(differences) < context.settings.limiter_count - 1
            or max(differences) > MAX_START_DIFFERENCE_S
        ):
            return
        self.all_started_together = True
        # Once the catch-up is complete, the level is known already.
        share = self._share_if_together if self.complete_since == math.inf else 0.0
        for account in accounts:
            account.quota.level += (
                account.plan.burst * (1.0 - 1.0 / max(account.set_size, 1)) * share
            )
            account.ceiling.level += account.ceiling.capacity or account.plan.ceiling_burst

    def complete_catch_up(self, accounts: Iterable[Account]) -> None:
        """A peer has sent everything: nobody used what this limiter's caution left to others."""
        if self.complete_since != math.inf:
            return
        self.complete_since = -math.inf
        for account in accounts:
            if not account.caught_up:
                account.quota.level += account.plan.burst * (1.0 - 1.0 / max(account.set_size, 1))
