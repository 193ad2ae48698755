"""The stand-in on real sockets: a thin driver, one `Node` for each listening address."""

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

MAX_OUT = 16 * 1024 * 1024  # bytes that wait for one connection
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
            if session is None:  # down: as near to a refusal as an open port can come
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.close()
                continue
            self._streams[session.id] = driver = stream.Stream(self.scheduler, sock, MAX_OUT)
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
        """Carries out what the node has due and sets a timer for its next turn."""
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
        """Ends all connections and the listening socket."""
        for driver in list(self._streams.values()):
            driver.close(CloseReason.SHUTDOWN)
        self.scheduler.unregister(self._sock.fileno())
        self._sock.close()


@dataclass(frozen=True)
class ServerOptions:
    """How the servers of a stand-in behave.

    Attributes:
        seed: of all draws of the first server; the others have the numbers after it.
        password: that clients must give; empty: none.
        faults: their schedule, counted from the start.
        shards: servers; more than one form a cluster.
        secure: TLS, or None.
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
    """Starts the servers; they listen at consecutive ports from that of `listen`.

    With port 0 each listens at any free one.
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
