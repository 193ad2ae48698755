"""What goes into one gossip datagram: its header, the updates, and what goes along with them.

Along with updates go, as far as there is room: in a small fleet the work in flight at endpoints; in
a large one failures of endpoints, of which each limiter sees too few, and levels that hubs
announced lately, for members that no hub has notified yet.
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

MAX_UPDATES_LOOKED_AT = 500  # of those that wait for a peer, for one datagram: most may be too old
RELAY_AGE_S = 0.5  # for which an announced level is passed on
MAX_RELAYED = 5  # announced levels in one datagram
MAX_FAILURES = 2  # in one datagram
FAILURE_AGE_S = 2.0 * PERIOD_S  # up to which a failure is reported
MAX_LOADS = 64  # endpoints in one datagram


class GossipComposer:
    """Writes datagrams of what this limiter knows.

    Attributes:
        relayed: Announced levels to be passed on, by account's name: when they came, and the text.
            The latest stands last.
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
        # The instant, header and observations of the last datagram.
        self._latest: tuple[float, str, list[str]] = (-1.0, "", [])

    def header(self) -> str:
        """The beginning of a datagram."""
        return self._header_and_observations()[0]

    def observations(self, peer: int) -> list[str]:
        """What goes along with updates to a peer."""
        return self._header_and_observations()[1] + self._relayed_to(peer)

    def charge_report(self, name: str, period: int) -> str:
        """The report of an account's charges in a period; "" once it is too old for peers."""
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
        """The datagram with as many updates, in their order, as it holds; these wait no more."""
        taken = list[PendingUpdate]()
        for update, text in waiting.items():
            if not text and update[1] >= self._context.period - 1:  # else it is too old for peers
                text = self.charge_report(*update)
            too_long = len(datagram) + len(text) > codec.MAX_DATAGRAM_BYTES
            if too_long or len(taken) >= MAX_UPDATES_LOOKED_AT:
                break
            datagram += text
            taken.append(update)
        for update in taken:
            del waiting[update]
        return datagram

    def relay(self, name: str, report: codec.SpentReport) -> None:
        """Passes an announced level on with datagrams to come."""
        self.relayed.pop(name, None)
        self.relayed[name] = self._context.now, codec.encode(report)

    def _header_and_observations(self) -> tuple[str, list[str]]:
        """The same for all datagrams of one instant."""
        context, load = self._context, self._load
        if self._latest[0] != context.now:
            objectives = load.queue_wait / load.tightest_objective
            header = codec.encode_header(context.period, objectives, context.incarnation)
            self._latest = context.now, header, self._own_observations()
        return self._latest[1], self._latest[2]

    def _own_observations(self) -> list[str]:
        """Endpoints' loads, the busiest first, or their latest failures."""
        if self._context.small_fleet:
            work = self._pending.work_in_flight(self._table.endpoints)
            loads = sorted([(work, tag) for tag, work in work.items()], reverse=True)
            return [codec.encode(codec.LoadReport(tag, work)) for work, tag in loads[:MAX_LOADS]]
        failures = self._outliers.latest_failures(MAX_FAILURES, FAILURE_AGE_S)
        return [codec.encode(codec.FailureReport(*failure)) for failure in failures]

    def _relayed_to(self, peer: int) -> list[str]:
        """Some of the levels announced here lately, of customers that may come to the peer, too."""
        context = self._context
        while self.relayed and context.now - next(iter(self.relayed.values()))[0] >= RELAY_AGE_S:
            del self.relayed[next(iter(self.relayed))]
        found, limiter_count = list[str](), context.settings.limiter_count
        for name, (_, text) in self.relayed.items():
            account = self._accounts.by_name.get(name)
            if account is not None and account.includes(peer, limiter_count):
                found.append(text)
        return context.random.sample(found, min(len(found), MAX_RELAYED))
