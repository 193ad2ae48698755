"""The end of a limiter after SIGTERM or SIGINT: what happens, and when.

Seconds are counted from the signal.

| state | from | new connections | new commands | in-flight requests | left when |
| --- | --- | --- | --- | --- | --- |
| SERVING | start | accepted | taken | served | the signal comes |
| ANNOUNCED | 0.0 | accepted | taken | served | 0.5 s have passed |
| DRAINING | 0.5 | accepted | taken until the connection has nothing open | served | 0.7 s |
| CLOSING | 0.7 | refused | not taken | served until their deadline | all connections are closed |
| STOPPED | step 5 | refused | not taken | none | |

Step by step, for a request that is in flight when SIGTERM comes:

1. ANNOUNCED, up to 0.5 s (`BETWEEN_REQUESTS_AFTER_S`): nothing changes for it or for its attempts,
   and retries go on. `call check` at the operator address says `error not ready yet` from now on.
   Clients come for up to 0.4 s after the signal, so new connections are served as ever.
2. DRAINING, up to 0.7 s (`STOP_ACCEPTING_AFTER_S`): `Frontend.finish` marks every connection that
   is open then to be closed between requests; one that comes later, at 0.7 s. One without an open
   request is closed now; one with requests in flight once the last of them is answered. Its client
   reads its answers and then the end of the stream. A client that has just connected has 0.25 s
   for its first command (`session.FIRST_COMMAND_GRACE_S`).
3. CLOSING, from 0.7 s: the listening socket is closed. What waited in its queue is accepted once
   more and gets 0.25 s for a first command; else it would be reset. Of open connections no further
   command is read. Requests in flight go on: their attempts, retries and deadlines are as ever.
4. Each request ends with its answer, at the latest at its own deadline, when its attempts are
   aborted and the engine or `engine_driver` answers for it. A connection that is done has its
   sending side closed and waits up to 1 s (`session.LINGER_S`) for the client to close too, so that
   the last answer is not lost to a reset.
5. STOPPED: all clients' connections are closed, or the longest deadline of any class and LINGER_S
   have passed since 0.7 s. Only then do attached subsystems end, which may wait for the disk up to
   1 s, and the connections to endpoints close; attempts that are still out then were answered for,
   or their client did not take its answer. The scheduler stops, the counters are printed, the exit
   status is 0.

A second signal changes nothing. Requests are never cut short by the shutdown itself, but for those
of a class that a reload has removed and whose deadline is longer than all that are left.
"""

from __future__ import annotations

import logging
from enum import Enum, auto
from typing import TYPE_CHECKING

from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.session import LINGER_S

if TYPE_CHECKING:
    from hazelhollow.net.attachment import Attachment
    from hazelhollow.net.connection_pool import ConnectionPool
    from hazelhollow.net.frontend import Frontend

BETWEEN_REQUESTS_AFTER_S = 0.5  # clients come for up to 0.4 s after the signal
STOP_ACCEPTING_AFTER_S = 0.7  # a request that comes later might not be answered before SIGKILL
POLL_INTERVAL_S = 0.02  # between looks whether all connections are closed

log = logging.getLogger(__name__)


class ShutdownState(Enum):
    """Where a limiter is between its start and its end; the table above has what holds in each."""

    SERVING = auto()
    ANNOUNCED = auto()
    DRAINING = auto()
    CLOSING = auto()
    STOPPED = auto()


class GracefulShutdown:
    """Ends the limiter in the steps above.

    Attributes:
        state: Where it is.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        frontend: Frontend,
        pool: ConnectionPool,
        attachment: Attachment | None,
    ) -> None:
        self._scheduler, self._frontend = scheduler, frontend
        self._pool, self._attachment = pool, attachment
        self.state = ShutdownState.SERVING

    @property
    def has_begun(self) -> bool:
        """Whether the signal has come."""
        return self.state is not ShutdownState.SERVING

    def begin(self) -> None:
        """Starts the shutdown; does nothing if it has begun."""
        if not self.has_begun:
            self.state = ShutdownState.ANNOUNCED
            self._scheduler.spawn(self._run, self._scheduler.clock(), name="shutdown")

    def _run(self, began_at: float) -> None:
        self._scheduler.wait(until=began_at + BETWEEN_REQUESTS_AFTER_S)
        self.state = ShutdownState.DRAINING
        self._frontend.finish()
        self._scheduler.wait(until=began_at + STOP_ACCEPTING_AFTER_S)
        self.state = ShutdownState.CLOSING
        self._frontend.stop_listening()
        # By then every answer is due; a client that has not taken its own will not take it later.
        longest_deadline = max(self._frontend.request_limits.longest_deadline.values(), default=0.0)
        until = began_at + STOP_ACCEPTING_AFTER_S + longest_deadline + LINGER_S
        while not self._frontend.sessions.is_empty() and self._scheduler.clock() < until:
            self._frontend.finish(accepting_commands=False)
            self._scheduler.sleep(POLL_INTERVAL_S)
        self.state = ShutdownState.STOPPED
        if self._attachment:
            self._attachment.stop()
        log.info("left after %.2f s", self._scheduler.clock() - began_at)
        self._pool.close_all()
        self._scheduler.stop()
