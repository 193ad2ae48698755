"""`hazelhollow bench`.

What the product's own modules do in seeded runs, with figures for scripts.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import orjson

from hazelhollow.bench import cpu, store
from hazelhollow.bench import fleet as fleets
from hazelhollow.bench import model as models
from hazelhollow.bench import replica as replicas
from hazelhollow.bench import zones as zone_fleets
from hazelhollow.fault_injection import plan as plans


@click.group("bench")
def bench() -> None:
    """Seeded runs in virtual time. The same seed gives the same figures, on any machine."""


@bench.command("store")
@click.option(
    "--runs",
    default=100,
    show_default=True,
    type=click.IntRange(1, 10_000),
    help="Of each kind, by seeds in a row.",
)
@click.option("--seed", default=1, show_default=True, help="Of the first run.")
@click.option("--limiters", default=3, show_default=True, type=click.IntRange(1, 200))
@click.option(
    "--seconds",
    default=40.0,
    show_default=True,
    type=click.FloatRange(12.0, 600.0),
    help="Of virtual time, each run.",
)
@click.option(
    "--faults",
    multiple=True,
    type=click.Choice([*store.KINDS, "all"]),
    help="Kinds; several may be given. [default: all]",
)
@click.option(
    "--hold",
    default="both",
    show_default=True,
    type=click.Choice(["both", "ceilings", "quotas"]),
    help="The limits that the store keeps.",
)
@click.option(
    "--plans",
    default="",
    metavar="A,B",
    help="Whose limits it keeps. [default: those with a ceiling]",
)
@click.option(
    "--uneven",
    is_flag=True,
    help=(
        "Nine tenths of a customer's requests come through one limiter, another every few "
        "seconds."
    ),
)
@click.option(
    "--processes",
    default=0,
    type=click.IntRange(0, 256),
    help="At once. [default: as many as there are cores]",
)
@click.option("--json", "file", metavar="FILE", help="Write the figures there; '-' prints them.")
def store_(
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
    """Month-end load on limiters that keep their limits in a store, against the stand-in.

    For each kind of fault so many runs, and as many with even shares and with no store for
    comparison. A run is broken if any customer's limit was passed by more than 10% of its burst or
    one largest request, and 150 ms of its rate. Exit status 1: some run was broken.
    """
    kinds = (
        [k for k in store.KINDS if k != store.EVEN]
        if not faults or "all" in faults
        else list(dict.fromkeys(faults))
    )
    names = tuple(name for name in plans.split(",") if name)
    jobs = [
        store.Job(n, kind, limiters, seconds, hold, kind != store.TODAY, names, uneven)
        for kind in [*kinds, store.EVEN, store.TODAY]
        for n in range(seed, seed + runs)
    ]
    results = []
    try:
        for result in store.play_all(jobs, processes or os.cpu_count() or 1):
            results.append(result)
            if sys.stderr.isatty():
                click.echo(
                    (
                        f"\r{len(results)} of {len(jobs)} runs, "
                        f"{sum(r.broken for r in results)} broken"
                    ),
                    nl=False,
                    err=True,
                )
    except KeyboardInterrupt:
        click.echo(f"\nstopped after {len(results)} of {len(jobs)} runs; no figures", err=True)
        sys.exit(130)
    figures = store.summary(results)
    if file == "-":
        click.echo(orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode())
    elif file:
        Path(file).write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2) + b"\n")
    else:
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
    sys.exit(1 if figures["broken"] else 0)


@bench.command("cpu")
@click.option(
    "--pairs",
    default=5,
    show_default=True,
    type=click.IntRange(1, 100),
    help="Of runs, without the store and with it in turn.",
)
@click.option(
    "--requests",
    default=8000,
    show_default=True,
    type=click.IntRange(160, 1_000_000),
    help="In each run.",
)
@click.option("--json", "file", metavar="FILE", help="Write the figures there; '-' prints them.")
def cpu_(pairs: int, requests: int, file: str | None) -> None:
    """CPU a request of a limiter on sockets, with a store and without.

    Needs a quiet machine: only the ratio counts.
    """
    rows = []
    for row in cpu.compare(pairs, requests):
        rows.append(row)
        click.echo(
            (
                f"{len(rows)} of {pairs}: {row['without_us']:.0f} and {row['with_us']:.0f} "
                f"µs, ratio {row['ratio']:.3f}"
            ),
            err=True,
        )
    _put(cpu.summary(rows), file)


def _put(figures: dict[str, object], file: str | None) -> None:
    text = orjson.dumps(figures, option=orjson.OPT_INDENT_2)
    if file and file != "-":
        Path(file).write_bytes(text + b"\n")
    else:
        click.echo(text.decode())


@bench.command("fleet")
@click.option(
    "--sizes",
    default="20,100",
    show_default=True,
    metavar="N,M",
    help="Members of each fleet, 3 to 2000.",
)
@click.option(
    "--seeds",
    default=5,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Fleets of each size.",
)
@click.option(
    "--lose",
    default=0.1,
    show_default=True,
    type=click.FloatRange(0.0, 0.9),
    help="Share of datagrams lost, for false deaths.",
)
@click.option(
    "--minutes",
    default=5.0,
    show_default=True,
    type=click.FloatRange(0.0, 600.0),
    help="Of that loss, on the virtual clock.",
)
@click.option("--json", "file", metavar="FILE", help="Write the figures there; '-' prints them.")
@click.option(
    "--plot", metavar="FILE", help="Draw them by size as SVG or PNG (needs requirements-plot.txt)."
)
def fleet_(
    sizes: str, seeds: int, lose: float, minutes: float, file: str | None, plot: str | None
) -> None:
    """The view of the fleet in memory.

    Seconds to settle after a start, a crash, a crash of half, a split and its heal.

    Exit status 1: some fleet did not settle within a minute.
    """
    try:
        counts = [int(size) for size in sizes.split(",")]
        if not all(3 <= count <= 2000 for count in counts):
            raise ValueError("a fleet has 3 to 2000 members")
        if plot:
            from hazelhollow.bench import (
                plots,  # before the runs: they are long, and the library may not be there
            )
    except (ValueError, ModuleNotFoundError) as error:
        click.echo(f"hazelhollow: {error}", err=True)
        sys.exit(2)
    tty = sys.stderr.isatty()
    found = fleets.report(
        counts,
        seeds,
        lose,
        minutes,
        lambda text: click.echo(f"\r\x1b[K{text}", nl=False, err=True) if tty else None,
    )
    if file == "-":
        click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())
    else:
        if file:
            Path(file).write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))
        for size, row in found.items():
            shown = [
                f"{key} {row[key]['median']} (worst {row[key]['worst']})" for key in fleets.SHOWN
            ]
            click.echo(f"{size} members: " + ", ".join(shown))
            if "false_deaths" in row:
                click.echo(
                    f"  {row['false_deaths']} false deaths in {row['member_minutes']:.0f} "
                    f"member-minutes at {lose:.0%} loss"
                )
    if plot:
        plots.fleet(found, plot)
    sys.exit(
        1 if any(row[key]["not_settled"] for row in found.values() for key in fleets.SHOWN) else 0
    )


def _numbers(text: str, least: int, most: int) -> list[int]:
    """Raises ValueError that says what they must be."""
    found = [int(part) for part in text.split(",")]
    if not all(least <= number <= most for number in found):
        raise ValueError(f"numbers from {least} to {most}, with commas between: {text}")
    return found


@bench.command("zones")
@click.option(
    "--sizes",
    default="50,116",
    show_default=True,
    metavar="N,M",
    help="Members of each fleet, 6 to 2000.",
)
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Fleets of each size.",
)
@click.option(
    "--lose",
    default=0.01,
    show_default=True,
    type=click.FloatRange(0.0, 0.9),
    help="Share of datagrams lost, all the time.",
)
@click.option(
    "--bytes-per-s",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0.0),
    help="The control budget of a limiter; 0: none.",
)
@click.option("--contended", is_flag=True, help="The view gets its guaranteed rate alone.")
@click.option("--json", "file", metavar="FILE", help="Write the figures there.")
def zones_(
    sizes: str, seeds: int, lose: float, bytes_per_s: float, contended: bool, file: str | None
) -> None:
    """The view while a sixth of the members dies at once and comes back.

    And a region of three is cut off and healed.

    Figures by phase: seconds until all agree, and bytes a second with headers of the member that
    sent most. Exit status 1: a member that was up was held dead, or a phase did not settle within a
    minute.
    """
    try:
        counts = _numbers(sizes, 6, 2000)
        allowance = zone_fleets.allowances(bytes_per_s, contended)
    except ValueError as error:
        click.echo(f"hazelhollow: {error}", err=True)
        sys.exit(2)
    found = zone_fleets.report(counts, seeds, lose, allowance, click.echo)
    if file:
        Path(file).write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))
    rows = [row for many in found.values() for row in many]
    for row in rows:
        click.echo(f"false deaths: {row['false_deaths']}")
    unsettled = any(
        phase["settled_s"] is None
        for row in rows
        for phase in row.values()
        if isinstance(phase, dict)
    )
    sys.exit(1 if unsettled or any(row["false_deaths"] for row in rows) else 0)


@bench.command("replica")
@click.option(
    "--customers",
    default="100,10000",
    show_default=True,
    metavar="N,M",
    help="That a limiter which begins is told of.",
)
@click.option(
    "--lose",
    default="0,10,30",
    show_default=True,
    metavar="P,Q",
    help="Of a hundred datagrams, lost.",
)
@click.option(
    "--fleets",
    default="5,20",
    show_default=True,
    metavar="N,M",
    help="Members, for what keeping alike costs.",
)
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 1000))
@click.option("--json", "file", metavar="FILE", help="Write the figures there; '-' prints them.")
def replica_(customers: str, lose: str, fleets: str, seeds: int, file: str | None) -> None:
    """What limiters keep alike, in memory.

    Catch-up, steady cost, the heal of a split, bytes for a count.

    Exit status 1: some catch-up was not whole within ten minutes, or was told of a customer not
    once.
    """
    try:
        sizes, losses, members = (
            _numbers(customers, 0, 1_000_000),
            _numbers(lose, 0, 90),
            _numbers(fleets, 2, 200),
        )
    except ValueError as error:
        click.echo(f"hazelhollow: {error}", err=True)
        sys.exit(2)
    tty = sys.stderr.isatty()
    found = replicas.report(
        sizes,
        [n / 100 for n in losses],
        seeds,
        members,
        lambda text: click.echo(f"\r\x1b[K{text}", nl=False, err=True) if tty else None,
    )
    _put(found, file)
    sys.exit(
        1
        if any(
            row["told"] != row["customers"] or row["worst_seconds"] > replicas.LONGEST
            for row in found["catch_up"]
        )
        else 0
    )


@bench.command("model")
@click.option("--members", default=2, show_default=True, type=click.IntRange(2, 4))
@click.option("--charges", default=2, show_default=True, type=click.IntRange(0, 4))
@click.option(
    "--sends",
    default=2,
    show_default=True,
    type=click.IntRange(0, 5),
    help="Of gossip and of counts, in all.",
)
@click.option(
    "--turns", default=3, show_default=True, type=click.IntRange(0, 6), help="Of the period."
)
@click.option("--crashes", default=1, show_default=True, type=click.IntRange(0, 3))
@click.option(
    "--copies",
    default=1,
    show_default=True,
    type=click.IntRange(0, 3),
    help="Datagrams that come again.",
)
@click.option(
    "--lags",
    default=1,
    show_default=True,
    type=click.IntRange(0, 3),
    help="Turns that one clock comes late to.",
)
@click.option("--depth", default=6, show_default=True, type=click.IntRange(1, 20), help="Steps.")
@click.option(
    "--plant", type=click.Choice(sorted(models.MISTAKES)), help="A mistake that it must find."
)
@click.option(
    "--plan", "file", metavar="FILE", help="Write what broke as a plan for `fleet replay`."
)
def model_(
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
    """Every order in which charges, datagrams, crashes and catch-up can come, up to these bounds,
    on the real merge and catch-up.

    Exit status 1: something counted twice or was forgotten; the steps are printed, no shorter ones
    do it.
    """
    bounds = models.Bounds(members, charges, sends, turns, crashes, copies, lags, depth)
    tty = sys.stderr.isatty()

    def progress(states: int) -> None:
        if tty:
            click.echo(f"\r{states} states", nl=False, err=True)

    if plant:
        with models.planted(plant):
            found = models.explore(bounds, progress)
    else:
        found = models.explore(bounds, progress)
    click.echo(f"{found.states} states: {found.why or 'each charge counts once in all of them'}")
    for step in found.steps:
        click.echo("  " + " ".join(map(str, step)))
    if found.steps and file:
        Path(file).write_bytes(plans.write(models.as_plan(bounds, found.steps, found.why)))
    sys.exit(1 if found.steps else 0)
