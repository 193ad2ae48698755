"""The commands `hazelhollow bench fleet` and `zones`: membership in virtual time."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import orjson

from hazelhollow.bench import fleet, zones
from hazelhollow.bench.output import (
    exit_for_bad_arguments,
    parse_numbers,
    progress_display,
    write_json,
)


@click.command("fleet")
@click.option(
    "--sizes",
    default="20,100",
    show_default=True,
    metavar="N,M",
    help="Numbers of members, 3 to 2000.",
)
@click.option(
    "--seeds",
    default=5,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Number of fleets of each size.",
)
@click.option(
    "--lose",
    default=0.1,
    show_default=True,
    type=click.FloatRange(0.0, 0.9),
    help="Share of datagrams lost while false deaths are counted.",
)
@click.option(
    "--minutes",
    default=5.0,
    show_default=True,
    type=click.FloatRange(0.0, 600.0),
    help="Minutes of virtual time for which false deaths are counted; 0: none.",
)
@click.option(
    "--json", "file", metavar="FILE", help="Write the figures to this file; '-' prints them."
)
@click.option(
    "--plot",
    metavar="FILE",
    help="Plot the figures by size as SVG or PNG (needs requirements-plot.txt).",
)
def fleet_command(
    sizes: str, seeds: int, lose: float, minutes: float, file: str | None, plot: str | None
) -> None:
    """Membership in memory: seconds to settle after starts, crashes, a split and its heal.

    Exit status 1: a fleet did not settle within a minute.
    """
    try:
        counts = [int(size) for size in sizes.split(",")]
        if not all(3 <= count <= 2000 for count in counts):
            raise ValueError(f"a fleet must have 3 to 2000 members, got {sizes}")
        if plot:
            # Imported before the runs, which take long, because matplotlib may not be installed.
            from hazelhollow.bench import plots
    except (ValueError, ModuleNotFoundError) as error:
        exit_for_bad_arguments(error)
    results = fleet.report(counts, seeds, lose, minutes, progress_display())
    if file == "-":
        write_json(results, file)
    else:
        if file:
            Path(file).write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
        _print_table(results, lose)
    if plot:
        plots.plot_fleet(results, plot)
    sys.exit(
        1
        if any(row[key]["not_settled"] for row in results.values() for key in fleet.FIGURES)
        else 0
    )


def _print_table(results: dict[str, Any], lose: float) -> None:
    for size, row in results.items():
        figures = [
            f"{key} {row[key]['median']} (worst {row[key]['worst']})" for key in fleet.FIGURES
        ]
        click.echo(f"{size} members: " + ", ".join(figures))
        if "false_deaths" in row:
            click.echo(
                f"  {row['false_deaths']} false deaths in {row['member_minutes']:.0f} "
                f"member-minutes at {lose:.0%} loss"
            )


@click.command("zones")
@click.option(
    "--sizes",
    default="50,116",
    show_default=True,
    metavar="N,M",
    help="Numbers of members, 6 to 2000.",
)
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Number of fleets of each size.",
)
@click.option(
    "--lose",
    default=0.01,
    show_default=True,
    type=click.FloatRange(0.0, 0.9),
    help="Share of datagrams lost in all phases.",
)
@click.option(
    "--bytes-per-s",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0.0),
    help="Control budget of each limiter; 0: no bound.",
)
@click.option("--contended", is_flag=True, help="Membership gets only its guaranteed rate.")
@click.option("--json", "file", metavar="FILE", help="Write the figures to this file.")
def zones_command(
    sizes: str, seeds: int, lose: float, bytes_per_s: float, contended: bool, file: str | None
) -> None:
    """Membership while a zone with a sixth of the members fails and returns and a region is cut.

    Figures by phase: seconds until all members agree, and bytes per second, with headers, of the
    member that sent most. Exit status 1: a member that was up was considered dead, or a phase did
    not settle within a minute.
    """
    try:
        counts = parse_numbers(sizes, 6, 2000)
        allowance = zones.allowances(bytes_per_s, contended)
    except ValueError as error:
        exit_for_bad_arguments(error)
    results = zones.report(counts, seeds, lose, allowance, click.echo)
    if file:
        Path(file).write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    rows = [row for runs in results.values() for row in runs]
    for row in rows:
        click.echo(f"false deaths: {row['false_deaths']}")
    unsettled = any(
        phase["settled_s"] is None
        for row in rows
        for phase in row.values()
        if isinstance(phase, dict)
    )
    sys.exit(1 if unsettled or any(row["false_deaths"] for row in rows) else 0)
