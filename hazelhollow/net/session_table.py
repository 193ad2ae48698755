"""The table of client sessions: how many may exist, and which one is closed to make room.

| list | sessions in it | closed first |
| --- | --- | --- |
| `sessions` | all open ones | |
| silent | those that have never sent a complete command | the longest silent, before any idle one |
| idle | those whose last command is answered | the longest idle |
| `lingering` | those closed here whose clients have not closed yet | the longest lingering |

`frontend` owns the table; sessions report their state changes to it.
"""

from __future__ import annotations

from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.session import Session

# An idle session stays open at least this long, or its client could never reuse the connection.
MIN_IDLE_S = 0.1
MAX_LINGERING = 8  # lingering sessions allowed in addition to `max_sessions`


class SessionTable:
    """The client sessions, and the order in which unused ones are closed.

    Attributes:
        sessions: The open sessions.
        lingering: Sessions closed here but not yet by their clients, the oldest first.
        max_sessions: The maximum number of sessions.
        max_used: The maximum number of sessions that have sent a command.
    """

    def __init__(self, max_sessions: int, max_used: int) -> None:
        self.max_sessions, self.max_used = max_sessions, max_used
        self.sessions: set[Session] = set()
        self.lingering: dict[Session, None] = {}
        self._silent: dict[Session, None] = {}
        self._idle: dict[Session, None] = {}

    def add(self, session: Session) -> None:
        """Adds the session of a client that has connected."""
        self.sessions.add(session)
        self._silent[session] = None
        self._limit_lingering()

    def remove(self, session: Session) -> None:
        """Removes a session that has ended."""
        self.sessions.discard(session)
        self._silent.pop(session, None)
        self._idle.pop(session, None)

    def set_busy(self, session: Session) -> None:
        """Marks a session as busy: a command has arrived on it."""
        self._silent.pop(session, None)
        self._idle.pop(session, None)

    def set_idle(self, session: Session, now: float) -> None:
        """Marks a session as idle after its last outstanding answer was written.

        Closes the longest idle sessions if more than `max_used` have sent a command.
        """
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
        """Adds a session closed here; it holds a descriptor until its client closes too."""
        self.lingering[session] = None
        self._limit_lingering()

    def _limit_lingering(self) -> None:
        most = self.max_sessions + MAX_LINGERING
        while self.lingering and len(self.sessions) + len(self.lingering) > most:
            self.stop_lingering_oldest()

    def stop_lingering_oldest(self) -> bool:
        """Closes the socket of the oldest lingering session; returns whether there was one."""
        oldest = next(iter(self.lingering), None)
        if oldest:
            oldest.stop_lingering()
        return oldest is not None

    def eviction_candidate(self) -> Session | None:
        """Returns the session to close when room is needed, or None if none may be closed.

        Silent sessions are preferred: a well-behaved client sends a command as soon as it is
        connected.
        """
        for candidates in (self._silent, self._idle):
            for session in list(candidates):
                if session.is_between_requests():
                    return session
                candidates.pop(session)  # it is in use, and `set_idle` adds it again afterwards
        return None

    def is_empty(self) -> bool:
        """Whether no session is open or lingering, so that every client has its answers."""
        return not self.sessions and not self.lingering
