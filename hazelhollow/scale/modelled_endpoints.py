"""The environment of a hollow limiter: modelled servers, and requests with modelled clients."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from hazelhollow.decisions import interface as api
from hazelhollow.net.attempts import Attempt, AttemptResult, ValueSink
from hazelhollow.net.close_reason import CloseReason, attempt_status
from hazelhollow.net.connection_pool import ConnectionPool
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.scale.load import service_time

if TYPE_CHECKING:
    from hazelhollow.net.open_request import Responder


class ModelledConnectionPool(ConnectionPool):
    """A connection pool of modelled servers: each attempt is answered after a random time.

    Args:
        scheduler: The scheduler of the incarnation.
        seed: Seed of the service times.
        service_s: Mean service time in seconds.
    """

    def __init__(self, scheduler: Scheduler, seed: int, service_s: float) -> None:
        self._scheduler, self._service_s = scheduler, service_s
        self._rng = random.Random(seed)

    def start(
        self,
        name: str,
        command: bytes,
        done: Callable[[AttemptResult], None],
        look: Callable[[], bool] = lambda: True,
        sink: ValueSink | None = None,
    ) -> Attempt:
        """Starts an attempt; its request counts as completely sent at once."""
        now = self._scheduler.clock()
        attempt = Attempt(name, command, done, look, now)
        attempt.sink = sink
        self._scheduler.at(now + service_time(self._rng, self._service_s), self.answer, attempt)
        return attempt

    def answer(self, attempt: Attempt) -> None:
        """Completes an attempt with the modelled server's answer."""
        attempt.finish(AttemptResult("ok"))

    def abort(self, attempt: Attempt, reason: CloseReason) -> None:
        """Ends an attempt whose request was sent, with the status of that reason."""
        attempt.finish(AttemptResult(attempt_status(reason, True)))

    def withdraw(self, attempt: Attempt, reason: CloseReason) -> None:
        """Does nothing: no attempt is still unsent, since all are sent completely at once."""


class HollowRequest:
    """A modelled request and its client; records whether the request was admitted."""

    __slots__ = ("request", "admitted")

    def __init__(self, request: api.RequestArrived) -> None:
        self.request, self.admitted = request, False

    def command(self, wait_ms: int) -> bytes:
        """Returns the bytes to forward, and records that the request was admitted."""
        del wait_ms  # modelled servers have no deadline
        self.admitted = True
        return b""

    def send_value(self, value: bytes | bytearray) -> None:
        """Discards the answer."""

    def send_busy(self, retry_after_ms: int) -> None:
        """Discards a rejection; modelled clients do not retry."""

    def send_failure(self) -> None:
        """Discards an error."""

    def has_requests_behind(self) -> bool:
        """Returns False: each modelled client has one request."""
        return False

    def reserve_memory(self, size: int, on_room: Callable[[], object]) -> bool:
        """Never called: modelled servers return short values."""
        del size, on_room
        return True

    def release_memory(self, size: int, on_room: Callable[[], object]) -> None:
        """Never called."""

    def start_value(self, length: int, on_room: Callable[[], object]) -> None:
        """Never called: modelled servers return short values."""

    def value_room(self) -> int:
        """Returns 0: nothing is forwarded."""
        return 0

    def write_value(self, data: bytes) -> None:
        """Never called."""

    def complete_value(self) -> None:
        """Never called."""

    def break_value(self) -> None:
        """Never called."""

    def has_disconnected(self) -> bool:
        """Returns False: modelled clients wait for their answer."""
        return False

    def shows_disconnect(self) -> bool:
        """Returns True: nothing hides a disconnect of a modelled client."""
        return True

    def is_client_known(self) -> bool:
        """Returns True: modelled clients wait for their answer."""
        return True


if TYPE_CHECKING:
    # The runs pass requests on untyped: a method that is missing would only show there.
    _responder: type[Responder] = HollowRequest
