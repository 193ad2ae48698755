"""The graceful shutdown after SIGTERM or SIGINT: its states and their timing.

Times are in seconds from the signal.

| state | from | new connections | new commands | in-flight requests | ends when |
| --- | --- | --- | --- | --- | --- |
| SERVING | start | accepted | read | served | the signal arrives |
| ANNOUNCED | 0.0 | accepted | read | served | 0.5 s have passed |
| DRAINING | 0.5 | accepted | read until the connection has no open request | served | 0.7 s |
| CLOSING | 0.7 | refused | read if already here | served until their deadline | all are closed |
| STOPPED | step 5 | refused | not read | none | |

The steps for a request that is in flight when SIGTERM arrives:

1. ANNOUNCED, up to 0.5 s (`DRAIN_AFTER_S`): nothing changes for the request or its attempts, and
   retries continue. From now on `call check` at the operator address answers
   `error not ready yet`. Clients still connect for up to 0.4 s after the signal, so new connections
   are served as before.
2. DRAINING, up to 0.7 s (`STOP_ACCEPTING_AFTER_S`): `Frontend.finish` marks every open connection
   to be closed between requests; connections accepted later are marked at 0.7 s. A connection
   without an open request is closed now, one with requests in flight after the last of them is
   answered. Its client reads its answers and then the end of the stream. A client that has just
   connected has 0.25 s for its first command (`session.FIRST_COMMAND_GRACE_S`).
3. CLOSING, from 0.7 s: the listening socket is closed. Connections in its accept queue, which the
   close would reset, are accepted first and have 0.25 s for a first command. Open connections
   execute the commands that have arrived by now, read or not (`session_input`), and no others.
   Requests in flight continue, with their attempts, retries and
   deadlines unchanged.
4. Each request ends with its answer, at the latest at its own deadline, when its attempts are
   aborted and the engine or `engine_driver` answers it. When a connection is finished, its sending
   side is closed and the limiter waits up to 1 s (`session.LINGER_S`) for the client to close, so
   that the last answer is not lost to a reset.
5. STOPPED: all clients' connections are closed, or the longest deadline of any class plus LINGER_S
   has passed since 0.7 s and no long value is being forwarded any more. Only then are the attached
   subsystems stopped, which may wait up to 1 s for the disk, and the connections to endpoints
   closed. Any attempt that is still in flight belongs to a request that was already answered or
   whose client does not read its answer. The scheduler stops, the counters are printed, and the
   exit status is 0.

A second signal has no effect. The shutdown itself never ends a request early, with one exception: a
request of a class that a reload has removed, if its deadline is longer than that of every remaining
class.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum, auto
from typing import TYPE_CHECKING

from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.session import LINGER_S

if TYPE_CHECKING:
    from hazelhollow.net.attachment import Attachment
    from hazelhollow.net.connection_pool import ConnectionPool
    from hazelhollow.net.frontend import Frontend

DRAIN_AFTER_S = 0.5  # clients still connect for up to 0.4 s after the signal
STOP_ACCEPTING_AFTER_S = 0.7  # a later request might not be answered before SIGKILL
POLL_INTERVAL_S = 0.02  # between checks whether all connections are closed

log = logging.getLogger(__name__)


class ShutdownState(Enum):
    """The state of a limiter's shutdown; see the table in the module's doc comment."""

    SERVING = auto()
    ANNOUNCED = auto()
    DRAINING = auto()
    CLOSING = auto()
    STOPPED = auto()


class GracefulShutdown:
    """Shuts the limiter down in the steps of the module's doc comment.

    Attributes:
        state: The current state.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        frontend: Frontend,
        pool: ConnectionPool,
        attachment: Attachment | None,
        is_forwarding: Callable[[], bool] = lambda: False,
    ) -> None:
        """`is_forwarding`: whether a long value is on its way to a client, which is not cut off."""
        self._scheduler, self._frontend = scheduler, frontend
        self._is_forwarding = is_forwarding
        self._pool, self._attachment = pool, attachment
        self.state = ShutdownState.SERVING

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self.state is not ShutdownState.SERVING

    def begin(self) -> None:
        """Starts the shutdown; does nothing if it has already begun."""
        if not self.has_begun:
            self.state = ShutdownState.ANNOUNCED
            self._scheduler.spawn(self._run, self._scheduler.clock(), name="shutdown")

    def _run(self, began_at: float) -> None:
        self._scheduler.wait(until=began_at + DRAIN_AFTER_S)
        self.state = ShutdownState.DRAINING
        self._frontend.finish()
        self._scheduler.wait(until=began_at + STOP_ACCEPTING_AFTER_S)
        self.state = ShutdownState.CLOSING
        self._frontend.stop_listening()
        # By then every request has been answered; a client that has not read its answer is not
        # expected to read it.
        longest_deadline = max(self._frontend.request_limits.longest_deadline.values(), default=0.0)
        until = began_at + STOP_ACCEPTING_AFTER_S + longest_deadline + LINGER_S
        while not self._frontend.sessions.is_empty() and (
            self._scheduler.clock() < until or self._is_forwarding()
        ):
            self._frontend.finish(accepting_commands=False)
            self._scheduler.sleep(POLL_INTERVAL_S)
        self.state = ShutdownState.STOPPED
        if self._attachment:
            self._attachment.stop()
        log.info("shutdown complete after %.2f s", self._scheduler.clock() - began_at)
        self._pool.close_all()
        self._scheduler.stop()
