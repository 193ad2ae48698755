"""One connection of a client: its commands, the answers in their order, and its end."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from hazelhollow.net import resp, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.engine_driver import Open
from hazelhollow.net.requests import Ask, BadCommandError
from hazelhollow.net.scheduler import PEER_CLOSED, READABLE, SOCKET_ERROR, TIMED_OUT, WOKEN

if TYPE_CHECKING:
    from hazelhollow.net.frontend import Frontend

# commands of one connection that are not answered yet; past it nothing more is read
MOST_PIPELINED = 64
MOST_OUT = 4 * resp.MAX_STRING_BYTES  # answers that a client has not taken
CHUNK = 16 * 1024  # read at a time
BATCH = 16  # commands of one connection that are taken before others get their turn
# Commands a second on one connection that come to nothing; who asks faster waits its turn.
TURNED_AWAY = 100.0
TURNED_AWAY_AT_ONCE = 200.0
MOST_BAD = 16  # bad commands in a row, after which the connection ends
STALL = 10.0  # seconds without a byte taken, after which a client is given up
WHOLE_WITHIN = 2.0  # seconds that a command may take to come, and a connection to bring its first
REST = 10.0  # seconds that a connection may be idle
LINGER = 1.0  # seconds in which a client may end its side of a connection that has been ended here
LINGER_BYTES = 1 << 20  # that it may still send meanwhile
# seconds in which a new connection's first command may come to a limiter that leaves
FIRST_WITHIN = 0.25
# Endings that owe nothing more: the client has had its answers, and must be able to read them.
ORDERLY = (CloseReason.IDLE, CloseReason.NO_DESCRIPTOR, CloseReason.SHUTDOWN, CloseReason.MALFORMED)


class Slot:
    """The place of one command in its connection's order of answers."""

    __slots__ = ("session", "answer", "open", "size")

    def __init__(self, session: Session) -> None:
        self.session, self.size = session, 0
        self.answer: bytes | None = None
        self.open: Open | None = None

    def settle(self, answer: bytes) -> None:
        # Without `open`: a record and its place would hold each other, and both hold the session
        # and its rings, until the cycle collector came. Memory would grow by all that it had not
        # found yet.
        self.answer, self.size, self.open = answer, len(answer), None
        self.session.push()

    def served(self, value: bytes) -> None:
        self.settle(resp.encode_bulk_string(value))

    def refused(self, wait_ms: int) -> None:
        self.session.turned_away()
        self.settle(b"-BUSY %d\r\n" % wait_ms if wait_ms > 0 else b"-BUSY\r\n")

    def failed(self) -> None:
        self.settle(b"-ERR failed\r\n")

    def has_left(self) -> bool:
        return self.session.has_left()

    def rejected(self, why: str) -> None:
        """A command that is not of the protocol."""
        self.session.turned_away()
        self.settle(b"-ERR %b\r\n" % why.encode())


class Session:
    """One connection of a client."""

    def __init__(self, frontend: Frontend, driver: stream.Stream) -> None:
        now = frontend.scheduler.clock()
        self._frontend, self._driver = frontend, driver
        self._parser = resp.Parser()
        self._slots: deque[Slot] = deque()
        self._progress = (0, 0.0)  # bytes taken by the client, and since when
        # since when, and whether it has ever sent a whole command
        self._connected, self._spoke = now, False
        self._begun: float | None = (
            now  # since when a command is awaited: the first, or one of which a part came
        )
        self._more = False  # there may be another whole command among what was read
        self._came = now  # what was read last, which may have to wait here for its turn
        self._bad = 0  # commands in a row
        # to be turned away without having to wait
        self._allowed, self._allowed_at = TURNED_AWAY_AT_ONCE, now
        self._doomed: float | None = None  # since when only what is owed is still answered
        self.idle_since = now
        self.finishing = False
        self.taking = True  # more commands; else it ends once what was taken is answered
        # until when its first command is waited for, even by a limiter that leaves
        self._awaited = 0.0
        # why it has ended here, while the client may still be sending
        self._lingers: CloseReason | None = None

    def run(self) -> None:
        ending = CloseReason.BROKEN_HERE
        try:
            ending = self._serve()
        finally:
            self.end(ending)
            if self._lingers:
                self._linger()

    def end(self, ending: CloseReason) -> None:
        """The one place in which a client's connection ends.

        To close it over unread bytes, or while some are on their way, would reset it, and the
        client would lose its last answer: where nothing more is owed the sending side alone is
        shut, and the session's own task reads on to the client's end.
        """
        if self._lingers:
            return
        frontend = self._frontend
        frontend.places.drop(self)
        slots, self._slots = self._slots, deque()
        if ending in ORDERLY and not slots:
            self._driver.shutdown_send()
        if ending in ORDERLY and not slots and self._driver.ending is None:
            self._lingers = ending
            frontend.places.lingers(self)
            self._driver.wake()
        else:
            self._driver.close(ending)
        for slot in slots:
            one, slot.open = slot.open, None
            if one:
                frontend.limiter.gone(one)

    def _linger(self) -> None:
        """What comes now crossed the end.

        It is read by nobody, and its client sends it again elsewhere.
        """
        self._parser = resp.Parser()  # what it holds is nobody's any more
        self._driver.drain(LINGER, LINGER_BYTES)
        self.forgo()

    def forgo(self) -> None:
        """No more waiting for the client's end."""
        self._driver.close(self._lingers or CloseReason.SHUTDOWN)
        self._frontend.places.lingering.pop(self, None)

    def resting(self) -> bool:
        """Between requests, so that it may be closed.

        Also none waits unread, which the client would have lost.
        """
        return (
            not self._is_awaited()
            and self._settled()
            and self._parser.idle()
            and self._driver.alive()
        )

    def _is_awaited(self) -> bool:
        return self._frontend.scheduler.clock() < self._awaited

    def _settled(self) -> bool:
        return not self._slots and not self._driver.out

    def held(self) -> int:
        """Bytes in memory on this client's account."""
        return (
            self._parser.held() + len(self._driver.out) + sum([slot.size for slot in self._slots])
        )

    def finish(self, taking: bool = True) -> None:
        """To be closed between requests, now or after the last answer.

        `taking`: its commands until then.
        """
        # the client has been let in, and may just be sending
        if not self.finishing and not self._spoke:
            self._awaited = self._connected + FIRST_WITHIN
        self.finishing, self.taking = True, self.taking and taking
        self._driver.wake()

    def overdue(self, now: float) -> CloseReason | None:
        """Why it has to go, if it has.

        Who is slow or says nothing must not keep others from a place.
        """
        if self._driver.out:
            if self._progress[0] != self._driver.written or not self._progress[1]:
                self._progress = self._driver.written, now
            if now - self._progress[1] >= STALL:
                return CloseReason.STALLED
        if self._doomed is not None:
            return None  # each answer that it is owed has a deadline
        if self._begun is not None and now - self._begun >= WHOLE_WITHIN:
            if self.resting():
                return CloseReason.IDLE
            self._malformed("a command that does not come to its end")
            self._driver.wake()
        elif now - self.idle_since >= REST and self.resting():
            return CloseReason.IDLE
        return None

    def has_left(self) -> bool:
        return self._driver.peer_has_closed()

    def turned_away(self) -> None:
        """Whoever asks again at once, however often, takes no more than its share of the processor.

        Refusals and errors count, and what asks for no work.
        """
        self._refill()
        self._allowed -= 1.0

    def _refill(self) -> None:
        now = self._frontend.scheduler.clock()
        filled = self._allowed + TURNED_AWAY * (now - self._allowed_at)
        self._allowed, self._allowed_at = min(TURNED_AWAY_AT_ONCE, filled), now

    def push(self) -> None:
        """Hands over the answers whose turn has come, as far as the ring has room for them."""
        slots, out = self._slots, self._driver.out
        if not slots:
            return
        full = len(slots) >= MOST_PIPELINED
        while slots and slots[0].answer is not None:
            answer = slots[0].answer
            if len(answer) > out.room():
                break
            slots.popleft()
            self._driver.write(answer)
        if not slots:
            self.idle_since = self._frontend.scheduler.clock()
            self._frontend.places.rests(self, self.idle_since)
        if self.finishing or self._doomed is not None or (full and len(slots) < MOST_PIPELINED):
            self._driver.wake()

    def _serve(self) -> CloseReason:
        driver, clock = self._driver, self._frontend.scheduler.clock
        while driver.ending is None and not self._lingers:
            if self._doomed is not None or self.finishing:
                driver.flush()
                if self._doomed is not None and self._settled():
                    return CloseReason.MALFORMED
                if self.finishing and (self.resting() or (not self._takes() and self._settled())):
                    return CloseReason.SHUTDOWN
            until, events = None, READABLE
            if (
                not self._takes()
                or len(self._slots) >= MOST_PIPELINED
                or len(driver.out) > MOST_OUT // 2
            ):
                events = 0
            elif self._allowed < 0.0:
                until, events = self._allowed_at - self._allowed / TURNED_AWAY, 0
            elif self._more:
                until, events = clock(), 0  # the next turn: others come first
            # That the client has gone shows also while nothing is read, or behind what is not read
            # yet.
            bits = driver.wait(until, events | PEER_CLOSED)
            self.push()
            if self._lingers:
                break
            if bits == TIMED_OUT:
                self._refill()
                self._take(b"")
            elif bits != WOKEN and bits & (PEER_CLOSED | SOCKET_ERROR):
                return CloseReason.CLOSED if bits & PEER_CLOSED else CloseReason.RESET
            elif bits != WOKEN and bits & READABLE:
                data = driver.read(min(CHUNK, self._parser.ring.room()))
                if isinstance(data, CloseReason):
                    return data
                if data and self._doomed is None:
                    self._came = self._frontend.scheduler.started_turn
                    self._take(data)
        return driver.ending or CloseReason.SHUTDOWN

    def _takes(self) -> bool:
        """Whether commands are still taken from it."""
        return self._doomed is None and (self.taking or self._is_awaited())

    def _take(self, data: bytes) -> None:
        try:
            if data:
                self._parser.feed(data)
            self._commands()
        except resp.ProtocolError as error:
            self._malformed(str(error))

    def _malformed(self, why: str) -> None:
        """One plain error, behind the answers that are due; nothing more is read."""
        self._frontend.stats.malformed += 1
        self._doomed = self._frontend.scheduler.clock()
        slot = Slot(self)
        self._slots.append(slot)
        slot.rejected(f"protocol error: {why}")

    def _commands(self) -> None:
        for _ in range(BATCH):
            if len(self._slots) >= MOST_PIPELINED or self._allowed < 0.0:
                break
            value = self._parser.next()
            if isinstance(value, resp.NeedMoreData):
                self._more = False
                if self._parser.idle():
                    self._begun = None
                elif self._begun is None:
                    self._begun = self._frontend.scheduler.clock()
                return
            if (
                not isinstance(value, list)
                or not value
                or not all(isinstance(w, bytes) for w in value)
            ):
                raise resp.ProtocolError("a command is an array of strings")
            words: list[bytes] = [w for w in value if isinstance(w, bytes)]
            slot = Slot(self)
            self._slots.append(slot)
            self._frontend.works(self)
            self._begun, self._awaited, self._spoke = None, 0.0, True
            self._command(words, slot)
            if self._bad >= MOST_BAD:
                # Each bad command has had its answer: one more would be taken for the answer to the
                # next.
                self._frontend.stats.malformed += 1
                self._doomed = self._frontend.scheduler.clock()
                return
        self._more = True

    def _ask(self, words: list[bytes], slot: Slot, came: float) -> None:
        frontend = self._frontend
        if self._driver.ending is not None:
            return  # the client has gone while it waited: nobody is owed anything
        try:
            ask = Ask(words, frontend.terms.read(words, frontend.scheduler.clock() - came))
        except BadCommandError as error:
            frontend.stats.bad += 1
            self._bad += 1
            slot.rejected(str(error))
            return
        self._bad = 0
        slot.size = ask.size
        slot.open = frontend.limiter.ask(ask, slot)

    def _command(self, words: list[bytes], slot: Slot) -> None:
        verb, frontend = words[0].upper(), self._frontend
        if verb in (b"Q.ASK", b"Q.DO"):
            came = self._came
            if frontend.is_ready():
                self._ask(words, slot, came)
            else:
                # The list that it was started with may be old: a host that it names may drain by
                # now. Discovery's first answer comes within some milliseconds; until then, or
                # READY_WITHIN, requests wait here.
                frontend.when_ready(lambda: self._ask(words, slot, came))
            return
        self.turned_away()
        if verb == b"PING":
            frontend.when_ready(lambda: slot.settle(b"+PONG\r\n"))
        elif verb in (b"CLIENT", b"SELECT"):
            slot.settle(b"+OK\r\n")
        elif verb == b"INFO":
            slot.settle(resp.encode_bulk_string(frontend.stats.text().encode()))
        else:
            self._bad += 1
            slot.settle(b"-ERR unknown command\r\n")
