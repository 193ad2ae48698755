"""The calls at the operator address by which settings are tried, held, released and rolled back.

config push FILE ORDER CANARIES SECONDS    FILE: a configuration beside the operator file
config hold
config release
config rollback
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from hazelhollow.configuration.errors import (
    ConfigurationError,
    OperatorCallError,
    SettingsFileError,
)
from hazelhollow.configuration.rollout_control import RolloutControl

USAGE = "config push FILE ORDER CANARIES SECONDS, config hold, config release, config rollback"
MAX_AFTER_S = 86_400.0  # until all members act on pushed settings
_FILE_NAME = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9_.-]{0,127}")  # names no other folder


class PushCall(NamedTuple):
    """What `config push` says; `after`: seconds until all members act on the settings."""

    file: str
    revision: int
    canaries: int
    after: float


def answer(rollouts: RolloutControl, folder: Path, arguments: tuple[str, ...]) -> str:
    """Carries a call out.

    Args:
        rollouts: of the limiter that is called.
        folder: of its operator file.
        arguments: of the call, after `config`.

    Returns:
        One line, which begins with `done` or `error`.
    """
    try:
        _carry_out(rollouts, folder, arguments)
    except ConfigurationError as error:
        return f"error {error}"
    return f"done config {arguments[0]}"


def _carry_out(rollouts: RolloutControl, folder: Path, arguments: tuple[str, ...]) -> None:
    match arguments:
        case ("push", *rest):
            push = parse_push(rest)
            settings = read_settings(folder / push.file)
            rollouts.push(push.revision, push.canaries, push.after, settings)
        case ("hold",):
            rollouts.hold()
        case ("release",):
            rollouts.release()
        case ("rollback",):
            rollouts.roll_back()
        case _:
            raise OperatorCallError(f"no such call; calls: {USAGE}")


def parse_push(arguments: Sequence[str]) -> PushCall:
    """Reads the arguments of `config push`.

    Raises:
        OperatorCallError: they are not what it takes.
    """
    if len(arguments) != 4:
        raise OperatorCallError(f"push takes four words: {USAGE}")
    file, revision, canaries, after_text = arguments
    if not _FILE_NAME.fullmatch(file):
        raise OperatorCallError("FILE is the name of a file in the folder of the operator file")
    if not (revision + canaries).isascii() or not (revision.isdigit() and canaries.isdigit()):
        raise OperatorCallError("ORDER and CANARIES are whole numbers")
    try:
        after = float(after_text)
    except ValueError:
        after = -1.0
    if not 0.0 <= after <= MAX_AFTER_S:
        raise OperatorCallError(f"SECONDS is a number from 0 to {MAX_AFTER_S:g}")
    return PushCall(file, int(revision), int(canaries), after)


def read_settings(path: Path) -> Mapping[str, Any]:
    """The settings of a configuration file; what they say is not checked.

    Raises:
        SettingsFileError: it cannot be read, or there are none in it.
    """
    try:
        document = orjson.loads(path.read_bytes())
    except OSError as error:
        raise SettingsFileError(f"{path.name}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise SettingsFileError(f"{path.name}: {error}") from None
    settings = document.get("settings") if isinstance(document, dict) else None
    if not isinstance(settings, dict):
        raise SettingsFileError(f"{path.name}: no settings in it")
    return settings
