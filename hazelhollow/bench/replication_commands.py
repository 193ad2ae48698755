"""The commands `hazelhollow bench replica` and `model`: replicated counts in memory."""

from __future__ import annotations

import sys
from contextlib import nullcontext
from pathlib import Path

import click

from hazelhollow.bench import replica
from hazelhollow.bench.count_model.cluster import Bounds
from hazelhollow.bench.count_model.exploration import explore
from hazelhollow.bench.count_model.fault_plan import as_plan
from hazelhollow.bench.count_model.planted_mistakes import MISTAKES, plant_mistake
from hazelhollow.bench.output import (
    exit_for_bad_arguments,
    parse_numbers,
    progress_display,
    write_json,
)
from hazelhollow.fault_injection import plan


@click.command("replica")
@click.option(
    "--customers",
    default="100,10000",
    show_default=True,
    metavar="N,M",
    help="Numbers of customers for the catch-up of a new member.",
)
@click.option(
    "--lose",
    default="0,10,30",
    show_default=True,
    metavar="P,Q",
    help="Percentages of datagrams lost during the catch-up.",
)
@click.option(
    "--fleets",
    default="5,20",
    show_default=True,
    metavar="N,M",
    help="Numbers of members for the steady state and the heal.",
)
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 1000))
@click.option(
    "--json", "file", metavar="FILE", help="Write the figures to this file; '-' prints them."
)
def replica_command(customers: str, lose: str, fleets: str, seeds: int, file: str | None) -> None:
    """Replicated counts in memory: catch-up, steady cost, the heal of a split, bytes per count.

    Exit status 1: a catch-up did not complete within ten minutes, or did not transfer each customer
    exactly once.
    """
    try:
        sizes = parse_numbers(customers, 0, 1_000_000)
        losses = parse_numbers(lose, 0, 90)
        members = parse_numbers(fleets, 2, 200)
    except ValueError as error:
        exit_for_bad_arguments(error)
    loss_shares = [percent / 100 for percent in losses]
    result = replica.report(sizes, loss_shares, seeds, members, progress_display())
    write_json(result, file)
    failed = any(
        row["told"] != row["customers"] or row["worst_seconds"] > replica.CATCH_UP_TIMEOUT_S
        for row in result["catch_up"]
    )
    sys.exit(1 if failed else 0)


@click.command("model")
@click.option("--members", default=2, show_default=True, type=click.IntRange(2, 4))
@click.option("--charges", default=2, show_default=True, type=click.IntRange(0, 4))
@click.option(
    "--sends",
    default=2,
    show_default=True,
    type=click.IntRange(0, 5),
    help="Datagrams of gossip and of counts, together.",
)
@click.option(
    "--turns", default=3, show_default=True, type=click.IntRange(0, 6), help="Ends of periods."
)
@click.option("--crashes", default=1, show_default=True, type=click.IntRange(0, 3))
@click.option(
    "--copies",
    default=1,
    show_default=True,
    type=click.IntRange(0, 3),
    help="Datagrams that are duplicated.",
)
@click.option(
    "--lags",
    default=1,
    show_default=True,
    type=click.IntRange(0, 3),
    help="Ends of periods that one member misses because its clock lags.",
)
@click.option("--depth", default=6, show_default=True, type=click.IntRange(1, 20), help="Steps.")
@click.option(
    "--plant", type=click.Choice(sorted(MISTAKES)), help="A mistake to plant, which must be found."
)
@click.option(
    "--plan", "file", metavar="FILE", help="Write the violation as a plan for `fleet replay`."
)
def model_command(
    members: int,
    charges: int,
    sends: int,
    turns: int,
    crashes: int,
    copies: int,
    lags: int,
    depth: int,
    plant: str | None,
    file: str | None,
) -> None:
    """Explores every order of charges, datagrams, crashes and catch-up within these bounds.

    The merge and the catch-up are the product's own.

    Exit status 1: a charge was counted twice or was lost; the shortest sequence of steps that leads
    to this is printed.
    """
    bounds = Bounds(members, charges, sends, turns, crashes, copies, lags, depth)
    tty = sys.stderr.isatty()

    def progress(states: int) -> None:
        if tty:
            click.echo(f"\r{states} states", nl=False, err=True)

    with plant_mistake(plant) if plant else nullcontext():
        result = explore(bounds, progress)
    click.echo(
        f"{result.states} states: {result.failure or 'each charge counts once in all of them'}"
    )
    for step in result.steps:
        click.echo(f"  {step}")
    if result.steps and file:
        Path(file).write_bytes(plan.write(as_plan(bounds, result.steps, result.failure)))
    sys.exit(1 if result.steps else 0)
