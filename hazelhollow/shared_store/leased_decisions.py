"""A decorator of the decision engine that adds leases; on the path of every request. No I/O.

It passes to the engine what a customer's leases allow, and to the ledger what the engine admitted.
"""

from __future__ import annotations

from collections.abc import Callable

from hazelhollow.decisions import interface as api
from hazelhollow.net.engine_driver import Decisions
from hazelhollow.shared_store.lease_ledger import LeaseLedger


class LeasedDecisions:
    """Combines the engine `inner` with the leases of `ledger`.

    `on_calls` is called when the ledger has calls for the store.
    """

    def __init__(self, inner: Decisions, ledger: LeaseLedger, on_calls: Callable[[], None]) -> None:
        self._inner, self._ledger, self._on_calls = inner, ledger, on_calls

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Passes an event to the inner engine and returns its actions.

        For a request of a customer whose limits are leased, the engine first gets an
        `AllowanceGranted` with the units that are available.
        """
        if not isinstance(event, api.RequestArrived):
            return self._inner.handle(event, now)
        account = self._ledger.account_for(event, now)
        if account is None:
            return self._inner.handle(event, now)
        quota = account.quota.available() if account.quota else None
        ceiling = account.ceiling.available() if account.ceiling else None
        self._inner.handle(
            api.AllowanceGranted(
                event.customer, event.plan_name, event.set_start, event.set_size, quota, ceiling
            ),
            now,
        )
        actions = self._inner.handle(event, now)
        sent = any(
            [isinstance(action, api.StartAttempt) and action.id == event.id for action in actions]
        )
        self._ledger.record(account, event.units, sent, now)
        if self._ledger.outbox:
            self._on_calls()
        return actions
