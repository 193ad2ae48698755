"""A stand-in for the network.

Datagrams and TCP between processes of this machine, with faults by pair and direction.

Each process has a name (`n0`, `h1`, `d`). What goes from one to another passes a socket of the
relay's that the sender takes for the other's own, and leaves by the one that the receiver takes for
the sender's. The relay changes no byte.
"""

from __future__ import annotations

import random
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import READABLE, Scheduler, Task

Address = tuple[str, int]
MAX_HELD = 1 << 20  # bytes of one direction of a connection that wait
MAX_STALLED = 2000  # datagrams of one direction that wait for a stalled link
MAX_DATAGRAM = 65536
BATCH = 64  # datagrams read before others get their turn
CONNECT = 1.0  # seconds


@dataclass(frozen=True)
class Fault:
    """What is wrong with a link in one direction; a share is 0 to 1, times are seconds."""

    cut: bool = False  # nothing passes; what was sent is lost
    stalled: bool = False  # nothing passes; what was sent comes when the stall ends
    reset: bool = False  # connections end and new ones are ended at once; datagrams are lost
    delay: float = 0.0
    lose: float = 0.0
    double: float = 0.0
    reorder: float = 0.0  # share of datagrams that later ones overtake
    thin: float = 0.0  # datagrams a second that pass at most; 0: no bound

    def __or__(self, other: Fault) -> Fault:
        """Both at once."""
        rates = [rate for rate in (self.thin, other.thin) if rate]
        return Fault(
            self.cut or other.cut,
            self.stalled or other.stalled,
            self.reset or other.reset,
            self.delay + other.delay,
            1 - (1 - self.lose) * (1 - other.lose),
            max(self.double, other.double),
            max(self.reorder, other.reorder),
            min(rates, default=0.0),
        )


SOUND = Fault()
NO_LINGER = struct.pack("ii", 1, 0)  # closing ends the connection with a reset
OVERTAKEN = 0.05  # seconds that a reordered datagram waits


@dataclass(eq=False)
class Link:
    """One direction between two processes."""

    faults: dict[int, Fault] = field(default_factory=dict)
    now: Fault = SOUND
    passed: int = 0
    lost: int = 0
    bytes: int = 0
    room: float = 1.0  # of a thinned link
    room_at: float = 0.0
    waiting: list[Callable[[], None]] = field(default_factory=list)  # what a stall holds back

    def change(self) -> None:
        self.now = SOUND
        for fault in self.faults.values():
            self.now |= fault


class Relay:
    def __init__(self, scheduler: Scheduler, seed: int) -> None:
        self.scheduler, self.random = scheduler, random.Random(seed)
        self.links: dict[tuple[str, str], Link] = {}
        self.pipes: dict[Pipe, None] = {}
        self._serial = 0
        self._socks: list[socket.socket] = []
        # by sender and whom it stands for
        self._datagrams: dict[tuple[str, str], socket.socket] = {}
        self.watching: Callable[[bytes], None] | None = None  # gets each datagram that passes

    def link(self, sender: str, receiver: str) -> Link:
        return self.links.setdefault((sender, receiver), Link())

    # Faults

    def begin(self, fault: Fault, pairs: list[tuple[str, str]]) -> int:
        """The fault holds for each direction until `end` gets the number that this gives."""
        self._serial += 1
        for pair in pairs:
            link = self.link(*pair)
            link.faults[self._serial] = fault
            link.change()
        if fault.reset:
            self._reset(set(pairs))
        return self._serial

    def end(self, number: int) -> None:
        """A connection whose bytes a cut has kept back is broken by now.

        What a stall kept back goes on its way.
        """
        for pair, link in self.links.items():
            if link.faults.pop(number, None) is None:
                continue
            before = link.now
            link.change()
            if before.stalled and not link.now.stalled:
                held, link.waiting = link.waiting, []
                for send in held:
                    send()
            if before.cut and not link.now.cut:
                self._reset({pair}, only_held=True)
            for pipe in list(self.pipes):
                if pair in (pipe.out.pair, pipe.back.pair):
                    pipe.wake()

    def heal(self) -> None:
        """Every fault ends."""
        for number in sorted({n for link in self.links.values() for n in link.faults}):
            self.end(number)

    def _reset(self, pairs: set[tuple[str, str]], only_held: bool = False) -> None:
        for pipe in list(self.pipes):
            hit = [half for half in (pipe.out, pipe.back) if half.pair in pairs]
            if hit and (not only_held or any(half.kept for half in hit)):
                pipe.break_off()

    # Datagrams

    def datagrams(
        self, sender: str, receiver: str, listen: Address, source: Address, target: Address
    ) -> None:
        """What `sender`, whose own address is `source`, sends to `listen` goes to `receiver` at
        `target`.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(listen)
        self._socks.append(sock)
        self._datagrams[sender, receiver] = sock
        link = self.link(sender, receiver)
        self.scheduler.spawn_supervised(
            lambda: self._read(sock, link, sender, receiver, source, target), "relay"
        )

    def _read(
        self,
        sock: socket.socket,
        link: Link,
        sender: str,
        receiver: str,
        source: Address,
        target: Address,
    ) -> None:
        while True:
            self.scheduler.wait(sock.fileno(), READABLE)
            for _ in range(BATCH):
                try:
                    data, came_from = sock.recvfrom(MAX_DATAGRAM)
                except OSError:
                    break
                out = self._datagrams.get(
                    (receiver, sender)
                )  # whose address the receiver takes for the sender's
                if came_from == source and out is not None:
                    self._pass(link, partial(self._send, link, out, data, target))

    def _pass(self, link: Link, send: Callable[[], None]) -> None:
        fault, now, chance = link.now, self.scheduler.clock(), self.random.random
        if fault is SOUND:
            send()
            return
        if (
            fault.cut
            or fault.reset
            or (fault.lose and chance() < fault.lose)
            or not _room(link, now)
        ):
            link.lost += 1
            return
        if fault.stalled:
            if len(link.waiting) < MAX_STALLED:
                link.waiting.append(send)
            return
        late = fault.delay + (OVERTAKEN if fault.reorder and chance() < fault.reorder else 0.0)
        for _ in range(2 if fault.double and chance() < fault.double else 1):
            if late:
                self.scheduler.at(now + late, send)
            else:
                send()

    def _send(self, link: Link, out: socket.socket, data: bytes, target: Address) -> None:
        link.passed += 1
        link.bytes += len(data)
        if self.watching:
            self.watching(data)
        try:
            out.sendto(data, target)
        except OSError:  # nobody there; or an error that an earlier one met
            link.lost += 1

    # TCP

    def connections(self, sender: str, receiver: str, listen: Address, target: Address) -> None:
        """Connections of `sender` to `listen` go on to `receiver` at `target`."""
        sock = socket.create_server(listen, backlog=128)
        sock.setblocking(False)
        self._socks.append(sock)
        self.scheduler.spawn_supervised(
            lambda: self._accept(sock, sender, receiver, target), "relay"
        )

    def _accept(self, sock: socket.socket, sender: str, receiver: str, target: Address) -> None:
        for near in stream.accept_connections(self.scheduler, sock):
            pipe = Pipe(self, sender, receiver, near)
            self.pipes[pipe] = None
            self.scheduler.spawn(pipe.run, target, name="relay connection")

    def counts(self) -> dict[str, Counter[str]]:
        """By direction: datagrams and bytes passed, datagrams lost."""
        return {
            f"{a}>{b}": Counter(passed=link.passed, bytes=link.bytes, lost=link.lost)
            for (a, b), link in self.links.items()
        }

    def close(self) -> None:
        for pipe in list(self.pipes):
            pipe.break_off()
        for sock in self._socks:
            self.scheduler.unregister(sock.fileno())
            sock.close()
        self._socks.clear()


def _room(link: Link, now: float) -> bool:
    """Whether a thinned link has room for one more."""
    if not link.now.thin:
        return True
    link.room = min(1.0, link.room + link.now.thin * (now - link.room_at))
    link.room_at = now
    if link.room < 1.0:
        return False
    link.room -= 1.0
    return True


@dataclass(eq=False)
class Half:
    """One direction of a connection."""

    pair: tuple[str, str]
    link: Link
    kept: bool = False  # a cut holds bytes back


class Pipe:
    """One connection from end to end."""

    def __init__(self, relay: Relay, sender: str, receiver: str, near: socket.socket) -> None:
        self.relay, self._raw = relay, [near]
        self.out = Half((sender, receiver), relay.link(sender, receiver))
        self.back = Half((receiver, sender), relay.link(receiver, sender))
        self.near = stream.Stream(relay.scheduler, near, MAX_HELD)
        self.far: stream.Stream | None = None
        self._tasks: list[Task] = []
        self.broken = False

    def wake(self) -> None:
        for task in self._tasks:
            self.relay.scheduler.wake(task)

    def run(self, target: Address) -> None:
        self._tasks.append(self.relay.scheduler.current())
        if self.out.link.now.reset or self.back.link.now.reset:
            self.break_off()
        # it does not come up
        while not self.broken and self._shut(self.out) | self._shut(self.back):
            self.relay.scheduler.wait()
        if self.broken:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        far = self.far = stream.Stream(self.relay.scheduler, sock, MAX_HELD)
        self._raw.append(sock)
        if far.establish(target, self.relay.scheduler.clock() + CONNECT) or self.broken:
            self.break_off()
            far.close(CloseReason.RESET)
            return
        self.relay.scheduler.spawn(self._copy, far, self.near, self.back, name="relay connection")
        self._copy(self.near, far, self.out)

    def _shut(self, half: Half) -> bool:
        fault = half.link.now
        half.kept |= fault.cut
        return fault.cut or fault.stalled

    def _copy(self, source: stream.Stream, target: stream.Stream, half: Half) -> None:
        scheduler = self.relay.scheduler
        if scheduler.current() not in self._tasks:
            self._tasks.append(scheduler.current())
        while not self.broken and source.ending is None:
            source.wait()
            data = source.read(stream.READ_CHUNK_BYTES)
            if data is None:
                continue
            while not self.broken and self._shut(half):
                scheduler.wait()
            if half.link.now.delay and not self.broken:
                scheduler.sleep(half.link.now.delay)
            if isinstance(data, CloseReason):
                break
            if not self.broken:
                target.write(data)
                target.flush()
        self._finish(source, target)

    def _finish(self, source: stream.Stream, target: stream.Stream) -> None:
        """One side has ended: so does the other, once it has what was on its way."""
        until = self.relay.scheduler.clock() + CONNECT
        while target.out and target.ending is None and self.relay.scheduler.clock() < until:
            target.wait(until, 0)
        for side in (source, target):
            side.close(CloseReason.CLOSED)
        self.relay.pipes.pop(self, None)

    def break_off(self) -> None:
        """Both ends see a reset."""
        if self.broken:
            return
        self.broken = True
        for side, sock in zip((self.near, self.far), self._raw, strict=False):
            if side is not None and side.ending is None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                side.close(CloseReason.RESET)
        self.relay.pipes.pop(self, None)
        self.wake()
