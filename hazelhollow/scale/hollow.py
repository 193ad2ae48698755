"""A hollow limiter: the real decisions and drivers of a limiter, without clients and servers.

An `Incarnation` is one run of a limiter, from its start to its end: the real decision engine,
membership, replication and configuration with their drivers. `scale.fleet` creates, starts and ends
incarnations. Modelled servers answer the attempts, and the modelled load sends the requests
(`scale.modelled_endpoints`). The limiters of a process share one scheduler, which each incarnation
accesses through an `IncarnationScheduler`.
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

MAX_OPEN_REQUESTS = 20_000  # the same as in the configuration of a real limiter
KEY = b"the key of a scale run, which is no secret"


class InitialSettings:
    """The settings that an incarnation starts with.

    Args:
        document: The settings document.
        revision: The document's revision.
        settings: The parsed document; the constructor parses the document if this is None.
    """

    def __init__(
        self, document: Mapping[str, Any], revision: int, settings: api.Settings | None = None
    ) -> None:
        self.document, self.revision = document, revision
        self.settings = settings or parse_settings(Fields("settings", dict(document)))


@dataclass(frozen=True)
class IncarnationHost:
    """What a process provides to each incarnation of a limiter.

    Attributes:
        scheduler: The scheduler of the process.
        meter: The meter of the process.
        peers: The socket of the limiter.
        record_changed: Called with each record that changes in the limiter's member table.
        settings_applied: Called with the limiter's number after it has applied new settings.
    """

    scheduler: Scheduler
    meter: Meter
    peers: HollowPeerSocket
    record_changed: Callable[[Record], None]
    settings_applied: Callable[[int], None]


class Incarnation:
    """One run of a hollow limiter, from its start to its end.

    Lifecycle: constructor, then `start` once, then `leave` or `crash` once. Implements
    `configuration.state.ConfigurableLimiter`, through which the configuration driver reads and
    changes the limiter.

    Args:
        host: What the process provides.
        initial: The settings to start with.
        terms: How the fleet is set up.
        seed: Seed of all random draws of this incarnation.
    """

    def __init__(
        self, host: IncarnationHost, initial: InitialSettings, terms: FleetTerms, seed: int
    ) -> None:
        self._host, self._meter, self._peers = host, host.meter, host.peers
        self.scheduler = IncarnationScheduler(host.scheduler, host.meter)
        self._document, self.revision = initial.document, initial.revision
        self._settings = initial.settings
        # The document that was validated last and the settings parsed from it, so that applying it
        # does not parse it again.
        self._validated: tuple[Mapping[str, Any] | None, api.Settings] = (None, initial.settings)
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
        """Sets the list of servers and starts the subsystems that the fleet's terms name."""
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
            ConfigurationOptions(lambda: self.revision, record, self._seed, budget),
        )
        self._meter.measure_call(Role.AUDIT, self.configuration.start)

    def _role_budget(self, role: TrafficRole) -> RoleBudget | None:
        """Returns a role's part of the control budget; None if the fleet has no budget."""
        return self._budget.for_role(role) if self._budget else None

    def _on_duplicate(self) -> None:
        """Fails the run: membership found a second process with this number; a run starts none."""
        raise AssertionError(f"a second process has limiter id {self._settings.limiter_id}")

    def leave(self) -> None:
        """Ends the incarnation gracefully, after notifying its peers."""
        if self.membership:
            self._meter.measure_call(Role.VIEW, self.membership.leave)
        self.crash()

    def crash(self) -> None:
        """Ends the incarnation at once, without notifying its peers."""
        self.scheduler.alive, self._peers.dead = False, True

    # Input from discovery, clients and operators

    def update_servers(self, event: api.EndpointsUpdated) -> None:
        """Applies the list of servers that discovery reports, or a change to it."""
        self._meter.measure_call(Role.LIST, self.engine_driver.notify, event)

    def submit(self, request: api.RequestArrived) -> bool:
        """Submits a request; returns whether it was admitted."""
        hollow = HollowRequest(request)
        self._meter.measure_call(Role.REQUESTS, self.engine_driver.submit, hollow, hollow)
        return hollow.admitted

    def next_request_id(self) -> str:
        """Returns a request id that is unique in this incarnation."""
        self._last_request += 1
        return f"{self._settings.limiter_id}-{self._last_request}"

    def change_settings(self, document: Mapping[str, Any], revision: int) -> None:
        """Applies a new revision of the settings, as an operator would at this limiter."""
        self._meter.measure_call(Role.AUDIT, self._change_settings, document, revision)

    def _change_settings(self, document: Mapping[str, Any], revision: int) -> None:
        self.revision = revision
        error = self.apply_settings(document)
        assert not error, error

    # Implementation of configuration.state.ConfigurableLimiter

    def settings_document(self) -> Mapping[str, Any]:
        """Returns the settings document in force."""
        return self._document

    def check_settings(self, document: Mapping[str, Any]) -> str:
        """Returns what is wrong with a document, or an empty string if it is valid."""
        try:
            self._validated = document, self._parse(self._with_own_placement(document))
        except (WireError, ValueError) as error:
            return str(error)
        return ""

    def _with_own_placement(self, document: Mapping[str, Any]) -> dict[str, Any]:
        return {**document, **{name: self._document[name] for name in ("position", "zone")}}

    def _parse(self, document: dict[str, Any]) -> api.Settings:
        known = KnownSettings(self._document, self._settings)
        return parse_settings(Fields("settings", document), known)

    def apply_settings(self, document: Mapping[str, Any]) -> str:
        """Applies settings of the operator or of a peer.

        Returns what is wrong with them, or an empty string, as
        `net.settings_reload.SettingsReload.apply` does.
        """
        error = self.check_settings(document) if document is not self._validated[0] else ""
        if error:
            return error
        settings = self._validated[1]
        self._document, self._settings = self._with_own_placement(document), settings
        self.engine.reconfigure(settings)
        self._host.settings_applied(settings.limiter_id)
        return ""

    def endpoint_list(self) -> tuple[int, str]:
        """Returns the revision and the source of the list of servers; both are constant."""
        return 1, "127.0.0.1:0"

    def disabled_hosts(self) -> set[str]:
        """Returns an empty set: operators disable no servers in a scale run."""
        return set()

    def request_counts(self) -> dict[str, int]:
        """Returns the number of requests by outcome."""
        stats = self.stats
        return {
            "requests": stats.requests,
            "served": stats.served,
            "refused": stats.refused,
            "failed": stats.failed,
        }

    def drain_attempts(self) -> Counter[str]:
        """Returns the attempts by server since the last call and resets the counts."""
        counts, self.engine_driver.attempts_by_endpoint = (
            self.engine_driver.attempts_by_endpoint or Counter(),
            Counter(),
        )
        return counts

    def drain_samples(self) -> list[str]:
        """Returns an empty list: hollow limiters sample no requests."""
        return []
