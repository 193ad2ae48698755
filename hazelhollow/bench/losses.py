"""Measures the cost of losing each part of an engine's state.

The runs use real decision engines in virtual time, with some slow endpoints and one that fails.
Every few seconds one engine is replaced by a new one, which receives all of the old engine's state
except for one part. The cost is the difference to the same run in which nothing is lost.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable
from dataclasses import dataclass

from hazelhollow.bench.engine_fleet import EngineFleet, FleetOptions
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.outlier_detection import OutlierRecord

RESTART_INTERVAL_S = 3.0  # between restarts; limiters are restarted in turn
SLOW_EVERY, FAILING_EVERY = 3, 11  # one endpoint in this many is slow, or fails
SLOW_FACTOR = 2.5  # multiple of the usual answer time
FAILURE_S = 0.02  # answer time of a failing endpoint
NOTHING, EVERYTHING = "nothing", "everything"
OPTIONS = FleetOptions(limiters=5, units_per_s=120.0, endpoints=15, answer_time_s=0.3)


class RestartingFleet(EngineFleet):
    """A fleet whose engines are restarted in turn.

    Args:
        seed: Seed of all draws.
        lost: The part of STATES that new engines do not receive; or EVERYTHING, or NOTHING.
        options: The parameters of the simulation.
    """

    def __init__(self, seed: int, lost: str, options: FleetOptions) -> None:
        super().__init__(seed, options)
        self._lost, self._next_restart = lost, 0
        self.timeline.at(self.timeline.now + RESTART_INTERVAL_S, self._restart)

    def answer(self, endpoint: str, units: int) -> tuple[api.Status, float]:
        """Returns the result of an attempt and the seconds until it ends."""
        number, (status, elapsed) = int(endpoint[1:]), super().answer(endpoint, units)
        if number % FAILING_EVERY == FAILING_EVERY - 1:
            return "error", FAILURE_S
        return status, elapsed * (SLOW_FACTOR if number % SLOW_EVERY == 0 else 1.0)

    def _restart(self) -> None:
        number = self._next_restart % len(self.engines)
        self._next_restart += 1
        old = self.engines[number]
        new = DecisionEngine(old.settings, seed=self.random.randrange(1 << 30))
        self.engines[number] = new
        self.send_endpoint_list(number)
        if self._lost != EVERYTHING:
            copy_state(old, new, self._lost)
        self.timeline.at(self.timeline.now + RESTART_INTERVAL_S, self._restart)


def copy_state(old: DecisionEngine, new: DecisionEngine, lost: str) -> None:
    """Copies all of the old engine's state except for one part to the new engine."""
    for name, part in STATES.items():
        if name != lost:
            _copy(old, new, part.attributes)
        elif part.reset:
            part.reset(old)
            _copy(old, new, part.attributes)


def _copy(old: DecisionEngine, new: DecisionEngine, attributes: tuple[str, ...]) -> None:
    for path in attributes:
        component, _, attribute = path.partition(".")
        source, target = getattr(old, component), getattr(new, component)
        for name in vars(source) if attribute == "*" else (attribute,):
            setattr(target, name, getattr(source, name))


def _reset_quotas(old: DecisionEngine) -> None:
    """Resets quotas to the state in which a new incarnation starts."""
    old.context.started_at = old.context.now
    for account in old.accounts.values():
        account.quota.level = account.plan.burst / max(account.set_size, 1)
        account.announced.level, account.has_announcement = account.plan.burst, False
        account.charges.own, account.charges.reported = {}, {}


def _reset_ceilings(old: DecisionEngine) -> None:
    for account in old.accounts.values():
        account.ceiling.level = 0.0


def _reset_open_requests(old: DecisionEngine) -> None:
    for account in old.accounts.values():
        account.open_requests, account.peers_open = 0, {}
    old.pending.by_id = {}


def _reset_failures(old: DecisionEngine) -> None:
    old.outliers.recent_failures = {}
    for endpoint in old.endpoints.values():
        endpoint.outlier_records = dict[str, OutlierRecord]()


def _reset_load(old: DecisionEngine) -> None:
    fresh = DecisionEngine(old.settings, seed=1)
    old.load.classes, old.load.queue_wait = fresh.load.classes, 0.0
    old.load.mean_attempt_time = fresh.load.mean_attempt_time
    old.load_shedding.time_left = fresh.load_shedding.time_left
    old.load_shedding.demand = fresh.load_shedding.demand
    for endpoint in old.endpoints.values():
        endpoint.work_factor = 1.0


@dataclass(frozen=True)
class StatePart:
    """A part of an engine's state that can be lost.

    Args:
        attributes: Paths of the state: `component.attribute` of the engine, or `component.*` for
            all attributes of a component.
        reset: Removes the state from the old engine before `attributes` are copied, where these
            hold other state too; if None, they are not copied.
    """

    attributes: tuple[str, ...]
    reset: Callable[[DecisionEngine], None] | None = None


# By name in the report.
STATES: dict[str, StatePart] = {
    "budgets and what was settled": StatePart(
        ("context.started_at", "startup.all_started_together"),
        _reset_quotas,
    ),
    "ceilings' shares": StatePart(
        ("customer_accounts.by_name", "customer_accounts.checks", "replicated_accounts.unclosed"),
        _reset_ceilings,
    ),
    "requests open, keys not answered": StatePart(("pending.by_id",), _reset_open_requests),
    "hosts that failed": StatePart(("table.*",), _reset_failures),
    # Lost together: demand is measured in learned work, and one without the other rejects nearly
    # all requests.
    "work, paces and clients' ways learned": StatePart(
        (
            "load.classes",
            "load.queue_wait",
            "load.mean_attempt_time",
            "load_shedding.time_left",
            "load_shedding.demand",
        ),
        _reset_load,
    ),
    "retry budget": StatePart(("retry_budget.available", "quota.excess_units")),
    "peers' loads and lives": StatePart(
        ("peer_loads.by_peer", "startup.incarnations", "context.incarnation"),
    ),
    "news not told yet": StatePart(
        (
            "gossip.unsent",
            "gossip.charged_this_period",
            "gossip.final_due",
            "gossip.overdue",
        ),
    ),
}


def simulate(
    seed: int, lost: str, seconds: float, options: FleetOptions = OPTIONS
) -> dict[str, float]:
    """Returns served and excess value as shares of the offered value, and the lowest ceiling."""
    figures = RestartingFleet(seed, lost, options).simulate(seconds)
    return {
        "served": figures.served_value / figures.offered_value,
        "over": figures.excess_value / figures.offered_value,
        "ceiling": figures.lowest_ceiling,
    }


def report(
    seeds: int,
    seconds: float,
    progress: Callable[[str], None],
    options: FleetOptions = OPTIONS,
) -> dict[str, dict[str, float]]:
    """Returns the cost of each loss, compared with the same runs without a loss.

    Args:
        seeds: Number of runs for each loss.
        seconds: Duration of each run.
        progress: Called with the name of the next loss.
        options: The parameters of the simulation.

    Returns:
        By loss: the mean decrease of the served value and increase of the excess value, the
        standard deviation of the former, and the lowest ceiling.
    """
    seed_range = range(1, seeds + 1)
    base = [simulate(seed, NOTHING, seconds, options) for seed in seed_range]
    costs = {}
    for lost in (*STATES, EVERYTHING):
        progress(lost)
        rows = [simulate(seed, lost, seconds, options) for seed in seed_range]
        served_less = [b["served"] - r["served"] for b, r in zip(base, rows, strict=True)]
        over_more = [r["over"] - b["over"] for b, r in zip(base, rows, strict=True)]
        costs[lost] = {
            "served_less": round(statistics.mean(served_less), 4),
            "over_more": round(statistics.mean(over_more), 4),
            "spread": round(statistics.stdev(served_less), 4) if seeds > 1 else 0.0,
            "lowest_ceiling": round(min(row["ceiling"] for row in rows), 1),
        }
    return costs
