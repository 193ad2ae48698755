"""The commands `hazelhollow bench store` and `cpu`: limiters with a shared store."""

from __future__ import annotations

import os
import sys
from typing import Any

import click

from hazelhollow.bench import cpu, store, store_faults
from hazelhollow.bench.output import write_json

EXIT_INTERRUPTED = 130


@click.command("store")
@click.option(
    "--runs",
    default=100,
    show_default=True,
    type=click.IntRange(1, 10_000),
    help="Runs of each kind, with consecutive seeds.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the first run.")
@click.option("--limiters", default=3, show_default=True, type=click.IntRange(1, 200))
@click.option(
    "--seconds",
    default=40.0,
    show_default=True,
    type=click.FloatRange(12.0, 600.0),
    help="Seconds of virtual time in each run.",
)
@click.option(
    "--faults",
    multiple=True,
    type=click.Choice([*store_faults.KINDS, "all"]),
    help="Kind of faults; may be repeated. [default: all]",
)
@click.option(
    "--hold",
    default="both",
    show_default=True,
    type=click.Choice(["both", "ceilings", "quotas"]),
    help="Which limits the store keeps.",
)
@click.option(
    "--plans",
    default="",
    metavar="A,B",
    help="Plans whose limits the store keeps. [default: those with a ceiling]",
)
@click.option(
    "--uneven",
    is_flag=True,
    help=(
        "Nine tenths of a customer's requests arrive at one limiter, which changes every few "
        "seconds."
    ),
)
@click.option(
    "--processes",
    default=0,
    type=click.IntRange(0, 256),
    help="Parallel processes. [default: number of cores]",
)
@click.option(
    "--json", "file", metavar="FILE", help="Write the figures to this file; '-' prints them."
)
def store_command(
    runs: int,
    seed: int,
    limiters: int,
    seconds: float,
    faults: tuple[str, ...],
    hold: str,
    plans: str,
    uneven: bool,
    processes: int,
    file: str | None,
) -> None:
    """Month-end load on limiters that keep their limits in a store, the Redis stand-in.

    There are --runs runs for each kind of fault and, for comparison, as many with even shares and
    with no store. A run is broken if any customer's limit was exceeded by more than 10% of its
    burst or one largest request, whichever is greater, plus 150 ms of its rate. Exit status 1: a
    run was broken.
    """
    kinds = list(store_faults.KINDS)
    if faults and "all" not in faults:
        kinds = list(dict.fromkeys(faults))
    names = tuple(name for name in plans.split(",") if name)
    jobs = [
        store.Job(
            number, kind, limiters, seconds, hold, kind != store_faults.NO_STORE, names, uneven
        )
        for kind in [*kinds, store_faults.EVEN_SPLIT, store_faults.NO_STORE]
        for number in range(seed, seed + runs)
    ]
    figures = store.summary(_run_all(jobs, processes or os.cpu_count() or 1))
    if file:
        write_json(figures, file)
    else:
        _print_table(figures)
    sys.exit(1 if figures["broken"] else 0)


def _run_all(jobs: list[store.Job], processes: int) -> list[store.Result]:
    """Returns all results; exits with status 130 on a keyboard interrupt."""
    results = list[store.Result]()
    try:
        for result in store.run_jobs(jobs, processes):
            results.append(result)
            if sys.stderr.isatty():
                broken = sum(result.broken for result in results)
                text = f"\r{len(results)} of {len(jobs)} runs, {broken} broken"
                click.echo(text, nl=False, err=True)
    except KeyboardInterrupt:
        click.echo(
            f"\nstopped after {len(results)} of {len(jobs)} runs; no figures",
            err=True,
        )
        sys.exit(EXIT_INTERRUPTED)
    return results


def _print_table(figures: dict[str, Any]) -> None:
    for name, value in figures.items():
        if name != "by_fault":
            click.echo(f"{name:40} {value}")
    for kind, row in figures["by_fault"].items():
        click.echo(
            f"  {kind:14} broken {row['broken']:3}  over "
            f"{row['worst_overshoot_share']:7.4f}  calls a kept request "
            f"{row['calls_per_kept_request']:.3f}  refused with room "
            f"{row['refused_with_room_share']:.4f}"
        )


@click.command("cpu")
@click.option(
    "--pairs",
    default=5,
    show_default=True,
    type=click.IntRange(1, 100),
    help="Pairs of runs, without and with the store.",
)
@click.option(
    "--requests",
    default=8000,
    show_default=True,
    type=click.IntRange(160, 1_000_000),
    help="Requests measured in each run.",
)
@click.option(
    "--json", "file", metavar="FILE", help="Write the figures to this file; '-' prints them."
)
def cpu_command(pairs: int, requests: int, file: str | None) -> None:
    """CPU time per request of a limiter on sockets, with and without a store.

    Needs an otherwise idle machine; only the ratio is meaningful.
    """
    rows = []
    for row in cpu.compare(pairs, requests):
        rows.append(row)
        click.echo(
            f"{len(rows)} of {pairs}: {row['without_us']:.0f} and {row['with_us']:.0f} "
            f"µs, ratio {row['ratio']:.3f}",
            err=True,
        )
    write_json(cpu.summary(rows), file)
