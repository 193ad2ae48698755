"""One member's view of the fleet: probes, suspicions, rumours.

Events in, datagrams out; no I/O, no clock.

SWIM's probes and rumours, with Lifeguard's care for a member that is itself slow, and digests for
what rumours miss. Where it is given an allowance it stays within it, the most useful first
(`allowance.py`). `docs/design/fleet-view.md` and `docs/design/control-budget.md` say why,
`docs/operators/fleet-view.md` what each state means.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import NamedTuple

from hazelhollow.membership import messages
from hazelhollow.membership.allowance import Allowance, Use
from hazelhollow.membership.messages import Message
from hazelhollow.membership.received import Received
from hazelhollow.membership.records import (
    ALIVE,
    DEAD,
    JOINING,
    LEFT,
    NAMES,
    PRESENT,
    SHUT_OUT,
    SUSPECT,
    Record,
    Table,
    unpack_address,
)
from hazelhollow.membership.rumours import Rumours
from hazelhollow.membership.standing import Standing
from hazelhollow.membership.suspicions import Doubts, Suspicions
from hazelhollow.membership.table_exchange import TableExchange

BEAT = 0.25  # seconds between probes
DIRECT = 0.15  # seconds until others are asked to probe too
ANSWER_BY = 0.45  # seconds until a probe has failed
HELPERS = 3
SUSPICION = 1.6  # seconds from suspicion to death, of a member that is itself well
JOIN_FAN = 3  # members that one that joins, or wakes, asks at once
JOIN_ALONE = 1.5  # seconds without an answer after which it goes on alone
NEVER_SEEN = 3.0  # seconds after which a peer that nobody has heard of counts as dead
STALL = 1.0  # seconds by which a beat must be late for the process to have stood still
LATE = 0.1  # seconds by which a late beat shows a slow machine
WORST_HEALTH = 4  # a member that is itself slow waits up to this many times longer
UNHEARD_AFTER = 2  # probes in a row that only others' words answered
SUSPECTS_A_BEAT = 4  # of them that one member pings at most
PINGS_OF_SUSPECT = 8  # a beat, by all members together
DOUBTS_A_BEAT = (
    2  # members that are asked about a death that others told, beside those asked when it was told
)
MOST_ASKED = 8  # of those at once
ABSENT_EVERY = 2  # beats between probes of members that are not there
LIVES_A_S = 100 * 1296  # by which an incarnation's number grows: hundredths, and a random part
HINT_EVERY = 0.5  # seconds between words to one sender about its own old incarnation


class Send(NamedTuple):
    number: int
    text: str


class Probe:
    """`asked`.

    Others were, or could not be (`starved`: for want of allowance, so that silence shows nothing).
    """

    __slots__ = ("target", "at", "asked", "direct", "relayed", "starved")

    def __init__(self, target: int, at: float) -> None:
        self.target, self.at = target, at
        self.asked = self.direct = self.relayed = self.starved = False


def new_life(now: float, chance: random.Random) -> int:
    """Hundredths of a second, and a random part that tells two of the same moment apart."""
    return int(now * 100) * (LIVES_A_S // 100) + chance.randrange(LIVES_A_S // 100)


class View:
    """`members`: how many there may be; this one is number `me`.

    `most`: bytes that a text may have. `allowance`: what it may send; nothing: all.
    """

    def __init__(
        self,
        me: int,
        members: int,
        now: float,
        seed: int,
        most: int = messages.MOST_BYTES,
        versions: str = "",
        address: str = "",
        allowance: Allowance | None = None,
    ) -> None:
        self.me, self.members, self.most, self.allowance = me, members, most, allowance
        self.random = random.Random(seed)
        self.now = self.began = self.last_beat = now
        self.table, self._standing = Table(), Standing(me)
        self.table.watch(self._standing.note)
        self.own = Record(me, new_life(now, self.random), 0, JOINING, (), versions, address)
        self.table.put(self.own)
        self.since: dict[int, float] = {me: now}  # when each state was first seen here
        # whether it may take; since when it waits for a first answer
        self.acting, self.waking = False, now
        self.yielded = False  # another process has its number and began later
        self.changed = True
        # members whose state or incarnation has changed since the driver emptied this
        self.moved = [me]
        self.counts: Counter[str] = Counter()
        # its incarnation, over that of a process that it took for its own earlier one
        self._raised = False
        self._out: list[Send] = []
        self._serial = self._beats = self._number = 0
        self._health = 0
        self._round: list[int] = []
        self._absent: list[int] = []
        self._probes: dict[int, Probe] = {}
        self._suspicions = Suspicions()
        self._doubts = Doubts(self.random)
        self._rumours = Rumours(members, allowance is not None)
        self._received: dict[int, Received] = {}
        # probes in a row that were answered by others' words alone
        self._silent: Counter[int] = Counter()
        self._unheard: set[int] = set()
        self._exchange = TableExchange(
            me, members, self.table, self.random, allowance is not None, BEAT, self._send_table
        )

    # What the driver calls

    def beat(self, now: float) -> list[Send]:
        """To be called every BEAT seconds.

        And before anything else after a time in which the process stood still.
        """
        late, self.now, self.last_beat, self._out = now - self.last_beat - BEAT, now, now, []
        if self.yielded or self.own.state == LEFT:
            return []
        self._beats += 1
        if late > STALL:
            self._stood_still()
        elif late > LATE:
            self._worse()
        self._expire()
        if not self.acting:
            self._seek()
        self._probe()
        if self._beats % ABSENT_EVERY == 0:
            self._probe_absent()
        self._never_seen()
        self._exchange.beat(self._beats)
        return self._out

    def due(self, now: float) -> list[Send]:
        """Once after each beat, `wait` seconds after it.

        Probes that have had no direct answer are passed to others.
        """
        self.now, self._out = now, []
        if not self.yielded and now - self.last_beat < BEAT + STALL:  # else a beat must come first
            for number, probe in self._probes.items():
                if not probe.asked and not probe.direct and now - probe.at >= 0.99 * self.wait():
                    probe.asked = True
                    if (
                        self._suspicions.record(probe.target) is None
                        and not self._suspicions.many()
                    ):
                        self._ask_others(number, probe)
        return self._out

    def wait(self) -> float:
        return DIRECT * self._patience()

    def heard(self, source: int, text: str, now: float) -> list[Send]:
        """A datagram from the address of member `source`. What cannot be is dropped and counted."""
        self.now, self._out = now, []
        message = messages.read(text, self.members)
        if self.yielded or message is None:
            self.counts["garbled"] += 1
            return []
        if message.sender.number != source or source == self.me:
            self.counts["forged"] += 1
            return []
        if not self._fresh(message):
            return self._out
        self._direct(source)
        self._hear_of_itself(message.sender)
        self._learn(message.sender)
        for record in message.records:
            self._learn(record)
        if not self.yielded:
            self._act(message)
            self._rumours.compared(self._exchange.compare(message, now))
        return self._out

    def heard_twin(self, text: str) -> bool:
        """From this machine.

        Whether it is of a process with this one's number, or of this one itself. The later start
        goes on.
        """
        message = messages.read(text, self.members)
        if message is None or message.sender.number != self.me:
            return False
        if message.sender.incarnation > self.own.incarnation:
            self._yield()
        return True

    def introduced(self, text: str, source: tuple[str, int]) -> int | None:
        """The number of a sender that says itself that this is its address."""
        message = messages.read(text, self.members)
        if (
            message is None
            or not message.sender.address
            or unpack_address(message.sender.address) != source
        ):
            return None
        return message.sender.number if message.sender.number != self.me else None

    def own_word(self) -> str:
        """What says that this process is there."""
        return messages.write(Message(messages.PIECE, self.own, 0, 0), (), self.most)[0]

    def leave(self, now: float) -> list[Send]:
        """It goes for good: said to several at once, since it will not be there to say it again."""
        self.now, self._out = now, []
        if not self.yielded and self.own.state != LEFT:
            self._restate(LEFT)
            others = [n for n in self.table.present() if n != self.me]
            for number in self.random.sample(others, min(len(others), 2 * HELPERS)):
                self._send(number, messages.PING, (self._next(),))
        return self._out

    def set_versions(self, versions: str) -> None:
        if versions != self.own.versions:
            self._restate(self.own.state, versions=versions)

    def set_shut(self, shut: bool) -> None:
        """Whether it takes nothing new because it is behind."""
        state = SHUT_OUT if shut else ALIVE
        if self.own.state in (ALIVE, SHUT_OUT) and self.own.state != state:
            self._restate(state)

    def shown(self) -> dict[int, tuple[str, int]]:
        """State and incarnation of each, for people and for those who check."""
        return {
            record.number: (NAMES[record.state], record.incarnation)
            for record in sorted(self.table)
        }

    def older(self, seconds: float) -> set[int]:
        """Members whose incarnation began so many seconds or more before this one's."""
        latest = self.own.incarnation - int(seconds * LIVES_A_S)
        return {
            record.number
            for record in self.table
            if record.incarnation and record.incarnation <= latest
        }

    def present(self) -> tuple[int, ...]:
        """Members that may answer, this one among them, in order."""
        return self._standing.present()

    def deaf(self) -> tuple[int, ...]:
        """Members that say that they cannot hear this one, in order."""
        return self._standing.deaf()

    def unheard(self) -> list[int]:
        """Members that this one cannot hear, though others can."""
        return sorted(self._unheard)

    # Its own record

    def _restate(
        self,
        state: int,
        incarnation: int | None = None,
        turn: int | None = None,
        versions: str | None = None,
    ) -> None:
        self.own = Record(
            self.me,
            self.own.incarnation if incarnation is None else incarnation,
            (self.own.turn + 1) if turn is None else turn,
            state,
            tuple(sorted(self._unheard)[: messages.MOST_UNHEARD]),
            self.own.versions if versions is None else versions,
            self.own.address,
        )
        self._put(self.own)

    def _own_heard(self, record: Record) -> None:
        """Others' word of this member.

        A later incarnation of its number goes on; this one yields, unless it has only just begun
        and takes that for its own earlier incarnation, whose clock ran ahead: then it goes past it,
        once.
        """
        if record.incarnation > self.own.incarnation:
            if self.own.state == JOINING and not self._raised:
                self._raised = True
                self._restate(JOINING, incarnation=record.incarnation + 1296, turn=0)
                self.counts["life_raised"] += 1
                return
            self._yield()
        elif (
            record.incarnation == self.own.incarnation
            and record > self.own
            and self.own.state != LEFT
        ):
            self.counts["refuted"] += 1
            self._restate(self.own.state, turn=record.turn + 1)

    def _yield(self) -> None:
        self.yielded, self.acting, self.changed = True, False, True

    def _woken(self) -> None:
        """A peer has answered: what it says of this member has been read before."""
        if not self.acting:
            self.acting, self.changed = True, True
        if self.own.state == JOINING:
            self._restate(ALIVE)

    def _stood_still(self) -> None:
        """Nothing that was timed before holds.

        And it may be dead to the others, which it must hear before it acts.
        """
        self.counts["stood_still"] += 1
        self._probes.clear()
        self._doubts.clear()
        self._suspicions.restart(self.now, self._suspicion())
        self.acting, self.waking, self.changed = False, self.now, True

    def _seek(self) -> None:
        if self.now - self.waking > JOIN_ALONE:
            self._woken()
            return
        others = [n for n in range(self.members) if n != self.me]
        for number in self.random.sample(others, min(len(others), JOIN_FAN)):
            self._ping(number)

    # Probes

    def _patience(self) -> float:
        return 1.0 + self._health / 2

    def _suspicion(self) -> float:
        return SUSPICION * self._patience()

    def _worse(self) -> None:
        self._health = min(WORST_HEALTH, self._health + 1)

    def _next(self) -> int:
        self._number = (self._number + 1) % 36**4
        return self._number

    def _probe(self) -> None:
        number = self._next_to_probe()
        if number is not None:
            self._ping(number)
        for number in self._suspicions.to_ask(self._suspects_to_ping()):  # so that it can refute
            if not any(p.target == number and p.at == self.now for p in self._probes.values()):
                self._send(number, messages.PING, (self._next(),), news=False, use=Use.SUSPECT)
        for number in self._doubts.to_ask(DOUBTS_A_BEAT, MOST_ASKED):
            self._ask_about(number)

    def _next_to_probe(self) -> int | None:
        """All that are present in turn, in an order drawn by chance."""
        while self._round and not self._is_present(self._round[-1]):
            self._round.pop()
        if not self._round:
            self._round = [n for n in self.table.present() if n != self.me]
            self.random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _suspects_to_ping(self) -> int:
        """This member's part of what all together need to ping."""
        if not self._suspicions:
            return 0
        if self._suspicions.many():
            return 1
        part = PINGS_OF_SUSPECT * len(self._suspicions) / self.table.present_count
        return max(1, min(SUSPECTS_A_BEAT, math.ceil(part)))

    def _probe_absent(self) -> None:
        """Nobody else would find out that a cut has healed."""
        if not self._absent and self.table.present_count < self.members:
            self._absent = [
                n for n in range(self.members) if n != self.me and not self._is_present(n)
            ]
            self.random.shuffle(self._absent)
        if self._absent:
            number = self._absent.pop()
            record = self.table.get(number)
            if record is None or record.state == DEAD:
                self._send(number, messages.PING, (self._next(),), news=False, use=Use.ABSENT)

    def _never_seen(self) -> None:
        if self.acting and self.now - self.began > NEVER_SEEN and len(self.table) < self.members:
            for number in range(self.members):
                if self.table.get(number) is None:
                    self._put(Record(number, 0, 0, DEAD))

    def _is_present(self, number: int) -> bool:
        record = self.table.get(number)
        return record is not None and record.state in PRESENT

    def _ping(self, number: int) -> None:
        probe = self._next()
        if self._send(number, messages.PING, (probe,), use=Use.PROBE) is not None:
            self._probes[probe] = Probe(number, self.now)

    def _ask_others(self, number: int, probe: Probe) -> None:
        others = [n for n in self.table.present() if n not in (self.me, probe.target)]
        for helper in self.random.sample(others, min(len(others), HELPERS)):
            if self._send(helper, messages.ASK, (number, probe.target), use=Use.ASK) is None:
                probe.starved = True

    def _expire(self) -> None:
        """Probes that have failed, and suspicions that nobody has refuted."""
        for number, probe in list(self._probes.items()):
            if self.now - probe.at >= ANSWER_BY * self._patience():
                del self._probes[number]
                self._ended(probe)
        for record in self._doubts.ended(self.now, ANSWER_BY * self._patience()):
            self._put(_death_of(record))  # which changes nothing if it has refuted that
        for record in self._suspicions.ended(self.now):
            self._put(_death_of(record))

    def _ended(self, probe: Probe) -> None:
        if probe.direct:
            self._health = max(0, self._health - 1)
        elif probe.relayed:
            self._silent[probe.target] += 1
            if self._silent[probe.target] >= UNHEARD_AFTER and probe.target not in self._unheard:
                self._unheard.add(probe.target)
                self._restate(self.own.state)
        elif self.acting and not probe.starved:
            record = self.table.get(probe.target)
            if record is not None and record.state in PRESENT and record.state != SUSPECT:
                self.counts["suspected"] += 1
                self._put(record._replace(state=SUSPECT))

    # What comes

    def _fresh(self, message: Message) -> bool:
        """Not of an earlier incarnation, and not one that has come before."""
        source, incarnation = message.sender.number, message.sender.incarnation
        known, told = self._received.get(source), self.table.get(source)
        newest = max(known.incarnation if known else 0, told.incarnation if told else 0)
        if incarnation < newest:
            self.counts["earlier_life"] += 1
            if known is None:
                known = self._received[source] = Received(newest)
            # it must learn that another has its number
            if told and self.now - known.hinted >= HINT_EVERY:
                known.hinted = self.now
                self._send(source, messages.PIECE, (), [told], rumours=False)
            return False
        if known is None or known.incarnation != incarnation:
            known = self._received[source] = Received(incarnation)
        if not known.fresh(message.serial):
            self.counts["replayed"] += 1
            return False
        return True

    def _direct(self, source: int) -> None:
        """It can be heard."""
        self._silent.pop(source, None)
        if source in self._unheard:
            self._unheard.discard(source)
            self._restate(self.own.state)

    def _hear_of_itself(self, sender: Record) -> None:
        """One that is held suspect or dead in that incarnation is there."""
        known = self.table.get(sender.number)
        if known and known.incarnation == sender.incarnation and known.state in (SUSPECT, DEAD):
            self._suspicions.spoke(sender.number, self.now, self._suspicion())
            self._doubts.spoke()

    def _learn(self, record: Record) -> None:
        if record.number == self.me:
            self._own_heard(record)
        elif not self._doubted(record):
            self._put(record)

    def _doubted(self, record: Record) -> bool:
        """A death that others tell of one that is well here is first asked about.

        After a cut each side holds the other's members dead, and tells so to those who have heard
        them all the time.
        """
        known = self.table.get(record.number)
        if (
            record.state != DEAD
            or known is None
            or known.state not in (ALIVE, JOINING)
            or record.incarnation != known.incarnation
        ):
            return False
        if record <= known:
            return True  # old word
        if self._doubts.add(record, self.now) and len(self._doubts) <= MOST_ASKED:
            self._ask_about(record.number)
        return True

    def _ask_about(self, number: int) -> None:
        """One that others hold for dead: it answers, and refutes that."""
        record = self._doubts.record(number)
        taken = record and self._send(
            number, messages.PING, (self._next(),), [record], news=False, use=Use.DOUBT
        )
        if taken is not None:
            self._doubts.asked(number, self.now + ANSWER_BY * self._patience())

    def _put(self, record: Record) -> None:
        before = self.table.get(record.number)
        if not self.table.put(record):
            return
        after = self.table.get(record.number)
        assert after is not None
        self._rumours.changed(after)
        if before is None or (before.state, before.incarnation) != (after.state, after.incarnation):
            self.since[record.number] = self.now
            self.moved.append(record.number)
        self.changed = True
        if after.state == SUSPECT and record.number != self.me:
            self._suspicions.add(after, self.now, self._suspicion())
        else:
            self._suspicions.withdraw(record.number, after.state in PRESENT)
        doubt = self._doubts.record(record.number)
        if doubt is not None and after >= doubt:
            if after.state in PRESENT:
                self._doubts.refuted(record.number)
            else:
                self._doubts.settled(record.number)
        if after.state not in PRESENT and record.number in self._unheard:
            self._unheard.discard(record.number)
            self._restate(self.own.state)

    def _act(self, message: Message) -> None:
        source, parts = message.sender.number, message.parts
        if message.kind == messages.PING:
            told = self.table.get(source)
            # it is thought dead, say
            about = [told] if told is not None and told > message.sender else []
            doubt = self._doubts.record(source)
            same = message.digest == self.table.digest()
            self._send(source, messages.ANSWER, parts, [doubt] if doubt else about, news=not same)
            if doubt:
                self._doubts.asked(source, self.now + ANSWER_BY * self._patience())
        elif message.kind == messages.ANSWER:
            probe = self._probes.get(parts[0])
            # else it may be of before this one stood still, or began
            if probe and probe.target == source:
                probe.direct = True
                self._woken()
        elif message.kind == messages.ASK:
            self._send(parts[1], messages.INDIRECT, (parts[0], source))
        elif message.kind == messages.INDIRECT:
            self._send(
                parts[1], messages.ANSWER, (parts[0],)
            )  # the asker may hear this one, though not the other way
            self._send(source, messages.RELAYED, (parts[0], parts[1], self.me))
        elif message.kind == messages.RELAYED:
            self._relayed(source, parts)
        else:
            self._exchange.heard(message)

    def _relayed(self, source: int, parts: tuple[int, ...]) -> None:
        number, asker, target = parts
        if asker == self.me:
            probe = self._probes.get(number)
            if probe and probe.target == target:
                probe.relayed = True
        elif source == target:  # passed on once, by the helper, and by nobody else
            self._send(asker, messages.RELAYED, parts)

    # What goes out

    def _send(
        self,
        number: int,
        kind: str,
        parts: tuple[int, ...],
        first: list[Record] | None = None,
        rumours: bool = True,
        news: bool = True,
        use: Use = Use.ANSWER,
    ) -> int | None:
        """One datagram.

        How many of the records in `first` it holds, or nothing if the allowance has no room for it.
        `rumours`: whether others ride along, unless there is no `news` for that member.
        """
        own = self.own
        if kind in (messages.SUMS, messages.BITS):
            own = own._replace(unheard=(), versions="")  # else they find no room
        message = Message(kind, own, self._serial + 1, self.table.digest(), parts)
        told = first or []
        suspicion = self._suspicions.record(number) if rumours else None
        if suspicion:
            told = [suspicion, *told]
        more = self._rumours.news(self.table, self.me) if rumours and news else []
        most = self._most_text(message, told, bool(more))
        text, taken = messages.write(message, [*told, *more], most, self.allowance is not None)
        if self.allowance and not self.allowance.take(len(text), self.now, use.value):
            self.counts["held back"] += 1
            if use is Use.ANSWER:
                self.allowance.drop()
            return None
        self._serial += 1
        self._rumours.passed(more[: max(0, taken - len(told))])
        if suspicion and taken:
            self._suspicions.asked(number)
        self._out.append(Send(number, text))
        return min(taken, len(told))

    def _send_table(
        self, number: int, kind: str, parts: tuple[int, ...], first: list[Record], use: Use
    ) -> int | None:
        """For the exchange of tables: no rumour rides along."""
        return self._send(number, kind, parts, first, rumours=False, use=use)

    def _most_text(self, message: Message, told: list[Record], more: bool) -> int:
        """Bytes that a text may have, with what the allowance leaves for news."""
        if self.allowance is None or not more:
            return self.most
        bare = len(messages.write(message, told, self.most, relative=True)[0])
        left = self.allowance.room(self.now) - Use.NEWS.value * self.allowance.burst
        return max(bare, min(self.most, int(left)))


def _death_of(record: Record) -> Record:
    """The record of a member that is held for dead, without what matters of one that is there
    alone.
    """
    return record._replace(state=DEAD, unheard=(), versions="")
