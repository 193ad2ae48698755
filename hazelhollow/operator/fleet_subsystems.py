"""Starts the subsystems that `fleet` in an operator file switches on; stops them in reverse order.

Membership is started first, since replication and configuration depend on it. If there is a control
budget, all of them send within it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.audit.segments import SegmentWriter
from hazelhollow.configuration.driver import (
    ConfigurationDriver,
    ConfigurationOptions,
    Connections,
)
from hazelhollow.control_budget.budget import RoleBudget, TrafficRole
from hazelhollow.control_budget.limiter_budget import LimiterBudget
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.driver import DriverOptions, MembershipDriver, max_text_bytes
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import pack_address
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.service import Service
from hazelhollow.operator.service_limiter import ServiceLimiter
from hazelhollow.operator.settings import AuditSettings, FleetSettings, ReplicationSettings
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.driver import EngineLink, Network, ReplicationDriver
from hazelhollow.replication.snapshot_file import SnapshotFile
from hazelhollow.storage.append_file import AppendFile
from hazelhollow.storage.writer import BackgroundWriter

MILLISECONDS_PER_S = 1000

log = structlog.get_logger(__name__)


@dataclass(frozen=True)
class SubsystemContext:
    """Objects that the subsystems share with the rest of the attachment.

    Attributes:
        authenticator: Signs and verifies their datagrams.
        writer: Writes their files outside the event loop.
        seed: Seed of their random number generators.
        file_revision: Returns the revision of the settings in the operator file.
    """

    authenticator: MessageAuthenticator
    writer: BackgroundWriter
    seed: int
    file_revision: Callable[[], int]


class FleetSubsystems:
    """Membership, control budget, replication and configuration of one limiter."""

    def __init__(
        self, service: Service, settings: FleetSettings, context: SubsystemContext
    ) -> None:
        self._service, self._settings, self._context = service, settings, context
        self._limiter_id = service.settings_reload.settings.limiter_id
        self._budget: LimiterBudget | None = None
        self.membership: MembershipDriver | None = None
        self.replication: ReplicationDriver | None = None
        self.configuration: ConfigurationDriver | None = None

    def start(self) -> None:
        """Starts the subsystems that are configured; none if limiters cannot reach each other."""
        settings, peers = (
            self._service.settings_reload.settings,
            self._service.engine_driver.peers,
        )
        if peers is None or not settings.peers or settings.limiter_count < 2:
            log.warning(
                "fleet subsystems not started: the configuration allows no datagrams between "
                "limiters, or there is only one limiter"
            )
            return
        if self._settings.control:
            self._start_control_budget(peers, self._settings.control.bytes_per_s)
        self.membership = self._start_membership(peers)
        if self._settings.replicate:
            self._start_replication(peers, self.membership, self._settings.replicate)
        if self._settings.audit:
            self._start_configuration(peers, self.membership, self._settings.audit)

    def _start_control_budget(self, peers: PeerSocket, bytes_per_s: float) -> None:
        overhead = self._context.authenticator.overhead_bytes
        clock = self._service.scheduler.clock
        self._budget = LimiterBudget(bytes_per_s, peers, clock, overhead)
        usage = self._budget.budget.usage
        self._service.stats.control = {role.value: usage[role] for role in TrafficRole}

    def _budget_of(self, role: TrafficRole) -> RoleBudget | None:
        return self._budget.for_role(role) if self._budget else None

    def _start_membership(self, peers: PeerSocket) -> MembershipDriver:
        service, settings = self._service, self._service.settings_reload.settings
        # If the platform's configuration lists the peers, only its addresses are used. It lists all
        # peers or none, so checking one of them suffices: limiter 0, or 1 if this is limiter 0.
        any_other_member = 1 - min(settings.limiter_id, 1)
        are_listed = peers.has_address(any_other_member)
        uses_seeds = bool(self._settings.seeds) and not are_listed
        other_seeds = tuple(seed for seed in self._settings.seeds if seed != peers.address)
        membership = Membership(
            MembershipSettings(
                settings.limiter_id,
                settings.limiter_count,
                self._context.seed,
                max_text_bytes(self._context.authenticator),
                address=pack_address(*peers.address) if uses_seeds else "",
            ),
            service.scheduler.clock(),
            self._budget_of(TrafficRole.MEMBERSHIP),
        )
        options = DriverOptions(
            service.engine_driver.notify,
            service.shutdown.begin,
            self._history_file(),
            (other_seeds or (peers.address,)) if uses_seeds else (),
            replicates=self._settings.replicate is not None,
            gossip_is_paced=self._settings.control is not None,
        )
        driver = MembershipDriver(
            service.scheduler, peers, membership, self._context.authenticator, options
        )
        service.stats.view = membership.counts
        driver.start()
        return driver

    def _history_file(self) -> AppendFile | None:
        path = self._settings.view_file
        return AppendFile(Path(path), self._context.writer) if path else None

    def _start_replication(
        self, peers: PeerSocket, membership: MembershipDriver, settings: ReplicationSettings
    ) -> None:
        service, authenticator, file = self._service, self._context.authenticator, None
        if settings.state_dir:
            file = SnapshotFile(Path(settings.state_dir), self._limiter_id, self._context.writer)
        network = Network(
            peers,
            membership,
            authenticator,
            max_text_bytes(authenticator),
            self._budget_of(TrafficRole.REPLICATION),
        )
        engine = EngineLink(
            EngineAccounts(service.engine.replicated_accounts),
            service.engine_driver.notify,
            service.overrides.apply,
        )
        driver = ReplicationDriver(service.scheduler, network, engine, self._context.seed, file)
        self.replication = driver
        service.engine_driver.on_count = driver.record_charge
        service.stats.replica = driver.counters
        driver.start()

    def _start_configuration(
        self, peers: PeerSocket, membership: MembershipDriver, settings: AuditSettings
    ) -> None:
        service, segments = self._service, None
        incarnation = int(service.scheduler.clock() * MILLISECONDS_PER_S)
        if settings.state_dir:
            segments = SegmentWriter(
                Path(settings.state_dir), self._limiter_id, incarnation, self._context.writer
            )
        service.engine_driver.attempts_by_endpoint = Counter()
        service.engine_driver.max_samples = settings.samples
        connections = Connections(
            service.scheduler,
            peers,
            membership,
            self._context.authenticator,
            ServiceLimiter(service),
        )
        options = ConfigurationOptions(
            self._context.file_revision,
            AuditRecord(self._limiter_id, incarnation, segments),
            self._context.seed,
            self._budget_of(TrafficRole.CONFIGURATION),
        )
        self.configuration = ConfigurationDriver(connections, options)
        self.configuration.start()

    # While it runs

    def may_admit(self) -> bool:
        """Whether the limiter may receive new requests.

        It may if the other members know it and its settings are not older than theirs.
        """
        return self.membership is None or self.membership.may_admit()

    def document(self) -> dict[str, Any] | None:
        """Returns the answer to `call fleet`; None without membership."""
        if self.membership is None:
            return None
        document = self.membership.document()
        if self.replication:
            document["replica"] = self.replication.document()
        if self.configuration:
            document["audit"] = self.configuration.document()
        if self._budget:
            document["control"] = self._budget.budget.document()
        return document

    def override_set(self, endpoint: str, disabled: bool) -> None:
        """Publishes that an operator has disabled or enabled an endpoint at this limiter."""
        if self.replication:
            self.replication.set_override(endpoint, disabled)
        if self.configuration:
            self.configuration.publish("operator call")

    def end(self) -> None:
        """Stops the subsystems after the limiter has answered every request."""
        if self.configuration:
            self.configuration.end()
        if self.replication:
            self.replication.stop()
        if self.membership:
            self.membership.leave()
