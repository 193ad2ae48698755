"""Measures the cost of a byte budget for quota gossip, by rate and by order of updates.

Runs real decision engines in virtual time: `python -m hazelhollow.bench.gossip_budget --help`. A
seed gives the same figures on any machine, and the same customers for all orders.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import NamedTuple

import click

from hazelhollow.bench.engine_fleet import EngineFleet, FleetOptions
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip.outbox import HEADER_BYTES, PendingUpdate
from hazelhollow.decisions.gossip.scheduler import GossipScheduler

UNITS_PER_S_PER_LIMITER = 40.0  # within quotas
# `HoldBack` delays charges below the first share of the burst, for customers that have more than
# the second share of the burst left.
HELD_BACK_SHARE, PLENTY_SHARE = 0.1, 0.5


class FirstCome(GossipScheduler):
    """Sends updates in order of arrival."""

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """Returns 1 for every useful update."""
        return 1.0 if super().usefulness(peer, update) > 0 else 0.0


class UnreportedOnly(GossipScheduler):
    """Sends the update with the most unreported units first, whatever the customer has left."""

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """Returns the units not reported to the peer, as a share of the burst."""
        account = self._accounts.by_name.get(update[0])
        return self.unreported(account, peer, update) if account else 0.0


class UnreportedByNearness(GossipScheduler):
    """Weights the unreported units by how close the customer is to its limit."""

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """Returns the unreported share of the burst, relative to what the customer has left."""
        account = self._accounts.by_name.get(update[0])
        unreported = self.unreported(account, peer, update) if account else 0.0
        return super().usefulness(peer, update) * unreported


class HoldBack(UnreportedByNearness):
    """Like `UnreportedByNearness`, but delays small charges of customers with plenty left.

    They are sent once they add up to HELD_BACK_SHARE, or when their period closes.
    """

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """Returns 0 for a small charge of a customer with plenty left."""
        account, useful = self._accounts.by_name.get(update[0]), super().usefulness(peer, update)
        if account is None or self.outbox is None or self.outbox.has_plenty():
            return useful
        if update[1] != self._context.period:
            return useful
        has_plenty = account.quota.level > PLENTY_SHARE * account.plan.burst
        is_small = self.unreported(account, peer, update) < HELD_BACK_SHARE
        return 0.0 if has_plenty and is_small else useful


ORDERS: dict[str, type[GossipScheduler]] = {
    "nearest": GossipScheduler,  # the order that the product uses
    "first-come": FirstCome,
    "untold": UnreportedOnly,
    "untold-by-nearness": UnreportedByNearness,
    "hold-back": HoldBack,
}


class BudgetFigures(NamedTuple):
    """The figures of one run.

    Values are shares of the value offered within quotas; traffic is per limiter and second, with
    headers.
    """

    served: float
    excess: float
    bytes_per_s: float
    datagrams_per_s: float

    @property
    def net(self) -> float:
        """Served value less the price of attempts beyond quotas."""
        return self.served - self.excess


def measure(seed: int, limiters: int, seconds: float, rate: float, order: str) -> BudgetFigures:
    """Runs one simulation.

    Args:
        seed: Seed of all draws.
        limiters: Number of limiters.
        seconds: Duration of the load.
        rate: Gossip budget of each limiter in bytes per second; 0 for no budget.
        order: The order of updates, one of ORDERS.

    Returns:
        The figures of the run.
    """
    options = FleetOptions(
        limiters=limiters,
        units_per_s=UNITS_PER_S_PER_LIMITER * limiters,
        make_engine=partial(DecisionEngine, scheduler_class=ORDERS[order]),
        settings={"gossip_bytes_per_s": rate},
    )
    figures, limiter_seconds = EngineFleet(seed, options).simulate(seconds), seconds * limiters
    sent_bytes = figures.gossip_bytes + HEADER_BYTES * figures.gossip_datagrams
    return BudgetFigures(
        figures.served_value / figures.offered_value,
        figures.excess_value / figures.offered_value,
        sent_bytes / limiter_seconds,
        figures.gossip_datagrams / limiter_seconds,
    )


def table(
    seeds: list[int], limiters: int, seconds: float, rates: list[float], orders: list[str]
) -> Iterator[str]:
    """Yields the lines of a Markdown table, each as soon as its runs are complete."""
    seed_columns = " | ".join(f"net, seed {seed}" for seed in seeds)
    yield (
        f"| bytes a second | order | {seed_columns} | mean net | mean over | bytes sent | "
        "datagrams |"
    )
    yield "| --- " * (len(seeds) + 6) + "|"
    for rate in rates:
        for order in orders if rate else ["nearest"]:
            runs = [measure(seed, limiters, seconds, rate, order) for seed in seeds]
            nets = " | ".join(f"{run.net:.3f}" for run in runs)
            means = BudgetFigures(*(sum(values) / len(runs) for values in zip(*runs, strict=True)))
            mean_net = sum(run.net for run in runs) / len(runs)
            yield (
                f"| {rate:,.0f} | {order if rate else 'no budget'} | {nets} | "
                f"{mean_net:.3f} | {means.excess:.3f} "
                f"| {means.bytes_per_s:,.0f} | {means.datagrams_per_s:.1f} |"
            )


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2, 3), show_default=True)
@click.option("--gateways", "limiters", default=50, show_default=True, type=click.IntRange(2, 1000))
@click.option("--seconds", default=8.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option(
    "--rate",
    "rates",
    multiple=True,
    type=float,
    default=(0.0, 3000.0, 2000.0, 1600.0),
    show_default=True,
    help="Gossip budget of each limiter in bytes per second; 0: no budget.",
)
@click.option(
    "--order",
    "orders",
    multiple=True,
    type=click.Choice(list(ORDERS)),
    default=("nearest",),
    show_default=True,
)
def main(
    seeds: tuple[int, ...],
    limiters: int,
    seconds: float,
    rates: tuple[float, ...],
    orders: tuple[str, ...],
) -> None:
    """Shows served value less the price of attempts beyond quotas, by gossip budget and order."""
    for line in table(list(seeds), limiters, seconds, list(rates), list(orders)):
        click.echo(line)


if __name__ == "__main__":
    main()
