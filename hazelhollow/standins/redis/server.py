"""The stand-in on real sockets: a thin driver with one `Node` for each listening address."""

from __future__ import annotations

import socket
import ssl
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from hazelhollow.net import stream, tls
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import Scheduler, Timer
from hazelhollow.standins.redis.cluster import Cluster
from hazelhollow.standins.redis.faults import Fault
from hazelhollow.standins.redis.node import Node
from hazelhollow.standins.redis.session import Session

MAX_OUT_BYTES = 16 * 1024 * 1024  # buffered replies of one connection
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 seconds


class Server:
    """One listening socket and its node."""

    def __init__(
        self,
        scheduler: Scheduler,
        node: Node,
        listen: tuple[str, int],
        secure: ssl.SSLContext | None = None,
    ) -> None:
        self.scheduler, self.node, self._secure = scheduler, node, secure
        self._tls_layers: dict[int, tls.Layer] = {}
        self._sock = socket.create_server(listen, backlog=256)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()[:2]
        self._streams: dict[int, stream.Stream] = {}
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begins to accept connections."""
        self.scheduler.spawn_supervised(self._accept, "stand-in")
        self.advance()

    def _accept(self) -> None:
        for sock in stream.accept_connections(self.scheduler, self._sock):
            session = self.node.connect()
            # While the node is down, a reset is the closest that an open port comes to a refusal.
            if session is None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.close()
                continue
            self._streams[session.id] = driver = stream.Stream(self.scheduler, sock, MAX_OUT_BYTES)
            if self._secure:
                self._tls_layers[session.id] = tls.Layer(self._secure)
            self.scheduler.spawn(self._serve, session, driver, name="stand-in connection")

    def _serve(self, session: Session, driver: stream.Stream) -> None:
        while driver.close_reason is None:
            driver.wait()
            data = driver.read(stream.READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                driver.close(data)
            elif data:
                plain = self._decrypt(session, driver, data)
                session.feed(plain)
                self.advance()
        self._streams.pop(session.id, None)
        self._tls_layers.pop(session.id, None)
        self.node.disconnect(session)

    def _decrypt(self, session: Session, driver: stream.Stream, data: bytes) -> bytes:
        layer = self._tls_layers.get(session.id)
        if layer is None:
            return data
        try:
            plain, back = layer.feed(data)
        except ssl.SSLError:
            driver.close(CloseReason.MALFORMED)
            return b""
        driver.write(back)
        return plain

    def advance(self) -> None:
        """Performs the node's outputs that are due and sets a timer for its next turn."""
        for output in self.node.turn():
            driver = self._streams.get(output.session.id)
            if driver is None:
                continue
            if output.data:
                layer = self._tls_layers.get(output.session.id)
                driver.write(layer.write(output.data) if layer else output.data)
            if output.closes:
                driver.flush()
                driver.close(CloseReason.SHUTDOWN)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        due = self.node.next_at()
        if due is not None:
            self._timer = self.scheduler.at(due, self.advance)

    def close(self) -> None:
        """Closes all connections and the listening socket."""
        for driver in list(self._streams.values()):
            driver.close(CloseReason.SHUTDOWN)
        self.scheduler.unregister(self._sock.fileno())
        self._sock.close()


@dataclass(frozen=True)
class ServerOptions:
    """How the servers of a stand-in behave.

    Attributes:
        seed: seed of the first server's random draws; the others have the next numbers.
        password: password that clients must send; empty: none is required.
        faults: scheduled faults; their times count from the start.
        shards: number of servers; more than one form a cluster.
        secure: TLS context; None: no TLS.
    """

    seed: int = 0
    password: str = ""
    faults: Sequence[Fault] = ()
    shards: int = 1
    secure: ssl.SSLContext | None = None


DEFAULT_OPTIONS = ServerOptions()


def start(
    scheduler: Scheduler, listen: tuple[str, int], options: ServerOptions = DEFAULT_OPTIONS
) -> list[Server]:
    """Starts the servers on consecutive ports, beginning with the port of `listen`.

    With port 0 each server listens on a free port.
    """
    host, port = listen
    servers = []
    for number in range(options.shards):
        node = Node(scheduler.clock, options.seed + number, options.password, list(options.faults))
        servers.append(
            Server(scheduler, node, (host, port + number if port else 0), options.secure)
        )
    if options.shards > 1:
        ids = [server.node.state.engine.run_id for server in servers]
        for number, server in enumerate(servers):
            server.node.state.cluster = Cluster([s.address for s in servers], number, ids)
    for server in servers:
        server.start()
    return servers
