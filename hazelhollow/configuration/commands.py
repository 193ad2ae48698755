"""`hazelhollow fleet audit` and `hazelhollow fleet config`.

Who acted on which settings, and settings that some members try first.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
import orjson

from hazelhollow.configuration import files, merge, report
from hazelhollow.configuration.record import Entry
from hazelhollow.net import operator_client


@click.command("audit")
@click.argument(
    "folder",
    metavar="[DIR]",
    required=False,
    type=click.Path(exists=True, file_okay=False, path_type=Path),
)
@click.option(
    "--live",
    multiple=True,
    metavar="HOST:PORT",
    help="Ask a running limiter at its operator address; may be given again.",
)
@click.option(
    "--request",
    metavar="ID",
    help="Say only where this request was decided, if it was written down.",
)
@click.option(
    "--since",
    type=float,
    default=0.0,
    metavar="SECONDS",
    help="Unix seconds; what ended before is left out.",
)
@click.option("--json", "file", metavar="FILE", help="Write all of it there; `-`: print it.")
@click.option(
    "--html", metavar="FILE", help="Write a page with the time line of members by version."
)
def audit(
    folder: Path | None,
    live: tuple[str, ...],
    request: str | None,
    since: float,
    file: str | None,
    html: str | None,
) -> None:
    """Who acted on which settings, from the records of many limiters in or below DIR.

    Or of running ones, whose clocks may differ.

    Exit status 1: somebody acted on old settings it had heard were old, one order meant two things,
    or a host was used after it was put out by hand. 2: there are no records. What cannot be known
    is said.
    """
    troubles, whole = list[str](), merge.Fleet()
    if folder is None and not live:
        _fail("name a folder with records, or limiters with --live")
    for entry in _entries(folder, live, troubles):
        if request and request in entry.samples:
            click.echo(
                f"member {entry.member} decided {request} in the second before "
                f"{entry.t:.1f} under order {entry.order} ({entry.version})"
            )
            sys.exit(0)
        # which say what held then
        if entry.t >= since or entry.what in ("settings", "hands", "ruling"):
            whole.take(entry)
    if not whole.entries:
        _fail("; ".join(troubles) or f"{folder}: no records (audit-*.seg) of limiters")
    if request:
        _fail(f"{request} was not written down; `fleet: audit: samples` says how many are")
    whole.settle()
    whole.troubles[:0] = troubles
    found = whole.document()
    if html:
        Path(html).write_text(report.page(found))
    if file and file != "-":
        Path(file).write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))
    elif file:
        click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())
    else:
        _say(found)
    sys.exit(1 if found["findings"] else 0)


def _entries(folder: Path | None, live: tuple[str, ...], troubles: list[str]) -> Iterator[Entry]:
    if folder is not None:
        yield from files.entries(folder, troubles.append, _read_so_far())
    for text in live:
        try:
            yield from files.told(operator_client.ask(text, "audit"))
        except operator_client.NoAnswerError as error:
            troubles.append(str(error))
        except (ValueError, msgspec.DecodeError) as error:
            troubles.append(f"{text}: {error}")


def _read_so_far() -> Callable[[int, int], None]:
    if not sys.stderr.isatty():
        return lambda done, of: None
    return lambda done, of: click.echo(
        f"\r\x1b[K{done >> 20} of {of >> 20} MB" if done < of else "\r\x1b[K", nl=False, err=True
    )


def _say(found: dict[str, Any]) -> None:
    click.echo(f"{len(found['members'])} members, {found['entries']} entries")
    for change in found["changes"]:
        click.echo(
            f"order {change['order']} ({', '.join(change['digests'])}): "
            f"{len(change['members'])} members acted on it; the last acted on an "
            f"older one {change['last_old_after_s']:.2f} s after it was out"
        )
    for step in found["rollout"]:
        click.echo(
            f"{step['t']:.1f} order {step['order']} {step['step']} at member "
            f"{step['member']}: {step['why']}"
        )
    for finding in found["findings"]:
        click.echo(f"{finding['t']:.1f} {finding['what']}: {finding['text']}")
    for text in found["not_known"]:
        click.echo(f"not known: {text}")


at_option = click.option(
    "--at",
    "at",
    required=True,
    metavar="HOST:PORT",
    help="The operator address of one limiter.",
)


@click.group("config")
def config() -> None:
    """Try settings at some limiters before all act on them, from one limiter's operator address.

    \b
    hazelhollow fleet config push next.json --order 7 --canaries 3 --after 600 --at 10.0.0.4:7000
    hazelhollow fleet config status --at 10.0.0.4:7000
    hazelhollow fleet config hold --at 10.0.0.4:7000        those that try it go on, nobody else
      takes it
    hazelhollow fleet config release --at 10.0.0.4:7000     it is in force for all now
    hazelhollow fleet config rollback --at 10.0.0.4:7000    the settings from before, for all

    Exit status 0 for what was done, 1 for what the limiter refused, 2 when nobody answered.
    """


@config.command("push")
@click.argument("file")
@click.option(
    "--order", required=True, type=click.IntRange(1, 46655), help="Above all that are out."
)
@click.option(
    "--canaries",
    default=1,
    show_default=True,
    type=click.IntRange(1, 35),
    help="Limiters that try it first.",
)
@click.option(
    "--after",
    default=600.0,
    show_default=True,
    type=click.FloatRange(0.0, 86_400.0),
    metavar="SECONDS",
    help="When all act on it, if nothing speaks against it.",
)
@at_option
def push(file: str, order: int, canaries: int, after: float, at: str) -> None:
    """Try the settings of FILE, a configuration in the folder of that limiter's operator file."""
    _carry_out(at, f"push {file} {order} {canaries} {after:g}")


@config.command("hold")
@at_option
def hold(at: str) -> None:
    """Keep settings with the limiters that try them, until `release` or `rollback`."""
    _carry_out(at, "hold")


@config.command("release")
@at_option
def release(at: str) -> None:
    """Put settings that are tried in force for all."""
    _carry_out(at, "release")


@config.command("rollback")
@at_option
def rollback(at: str) -> None:
    """Go back to the settings from before those that are tried.

    Or else from before those that are in force.
    """
    _carry_out(at, "rollback")


@config.command("status")
@at_option
def status(at: str) -> None:
    """Say who acts on which settings, as that limiter knows it."""
    answer = _ask(at, "fleet")
    try:
        members = orjson.loads(answer.partition(b"\n")[0])["audit"]["members"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        _fail(answer.decode(errors="replace").strip())
    for number, one in members.items():
        tried = (
            f"tried by {one['candidate']['canaries']}, {one['candidate']['phase']}"
            if one["candidate"]
            else "in force"
        )
        click.echo(f"member {number}: order {one['order']} ({one['settings']}), {tried}")


def _carry_out(at: str, words: str) -> None:
    answer = _ask(at, f"config {words}")
    click.echo(answer.decode(errors="replace"), nl=False)
    sys.exit(0 if answer.startswith(b"done") else 1)


def _ask(at: str, words: str) -> bytes:
    try:
        return operator_client.ask(at, words)
    except operator_client.NoAnswerError as error:
        _fail(str(error))


def _fail(text: str) -> NoReturn:
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(2)
