"""`hazelhollow fleet audit`: who acted on which settings."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
import orjson

from hazelhollow.configuration.audit import reader, report_page
from hazelhollow.configuration.audit.entries import AuditEntry, EntryKind
from hazelhollow.configuration.audit.merge import AuditMerge
from hazelhollow.net import operator_client

FINDINGS_STATUS, NO_RECORDS_STATUS = 1, 2  # exit statuses
# Entries that say what held when the time of `--since` began.
_STANDING_KINDS = (EntryKind.SETTINGS, EntryKind.OVERRIDES, EntryKind.VERDICT)


@dataclass(frozen=True)
class AuditOptions:
    """The options of the command, as click parses them."""

    folder: Path | None
    live: tuple[str, ...]
    request: str | None
    since: float
    file: str | None
    html: str | None


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
def audit(**options: Any) -> None:
    """Who acted on which settings, from the records of many limiters in or below DIR.

    Or of running ones, whose clocks may differ.

    Exit status 1: somebody acted on old settings it had heard were old, one order meant two things,
    or a host was used after it was put out by hand. 2: there are no records. What cannot be known
    is said.
    """
    found = _audit(AuditOptions(**options))
    sys.exit(FINDINGS_STATUS if found["findings"] else 0)


def _audit(options: AuditOptions) -> dict[str, Any]:
    """Carries the command out; ends the program where there are no records."""
    unreadable, merge = list[str](), AuditMerge()
    if options.folder is None and not options.live:
        _fail("name a folder with records, or limiters with --live")
    for entry in _entries(options, unreadable):
        if options.request and options.request in entry.samples:
            click.echo(
                f"member {entry.member} decided {options.request} in the second before "
                f"{entry.time:.1f} under order {entry.revision} ({entry.version})"
            )
            sys.exit(0)
        if entry.time >= options.since or entry.kind in _STANDING_KINDS:
            merge.add(entry)
    if not merge.entries:
        _fail("; ".join(unreadable) or f"{options.folder}: no records (audit-*.seg) of limiters")
    if options.request:
        _fail(f"{options.request} was not written down; `fleet: audit: samples` says how many are")
    merge.finish()
    merge.unresolved[:0] = unreadable
    found = merge.document()
    _write(found, options)
    return found


def _entries(options: AuditOptions, unreadable: list[str]) -> Iterator[AuditEntry]:
    if options.folder is not None:
        progress = _show_progress if sys.stderr.isatty() else None
        yield from reader.read_entries(options.folder, unreadable.append, progress)
    for address in options.live:
        try:
            yield from reader.decode_answer(operator_client.ask(address, "audit"))
        except operator_client.NoAnswerError as error:
            unreadable.append(str(error))
        except (ValueError, msgspec.DecodeError) as error:
            unreadable.append(f"{address}: {error}")


def _show_progress(done: int, total: int) -> None:
    """Says on a terminal how much has been read; the line goes once all is."""
    line = f"{done >> 20} of {total >> 20} MB" if done < total else ""
    click.echo(f"\r\x1b[K{line}", nl=False, err=True)


def _write(found: dict[str, Any], options: AuditOptions) -> None:
    if options.html:
        Path(options.html).write_text(report_page.render(found))
    if options.file and options.file != "-":
        Path(options.file).write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))
    elif options.file:
        click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())
    else:
        _print_summary(found)


def _print_summary(found: dict[str, Any]) -> None:
    click.echo(f"{len(found['members'])} members, {found['entries']} entries")
    for change in found["changes"]:
        click.echo(
            f"order {change['order']} ({', '.join(change['digests'])}): "
            f"{len(change['members'])} members acted on it; the last acted on an "
            f"older one {change['last_old_after_s']:.2f} s after it was out"
        )
    for event in found["rollout"]:
        click.echo(
            f"{event['t']:.1f} order {event['order']} {event['step']} at member "
            f"{event['member']}: {event['why']}"
        )
    for finding in found["findings"]:
        click.echo(f"{finding['t']:.1f} {finding['what']}: {finding['text']}")
    for text in found["not_known"]:
        click.echo(f"not known: {text}")


def _fail(text: str) -> NoReturn:
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(NO_RECORDS_STATUS)
