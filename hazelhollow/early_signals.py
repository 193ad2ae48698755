"""Signals that come before there is a limiter to act on them.

Imports nothing: it is the first thing a start does.
"""

from __future__ import annotations

import signal
from types import FrameType

NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
_came: list[int] = []


def hold() -> None:
    """From now on such a signal ends nothing: it is kept for `held`.

    Else SIGHUP, which asks for the configuration to be read again, would end a process that has not
    got so far as to read it.
    """
    for number in NUMBERS:
        signal.signal(number, _keep)


def held() -> bytes:
    """Those that came since, once, in their order."""
    came, _came[:] = bytes(_came), []
    return came


def _keep(number: int, _frame: FrameType | None) -> None:
    _came.append(number)
