"""The table of clients' connections: how many there may be, and which one is closed for another.

| list | who is in it | who goes first |
| --- | --- | --- |
| `sessions` | every open one | |
| silent | those that have never sent a whole command | the longest silent, before any idle one |
| idle | those whose last command is answered | the longest idle |
| `lingering` | those closed here whose clients have not closed yet | the longest lingering |

`frontend` owns the table; sessions report what happens to them.
"""

from __future__ import annotations

from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.session import Session

MIN_IDLE_S = (
    0.1  # that a connection stays open after an answer, or its client could not use it again
)
MAX_LINGERING = 8  # beyond the clients' share of the descriptors


class SessionTable:
    """The clients' connections, and the order in which those that nobody needs are closed.

    Attributes:
        sessions: The open ones.
        lingering: Those closed here and not yet by their clients, the oldest first.
        max_sessions: How many there may be.
        max_used: How many of those that have brought a command.
    """

    def __init__(self, max_sessions: int, max_used: int) -> None:
        self.max_sessions, self.max_used = max_sessions, max_used
        self.sessions: set[Session] = set()
        self.lingering: dict[Session, None] = {}
        self._silent: dict[Session, None] = {}
        self._idle: dict[Session, None] = {}

    def add(self, session: Session) -> None:
        """A client has connected."""
        self.sessions.add(session)
        self._silent[session] = None
        self._limit_lingering()

    def remove(self, session: Session) -> None:
        """It has ended."""
        self.sessions.discard(session)
        self._silent.pop(session, None)
        self._idle.pop(session, None)

    def set_busy(self, session: Session) -> None:
        """A command has come on it."""
        self._silent.pop(session, None)
        self._idle.pop(session, None)

    def set_idle(self, session: Session, now: float) -> None:
        """Its last answer is on its way. Closes the idlest if too many have brought a command."""
        if session not in self.sessions:
            return
        self._idle.pop(session, None)
        self._idle[session] = None
        while len(self.sessions) - len(self._silent) > self.max_used:
            oldest = next(iter(self._idle))
            if now - oldest.idle_since < MIN_IDLE_S:
                break
            if oldest.is_between_requests():
                oldest.end(CloseReason.IDLE)
            else:
                self._idle.pop(oldest)

    def add_lingering(self, session: Session) -> None:
        """It was closed here, and holds a descriptor until its client closes too."""
        self.lingering[session] = None
        self._limit_lingering()

    def _limit_lingering(self) -> None:
        most = self.max_sessions + MAX_LINGERING
        while self.lingering and len(self.sessions) + len(self.lingering) > most:
            self.stop_lingering_oldest()

    def stop_lingering_oldest(self) -> bool:
        """Waits no more for the client of the oldest in `lingering`; says whether there was one."""
        oldest = next(iter(self.lingering), None)
        if oldest:
            oldest.stop_lingering()
        return oldest is not None

    def idlest(self) -> Session | None:
        """The one to close where a place is needed, if any may be.

        Silent ones go first: a usual client speaks as soon as it is connected.
        """
        for candidates in (self._silent, self._idle):
            for session in list(candidates):
                if session.is_between_requests():
                    return session
                candidates.pop(session)  # it has something to do, and comes back after that
        return None

    def is_empty(self) -> bool:
        """Whether no client is owed an answer, and none is still reading one."""
        return not self.sessions and not self.lingering
