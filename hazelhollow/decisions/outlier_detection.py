"""Outlier detection: endpoints that fail are ejected, for a class or for all, and come back.

An `OutlierRecord` counts an endpoint's failures, for one class or, under "", for every class:

| state    | left when                                   | next                              |
| -------- | ------------------------------------------- | --------------------------------- |
| serving  | `EJECTION_THRESHOLD` failures are counted   | ejected                           |
| ejected  | its term is over and nothing of any class   | on trial                          |
|          | is in flight                                |                                   |
| ejected  | an answer in time halves the failures to    | serving, also within the term     |
|          | below the threshold                         |                                   |
| on trial | an attempt, one at a time, is answered well | serving if below the threshold,   |
|          |                                             | else on trial                     |
| on trial | an attempt fails, the threshold is reached  | ejected, for twice as long        |
| on trial | an attempt fails, the threshold is not      | serving                           |

What counts as a failure, and for which class, is in `attempts.py` (`_learn`, `_record_failure`): in
a large fleet a refused connection counts as `EJECTION_THRESHOLD`, and what peers report counts as
seen here (`gossip/receiver.py`). Failures fade linearly to nothing over `FAILURE_MEMORY_S`, which
is reckoned when the next one is counted; an answer in time halves them. The first term is
`BASE_EJECTION_TIME_S`; each further one is twice as long, up to `MAX_EJECTION_TIME_S`. An answer in
time makes the next term the shortest again. Only the first ejection in a row is logged.

One that has work and has answered nothing for `MAX_SILENCE_SHARE` of the tightest objective gets
nothing new either. Where endpoint selection finds no other endpoint, or draws some in a large
fleet, ejected and silent ones get work too (the table in `endpoint_selection.py`).
"""

from __future__ import annotations

from hazelhollow.decisions.actions import WriteLog
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.state.endpoint import Endpoint

EJECTION_THRESHOLD = 2.5  # failures; a single one or two may be chance
BASE_EJECTION_TIME_S = 1.0
MAX_EJECTION_TIME_S = 8.0
FAILURE_MEMORY_S = 8.0  # in which a failure fades to nothing
MAX_SILENCE_SHARE = 0.6  # of the tightest objective
MAX_RECORDS = 16  # of one endpoint, until those that have faded are dropped
EVERY_CLASS = ""  # in place of a class's name


class OutlierRecord:
    """How an endpoint has failed lately.

    Attributes:
        failures: Their faded count as of `updated_at`.
        updated_at: The instant of the last failure.
        ejections: Ejections since the last good answer.
        ejected_until: When the term of the last one ends.
    """

    __slots__ = ("failures", "updated_at", "ejections", "ejected_until")

    def __init__(self) -> None:
        self.failures, self.updated_at, self.ejections, self.ejected_until = 0.0, 0.0, 0, 0.0

    def count_failure(self, now: float, weight: float = 1.0) -> float:
        """One more failure; returns the faded count."""
        faded = max(0.0, 1 - (now - self.updated_at) / FAILURE_MEMORY_S)
        self.failures = self.failures * faded + weight
        self.updated_at = now
        return self.failures

    def eject(self, now: float) -> None:
        """Begins a term, which is twice as long each time."""
        term = min(BASE_EJECTION_TIME_S * 2.0**self.ejections, MAX_EJECTION_TIME_S)
        self.ejections, self.ejected_until = self.ejections + 1, now + term

    def recover(self) -> None:
        """A good answer: failures are halved, and the next term is the shortest again."""
        self.failures, self.ejections = self.failures / 2, 0


def record_of(endpoint: Endpoint, class_name: str, now: float) -> OutlierRecord:
    """The record of a class, begun if there is none; faded ones make room for it."""
    record = endpoint.outlier_records.get(class_name)
    if record is None:
        if len(endpoint.outlier_records) >= MAX_RECORDS:
            endpoint.outlier_records = {
                name: known
                for name, known in endpoint.outlier_records.items()
                if now < max(known.ejected_until, known.updated_at) + FAILURE_MEMORY_S
            }
        record = endpoint.outlier_records[class_name] = OutlierRecord()
    return record


class OutlierDetection:
    """Counts failures, ejects endpoints, and says which may serve.

    Attributes:
        recent_failures: Failures seen here and when, by endpoint's tag and class's tag; the latest
            stands last. Limiters of a large fleet, each of which sees few, gossip them.
    """

    def __init__(self, context: DecisionContext, load: LoadEstimate) -> None:
        self._context, self._load = context, load
        self.recent_failures: dict[tuple[str, str], float] = {}

    def may_serve(self, endpoint: Endpoint, class_name: str) -> bool:
        """Whether it may get a request of that class.

        It may fail one class and serve the rest. Once its term is over it gets one attempt at a
        time.
        """
        records, now = endpoint.outlier_records, self._context.now
        known = [records[n] for n in (EVERY_CLASS, class_name) if n in records] if records else []
        for record in known:
            on_trial = now >= record.ejected_until and not endpoint.in_flight
            if record.failures >= EJECTION_THRESHOLD and not on_trial:
                return False
        return not self.is_silent(endpoint)

    def is_silent(self, endpoint: Endpoint) -> bool:
        """Whether it has work and has answered nothing for too long."""
        span = MAX_SILENCE_SHARE * self._load.tightest_objective
        return endpoint.is_silent(self._context.now, span)

    def record_failure(self, endpoint: Endpoint, class_name: str, weight: float = 1.0) -> None:
        """One more failure; ejects the endpoint at the threshold."""
        now = self._context.now
        record = record_of(endpoint, class_name, now)
        if record.count_failure(now, weight) >= EJECTION_THRESHOLD and now >= record.ejected_until:
            record.eject(now)
            if record.ejections == 1:
                what = class_name or "every class"
                self._context.actions.append(
                    WriteLog(f"ejected {endpoint.entry.name}: {what} fails")
                )

    def record_success(self, endpoint: Endpoint, class_name: str) -> None:
        """A good answer, in time."""
        records = endpoint.outlier_records
        for name in (EVERY_CLASS, class_name) if records else ():
            if name in records:
                records[name].recover()

    def record_for_gossip(self, endpoint_tag: str, class_tag: str) -> None:
        """Keeps a failure for gossip to peers."""
        self.recent_failures.pop((endpoint_tag, class_tag), None)
        self.recent_failures[endpoint_tag, class_tag] = self._context.now

    def latest_failures(self, limit: int, max_age: float) -> list[tuple[str, str]]:
        """The latest failures for gossip; forgets those of `max_age` seconds ago."""
        failures, now = self.recent_failures, self._context.now
        while failures and now - next(iter(failures.values())) >= max_age:
            del failures[next(iter(failures))]
        return list(failures)[-limit:]
