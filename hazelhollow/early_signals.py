"""Holds the signals that come before there is a limiter to act on them.

`__main__` calls `hold` first of all, so this module imports next to nothing; `net.lifecycle` takes
the signals over when the limiter exists.
"""

from __future__ import annotations

import signal
from types import FrameType

NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
_received: list[int] = []


def hold() -> None:
    """From now on a signal in NUMBERS does not end the process; `drain_received` tells it.

    SIGHUP, which asks for the configuration to be read again, would else end a process that has not
    read it for the first time.
    """
    for number in NUMBERS:
        signal.signal(number, _remember)


def drain_received() -> bytes:
    """The numbers of the signals since `hold`, in their order; each is told once."""
    received, _received[:] = bytes(_received), []
    return received


def _remember(number: int, _frame: FrameType | None) -> None:
    _received.append(number)
