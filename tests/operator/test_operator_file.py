"""Tests of the operator file: its schema, commands and reload, and the logging that it sets up."""

from __future__ import annotations

import io
import logging
from pathlib import Path

import orjson
import pytest
import structlog
from click.testing import CliRunner

from hazelhollow.cli import main
from hazelhollow.operator import attach, live_changes, load, logs
from hazelhollow.operator.errors import CueError
from hazelhollow.operator.settings import LogSettings, OperatorSettings


def test_example_file_is_valid_and_show_prints_an_equal_one() -> None:
    example = load.load("deploy/operator.cue")
    assert example.store and example.store.call_timeout == 0.05 and example.store.lease.term == 1.5
    shown = CliRunner().invoke(main, ["config", "show", "deploy/operator.cue"]).output
    assert load.read(shown.encode(), "shown.cue") == example


@pytest.mark.parametrize(
    "text, word",
    [
        ('store: {address: "a:99999"}', "x.cue:1:18: store.address: port 99999"),
        (
            'store: {address: "a:1", lease: {term: "100ms"}}',
            "at least four times store.call_timeout",
        ),
        ('store: {address: "a:1", presence: {term: "600ms"}}', "twice store.presence.every"),
        ('store: {address: "a:1", call_timeout: "0s"}', "greater than 0"),
        ('store: {address: "a:1", retry_most: "1ms"}', "at least store.retry_least"),
    ],
)
def test_conditions_between_fields_are_checked(text: str, word: str) -> None:
    """Each field is valid by itself but not in combination with others, such as a lease that is
    shorter than a call's timeout. The file is rejected and the field named.
    """
    with pytest.raises(CueError, match=word):
        load.read(text.encode(), "x.cue")


def test_config_check_reports_problems_and_exits_with_2(tmp_path: Path) -> None:
    """`config check` on an invalid or missing file prints every problem and exits with status 2.
    On a valid file it exits with 0.
    """
    file = tmp_path / "o.cue"
    file.write_text("log: level: 3\nstore: {}\n")
    run = CliRunner().invoke(main, ["config", "check", str(file), "--json"])
    assert run.exit_code == 2 and [row["path"] for row in orjson.loads(run.output)] == [
        "log.level",
        "store.address",
    ]
    run = CliRunner().invoke(main, ["config", "check", str(file)])
    assert run.exit_code == 2 and run.output.count("hazelhollow: ") == 2
    assert CliRunner().invoke(main, ["config", "check", str(tmp_path / "none")]).exit_code == 2
    file.write_text("")
    assert CliRunner().invoke(main, ["config", "check", str(file)]).exit_code == 0


def operator(text: str) -> OperatorSettings:
    return load.read(text.encode(), "x.cue")


def test_live_changes_are_applied_and_others_named() -> None:
    """Some of the changed settings need a restart: they are named, and only the others are applied
    at run time.
    """
    old = operator('store: {address: "a:1", prefix: "p"}')
    new = operator('log: level: "debug"\nstore: {address: "a:2", prefix: "q", tls: ca_file: "c"}')
    live, restart = live_changes.changes(old, new)
    assert {"log.level", "store.address", "store.tls.ca_file"} <= set(live) and all(
        "tls" in p for p in live[2:]
    )
    assert restart == ["store.prefix"]
    applied = live_changes.merged(old, new)
    assert applied.store and (applied.store.address, applied.store.prefix, applied.log.level) == (
        ("a", 2),
        "p",
        "debug",
    )
    assert live_changes.changes(old, operator("")) == ([], ["store"])
    assert live_changes.merged(old, operator("")).store == old.store


def test_reload_of_an_invalid_file_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The file is reloaded while it is invalid: the settings in force stay. The next reload, with
    a valid file, takes effect.
    """
    file = tmp_path / "o.cue"
    file.write_text("")
    attached = attach.Attached(str(file), load.load(str(file)))
    handlers = logging.getLogger().handlers[:]
    try:
        file.write_text('log: level: "wrong"')
        attached.reload(config_accepted=True)
        assert str(attached.operator.log.level) == "info"
        file.write_text('log: level: "warning"')
        attached.reload(config_accepted=True)
        assert attached.operator.log.level == "warning"
    finally:
        logging.getLogger().handlers = handlers
        structlog.reset_defaults()


def test_log_events_of_structlog_and_logging_are_json_lines() -> None:
    root, sink = logging.getLogger(), io.StringIO()
    handlers, level = root.handlers[:], root.level
    try:
        logs.configure(LogSettings(format="json", level="info"), sink)
        structlog.get_logger("here").info("began", port=1)
        logging.getLogger("there").warning("old %s", "way")
        logging.getLogger("there").debug("not said")
    finally:
        root.handlers, root.level = handlers, level
        structlog.reset_defaults()
    first, second = map(orjson.loads, sink.getvalue().splitlines())
    assert (first["event"], first["port"], first["logger"]) == ("began", 1, "here")
    assert (second["event"], second["level"], second["logger"]) == ("old way", "warning", "there")
