"""The clients' side: the listening socket, the sessions on it, and the look at all of them.

Accepts clients as long as there is a place and a descriptor for them, holds requests back until the
limiter is ready, and every quarter of a second ends sessions that are overdue or hold too much
memory.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.engine_driver import EngineDriver
from hazelhollow.net.requests import RequestLimits
from hazelhollow.net.scheduler import READABLE, Scheduler
from hazelhollow.net.session import MAX_UNSENT_BYTES, Session
from hazelhollow.net.session_table import SessionTable
from hazelhollow.net.stats import Stats

MAX_ACCEPTS_PER_TURN = 16  # connections, before other tasks get their turn
LISTEN_BACKLOG = 1024
ACCEPT_PAUSE_S = 0.05  # when no place or no descriptor is left
LOOK_INTERVAL_S = 0.25  # between looks at all sessions


@dataclass(frozen=True)
class FrontendLimits:
    """Where clients connect, and how much they may take.

    Attributes:
        listen: The address; port 0 lets the system pick one.
        max_sessions: Clients' connections at once.
        max_used_sessions: Of those that have brought a command.
        max_held_bytes: On the account of all clients together.
    """

    listen: tuple[str, int]
    max_sessions: int
    max_used_sessions: int
    max_held_bytes: int


class Frontend:
    """The listening socket and the sessions that it has brought.

    Attributes:
        request_limits: What the settings allow a request to say; replaced with the settings.
        sessions: The clients' connections.
        address: Where it listens.
        close_idle_endpoint_connection: Frees a descriptor, if a connection to an endpoint is
            idle; says whether one was.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        engine_driver: EngineDriver,
        request_limits: RequestLimits,
        limits: FrontendLimits,
    ) -> None:
        """Listens from now on; `run` accepts.

        Raises:
            OSError: The address cannot be listened at.
        """
        self.scheduler, self.stats, self.engine_driver = scheduler, stats, engine_driver
        self.request_limits = request_limits
        self.sessions = SessionTable(limits.max_sessions, limits.max_used_sessions)
        self._max_held_bytes = limits.max_held_bytes
        self.close_idle_endpoint_connection: Callable[[], bool] = lambda: False
        self._ready = False
        self._waiting_for_ready: list[Callable[[], None]] = []
        scheduler.at(scheduler.clock() + LOOK_INTERVAL_S, self._look_at_sessions)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # A new version is started beside this one, and listens at the same address before it
        # leaves.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.setblocking(False)
        self._sock.bind(limits.listen)
        self._sock.listen(LISTEN_BACKLOG)
        self.address: tuple[str, int] = self._sock.getsockname()

    # Readiness

    def is_ready(self) -> bool:
        """Whether requests are served: discovery has answered, or its time for that has passed."""
        return self._ready

    def when_ready(self, call: Callable[[], None]) -> None:
        """Calls now, or as soon as requests are served. `PING` is answered only then."""
        if self._ready:
            call()
        else:
            self._waiting_for_ready.append(call)

    def set_ready(self) -> None:
        """Requests are served from now on."""
        self._ready = True
        waiting, self._waiting_for_ready = self._waiting_for_ready, []
        for call in waiting:
            call()

    # Connections

    def run(self) -> None:
        """Accepts clients, for ever."""
        while True:
            self.scheduler.wait(self._sock.fileno(), READABLE)
            for _ in range(MAX_ACCEPTS_PER_TURN):
                if not self._accept():
                    break

    def _accept(self) -> bool:
        """Accepts one client; says whether another may be tried at once."""
        to_close = None
        if len(self.sessions.sessions) >= self.sessions.max_sessions:
            to_close = self.sessions.idlest()
            if to_close is None:
                self.scheduler.sleep(ACCEPT_PAUSE_S)
                return False
        try:
            sock, _ = self._sock.accept()
        except OSError as error:
            out_of_descriptors = error.errno in stream.NO_DESCRIPTOR_ERRORS
            if out_of_descriptors and not self.free_descriptor():
                # poll would say at once that a client waits
                self.scheduler.sleep(ACCEPT_PAUSE_S)
            return out_of_descriptors
        self.stats.accepted += 1
        # Only now is it known that its place is needed, and the new one must not be the one to go.
        if to_close:
            to_close.end(CloseReason.NO_DESCRIPTOR)
        self._start_session(sock)
        return True

    def _start_session(self, sock: socket.socket) -> Session:
        session = Session(self, stream.Stream(self.scheduler, sock, MAX_UNSENT_BYTES))
        self.sessions.add(session)
        self.scheduler.spawn(session.run, name="session")
        return session

    def command_came(self, session: Session) -> None:
        """A whole command has come on a session."""
        self.stats.commands += 1
        self.sessions.set_busy(session)

    def free_descriptor(self) -> bool:
        """Closes a connection that nobody needs; says whether there was one.

        The first of: one that was closed here, an idle one to an endpoint, an idle client's.
        """
        if self.sessions.stop_lingering_oldest() or self.close_idle_endpoint_connection():
            return True
        idlest = self.sessions.idlest()
        if idlest:
            idlest.end(CloseReason.NO_DESCRIPTOR)
            self.sessions.stop_lingering_oldest()  # that one, unless its client has just broken it
        return idlest is not None

    def _look_at_sessions(self) -> None:
        now = self.scheduler.clock()
        self.scheduler.at(now + LOOK_INTERVAL_S, self._look_at_sessions)
        for session in list(self.sessions.sessions):
            reason = session.reason_to_close(now)
            if reason:
                session.end(reason)
        self._limit_memory()

    def _limit_memory(self) -> None:
        """Ends the largest sessions if all together hold too much, each within its own bounds."""
        held = {session: session.held_bytes() for session in self.sessions.sessions}
        total = sum(held.values())
        for session in sorted(held, key=held.__getitem__, reverse=True):
            if total <= self._max_held_bytes:
                break
            total -= held[session]
            self.stats.relieved += 1
            session.end(CloseReason.STALLED)

    # Its end

    def finish(self, accepting_commands: bool = True) -> None:
        """Closes every session between requests; new ones are still accepted.

        `accepting_commands`: whether those that have not ended yet read commands until then.
        """
        for session in list(self.sessions.sessions):
            session.finish(accepting_commands)

    def stop_listening(self) -> None:
        """Accepts what waits in the listening socket's queue, then closes the socket.

        Closed with the queue, those connections would be reset, though the system had accepted
        them.
        """
        while len(self.sessions.sessions) < self.sessions.max_sessions + MAX_ACCEPTS_PER_TURN:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                break
            self.stats.accepted += 1
            self._start_session(sock).finish()
        self.scheduler.unregister(self._sock.fileno())
        self._sock.close()
