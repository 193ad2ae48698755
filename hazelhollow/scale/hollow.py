"""A hollow limiter.

The real decision module, view, replica and audit with their real drivers, without clients and
servers.

Many of them share one scheduler. Each incarnation of one has a scheduler of its own in front of it,
which counts every timer's call as the role of whom it calls, and which falls silent when the
incarnation ends.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
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
from hazelhollow.net.attempts import Attempt, AttemptResult
from hazelhollow.net.close_reason import CloseReason, attempt_status
from hazelhollow.net.connection_pool import ConnectionPool
from hazelhollow.net.engine_driver import EngineDriver
from hazelhollow.net.scheduler import Scheduler, Timer
from hazelhollow.net.stats import Stats
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.driver import EngineLink, Network, ReplicationDriver
from hazelhollow.scale.load import Drawn, service_time
from hazelhollow.scale.measure import Meter
from hazelhollow.scale.network import HollowPeers
from hazelhollow.scale.plan import FleetTerms
from hazelhollow.scale.results import Role
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import KnownSettings, parse_settings

MOST_OPEN = 20_000  # requests, as a real limiter's configuration has it
KEY = b"the key of a scale run, which is no secret"
DRIVERS: tuple[tuple[type, Role], ...] = (
    (MembershipDriver, Role.VIEW),
    (ReplicationDriver, Role.REPLICATION),
    (ConfigurationDriver, Role.AUDIT),
    (ConnectionPool, Role.REQUESTS),
)


def role_of_call(call: Callable[..., object]) -> Role:
    """Whose a timer is."""
    owner = getattr(call, "__self__", None)
    if isinstance(
        owner, EngineDriver
    ):  # the decision module's one timer is its gossip's; the others are requests'
        return Role.GOSSIP if getattr(call, "__name__", "") == "_timer_fired" else Role.REQUESTS
    return next((role for kind, role in DRIVERS if isinstance(owner, kind)), Role.TIMERS)


class OwnScheduler(Scheduler):
    """One incarnation's part of the shared scheduler."""

    def __init__(self, shared: Scheduler, meter: Meter) -> None:
        self._shared, self._meter = shared, meter
        self.clock, self.on_process_pause = shared.clock, None
        self.alive = True

    def __getattr__(self, name: str) -> Any:
        """What this one does not keep itself, such as when the loop polled last, is the shared
        one's.
        """
        return getattr(self._shared, name)

    def at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        return self._shared.at(when, self._play, role_of_call(call), call, args)

    def time_since_poll(self) -> float:
        return self._shared.time_since_poll()

    def _play(self, role: Role, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.alive:
            self._meter.turn(role, call, *args)

    def later(self, call: Callable[[], object]) -> None:
        self._shared.at_end_of_turn(lambda: self._play(Role.REQUESTS, call, ()))


class HollowBackend(ConnectionPool):
    """Modelled servers: each attempt is answered after a drawn time."""

    def __init__(self, scheduler: Scheduler, seed: int, service_s: float) -> None:
        self._scheduler, self._service_s = scheduler, service_s
        self._chance = random.Random(seed)

    def start(
        self,
        name: str,
        command: bytes,
        done: Callable[[AttemptResult], None],
        look: Callable[[], object] = lambda: None,
    ) -> Attempt:
        now = self._scheduler.clock()
        attempt = Attempt(name, command, done, look, now)
        self._scheduler.at(now + service_time(self._chance, self._service_s), self.answer, attempt)
        return attempt

    def answer(self, attempt: Attempt) -> None:
        """Its server has answered."""
        attempt.finish(AttemptResult("ok"))

    def abort(self, attempt: Attempt, reason: CloseReason) -> None:
        attempt.finish(AttemptResult(attempt_status(reason, True)))

    def withdraw(self, attempt: Attempt, reason: CloseReason) -> None:
        """Every attempt goes out whole at once."""


class HollowRequest:
    """One modelled request.

    What the limiter reads, and its client, who notes what becomes of it.
    """

    __slots__ = ("request", "let_in")

    def __init__(self, request: api.RequestArrived) -> None:
        self.request, self.let_in = request, False

    def command(self, wait_ms: int) -> bytes:
        self.let_in = True
        return b""

    def send_value(self, value: bytes) -> None:
        """An answer, which nobody reads."""

    def send_busy(self, retry_after_ms: int) -> None:
        """A refusal; modelled clients do not come again."""

    def send_failure(self) -> None:
        """An error."""

    def has_disconnected(self) -> bool:
        """Modelled clients wait for their answer."""
        return False


class Told:
    """What a limiter is told at its start.

    `document`: its settings; `settings`: the same as the decision module takes them; `order`: the
    operator's number of them.
    """

    def __init__(
        self, document: Mapping[str, Any], order: int, settings: api.Settings | None = None
    ) -> None:
        self.document, self.order = document, order
        self.settings = settings or parse_settings(Fields("settings", dict(document)))


class Life:
    """One limiter from its start to its end.

    Implements what the audit asks of a limiter (`configuration.state.ConfigurableLimiter`).
    """

    def __init__(
        self,
        shared: Scheduler,
        meter: Meter,
        peers: HollowPeers,
        told: Told,
        terms: FleetTerms,
        seed: int,
        saw: Callable[[Record], None],
        acts_on: Callable[[int], None],
    ) -> None:
        self.scheduler, self._meter, self._peers = OwnScheduler(shared, meter), meter, peers
        self._document, self.order, self._settings = told.document, told.order, told.settings
        # Settings that were found to be sound, and what they were read from.
        self._checked: tuple[Mapping[str, Any] | None, api.Settings] = (None, told.settings)
        self._acts_on, self._seed, self._terms, self._saw = acts_on, seed, terms, saw
        self.stats = Stats()
        self._budget: LimiterBudget | None = None
        if terms.control_bytes_per_s:
            self._settings = with_gossip_rate(told.settings, terms.control_bytes_per_s)
        self.gateway = DecisionEngine(self._settings, seed)
        self.limiter = EngineDriver(
            self.gateway,
            self.scheduler,
            HollowBackend(self.scheduler, seed, terms.service_s),
            self.stats,
            MOST_OPEN,
        )
        self.limiter.peers = peers
        self.fleet: MembershipDriver | None = None
        self.replica: ReplicationDriver | None = None
        self.audit: ConfigurationDriver | None = None
        self._serial = 0

    # Its start and its end

    def start(self, servers: tuple[api.EndpointEntry, ...]) -> None:
        """It is given its list of servers and meets the fleet.

        As the operator's file switches its subsystems on.
        """
        self._peers.renew(self.stats, self.limiter.gossip_received)
        self.list_servers(api.EndpointsUpdated("full", servers))
        seal, number = (
            MessageAuthenticator([KEY] if self._terms.sealed else []),
            self._settings.limiter_id,
        )
        now, most = self.scheduler.clock(), max_text_bytes(seal)
        if self._terms.control_bytes_per_s:
            clock = self.scheduler.clock
            self._budget = LimiterBudget(
                self._terms.control_bytes_per_s, self._peers, clock, seal.overhead_bytes
            )
        allowance = self._part(TrafficRole.MEMBERSHIP)
        view = Membership(
            MembershipSettings(number, self._settings.limiter_count, self._seed, most),
            now,
            allowance,
        )
        view.table.subscribe(self._saw)
        self.fleet = MembershipDriver(
            self.scheduler,
            self._peers,
            view,
            seal,
            DriverOptions(
                self.limiter.notify,
                self._leave,
                replicates=self._terms.replicate,
                gossip_is_paced=self._terms.control_bytes_per_s > 0,
            ),
        )
        self._meter.turn(Role.VIEW, self.fleet.start)
        if self._terms.replicate:
            self._start_replica(self.fleet, seal, most)
        if self._terms.audit:
            self._start_audit(self.fleet, seal, int(now * 1000))

    def _start_replica(
        self, fleet: MembershipDriver, seal: MessageAuthenticator, most: int
    ) -> None:
        self.replica = ReplicationDriver(
            self.scheduler,
            Network(self._peers, fleet, seal, most, self._part(TrafficRole.REPLICATION)),
            EngineLink(
                EngineAccounts(self.gateway.replicated_accounts),
                self.limiter.notify,
                lambda calls: None,
            ),
            self._seed,
        )
        self.limiter.on_count = self.replica.record_charge
        self._meter.turn(Role.REPLICATION, self.replica.start)

    def _start_audit(
        self, fleet: MembershipDriver, seal: MessageAuthenticator, incarnation: int
    ) -> None:
        record = AuditRecord(self._settings.limiter_id, incarnation)
        self.limiter.attempts_by_endpoint = Counter()
        self.audit = ConfigurationDriver(
            Connections(self.scheduler, self._peers, fleet, seal, self),
            ConfigurationOptions(
                lambda: self.order, record, self._seed, self._part(TrafficRole.CONFIGURATION)
            ),
        )
        self._meter.turn(Role.AUDIT, self.audit.start)

    def _part(self, role: TrafficRole) -> RoleBudget | None:
        """What that role asks before it sends; nothing where there is no budget."""
        return self._budget.for_role(role) if self._budget else None

    def _leave(self) -> None:
        """Another process has its number, which cannot be here."""
        raise AssertionError(f"limiter {self._settings.limiter_id} met a twin")

    def leave(self) -> None:
        """It says that it goes, and goes."""
        if self.fleet:
            self._meter.turn(Role.VIEW, self.fleet.leave)
        self.crash()

    def crash(self) -> None:
        """It is gone from one moment to the next."""
        self.scheduler.alive, self._peers.dead = False, True

    # What happens to it

    def list_servers(self, event: api.EndpointsUpdated) -> None:
        """Discovery's news."""
        self._meter.turn(Role.LIST, self.limiter.notify, event)

    def ask(self, drawn: Drawn, request: api.RequestArrived) -> bool:
        """A request comes; whether it is let in."""
        asked = HollowRequest(request)
        self._meter.turn(Role.REQUESTS, self.limiter.submit, asked, asked)
        return asked.let_in

    def next_id(self) -> str:
        """A name for a request, as no other of this limiter has it."""
        self._serial += 1
        return f"{self._settings.limiter_id}-{self._serial}"

    def order_settings(self, document: Mapping[str, Any], order: int) -> None:
        """An operator has given this limiter new settings, and it reads them."""
        self._meter.turn(Role.AUDIT, self._take_order, document, order)

    def _take_order(self, document: Mapping[str, Any], order: int) -> None:
        self.order = order
        trouble = self.apply_settings(document)
        assert not trouble, trouble

    # What the audit asks (configuration.state.ConfigurableLimiter)

    def settings_document(self) -> Mapping[str, Any]:
        return self._document

    def check_settings(self, document: Mapping[str, Any]) -> str:
        try:
            self._checked = document, self._read(self._with_own(document))
        except (WireError, ValueError) as error:
            return str(error)
        return ""

    def _with_own(self, document: Mapping[str, Any]) -> dict[str, Any]:
        return {**document, **{name: self._document[name] for name in ("position", "zone")}}

    def _read(self, whole: dict[str, Any]) -> api.Settings:
        known = KnownSettings(self._document, self._settings)
        return parse_settings(Fields("settings", whole), known)

    def apply_settings(self, document: Mapping[str, Any]) -> str:
        """Settings of the operator or of a peer.

        As `net.settings_reload.SettingsReload.apply` takes them.
        """
        trouble = self.check_settings(document) if document is not self._checked[0] else ""
        if trouble:
            return trouble
        whole, settings = self._with_own(document), self._checked[1]
        self._document, self._settings = whole, settings
        self.gateway.retune(settings)
        self._acts_on(settings.limiter_id)
        return ""

    def endpoint_list(self) -> tuple[int, str]:
        return 1, "127.0.0.1:0"

    def disabled_hosts(self) -> set[str]:
        return set()

    def request_counts(self) -> dict[str, int]:
        stats = self.stats
        return {
            "requests": stats.requests,
            "served": stats.served,
            "refused": stats.refused,
            "failed": stats.failed,
        }

    def take_attempts(self) -> Counter[str]:
        counts, self.limiter.attempts_by_endpoint = (
            self.limiter.attempts_by_endpoint or Counter(),
            Counter(),
        )
        return counts

    def take_samples(self) -> list[str]:
        return []
