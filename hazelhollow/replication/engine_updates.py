"""Forwards what is new in the replica to the decision engine. No I/O, no timers.

Before catch-up is complete, accounts are forwarded as they arrive, and counters wait. When it is
complete, an event without a customer reports this to the engine: from then on a customer without an
account has its full burst. Counters that arrived before their account had no effect in the engine,
so all counters are forwarded at that moment, and later ones as they arrive.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from hazelhollow.decisions import interface as api
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.count_table import CountRow
from hazelhollow.replication.replica import Replica
from hazelhollow.replication.restore import RestorePoint

log = logging.getLogger(__name__)


class EngineUpdates:
    """Calls the engine's handler `on_account` with events.

    `restore_point` is used if catch-up completes without a source.
    """

    def __init__(
        self,
        replica: Replica,
        accounts: EngineAccounts,
        restore_point: RestorePoint,
        on_account: Callable[[api.AccountReplicated], None],
    ) -> None:
        self._replica, self._accounts, self._restore_point = replica, accounts, restore_point
        self._on_account = on_account
        self._was_complete = False

    def forward_new(self, now: float) -> None:
        """Forwards what is new since the last call."""
        catch_up, anti_entropy = self._replica.catch_up, self._replica.anti_entropy
        received, catch_up.new_accounts = catch_up.new_accounts, []
        for account in received:
            self._forward(self._accounts.event_for_account(account))
        if not catch_up.is_complete:
            return
        if not self._was_complete:
            self._was_complete = True
            self._finish_catch_up(now)
            anti_entropy.new_rows = self._others_rows()
        rows, anti_entropy.new_rows = anti_entropy.new_rows, []
        for row in rows:
            self._forward(self._accounts.event_for_row(row))

    def _forward(self, event: api.AccountReplicated | None) -> None:
        if event is None:
            self._replica.counters["plans unknown"] += 1
        else:
            self._on_account(event)

    def _finish_catch_up(self, now: float) -> None:
        source, snapshot = self._replica.catch_up.completed_by, self._restore_point.snapshot
        if source is not None:
            count = len(self._accounts)
            log.info("replica: whole, told by member %d of %d customers", source, count)
            self._on_account(api.AccountReplicated(""))
        elif snapshot:
            for event in self._restore_point.restored_accounts(self._accounts, now):
                self._on_account(event)
            log.info(
                "replica: nobody to be told by; %d customers of a snapshot %.1f s old",
                len(snapshot.accounts),
                now - snapshot.taken_at,
            )
            self._on_account(api.AccountReplicated(""))
            self._replica.catch_up.is_restored = True

    def _others_rows(self) -> list[CountRow]:
        own = (self._replica.local.number, self._replica.local.incarnation)
        return [
            row
            for name in self._accounts.account_names()
            for row in self._replica.anti_entropy.counts.rows(name)
            if (row.member, row.incarnation) != own
        ]
