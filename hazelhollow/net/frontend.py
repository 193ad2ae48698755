"""The client side's listening socket.

Who is let in, when commands are taken, and the look at all connections.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.engine_driver import Limiter
from hazelhollow.net.requests import Terms
from hazelhollow.net.scheduler import READABLE, Scheduler
from hazelhollow.net.session import MOST_OUT, Session
from hazelhollow.net.session_table import Places
from hazelhollow.net.stats import Stats

BATCH = 16  # connections that are let in before others get their turn
BACKLOG = 1024
ACCEPT_PAUSE = 0.05  # seconds, when there is no place or no descriptor left
TIDY = 0.25  # seconds between looks at all connections


class Frontend:
    """The listening socket and the sessions that it has brought."""

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        limiter: Limiter,
        terms: Terms,
        listen: tuple[str, int],
        most_sessions: int,
        most_kept: int,
        most_held: int,
        spare: Callable[[], bool],
    ) -> None:
        """`most_held`.

        Bytes on the account of all clients; `spare`: ends an idle connection to a backend host,
        where there is one, and says whether it did.
        """
        self.scheduler, self.stats, self.limiter, self.terms = scheduler, stats, limiter, terms
        self.places = Places(most_sessions, most_kept)
        self._most_held, self._spare = most_held, spare
        self._ready = False
        self._waiting: list[Callable[[], None]] = []
        scheduler.at(scheduler.clock() + TIDY, self._tidy)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # A new version starts beside the running one and listens at the same address before this
        # one leaves.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self._sock.listen(BACKLOG)
        self.address: tuple[str, int] = self._sock.getsockname()

    @property
    def sessions(self) -> set[Session]:
        return self.places.sessions

    @property
    def lingering(self) -> dict[Session, None]:
        return self.places.lingering

    def when_ready(self, call: Callable[[], None]) -> None:
        """`PING` is answered only by a limiter that can serve."""
        if self._ready:
            call()
        else:
            self._waiting.append(call)

    def is_ready(self) -> bool:
        return self._ready

    def ready(self) -> None:
        self._ready = True
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call()

    def run(self) -> None:
        while True:
            self.scheduler.wait(self._sock.fileno(), READABLE)
            for _ in range(BATCH):
                if not self._accept():
                    break

    def _accept(self) -> bool:
        in_excess = None
        if len(self.sessions) >= self.places.most:
            in_excess = self.places.idlest()
            if in_excess is None:
                self.scheduler.sleep(ACCEPT_PAUSE)
                return False
        try:
            sock, _ = self._sock.accept()
        except OSError as error:
            if error.errno in stream.NO_DESCRIPTOR and not self.free_descriptor():
                self.scheduler.sleep(ACCEPT_PAUSE)  # poll would say at once that a client waits
            return error.errno in stream.NO_DESCRIPTOR
        self.stats.accepted += 1
        # Only now is it known that room is needed; the one that has come must not be the one that
        # goes.
        if in_excess:
            in_excess.end(CloseReason.NO_DESCRIPTOR)
        self._begin(sock)
        return True

    def _begin(self, sock: socket.socket) -> Session:
        session = Session(self, stream.Stream(self.scheduler, sock, MOST_OUT))
        self.places.add(session)
        self.scheduler.spawn(session.run, name="session")
        return session

    def works(self, session: Session) -> None:
        """A command has come."""
        self.stats.commands += 1
        self.places.works(session)

    def free_descriptor(self) -> bool:
        """Of a connection that nobody needs.

        One ended here, an idle one to a backend host, an idle client's.
        """
        if self.places.forgo_oldest() or self._spare():
            return True
        idlest = self.places.idlest()
        if idlest:
            idlest.end(CloseReason.NO_DESCRIPTOR)
            self.places.forgo_oldest()  # that one, unless its client has just broken it
        return idlest is not None

    def _tidy(self) -> None:
        now = self.scheduler.clock()
        self.scheduler.at(now + TIDY, self._tidy)
        for session in list(self.sessions):
            ending = session.overdue(now)
            if ending:
                session.end(ending)
        # Many slow clients at once may hold more than there is, each within its own bound: the
        # largest go.
        held = {session: session.held() for session in self.sessions}
        total = sum(held.values())
        for session in sorted(held, key=held.__getitem__, reverse=True):
            if total <= self._most_held:
                break
            total -= held[session]
            self.stats.relieved += 1
            session.end(CloseReason.STALLED)

    def finish(self, taking: bool = True) -> None:
        """Sessions end between requests.

        New ones are still taken, and commands of those that have not ended too.
        """
        for session in list(self.sessions):
            session.finish(taking)

    def close(self) -> None:
        """What waits in the listener's queue is taken in the same turn in which it closes.

        Closed with it, each of those connections would be reset, though the client had been let in
        by the system.
        """
        while len(self.sessions) < self.places.most + BATCH:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                break
            self.stats.accepted += 1
            self._begin(sock).finish()
        self.scheduler.unregister(self._sock.fileno())
        self._sock.close()
