"""The calls at the operator address by which settings are tried by some members first, held,
released and rolled back.

config push FILE ORDER CANARIES SECONDS     FILE: a configuration in the folder of the operator file
config hold
config release
config rollback
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from hazelhollow.configuration.driver import Driver

USAGE = "config push FILE ORDER CANARIES SECONDS, config hold, config release, config rollback"
MOST_SECONDS = 86_400.0
_FILE = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9_.-]{0,127}")  # so none of another folder


class ConfigCallError(Exception):
    """What is wrong with a call, in words for the one who made it."""


class Push(NamedTuple):
    """`after`: seconds until all act on it."""

    file: str
    order: int
    canaries: int
    after: float


def answer(driver: Driver, folder: Path, words: tuple[str, ...]) -> str:
    """Carries the call out; one line, which begins with `done` or `error`."""
    try:
        trouble = _carry_out(driver, folder, words)
    except ConfigCallError as error:
        trouble = str(error)
    return f"error {trouble}" if trouble else f"done config {words[0]}"


def _carry_out(driver: Driver, folder: Path, words: tuple[str, ...]) -> str:
    match words:
        case ("push", *told):
            push = read_push(told)
            return driver.push(
                push.order, push.canaries, push.after, read_settings(folder / push.file)
            )
        case ("hold",):
            return driver.hold()
        case ("release",):
            return driver.release()
        case ("rollback",):
            return driver.roll_back()
    raise ConfigCallError(f"no such call; calls: {USAGE}")


def read_push(words: list[str]) -> Push:
    if len(words) != 4:
        raise ConfigCallError(f"push takes four words: {USAGE}")
    file, order, canaries, after = words
    if not _FILE.fullmatch(file):
        raise ConfigCallError("FILE is the name of a file in the folder of the operator file")
    if not (order + canaries).isascii() or not (order.isdigit() and canaries.isdigit()):
        raise ConfigCallError("ORDER and CANARIES are whole numbers")
    try:
        seconds = float(after)
    except ValueError:
        seconds = -1.0
    if not 0.0 <= seconds <= MOST_SECONDS:
        raise ConfigCallError(f"SECONDS is a number from 0 to {MOST_SECONDS:g}")
    return Push(file, int(order), int(canaries), seconds)


def read_settings(path: Path) -> Mapping[str, Any]:
    """The settings of a configuration file.

    Raises ConfigCallError where there are none; what they say is not checked.
    """
    try:
        document = orjson.loads(path.read_bytes())
    except OSError as error:
        raise ConfigCallError(f"{path.name}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigCallError(f"{path.name}: {error}") from None
    settings = document.get("settings") if isinstance(document, dict) else None
    if not isinstance(settings, dict):
        raise ConfigCallError(f"{path.name}: no settings in it")
    return settings
