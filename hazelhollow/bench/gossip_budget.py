"""What a budget of bytes for the quota gossip costs.

Real decision modules in virtual time, by rate and by order of the news.

`python -m hazelhollow.bench.gossip_budget --help`. A seed gives the same figures on any machine,
and all orders the same customers.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import NamedTuple

import click

from hazelhollow.bench.modules import Fleet
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip.outbox import HEADER_BYTES, PendingUpdate
from hazelhollow.decisions.gossip.scheduler import GossipScheduler

LOAD_PER_GATEWAY = 40.0  # units a second inside quotas
# of the burst: what `HoldBack` keeps back, of customers with so much left
HELD_BACK, FAR = 0.1, 0.5


class FirstCome(GossipScheduler):
    """Tells all updates in the order in which they came."""

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """The same for all that are of use."""
        return 1.0 if super().usefulness(peer, update) > 0 else 0.0


class UntoldOnly(GossipScheduler):
    """Tells what is most units behind, whatever the customer has left."""

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """The untold share of the burst."""
        account = self._accounts.by_name.get(update[0])
        return self.unreported(account, peer, update) if account else 0.0


class UntoldByNearness(GossipScheduler):
    """Tells most units behind, against what the customer has left."""

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """The untold share of the burst against what is left."""
        account = self._accounts.by_name.get(update[0])
        untold = self.unreported(account, peer, update) if account else 0.0
        return super().usefulness(peer, update) * untold


class HoldBack(UntoldByNearness):
    """The same.

    But small charges of customers with much left wait until they add up or the period closes.
    """

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """0 for a small charge of a customer with much left."""
        account, useful = self._accounts.by_name.get(update[0]), super().usefulness(peer, update)
        if account is None or self.outbox is None or self.outbox.has_plenty():
            return useful
        if update[1] != self._context.period:
            return useful
        far = account.quota.level > FAR * account.plan.burst
        return 0.0 if far and self.unreported(account, peer, update) < HELD_BACK else useful


ORDERS: dict[str, type[GossipScheduler]] = {
    "nearest": GossipScheduler,  # the product's own
    "first-come": FirstCome,
    "untold": UntoldOnly,
    "untold-by-nearness": UntoldByNearness,
    "hold-back": HoldBack,
}


class Figures(NamedTuple):
    """Of one run.

    Shares are of the worth offered inside quotas, bytes are a gateway's, a second, headers
    included.
    """

    served: float
    over: float
    bytes_per_s: float
    datagrams_per_s: float

    @property
    def net(self) -> float:
        return self.served - self.over


def measure(seed: int, gateways: int, seconds: float, rate: float, order: str) -> Figures:
    """One run. `rate`: bytes a second for each gateway, 0: no budget."""
    load = LOAD_PER_GATEWAY * gateways
    make = partial(DecisionEngine, scheduler_class=ORDERS[order])
    fleet = Fleet(seed, gateways, load, make=make, gossip_bytes_per_s=rate)
    count, span = fleet.play(seconds), seconds * gateways
    sent = (count.message_bytes + HEADER_BYTES * count.messages) / span
    return Figures(
        count.served / count.offered, count.over / count.offered, sent, count.messages / span
    )


def lines(
    seeds: list[int], gateways: int, seconds: float, rates: list[float], orders: list[str]
) -> Iterator[str]:
    """A Markdown table, a line as soon as its runs are done."""
    nets = " | ".join(f"net, seed {seed}" for seed in seeds)
    yield f"| bytes a second | order | {nets} | mean net | mean over | bytes sent | datagrams |"
    yield "| --- " * (len(seeds) + 6) + "|"
    for rate in rates:
        for order in orders if rate else ["nearest"]:
            found = [measure(seed, gateways, seconds, rate, order) for seed in seeds]
            net = " | ".join(f"{one.net:.3f}" for one in found)
            means = [sum(values) / len(found) for values in zip(*found, strict=True)]
            mean_net = sum(one.net for one in found) / len(found)
            yield (
                f"| {rate:,.0f} | {order if rate else 'no budget'} | {net} | "
                f"{mean_net:.3f} | {means[1]:.3f} "
                f"| {means[2]:,.0f} | {means[3]:.1f} |"
            )


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2, 3), show_default=True)
@click.option("--gateways", default=50, show_default=True, type=click.IntRange(2, 1000))
@click.option("--seconds", default=8.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option(
    "--rate",
    "rates",
    multiple=True,
    type=float,
    default=(0.0, 3000.0, 2000.0, 1600.0),
    show_default=True,
    help="Bytes a second for each gateway; 0: no budget.",
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
    gateways: int,
    seconds: float,
    rates: tuple[float, ...],
    orders: tuple[str, ...],
) -> None:
    """Worth served less the price of tries beyond quotas, under budgets of the gossip."""
    for line in lines(list(seeds), gateways, seconds, list(rates), list(orders)):
        click.echo(line)


if __name__ == "__main__":
    main()
