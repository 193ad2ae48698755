"""What an operator file switches on in a running limiter.

Its logs now, its subsystems as they are built.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import structlog

from hazelhollow.configuration import operator_calls
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.audit.segments import SegmentWriter
from hazelhollow.configuration.driver import (
    ConfigurationDriver,
    ConfigurationOptions,
    Connections,
)
from hazelhollow.control_budget.budget import ControlBudget, RoleBudget, TrafficRole
from hazelhollow.control_budget.limiter_budget import LimiterBudget, with_gossip_rate
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.membership.authentication import MessageAuthenticator, parse_keys
from hazelhollow.membership.driver import DriverOptions, MembershipDriver, max_text_bytes
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import pack_address
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.net.engine_driver import Decisions
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.service import Service
from hazelhollow.operator import live_changes, load, logs
from hazelhollow.operator.commands import fail
from hazelhollow.operator.errors import CueError, Place, Problem
from hazelhollow.operator.settings import (
    AuditSettings,
    ControlSettings,
    FleetSettings,
    OperatorSettings,
    ReplicationSettings,
)
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.driver import EngineLink, Network, ReplicationDriver
from hazelhollow.replication.snapshot_file import SnapshotFile
from hazelhollow.shared_store.client import StoreClient
from hazelhollow.shared_store.driver import SharedStoreDriver
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_decisions import LeasedDecisions
from hazelhollow.storage.append_file import AppendFile
from hazelhollow.storage.writer import BackgroundWriter

END_WITHIN = 1.0  # seconds that the end of the process waits for the disk at most

log = structlog.get_logger(__name__)


class Port:
    """One limiter, as the audit asks it."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def settings_document(self) -> Mapping[str, Any]:
        return self._service.settings_reload.document

    def check_settings(self, document: Mapping[str, Any]) -> str:
        return self._service.settings_reload.check(document)

    def apply_settings(self, document: Mapping[str, Any]) -> str:
        return self._service.settings_reload.apply(document)

    def endpoint_list(self) -> tuple[int, str]:
        return self._service.endpoint_list.version, ":".join(
            map(str, self._service.discovery_watch.address)
        )

    def disabled_hosts(self) -> set[str]:
        return self._service.overrides.disabled

    def request_counts(self) -> dict[str, int]:
        stats = self._service.stats
        return {
            "requests": stats.requests,
            "served": stats.served,
            "refused": stats.refused,
            "failed": stats.failed,
        }

    def take_attempts(self) -> Counter[str]:
        counts, self._service.engine_driver.attempts_by_endpoint = (
            self._service.engine_driver.attempts_by_endpoint or Counter(),
            Counter(),
        )
        return counts

    def take_samples(self) -> list[str]:
        found, self._service.engine_driver.sampled_ids = self._service.engine_driver.sampled_ids, []
        return found


class Attached:
    """One limiter's subsystems, from its start to its end.

    Every call comes from the limiter's own thread.
    """

    def __init__(self, file: str, operator: OperatorSettings) -> None:
        self.file, self.operator = file, operator
        self.ledger: LeaseLedger | None = None
        self.driver: SharedStoreDriver | None = None
        self.fleet: MembershipDriver | None = None
        self.replica: ReplicationDriver | None = None
        self.audit: ConfigurationDriver | None = None
        self.control: ControlBudget | None = None
        self._budget: LimiterBudget | None = None
        self._writer = BackgroundWriter()
        self.order = self._order_told()  # of the settings that are in force
        self.seal = MessageAuthenticator(_keys(operator.fleet))
        self._seed = 0

    def settings(self, settings: api.Settings) -> api.Settings:
        """The decision module's, with its gossip's part of the control budget."""
        terms = self.operator.fleet and self.operator.fleet.control
        if not terms:
            return settings
        return with_gossip_rate(settings, terms.bytes_per_s)

    def wrap_engine(
        self, inner: Decisions, settings: api.Settings, seed: int, now: float
    ) -> Decisions:
        """The decision module, with what stands before it."""
        self._seed = seed
        terms = self.operator.store
        if terms is None:
            return inner
        self.ledger = LeaseLedger(settings, terms, base36(int(now * 1000)), now)
        return LeasedDecisions(inner, self.ledger, self._pump)

    def _pump(self) -> None:
        if self.driver:
            self.driver.pump()

    def start(self, service: Service) -> None:
        """The limiter is about to serve."""
        log.info("operator file in use", file=self.file, store=self.operator.store is not None)
        if self.ledger and self.operator.store:
            client = StoreClient(self.ledger, self.operator.store, self._seed)
            self.driver = SharedStoreDriver(service.scheduler, client)
            service.stats.store = {"books": self.ledger.counts, "link": client.counts}
            self.driver.start()
        if self.operator.fleet:
            self._begin_view(service, self.operator.fleet)

    def _begin_view(self, service: Service, terms: FleetSettings) -> None:
        settings, peers = service.settings_reload.settings, service.engine_driver.peers
        if peers is None or not settings.peers or settings.limiter_count < 2:
            log.warning(
                "no view of the fleet: the configuration allows no datagrams between "
                "limiters, or there is one alone"
            )
            return
        if terms.control:
            self._begin_control(service, peers, terms.control)
        listed = peers.knows(
            1 - min(settings.limiter_id, 1)
        )  # then those addresses are the only way used
        seeds = () if listed else tuple(seed for seed in terms.seeds if seed != peers.address)
        address = pack_address(*peers.address) if terms.seeds and not listed else ""
        view = Membership(
            MembershipSettings(
                settings.limiter_id,
                settings.limiter_count,
                self._seed,
                max_text_bytes(self.seal),
                address=address,
            ),
            service.scheduler.clock(),
            self._part(TrafficRole.MEMBERSHIP),
        )
        lines = AppendFile(Path(terms.view_file), self._writer) if terms.view_file else None
        self.fleet = MembershipDriver(
            service.scheduler,
            peers,
            view,
            self.seal,
            DriverOptions(
                service.engine_driver.notify,
                service.shutdown.begin,
                lines,
                seeds or ((peers.address,) if address else ()),
                replicates=terms.replicate is not None,
                gossip_is_paced=terms.control is not None,
            ),
        )
        service.stats.view = view.counts
        self.fleet.start()
        if terms.replicate:
            self._begin_replica(service, self.fleet, terms.replicate)
        if terms.audit:
            self._begin_audit(service, self.fleet, terms.audit)

    def _begin_control(self, service: Service, peers: PeerSocket, terms: ControlSettings) -> None:
        self._budget = LimiterBudget(
            terms.bytes_per_s, peers, service.scheduler.clock, self.seal.overhead_bytes
        )
        self.control = self._budget.budget
        service.stats.control = {role.value: self.control.usage[role] for role in TrafficRole}

    def _part(self, role: TrafficRole) -> RoleBudget | None:
        """What that role asks before it sends; nothing where there is no budget."""
        return self._budget.for_role(role) if self._budget else None

    def _begin_replica(
        self, service: Service, fleet: MembershipDriver, terms: ReplicationSettings
    ) -> None:
        peers = service.engine_driver.peers
        assert peers is not None
        file = (
            SnapshotFile(
                Path(terms.state_dir), service.settings_reload.settings.limiter_id, self._writer
            )
            if terms.state_dir
            else None
        )
        self.replica = ReplicationDriver(
            service.scheduler,
            Network(
                peers,
                fleet,
                self.seal,
                max_text_bytes(self.seal),
                self._part(TrafficRole.REPLICATION),
            ),
            EngineLink(
                EngineAccounts(service.engine.replicated_accounts),
                service.engine_driver.notify,
                service.overrides.apply,
            ),
            self._seed,
            file,
        )
        service.engine_driver.on_count = self.replica.record_charge
        service.stats.replica = self.replica.counters
        self.replica.start()

    def _begin_audit(self, service: Service, fleet: MembershipDriver, terms: AuditSettings) -> None:
        peers, me, incarnation = (
            service.engine_driver.peers,
            service.settings_reload.settings.limiter_id,
            int(service.scheduler.clock() * 1000),
        )
        assert peers is not None
        segments = (
            SegmentWriter(Path(terms.state_dir), me, incarnation, self._writer)
            if terms.state_dir
            else None
        )
        service.engine_driver.attempts_by_endpoint, service.engine_driver.max_samples = (
            Counter(),
            terms.samples,
        )
        self.audit = ConfigurationDriver(
            Connections(service.scheduler, peers, fleet, self.seal, Port(service)),
            ConfigurationOptions(
                lambda: self.order,
                AuditRecord(me, incarnation, segments),
                self._seed,
                self._part(TrafficRole.CONFIGURATION),
            ),
        )
        self.audit.start()

    def _order_told(self) -> int:
        terms = self.operator.fleet and self.operator.fleet.audit
        return terms.order if terms else 0

    def ready(self) -> bool:
        """Whether it may be given work.

        As a member that the others know, and on no older settings than they.
        """
        return self.fleet is None or self.fleet.may_admit()

    def fleet_document(self) -> dict[str, Any] | None:
        """What `call fleet` answers."""
        document = self.fleet.document() if self.fleet else None
        if document and self.replica:
            document["replica"] = self.replica.document()
        if document and self.audit:
            document["audit"] = self.audit.document()
        if document and self.control:
            document["control"] = self.control.document()
        return document

    def audit_entries(self) -> list[Any] | None:
        """What `call audit` answers."""
        return self.audit.record.newest() if self.audit else None

    def config_call(self, words: tuple[str, ...]) -> str | None:
        """What `call config ...` answers."""
        if self.audit is None:
            return None
        return operator_calls.answer(self.audit.rollouts, Path(self.file).parent, words)

    def override_made(self, server: str, down: bool) -> None:
        """An operator has put a server out or back at this limiter."""
        if self.replica:
            self.replica.set_override(server, down)
        if self.audit:
            self.audit.publish("operator call")

    def settings_in_force(self) -> None:
        """The limiter has taken the settings of its file, and no request was served by them yet."""
        if self.audit:
            self.audit.settings_reloaded()

    def stop(self) -> None:
        """The limiter has answered all and ends."""
        if self.audit:
            self.audit.end()
        if self.replica:
            self.replica.stop()
        if self.fleet:
            self.fleet.leave()
        if not self._writer.finish(END_WITHIN):
            log.warning("the disk is too slow: what was to be written last is lost")

    def reload(self, taken: bool) -> None:
        """SIGHUP: takes what can be taken live and says what needs a restart.

        A bad file changes nothing. `taken`: whether the configuration was; else the order that goes
        with it is not this limiter's yet.
        """
        try:
            new = load.load(self.file)
        except CueError as error:
            for problem in error.problems:
                log.error("the operator file stays as it was", problem=str(problem))
            return
        live, later = live_changes.changes(self.operator, new)
        if later:
            log.warning("these settings need a restart and stay as they were", settings=later)
        self._take(new, live)
        if taken:
            self.order = self._order_told()

    def _take(self, new: OperatorSettings, live: list[str]) -> None:
        if any(path.startswith("log.") for path in live):
            logs.configure(new.log)
        self.operator = live_changes.merged(self.operator, new)
        try:
            self.seal.keys = _keys(self.operator.fleet)
        except (OSError, ValueError) as error:
            log.error("the keys stay as they were", problem=str(error))
        if self.driver and self.operator.store:
            self.driver.change(
                self.operator.store
            )  # the password and key files may have changed, if nothing else
        log.info("operator file read again", taken=live)


def open_file(file: str) -> Attached:
    """Reads the file and sets up logs.

    Ends the program, with a line for each problem, if it cannot be used.
    """
    try:
        operator = load.load(file)
    except CueError as error:
        fail(error)
    logs.configure(operator.log)
    try:
        return Attached(file, operator)
    except (OSError, ValueError) as error:
        place = operator.fleet.keys_file if operator.fleet else file
        fail(CueError([Problem(Place(place, 1, 1), "fleet.keys_file", str(error))]))


def _keys(terms: FleetSettings | None) -> list[bytes]:
    """Raises OSError or ValueError for a file that cannot be used."""
    return parse_keys(Path(terms.keys_file).read_bytes()) if terms and terms.keys_file else []
