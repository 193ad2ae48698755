"""Calls at the operator address that try, hold, release and roll back settings.

config push FILE ORDER CANARIES SECONDS    FILE: a configuration in the operator file's folder
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
_FILE_NAME = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9_.-]{0,127}")  # cannot name another folder


class PushCall(NamedTuple):
    """The arguments of `config push`; `after`: seconds until all members act on the settings."""

    file: str
    revision: int
    canaries: int
    after: float


def answer(rollouts: RolloutControl, folder: Path, arguments: tuple[str, ...]) -> str:
    """Executes a call.

    Args:
        rollouts: Rollout control of the limiter that was called.
        folder: Folder of its operator file.
        arguments: Arguments of the call after `config`.

    Returns:
        One line that begins with `done` or `error`.
    """
    try:
        _execute(rollouts, folder, arguments)
    except ConfigurationError as error:
        return f"error {error}"
    return f"done config {arguments[0]}"


def _execute(rollouts: RolloutControl, folder: Path, arguments: tuple[str, ...]) -> None:
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
    """Parses the arguments of `config push`.

    Raises:
        OperatorCallError: The arguments are invalid.
    """
    if len(arguments) != 4:
        raise OperatorCallError(f"push takes four words, got {len(arguments)}: {USAGE}")
    file, revision, canaries, after_text = arguments
    if not _FILE_NAME.fullmatch(file):
        raise OperatorCallError(
            f"FILE must name a file in the folder of the operator file, got {file}"
        )
    if not (revision + canaries).isascii() or not (revision.isdigit() and canaries.isdigit()):
        raise OperatorCallError(
            f"ORDER and CANARIES must be whole numbers, got {revision} and {canaries}"
        )
    try:
        after = float(after_text)
    except ValueError:
        after = -1.0
    if not 0.0 <= after <= MAX_AFTER_S:
        raise OperatorCallError(
            f"SECONDS must be a number from 0 to {MAX_AFTER_S:g}, got {after_text}"
        )
    return PushCall(file, int(revision), int(canaries), after)


def read_settings(path: Path) -> Mapping[str, Any]:
    """Reads the settings of a configuration file without validating them.

    Raises:
        SettingsFileError: The file cannot be read or contains no settings.
    """
    try:
        document = orjson.loads(path.read_bytes())
    except OSError as error:
        raise SettingsFileError(f"{path.name} cannot be read: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise SettingsFileError(f"{path.name} is not valid JSON: {error}") from None
    settings = document.get("settings") if isinstance(document, dict) else None
    if not isinstance(settings, dict):
        raise SettingsFileError(f"{path.name}: no settings object in the file")
    return settings
