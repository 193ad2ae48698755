"""Which clients' connections have a place.

How many at most, and which one goes first where room is needed.
"""

from __future__ import annotations

from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.session import Session

# of the descriptors: connections that have brought a command. Clients hold a third of the
KEPT_SHARE = 0.25
# descriptors at most, and many ask once and keep theirs for good; past that others would find none
# left to ask on.
MEMORY_SHARE = 0.25  # of the limit: what all clients together may make this limiter hold
LEAST_REST = 0.1  # seconds that it stays in any case, or a client could not use it again
MOST_LINGERING = (
    # connections ended here and not yet by their clients, beyond the clients' share of the
    # descriptors
    8
)


class Places:
    """The clients' connections, and the order in which those that nobody needs are ended."""

    def __init__(self, most: int, most_kept: int) -> None:
        """`most`: connections; `most_kept`: of those that have brought a command."""
        self.most, self.most_kept = most, most_kept
        self.sessions: set[Session] = set()
        # ended here, not yet by their clients; the oldest first
        self.lingering: dict[Session, None] = {}
        # Those that may go when room is needed, the longest silent or idle first.
        self._silent: dict[Session, None] = {}  # that have never sent a whole command
        self._idle: dict[Session, None] = {}

    def add(self, session: Session) -> None:
        self.sessions.add(session)
        self._silent[session] = None
        self._bound_lingering()

    def drop(self, session: Session) -> None:
        self.sessions.discard(session)
        self._silent.pop(session, None)
        self._idle.pop(session, None)

    def works(self, session: Session) -> None:
        """A command has come."""
        self._silent.pop(session, None)
        self._idle.pop(session, None)

    def rests(self, session: Session, now: float) -> None:
        """Its last answer is on its way."""
        if session not in self.sessions:
            return
        self._idle.pop(session, None)
        self._idle[session] = None
        while len(self.sessions) - len(self._silent) > self.most_kept:
            oldest = next(iter(self._idle))
            if now - oldest.idle_since < LEAST_REST:
                break
            if oldest.resting():
                oldest.end(CloseReason.IDLE)
            else:
                self._idle.pop(oldest)

    def lingers(self, session: Session) -> None:
        """It has ended here.

        It holds a descriptor until the client ends it too, so their number has a bound.
        """
        self.lingering[session] = None
        self._bound_lingering()

    def _bound_lingering(self) -> None:
        while (
            self.lingering and len(self.sessions) + len(self.lingering) > self.most + MOST_LINGERING
        ):
            self.forgo_oldest()

    def forgo_oldest(self) -> bool:
        """Waits no more for the client's end of the connection that was ended here first.

        Where there is one.
        """
        oldest = next(iter(self.lingering), None)
        if oldest:
            oldest.forgo()
        return oldest is not None

    def idlest(self) -> Session | None:
        """The one to go where room is needed.

        Those that have not said a word go first: a usual client speaks as soon as it is connected.
        """
        for places in (self._silent, self._idle):
            for session in list(places):
                if session.resting():
                    return session
                places.pop(session)  # it has something to do, and comes back after that
        return None

    def is_empty(self) -> bool:
        """Nobody is owed an answer, and nobody is still reading one."""
        return not self.sessions and not self.lingering
