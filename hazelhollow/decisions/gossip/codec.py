"""Messages between gateways: values to few bytes of text and back. Translation only.

Plans and classes go by tags of their names, so that a message means the same under settings that
list others beside them. The dialect is the first letter; the one before this one told places in the
sender's settings, and is still read.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple, Union
from zlib import crc32

MOST_BYTES = 256
DIALECT, BEFORE = "i", "h"
EVERY = "0"  # in place of a class's tag: all of them
_TAGS = 36**3
_LIVES = 36**3  # tenths of a second after which the names of incarnations come again
_TENTHS = 10
_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


class Charge(NamedTuple):
    """What the sender charged a customer, in all, in the period that lies `age` before the
    message's; and the requests it has open for it, where the plan limits them.
    """

    customer: str
    plan: str
    first: int
    spread: int
    age: int
    total: float
    open: int = 0


class Spent(NamedTuple):
    """How much of a customer's burst is spent, by all gateways."""

    customer: str
    plan: str
    units: float


class Load(NamedTuple):
    """Seconds of work that the sender has out at a server."""

    server: str
    work: float


class Failed(NamedTuple):
    """A server failed the sender lately, for one class or for all (EVERY)."""

    server: str
    kind: str


Word = Union[Charge, Spent, Load, Failed]


class Message(NamedTuple):
    period: int  # of the sender, modulo 36
    wait: float  # that the sender's answers have shown lately
    incarnation: str
    words: tuple[Word, ...]
    unknown: int = 0  # words about plans and classes that these settings do not have


class UnknownTag(Exception):
    """A word is sound, and of no use here."""


def base36(number: int) -> str:
    if number < 36:
        return _DIGITS[number]
    text = ""
    while number:
        number, digit = divmod(number, 36)
        text = _DIGITS[digit] + text
    return text


def number36(text: str, most: int) -> int:
    """A number below `most`.

    Raises ValueError for anything else: int() would read signs, spaces and underscores too.
    """
    if not (text.isascii() and text.isalnum() and text == text.lower()):
        raise ValueError(text)
    number = int(text, 36)
    if number >= most:
        raise ValueError(text)
    return number


def _tenths(value: float) -> str:
    return base36(round(_TENTHS * value))


def tag(name: str) -> str:
    """Of a plan or a class."""
    return base36(crc32(name.encode()) % (_TAGS - 1) + 1)


def incarnation(start: float) -> str:
    """The name of an incarnation that began then."""
    return base36(int(start * _TENTHS) % _LIVES)


def apart(incarnation: str, other: str) -> float:
    """Seconds between the starts of two."""
    behind = (int(incarnation, 36) - int(other, 36)) % _LIVES
    return min(behind, _LIVES - behind) / _TENTHS


def head(period: int, wait: float, incarnation: str) -> str:
    return f"{DIALECT}{base36(period % 36)}{base36(min(35, round(_TENTHS * wait)))}{incarnation}"


def write(word: Word) -> str:
    """One word of a message, with the space before it."""
    if isinstance(word, Charge):
        numbers = [base36(n) for n in (word.first, word.spread, word.age)]
        open_now = f":{base36(word.open)}" if word.open else ""
        return f" {word.customer}:{word.plan}:{':'.join(numbers)}:{_tenths(word.total)}{open_now}"
    if isinstance(word, Spent):
        return f" {word.customer}/{word.plan}/{_tenths(word.units)}"
    if isinstance(word, Load):
        return f" {word.server}={_tenths(_TENTHS * word.work)}"
    return f" {word.server}!{word.kind}"


def read(
    text: str, plans: Collection[str], gateways: int, kinds: Collection[str]
) -> Message | None:
    """The message, or nothing where any part of it cannot be.

    Too long, foreign, garbled, out of range. `plans`, `kinds`: the reader's own tags, in the order
    of its settings.
    """
    try:
        first, *words = text.split(" ")
        if len(text) > MOST_BYTES or first[0] not in (DIALECT, BEFORE) or not first.isalnum():
            return None
        numbers, found, unknown = (
            [int(part, 36) for part in (first[1], first[2], first[3:] or "0")],
            list[Word](),
            0,
        )
        for word in words:
            try:
                found.append(_word(word, plans, gateways, kinds, first[0] == BEFORE))
            except UnknownTag:
                unknown += 1
        return Message(numbers[0], numbers[1] / _TENTHS, first[3:], tuple(found), unknown)
    except (ValueError, IndexError):
        return None


def _known(part: str, tags: Collection[str], places: bool) -> str:
    """A tag that these settings have."""
    if places:
        return list(tags)[int(part, 36)]
    if part not in tags:
        raise UnknownTag(part)
    return part


def _word(
    text: str, plans: Collection[str], gateways: int, kinds: Collection[str], places: bool
) -> Word:
    mark = ":" if ":" in text else "/" if "/" in text else "!" if "!" in text else "="
    name, *rest = text.split(mark)
    if not text.replace(mark, "").isalnum():  # int() would read signs and spaces too
        raise ValueError(text)
    int(name, 36)
    numbers = [int(part, 36) for part in rest]
    if mark == ":" and len(numbers) in (5, 6):
        _, first, spread, age, total, *open_now = numbers
        if first < gateways and 0 < spread <= gateways:
            return Charge(
                name,
                _known(rest[0], plans, places),
                first,
                spread,
                age,
                total / _TENTHS,
                sum(open_now),
            )
    elif mark == "/" and len(numbers) == 2:
        return Spent(name, _known(rest[0], plans, places), numbers[1] / _TENTHS)
    elif mark == "=" and len(numbers) == 1:
        return Load(name, numbers[0] / _TENTHS**2)
    elif mark == "!" and len(numbers) == 1:
        if places:
            return Failed(name, _known(rest[0], [*kinds, EVERY], places))
        return Failed(name, EVERY if rest[0] == EVERY else _known(rest[0], kinds, places))
    raise ValueError(text)


def pack(line: str, words: list[str]) -> tuple[str, int]:
    """The line with as many of the words, in their order, as a message holds, and their number."""
    for number, word in enumerate(words):
        if len(line) + len(word) > MOST_BYTES:
            return line, number
        line += word
    return line, len(words)
