"""Messages between gateways: values to few bytes of text and back. Translation only."""

from __future__ import annotations

from typing import NamedTuple, Union

MOST_BYTES = 256
_LIVES = 36**3  # tenths of a second after which the names of lives come again
_TENTHS = 10
_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


class Charge(NamedTuple):
    """What the sender charged a customer, in all, in the period that lies `age` before the message's; and the
    requests it has open for it, where the plan limits them."""

    customer: str
    plan: int
    first: int
    spread: int
    age: int
    total: float
    open: int = 0


class Spent(NamedTuple):
    """How much of a customer's burst is spent, by all gateways."""

    customer: str
    plan: int
    units: float


class Load(NamedTuple):
    """Seconds of work that the sender has out at a server."""

    server: str
    work: float


class Failed(NamedTuple):
    """A server failed the sender lately, for one class or (the number after the last class) for all."""

    server: str
    kind: int


Word = Union[Charge, Spent, Load, Failed]


class Message(NamedTuple):
    period: int  # of the sender, modulo 36
    wait: float  # that the sender's answers have shown lately
    life: str
    words: tuple[Word, ...]


def base36(number: int) -> str:
    return (base36(number // 36) if number >= 36 else "") + _DIGITS[number % 36]


def _tenths(value: float) -> str:
    return base36(round(_TENTHS * value))


def life(start: float) -> str:
    """The name of a life that began then."""
    return base36(int(start * _TENTHS) % _LIVES)


def apart(life: str, other: str) -> float:
    """Seconds between the starts of two."""
    behind = (int(life, 36) - int(other, 36)) % _LIVES
    return min(behind, _LIVES - behind) / _TENTHS


def head(period: int, wait: float, life: str) -> str:
    return f"h{base36(period % 36)}{base36(min(35, round(_TENTHS * wait)))}{life}"


def write(word: Word) -> str:
    """One word of a message, with the space before it."""
    if isinstance(word, Charge):
        numbers = [base36(n) for n in (word.plan, word.first, word.spread, word.age)]
        open_now = f":{base36(word.open)}" if word.open else ""
        return f" {word.customer}:{':'.join(numbers)}:{_tenths(word.total)}{open_now}"
    if isinstance(word, Spent):
        return f" {word.customer}/{base36(word.plan)}/{_tenths(word.units)}"
    if isinstance(word, Load):
        return f" {word.server}={_tenths(_TENTHS * word.work)}"
    return f" {word.server}!{base36(word.kind)}"


def read(text: str, plans: int, gateways: int, kinds: int) -> Message | None:
    """The message, or nothing where any part of it cannot be: too long, foreign, garbled, out of range."""
    try:
        first, *words = text.split(" ")
        if len(text) > MOST_BYTES or first[0] != "h" or not first.isalnum():
            return None
        numbers = [int(part, 36) for part in (first[1], first[2], first[3:] or "0")]
        return Message(
            numbers[0], numbers[1] / _TENTHS, first[3:], tuple(_word(w, plans, gateways, kinds) for w in words)
        )
    except (ValueError, IndexError):
        return None


def _word(text: str, plans: int, gateways: int, kinds: int) -> Word:
    mark = ":" if ":" in text else "/" if "/" in text else "!" if "!" in text else "="
    name, *rest = text.split(mark)
    if not text.replace(mark, "").isalnum():  # int() would read signs and spaces too
        raise ValueError(text)
    int(name, 36)
    numbers = [int(part, 36) for part in rest]
    if mark == ":" and len(numbers) in (5, 6):
        plan, first, spread, age, total, *open_now = numbers
        if plan < plans and first < gateways and 0 < spread <= gateways:
            return Charge(name, plan, first, spread, age, total / _TENTHS, sum(open_now))
    elif mark == "/" and len(numbers) == 2 and numbers[0] < plans:
        return Spent(name, numbers[0], numbers[1] / _TENTHS)
    elif mark == "=" and len(numbers) == 1:
        return Load(name, numbers[0] / _TENTHS**2)
    elif mark == "!" and len(numbers) == 1 and numbers[0] < kinds:
        return Failed(name, numbers[0])
    raise ValueError(text)


def pack(line: str, words: list[str]) -> tuple[str, int]:
    """The line with as many of the words, in their order, as a message holds, and their number."""
    for number, word in enumerate(words):
        if len(line) + len(word) > MOST_BYTES:
            return line, number
        line += word
    return line, len(words)
