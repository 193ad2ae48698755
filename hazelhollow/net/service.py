"""One limiter's parts put together, its start, its signals and its end."""

from __future__ import annotations

import logging
import signal
import socket
import sys
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from hazelhollow import early_signals
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.net.backend import Backend
from hazelhollow.net.bans import BanFile, path_for
from hazelhollow.net.engine_driver import Decisions, Limiter
from hazelhollow.net.frontend import Frontend
from hazelhollow.net.gc_pauses import shorten_collector_pauses
from hazelhollow.net.operator_address import Address
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.requests import Terms
from hazelhollow.net.routing import Table, Watch
from hazelhollow.net.scheduler import READABLE, Clock, Scheduler
from hazelhollow.net.session import LINGER
from hazelhollow.net.session_table import KEPT_SHARE, MEMORY_SHARE
from hazelhollow.net.stats import Stats
from hazelhollow.platform_config import PlatformConfig, PlatformConfigError
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import KnownSettings, parse_settings

# seconds: then it serves with the list it knows, though discovery has not answered
READY_WITHIN = 0.5
# seconds past SIGTERM: clients come for up to 0.4 s; then connections end between requests
LEAVE_AFTER = 0.5
STAY = (
    # seconds past SIGTERM: what comes later might not be answered before SIGKILL, and is taken by
    # nobody
    0.7
)
STEP = 0.02
BANS_EVERY = (
    # seconds between looks at the file of bans, which a process beside this one may have changed
    0.25
)
RESERVE = 32  # descriptors for all that is neither a client's nor a backend host's

MOST_NAMED = 8  # classes that a log line names

log = logging.getLogger(__name__)


class Attachment(Protocol):
    """What an operator file adds to a limiter.

    Without one there is none, and nothing of it is imported.
    """

    def settings(self, settings: api.Settings) -> api.Settings: ...
    def decisions(
        self, inner: Decisions, settings: api.Settings, seed: int, now: float
    ) -> Decisions: ...
    def begin(self, service: Service) -> None: ...
    def reload(self, taken: bool) -> None: ...
    def settings_in_force(self) -> None: ...
    def ready(self) -> bool: ...
    def view(self) -> dict[str, Any] | None: ...
    def written(self) -> list[Any] | None: ...
    def config_call(self, words: tuple[str, ...]) -> str | None: ...
    def called(self, server: str, down: bool) -> None: ...
    def end(self) -> None: ...


class Service:
    def __init__(
        self, config: PlatformConfig, scheduler: Scheduler, attached: Attachment | None = None
    ) -> None:
        self.scheduler, self.stats = scheduler, Stats()
        room = max(16, config.sockets - RESERVE)
        self.backend = Backend(
            scheduler,
            self.stats,
            config.connect_timeout,
            config.conn_idle,
            most_lines=room * 2 // 5,
        )
        self.attached = attached
        self.settings, self.document = self._own(config.settings), config.document
        # Settings that were found to be sound, and what they were read from.
        self._checked: tuple[Mapping[str, Any] | None, api.Settings] = (None, self.settings)
        self.gateway = DecisionEngine(self.settings, config.seed)
        decisions: Decisions = self.gateway
        if attached:
            decisions = attached.decisions(decisions, self.settings, config.seed, scheduler.clock())
        self.limiter = Limiter(decisions, scheduler, self.backend, self.stats, config.max_open)
        self.limiter.most_units = config.settings.max_units if config.settings.post_paid else 0.0
        self.table = Table()
        if config.known is not None:
            self.limiter.told(self.table.apply(config.known, cached=True))
            self.backend.update(self.table.open_addresses())
        self.watch = Watch(
            scheduler,
            self.stats,
            config.discovery,
            self.table,
            self._changed,
            self._free_descriptor,
        )
        self.backend.make_room = self._free_descriptor
        if config.peer_listen:
            self.limiter.peers = PeerSocket(
                scheduler, self.stats, config.peer_listen, config.peers, self.limiter.heard
            )
        held = int(config.memory_mb * 2**20 * MEMORY_SHARE)
        self.frontend = Frontend(
            scheduler,
            self.stats,
            self.limiter,
            Terms(config.settings),
            config.listen,
            room * 3 // 5,
            max(4, int(config.sockets * KEPT_SHARE)),
            held,
            self.backend.spare,
        )
        self.leaving = False
        self.began, self.first_list = scheduler.clock(), False
        self.bans, self.banned = BanFile(path_for(config.name)), set[str]()
        self.take_bans()
        self.operator = (
            Address(scheduler, self.stats, Desk(self), config.operator) if config.operator else None
        )

    def _free_descriptor(self) -> bool:
        """For a connection to a backend host or to discovery, which serve all clients.

        An idle one goes for it.
        """
        return self.frontend.free_descriptor()

    def start(self) -> None:
        if self.attached:
            self.attached.begin(self)
        self.scheduler.spawn_supervised(self.watch.run, "watch")
        if self.limiter.peers:
            self.scheduler.spawn_supervised(self.limiter.peers.run, "peers")
        self.scheduler.spawn_supervised(self.frontend.run, "frontend")
        if self.operator:
            self.scheduler.spawn_supervised(self.operator.run, "operator")
        self.scheduler.at(self.scheduler.clock() + READY_WITHIN, self.frontend.ready)

    def own_figures(self) -> dict[str, Any]:
        stats, listed = self.stats, self.table.entries
        targets = {name for name, entry in listed.items() if entry.state != "gone"}
        return {
            "replies": {kind: dict(counts) for kind, counts in stats.replies.items()},
            "dispatches": stats.dispatches,
            "concurrent": self.limiter.concurrent(),
            "targets": len(targets),
            "targets_disabled": len(targets & self.gateway.unavailable_endpoints()),
            "reload_success": stats.reload_success,
            "reload_failure": stats.reload_failure,
        }

    def take_bans(self) -> None:
        """What the file says now, from this process or the other one of an upgrade."""
        self.scheduler.at(self.scheduler.clock() + BANS_EVERY, self.take_bans)
        found = self.bans.read()
        if found is not None and found != self.banned:
            self.set_bans(found, write=False)

    def set_bans(self, down: set[str], write: bool = True) -> None:
        for server in sorted(down - self.banned):
            log.warning("server %s is left out by hand", server)
            self.limiter.ban(server, True)
        for server in sorted(self.banned - down):
            log.warning("server %s is put back by hand", server)
            self.limiter.ban(server, False)
        self.banned = set(down)
        self._update_hosts()
        if write:
            self.bans.write(self.banned)

    def take_calls(self, calls: dict[str, bool]) -> None:
        """Servers that operators have put out (or back), here or at a peer."""
        down = {server for server in self.banned if server not in calls} | {
            server for server, out in calls.items() if out
        }
        if down != self.banned:
            self.set_bans(down)

    def _changed(self, event: api.EndpointsUpdated) -> None:
        if not self.first_list:
            self.first_list = True
            log.info(
                "discovery's first list after %.3f s; %d requests taken before it",
                self.scheduler.clock() - self.began,
                self.stats.requests,
            )
        # First the module: an attempt that has not left for a host that goes ends with `update`,
        # and the module then chooses anew from the list as it stands.
        self.limiter.told(event)
        self._update_hosts()
        self.frontend.ready()

    def _update_hosts(self) -> None:
        """An attempt that has not left for a host that drains, is gone or was put out by hand never
        will.
        """
        self.backend.update(
            {k: v for k, v in self.table.open_addresses().items() if k not in self.banned}
        )

    def reload(self, reread: Callable[[], PlatformConfig]) -> None:
        """Takes the addresses of the new file; clients, attempts and budgets stay.

        A bad file changes nothing.
        """
        try:
            config = reread()
            _changeable(self.settings, config.settings)
        except PlatformConfigError as error:
            self.stats.reload_failure += 1
            log.error("the configuration stays as it was: %s", error)
            if self.attached:
                self.attached.reload(taken=False)
            return
        if self.attached:
            self.attached.reload(taken=True)
        self.stats.reload_success += 1
        self._retune(config.settings, config.document)
        if self.attached:
            self.attached.settings_in_force()
        self.backend.retune(config.connect_timeout, config.conn_idle)
        log.info("reloaded: discovery at %s:%d", *config.discovery)
        self.watch.move(config.discovery)

    def _own(self, settings: api.Settings) -> api.Settings:
        """With what the operator file adds."""
        return self.attached.settings(settings) if self.attached else settings

    def _retune(self, told: api.Settings, document: Mapping[str, Any]) -> None:
        self.document, settings = document, self._own(told)
        if settings != self.settings:
            # Requests that are open keep the class and the attempts that they came with; new ones
            # take the new.
            self.settings = settings
            self.gateway.retune(settings)
            self.frontend.terms = Terms(settings, self.frontend.terms)
            self.limiter.most_units = settings.max_units if settings.post_paid else 0.0
            names = [kind.name for kind in settings.classes[:MOST_NAMED]]
            log.info("settings: %d classes: %s", len(settings.classes), ", ".join(names))

    def check_settings(self, document: Mapping[str, Any]) -> str:
        """What is wrong with settings that a peer has given, or nothing."""
        try:
            self._checked = document, self._read_settings(self._with_own(document))
        except (WireError, PlatformConfigError, ValueError) as error:
            return str(error)
        return ""

    def take_settings(self, document: Mapping[str, Any]) -> str:
        """Settings that a peer has given, as a file's would be read.

        What is wrong with them, or nothing.
        """
        trouble = self.check_settings(document) if document is not self._checked[0] else ""
        settings, self._checked = self._checked[1], (None, self.settings)
        if not trouble:
            self._retune(settings, self._with_own(document))
        return trouble

    def _with_own(self, document: Mapping[str, Any]) -> dict[str, Any]:
        own = {name: self.document[name] for name in ("position", "zone") if name in self.document}
        return {**document, **own}

    def _read_settings(self, whole: Mapping[str, Any]) -> api.Settings:
        """Raises WireError, ConfigError or ValueError for what a running limiter cannot take."""
        known = KnownSettings(self.document, self.settings)
        settings = parse_settings(Fields("settings", whole), known)
        _changeable(self.settings, settings)
        return settings

    def print_counters_every(self, seconds: float) -> None:
        def run() -> None:
            clock = self.scheduler.clock
            while True:
                self.scheduler.wait(until=(clock() // seconds + 1) * seconds)
                self.stats.at = round(clock(), 3)
                print(self.stats.text(), file=sys.stderr, flush=True)

        self.scheduler.spawn_supervised(run, name="counters")

    def leave(self) -> None:
        """Serves on for a while, answers all that was taken, then ends the loop."""
        if not self.leaving:
            self.leaving = True
            self.scheduler.spawn(self._leave, self.scheduler.clock(), name="leave")

    def _leave(self, began: float) -> None:
        self.scheduler.wait(until=began + LEAVE_AFTER)
        self.frontend.finish()
        self.scheduler.wait(until=began + STAY)
        self.frontend.close()
        # By then each answer has been due; who has not taken its own will not.
        until = began + STAY + max(self.frontend.terms.longest.values(), default=0.0) + LINGER
        while not self.frontend.places.is_empty() and self.scheduler.clock() < until:
            self.frontend.finish(taking=False)
            self.scheduler.sleep(STEP)
        if self.attached:
            self.attached.end()
        log.info("left after %.2f s", self.scheduler.clock() - began)
        self.backend.close()
        self.scheduler.stop()


def _changeable(old: api.Settings, new: api.Settings) -> None:
    """What a running limiter cannot take.

    Who it is among the others, and the plans that its budgets belong to.
    """
    if (old.limiter_id, old.limiter_count, old.plans) != (
        new.limiter_id,
        new.limiter_count,
        new.plans,
    ):
        raise PlatformConfigError(
            "plans, position and the number of limiters change with a restart only"
        )


class Desk:
    """What the operator address asks of this limiter."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def ready(self) -> bool:
        service = self._service
        return (
            service.frontend.is_ready()
            and not service.leaving
            and (not service.attached or service.attached.ready())
        )

    def figures(self) -> dict[str, Any]:
        """As of now, from the start of this process."""
        return self._service.own_figures()

    def fleet(self) -> dict[str, Any] | None:
        return self._service.attached.view() if self._service.attached else None

    def audit(self) -> list[Any] | None:
        return self._service.attached.written() if self._service.attached else None

    def config(self, words: tuple[str, ...]) -> str | None:
        return self._service.attached.config_call(words) if self._service.attached else None

    def set_down(self, server: str) -> str | None:
        return self._set(server, True)

    def set_up(self, server: str) -> str | None:
        return self._set(server, False)

    def _set(self, server: str, down: bool) -> str | None:
        """Said twice, a call is done twice and changes nothing the second time."""
        service = self._service
        if server not in service.table.ever and server not in service.banned:
            return f"no server '{server}' has been listed"
        service.set_bans(service.banned | {server} if down else service.banned - {server})
        if service.attached:
            service.attached.called(server, down)
        return None


def serve(
    config: PlatformConfig,
    reread: Callable[[], PlatformConfig],
    attached: Attachment | None = None,
    counters: float | None = None,
) -> None:
    """Until SIGTERM or SIGINT. SIGHUP reads the configuration again, SIGUSR1 prints the counters.

    `counters`: seconds after which they are printed again and again, at whole multiples of that on
    the clock, so that the lines of several limiters belong together.
    """
    scheduler = Scheduler(Clock())
    service = Service(config, scheduler, attached)
    inner, outer = socket.socketpair()
    for end in (inner, outer):
        end.setblocking(False)
    signal.set_wakeup_fd(outer.fileno(), warn_on_full_buffer=False)
    for number in early_signals.NUMBERS:
        signal.signal(number, lambda *_: None)  # the number comes through the socket pair
    outer.send(
        early_signals.held()
    )  # what came before there was one; what came in between comes twice, which changes nothing
    scheduler.spawn_supervised(lambda: _signals(service, inner, reread), name="signals")
    service.start()
    if counters:
        service.print_counters_every(counters)
    log.info("%s listens at %s:%d", config.name, *service.frontend.address)
    shorten_collector_pauses()
    scheduler.run()
    print(service.stats.text(), file=sys.stderr, flush=True)


def _signals(service: Service, source: socket.socket, reread: Callable[[], PlatformConfig]) -> None:
    while True:
        service.scheduler.wait(source.fileno(), READABLE)
        for number in source.recv(64):
            # Each in a task of its own: where one fails, those that came with it are acted on all
            # the same.
            service.scheduler.spawn(_act_on, number, service, reread, name="signal")


def _act_on(number: int, service: Service, reread: Callable[[], PlatformConfig]) -> None:
    if number == signal.SIGUSR1:
        print(service.stats.text(), file=sys.stderr, flush=True)
    elif number == signal.SIGHUP:
        service.reload(reread)
    else:
        service.leave()
