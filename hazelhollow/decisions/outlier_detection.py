"""Outlier detection: failing endpoints are ejected, for one class or for all, and readmitted.

An `OutlierRecord` counts an endpoint's failures for one class or, under "", for every class:

| state     | transition                                   | next state                       |
| --------- | -------------------------------------------- | -------------------------------- |
| serving   | `EJECTION_THRESHOLD` failures are counted    | ejected                          |
| ejected   | its ejection time is over, and no attempt of | half-open                        |
|           | any class is in flight                       |                                  |
| ejected   | an answer in time halves the failures to     | serving, even before the         |
|           | below the threshold                          | ejection time is over            |
| half-open | an attempt (one at a time) is answered in    | serving if below the threshold,  |
|           | time                                         | else half-open                   |
| half-open | an attempt fails; the threshold is reached   | ejected, for twice as long       |
| half-open | an attempt fails; the threshold is not       | serving                          |
|           | reached                                      |                                  |

What counts as a failure, and for which class, is defined in `attempts.py` (`_learn`,
`_record_failure`). In a large fleet a refused connection counts as `EJECTION_THRESHOLD` failures,
and failures reported by peers count like local ones (`gossip/receiver.py`). The failure count
decays linearly to zero over `FAILURE_MEMORY_S`; the decay is computed when the next failure is
counted. An answer in time halves the count. The first ejection lasts `BASE_EJECTION_TIME_S`; each
further one lasts twice as long, up to `MAX_EJECTION_TIME_S`. An answer in time resets the next
ejection time to the shortest. Only the first of consecutive ejections is logged.

An endpoint that has work and has sent no byte of an answer for `MAX_SILENCE_SHARE` of the tightest
objective gets no new work either. Ejected and silent endpoints do get work if endpoint selection
finds no other endpoint, or, in a large fleet, none in its samples (the table in
`endpoint_selection.py`).
"""

from __future__ import annotations

from hazelhollow.decisions.actions import WriteLog
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.pending_requests import Attempt

EJECTION_THRESHOLD = 2.5  # failures; one or two may be coincidence
BASE_EJECTION_TIME_S = 1.0
MAX_EJECTION_TIME_S = 8.0
FAILURE_MEMORY_S = 8.0  # time in which a failure decays to zero
MAX_SILENCE_SHARE = 0.6  # of the tightest objective
MAX_RECORDS = 16  # records per endpoint at which expired ones are dropped
EVERY_CLASS = ""  # used in place of a class name


class OutlierRecord:
    """The recent failures and the ejection state of an endpoint.

    Attributes:
        failures: The decayed failure count as of `updated_at`.
        updated_at: The time of the last failure.
        ejections: Ejections since the last answer in time.
        ejected_until: The end of the last ejection.
    """

    __slots__ = ("failures", "updated_at", "ejections", "ejected_until")

    def __init__(self) -> None:
        self.failures, self.updated_at, self.ejections, self.ejected_until = 0.0, 0.0, 0, 0.0

    def count_failure(self, now: float, weight: float = 1.0) -> float:
        """Counts a failure; returns the decayed count."""
        decay = max(0.0, 1 - (now - self.updated_at) / FAILURE_MEMORY_S)
        self.failures = self.failures * decay + weight
        self.updated_at = now
        return self.failures

    def eject(self, now: float) -> None:
        """Ejects the endpoint, each time for twice as long."""
        duration = min(BASE_EJECTION_TIME_S * 2.0**self.ejections, MAX_EJECTION_TIME_S)
        self.ejections, self.ejected_until = self.ejections + 1, now + duration

    def recover(self) -> None:
        """Halves the failures after an answer in time, and resets the next ejection time."""
        self.failures, self.ejections = self.failures / 2, 0


def get_or_create_record(endpoint: Endpoint, class_name: str, now: float) -> OutlierRecord:
    """Returns the record of a class, created if absent; drops expired ones at MAX_RECORDS."""
    record = endpoint.outlier_records.get(class_name)
    if record is None:
        if len(endpoint.outlier_records) >= MAX_RECORDS:
            endpoint.outlier_records = {
                name: existing
                for name, existing in endpoint.outlier_records.items()
                if now < max(existing.ejected_until, existing.updated_at) + FAILURE_MEMORY_S
            }
        record = endpoint.outlier_records[class_name] = OutlierRecord()
    return record


class OutlierDetection:
    """Counts failures, ejects endpoints, and decides which may serve.

    Attributes:
        recent_failures: The times of failures observed by this limiter, by the endpoint's and the
            class's tag, latest last. They are gossiped in a large fleet, where each limiter
            observes few.
    """

    def __init__(self, context: DecisionContext, load: LoadEstimate) -> None:
        self._context, self._load = context, load
        self.recent_failures: dict[tuple[str, str], float] = {}

    def may_serve(self, endpoint: Endpoint, class_name: str) -> bool:
        """Whether an endpoint may get a request of a class.

        An endpoint may be ejected for one class and serve the others. After its ejection time it
        gets one attempt at a time.
        """
        records, now = endpoint.outlier_records, self._context.now
        relevant = (
            [records[n] for n in (EVERY_CLASS, class_name) if n in records] if records else []
        )
        for record in relevant:
            half_open = now >= record.ejected_until and not endpoint.in_flight
            if record.failures >= EJECTION_THRESHOLD and not half_open:
                return False
        return not self.is_silent(endpoint)

    def max_silence(self) -> float:
        """Returns the seconds after which an endpoint, or an answer, counts as silent."""
        return MAX_SILENCE_SHARE * self._load.tightest_objective

    def is_silent(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint has work and has sent no byte of an answer for too long."""
        return endpoint.is_silent(self._context.now, self.max_silence())

    def has_progressed(self, attempt: Attempt) -> bool:
        """Whether bytes of an attempt's incomplete answer have just arrived."""
        return self._context.now - attempt.progressed_at <= self.max_silence()

    def record_failure(self, endpoint: Endpoint, class_name: str, weight: float = 1.0) -> None:
        """Counts a failure; ejects the endpoint at the threshold."""
        now = self._context.now
        record = get_or_create_record(endpoint, class_name, now)
        if record.count_failure(now, weight) >= EJECTION_THRESHOLD and now >= record.ejected_until:
            record.eject(now)
            if record.ejections == 1:
                scope = class_name or "every class"
                self._context.actions.append(
                    WriteLog(
                        f"ejected endpoint {endpoint.entry.name}: too many failures for {scope}"
                    )
                )

    def record_success(self, endpoint: Endpoint, class_name: str) -> None:
        """Records a successful answer that came in time."""
        records = endpoint.outlier_records
        for name in (EVERY_CLASS, class_name) if records else ():
            if name in records:
                records[name].recover()

    def record_for_gossip(self, endpoint_tag: str, class_tag: str) -> None:
        """Stores a failure to be gossiped to peers."""
        self.recent_failures.pop((endpoint_tag, class_tag), None)
        self.recent_failures[endpoint_tag, class_tag] = self._context.now

    def latest_failures(self, limit: int, max_age: float) -> list[tuple[str, str]]:
        """Returns the latest failures for gossip; drops those at least `max_age` seconds old."""
        failures, now = self.recent_failures, self._context.now
        while failures and now - next(iter(failures.values())) >= max_age:
            del failures[next(iter(failures))]
        return list(failures)[-limit:]
