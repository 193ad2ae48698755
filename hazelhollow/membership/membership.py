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
from dataclasses import dataclass
from typing import NamedTuple

from hazelhollow.membership import codec
from hazelhollow.membership.allowance import Allowance, Use
from hazelhollow.membership.codec import Message
from hazelhollow.membership.dissemination import DisseminationQueue
from hazelhollow.membership.presence_index import PresenceIndex
from hazelhollow.membership.records import (
    PRESENT_STATES,
    MemberState,
    MemberTable,
    Record,
    unpack_address,
)
from hazelhollow.membership.replay_window import ReplayWindow
from hazelhollow.membership.suspicion import DeathConfirmations, Suspicions
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
INCARNATIONS_PER_S = (
    100 * 1296
)  # by which an incarnation's number grows: hundredths, and a random part
HINT_EVERY = 0.5  # seconds between words to one sender about its own old incarnation


class Datagram(NamedTuple):
    recipient: int
    text: str


class Probe:
    """`asked`.

    Others were, or could not be (`starved`: for want of allowance, so that silence shows nothing).
    """

    __slots__ = ("target", "at", "asked", "direct", "relayed", "starved")

    def __init__(self, target: int, at: float) -> None:
        self.target, self.at = target, at
        self.asked = self.direct = self.relayed = self.starved = False


def new_incarnation(now: float, chance: random.Random) -> int:
    """Hundredths of a second, and a random part that tells two of the same moment apart."""
    return int(now * 100) * (INCARNATIONS_PER_S // 100) + chance.randrange(
        INCARNATIONS_PER_S // 100
    )


@dataclass(frozen=True)
class MembershipSettings:
    """What one member is told of itself and the fleet.

    `member_count`: how many members there may be; their ids are below it. `seed`: of all random
    draws. `max_text_bytes`: that a datagram's text may have. `versions`: of what it acts on, sent
    along with its record. `address`: packed, where the configuration does not list it.
    """

    limiter_id: int
    member_count: int
    seed: int
    max_text_bytes: int = codec.MOST_BYTES
    versions: str = ""
    address: str = ""


class Membership:
    """One member's state.

    `allowance`: what it may send; everything where there is none. `started_at`: the wall clock's
    time from which the incarnation is derived; by default `now`.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        now: float,
        allowance: Allowance | None = None,
        started_at: float | None = None,
    ) -> None:
        me, members = settings.limiter_id, settings.member_count
        self.limiter_id, self.member_count, self.most, self.allowance = (
            me,
            members,
            settings.max_text_bytes,
            allowance,
        )
        self.random = random.Random(settings.seed)
        self.now = self.began = self.last_beat = now
        self.table, self._presence = MemberTable(), PresenceIndex(me)
        self.table.subscribe(self._presence.note)
        incarnation = new_incarnation(now if started_at is None else started_at, self.random)
        self.own = Record(
            me, incarnation, 0, MemberState.JOINING, (), settings.versions, settings.address
        )
        self.table.put(self.own)
        self.since: dict[int, float] = {me: now}  # when each state was first seen here
        # whether it may take; since when it waits for a first answer
        self.may_admit, self.waking = False, now
        self.superseded = False  # another process has its number and began later
        self.changed = True
        # members whose state or incarnation has changed since the driver emptied this
        self.moved = [me]
        self.counts: Counter[str] = Counter()
        # its incarnation, over that of a process that it took for its own earlier one
        self._raised = False
        self._out: list[Datagram] = []
        self._serial = self._beats = self._number = 0
        self._health = 0
        self._round: list[int] = []
        self._absent: list[int] = []
        self._probes: dict[int, Probe] = {}
        self._suspicions = Suspicions()
        self._death_confirmations = DeathConfirmations(self.random)
        self._dissemination = DisseminationQueue(members, allowance is not None)
        self._received: dict[int, ReplayWindow] = {}
        # probes in a row that were answered by others' words alone
        self._silent: Counter[int] = Counter()
        self._unheard: set[int] = set()
        self._exchange = TableExchange(
            me, members, self.table, self.random, allowance is not None, BEAT, self._send_table
        )

    # What the driver calls

    def tick(self, now: float) -> list[Datagram]:
        """To be called every BEAT seconds.

        And before anything else after a time in which the process stood still.
        """
        late, self.now, self.last_beat, self._out = now - self.last_beat - BEAT, now, now, []
        if self.superseded or self.own.state == MemberState.LEFT:
            return []
        self._beats += 1
        if late > STALL:
            self._stood_still()
        elif late > LATE:
            self._worse()
        self._expire()
        if not self.may_admit:
            self._seek()
        self._probe()
        if self._beats % ABSENT_EVERY == 0:
            self._probe_absent()
        self._never_seen()
        self._exchange.tick(self._beats)
        return self._out

    def request_indirect_probes(self, now: float) -> list[Datagram]:
        """Once after each beat, `wait` seconds after it.

        Probes that have had no direct answer are passed to others.
        """
        self.now, self._out = now, []
        if (
            not self.superseded and now - self.last_beat < BEAT + STALL
        ):  # else a beat must come first
            for number, probe in self._probes.items():
                if (
                    not probe.asked
                    and not probe.direct
                    and now - probe.at >= 0.99 * self.indirect_probe_delay()
                ):
                    probe.asked = True
                    if (
                        self._suspicions.record(probe.target) is None
                        and not self._suspicions.many()
                    ):
                        self._ask_others(number, probe)
        return self._out

    def indirect_probe_delay(self) -> float:
        return DIRECT * self._patience()

    def receive(self, source: int, text: str, now: float) -> list[Datagram]:
        """A datagram from the address of member `source`. What cannot be is dropped and counted."""
        self.now, self._out = now, []
        message = codec.read(text, self.member_count)
        if self.superseded or message is None:
            self.counts["garbled"] += 1
            return []
        if message.sender.number != source or source == self.limiter_id:
            self.counts["forged"] += 1
            return []
        if not self._fresh(message):
            return self._out
        self._direct(source)
        self._hear_of_itself(message.sender)
        self._learn(message.sender)
        for record in message.records:
            self._learn(record)
        if not self.superseded:
            self._act(message)
            self._dissemination.compared(self._exchange.compare(message, now))
        return self._out

    def detect_duplicate(self, text: str) -> bool:
        """From this machine.

        Whether it is of a process with this one's number, or of this one itself. The later start
        goes on.
        """
        message = codec.read(text, self.member_count)
        if message is None or message.sender.number != self.limiter_id:
            return False
        if message.sender.incarnation > self.own.incarnation:
            self._yield()
        return True

    def identify_sender(self, text: str, source: tuple[str, int]) -> int | None:
        """The number of a sender that says itself that this is its address."""
        message = codec.read(text, self.member_count)
        if (
            message is None
            or not message.sender.address
            or unpack_address(message.sender.address) != source
        ):
            return None
        return message.sender.number if message.sender.number != self.limiter_id else None

    def own_announcement(self) -> str:
        """What says that this process is there."""
        return codec.write(Message(codec.PIECE, self.own, 0, 0), (), self.most)[0]

    def leave(self, now: float) -> list[Datagram]:
        """It goes for good: said to several at once, since it will not be there to say it again."""
        self.now, self._out = now, []
        if not self.superseded and self.own.state != MemberState.LEFT:
            self._restate(MemberState.LEFT)
            others = [n for n in self.table.present() if n != self.limiter_id]
            for number in self.random.sample(others, min(len(others), 2 * HELPERS)):
                self._send(number, codec.PING, (self._next(),))
        return self._out

    def set_versions(self, versions: str) -> None:
        if versions != self.own.versions:
            self._restate(self.own.state, versions=versions)

    def set_shut_out(self, shut: bool) -> None:
        """Whether it takes nothing new because it is behind."""
        state = MemberState.SHUT_OUT if shut else MemberState.ALIVE
        if self.own.state in (MemberState.ALIVE, MemberState.SHUT_OUT) and self.own.state != state:
            self._restate(state)

    def member_states(self) -> dict[int, tuple[str, int]]:
        """State and incarnation of each, for people and for those who check."""
        return {
            record.number: (record.state.label, record.incarnation) for record in sorted(self.table)
        }

    def started_before(self, seconds: float) -> set[int]:
        """Members whose incarnation began so many seconds or more before this one's."""
        latest = self.own.incarnation - int(seconds * INCARNATIONS_PER_S)
        return {
            record.number
            for record in self.table
            if record.incarnation and record.incarnation <= latest
        }

    def present(self) -> tuple[int, ...]:
        """Members that may answer, this one among them, in order."""
        return self._presence.present()

    def cannot_hear_us(self) -> tuple[int, ...]:
        """Members that say that they cannot hear this one, in order."""
        return self._presence.cannot_hear_us()

    def unreachable(self) -> list[int]:
        """Members that this one cannot hear, though others can."""
        return sorted(self._unheard)

    # Its own record

    def _restate(
        self,
        state: MemberState,
        incarnation: int | None = None,
        record_version: int | None = None,
        versions: str | None = None,
    ) -> None:
        self.own = Record(
            self.limiter_id,
            self.own.incarnation if incarnation is None else incarnation,
            (self.own.record_version + 1) if record_version is None else record_version,
            state,
            tuple(sorted(self._unheard)[: codec.MOST_UNHEARD]),
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
            if self.own.state == MemberState.JOINING and not self._raised:
                self._raised = True
                self._restate(
                    MemberState.JOINING, incarnation=record.incarnation + 1296, record_version=0
                )
                self.counts["life_raised"] += 1
                return
            self._yield()
        elif (
            record.incarnation == self.own.incarnation
            and record > self.own
            and self.own.state != MemberState.LEFT
        ):
            self.counts["refuted"] += 1
            self._restate(self.own.state, record_version=record.record_version + 1)

    def _yield(self) -> None:
        self.superseded, self.may_admit, self.changed = True, False, True

    def _woken(self) -> None:
        """A peer has answered: what it says of this member has been read before."""
        if not self.may_admit:
            self.may_admit, self.changed = True, True
        if self.own.state == MemberState.JOINING:
            self._restate(MemberState.ALIVE)

    def _stood_still(self) -> None:
        """Nothing that was timed before holds.

        And it may be dead to the others, which it must hear before it acts.
        """
        self.counts["stood_still"] += 1
        self._probes.clear()
        self._death_confirmations.clear()
        self._suspicions.restart(self.now, self._suspicion())
        self.may_admit, self.waking, self.changed = False, self.now, True

    def _seek(self) -> None:
        if self.now - self.waking > JOIN_ALONE:
            self._woken()
            return
        others = [n for n in range(self.member_count) if n != self.limiter_id]
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
                self._send(number, codec.PING, (self._next(),), news=False, use=Use.SUSPECT)
        for number in self._death_confirmations.to_ask(DOUBTS_A_BEAT, MOST_ASKED):
            self._ask_about(number)

    def _next_to_probe(self) -> int | None:
        """All that are present in turn, in an order drawn by chance."""
        while self._round and not self._is_present(self._round[-1]):
            self._round.pop()
        if not self._round:
            self._round = [n for n in self.table.present() if n != self.limiter_id]
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
        if not self._absent and self.table.present_count < self.member_count:
            self._absent = [
                n
                for n in range(self.member_count)
                if n != self.limiter_id and not self._is_present(n)
            ]
            self.random.shuffle(self._absent)
        if self._absent:
            number = self._absent.pop()
            record = self.table.get(number)
            if record is None or record.state == MemberState.DEAD:
                self._send(number, codec.PING, (self._next(),), news=False, use=Use.ABSENT)

    def _never_seen(self) -> None:
        if (
            self.may_admit
            and self.now - self.began > NEVER_SEEN
            and len(self.table) < self.member_count
        ):
            for number in range(self.member_count):
                if self.table.get(number) is None:
                    self._put(Record(number, 0, 0, MemberState.DEAD))

    def _is_present(self, number: int) -> bool:
        record = self.table.get(number)
        return record is not None and record.state in PRESENT_STATES

    def _ping(self, number: int) -> None:
        probe = self._next()
        if self._send(number, codec.PING, (probe,), use=Use.PROBE) is not None:
            self._probes[probe] = Probe(number, self.now)

    def _ask_others(self, number: int, probe: Probe) -> None:
        others = [n for n in self.table.present() if n not in (self.limiter_id, probe.target)]
        for helper in self.random.sample(others, min(len(others), HELPERS)):
            if self._send(helper, codec.ASK, (number, probe.target), use=Use.ASK) is None:
                probe.starved = True

    def _expire(self) -> None:
        """Probes that have failed, and suspicions that nobody has refuted."""
        for number, probe in list(self._probes.items()):
            if self.now - probe.at >= ANSWER_BY * self._patience():
                del self._probes[number]
                self._ended(probe)
        for record in self._death_confirmations.ended(self.now, ANSWER_BY * self._patience()):
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
        elif self.may_admit and not probe.starved:
            record = self.table.get(probe.target)
            if (
                record is not None
                and record.state in PRESENT_STATES
                and record.state != MemberState.SUSPECT
            ):
                self.counts["suspected"] += 1
                self._put(record._replace(state=MemberState.SUSPECT))

    # What comes

    def _fresh(self, message: Message) -> bool:
        """Not of an earlier incarnation, and not one that has come before."""
        source, incarnation = message.sender.number, message.sender.incarnation
        known, told = self._received.get(source), self.table.get(source)
        newest = max(known.incarnation if known else 0, told.incarnation if told else 0)
        if incarnation < newest:
            self.counts["earlier_life"] += 1
            if known is None:
                known = self._received[source] = ReplayWindow(newest)
            # it must learn that another has its number
            if told and self.now - known.hinted >= HINT_EVERY:
                known.hinted = self.now
                self._send(source, codec.PIECE, (), [told], rumours=False)
            return False
        if known is None or known.incarnation != incarnation:
            known = self._received[source] = ReplayWindow(incarnation)
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
        if (
            known
            and known.incarnation == sender.incarnation
            and known.state in (MemberState.SUSPECT, MemberState.DEAD)
        ):
            self._suspicions.spoke(sender.number, self.now, self._suspicion())
            self._death_confirmations.spoke()

    def _learn(self, record: Record) -> None:
        if record.number == self.limiter_id:
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
            record.state != MemberState.DEAD
            or known is None
            or known.state not in (MemberState.ALIVE, MemberState.JOINING)
            or record.incarnation != known.incarnation
        ):
            return False
        if record <= known:
            return True  # old word
        if (
            self._death_confirmations.add(record, self.now)
            and len(self._death_confirmations) <= MOST_ASKED
        ):
            self._ask_about(record.number)
        return True

    def _ask_about(self, number: int) -> None:
        """One that others hold for dead: it answers, and refutes that."""
        record = self._death_confirmations.record(number)
        taken = record and self._send(
            number, codec.PING, (self._next(),), [record], news=False, use=Use.DOUBT
        )
        if taken is not None:
            self._death_confirmations.asked(number, self.now + ANSWER_BY * self._patience())

    def _put(self, record: Record) -> None:
        before = self.table.get(record.number)
        if not self.table.put(record):
            return
        after = self.table.get(record.number)
        assert after is not None
        self._dissemination.changed(after)
        if before is None or (before.state, before.incarnation) != (after.state, after.incarnation):
            self.since[record.number] = self.now
            self.moved.append(record.number)
        self.changed = True
        if after.state == MemberState.SUSPECT and record.number != self.limiter_id:
            self._suspicions.add(after, self.now, self._suspicion())
        else:
            self._suspicions.withdraw(record.number, after.state in PRESENT_STATES)
        doubt = self._death_confirmations.record(record.number)
        if doubt is not None and after >= doubt:
            if after.state in PRESENT_STATES:
                self._death_confirmations.refuted(record.number)
            else:
                self._death_confirmations.settled(record.number)
        if after.state not in PRESENT_STATES and record.number in self._unheard:
            self._unheard.discard(record.number)
            self._restate(self.own.state)

    def _act(self, message: Message) -> None:
        source, parts = message.sender.number, message.parts
        if message.kind == codec.PING:
            told = self.table.get(source)
            # it is thought dead, say
            about = [told] if told is not None and told > message.sender else []
            doubt = self._death_confirmations.record(source)
            same = message.digest == self.table.digest()
            self._send(source, codec.ANSWER, parts, [doubt] if doubt else about, news=not same)
            if doubt:
                self._death_confirmations.asked(source, self.now + ANSWER_BY * self._patience())
        elif message.kind == codec.ANSWER:
            probe = self._probes.get(parts[0])
            # else it may be of before this one stood still, or began
            if probe and probe.target == source:
                probe.direct = True
                self._woken()
        elif message.kind == codec.ASK:
            self._send(parts[1], codec.INDIRECT, (parts[0], source))
        elif message.kind == codec.INDIRECT:
            self._send(
                parts[1], codec.ANSWER, (parts[0],)
            )  # the asker may hear this one, though not the other way
            self._send(source, codec.RELAYED, (parts[0], parts[1], self.limiter_id))
        elif message.kind == codec.RELAYED:
            self._relayed(source, parts)
        else:
            self._exchange.receive(message)

    def _relayed(self, source: int, parts: tuple[int, ...]) -> None:
        number, asker, target = parts
        if asker == self.limiter_id:
            probe = self._probes.get(number)
            if probe and probe.target == target:
                probe.relayed = True
        elif source == target:  # passed on once, by the helper, and by nobody else
            self._send(asker, codec.RELAYED, parts)

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
        if kind in (codec.SUMS, codec.BITS):
            own = own._replace(unreachable=(), versions="")  # else they find no room
        message = Message(kind, own, self._serial + 1, self.table.digest(), parts)
        told = first or []
        suspicion = self._suspicions.record(number) if rumours else None
        if suspicion:
            told = [suspicion, *told]
        more = self._dissemination.news(self.table, self.limiter_id) if rumours and news else []
        most = self._most_text(message, told, bool(more))
        text, taken = codec.write(message, [*told, *more], most, self.allowance is not None)
        if self.allowance and not self.allowance.take(len(text), self.now, use.value):
            self.counts["held back"] += 1
            if use is Use.ANSWER:
                self.allowance.drop()
            return None
        self._serial += 1
        self._dissemination.passed(more[: max(0, taken - len(told))])
        if suspicion and taken:
            self._suspicions.asked(number)
        self._out.append(Datagram(number, text))
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
        bare = len(codec.write(message, told, self.most, relative=True)[0])
        left = self.allowance.available_bytes(self.now) - Use.NEWS.value * self.allowance.burst
        return max(bare, min(self.most, int(left)))


def _death_of(record: Record) -> Record:
    """The record of a member that is held for dead, without what matters of one that is there
    alone.
    """
    return record._replace(state=MemberState.DEAD, unreachable=(), versions="")
