"""What the loss of each state costs.

A gateway is killed and started again, and all that it knew is given back but one thing.

Real modules in memory, virtual time, datagrams that come late or never; some hosts are slow, one
fails. The cost is the difference to the same run with everything given back.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable
from typing import Any

from hazelhollow.bench.modules import Fleet
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.outlier_detection import OutlierRecord

EVERY = 3.0  # seconds between kills, of one gateway after another
SLOW, FAILING = 3, 11  # one host in so many is so
SLOWER = 2.5


class Killed(Fleet):
    """`lost`: the state that is not given back, one of STATES; `everything`, or nothing."""

    def __init__(
        self, seed: int, lost: str, gateways: int = 5, hosts: int = 15, **changes: Any
    ) -> None:
        self.lost, self._next = lost, 0
        super().__init__(seed, limiter_count=gateways, load=120.0, hosts=hosts, stay=0.3, **changes)
        self.at(self.now + EVERY, self._kill)

    def answer(self, server: str, units: int) -> tuple[api.Status, float]:
        number, (status, elapsed) = int(server[1:]), super().answer(server, units)
        if number % FAILING == FAILING - 1:
            return "error", 0.02
        return status, elapsed * (SLOWER if number % SLOW == 0 else 1.0)

    def _kill(self) -> None:
        me, self._next = self._next % self.number, self._next + 1
        old = self.gateways[me]
        new = self.gateways[me] = DecisionEngine(old.settings, seed=self.random.randrange(1 << 30))
        self.tell(me, api.EndpointsUpdated("cached", tuple(self.hosts)))
        if self.lost != "everything":
            give_back(old, new, self.lost)
        self.at(self.now + EVERY, self._kill)


def give_back(old: DecisionEngine, new: DecisionEngine, but: str) -> None:
    """All that the old incarnation knew, but one state."""
    for name, (attributes, take_away) in STATES.items():
        if name != but:
            _hand_on(old, new, attributes)
        elif take_away:
            take_away(old)
            _hand_on(old, new, attributes)


def _hand_on(old: DecisionEngine, new: DecisionEngine, attributes: tuple[str, ...]) -> None:
    """Each attribute is a part of the engine and what that holds: `part.attribute`, or `part.*`."""
    for attribute in attributes:
        part, _, name = attribute.partition(".")
        before, after = getattr(old, part), getattr(new, part)
        for one in vars(before) if name == "*" else (name,):
            setattr(after, one, getattr(before, one))


def _no_budgets(old: DecisionEngine) -> None:
    """What a new incarnation would begin with."""
    old.context.started_at = old.context.now
    for account in old.accounts.values():
        account.quota.level = account.plan.burst / max(account.set_size, 1)
        account.announced.level, account.has_announcement = account.plan.burst, False
        account.charges.own, account.charges.reported = {}, {}


def _no_ceilings(old: DecisionEngine) -> None:
    for account in old.accounts.values():
        account.ceiling.level = 0.0


def _no_open(old: DecisionEngine) -> None:
    for account in old.accounts.values():
        account.open_requests, account.peers_open = 0, {}
    old.pending.by_id = {}


def _no_failures(old: DecisionEngine) -> None:
    old.outliers.recent_failures = {}
    for endpoint in old.endpoints.values():
        endpoint.outlier_records = dict[str, OutlierRecord]()


def _no_paces(old: DecisionEngine) -> None:
    fresh = DecisionEngine(old.settings, seed=1)
    old.load.classes, old.load.queue_wait = fresh.load.classes, 0.0
    old.load.mean_attempt_time = fresh.load.mean_attempt_time
    old.load_shedding.time_left = fresh.load_shedding.time_left
    old.load_shedding.demand = fresh.load_shedding.demand
    for endpoint in old.endpoints.values():
        endpoint.work_factor = 1.0


Take = Callable[[DecisionEngine], None]
STATES: dict[str, tuple[tuple[str, ...], Take | None]] = {
    "budgets and what was settled": (
        ("context.started_at", "startup.all_started_together"),
        _no_budgets,
    ),
    "ceilings' shares": (
        ("customer_accounts.by_name", "customer_accounts.checks", "replicated_accounts.unclosed"),
        _no_ceilings,
    ),
    "requests open, keys not answered": (("pending.by_id",), _no_open),
    "hosts that failed": (("table.*",), _no_failures),
    # Together: what is asked for is reckoned in learned work, and one without the other refuses
    # nearly all.
    "work, paces and clients' ways learned": (
        (
            "load.classes",
            "load.queue_wait",
            "load.mean_attempt_time",
            "load_shedding.time_left",
            "load_shedding.demand",
        ),
        _no_paces,
    ),
    "retry budget": (("retry_budget.available", "quota.excess_units"), None),
    "peers' loads and lives": (
        ("peer_loads.by_peer", "startup.incarnations", "context.incarnation"),
        None,
    ),
    "news not told yet": (
        (
            "gossip.unsent",
            "gossip.charged_this_period",
            "gossip.final_due",
            "gossip.overdue",
        ),
        None,
    ),
}


def play(seed: int, lost: str, seconds: float, **changes: Any) -> dict[str, float]:
    """Shares of the worth asked for inside quotas: served, and the price of what went beyond."""
    count = Killed(seed, lost, **changes).play(seconds)
    return {
        "served": count.served / count.offered,
        "over": count.over / count.offered,
        "ceiling": count.lowest_ceiling,
    }


def report(
    seeds: int, seconds: float, progress: Callable[[str], None], **changes: Any
) -> dict[str, dict[str, float]]:
    """By state.

    How much less is served and how much more goes beyond than with everything given back; means and
    the spread.
    """
    base = [play(seed, "nothing", seconds, **changes) for seed in range(1, seeds + 1)]
    found = {}
    for lost in (*STATES, "everything"):
        progress(lost)
        rows = [play(seed, lost, seconds, **changes) for seed in range(1, seeds + 1)]
        found[lost] = {
            "served_less": round(
                statistics.mean(b["served"] - r["served"] for b, r in zip(base, rows, strict=True)),
                4,
            ),
            "over_more": round(
                statistics.mean(r["over"] - b["over"] for b, r in zip(base, rows, strict=True)), 4
            ),
            "spread": round(
                statistics.stdev(
                    b["served"] - r["served"] for b, r in zip(base, rows, strict=True)
                ),
                4,
            )
            if seeds > 1
            else 0.0,
            "lowest_ceiling": round(min(r["ceiling"] for r in rows), 1),
        }
    return found
