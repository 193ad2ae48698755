"""Assembles one limiter from its parts.

`Service` creates the parts in order, connects them and starts their tasks; it implements no policy
of its own. The parts:

| attribute | part | responsibility |
| --- | --- | --- |
| `frontend` | `frontend.Frontend` | clients' connections, on the configured address |
| `engine_driver` | `engine_driver.EngineDriver` | open requests, the engine's events and actions |
| `engine` | `decisions.engine.DecisionEngine` | all rate-limiting and routing decisions |
| `pool` | `connection_pool.ConnectionPool` | connections to endpoints and the attempts on them |
| `endpoint_list`, `discovery_watch` | the modules of these names | the current endpoints |
| `settings_reload` | `settings_reload.SettingsReload` | the settings in force and changes to them |
| `overrides` | `administrative_overrides.AdministrativeOverrides` | operator-disabled endpoints |
| `shutdown` | `graceful_shutdown.GracefulShutdown` | the steps of the shutdown |
| `operator_address` | `operator_address.OperatorAddress` | operators' calls, if one is configured |
"""

from __future__ import annotations

import logging

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.net.administrative_overrides import AdministrativeOverrides
from hazelhollow.net.attachment import Attachment
from hazelhollow.net.connection_pool import ConnectionPool, PoolSettings
from hazelhollow.net.discovery_watch import DiscoveryWatch
from hazelhollow.net.endpoint_list import EndpointList
from hazelhollow.net.engine_driver import Decisions, EngineDriver
from hazelhollow.net.execution_log import ExecutionLog
from hazelhollow.net.frontend import Frontend, FrontendLimits
from hazelhollow.net.graceful_shutdown import GracefulShutdown
from hazelhollow.net.operator_address import OperatorAddress
from hazelhollow.net.operator_console import OperatorConsole
from hazelhollow.net.override_file import OverrideFile, path_for
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.requests import RequestLimits
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.settings_reload import SettingsReload
from hazelhollow.net.stats import Stats
from hazelhollow.platform_config import PlatformConfig

# Seconds from the start. If discovery has not answered by then, the limiter serves from the
# endpoint list of its configuration.
READY_WITHOUT_DISCOVERY_AFTER_S = 0.5
RESERVED_DESCRIPTORS = 32  # for everything but connections to clients and endpoints
MIN_USABLE_DESCRIPTORS = 16
ENDPOINTS_DESCRIPTOR_SHARE = (2, 5)  # of the usable descriptors, for connections to endpoints
CLIENTS_DESCRIPTOR_SHARE = (3, 5)  # of the usable descriptors, for clients' connections
# Share of all descriptors for clients' connections on which a command was received. Many clients
# send one request and then keep their connection open indefinitely; above this share the longest
# idle ones are closed, so that descriptors remain for new clients.
USED_SESSIONS_SHARE = 0.25
MIN_USED_SESSIONS = 4
CLIENT_MEMORY_SHARE = 0.4  # of the memory limit, for all clients' connections together
PIPELINED_MEMORY_SHARE = 0.2  # of the memory limit, up to which clients have several requests
FORWARDING_MEMORY_SHARE = 0.125  # of the memory limit, for long values on their way to clients

log = logging.getLogger(__name__)


class Service:
    """The parts of one limiter; see the table in the module's doc comment."""

    def __init__(
        self, config: PlatformConfig, scheduler: Scheduler, attachment: Attachment | None = None
    ) -> None:
        """Binds the configured addresses. Nothing is served before `start`."""
        self.scheduler, self.stats, self.attachment = scheduler, Stats(), attachment
        descriptors = max(MIN_USABLE_DESCRIPTORS, config.sockets - RESERVED_DESCRIPTORS)
        pool_settings = PoolSettings(
            config.connect_timeout,
            config.conn_idle,
            max_connections=_share(descriptors, ENDPOINTS_DESCRIPTOR_SHARE),
        )
        self.pool = ConnectionPool(scheduler, self.stats, pool_settings)
        self.settings_reload = SettingsReload(
            config, self.stats, attachment, self._apply_settings, self._apply_addresses
        )
        self.engine = DecisionEngine(self.settings_reload.settings, config.seed)
        self.engine_driver = self._build_engine_driver(config)
        self.endpoint_list = EndpointList(scheduler.clock)
        if config.known is not None:
            self.engine_driver.notify(self.endpoint_list.apply(config.known, cached=True))
            self.pool.set_endpoints(
                self.endpoint_list.in_service_addresses(), self.endpoint_list.start_times()
            )
        self.discovery_watch = DiscoveryWatch(
            scheduler, self.stats, config.discovery, self.endpoint_list, self._endpoints_changed
        )
        if config.peer_listen:
            self.engine_driver.peers = PeerSocket(
                scheduler,
                self.stats,
                config.peer_listen,
                config.peers,
                self.engine_driver.gossip_received,
            )
        self.frontend = self._build_frontend(config, descriptors)
        self.frontend.close_idle_endpoint_connection = self.pool.close_longest_idle
        # Connections to endpoints and discovery serve all clients, so an idle client's connection
        # may be closed to free a descriptor for one of them.
        self.pool.free_descriptor = self.frontend.free_descriptor
        self.discovery_watch.free_descriptor = self.frontend.free_descriptor
        self.started_at, self._has_first_list = scheduler.clock(), False
        override_file = OverrideFile(path_for(config.name))
        self.overrides = AdministrativeOverrides(
            scheduler, override_file, self.engine_driver.notify, self._update_pool
        )
        self.overrides.poll_file()
        self.shutdown = GracefulShutdown(
            scheduler, self.frontend, self.pool, attachment, self.engine_driver.is_forwarding
        )
        self.operator_address = (
            OperatorAddress(scheduler, self.stats, OperatorConsole(self), config.operator)
            if config.operator
            else None
        )

    def start(self) -> None:
        """Starts the tasks, which the scheduler then runs."""
        if self.engine_driver.executions:
            self.engine_driver.executions.announce()
        if self.attachment:
            self.attachment.start(self)
        self.scheduler.spawn_supervised(self.discovery_watch.run, "watch")
        if self.engine_driver.peers:
            self.scheduler.spawn_supervised(self.engine_driver.peers.run, "peers")
        self.scheduler.spawn_supervised(self.frontend.run, "frontend")
        if self.operator_address:
            self.scheduler.spawn_supervised(self.operator_address.run, "operator")
        ready_at = self.scheduler.clock() + READY_WITHOUT_DISCOVERY_AFTER_S
        self.scheduler.at(ready_at, self.frontend.set_ready)

    def _build_engine_driver(self, config: PlatformConfig) -> EngineDriver:
        decisions: Decisions = self.engine
        if self.attachment:
            decisions = self.attachment.wrap_engine(
                decisions, self.settings_reload.settings, config.seed, self.scheduler.clock()
            )
        driver = EngineDriver(decisions, self.scheduler, self.pool, self.stats, config.max_open)
        driver.max_settled_units = _max_settled_units(config.settings)
        driver.classes_to_run_once = _classes_to_run_once(config.settings)
        driver.executions = ExecutionLog(config.name)
        return driver

    def _build_frontend(self, config: PlatformConfig, descriptors: int) -> Frontend:
        limits = FrontendLimits(
            config.listen,
            max_sessions=_share(descriptors, CLIENTS_DESCRIPTOR_SHARE),
            max_used_sessions=max(MIN_USED_SESSIONS, int(config.sockets * USED_SESSIONS_SHARE)),
            max_held_bytes=int(config.memory_mb * 2**20 * CLIENT_MEMORY_SHARE),
            max_pipelined_bytes=int(config.memory_mb * 2**20 * PIPELINED_MEMORY_SHARE),
            max_forwarding_bytes=int(config.memory_mb * 2**20 * FORWARDING_MEMORY_SHARE),
        )
        request_limits = RequestLimits(config.settings)
        return Frontend(self.scheduler, self.stats, self.engine_driver, request_limits, limits)

    def _endpoints_changed(self, event: api.EndpointsUpdated) -> None:
        """Handles a change of the endpoint list by discovery."""
        if not self._has_first_list:
            self._has_first_list = True
            log.info(
                "discovery's first list after %.3f s; %d requests taken before it",
                self.scheduler.clock() - self.started_at,
                self.stats.requests,
            )
        # The engine is notified first: `_update_pool` ends attempts that were not yet sent to an
        # endpoint that is removed, and the engine must then choose again from the new list.
        self.engine_driver.notify(event)
        self._update_pool()
        self.frontend.set_ready()

    def _update_pool(self) -> None:
        """Limits new attempts to endpoints that are in service and not disabled by an operator."""
        self.pool.set_endpoints(
            {
                name: address
                for name, address in self.endpoint_list.in_service_addresses().items()
                if name not in self.overrides.disabled
            },
            self.endpoint_list.start_times(),
        )

    def _apply_settings(self, settings: api.Settings) -> None:
        """Puts settings in force for requests that arrive from now on."""
        self.engine.reconfigure(settings)
        self.frontend.request_limits = RequestLimits(settings, self.frontend.request_limits)
        self.engine_driver.max_settled_units = _max_settled_units(settings)
        # Requests in transit may still name a class that these settings do not have.
        self.engine_driver.classes_to_run_once |= _classes_to_run_once(settings)

    def _apply_addresses(self, config: PlatformConfig) -> None:
        """Applies the timeouts and the discovery address of a reloaded configuration."""
        self.pool.set_timeouts(config.connect_timeout, config.conn_idle)
        log.info("reloaded: discovery at %s:%d", *config.discovery)
        self.discovery_watch.change_address(config.discovery)


def _share(count: int, share: tuple[int, int]) -> int:
    return count * share[0] // share[1]


def _classes_to_run_once(settings: api.Settings) -> frozenset[str]:
    return frozenset(kind.name for kind in settings.classes if kind.effect != "safe")


def _max_settled_units(settings: api.Settings) -> float:
    return settings.max_units if settings.post_paid else 0.0
