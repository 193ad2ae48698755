"""What a soak run has seen: requests of clients, executions of endpoints, and what was told."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

KEYED, SAFE, UNSAFE = "buy", "look", "pay"
TIMED_BY_FIRST_BYTE = 64 * 1024  # a longer value is timed by its first byte


@dataclass
class RequestRecord:
    """One request, as its client saw it. Times are readings of the run's clock; 0: never.

    Attributes:
        id: The request's id.
        class_name: Its class.
        wait: Seconds for which the client would wait.
        sent_at: When its last byte was sent on its latest connection.
        is_sound: Whether the pages allow it.
        value_size: The size of the value that endpoints make for it.
        left_at: When its client closed the connection without waiting any longer.
        first_byte_at: When the first byte of its answer was there.
        ended_at: When its answer was complete, or its connection had ended.
        outcome: `value`, `busy`, `error`, `partial`, `closed`, `silent`, `left`, `refused` or
            `behind a broken value`.
        value: A digest of the value.
        waits_behind: How many answers of its connection were due before its own.
        on_new_connection: Whether it was the first request of its connection.
        resent: Whether it was sent again under the same id.
        may_run: Of one that is not sound: whether endpoints may run its id all the same.
        last_byte_at: When the last byte of an answer that stayed incomplete was there.
    """

    id: str
    class_name: str
    wait: float
    sent_at: float = 0.0
    is_sound: bool = True
    value_size: int = 0
    left_at: float = 0.0
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    outcome: str = ""
    value: str = ""
    waits_behind: int = 0
    on_new_connection: bool = True
    resent: bool = False
    may_run: bool = False
    last_byte_at: float = 0.0

    def is_long(self) -> bool:
        """Whether its value is timed by its first byte."""
        return self.value_size > TIMED_BY_FIRST_BYTE

    def set_value(self, value: bytes) -> None:
        """Notes the value of its answer."""
        self.value = digest(value)


@dataclass(frozen=True)
class ExecutionRecord:
    """One request that an endpoint has begun, or refused with `-BUSY`.

    The endpoint took `reading` seconds to read it, from its first byte on.
    """

    at: float
    endpoint: str
    cell: int
    id: str
    told_wait: float
    refused: bool
    reading: float = 0.0

    def received_at(self) -> float:
        """Returns when its first byte was read: its attempt had begun by then."""
        return self.at - self.reading


@dataclass(frozen=True)
class DrainRecord:
    """An endpoint that every limiter was told to drain."""

    endpoint: str
    told_at: float


@dataclass(frozen=True)
class ExitRecord:
    """The end of a limiter's process: when, how long after SIGTERM, and its status."""

    process: str
    at: float
    after: float
    status: int | None


@dataclass(frozen=True)
class SlowAnswer:
    """A sound answer that takes `seconds`: its value comes then (`is_late`), or in drops."""

    seconds: float
    is_late: bool


@dataclass(frozen=True)
class PauseRecord:
    """A limiter's process was held up from `began` to `ended`."""

    began: float
    ended: float


@dataclass
class SoakRecord:
    """Everything that the checker judges.

    Attributes:
        held_ids: Requests that endpoints hold for a while, since their clients ask for it.
        breaking_ids: Requests whose endpoints break their values off, after a pause.
        failing_ids: Requests whose first endpoint fails them, after a while.
        slow_answers: What endpoints write slowly, by request.
        broken_ids: Requests of which an endpoint has left an answer incomplete or late.
        peak_memory_kb: The most that a limiter's process has held.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    executions: list[ExecutionRecord] = field(default_factory=list)
    drains: list[DrainRecord] = field(default_factory=list)
    exits: list[ExitRecord] = field(default_factory=list)
    pauses: list[PauseRecord] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    max_lateness: float = 0.0  # by which the run's own process was late
    served_at_end: bool = False
    peak_memory_kb: int = 0
    held_ids: set[str] = field(default_factory=set)
    broken_ids: set[str] = field(default_factory=set)
    breaking_ids: set[str] = field(default_factory=set)
    failing_ids: set[str] = field(default_factory=set)
    slow_answers: dict[str, SlowAnswer] = field(default_factory=dict)


def value_for(request_id: str, size: int) -> bytes:
    """Returns the value that every endpoint makes for a request."""
    block = hashlib.sha256(request_id.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def digest(value: bytes) -> str:
    """Returns what stands for a value in a record."""
    return hashlib.sha256(value).hexdigest()[:16]
