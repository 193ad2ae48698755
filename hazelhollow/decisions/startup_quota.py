"""Initial quota levels of a limiter that has just started.

The limiter doesn't know what other limiters, or an earlier incarnation of itself, charged before.
It begins with a cautious level, and adds the rest once it knows more:

- Without any information: an even share of the burst for each limiter of the set, plus the refill
  since the start.
- If all limiters started together (`MAX_START_DIFFERENCE_S`): the full burst; with a membership
  protocol, half of the rest is added, since all may have been killed together.
- When a peer has sent its complete state (the catch-up): the level that it sent, or the full burst
  for a customer that it did not name.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.settings import Plan
from hazelhollow.decisions.state.accounts import MAX_DIRECT_SET, Account

MAX_START_DIFFERENCE_S = 1.0  # between limiters that count as started together
PEER_DISCOVERY_TIME_S = 3.0  # time after the start within which all peers must have sent gossip
# Of the rest of the burst, with a membership protocol: limiters that started together may all have
# run before and been killed together.
SHARE_WITH_MEMBERSHIP = 0.5


class StartupQuota:
    """What is known of the charges made before this limiter started.

    Attributes:
        all_started_together: Whether all limiters have sent gossip and started when this one did.
        complete_since: The time since which all charges are known; infinity at first, minus
            infinity once the catch-up is complete.
        incarnations: The peers' incarnations received during `PEER_DISCOVERY_TIME_S`.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.all_started_together, self.complete_since = False, math.inf
        self.incarnations: dict[int, str] = {}
        self._share_if_together = 1.0

    def record_membership_protocol(self) -> None:
        """Records that there is a membership protocol, so that all may have run before."""
        self._share_if_together = SHARE_WITH_MEMBERSHIP

    def initial_level(self, plan: Plan, set_size: int) -> float:
        """Returns the initial units of a new account; a `set_size` of 0 means unknown."""
        context = self._context
        # In a large set, whose hubs announce when the quota is used up, the level must allow at
        # least one request; otherwise customers with few requests would be rejected.
        large = set_size > MAX_DIRECT_SET
        min_level = context.settings.max_units if large and not context.counts_replicated else 0.0
        initial_units = max(plan.burst / max(set_size, 1), min_level)
        if self.all_started_together:
            initial_units += max(plan.burst - initial_units, 0.0) * self._share_if_together
        since = min(context.started_at, self.complete_since)
        return min(plan.burst, initial_units + plan.rate * (context.now - since))

    def record_peer_incarnation(
        self, peer: int, incarnation: str, accounts: Iterable[Account]
    ) -> None:
        """Records a peer's incarnation, from which its start time follows.

        Once the incarnations of all peers show that they started together, nothing can have been
        charged before, and accounts get the rest of the burst and of the ceiling.
        """
        context = self._context
        if self.all_started_together or context.now - context.started_at > PEER_DISCOVERY_TIME_S:
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
        # After the catch-up, the level is already known.
        share = self._share_if_together if self.complete_since == math.inf else 0.0
        for account in accounts:
            account.quota.level += (
                account.plan.burst * (1.0 - 1.0 / max(account.set_size, 1)) * share
            )
            account.ceiling.level += account.ceiling.capacity or account.plan.ceiling_burst

    def complete_catch_up(self, accounts: Iterable[Account]) -> None:
        """Adds the rest of the burst to accounts that the completed catch-up did not name.

        That rest was withheld because other limiters might have charged it, and none did.
        """
        if self.complete_since != math.inf:
            return
        self.complete_since = -math.inf
        for account in accounts:
            if not account.caught_up:
                account.quota.level += account.plan.burst * (1.0 - 1.0 / max(account.set_size, 1))
