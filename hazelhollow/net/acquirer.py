"""The acquirer side: clients' connections, their commands, and the answers in the order of the commands."""

from __future__ import annotations

import logging
import socket
from collections import deque
from collections.abc import Callable

from hazelhollow import interface as api
from hazelhollow.net import resp, stream
from hazelhollow.net import scheduler as sch
from hazelhollow.net.ending import Ending
from hazelhollow.net.limiter import Limiter, Open
from hazelhollow.net.stats import Stats

MOST_PIPELINED = 64  # commands of one connection that are not answered yet; past it nothing more is read
MOST_OUT = 4 * resp.MOST_BYTES  # answers that a client has not taken
STALL = 10.0  # seconds without a byte taken, after which a client is given up
BACKLOG = 1024
MOST_UNITS = 1e6  # of one request
ACCEPT_PAUSE = 0.05  # when no descriptor is left
MEMORY_SHARE = 0.25  # of the limit: what all clients together may make this limiter hold
RELIEF = 0.5  # seconds between looks at it

log = logging.getLogger(__name__)


class BadCommand(Exception):
    """A command that is answered with an error, and why."""


class Ask:
    """`Q.ASK` or `Q.DO`, read; it can be said again with another wait and nothing else changed."""

    __slots__ = ("request", "size", "_words", "_before", "_after")

    def __init__(self, words: list[bytes], late: float) -> None:
        """`late`: how long ago it may have arrived."""
        if not 4 <= len(words) <= 5:
            raise BadCommand("wrong number of arguments")
        try:
            text = words[3].decode("ascii")
            fields = dict([item.split("=", 1) for item in text.split(",")])
            self.request = api.Request(
                id=words[2].decode("ascii"),
                class_name=fields["c"],
                plan_name=fields["t"],
                customer=words[1].decode("ascii"),
                units=float(fields.get("units", "1")),
                patience=int(fields["d"]) / 1000.0 - late,
                first_gateway=int(fields.get("first", "0")),
                spread=int(fields.get("spread", "1")),
                repeat=fields.get("r") == "1",
            )
        except (KeyError, ValueError):
            raise BadCommand("unreadable request") from None
        if not self.request.units <= MOST_UNITS:  # `nan` too: one would spoil its customer's budget for good
            raise BadCommand("units out of range")
        start = 0 if text.startswith("d=") else text.index(",d=") + 1
        end = text.find(",", start)
        self._words, self.size = words, sum(map(len, words))
        self._before, self._after = words[3][: start + 2], words[3][end:] if end >= 0 else b""

    def command(self, wait_ms: int) -> bytes:
        words = self._words
        return resp.command([*words[:3], b"%b%d%b" % (self._before, wait_ms, self._after), *words[4:]])


class Slot:
    """The place of one command in its connection's order of answers."""

    __slots__ = ("session", "answer", "open", "size")

    def __init__(self, session: Session) -> None:
        self.session, self.size = session, 0
        self.answer: bytes | None = None
        self.open: Open | None = None

    def settle(self, answer: bytes) -> None:
        # Without `open`: a record and its place would hold each other, and both hold the session and its rings,
        # until the cycle collector came. Memory would grow by all that it had not found yet.
        self.answer, self.size, self.open = answer, len(answer), None
        self.session.push()

    def served(self, value: bytes) -> None:
        self.settle(resp.bulk(value))

    def declined(self, wait_ms: int) -> None:
        self.settle(b"-BUSY %d\r\n" % wait_ms if wait_ms > 0 else b"-BUSY\r\n")

    def failed(self) -> None:
        self.settle(b"-ERR failed\r\n")


class Session:
    """One connection of a client."""

    def __init__(self, acquirer: Acquirer, driver: stream.Stream) -> None:
        self._acquirer, self._driver = acquirer, driver
        self._parser = resp.Parser()
        self._slots: deque[Slot] = deque()
        self._progress = (0, 0.0)  # bytes taken by the client, and since when
        self.idle_since = acquirer.scheduler.clock()
        self.finishing = False

    def run(self) -> None:
        ending = Ending.BROKEN_HERE
        try:
            ending = self._serve()
        finally:
            self.end(ending)

    def end(self, ending: Ending) -> None:
        self._driver.close(ending)
        self._acquirer.sessions.discard(self)
        slots, self._slots = self._slots, deque()
        for slot in slots:
            one, slot.open = slot.open, None
            if one:
                self._acquirer.limiter.gone(one)

    def resting(self) -> bool:
        """Between requests, so that it may be closed."""
        return not self._slots and not self._driver.out and self._parser.idle()

    def held(self) -> int:
        """Bytes in memory on this client's account."""
        return len(self._parser.ring) + len(self._driver.out) + sum([slot.size for slot in self._slots])

    def finish(self) -> None:
        """To be closed between requests, now or after the last answer."""
        self.finishing = True
        self._driver.wake()

    def push(self) -> None:
        """Hands over the answers whose turn has come, as far as the ring has room for them."""
        slots, out = self._slots, self._driver.out
        while slots and slots[0].answer is not None:
            answer = slots[0].answer
            if len(answer) > out.room():
                return
            slots.popleft()
            self._driver.write(answer)
        if not slots:
            self.idle_since = self._acquirer.scheduler.clock()
        if self.finishing or len(slots) == MOST_PIPELINED - 1:
            self._driver.wake()

    def _serve(self) -> Ending:
        driver = self._driver
        while driver.ending is None:
            if self.finishing:
                driver.flush()
                if self.resting():
                    return Ending.SHUTDOWN
            full = len(self._slots) >= MOST_PIPELINED or len(driver.out) > MOST_OUT // 2
            bits = driver.wait(self._stalled_at(), 0 if full else sch.READ)
            self.push()
            if bits == sch.TIMEOUT:
                return Ending.STALLED
            if bits == sch.WOKEN or not bits & (sch.READ | sch.TROUBLE):
                continue
            data = driver.read(self._parser.ring.room())
            if isinstance(data, Ending):
                return data
            if data:
                try:
                    self._parser.feed(data)
                    self._commands()
                except resp.ProtocolError as error:
                    return self._malformed(str(error))
        return driver.ending

    def _stalled_at(self) -> float | None:
        """When a client that takes nothing is given up."""
        driver = self._driver
        if not driver.out:
            return None
        if self._progress[0] != driver.written or not self._progress[1]:
            self._progress = driver.written, self._acquirer.scheduler.clock()
        return self._progress[1] + STALL

    def _malformed(self, why: str) -> Ending:
        """One plain error, behind the answers that are due already."""
        self._acquirer.stats.malformed += 1
        slot = Slot(self)
        self._slots.append(slot)
        slot.settle(b"-ERR protocol error: %b\r\n" % why.encode())
        self._driver.flush()
        return Ending.MALFORMED

    def _commands(self) -> None:
        while True:
            value = self._parser.next()
            if isinstance(value, resp.More):
                return
            if not isinstance(value, list) or not value or not all(isinstance(w, bytes) for w in value):
                raise resp.ProtocolError("a command is an array of strings")
            words: list[bytes] = [w for w in value if isinstance(w, bytes)]
            slot = Slot(self)
            self._slots.append(slot)
            self._acquirer.stats.commands += 1
            self._command(words, slot)

    def _command(self, words: list[bytes], slot: Slot) -> None:
        verb, acquirer = words[0].upper(), self._acquirer
        if verb in (b"Q.ASK", b"Q.DO"):
            try:
                ask = Ask(words, acquirer.scheduler.clock() - acquirer.scheduler.started_turn)
            except BadCommand as error:
                slot.settle(b"-ERR %b\r\n" % str(error).encode())
                return
            slot.size = ask.size
            slot.open = acquirer.limiter.ask(ask, slot)
        elif verb == b"PING":
            acquirer.when_ready(lambda: slot.settle(b"+PONG\r\n"))
        elif verb in (b"CLIENT", b"SELECT"):
            slot.settle(b"+OK\r\n")
        elif verb == b"INFO":
            slot.settle(resp.bulk(acquirer.stats.text().encode()))
        else:
            slot.settle(b"-ERR unknown command\r\n")


class Acquirer:
    """The listening socket and the sessions that it has brought."""

    def __init__(
        self,
        scheduler: sch.Scheduler,
        stats: Stats,
        limiter: Limiter,
        listen: tuple[str, int],
        most_sessions: int,
        most_held: int,
        spare: Callable[[], bool],
    ) -> None:
        self.scheduler, self.stats, self.limiter = scheduler, stats, limiter
        self.sessions: set[Session] = set()
        self._most, self._most_held, self._spare = most_sessions, most_held, spare
        self._ready = False
        self._waiting: list[Callable[[], None]] = []
        scheduler.at(scheduler.clock() + RELIEF, self._relieve)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self._sock.listen(BACKLOG)
        self.address: tuple[str, int] = self._sock.getsockname()

    def when_ready(self, call: Callable[[], None]) -> None:
        """`PING` is answered only by a limiter that can serve."""
        if self._ready:
            call()
        else:
            self._waiting.append(call)

    def ready(self) -> None:
        self._ready = True
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call()

    def run(self) -> None:
        while True:
            self.scheduler.wait(self._sock.fileno(), sch.READ)
            while self._accept():
                pass

    def _accept(self) -> bool:
        if len(self.sessions) >= self._most and not any(s.resting() for s in self.sessions):
            self.scheduler.sleep(ACCEPT_PAUSE)
            return False
        try:
            sock, _ = self._sock.accept()
        except OSError as error:
            if error.errno in stream.NO_DESCRIPTOR and not self._spare() and not self._close_idlest():
                self.scheduler.sleep(ACCEPT_PAUSE)  # poll would say at once that a client waits
            return error.errno in stream.NO_DESCRIPTOR
        self.stats.accepted += 1
        # Only now is it known that room is needed; the one that has come must not be the one that goes.
        if len(self.sessions) >= self._most:
            self._close_idlest()
        session = Session(self, stream.Stream(self.scheduler, sock, MOST_OUT))
        self.sessions.add(session)
        self.scheduler.spawn(session.run, name="session")
        return True

    def _close_idlest(self) -> bool:
        resting = [s for s in self.sessions if s.resting()]
        if resting:
            min(resting, key=lambda s: s.idle_since).end(Ending.NO_DESCRIPTOR)
        return bool(resting)

    def _relieve(self) -> None:
        """Many slow clients at once may hold more than there is, each within its own bound: the largest go."""
        self.scheduler.at(self.scheduler.clock() + RELIEF, self._relieve)
        held = {session: session.held() for session in self.sessions}
        total = sum(held.values())
        for session in sorted(held, key=held.__getitem__, reverse=True):
            if total <= self._most_held:
                break
            total -= held[session]
            self.stats.relieved += 1
            session.end(Ending.STALLED)

    def finish(self) -> None:
        """Sessions end between requests; new ones are still taken."""
        for session in list(self.sessions):
            session.finish()

    def close(self) -> None:
        self.scheduler.forget(self._sock.fileno())
        self._sock.close()
