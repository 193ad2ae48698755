"""Applies gossip datagrams from peers.

Malformed, foreign and stale datagrams have no effect: a datagram is decoded completely before any
part of it is applied.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from hazelhollow.decisions.actions import WriteLog
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.events import GossipReceived
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.gossip.composer import GossipComposer
from hazelhollow.decisions.gossip.peer_periods import MAX_AGE_PERIODS, PeerPeriods
from hazelhollow.decisions.gossip.scheduler import GossipScheduler
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.outlier_detection import OutlierDetection
from hazelhollow.decisions.settings import Settings
from hazelhollow.decisions.startup_quota import StartupQuota
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.endpoint_table import EndpointTable
from hazelhollow.decisions.state.peer_loads import PeerLoads
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts

LOGGED_CHARACTERS = 40  # length of the quoted text of an unusable datagram


class AccountReportTargets(NamedTuple):
    """The state that reports of charges and levels update."""

    accounts: CustomerAccounts
    replicated: ReplicatedAccounts
    startup: StartupQuota


class EndpointReportTargets(NamedTuple):
    """The state that reports of loads and failures update."""

    table: EndpointTable
    outliers: OutlierDetection
    load: LoadEstimate
    peer_loads: PeerLoads


class GossipReceiver:
    """Applies datagrams to the state of this limiter.

    Attributes:
        unusable: The number of unusable datagrams and reports, by reason.
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
        self._peer_periods = PeerPeriods()
        self.unusable: Counter[str] = Counter()
        self.plan_of = {codec.name_tag(plan.name): plan for plan in settings.plans}
        self.class_of = _names_by_tag(settings)
        self._decoder = codec.GossipDecoder(self.plan_of, settings.limiter_count, self.class_of)

    def reconfigure(self, before: Settings, settings: Settings) -> None:
        """Applies changed settings: the classes may be different."""
        if {c.name for c in before.classes} != {c.name for c in settings.classes}:
            self.class_of = _names_by_tag(settings)
            self._decoder.class_tags = self.class_of

    def receive(self, event: GossipReceived) -> None:
        """Applies a datagram from a peer."""
        context, settings = self._context, self._context.settings
        message = self._decode(event)
        if message is None:
            return
        if event.sender == settings.limiter_id or not 0 <= event.sender < settings.limiter_count:
            return
        sender = event.sender, message.incarnation
        age = self._peer_periods.age(sender, message.period, context.period, context.now)
        if age is None:
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
                self._apply_level(report, event.sender)
            elif isinstance(report, codec.LoadReport):
                loads[report.endpoint] = report.work
            elif age + report.age <= MAX_AGE_PERIODS:
                incarnation = f"{event.sender}.{message.incarnation}"
                self._apply_charge(report, event.sender, incarnation, age)
        self._peer_loads.record(event.sender, loads)
        self._load.learn_peer_wait(message.queue_wait)

    def _decode(self, event: GossipReceived) -> codec.GossipMessage | None:
        """Decodes a datagram, counts unusable content and logs the first case of each kind."""
        message = self._decoder.decode(event.text)
        if message is not None and not message.unknown_tags:
            return message
        reason = (
            "datagram ignored, its dialect is unknown or it is malformed"
            if message is None
            else "reports ignored, they name a plan or class that these settings do not have"
        )
        if not self.unusable[reason]:
            text = event.text[:LOGGED_CHARACTERS]
            self._context.actions.append(
                WriteLog(f"gossip from limiter {event.sender}: {reason}: {text}")
            )
        self.unusable[reason] += 1 if message is None else message.unknown_tags
        return message

    def _apply_charge(
        self, report: codec.ChargeReport, sender: int, incarnation: str, age: int
    ) -> None:
        """Applies a peer's report of its charges in an open period."""
        context = self._context
        plan = self.plan_of[report.plan]
        account = self._accounts.get(report.key, plan, report.set_start, report.set_size)
        period = context.period - age - report.age
        account.quota.level -= account.charges.merge_report(incarnation, period, report.total)
        account.last_used_at = context.now
        account.record_peer_open(sender, context.now, report.open_requests)
        self._replicated.mark_charged(account)
        self._scheduler.schedule_announcement(account)

    def _apply_level(self, report: codec.SpentReport, sender: int) -> None:
        """Applies a level that a hub announced or another member relayed.

        A hub keeps its own sum of the charges, unless it started recently and the announced level
        is lower: it does not know the charges before its start. In a set so large that one hub
        cannot notify every member, members relay the levels that a hub announced to them, but not
        levels relayed to them, which would be outdated.
        """
        context = self._context
        account = self._accounts.get(report.key, self.plan_of[report.plan], 0, 0)
        account.announced.refill(context.now)
        account.announced.level = account.plan.burst - report.units
        account.has_announcement = True
        if sender in account.hubs and account.set_size > self._scheduler.max_announced_members:
            self._composer.relay(account.name, report)
        refill_time = account.plan.burst / (account.plan.rate or 1.0)
        started_recently = context.now - context.started_at < refill_time
        if context.settings.limiter_id not in account.hubs or (
            started_recently and account.announced.level < account.quota.level
        ):
            account.quota.level = account.announced.level


def _names_by_tag(settings: Settings) -> dict[str, str]:
    return {codec.name_tag(c.name): c.name for c in settings.classes}
