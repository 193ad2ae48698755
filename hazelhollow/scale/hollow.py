"""A hollow limiter: a limiter's real decisions and drivers, without clients and servers.

An `Incarnation` is one run of a limiter: the real decision engine, membership, replication and
configuration with their drivers, from its start to its end. `scale.fleet` creates, starts and ends
incarnations. Attempts are answered by modelled servers, and requests come from the modelled load
(`scale.modelled_endpoints`). The limiters of a process share one scheduler, which each incarnation
sees through an `IncarnationScheduler`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.driver import (
    ConfigurationDriver,
    ConfigurationOptions,
    Connections,
)
from hazelhollow.control_budget.budget import RoleBudget, TrafficRole
from hazelhollow.control_budget.limiter_budget import LimiterBudget, with_gossip_rate
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.driver import DriverOptions, MembershipDriver, max_text_bytes
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import Record
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.net.engine_driver import EngineDriver
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.stats import Stats
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.driver import EngineLink, Network, ReplicationDriver
from hazelhollow.scale.incarnation_scheduler import IncarnationScheduler
from hazelhollow.scale.measure import Meter
from hazelhollow.scale.modelled_endpoints import HollowRequest, ModelledConnectionPool
from hazelhollow.scale.network import HollowPeerSocket
from hazelhollow.scale.plan import FleetTerms
from hazelhollow.scale.results import Role
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import KnownSettings, parse_settings

MAX_OPEN_REQUESTS = 20_000  # as in the configuration of a real limiter
KEY = b"the key of a scale run, which is no secret"


class InitialSettings:
    """The settings that an incarnation starts with.

    Args:
        document: The settings document.
        order: Its revision.
        settings: The parsed document; parsed here if it is not given.
    """

    def __init__(
        self, document: Mapping[str, Any], order: int, settings: api.Settings | None = None
    ) -> None:
        self.document, self.order = document, order
        self.settings = settings or parse_settings(Fields("settings", dict(document)))


@dataclass(frozen=True)
class IncarnationHost:
    """What the process gives to each incarnation of a limiter.

    Attributes:
        scheduler: The scheduler of the process.
        meter: The meter of the process.
        peers: The socket of the limiter.
        record_changed: Called with every record that changes in the limiter's member table.
        settings_applied: Called with the limiter's number when it has applied new settings.
    """

    scheduler: Scheduler
    meter: Meter
    peers: HollowPeerSocket
    record_changed: Callable[[Record], None]
    settings_applied: Callable[[int], None]


class Incarnation:
    """One run of a hollow limiter, from its start to its end.

    States: created, `start` once, then `leave` or `crash` once. Implements
    `configuration.state.ConfigurableLimiter`, by which configuration reads and changes the
    limiter.

    Args:
        host: What the process gives to it.
        initial: The settings to start with.
        terms: How the fleet is set up.
        seed: Of all random draws of this incarnation.
    """

    def __init__(
        self, host: IncarnationHost, initial: InitialSettings, terms: FleetTerms, seed: int
    ) -> None:
        self._host, self._meter, self._peers = host, host.meter, host.peers
        self.scheduler = IncarnationScheduler(host.scheduler, host.meter)
        self._document, self.order = initial.document, initial.order
        self._settings = initial.settings
        # Settings that were found to be valid, and the document that they were parsed from.
        self._checked: tuple[Mapping[str, Any] | None, api.Settings] = (None, initial.settings)
        self._seed, self._terms = seed, terms
        self.stats = Stats()
        self._budget: LimiterBudget | None = None
        if terms.control_bytes_per_s:
            self._settings = with_gossip_rate(initial.settings, terms.control_bytes_per_s)
        self.engine = DecisionEngine(self._settings, seed)
        self.engine_driver = EngineDriver(
            self.engine,
            self.scheduler,
            ModelledConnectionPool(self.scheduler, seed, terms.service_s),
            self.stats,
            MAX_OPEN_REQUESTS,
        )
        self.engine_driver.peers = host.peers
        self.membership: MembershipDriver | None = None
        self.replication: ReplicationDriver | None = None
        self.configuration: ConfigurationDriver | None = None
        self._last_request = 0

    # Start and end

    def start(self, servers: tuple[api.EndpointEntry, ...]) -> None:
        """Gives it its list of servers and starts the subsystems that the fleet's terms name."""
        self._peers.attach_incarnation(self.stats, self.engine_driver.gossip_received)
        self.update_servers(api.EndpointsUpdated("full", servers))
        authenticator = MessageAuthenticator([KEY] if self._terms.sealed else [])
        started_at = self.scheduler.clock()
        if self._terms.control_bytes_per_s:
            self._budget = LimiterBudget(
                self._terms.control_bytes_per_s,
                self._peers,
                self.scheduler.clock,
                authenticator.overhead_bytes,
            )
        membership = self._start_membership(authenticator, started_at)
        if self._terms.replicate:
            self._start_replication(membership, authenticator)
        if self._terms.audit:
            self._start_configuration(membership, authenticator, int(started_at * 1000))

    def _start_membership(
        self, authenticator: MessageAuthenticator, started_at: float
    ) -> MembershipDriver:
        settings = MembershipSettings(
            self._settings.limiter_id,
            self._settings.limiter_count,
            self._seed,
            max_text_bytes(authenticator),
        )
        membership = Membership(settings, started_at, self._role_budget(TrafficRole.MEMBERSHIP))
        membership.table.subscribe(self._host.record_changed)
        driver = MembershipDriver(
            self.scheduler,
            self._peers,
            membership,
            authenticator,
            DriverOptions(
                self.engine_driver.notify,
                self._on_duplicate,
                replicates=self._terms.replicate,
                gossip_is_paced=self._terms.control_bytes_per_s > 0,
            ),
        )
        self.membership = driver
        self._meter.measure_call(Role.VIEW, driver.start)
        return driver

    def _start_replication(
        self, membership: MembershipDriver, authenticator: MessageAuthenticator
    ) -> None:
        budget = self._role_budget(TrafficRole.REPLICATION)
        max_bytes = max_text_bytes(authenticator)
        self.replication = ReplicationDriver(
            self.scheduler,
            Network(self._peers, membership, authenticator, max_bytes, budget),
            EngineLink(
                EngineAccounts(self.engine.replicated_accounts),
                self.engine_driver.notify,
                lambda _overrides: None,
            ),
            self._seed,
        )
        self.engine_driver.on_count = self.replication.record_charge
        self._meter.measure_call(Role.REPLICATION, self.replication.start)

    def _start_configuration(
        self, membership: MembershipDriver, authenticator: MessageAuthenticator, incarnation: int
    ) -> None:
        record = AuditRecord(self._settings.limiter_id, incarnation)
        budget = self._role_budget(TrafficRole.CONFIGURATION)
        self.engine_driver.attempts_by_endpoint = Counter()
        self.configuration = ConfigurationDriver(
            Connections(self.scheduler, self._peers, membership, authenticator, self),
            ConfigurationOptions(lambda: self.order, record, self._seed, budget),
        )
        self._meter.measure_call(Role.AUDIT, self.configuration.start)

    def _role_budget(self, role: TrafficRole) -> RoleBudget | None:
        """The part of the control budget that a role has; None where there is no budget."""
        return self._budget.for_role(role) if self._budget else None

    def _on_duplicate(self) -> None:
        """Membership met a process with the same number, which a run never starts."""
        raise AssertionError(f"limiter {self._settings.limiter_id} met a duplicate")

    def leave(self) -> None:
        """Ends it gracefully: its peers are notified first."""
        if self.membership:
            self._meter.measure_call(Role.VIEW, self.membership.leave)
        self.crash()

    def crash(self) -> None:
        """Ends it at once; its peers are not notified."""
        self.scheduler.alive, self._peers.dead = False, True

    # Events from outside

    def update_servers(self, event: api.EndpointsUpdated) -> None:
        """Discovery reports the list of servers, or a change to it."""
        self._meter.measure_call(Role.LIST, self.engine_driver.notify, event)

    def submit(self, request: api.RequestArrived) -> bool:
        """Submits a request; returns whether it was admitted."""
        hollow = HollowRequest(request)
        self._meter.measure_call(Role.REQUESTS, self.engine_driver.submit, hollow, hollow)
        return hollow.admitted

    def next_request_id(self) -> str:
        """An id for a request that is unique in this incarnation."""
        self._last_request += 1
        return f"{self._settings.limiter_id}-{self._last_request}"

    def change_settings(self, document: Mapping[str, Any], order: int) -> None:
        """An operator gives this limiter a new revision of the settings."""
        self._meter.measure_call(Role.AUDIT, self._change_settings, document, order)

    def _change_settings(self, document: Mapping[str, Any], order: int) -> None:
        self.order = order
        error = self.apply_settings(document)
        assert not error, error

    # What configuration calls (configuration.state.ConfigurableLimiter)

    def settings_document(self) -> Mapping[str, Any]:
        """The settings document in force."""
        return self._document

    def check_settings(self, document: Mapping[str, Any]) -> str:
        """What is wrong with a document, or an empty text."""
        try:
            self._checked = document, self._parse(self._with_own(document))
        except (WireError, ValueError) as error:
            return str(error)
        return ""

    def _with_own(self, document: Mapping[str, Any]) -> dict[str, Any]:
        return {**document, **{name: self._document[name] for name in ("position", "zone")}}

    def _parse(self, document: dict[str, Any]) -> api.Settings:
        known = KnownSettings(self._document, self._settings)
        return parse_settings(Fields("settings", document), known)

    def apply_settings(self, document: Mapping[str, Any]) -> str:
        """Applies settings of the operator or of a peer; returns what is wrong with them, if any.

        As `net.settings_reload.SettingsReload.apply` does.
        """
        error = self.check_settings(document) if document is not self._checked[0] else ""
        if error:
            return error
        settings = self._checked[1]
        self._document, self._settings = self._with_own(document), settings
        self.engine.reconfigure(settings)
        self._host.settings_applied(settings.limiter_id)
        return ""

    def endpoint_list(self) -> tuple[int, str]:
        """Revision and source of the list of servers."""
        return 1, "127.0.0.1:0"

    def disabled_hosts(self) -> set[str]:
        """Servers that an operator has disabled: none."""
        return set()

    def request_counts(self) -> dict[str, int]:
        """Requests by what became of them."""
        stats = self.stats
        return {
            "requests": stats.requests,
            "served": stats.served,
            "refused": stats.refused,
            "failed": stats.failed,
        }

    def drain_attempts(self) -> Counter[str]:
        """Attempts by server since the last call."""
        counts, self.engine_driver.attempts_by_endpoint = (
            self.engine_driver.attempts_by_endpoint or Counter(),
            Counter(),
        )
        return counts

    def drain_samples(self) -> list[str]:
        """Samples of requests: none."""
        return []
