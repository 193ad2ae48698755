"""Executions: attempts that may have run, remembered by the id of their request.

A request of a class that is not safe to repeat may come again after its client has left: on another
connection, or at the other process during an upgrade. It must not run a second time where nobody
would drop the repetition, although the first request has ended here. So the memory outlives the
request: an execution is added when an attempt starts, and removed only if the attempt surely never
ran.

An execution knows where it ran by the entry of its endpoint. If it turns out later that another
process had taken over that endpoint's address by then, it may have run in either place, and no
group of endpoints is known to have dropped or to drop it (`is_ambiguous`).
"""

from __future__ import annotations

from hazelhollow.decisions.events import EndpointEntry, RequestArrived
from hazelhollow.decisions.settings import DedupScope

REMEMBERED_S = 300.0  # since the last execution of an id
MAX_REMEMBERED = 20_000  # ids; beyond it the oldest are forgotten
TAKEOVER_SLACK_S = 1.0  # by which an endpoint's start may be known too late


class Execution:
    """One attempt that may have run.

    Attributes:
        zone: The zone of its endpoint.
        cell: The cell of its endpoint.
        address: The address of its endpoint; empty if it is not known.
        started_at: When the attempt started.
        is_ambiguous: Whether another endpoint may have run it.
        shared_id: Its id in what the processes of an upgrade tell each other; empty if it has none.
    """

    __slots__ = ("zone", "cell", "address", "started_at", "is_ambiguous", "shared_id")

    def __init__(self, zone: str, cell: int, address: str, started_at: float) -> None:
        self.zone, self.cell, self.address = zone, cell, address
        self.started_at, self.is_ambiguous = started_at, False
        self.shared_id = ""

    @classmethod
    def at(cls, entry: EndpointEntry, now: float) -> Execution:
        """Returns the execution of an attempt that starts now."""
        return cls(entry.zone, entry.cell, entry.address, now)

    def is_dropped_at(self, entry: EndpointEntry, scope: DedupScope) -> bool:
        """Whether an endpoint would drop a repetition, within the deduplication window."""
        if scope == "all":
            return True
        group, other = (self.zone, entry.zone) if scope == "zone" else (self.cell, entry.cell)
        return not self.is_ambiguous and group == other


class ExecutionMemory:
    """The recent executions by customer and request id, the oldest first."""

    def __init__(self) -> None:
        self._by_id: dict[tuple[str, str], list[Execution]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def find(self, event: RequestArrived) -> tuple[Execution, ...]:
        """Returns the executions of a request's id."""
        return tuple(self._by_id.get((event.customer, event.id), ()))

    def add(self, customer: str, request_id: str, execution: Execution, now: float) -> None:
        """Remembers an execution, and forgets old ones."""
        key = (customer, request_id)
        executions = self._by_id.pop(key, [])
        executions.append(execution)
        self._by_id[key] = executions
        self._forget_old(now)

    def discard(self, customer: str, request_id: str, execution: Execution) -> None:
        """Forgets an execution that surely never ran."""
        key = (customer, request_id)
        remaining = [one for one in self._by_id.get(key, ()) if not _is_same(one, execution)]
        if remaining:
            self._by_id[key] = remaining
        else:
            self._by_id.pop(key, None)

    def address_taken_over(self, entry: EndpointEntry) -> None:
        """Notes that an endpoint has started at an address where others may have been before."""
        since = entry.started - TAKEOVER_SLACK_S
        for executions in self._by_id.values():
            for execution in executions:
                if (
                    execution.address == entry.address
                    and execution.started_at >= since
                    and (execution.zone, execution.cell) != (entry.zone, entry.cell)
                ):
                    execution.is_ambiguous = True

    def _forget_old(self, now: float) -> None:
        while self._by_id:
            key = next(iter(self._by_id))
            is_recent = now - self._by_id[key][-1].started_at < REMEMBERED_S
            if is_recent and len(self._by_id) <= MAX_REMEMBERED:
                break
            del self._by_id[key]


def _is_same(one: Execution, other: Execution) -> bool:
    return one is other or bool(one.shared_id and one.shared_id == other.shared_id)
