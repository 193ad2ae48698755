"""The executions of both processes of an upgrade, in files that they share.

A request that is not safe to repeat may come again at the other process. So each process appends an
entry before it forwards such a request, and reads the other's entries before it decides on one. The
order guarantees that one of the two notices: a client closes its connection before it sends the
request elsewhere; this process writes first and then checks that the client is still connected, and
the other reads after the client has sent.

The files are in `$TMPDIR`, one for each SLICE_S of the monotonic clock, which all processes of a
machine share and which no step of the wall clock moves:

    hazelhollow-NAME-executions-SLICE

An entry is a JSON array on a line of its own, with an empty line before it, so that an entry which
a killed process has written half way spoils no other:

    [EXECUTION, KIND, CUSTOMER, ID, ZONE, CELL, ADDRESS, STARTED_MS]

EXECUTION is WRITER.NUMBER. KIND is `ran`, or `never ran` for an attempt that turned out never to
have run. While another process has written within OTHER_LASTS_S, an entry `open` is also written
for each request that is safe to repeat, since an id stands for one request at both processes; a
process announces itself with an entry `started` without an id.

A file that cannot be written costs the protection at the other process alone; entries wait in
memory and are written as soon as it is possible again.
"""

from __future__ import annotations

import logging
import math
import os
import secrets
import tempfile
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from hazelhollow.decisions import interface as api
from hazelhollow.net.ids_elsewhere import IdsElsewhere

SLICE_S = 150.0  # of the monotonic clock, per file
KEPT_SLICES = 3  # the current one and the two before it
MAX_SLICE_BYTES = 2 << 20
MAX_WAITING = 4096  # entries that could not be written yet
READ_BYTES = 1 << 16
ENTRY_ITEMS = 8
RAN, NEVER_RAN, OPEN, STARTED = "ran", "never ran", "open", "started"
NO_PLACE = ("", 0, "")  # zone, cell and address of an entry that is no execution
OTHER_LASTS_S = 15.0  # after its last entry; an upgrade takes less

log = logging.getLogger(__name__)


class ExecutionLog:
    """Writes this process's executions and reads the other's.

    Attributes:
        failures: How many writes have failed.
        ids_elsewhere: The ids that may be open at the other process.
    """

    def __init__(
        self,
        limiter_name: str,
        folder: Path | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Writes nothing yet. `folder` defaults to `$TMPDIR`, `monotonic` is the shared clock."""
        self._folder = folder or Path(os.environ.get("TMPDIR") or tempfile.gettempdir())
        safe_name = "".join(c if c.isalnum() or c in "-_." else "_" for c in limiter_name)
        self._prefix = f"hazelhollow-{safe_name or 'limiter'}-executions-"
        self._monotonic = monotonic
        self._writer, self._last_number = secrets.token_hex(4), 0
        self._waiting: deque[bytes] = deque(maxlen=MAX_WAITING)
        self._write_slice, self._write_fd, self._written_bytes = -1, -1, 0
        self._read_slice, self._read_fd = self._current_slice() - KEPT_SLICES + 1, -1
        self._unparsed = b""
        self.failures = 0
        self.ids_elsewhere = IdsElsewhere()
        self._other_until = -math.inf  # by `monotonic`: until when another process counts as there

    # Writing

    def announce(self) -> None:
        """Writes that this process has started, so that another one shares its open ids."""
        self._append_entry(STARTED, self._next_id(), None, NO_PLACE)

    def append_open(self, request: api.RequestArrived) -> None:
        """Writes that a request is open that is safe to repeat, if another process is there."""
        if self._monotonic() < self._other_until:
            self._append_entry(OPEN, self._next_id(), request, NO_PLACE)

    def append(self, request: api.RequestArrived, execution: api.Execution, age: float) -> None:
        """Writes that an attempt may have run. `age`: seconds since it started."""
        self._append(RAN, request, execution, age)

    def retract(self, request: api.RequestArrived, execution: api.Execution, age: float) -> None:
        """Writes that an attempt surely never ran."""
        self._append(NEVER_RAN, request, execution, age)

    def _append(
        self, kind: str, request: api.RequestArrived, execution: api.Execution, age: float
    ) -> None:
        if not execution.shared_id:
            execution.shared_id = self._next_id()
        place = (execution.zone, execution.cell, execution.address)
        self._append_entry(kind, execution.shared_id, request, place, age)

    def _next_id(self) -> str:
        self._last_number += 1
        return f"{self._writer}.{self._last_number}"

    def _append_entry(
        self,
        kind: str,
        entry_id: str,
        request: api.RequestArrived | None,
        place: tuple[str, int, str],
        age: float = 0.0,
    ) -> None:
        started_ms = round((self._monotonic() - age) * 1000)
        names = (request.customer, request.id) if request else ("", "")
        entry = [entry_id, kind, *names, *place, started_ms]
        self._waiting.append(b"\n" + orjson.dumps(entry) + b"\n")
        self._write_waiting()

    def _write_waiting(self) -> None:
        try:
            while self._waiting:
                self._write(self._waiting[0])
                self._waiting.popleft()
        except OSError as error:
            self._close_written()
            if not self.failures:
                log.error(
                    "executions cannot be written, the other process of an upgrade does not see"
                    " them: %s",
                    error,
                )
            self.failures += 1

    def _write(self, entry: bytes) -> None:
        """Writes one entry completely; raises OSError."""
        current = self._current_slice()
        if current != self._write_slice:
            self._close_written()
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._write_fd = os.open(self._path(current), flags, 0o644)
            self._write_slice, self._written_bytes = current, 0
            self._remove_old(current)
        if self._written_bytes > MAX_SLICE_BYTES:
            return
        size = os.write(self._write_fd, entry)
        self._written_bytes += size
        if size < len(entry):  # the disk is full: the entry is written again as a whole
            raise OSError(f"{size} of {len(entry)} bytes written")

    def _close_written(self) -> None:
        if self._write_fd >= 0:
            os.close(self._write_fd)
        self._write_fd = self._write_slice = -1

    def _remove_old(self, current: int) -> None:
        with suppress(OSError):
            for path in self._folder.glob(f"{self._prefix}*"):
                number = path.name.removeprefix(self._prefix)
                if number.isdigit() and int(number) <= current - KEPT_SLICES:
                    path.unlink(missing_ok=True)

    # Reading

    def read(self) -> tuple[api.ReportedExecution, ...]:
        """Returns what the other process has written since the last call; writes what waits."""
        if self._waiting:
            self._write_waiting()
        found: list[api.ReportedExecution] = []
        current = self._current_slice()
        while True:
            data = self._read_some()
            if data:
                found += self._parse(data)
            elif self._read_slice < current:
                self._close_read()
                self._read_slice += 1
            else:
                return tuple(found)

    def _read_some(self) -> bytes:
        try:
            if self._read_fd < 0:
                self._read_fd = os.open(self._path(self._read_slice), os.O_RDONLY)
            return os.read(self._read_fd, READ_BYTES)
        except OSError:  # absent, or the disk fails for a while: the next call tries again
            self._close_read()
            return b""

    def _close_read(self) -> None:
        if self._read_fd >= 0:
            os.close(self._read_fd)
        self._read_fd, self._unparsed = -1, b""

    def _parse(self, data: bytes) -> list[api.ReportedExecution]:
        *lines, self._unparsed = (self._unparsed + data).split(b"\n")
        own = b'["' + self._writer.encode() + b"."
        entries = [self._parse_line(line) for line in lines if line and not line.startswith(own)]
        return [entry for entry in entries if entry]

    def _parse_line(self, line: bytes) -> api.ReportedExecution | None:
        try:
            items: Any = orjson.loads(line)
        except orjson.JSONDecodeError:  # written half way by a process that was killed
            return None
        if not isinstance(items, list) or len(items) != ENTRY_ITEMS:
            return None
        shared_id, kind, customer, request_id, zone, cell, address, started_ms = items
        texts = (shared_id, kind, customer, request_id, zone, address)
        numbers = (cell, started_ms)
        if not all(isinstance(text, str) for text in texts) or not all(
            type(number) is int for number in numbers
        ):
            return None
        now = self._monotonic()
        age = max(now - started_ms / 1000, 0.0)
        self._other_until = max(self._other_until, now - age + OTHER_LASTS_S)
        if request_id:
            self.ids_elsewhere.add(request_id, age, kind == NEVER_RAN, now)
        if kind in (OPEN, STARTED):
            return None
        return api.ReportedExecution(
            customer, request_id, shared_id, zone, cell, address, age, kind == NEVER_RAN
        )

    def is_open_elsewhere(self, request: api.RequestArrived) -> bool:
        """Whether a request may be open under this id at the other process."""
        return self.ids_elsewhere.is_open(request.id, self._monotonic())

    def _current_slice(self) -> int:
        return int(self._monotonic() // SLICE_S)

    def _path(self, number: int) -> Path:
        return self._folder / f"{self._prefix}{number}"
