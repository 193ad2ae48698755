"""When a client was last known to be connected; no I/O.

No attempt may begin more than 0.1 s after its client has closed the connection. The operating
system reports a close at once, unless it cannot receive it: the close stands behind bytes that the
client has sent, and these do not arrive while too many of them are unread here. Then only the past
is known, and the last of these moments counts:

| evidence | the client was connected |
| --- | --- |
| little is unread, and has been for some time | now, since its close would be reported |
| much is unread and being read, or has just been | when much was found unread first |
| much is unread, and the session does not read | when it stopped reading |
| an answer was transmitted and not reset | then: a closed connection resets what arrives |
"""

from __future__ import annotations

CLIENT_SEEN_FOR_S = 0.05  # how old the evidence may be; the rest of the 0.1 s is the attempt's
EXECUTION_MARGIN_S = 0.02  # by which it has to be newer when a request is executed
# Unread bytes of one connection. The operating system's receive buffer has room behind these, so
# that the client's close arrives.
MAX_UNREAD_BEFORE_CLOSE_BYTES = 16 * 1024


def is_close_visible(unread_bytes: int) -> bool:
    """Whether a close of the connection would be reported despite unread bytes."""
    return unread_bytes <= MAX_UNREAD_BEFORE_CLOSE_BYTES


def is_recent(seen_at: float, now: float, margin: float = 0.0) -> bool:
    """Whether a client that was connected at `seen_at` counts as connected until `now + margin`."""
    return now + margin - seen_at <= CLIENT_SEEN_FOR_S
