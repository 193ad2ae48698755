"""Encodes and decodes gossip datagrams, a compact text format.

A datagram is a header followed by items, each preceded by a space:

| part            | text                                              |
| --------------- | ------------------------------------------------- |
| header          | dialect, period modulo 36, queue wait, incarnation |
| `ChargeReport`  | `key:plan:set_start:set_size:age:total[:open]`    |
| `SpentReport`   | `key/plan/units`                                  |
| `LoadReport`    | `endpoint=work`                                   |
| `FailureReport` | `endpoint!class`                                  |

Numbers are in base 36, amounts in tenths of a unit, work in hundredths of a second. Tags, which are
hashes of names, identify plans, classes and endpoints, so that a datagram has the same meaning for
limiters whose settings list different ones. The previous dialect identified plans and classes by
their index in the sender's settings; it is still decoded.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Sequence
from typing import NamedTuple, Union
from zlib import crc32

MAX_DATAGRAM_BYTES = 256
DIALECT, PREVIOUS_DIALECT = "i", "h"
PERIODS = 36  # the header holds the period modulo this number
EVERY_CLASS_TAG = "0"  # stands for all classes
TENTHS = 10
_TAG_COUNT = 36**3
_INCARNATION_TENTHS = 36**3  # names of incarnations repeat after this many tenths of a second
_MAX_WAIT_DIGIT = 35
_ALPHABET = re.compile(r"[0-9a-z:/!= ]+")  # int() also accepts digits of other alphabets
_NUMBER = re.compile(r"0|[1-9a-z][0-9a-z]*")  # no leading zero
_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


class ChargeReport(NamedTuple):
    """The sender's charges to a customer in one period.

    Attributes:
        key: The customer's key.
        plan: The plan's tag.
        set_start: The number of the first limiter of the customer's set.
        set_size: The number of limiters in the set.
        age: The number of periods from the charged period to the datagram's.
        total: Units charged since the start of the charged period.
        open_requests: The customer's requests in flight at the sender, if the plan limits them.
    """

    key: str
    plan: str
    set_start: int
    set_size: int
    age: int
    total: float
    open_requests: int = 0


class SpentReport(NamedTuple):
    """The units of a customer's burst that all limiters together have spent."""

    key: str
    plan: str
    units: float


class LoadReport(NamedTuple):
    """Seconds of work that the sender has in flight at an endpoint."""

    endpoint: str
    work: float


class FailureReport(NamedTuple):
    """A recent failure of an endpoint at the sender, for one class or for `EVERY_CLASS_TAG`."""

    endpoint: str
    request_class: str


Report = Union[ChargeReport, SpentReport, LoadReport, FailureReport]


class GossipMessage(NamedTuple):
    """A decoded datagram.

    Attributes:
        period: The sender's current period, modulo 36.
        queue_wait: The recent waiting time of answers at the sender, as a multiple of the tightest
            latency objective.
        incarnation: The name of the sender's incarnation.
        reports: The reports in the order of the datagram.
        unknown_tags: The number of reports left out because their plan or class is not in the
            receiver's settings.
    """

    period: int
    queue_wait: float
    incarnation: str
    reports: tuple[Report, ...]
    unknown_tags: int = 0


class _UnknownTagError(Exception):
    """A report is well-formed, but its plan or class is not in the receiver's settings."""


def base36(number: int) -> str:
    """Returns a non-negative number in base 36."""
    if number < 36:
        return _DIGITS[number]
    text = ""
    while number:
        number, digit = divmod(number, 36)
        text = _DIGITS[digit] + text
    return text


def number36(text: str, limit: int) -> int:
    """Parses a number written by `base36`, which must be below `limit`.

    Raises:
        ValueError: The text is not such a number, or the number is too high.
    """
    # int() also accepts signs, spaces and underscores
    if not (text.isascii() and text.isalnum() and text == text.lower()):
        raise ValueError(text)
    number = int(text, 36)
    if number >= limit:
        raise ValueError(text)
    return number


def name_tag(name: str) -> str:
    """Returns the tag of a plan or a class, which is never `EVERY_CLASS_TAG`."""
    return base36(crc32(name.encode()) % (_TAG_COUNT - 1) + 1)


def incarnation_name(started_at: float) -> str:
    """Returns the name of an incarnation that started at the given time."""
    return base36(int(started_at * TENTHS) % _INCARNATION_TENTHS)


def seconds_between(incarnation: str, other: str) -> float:
    """Returns the seconds between the starts of two incarnations."""
    gap = (int(incarnation, 36) - int(other, 36)) % _INCARNATION_TENTHS
    return min(gap, _INCARNATION_TENTHS - gap) / TENTHS


def encode_header(period: int, queue_wait: float, incarnation: str) -> str:
    """Returns the header of a datagram.

    `queue_wait` is a multiple of the tightest latency objective and is capped at 3.5.
    """
    wait = min(_MAX_WAIT_DIGIT, round(TENTHS * queue_wait))
    return f"{DIALECT}{base36(period % PERIODS)}{base36(wait)}{incarnation}"


def encode(report: Report) -> str:
    """Returns the item of a report, with the space that precedes it."""
    if isinstance(report, ChargeReport):
        numbers = [base36(n) for n in (report.set_start, report.set_size, report.age)]
        open_requests = f":{base36(report.open_requests)}" if report.open_requests else ""
        total = _tenths(report.total)
        return f" {report.key}:{report.plan}:{':'.join(numbers)}:{total}{open_requests}"
    if isinstance(report, SpentReport):
        return f" {report.key}/{report.plan}/{_tenths(report.units)}"
    if isinstance(report, LoadReport):
        return f" {report.endpoint}={_tenths(TENTHS * report.work)}"
    return f" {report.endpoint}!{report.request_class}"


def append_that_fit(datagram: str, items: Sequence[str]) -> tuple[str, int]:
    """Appends items to a datagram, in their order, until one does not fit.

    Returns the datagram and the number of items appended.
    """
    for number, item in enumerate(items):
        if len(datagram) + len(item) > MAX_DATAGRAM_BYTES:
            return datagram, number
        datagram += item
    return datagram, len(items)


class GossipDecoder:
    """Decodes datagrams under one limiter's settings.

    Attributes:
        plan_tags: The tags of the plans, in the order of the settings.
        limiter_count: The number of limiters.
        class_tags: The tags of the classes, in the order of the settings.
    """

    __slots__ = ("plan_tags", "limiter_count", "class_tags")

    def __init__(
        self, plan_tags: Collection[str], limiter_count: int, class_tags: Collection[str]
    ) -> None:
        self.plan_tags, self.limiter_count, self.class_tags = plan_tags, limiter_count, class_tags

    def decode(self, text: str) -> GossipMessage | None:
        """Decodes a datagram; returns None if any part of it is invalid.

        A datagram is invalid if it is too long, of an unknown dialect, malformed or out of range.
        Reports about a plan or class that is not in the settings are counted and left out.
        """
        try:
            header, *items = text.split(" ")
            if (
                len(text) > MAX_DATAGRAM_BYTES
                or header[0] not in (DIALECT, PREVIOUS_DIALECT)
                or not _ALPHABET.fullmatch(text)
                or not header.isalnum()
            ):
                return None
            by_index = header[0] == PREVIOUS_DIALECT
            period, wait, _ = [int(part, 36) for part in (header[1], header[2], header[3:] or "0")]
            reports, unknown_tags = list[Report](), 0
            for item in items:
                try:
                    reports.append(self._decode_report(item, by_index))
                except _UnknownTagError:
                    unknown_tags += 1
            return GossipMessage(period, wait / TENTHS, header[3:], tuple(reports), unknown_tags)
        except (ValueError, IndexError):
            return None

    def _decode_report(self, text: str, by_index: bool) -> Report:
        separator = ":" if ":" in text else "/" if "/" in text else "!" if "!" in text else "="
        name, *rest = text.split(separator)
        if not text.replace(separator, "").isalnum():  # int() also accepts signs and spaces
            raise ValueError(text)
        int(name, 36)
        if not all(map(_NUMBER.fullmatch, rest)):
            raise ValueError(text)
        numbers = [int(part, 36) for part in rest]
        if separator == ":" and len(numbers) in (5, 6):
            _, set_start, set_size, age, total, *open_requests = numbers
            if set_start < self.limiter_count and 0 < set_size <= self.limiter_count:
                plan = _resolve_tag(rest[0], self.plan_tags, by_index)
                return ChargeReport(
                    name, plan, set_start, set_size, age, total / TENTHS, sum(open_requests)
                )
        elif separator == "/" and len(numbers) == 2:
            plan = _resolve_tag(rest[0], self.plan_tags, by_index)
            return SpentReport(name, plan, numbers[1] / TENTHS)
        elif separator == "=" and len(numbers) == 1:
            return LoadReport(name, numbers[0] / TENTHS**2)
        elif separator == "!" and len(numbers) == 1:
            return FailureReport(name, self._class_tag(rest[0], by_index))
        raise ValueError(text)

    def _class_tag(self, text: str, by_index: bool) -> str:
        if by_index:
            return _resolve_tag(text, [*self.class_tags, EVERY_CLASS_TAG], by_index)
        return (
            EVERY_CLASS_TAG
            if text == EVERY_CLASS_TAG
            else _resolve_tag(text, self.class_tags, by_index)
        )


def _tenths(value: float) -> str:
    return base36(round(TENTHS * value))


def _resolve_tag(text: str, tags: Collection[str], by_index: bool) -> str:
    """Returns one of `tags`, given as itself or, in the previous dialect, as its index."""
    if by_index:
        return list(tags)[int(text, 36)]
    if text not in tags:
        raise _UnknownTagError(text)
    return text
