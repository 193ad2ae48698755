"""Attaches to a limiter what its operator file switches on: logs, shared store and fleet."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import structlog

from hazelhollow.configuration import operator_calls
from hazelhollow.control_budget.limiter_budget import with_gossip_rate
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.membership.authentication import MessageAuthenticator, parse_keys
from hazelhollow.net.engine_driver import Decisions
from hazelhollow.net.service import Service
from hazelhollow.operator import live_changes, load, logs
from hazelhollow.operator.commands import fail
from hazelhollow.operator.errors import CueError, Place, Problem
from hazelhollow.operator.fleet_subsystems import FleetSubsystems, SubsystemContext
from hazelhollow.operator.settings import FleetSettings, OperatorSettings
from hazelhollow.shared_store.client import StoreClient
from hazelhollow.shared_store.driver import SharedStoreDriver
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.shared_store.leased_decisions import LeasedDecisions
from hazelhollow.storage.writer import BackgroundWriter

DISK_TIMEOUT_S = 1.0  # maximum wait for pending writes at the end of the process
MILLISECONDS_PER_S = 1000

log = structlog.get_logger(__name__)


class Attached:
    """Implements `net.attachment.Attachment`, which says when each method is called.

    Args:
        file: Path of the operator file.
        operator: Its settings as read at the start.

    Raises:
        OSError: The keys file cannot be read.
        ValueError: The keys file contains no usable key.
    """

    def __init__(self, file: str, operator: OperatorSettings) -> None:
        self.file, self.operator = file, operator
        self.ledger: LeaseLedger | None = None
        self.store_driver: SharedStoreDriver | None = None
        self.fleet: FleetSubsystems | None = None
        self._writer = BackgroundWriter()
        self.revision = self._revision_of_file()  # revision of the settings in force
        self.authenticator = MessageAuthenticator(_load_keys(operator.fleet))
        self._seed = 0

    # At the start

    def settings(self, settings: api.Settings) -> api.Settings:
        """Returns the engine's settings with gossip's part of the control budget."""
        control = self.operator.fleet and self.operator.fleet.control
        return with_gossip_rate(settings, control.bytes_per_s) if control else settings

    def wrap_engine(
        self, inner: Decisions, settings: api.Settings, seed: int, now: float
    ) -> Decisions:
        """Returns the engine, wrapped with the ledger of the shared store if there is a store."""
        self._seed = seed
        store = self.operator.store
        if store is None:
            return inner
        incarnation = base36(int(now * MILLISECONDS_PER_S))
        self.ledger = LeaseLedger(settings, store, incarnation, now)
        return LeasedDecisions(inner, self.ledger, self._send_lease_calls)

    def _send_lease_calls(self) -> None:
        if self.store_driver:
            self.store_driver.pump()

    def start(self, service: Service) -> None:
        """Starts the subsystems of a service that is about to serve."""
        log.info("operator file in use", file=self.file, store=self.operator.store is not None)
        if self.ledger and self.operator.store:
            client = StoreClient(self.ledger, self.operator.store, self._seed)
            self.store_driver = SharedStoreDriver(service.scheduler, client)
            service.stats.store = {"books": self.ledger.counts, "link": client.counts}
            self.store_driver.start()
        if self.operator.fleet:
            context = SubsystemContext(
                self.authenticator, self._writer, self._seed, lambda: self.revision
            )
            self.fleet = FleetSubsystems(service, self.operator.fleet, context)
            self.fleet.start()

    # Operators' calls

    def ready(self) -> bool:
        """Whether the limiter may receive new requests."""
        return self.fleet is None or self.fleet.may_admit()

    def fleet_document(self) -> dict[str, Any] | None:
        """Returns the answer to `call fleet`; None without fleet subsystems."""
        return self.fleet.document() if self.fleet else None

    def audit_entries(self) -> list[Any] | None:
        """Returns the answer to `call audit`; None without the configuration subsystem."""
        configuration = self.fleet and self.fleet.configuration
        return configuration.record.newest() if configuration else None

    def config_call(self, arguments: tuple[str, ...]) -> str | None:
        """Returns the answer to `call config ...`; None without the configuration subsystem."""
        configuration = self.fleet and self.fleet.configuration
        if not configuration:
            return None
        return operator_calls.answer(configuration.rollouts, Path(self.file).parent, arguments)

    def override_set(self, endpoint: str, disabled: bool) -> None:
        """Passes on that an operator has disabled or enabled an endpoint at this limiter."""
        if self.fleet:
            self.fleet.override_set(endpoint, disabled)

    # Reload and end

    def settings_applied(self) -> None:
        """Handles reloaded settings that are in force but have not served a request yet."""
        configuration = self.fleet and self.fleet.configuration
        if configuration:
            configuration.settings_reloaded()

    def reload(self, config_accepted: bool) -> None:
        """Reads the operator file again and applies the changes that need no restart.

        A file with problems changes nothing. If the platform's configuration was not accepted
        (`config_accepted`), the file's revision is not adopted, since it covers that configuration
        too.
        """
        try:
            new = load.load(self.file)
        except CueError as error:
            for problem in error.problems:
                log.error("operator file rejected, no setting changes", problem=str(problem))
            return
        live, restart = live_changes.changes(self.operator, new)
        if restart:
            log.warning("changed settings need a restart, old values stay", settings=restart)
        self._apply(new, live)
        if config_accepted:
            self.revision = self._revision_of_file()

    def _apply(self, new: OperatorSettings, live: list[str]) -> None:
        if any(path.startswith("log.") for path in live):
            logs.configure(new.log)
        self.operator = live_changes.merged(self.operator, new)
        try:
            self.authenticator.keys = _load_keys(self.operator.fleet)
        except (OSError, ValueError) as error:
            log.error("keys file rejected, the old keys stay in use", problem=str(error))
        if self.store_driver and self.operator.store:
            # The password and key files may have changed even if the settings have not.
            self.store_driver.change(self.operator.store)
        log.info("operator file read again", taken=live)

    def _revision_of_file(self) -> int:
        audit = self.operator.fleet and self.operator.fleet.audit
        return audit.order if audit else 0

    def stop(self) -> None:
        """Stops the subsystems after the limiter has answered every request."""
        if self.fleet:
            self.fleet.end()
        if not self._writer.finish(DISK_TIMEOUT_S):
            log.warning(f"the disk is too slow: writes pending after {DISK_TIMEOUT_S} s are lost")


def open_file(file: str) -> Attached:
    """Reads the operator file and sets up logging.

    If the file cannot be used, prints one line for each problem and exits.
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


def _load_keys(settings: FleetSettings | None) -> list[bytes]:
    if settings is None or not settings.keys_file:
        return []
    return parse_keys(Path(settings.keys_file).read_bytes())
