"""The client-facing side: the listening socket, its sessions, and their periodic check.

The frontend accepts clients while the session limit and the descriptors allow it, delays requests
until the limiter is ready, and every quarter of a second ends sessions that have timed out or hold
too much memory.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass

from hazelhollow.net import stream
from hazelhollow.net.client_memory import ClientMemory
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.engine_driver import EngineDriver
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.requests import RequestLimits
from hazelhollow.net.scheduler import READABLE, Scheduler
from hazelhollow.net.session import MAX_UNSENT_BYTES, Session
from hazelhollow.net.session_table import SessionTable
from hazelhollow.net.stats import Stats
from hazelhollow.net.value_forwarding import ForwardingWindow

MAX_ACCEPTS_PER_TURN = 16  # connections, before other tasks run
LISTEN_BACKLOG = 1024
ACCEPT_PAUSE_S = 0.05  # when the session limit is reached or no descriptor is left
SESSION_CHECK_INTERVAL_S = 0.25
MAX_PASSING_ACCEPT_FAILURES = 5  # in a row, after which a shortage counts as lasting
MAX_ACCEPT_FAILURES = 64  # of the calls that empty the accept queue before the socket is closed

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class FrontendLimits:
    """Where clients connect, and which resources they may use.

    Attributes:
        listen: The address; with port 0 the operating system picks a port.
        max_sessions: The maximum number of concurrent client connections.
        max_used_sessions: The maximum number of those that have sent a command.
        max_held_bytes: The maximum memory held for all clients together.
        max_pipelined_bytes: The part of it up to which a client may have more than one request.
        max_forwarding_bytes: The part of it for values that are being forwarded.
    """

    listen: tuple[str, int]
    max_sessions: int
    max_used_sessions: int
    max_held_bytes: int
    max_pipelined_bytes: int
    max_forwarding_bytes: int


class Frontend:
    """The listening socket and the sessions accepted on it.

    Attributes:
        request_limits: What the settings allow in a request; replaced when the settings change.
        sessions: The clients' connections.
        memory: Counts what is held for all clients together.
        log: For what clients cause, which may come at any rate.
        forwarding: Bounds the memory of long values on their way to clients.
        address: The address that the socket listens on.
        close_idle_endpoint_connection: Frees a descriptor by closing an idle connection to an
            endpoint; returns whether there was one.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        engine_driver: EngineDriver,
        request_limits: RequestLimits,
        limits: FrontendLimits,
    ) -> None:
        """Starts to listen; `run` accepts connections.

        Raises:
            OSError: The address cannot be bound or listened on.
        """
        self.scheduler, self.stats, self.engine_driver = scheduler, stats, engine_driver
        self.request_limits = request_limits
        self.sessions = SessionTable(limits.max_sessions, limits.max_used_sessions)
        self.memory = ClientMemory(
            limits.max_held_bytes, limits.max_pipelined_bytes, scheduler.at_end_of_turn
        )
        self.log = RateLimitedLog(log, scheduler.clock)
        self.forwarding = ForwardingWindow(limits.max_forwarding_bytes)
        self.close_idle_endpoint_connection: Callable[[], bool] = lambda: False
        self._ready = False
        self._accept_failures = 0  # in a row
        self._waiting_for_ready: list[Callable[[], None]] = []
        scheduler.at(scheduler.clock() + SESSION_CHECK_INTERVAL_S, self._check_sessions)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # During an upgrade the new process starts beside this one and listens on the same address
        # before this one exits.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.setblocking(False)
        self._sock.bind(limits.listen)
        self._sock.listen(LISTEN_BACKLOG)
        self.address: tuple[str, int] = self._sock.getsockname()

    # Readiness

    def is_ready(self) -> bool:
        """Whether requests are served: discovery has answered or has timed out."""
        return self._ready

    def when_ready(self, call: Callable[[], None]) -> None:
        """Makes the call as soon as requests are served. `PING` is answered only from then on."""
        if self._ready:
            call()
        else:
            self._waiting_for_ready.append(call)

    def set_ready(self) -> None:
        """Starts to serve requests, including those that have waited."""
        self._ready = True
        waiting, self._waiting_for_ready = self._waiting_for_ready, []
        for call in waiting:
            call()

    # Connections

    def run(self) -> None:
        """Accepts clients; never returns."""
        while True:
            self.scheduler.wait(self._sock.fileno(), READABLE)
            for _ in range(MAX_ACCEPTS_PER_TURN):
                if not self._accept():
                    break

    def _accept(self) -> bool:
        """Accepts one client; returns whether the next accept may follow immediately."""
        session_to_close = None
        if len(self.sessions.sessions) >= self.sessions.max_sessions:
            session_to_close = self.sessions.eviction_candidate()
            if session_to_close is None:
                self.scheduler.sleep(ACCEPT_PAUSE_S)
                return False
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            return self._recover_from_accept_error(error.errno)
        self._accept_failures = 0
        self.stats.accepted += 1
        # An idle session is closed only after a successful accept, and chosen before it, so that
        # the new session cannot be the one that is closed.
        if session_to_close:
            session_to_close.end(CloseReason.NO_DESCRIPTOR)
        self._start_session(sock)
        return True

    def _recover_from_accept_error(self, number: int | None) -> bool:
        """Returns whether `accept` may be called again at once.

        A client's connection is closed for a new one only if this process is out of descriptors, or
        if the machine has been for some time: other failures pass by themselves.
        """
        self._accept_failures += 1
        is_persistent = self._accept_failures > MAX_PASSING_ACCEPT_FAILURES
        is_own_limit = number == errno.EMFILE
        out_of_descriptors = number in stream.NO_DESCRIPTOR_ERRORS
        if out_of_descriptors and (is_own_limit or is_persistent) and self.free_descriptor():
            return True
        if out_of_descriptors:
            # without a pause poll would report the waiting client again immediately
            self.scheduler.sleep(ACCEPT_PAUSE_S)
        return False

    def _start_session(self, sock: socket.socket) -> Session:
        connection = stream.Stream(self.scheduler, sock, MAX_UNSENT_BYTES, self.memory.add)
        session = Session(self, connection)
        self.sessions.add(session)
        self.scheduler.spawn(session.run, name="session")
        return session

    def command_received(self, session: Session) -> None:
        """Counts a complete command and marks its session as busy."""
        self.stats.commands += 1
        self.sessions.set_busy(session)

    def free_descriptor(self) -> bool:
        """Closes a connection that is not in use; returns whether there was one.

        The order of preference: a lingering session, an idle connection to an endpoint, an idle
        client session.
        """
        if self.sessions.stop_lingering_oldest() or self.close_idle_endpoint_connection():
            return True
        candidate = self.sessions.eviction_candidate()
        if candidate:
            candidate.end(CloseReason.NO_DESCRIPTOR)
            # Closes the candidate, unless its connection has broken meanwhile and does not linger.
            self.sessions.stop_lingering_oldest()
        return candidate is not None

    def _check_sessions(self) -> None:
        now = self.scheduler.clock()
        self.scheduler.at(now + SESSION_CHECK_INTERVAL_S, self._check_sessions)
        for session in list(self.sessions.sessions):
            reason = session.reason_to_close(now)
            if reason:
                session.end(reason)
        self._limit_memory()

    def _limit_memory(self) -> None:
        """Ends the largest sessions that hold a part of a command, if no room is left for others.

        No request that was read loses its answer for that: a part of a command is none yet.
        """
        if self.memory.has_room(is_pipelined=False):
            return
        held = {session: session.held_bytes() for session in self.sessions.sessions}
        for session in sorted(held, key=held.__getitem__, reverse=True):
            if self.memory.has_room(is_pipelined=False):
                break
            if session.reject_partial_command():
                self.stats.relieved += 1

    # Shutdown

    def finish(self, accepting_commands: bool = True) -> None:
        """Closes every session as soon as it is between requests; still accepts new ones.

        `accepting_commands`: whether sessions that are still open read commands until then.
        """
        for session in list(self.sessions.sessions):
            session.finish(accepting_commands)

    def stop_listening(self) -> None:
        """Accepts the connections in the listening socket's queue, then closes the socket.

        Closing the socket earlier would reset these connections, although the operating system has
        already accepted them.
        """
        failures = 0
        while len(self.sessions.sessions) < self.sessions.max_sessions + MAX_ACCEPTS_PER_TURN:
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                break  # the queue is empty
            except OSError as error:
                failures += 1
                if error.errno in stream.NO_DESCRIPTOR_ERRORS:
                    self.free_descriptor()
                if failures > MAX_ACCEPT_FAILURES:
                    break
                continue  # a client that has left, or a failure that passes
            self.stats.accepted += 1
            self._start_session(sock).finish()
        self.scheduler.unregister(self._sock.fileno())
        self._sock.close()
