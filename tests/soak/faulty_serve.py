"""Runs `hazelhollow` with system calls that fail now and then: `python -m tests.soak.faulty_serve`.

SYSTEM_CALL_FAULTS has a seed and a probability. Each call of a socket fails before it has any
effect, with an error that Linux documents for it as passing, or takes fewer bytes than it was
given. The limiter's own code is not touched.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import sys
from collections.abc import Sequence
from typing import Any

SEED, PROBABILITY = os.environ.get("SYSTEM_CALL_FAULTS", "0 0").split()
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.ENOBUFS)
SEND_ERRORS = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN)
READ_ERRORS = (errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)
OPEN_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
DRAW = random.Random(int(SEED))


def fail(errors: Sequence[int]) -> None:
    """Raises one of the errors, with the probability."""
    if DRAW.random() < float(PROBABILITY):
        number = DRAW.choice(errors)
        raise OSError(number, os.strerror(number))


class FaultySocket(socket.socket):
    """A socket whose calls fail now and then."""

    # New sockets fail from the first accepted client on, so that the process can start.
    armed = False

    def __init__(
        self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
    ) -> None:
        if fileno is None and FaultySocket.armed:
            fail(OPEN_ERRORS)
        super().__init__(family, type, proto, fileno)

    def accept(self) -> Any:
        FaultySocket.armed = True
        fail(ACCEPT_ERRORS)
        return super().accept()

    def connect_ex(self, address: Any) -> int:
        try:
            fail(CONNECT_ERRORS)
        except OSError as error:
            return error.errno or 0
        return super().connect_ex(address)

    def send(self, data: Any, flags: int = 0) -> int:
        fail(SEND_ERRORS)
        if len(data) > 1 and DRAW.random() < float(PROBABILITY):
            data = data[: max(1, len(data) // 2)]
        return super().send(data, flags)

    def recv(self, size: int, flags: int = 0) -> bytes:
        fail(READ_ERRORS)
        if flags == 0 and DRAW.random() < float(PROBABILITY):
            size = 1
        return super().recv(size, flags)


if __name__ == "__main__":
    socket.socket = FaultySocket  # type: ignore[misc]
    from hazelhollow.cli import main

    sys.argv[0] = "hazelhollow"
    main()
