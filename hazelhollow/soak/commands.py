"""The commands `hazelhollow soak ...`."""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from subprocess import run as run_process

import click
import msgspec

from hazelhollow.soak.checker import check, is_measured, judge
from hazelhollow.soak.plan import ALL_KINDS, SoakPlan, draw_plan
from hazelhollow.soak.run import SoakRun

HELD, BROKEN, NOT_MEASURED = 0, 1, 3


@click.group()
def soak() -> None:
    """Real limiter processes under load and faults that are drawn from a seed."""


def _kinds(text: str) -> tuple[str, ...]:
    kinds = tuple(kind.strip() for kind in text.split(",") if kind.strip())
    unknown = set(kinds) - set(ALL_KINDS)
    if unknown:
        raise click.BadParameter(f"{sorted(unknown)}; known: {', '.join(ALL_KINDS)}")
    return kinds


SEED = click.option("--seed", type=int, required=True, help="Seed of all draws.")
SECONDS = click.option("--seconds", default=8.0, show_default=True, help="Duration of the load.")
LIMITERS = click.option("--limiters", default=1, show_default=True, type=click.IntRange(1, 5))
KINDS = click.option("--kinds", default="", help="Comma-separated kinds instead of drawn ones.")


@soak.command()
@SEED
@SECONDS
@LIMITERS
@KINDS
def plan(seed: int, seconds: float, limiters: int, kinds: str) -> None:
    """Print the plan of a seed as JSON."""
    drawn = draw_plan(seed, seconds, limiters, _kinds(kinds))
    click.echo(msgspec.json.format(msgspec.json.encode(drawn)).decode())


@soak.command()
@SEED
@SECONDS
@LIMITERS
@KINDS
@click.option("--json", "path", type=click.Path(path_type=Path), help="Write plan and record.")
def run(seed: int, seconds: float, limiters: int, kinds: str, path: Path | None) -> None:
    """Play one seed. Exit status: 0 all rules held, 1 one was broken, 3 not measured."""
    _play(draw_plan(seed, seconds, limiters, _kinds(kinds)), path)


@soak.command()
@click.argument("path", type=click.Path(exists=True, path_type=Path))
def replay(path: Path) -> None:
    """Play the plan of a file that `run --json` has written."""
    document = msgspec.json.decode(path.read_bytes())
    _play(msgspec.convert(document["plan"], SoakPlan), None)


@soak.command()
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=10, show_default=True, help="Number of seeds.")
@click.option("--jobs", default=1, show_default=True, help="Runs at a time.")
@SECONDS
@LIMITERS
def many(first: int, seeds: int, jobs: int, seconds: float, limiters: int) -> None:
    """Play many seeds, each in a process of its own, and print what was broken."""
    arguments = ["--seconds", str(seconds), "--limiters", str(limiters)]

    def one(seed: int) -> tuple[int, int, str]:
        command = [sys.executable, "-m", "hazelhollow", "soak", "run", "--seed", str(seed)]
        done = run_process([*command, *arguments], capture_output=True, text=True, check=False)
        return seed, done.returncode, done.stdout + done.stderr[-600:]

    results = []
    with (
        ThreadPoolExecutor(jobs) as pool,
        click.progressbar(length=seeds, file=sys.stderr) as bar,
    ):
        for result in pool.map(one, range(first, first + seeds)):
            results.append(result)
            bar.update(1)
    for _, status, output in results:
        if status != HELD:
            click.echo(output.rstrip())
    counts = {status: sum(one[1] == status for one in results) for status in (0, 1, 3)}
    other = len(results) - sum(counts.values())
    click.echo(f"{counts[0]} held, {counts[1]} broken, {counts[3]} not measured, {other} failed")
    sys.exit(BROKEN if counts[1] or other else HELD)


def _play(drawn: SoakPlan, path: Path | None) -> None:
    record = SoakRun(drawn).run()
    violations = judge(record)
    if path:
        document = {"plan": drawn, "record": record, "violations": violations}
        path.write_bytes(msgspec.json.encode(document))
    outcomes: dict[str, int] = {}
    for request in record.requests:
        outcomes[request.outcome] = outcomes.get(request.outcome, 0) + 1
    click.echo(
        f"seed {drawn.seed}: {len(violations)} violations, {len(record.requests)} requests "
        f"{outcomes}, {len(record.executions)} executions, {len(record.exits)} exits, "
        f"late {record.max_lateness:.3f} s; {', '.join(drawn.kinds)}"
    )
    for violation in violations[:12]:
        click.echo(f"  {violation.rule}: {violation.text}")
    if violations:
        sys.exit(BROKEN)
    if check(record) and not is_measured(record):
        sys.exit(NOT_MEASURED)
