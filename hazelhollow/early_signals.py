"""Records the signals that arrive before the limiter is ready to handle them.

`__main__` calls `hold` before all other imports, so this module imports as little as possible.
`net.lifecycle` handles the recorded signals once the limiter exists.
"""

from __future__ import annotations

import signal
from types import FrameType

NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
_received: list[int] = []


def hold() -> None:
    """Records the signals in NUMBERS from now on, instead of letting them end the process.

    Without this, a SIGHUP that requests a reload would end a process that has not yet read its
    configuration. `drain_received` returns the recorded signals.
    """
    for number in NUMBERS:
        signal.signal(number, _record)


def drain_received() -> bytes:
    """Removes and returns the numbers of the recorded signals, in the order of arrival."""
    received, _received[:] = bytes(_received), []
    return received


def _record(number: int, _frame: FrameType | None) -> None:
    _received.append(number)
