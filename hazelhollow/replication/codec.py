"""The replica's datagrams: values to at most 256 bytes of text and back.

Translation only; knows no rule and no socket.

    c1r 9k2/7 4f3k0 8tl2m:7kq:1:5:3.9k2.4.2.1c-1.8aa.4.2.7

Dialect and kind; the sender's incarnation and the message's period; what the kind needs; words.
Periods are told as so many before the message's. A message that any part of is not so is none; so
is one of another dialect.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from hazelhollow.decisions.gossip.codec import base36, number36
from hazelhollow.replication.count_table import BUCKETS, SUM_RANGE, CountRow, CountValue

DIALECT = "c1"
MOST_BYTES = 256
SUMS, ROWS = "s", "r"  # the digests of a book's buckets; counts
# for a catch-up; a piece of it; one that has not caught up itself
ASK, GIVE, NOT_WHOLE = "q", "g", "n"
HEARD = ".h"  # behind a count that the member did not say itself
NOBODY = "-"  # in place of a slice
HANDS = "h"  # hosts put out or back by hand
# numbers that a kind needs
_PARTS = {SUMS: BUCKETS + 2, ROWS: 0, ASK: 3, GIVE: 3, NOT_WHOLE: 1, HANDS: 0}
_MOST = 36**7
_MOST_NAME = 64  # of a host's name


class RecentCount(NamedTuple):
    """A count with what is known of the two periods after `through`, in tenths of a unit."""

    member: int
    incarnation: str
    value: CountValue
    first: int = 0
    second: int = 0


class AccountCopy(NamedTuple):
    """One customer as the giver knows it.

    `spent` of its burst, in tenths, and all that is part of that.
    """

    key: str
    plan: str
    first: int
    spread: int
    spent: int
    recents: tuple[RecentCount, ...]


class Override(NamedTuple):
    """A host put out (`down`) or back. The order of the fields from `order` on is the rule's."""

    host: str
    order: int
    down: int
    at: int  # Unix milliseconds
    member: int


class Message(NamedTuple):
    """`parts`.

    SUMS: one a bucket, that of the hosts put out by hand, and whether it answers another's. ASK:
    the catch-up's number, the first piece wanted, how many. GIVE: that number, the piece's and how
    many there are. NOT_WHOLE: that number.
    """

    kind: str
    incarnation: str
    period: int
    parts: tuple[int, ...] = ()
    rows: tuple[CountRow, ...] = ()
    slices: tuple[AccountCopy | None, ...] = ()  # nothing: the giver has let that customer go
    hands: tuple[Override, ...] = ()


def head(kind: str, incarnation: str, period: int, parts: Sequence[int] = ()) -> str:
    return f"{DIALECT}{kind} {incarnation}/{base36(period)} " + "-".join(
        base36(part) for part in parts
    )


def row_words(rows: Sequence[CountRow], period: int) -> str:
    """Counts of one customer, with the space before them."""
    if not rows:
        return ""
    one = rows[0]
    return f" {one.key}:{one.plan}:{base36(one.first)}:{base36(one.spread)}:" + "-".join(
        f"{base36(r.member)}.{r.incarnation}.{_value(r.value, period)}"
        f"{'' if r.value.sure else HEARD}"
        for r in rows
    )


def slice_word(one: AccountCopy, period: int, room: int) -> str:
    """With as many of its counts, in their order, as fit into so many bytes."""
    text = f" {one.key}:{one.plan}:{base36(one.first)}:{base36(one.spread)}:{base36(one.spent)}:"
    parts = list[str]()
    for r in one.recents:
        part = (
            f"{base36(r.member)}.{r.incarnation}.{_value(r.value, period)}"
            f".{base36(r.first)}.{base36(r.second)}"
        )
        room -= len(part) + 1
        if room < len(text):
            break
        parts.append(part)
    return text + "-".join(parts)


def hand_word(one: Override) -> str:
    return f" {one.host}:{base36(one.order)}:{one.down}:{base36(one.at)}:{base36(one.member)}"


def pack(line: str, words: Sequence[str], most: int) -> tuple[str, int]:
    """The line with as many of the words, in their order.

    As fit into so many bytes, and their number.
    """
    for number, word in enumerate(words):
        if len(line) + len(word) > most:
            return line, number
        line += word
    return line, len(words)


def read(text: str, members: int) -> Message | None:
    """The message.

    Nothing where any part of it cannot be: too long, of another dialect, garbled, out of range.
    """
    try:
        first, own, parts, *rest = text.split(" ")
        incarnation, told = own.split("/")
        kind, period = first[len(DIALECT) :], number36(told, _MOST)
        if len(text) > MOST_BYTES or not first.startswith(DIALECT) or kind not in _PARTS:
            return None
        numbers = tuple(number36(part, _MOST) for part in parts.split("-")) if parts else ()
        if len(numbers) != _PARTS[kind] or (kind == SUMS and any(n >= SUM_RANGE for n in numbers)):
            return None
        message = Message(kind, _name(incarnation), period, numbers)
        if kind == ROWS:
            return message._replace(
                rows=tuple(row for word in rest for row in _rows(word, period, members))
            )
        if kind == GIVE:
            return message._replace(
                slices=tuple(
                    None if word == NOBODY else _slice(word, period, members) for word in rest
                )
            )
        if kind == HANDS:
            return message._replace(hands=tuple(_hand(word, members) for word in rest))
        return message if not rest else None
    except ValueError:
        return None


def _value(value: CountValue, period: int) -> str:
    since, through = max(0, period - value.since), max(0, period - value.through)
    return f"{base36(since)}.{base36(through)}.{base36(value.total)}"


def _name(text: str) -> str:
    if not 0 < len(text) <= 5 or not (text.isascii() and text.isalnum() and text == text.lower()):
        raise ValueError(text)
    return text


def _read_value(since: str, through: str, total: str, period: int) -> CountValue:
    return CountValue(
        period - number36(since, _MOST), period - number36(through, _MOST), number36(total, _MOST)
    )


def _customer(
    key: str, plan: str, first: str, spread: str, members: int
) -> tuple[str, str, int, int]:
    width = number36(spread, members + 1)
    if width == 0:
        raise ValueError(spread)
    return _name(key), _name(plan), number36(first, members), width


def _rows(word: str, period: int, members: int) -> list[CountRow]:
    key, plan, first, spread, counts = word.split(":")
    customer = _customer(key, plan, first, spread, members)
    found = []
    for count in counts.split("-"):
        member, incarnation, *value = count.split(".")
        sure = 0 if value[3:] == [HEARD[1:]] else 1
        since, through, total = value if sure else value[:3]
        told = _read_value(since, through, total, period)._replace(sure=sure)
        found.append(CountRow(*customer, number36(member, members), _name(incarnation), told))
    return found


def _slice(word: str, period: int, members: int) -> AccountCopy:
    key, plan, first, spread, spent, counts = word.split(":")
    found = []
    for count in counts.split("-") if counts else ():
        member, incarnation, since, through, total, one, two = count.split(".")
        value = _read_value(since, through, total, period)
        found.append(
            RecentCount(
                number36(member, members),
                _name(incarnation),
                value,
                number36(one, _MOST),
                number36(two, _MOST),
            )
        )
    return AccountCopy(
        *_customer(key, plan, first, spread, members), number36(spent, _MOST), tuple(found)
    )


def _hand(word: str, members: int) -> Override:
    host, order, down, at, member = word.split(":")
    if not 0 < len(host) <= _MOST_NAME or not host.isascii() or not host.isprintable():
        raise ValueError(host)
    return Override(
        host,
        number36(order, _MOST),
        number36(down, 2),
        number36(at, 36**9),
        number36(member, members),
    )
