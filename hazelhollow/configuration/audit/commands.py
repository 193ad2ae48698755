"""`hazelhollow fleet audit`: which limiters acted on which settings, and when."""

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
# Entries whose state still applies at the time of `--since`; older ones are needed too.
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
    help="Ask a running limiter at its operator address; may be repeated.",
)
@click.option(
    "--request",
    metavar="ID",
    help="Show only where this request was decided, if it was sampled.",
)
@click.option(
    "--since",
    type=float,
    default=0.0,
    metavar="SECONDS",
    help="Unix seconds; leave out what ended before.",
)
@click.option(
    "--json", "file", metavar="FILE", help="Write the full result to FILE; `-`: print it."
)
@click.option(
    "--html", metavar="FILE", help="Write a page with the timeline of members by version."
)
def audit(**options: Any) -> None:
    """Show which limiters acted on which settings, from their records in or below DIR.

    The records can also come from running limiters. Clocks may differ.

    Exit status 1: a limiter acted on settings although it knew of newer ones, one order stood for
    different settings, or a host was used after an operator had disabled it. 2: there are no
    records. What cannot be determined is listed.
    """
    report = _audit(AuditOptions(**options))
    sys.exit(FINDINGS_STATUS if report["findings"] else 0)


def _audit(options: AuditOptions) -> dict[str, Any]:
    """Executes the command; ends the program if there are no records."""
    unreadable, merge = list[str](), AuditMerge()
    if options.folder is None and not options.live:
        _fail("no source of records: give a folder, or limiters with --live")
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
        _fail(
            "; ".join(unreadable)
            or f"{options.folder}: no audit records (audit-*.seg) of limiters found"
        )
    if options.request:
        _fail(f"{options.request} was not sampled; `fleet: audit: samples` sets how many are")
    merge.finish()
    merge.unresolved[:0] = unreadable
    report = merge.document()
    _write(report, options)
    return report


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
    """Shows on a terminal how much has been read; clears the line at the end."""
    line = f"{done >> 20} of {total >> 20} MB" if done < total else ""
    click.echo(f"\r\x1b[K{line}", nl=False, err=True)


def _write(report: dict[str, Any], options: AuditOptions) -> None:
    if options.html:
        Path(options.html).write_text(report_page.render(report))
    if options.file and options.file != "-":
        Path(options.file).write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2))
    elif options.file:
        click.echo(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    else:
        _print_summary(report)


def _print_summary(report: dict[str, Any]) -> None:
    click.echo(f"{len(report['members'])} members, {report['entries']} entries")
    for change in report["changes"]:
        click.echo(
            f"order {change['order']} ({', '.join(change['digests'])}): "
            f"{len(change['members'])} members acted on it; the last acted on an "
            f"older one {change['last_old_after_s']:.2f} s after it came into force"
        )
    for event in report["rollout"]:
        click.echo(
            f"{event['t']:.1f} order {event['order']} {event['step']} at member "
            f"{event['member']}: {event['why']}"
        )
    for finding in report["findings"]:
        click.echo(f"{finding['t']:.1f} {finding['what']}: {finding['text']}")
    for text in report["not_known"]:
        click.echo(f"not known: {text}")


def _fail(text: str) -> NoReturn:
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(NO_RECORDS_STATUS)
