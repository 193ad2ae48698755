"""How members bring their copies together.

Digests against what differs, and catch-up for one that has just begun.

Events in, datagrams out; no I/O, no clock. What is new to this member gathers in `rows`, `slices`
and `calls`, which the driver empties. A datagram may be lost, doubled, late or out of order
anywhere: everything that is said may be said again.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence, Set
from typing import NamedTuple, Protocol

from hazelhollow.replication import codec
from hazelhollow.replication.codec import AccountCopy, Message, Override
from hazelhollow.replication.count_table import CountRow, CountTable
from hazelhollow.replication.overrides import OverrideTable

BEAT = 0.25  # seconds
SYNC_EVERY = 2  # beats between digests sent to a member drawn by chance
PIECES = 4  # datagrams of counts for one whose digests differ
PIECES_A_BEAT = 12  # for all of them
# customers asked for at once in a catch-up; gaps asked for at once in the end
WINDOW, ASKS = 40, 16
GIVES_A_S = 2000.0  # datagrams of catch-up that a giver sends a second, to all
GIVES_AT_ONCE = 400.0
QUIET = 0.2  # seconds without a piece after which the first that is missing is asked for again
QUIET_WITHIN = 1.5  # the same, where a budget bounds what the giver sends
# What goes first where a budget bounds it: an operator's call, then what a member that has just
# begun waits for.
RANKS = {
    kind: rank
    for rank, kind in enumerate(
        (
            codec.HANDS,
            codec.ASK,
            codec.NOT_WHOLE,
            codec.GIVE,
            codec.ROWS,
            codec.SUMS,
        )
    )
}
TRIES, TRIES_BEGUN = (
    6,
    24,
)  # that many times, then of another: of one that has given nothing yet, and of one that has
ROUNDS = 5  # times that all are asked before silence counts as knowing nothing
# seconds of incarnation after which one that nobody could tell anything knows as much as anybody
GIVES_AFTER = 4.0
# members that are not whole themselves, after which no more are asked: all began together
MOST_REFUSALS = 16
ALONE = 1.5  # seconds after which one that meets nobody knows all that there is to know
LISTS = 16  # members that a giver serves at once
LIST_FOR = 10.0  # seconds for which it remembers what it was giving one


class Datagram(NamedTuple):
    number: int
    text: str


class Source(Protocol):
    """What is asked of the decision module."""

    def short(self) -> list[str]:
        """Customers whose budget is not full, those with the least left first."""

    def slice(self, key: str) -> AccountCopy | None: ...


class Transfer:
    """A catch-up that is under way.

    Windows of places one after another, then the places that stayed away.
    """

    def __init__(self, giver: int, number: int, now: float) -> None:
        self.giver, self.number = giver, number
        self.total = -1  # not told yet
        self.front = 0  # the first place that has not been asked for
        # places that were asked for and have not come, in their order
        self.lacks: dict[int, None] = {}
        # those of them that were asked for last, and how many those were
        self.waits: set[int] = set()
        self.asked = 0
        self.heard, self.tries = now, 0

    def take(self, first: int, count: int) -> set[int]:
        """Places that are new."""
        new = {place for place in range(first, first + count) if place in self.lacks}
        for place in new:
            del self.lacks[place]
        self.waits -= new
        return new

    def wants(self) -> list[tuple[int, int]]:
        """What is to be asked for now, as first places and how many of each."""
        found = self._ranges()
        self.asked = len(self.waits)
        return found

    def _ranges(self) -> list[tuple[int, int]]:
        if self.total < 0 or self.front < self.total:
            if (
                self.total < 0 or not self.waits or len(self.waits) < WINDOW
            ):  # else not one of them has come: the same again
                self._advance()
            first = min(self.waits)
            return [(first, max(self.waits) + 1 - first)]
        found = list[tuple[int, int]]()
        for place in self.lacks:
            if found and place == sum(found[-1]) and found[-1][1] < WINDOW:
                found[-1] = found[-1][0], found[-1][1] + 1
            elif len(found) == ASKS:
                break
            else:
                found.append((place, 1))
        self.waits = {place for first, count in found for place in range(first, first + count)}
        return found

    def _advance(self) -> None:
        if self.total < 0 and self.front:
            return
        end = self.front + WINDOW if self.total < 0 else min(self.front + WINDOW, self.total)
        self.waits = set(range(self.front, end))
        self.lacks.update(dict.fromkeys(range(self.front, end)))
        self.front = end

    def told(self, total: int) -> None:
        if self.total < 0:
            self.total = total
            for place in [place for place in self.lacks if place >= total]:
                del self.lacks[place]
                self.waits.discard(place)
            self.front = min(self.front, total)

    def whole(self) -> bool:
        return 0 <= self.total <= self.front and not self.lacks

    def due(self) -> bool:
        """Whether half of what was asked for last has come, so that more can be asked for."""
        return 2 * len(self.waits) <= self.asked


class ServedList(NamedTuple):
    number: int
    keys: list[str]
    until: float


class Replica:
    """`me` of `members`, in the incarnation of that name (the gossip's).

    `most`: bytes that a text may have; `quiet`: seconds without a piece after which it is asked for
    again.
    """

    def __init__(
        self,
        me: int,
        members: int,
        incarnation: str,
        seed: int,
        source: Source,
        most: int = codec.MOST_BYTES,
        quiet: float = QUIET,
    ) -> None:
        self._quiet = quiet
        self.me, self.members, self.incarnation, self.most, self.source = (
            me,
            members,
            incarnation,
            most,
            source,
        )
        self.book, self.hands = CountTable(), OverrideTable()
        self.random = random.Random(seed)
        self.whole = False
        self.told_by: int | None = None  # who gave the last piece; nobody, where nobody knew more
        self.restored = False  # it began from a snapshot
        self.rows: list[CountRow] = []
        self.slices: list[tuple[AccountCopy, int]] = []  # with the giver's period
        self.calls: list[Override] = []
        self.counts: Counter[str] = Counter()
        self._out: list[Datagram] = []
        self._now = self._began = 0.0
        self._beats = 0
        self._returned: list[int] = []  # members that were away: they lack most
        self._pieces = PIECES_A_BEAT
        self._fetch: Transfer | None = None
        self._refused: set[int] = set()  # givers that are not whole themselves
        self._silent: set[int] = set()  # and those that did not answer
        self._rounds = 0
        self._giving: dict[int, ServedList] = {}
        self._gives, self._gives_at = GIVES_AT_ONCE, 0.0

    # What the driver calls

    def beat(
        self, now: float, present: Sequence[int], older: Set[int] | None = None
    ) -> list[Datagram]:
        """Every BEAT seconds.

        `present`: numbers of the others that are up; `older`: those of them that began so long
        before this one that they give, if that is known.
        """
        self._turn(now)
        self._beats += 1
        self._pieces = PIECES_A_BEAT
        if not self.whole:
            self._catch_up(present, older)
        for number in self._returned[:PIECES]:
            self._ask_sums(number, 0)
        del self._returned[:PIECES]
        if self._beats % SYNC_EVERY == 0 and present:
            self._ask_sums(self.random.choice(present), 0)
        return self._out

    def returned(self, number: int) -> None:
        """That member can be heard again, or is new."""
        if number != self.me and number not in self._returned:
            self._returned.append(number)

    def charged(self, row: CountRow) -> None:
        """This member's own count of a customer, one period further."""
        self.book.put(row)

    def call(self, host: str, down: bool, now: float) -> list[Datagram]:
        """An operator's call at this member: told to some at once, found by digests by the rest."""
        self._turn(now)
        if self.hands.call(host, down, now, self.me):
            for number in self.random.sample(range(self.members), min(self.members, PIECES + 1)):
                if number != self.me:
                    self._send_hands(number)
        return self._out

    def heard(self, source: int, text: str, now: float) -> list[Datagram]:
        self._turn(now)
        message = codec.read(text, self.members)
        if message is None or source == self.me:
            self.counts["garbled"] += 1
            return self._out
        if message.kind == codec.SUMS:
            self._differ(source, message)
        elif message.kind == codec.ROWS:
            self._take_rows(message)
        elif message.kind == codec.HANDS:
            self._take_hands(message)
        elif message.kind == codec.ASK:
            self._give(source, message)
        elif message.kind == codec.GIVE:
            self._take_piece(source, message)
        elif message.kind == codec.NOT_WHOLE:
            self._not_whole(source, message)
        return self._out

    def _turn(self, now: float) -> None:
        self._now, self._out = now, []
        self._began = self._began or now
        self.book.turn(int(now))

    def _send(
        self, number: int, kind: str, parts: Sequence[int] = (), said: Sequence[str] = ()
    ) -> int:
        """How many of the words it holds."""
        text, taken = codec.pack(
            codec.head(kind, self.incarnation, self.book.period, parts), said, self.most
        )
        self._out.append(Datagram(number, text))
        self.counts["bytes"] += len(text)
        self.counts["sent"] += 1
        return taken

    # Digests

    def _ask_sums(self, number: int, answers: int) -> None:
        self._send(number, codec.SUMS, (*self.book.sums(), self.hands.digest(), answers))

    def _differ(self, source: int, message: Message) -> None:
        *sums, hands, answers = message.parts
        buckets = self.book.differ(sums)
        if hands != self.hands.digest():
            self._send_hands(source)
        elif not buckets:
            return
        if not answers:
            self._ask_sums(source, 1)
        self.random.shuffle(buckets)
        self._send_rows(source, buckets)

    def _send_rows(self, number: int, buckets: list[int]) -> None:
        """What was added to last goes first: it is what decisions go by."""
        line, sent = list[str](), 0
        room = self.most - len(codec.head(codec.ROWS, self.incarnation, self.book.period))
        for key in self.book.newest(buckets):
            for word in self._row_words(key, room):
                if sum([len(one) for one in line]) + len(word) > room:
                    self._send(number, codec.ROWS, (), line)
                    line, sent, self._pieces = [], sent + 1, self._pieces - 1
                if sent >= PIECES or self._pieces <= 0:
                    return
                line.append(word)
        if line:
            self._pieces -= 1
            self._send(number, codec.ROWS, (), line)

    def _row_words(self, key: str, room: int) -> list[str]:
        """The counts of one customer, in as many words as they need."""
        found, some = list[str](), list[CountRow]()
        for row in self.book.rows(key):
            if some and len(codec.row_words([*some, row], self.book.period)) > room:
                found.append(codec.row_words(some, self.book.period))
                some = []
            some.append(row)
        return [*found, codec.row_words(some, self.book.period)]

    def _take_rows(self, message: Message) -> None:
        for row in message.rows:
            if row.member == self.me and row.incarnation == self.incarnation:
                known = {
                    r.incarnation: r.value for r in self.book.rows(row.key) if r.member == self.me
                }
                if row.value.total > known.get(self.incarnation, row.value).total:
                    self.counts["own count told greater"] += 1  # none but this one adds to it
                continue
            if self.book.put(row):
                self.rows.append(row)

    # Hosts put out by hand

    def _send_hands(self, number: int) -> None:
        said = [
            codec.hand_word(one)
            for one in sorted(self.hands.calls.values(), key=lambda one: -one.order)
        ]
        while said and self._pieces > 0:
            self._pieces -= 1
            said = said[max(1, self._send(number, codec.HANDS, (), said)) :]

    def _take_hands(self, message: Message) -> None:
        for one in message.hands:
            if self.hands.put(one):
                self.calls.append(one)

    # Catch-up: of the one that lacks

    def _catch_up(self, present: Sequence[int], older: Set[int] | None) -> None:
        fetch = self._fetch
        if fetch is None:
            self._begin_fetch(present, older)
        elif fetch.giver not in present:
            self._another()
        elif self._now - fetch.heard > self._quiet:
            if fetch.tries >= (TRIES if fetch.total < 0 else TRIES_BEGUN):
                self._silent.add(fetch.giver)
                self._another()
            else:
                fetch.tries, fetch.heard = fetch.tries + 1, self._now
                self._ask()

    def _begin_fetch(self, present: Sequence[int], older: Set[int] | None) -> None:
        """Of a member that is older, if there is one: it knows more."""
        left = [n for n in present if n not in self._refused and n not in self._silent]
        givers = [n for n in left if n in older] if older else []
        if older is not None and self._knows_as_much(older):
            self.whole = True
        elif left:
            self._fetch = Transfer(
                self.random.choice(givers or left), self.random.randrange(36**4), self._now
            )
            self._ask()
        elif self._silent and self._rounds < ROUNDS:
            self._silent, self._rounds = set(), self._rounds + 1
        elif present or self._now - self._began > ALONE:
            self.whole = True  # nobody knows more

    def _knows_as_much(self, older: Set[int]) -> bool:
        """As any other: all that are known began with it.

        In a large fleet that began together, asking each would take long.
        """
        if self._now - self._began < GIVES_AFTER:
            return False
        return older <= self._refused or len(self._refused) >= MOST_REFUSALS

    def _another(self) -> None:
        self.counts["givers lost"] += 1
        self._fetch = None

    def _ask(self) -> None:
        fetch = self._fetch
        assert fetch is not None
        for first, count in fetch.wants():
            self._send(fetch.giver, codec.ASK, (fetch.number, first, count))

    def _take_piece(self, source: int, message: Message) -> None:
        fetch = self._fetch
        number, first, total = message.parts
        if fetch is None or self.whole or source != fetch.giver or number != fetch.number:
            return  # of a catch-up that was given up, or late
        fetch.told(total)
        fetch.heard, fetch.tries = self._now, 0
        new = fetch.take(first, len(message.slices))
        told = [
            one
            for place, one in enumerate(message.slices, first)
            if one is not None and place in new
        ]
        self.slices += [(one, message.period) for one in told]
        if fetch.whole():
            self.whole, self.told_by, self._fetch = True, source, None
        elif new and fetch.due():
            self._ask()

    def _not_whole(self, source: int, message: Message) -> None:
        fetch = self._fetch
        if fetch is not None and source == fetch.giver and message.parts[0] == fetch.number:
            self._refused.add(source)
            self._another()

    # Catch-up: of the one that gives

    def _give(self, source: int, message: Message) -> None:
        number, first, count = message.parts
        if not self.gives():
            self._send(source, codec.NOT_WHOLE, (number,))
            return
        keys = self._list_for(source, number)
        first, end = min(first, len(keys)), min(first + count, len(keys), first + WINDOW)
        room = self.most - len(
            codec.head(codec.GIVE, self.incarnation, self.book.period, (36**4, 36**5, 36**5))
        )
        while self._may_give():
            said, taken, size = list[str](), 0, 0
            for key in keys[first:end]:
                one = self.source.slice(key)
                word = codec.slice_word(one, self.book.period, room) if one else f" {codec.NOBODY}"
                if size + len(word) > room:
                    break
                said.append(word)
                size, taken = size + len(word), taken + 1
            self._send(source, codec.GIVE, (number, first, len(keys)), said)
            first += taken
            if first >= end or not taken:
                return

    def gives(self) -> bool:
        """Whether what it knows is worth taking over.

        One that has just begun where nobody was knows its cautious share.
        """
        return self.whole and (
            self.told_by is not None or self.restored or self._now - self._began >= GIVES_AFTER
        )

    def _list_for(self, source: int, number: int) -> list[str]:
        """Stays the same while one catch-up lasts, so that places mean the same."""
        self._giving = {n: g for n, g in self._giving.items() if self._now < g.until}
        known = self._giving.get(source)
        if known is None or known.number != number:
            if len(self._giving) >= LISTS:
                self._giving.pop(min(self._giving, key=lambda n: self._giving[n].until))
            known = ServedList(number, self.source.short(), 0.0)
        self._giving[source] = known._replace(until=self._now + LIST_FOR)
        return known.keys

    def _may_give(self) -> bool:
        self._gives = min(GIVES_AT_ONCE, self._gives + GIVES_A_S * (self._now - self._gives_at))
        self._gives_at = self._now
        if self._gives < 1.0:
            return False
        self._gives -= 1.0
        return True
