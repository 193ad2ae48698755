"""A stand-in for an endpoint: it serves every request after a fixed processing time.

It processes a bounded number of requests concurrently, and can start slowly, drain, report its load
and write a journal line for each request that it begins. With a script its answers are written step
by step, with pauses and faults.
"""

from __future__ import annotations

import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import orjson

from hazelhollow.net import resp, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.errors import ProtocolError
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.standins.answer_script import End, Pause, ScriptWriter, Write

MAX_OUT_BYTES = 8 * 1024 * 1024  # buffered replies of one connection
MAX_QUEUED_REQUESTS = 1000
DRAIN_POLL_S = 0.005  # between checks whether a scripted answer has been sent
NO_JOURNAL = -1  # instead of a file descriptor
REQUEST_COMMANDS = (b"Q.ASK", b"Q.DO")
REQUEST_ARGUMENTS = 4  # command, customer, request id, fields
RESET_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: close() resets the connection
FIXED_REPLIES = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}


@dataclass(eq=False)
class Connection:
    """A client connection; replies are sent in the order of its commands."""

    driver: stream.Stream
    parser: resp.Parser = field(default_factory=resp.Parser)
    # One slot per command; it is filled when the command is done.
    replies: deque[list[bytes]] = field(default_factory=deque)
    first_byte_at: float = 0.0  # when the command that is incomplete was begun; 0: none is


@dataclass(frozen=True)
class SlowStart:
    """Speed after the start: rises linearly from the share `start` to 1 within `lasts` seconds."""

    start: float = 1.0
    lasts: float = 0.0

    def speed(self, age: float) -> float:
        """Returns the share of the full speed `age` seconds after the start."""
        return self.start + (1.0 - self.start) * min(1.0, age / self.lasts) if self.lasts else 1.0


@dataclass(frozen=True)
class SlowReading:
    """A command is read in pieces of `size` bytes, each `pause` seconds after the last."""

    size: int
    pause: float


@dataclass(frozen=True)
class NodeOptions:
    """How a stand-in endpoint behaves.

    Attributes:
        work: processing time of a request in seconds.
        cores: number of requests that are processed concurrently.
        slow_start: the speed after the start.
        journal: file descriptor that receives a JSON line for each request that begins.
        script: returns what is written for a request; None: its id, at once.
        receive_buffer: of each connection in bytes; 0: the system's own.
        slow_reading: returns for a new connection how it is read; None: at once.
        on_begin: called with the arguments of each request when it begins to run, and the seconds
            that passed since its first byte was read.
        on_written: called with the arguments and the bytes sent when its answer ends.
    """

    work: float
    cores: int
    slow_start: SlowStart = SlowStart()
    journal: int = NO_JOURNAL
    script: ScriptWriter | None = None
    receive_buffer: int = 0
    slow_reading: Callable[[], SlowReading | None] = lambda: None
    on_begin: Callable[[list[bytes], float], None] = lambda _arguments, _reading: None
    on_written: Callable[[list[bytes], int], None] = lambda _arguments, _sent: None


class QueuedRequest(NamedTuple):
    """A request that waits for a core, and the slot for its reply."""

    connection: Connection
    slot: list[bytes]
    id: bytes
    arguments: list[resp.Value]
    first_byte_at: float

    def words(self) -> list[bytes]:
        """Returns the arguments of the command."""
        return [word for word in self.arguments if isinstance(word, bytes)]


class Node:
    """One stand-in endpoint and its listening socket."""

    def __init__(
        self,
        scheduler: Scheduler,
        listen: tuple[str, int],
        options: NodeOptions,
    ) -> None:
        self.scheduler, self.options = scheduler, options
        self.draining = False
        self.started_at = scheduler.clock()
        self._sock = socket.create_server(listen, backlog=256)
        if options.receive_buffer:  # connections inherit it
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, options.receive_buffer)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()[:2]
        self.served = self.busy = 0
        self._queue: deque[QueuedRequest] = deque()

    def start(self) -> None:
        """Begins to accept connections."""
        self.scheduler.spawn_supervised(self._accept, "node")

    def _accept(self) -> None:
        for sock in stream.accept_connections(self.scheduler, self._sock):
            connection = Connection(stream.Stream(self.scheduler, sock, MAX_OUT_BYTES))
            self.scheduler.spawn(self._serve, connection, name="node connection")

    def _serve(self, connection: Connection) -> None:
        driver, reading = connection.driver, self.options.slow_reading()
        while driver.close_reason is None:
            driver.wait()
            room = connection.parser.ring.room()
            data = driver.read(min(room, reading.size) if reading else room)
            if isinstance(data, CloseReason):
                driver.close(data)
            elif data:
                if not connection.first_byte_at:
                    connection.first_byte_at = self.scheduler.clock()
                try:
                    connection.parser.feed(data)
                    while not isinstance(command := connection.parser.next(), resp.NeedMoreData):
                        self._handle(connection, command)
                        connection.first_byte_at = 0.0
                except ProtocolError:
                    driver.close(CloseReason.MALFORMED)
            if reading and connection.first_byte_at:
                self.scheduler.sleep(reading.pause)

    def _handle(self, connection: Connection, command: resp.Value) -> None:
        slot: list[bytes] = []
        connection.replies.append(slot)
        arguments = command if isinstance(command, list) else []
        name = arguments[0] if arguments and isinstance(arguments[0], bytes) else b""
        is_request = name in REQUEST_COMMANDS and len(arguments) >= REQUEST_ARGUMENTS
        request_id = arguments[2] if is_request else None
        if isinstance(request_id, bytes):
            if self.draining or len(self._queue) >= MAX_QUEUED_REQUESTS:
                self._reply(connection, slot, b"-BUSY\r\n")
            else:
                began = connection.first_byte_at or self.scheduler.clock()
                self._queue.append(QueuedRequest(connection, slot, request_id, arguments, began))
                self._begin_queued()
        elif name == b"INFO":
            self._reply(connection, slot, resp.encode_bulk_string(self._load_report()))
        else:
            self._reply(connection, slot, FIXED_REPLIES.get(name, b"-ERR unknown\r\n"))

    def _begin_queued(self) -> None:
        while self._queue and self.busy < self.options.cores:
            self.busy += 1
            request = self._queue.popleft()
            now = self.scheduler.clock()
            self._write_to_journal(request.arguments, now)
            self.options.on_begin(request.words(), now - request.first_byte_at)
            speed = self.options.slow_start.speed(now - self.started_at)
            self.scheduler.at(now + self.options.work / speed, self._finish, request)

    def _write_to_journal(self, arguments: list[resp.Value], now: float) -> None:
        if self.options.journal == NO_JOURNAL:
            return
        verb, customer, request, fields = (
            argument.decode()
            for argument in arguments[:REQUEST_ARGUMENTS]
            if isinstance(argument, bytes)
        )
        row = {"t": now, "verb": verb, "customer": customer, "id": request, "fields": fields}
        # Unbuffered: the line must not be lost if the endpoint is killed during the request.
        os.write(self.options.journal, orjson.dumps(row) + b"\n")

    def _load_report(self) -> bytes:
        return b"inflight=%d,queue=%d" % (self.busy, len(self._queue))

    def _finish(self, request: QueuedRequest) -> None:
        self.busy -= 1
        self.served += 1
        if self.options.script:
            self.scheduler.spawn(self._play, request, name="scripted answer")
            self._begin_queued()
            return
        body = resp.encode_bulk_string(b"served " + request.id)
        report = resp.encode_bulk_string(self._load_report())
        self._reply(request.connection, request.slot, b"*3\r\n" + body + b"$-1\r\n" + report)
        self._begin_queued()

    def _play(self, request: QueuedRequest) -> None:
        """Writes a scripted answer; the body of its task."""
        assert self.options.script
        driver, sent_before = request.connection.driver, request.connection.driver.bytes_sent
        for step in self.options.script(request.words()):
            if driver.close_reason is not None or step is End.HANG:
                break
            if isinstance(step, Pause):
                self.scheduler.sleep(step.seconds)
            elif isinstance(step, Write):
                driver.write(step.data)
            else:
                self._end(driver, step)
        else:
            self._reply(request.connection, request.slot, b"")
        while driver.send_buffer and driver.close_reason is None:
            self.scheduler.sleep(DRAIN_POLL_S)
        self.options.on_written(request.words(), driver.bytes_sent - sent_before)

    @staticmethod
    def _end(driver: stream.Stream, how: End) -> None:
        driver.flush()
        if how is End.RESET and driver.close_reason is None:
            driver.set_linger(RESET_LINGER)
        driver.close(CloseReason.CLOSED)

    @staticmethod
    def _reply(connection: Connection, slot: list[bytes], data: bytes) -> None:
        slot.append(data)
        while connection.replies and connection.replies[0]:
            connection.driver.write(connection.replies.popleft()[0])

    def close(self) -> None:
        """Closes the listening socket; open connections end by themselves."""
        self.scheduler.unregister(self._sock.fileno())
        self._sock.close()
