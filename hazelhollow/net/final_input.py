"""The input that a session still reads after it has stopped accepting commands.

What has arrived by then was accepted with the connection, even if the session was not reading: it
stops while too many of its commands are in progress, while its client does not read its answers,
and while its commands are throttled. The session reads it at once, as far as its buffer has room.
Input that arrives later is not owed an answer.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_FINAL_INPUT_BYTES = 1 << 20  # of one connection


@dataclass
class FinalInput:
    """The rest of a connection's input.

    Attributes:
        arrived_by: The time by which it had arrived.
        remaining_bytes: Bytes that may still be read; 0 once the socket was empty.
    """

    arrived_by: float
    remaining_bytes: int = MAX_FINAL_INPUT_BYTES
