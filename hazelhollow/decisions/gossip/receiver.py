"""What is done with a gossip datagram from a peer.

Garbled, foreign and stale datagrams change nothing: a datagram is read as a whole before any of it
is applied.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from hazelhollow.decisions.actions import WriteLog
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.events import GossipReceived
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.gossip.composer import GossipComposer
from hazelhollow.decisions.gossip.scheduler import GossipScheduler
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.outlier_detection import OutlierDetection
from hazelhollow.decisions.settings import Settings
from hazelhollow.decisions.startup_quota import StartupQuota
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.endpoint_table import EndpointTable
from hazelhollow.decisions.state.peer_loads import PeerLoads
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts

MAX_AGE_PERIODS = 1  # of what a datagram tells: the current period and the one before are open
LOGGED_CHARACTERS = 40  # of a datagram that can't be used


class AccountReportTargets(NamedTuple):
    """What reports of charges and levels go into."""

    accounts: CustomerAccounts
    replicated: ReplicatedAccounts
    startup: StartupQuota


class EndpointReportTargets(NamedTuple):
    """What reports of loads and failures go into."""

    table: EndpointTable
    outliers: OutlierDetection
    load: LoadEstimate
    peer_loads: PeerLoads


class GossipReceiver:
    """Applies datagrams.

    Attributes:
        unusable: What could not be used, counted by kind.
        plan_of: The plans by tag.
        class_of: The names of classes by tag.
    """

    def __init__(
        self,
        context: DecisionContext,
        account_state: AccountReportTargets,
        endpoint_state: EndpointReportTargets,
        composer: GossipComposer,
        scheduler: GossipScheduler,
    ) -> None:
        self._context, self._composer, self._scheduler = context, composer, scheduler
        self._accounts, self._replicated, self._startup = account_state
        self._table, self._outliers, self._load, self._peer_loads = endpoint_state
        settings = context.settings
        self.unusable: Counter[str] = Counter()
        self.plan_of = {codec.name_tag(plan.name): plan for plan in settings.plans}
        self.class_of = _names_by_tag(settings)
        self._decoder = codec.GossipDecoder(self.plan_of, settings.limiter_count, self.class_of)

    def reconfigure(self, before: Settings, settings: Settings) -> None:
        """Takes over other classes."""
        if {c.name for c in before.classes} != {c.name for c in settings.classes}:
            self.class_of = _names_by_tag(settings)
            self._decoder.class_tags = self.class_of

    def receive(self, event: GossipReceived) -> None:
        """A datagram has come."""
        context, settings = self._context, self._context.settings
        message = self._decode(event)
        if message is None:
            return
        age = (context.period - message.period) % codec.PERIODS
        if (
            age > MAX_AGE_PERIODS
            or event.sender == settings.limiter_id
            or not 0 <= event.sender < settings.limiter_count
        ):
            return
        self._startup.record_peer_incarnation(
            event.sender, message.incarnation, self._accounts.by_name.values()
        )
        loads = dict[str, float]()
        for report in message.reports:
            if isinstance(report, codec.FailureReport):
                class_name = self.class_of.get(report.request_class, "")
                if endpoint := self._table.by_tag(report.endpoint):
                    self._outliers.record_failure(endpoint, class_name)
            elif isinstance(report, codec.SpentReport):
                self._take_level(report, event.sender)
            elif isinstance(report, codec.LoadReport):
                loads[report.endpoint] = report.work
            elif age + report.age <= MAX_AGE_PERIODS:
                incarnation = f"{event.sender}.{message.incarnation}"
                self._take_charge(report, event.sender, incarnation, age)
        self._peer_loads.record(event.sender, loads)
        self._load.learn_peer_wait(message.queue_wait)

    def _decode(self, event: GossipReceived) -> codec.GossipMessage | None:
        """Counts what can't be used, and logs each kind of it once."""
        message = self._decoder.decode(event.text)
        if message is not None and not message.unknown:
            return message
        what = (
            "message of another dialect or garbled"
            if message is None
            else "plan or class that these settings do not have"
        )
        if not self.unusable[what]:
            text = event.text[:LOGGED_CHARACTERS]
            self._context.actions.append(WriteLog(f"limiter {event.sender} sent a {what}: {text}"))
        self.unusable[what] += 1 if message is None else message.unknown
        return message

    def _take_charge(
        self, report: codec.ChargeReport, sender: int, incarnation: str, age: int
    ) -> None:
        """A peer's charges of an open period."""
        context = self._context
        plan = self.plan_of[report.plan]
        account = self._accounts.get(report.key, plan, report.set_start, report.set_size)
        period = context.period - age - report.age
        account.quota.level -= account.charges.merge_report(incarnation, period, report.total)
        account.last_used_at = context.now
        account.record_peer_open(sender, context.now, report.open_requests)
        self._replicated.mark_charged(account)
        self._scheduler.charge_known(account)

    def _take_level(self, report: codec.SpentReport, sender: int) -> None:
        """A level that a hub announced, or another member passes on.

        A hub goes by its own sum; but one that started lately doesn't know what was used before.
        In a set so large that one hub can't notify all of it, members pass on what a hub announced
        to them, but not what was passed on to them: that grows old.
        """
        context = self._context
        account = self._accounts.get(report.key, self.plan_of[report.plan], 0, 0)
        account.announced.refill(context.now)
        account.announced.level = account.plan.burst - report.units
        account.has_announcement = True
        if sender in account.hubs and account.set_size > self._scheduler.max_announced_members:
            self._composer.relay(account.name, report)
        refill_time = account.plan.burst / (account.plan.rate or 1.0)
        started_lately = context.now - context.started_at < refill_time
        if context.settings.limiter_id not in account.hubs or (
            started_lately and account.announced.level < account.quota.level
        ):
            account.quota.level = account.announced.level


def _names_by_tag(settings: Settings) -> dict[str, str]:
    return {codec.name_tag(c.name): c.name for c in settings.classes}
