"""Composes gossip datagrams from a header, updates, and observations where there is room.

In a small fleet the observations are the work in flight at endpoints. In a large fleet they are
failures of endpoints, of which each limiter alone sees too few, and levels that hubs announced
recently, for members that no hub has notified yet.
"""

from __future__ import annotations

from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.gossip.outbox import PendingUpdate
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.outlier_detection import OutlierDetection
from hazelhollow.decisions.state.accounts import key_of
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.endpoint_table import EndpointTable
from hazelhollow.decisions.state.pending_requests import PendingRequests

MAX_UPDATES_EXAMINED = 500  # waiting updates examined for one datagram; most may be too old to send
RELAY_AGE_S = 0.5  # time for which an announced level is relayed
MAX_RELAYED = 5  # announced levels in one datagram
MAX_FAILURES = 2  # failures in one datagram
FAILURE_AGE_S = 2.0 * PERIOD_S  # oldest failure that is reported
MAX_LOADS = 64  # endpoints whose load is in one datagram


class GossipComposer:
    """Writes datagrams with the state of this limiter.

    Attributes:
        relayed: Announced levels to relay, by account name: the time of arrival and the item. The
            most recent is last.
    """

    def __init__(
        self,
        context: DecisionContext,
        load: LoadEstimate,
        accounts: CustomerAccounts,
        pending: PendingRequests,
        endpoints: tuple[EndpointTable, OutlierDetection],
    ) -> None:
        self._context, self._load, self._accounts = context, load, accounts
        self._pending, (self._table, self._outliers) = pending, endpoints
        self.relayed: dict[str, tuple[float, str]] = {}
        # The time, header and observations of the last datagram.
        self._latest: tuple[float, str, list[str]] = (-1.0, "", [])

    def header(self) -> str:
        """Returns the header of a datagram."""
        return self._header_and_observations()[0]

    def observations(self, peer: int) -> list[str]:
        """Returns the items that accompany updates to a peer."""
        return self._header_and_observations()[1] + self._relayed_to(peer)

    def charge_report(self, name: str, period: int) -> str:
        """Returns the item for an account's charges in a period.

        It is "" if the account is gone or the period is too old for peers to accept.
        """
        context = self._context
        account = self._accounts.by_name.get(name) if period >= context.period - 1 else None
        if not account:
            return ""
        report = codec.ChargeReport(
            key_of(name),
            codec.name_tag(account.plan.name),
            account.set_start,
            account.set_size,
            context.period - period,
            account.charges.own.get(period, 0.0),
            account.open_requests if account.plan.open_limit else 0,
        )
        return codec.encode(report)

    def fill_datagram(self, datagram: str, waiting: dict[PendingUpdate, str]) -> str:
        """Appends waiting updates, in their order, until one does not fit.

        Removes the updates from `waiting` and returns the datagram.
        """
        processed = list[PendingUpdate]()
        for update, text in waiting.items():
            if not text and update[1] >= self._context.period - 1:  # older ones are dropped
                text = self.charge_report(*update)
            too_long = len(datagram) + len(text) > codec.MAX_DATAGRAM_BYTES
            if too_long or len(processed) >= MAX_UPDATES_EXAMINED:
                break
            datagram += text
            processed.append(update)
        for update in processed:
            del waiting[update]
        return datagram

    def relay(self, name: str, report: codec.SpentReport) -> None:
        """Adds an announced level to later datagrams."""
        self.relayed.pop(name, None)
        self.relayed[name] = self._context.now, codec.encode(report)

    def _header_and_observations(self) -> tuple[str, list[str]]:
        """Returns the header and the observations, which all datagrams of one event share."""
        context, load = self._context, self._load
        if self._latest[0] != context.now:
            objectives = load.queue_wait / load.tightest_objective
            header = codec.encode_header(context.period, objectives, context.incarnation)
            self._latest = context.now, header, self._own_observations()
        return self._latest[1], self._latest[2]

    def _own_observations(self) -> list[str]:
        """Returns the loads of endpoints, the busiest first, or their most recent failures."""
        if self._context.small_fleet:
            work_by_tag = self._pending.work_in_flight(self._table.endpoints)
            loads = sorted([(work, tag) for tag, work in work_by_tag.items()], reverse=True)
            return [codec.encode(codec.LoadReport(tag, work)) for work, tag in loads[:MAX_LOADS]]
        failures = self._outliers.latest_failures(MAX_FAILURES, FAILURE_AGE_S)
        return [codec.encode(codec.FailureReport(*failure)) for failure in failures]

    def _relayed_to(self, peer: int) -> list[str]:
        """Returns a random choice of recently announced levels whose set includes the peer."""
        context = self._context
        while self.relayed and context.now - next(iter(self.relayed.values()))[0] >= RELAY_AGE_S:
            del self.relayed[next(iter(self.relayed))]
        texts, limiter_count = list[str](), context.settings.limiter_count
        for name, (_, text) in self.relayed.items():
            account = self._accounts.by_name.get(name)
            if account is not None and account.includes(peer, limiter_count):
                texts.append(text)
        return context.random.sample(texts, min(len(texts), MAX_RELAYED))
