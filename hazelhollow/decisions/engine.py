"""The decision engine: events in, actions out.

The engine does no I/O, reads no clock, and shares nothing with other instances. A driver passes it
each event with the time at which it happened, and performs the returned actions in their order.

The engine contains no rules itself. It builds the components, passes each event to the one that
handles it, and collects the actions:

| event                | handled by                                             |
| -------------------- | ------------------------------------------------------ |
| `RequestArrived`     | `admission`: quota, load shedding, the first attempt   |
| `AttemptStarted`     | `attempts`                                             |
| `AnswersProgressed`, `AnswerStalled` | `supervision`                          |
| `AttemptEnded`       | `attempts`: settlement, retry or the end               |
| `ExecutionsReported` | `state/executions`                                     |
| `ClientDisconnected` | `state/pending_requests`                               |
| `AllowanceGranted`   | `quota`                                                |
| `GossipReceived`     | `gossip/receiver`                                      |
| `TimerFired`         | a gossip round: `gossip/scheduler`, and other periodic work |
| `EndpointsUpdated`, `EndpointOverridden` | `state/endpoint_table`             |
| `MembershipChanged`  | `state/customer_accounts`                              |
| `AccountReplicated`  | `state/replicated_accounts`                            |
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from hazelhollow.decisions.actions import Action, SetTimer, SubscribeToEndpoints
from hazelhollow.decisions.admission import Admission, AdmissionRules
from hazelhollow.decisions.attempts import AttemptRules, Attempts
from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.endpoint_selection import EndpointSelection, SelectionRules
from hazelhollow.decisions.events import (
    AccountReplicated,
    AllowanceGranted,
    AnswersProgressed,
    AnswerStalled,
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    EndpointOverridden,
    EndpointsUpdated,
    Event,
    ExecutionsReported,
    GossipReceived,
    MembershipChanged,
    RequestArrived,
    TimerFired,
)
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.gossip.composer import GossipComposer
from hazelhollow.decisions.gossip.receiver import (
    AccountReportTargets,
    EndpointReportTargets,
    GossipReceiver,
)
from hazelhollow.decisions.gossip.scheduler import ROUNDS_PER_PERIOD, GossipScheduler
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.load_shedding import LoadShedding
from hazelhollow.decisions.outlier_detection import OutlierDetection
from hazelhollow.decisions.quota import Quota
from hazelhollow.decisions.retry import RetryBudget
from hazelhollow.decisions.settings import Settings
from hazelhollow.decisions.slow_start import SlowStart
from hazelhollow.decisions.startup_quota import StartupQuota
from hazelhollow.decisions.state.accounts import Account
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.endpoint_table import EndpointTable
from hazelhollow.decisions.state.executions import Execution, ExecutionMemory
from hazelhollow.decisions.state.peer_loads import PeerLoads
from hazelhollow.decisions.state.pending_requests import PendingRequest, PendingRequests
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts
from hazelhollow.decisions.supervision import Supervision

ROUND_TIMER = "beat"  # the name of the only timer


class DecisionEngine:
    """The decisions of one limiter.

    The components are public so that drivers, benches and tests can inspect them; only
    `replicated_accounts` is meant for use by another package.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        scheduler_class: type[GossipScheduler] = GossipScheduler,
    ) -> None:
        """Creates an engine with empty state.

        Args:
            settings: The settings in force until `reconfigure`.
            seed: The seed of the random number generator; with the same seed, the same events lead
                to the same actions.
            scheduler_class: The gossip scheduler; benches compare alternatives.
        """
        self.context = DecisionContext(settings, random.Random(seed))
        self._build_state()
        self._build_gossip(scheduler_class)
        self._build_rules()
        self._round_interval = max(PERIOD_S / ROUNDS_PER_PERIOD, settings.tick)
        self._round_period = 0  # the period of the latest round
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self.admission.arrive,
            AttemptStarted: self.attempts.answer_started,
            AnswersProgressed: self.supervision.answers_progressed,
            AnswerStalled: self.supervision.answer_stalled,
            AttemptEnded: self._attempt_ended,
            ExecutionsReported: self._executions_reported,
            ClientDisconnected: self._client_disconnected,
            AllowanceGranted: self.quota.grant_allowance,
            GossipReceived: self.receiver.receive,
            TimerFired: self._round,
            EndpointsUpdated: self._endpoints_updated,
            EndpointOverridden: self._endpoint_overridden,
            MembershipChanged: self._membership_changed,
            AccountReplicated: self.replicated_accounts.merge,
        }

    def _build_state(self) -> None:
        """Creates the components that hold state and what is learned of endpoints."""
        context = self.context
        self.load = LoadEstimate(context)
        self.startup = StartupQuota(context)
        self.customer_accounts = CustomerAccounts(context, self.startup)
        self.replicated_accounts = ReplicatedAccounts(context, self.customer_accounts, self.startup)
        self.pending = PendingRequests()
        self.executions = ExecutionMemory()
        self.table = EndpointTable(context.settings)
        self.peer_loads = PeerLoads(context)
        self.outliers = OutlierDetection(context, self.load)

    def _build_gossip(self, scheduler_class: type[GossipScheduler]) -> None:
        """Creates the components that send gossip to peers and receive it."""
        context, accounts = self.context, self.customer_accounts
        self.composer = GossipComposer(
            context, self.load, accounts, self.pending, (self.table, self.outliers)
        )
        self.gossip = scheduler_class(context, self.load, accounts, self.composer)
        self.receiver = GossipReceiver(
            context,
            AccountReportTargets(accounts, self.replicated_accounts, self.startup),
            EndpointReportTargets(self.table, self.outliers, self.load, self.peer_loads),
            self.composer,
            self.gossip,
        )

    def _build_rules(self) -> None:
        """Creates the rules that are applied to requests and attempts."""
        context, load, accounts = self.context, self.load, self.customer_accounts
        self.slow_start = SlowStart(context, self.table)
        self.selection = EndpointSelection(
            context, self.table, SelectionRules(self.outliers, self.slow_start), self.peer_loads
        )
        self.quota = Quota(context, load, accounts, self.replicated_accounts, self.gossip)
        self.retry_budget = RetryBudget()
        attempt_rules = AttemptRules(
            self.selection,
            self.slow_start,
            self.outliers,
            self.quota,
            self.retry_budget,
            self.executions,
        )
        self.attempts = Attempts(context, self.pending, load, self.peer_loads, attempt_rules)
        self.supervision = Supervision(context, self.pending, load, self.outliers, self.attempts)
        self.load_shedding = LoadShedding(context, load)
        admission_rules = AdmissionRules(
            self.quota,
            self.load_shedding,
            self.selection,
            self.retry_budget,
            self.attempts,
            self.executions,
        )
        self.admission = Admission(context, accounts, self.pending, load, admission_rules)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles an event that happened at `now`, and returns the resulting actions."""
        context = self.context
        actions: list[Action] = []
        context.actions = actions
        if not context.incarnation:
            self._start(now)
        context.now, context.period = now, int(now // PERIOD_S)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return actions

    def reconfigure(self, settings: Settings) -> None:
        """Applies reloaded settings; plans and the number of limiters must not change.

        Requests in flight keep their class and their attempts. What was learned of a class is kept
        if the class remains.
        """
        before, classes_before = self.context.settings, self.context.classes
        self.context.reconfigure(settings)
        self.receiver.reconfigure(before, settings)
        self.load.reconfigure(settings)
        self.load_shedding.reconfigure(classes_before, settings)
        self.table.reconfigure(settings, self.context.now)

    # For drivers

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def accounts(self) -> dict[str, Account]:
        """The accounts by name. Callers must not modify them."""
        return self.customer_accounts.by_name

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The listed endpoints by name. Callers must not modify them."""
        return self.table.endpoints

    @property
    def pending_requests(self) -> dict[str, PendingRequest]:
        """The pending requests by id. Callers must not modify them."""
        return self.pending.by_id

    def unavailable_endpoints(self) -> set[str]:
        """Returns the names of listed endpoints that currently get no new work."""
        return self.selection.unavailable()

    # Event handlers that involve more than one component

    def _start(self, now: float) -> None:
        """Starts the incarnation at the first event, and gossip rounds after a random delay."""
        context = self.context
        context.started_at, context.incarnation = now, codec.incarnation_name(now)
        first_round = self._round_interval * context.random.uniform(0.5, 1.0)
        context.actions.append(SetTimer(first_round, ROUND_TIMER))
        if context.settings.poll_endpoints:
            context.actions.append(SubscribeToEndpoints())

    def _round(self, _event: TimerFired) -> None:
        """Runs one gossip round and the components' periodic work."""
        context = self.context
        context.actions.append(SetTimer(self._round_interval, ROUND_TIMER))
        if self._round_period < context.period:
            self._round_period = context.period
            self.gossip.begin_period()
        context.actions += self.replicated_accounts.drain_grown_counts()
        self.customer_accounts.forget_idle()
        self.gossip.enqueue_final_charges()
        self.gossip.announce_overdue(self._round_interval)
        self.supervision.cancel_overdue()
        self.gossip.send_waiting()
        self.gossip.drop_old_updates()
        recent = context.now - self.load.tightest_objective
        in_flight = self.pending.attempts_in_flight_since(recent)
        self.load.learn_from_attempts_in_flight(in_flight, self._round_interval)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        self.attempts.end(event)
        if event.status == "cancelled":
            self.supervision.cancel_next()

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        self.pending.end(event.id)

    def _executions_reported(self, event: ExecutionsReported) -> None:
        now = self.context.now
        for report in event.executions:
            execution = Execution(report.zone, report.cell, report.address, now - report.age)
            execution.shared_id = report.shared_id
            if report.never_ran:
                self.executions.discard(report.customer, report.id, execution)
            else:
                self.executions.add(report.customer, report.id, execution, now)

    def _endpoints_updated(self, event: EndpointsUpdated) -> None:
        if event.kind == "failed":  # the current list stays in use
            self.context.actions.append(SubscribeToEndpoints())
        if self.executions:
            self._note_takeovers(event)
        self.table.apply(event, self.context.now)
        self.selection.invalidate_subset()

    def _note_takeovers(self, event: EndpointsUpdated) -> None:
        """Notes endpoints that have started at an address since the list last named it."""
        for entry in event.entries:
            current = self.table.endpoints.get(entry.name)
            has_started = current is None or current.entry.started != entry.started
            if entry.address and entry.started and has_started:
                self.executions.address_taken_over(entry)

    def _endpoint_overridden(self, event: EndpointOverridden) -> None:
        self.table.override(event.endpoint, event.disabled, self.context.now)
        self.selection.invalidate_subset()

    def _membership_changed(self, event: MembershipChanged) -> None:
        unreachable_before = self.context.unreachable
        self.startup.record_membership_protocol()
        self.context.apply_membership(event)
        self.customer_accounts.apply_membership(event, unreachable_before)
