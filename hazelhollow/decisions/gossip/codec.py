"""The format of gossip datagrams: values to a few bytes of text and back.

A datagram is a header and items, each with a space before it:

| part            | text                                              |
| --------------- | ------------------------------------------------- |
| header          | dialect, period modulo 36, queue wait, incarnation |
| `ChargeReport`  | `key:plan:set_start:set_size:age:total[:open]`    |
| `SpentReport`   | `key/plan/units`                                  |
| `LoadReport`    | `endpoint=work`                                   |
| `FailureReport` | `endpoint!class`                                  |

Numbers are in base 36, amounts in tenths of a unit, work in hundredths of a second. Plans, classes
and endpoints go by tags of their names, so that a datagram means the same under settings that list
others beside them. The dialect before this one named places in the sender's settings in place
of tags, and is still read.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple, Union
from zlib import crc32

MAX_DATAGRAM_BYTES = 256
DIALECT, PREVIOUS_DIALECT = "i", "h"
PERIODS = 36  # a datagram tells its period modulo this
EVERY_CLASS_TAG = "0"  # in place of a class's tag
TENTHS = 10
_TAG_COUNT = 36**3
_INCARNATION_TENTHS = 36**3  # tenths of a second after which the names of incarnations come again
_MAX_WAIT_DIGIT = 35
_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


class ChargeReport(NamedTuple):
    """What the sender charged a customer in one period.

    Attributes:
        key: The customer's key.
        plan: The plan's tag.
        set_start: The first limiter of the customer's set.
        set_size: How many limiters there are in it.
        age: Periods that the charged one lies before the datagram's.
        total: Units, of the whole period so far.
        open_requests: Requests in flight for the customer, where the plan limits them.
    """

    key: str
    plan: str
    set_start: int
    set_size: int
    age: int
    total: float
    open_requests: int = 0


class SpentReport(NamedTuple):
    """How many units of a customer's burst are spent, by all limiters together."""

    key: str
    plan: str
    units: float


class LoadReport(NamedTuple):
    """Seconds of work that the sender has in flight at an endpoint."""

    endpoint: str
    work: float


class FailureReport(NamedTuple):
    """An endpoint failed the sender lately, for one class or for `EVERY_CLASS_TAG`."""

    endpoint: str
    request_class: str


Report = Union[ChargeReport, SpentReport, LoadReport, FailureReport]


class GossipMessage(NamedTuple):
    """A datagram that was read.

    Attributes:
        period: The sender's, modulo 36.
        queue_wait: How long answers have waited at the sender lately, in tightest objectives.
        incarnation: The sender's.
        reports: In their order.
        unknown: How many were about plans and classes that these settings don't have.
    """

    period: int
    queue_wait: float
    incarnation: str
    reports: tuple[Report, ...]
    unknown: int = 0


class _UnknownTagError(Exception):
    """A report is sound and of no use here: these settings don't have its plan or class."""


def base36(number: int) -> str:
    """A number of 0 or more in base 36."""
    if number < 36:
        return _DIGITS[number]
    text = ""
    while number:
        number, digit = divmod(number, 36)
        text = _DIGITS[digit] + text
    return text


def number36(text: str, most: int) -> int:
    """The number that `base36` wrote.

    Raises:
        ValueError: It is not one, or not below `most`; int() would read signs, spaces and
            underscores too.
    """
    if not (text.isascii() and text.isalnum() and text == text.lower()):
        raise ValueError(text)
    number = int(text, 36)
    if number >= most:
        raise ValueError(text)
    return number


def name_tag(name: str) -> str:
    """The tag of a plan or a class; never `EVERY_CLASS_TAG`."""
    return base36(crc32(name.encode()) % (_TAG_COUNT - 1) + 1)


def incarnation_name(started_at: float) -> str:
    """The name of an incarnation that started at that instant."""
    return base36(int(started_at * TENTHS) % _INCARNATION_TENTHS)


def seconds_between(incarnation: str, other: str) -> float:
    """Seconds between the starts of two incarnations."""
    behind = (int(incarnation, 36) - int(other, 36)) % _INCARNATION_TENTHS
    return min(behind, _INCARNATION_TENTHS - behind) / TENTHS


def encode_header(period: int, queue_wait: float, incarnation: str) -> str:
    """The beginning of a datagram; `queue_wait` in tightest objectives, up to 3.5."""
    wait = min(_MAX_WAIT_DIGIT, round(TENTHS * queue_wait))
    return f"{DIALECT}{base36(period % PERIODS)}{base36(wait)}{incarnation}"


def encode(report: Report) -> str:
    """One report, with the space before it."""
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
    """The datagram with as many of the items, in their order, as it holds, and their number."""
    for number, item in enumerate(items):
        if len(datagram) + len(item) > MAX_DATAGRAM_BYTES:
            return datagram, number
        datagram += item
    return datagram, len(items)


class GossipDecoder:
    """Reads datagrams under one limiter's settings.

    Attributes:
        plan_tags: The tags of its plans, in the order of the settings.
        limiter_count: The number of limiters.
        class_tags: The tags of its classes, in the order of the settings.
    """

    __slots__ = ("plan_tags", "limiter_count", "class_tags")

    def __init__(
        self, plan_tags: Collection[str], limiter_count: int, class_tags: Collection[str]
    ) -> None:
        self.plan_tags, self.limiter_count, self.class_tags = plan_tags, limiter_count, class_tags

    def decode(self, text: str) -> GossipMessage | None:
        """The datagram, or None where any part of it can't be.

        That is too long, of an unknown dialect, garbled or out of range. A report of a plan or a
        class that these settings don't have is counted and left out.
        """
        try:
            header, *items = text.split(" ")
            if (
                len(text) > MAX_DATAGRAM_BYTES
                or header[0] not in (DIALECT, PREVIOUS_DIALECT)
                or not header.isalnum()
            ):
                return None
            by_place = header[0] == PREVIOUS_DIALECT
            period, wait, _ = [int(part, 36) for part in (header[1], header[2], header[3:] or "0")]
            reports, unknown = list[Report](), 0
            for item in items:
                try:
                    reports.append(self._report(item, by_place))
                except _UnknownTagError:
                    unknown += 1
            return GossipMessage(period, wait / TENTHS, header[3:], tuple(reports), unknown)
        except (ValueError, IndexError):
            return None

    def _report(self, text: str, by_place: bool) -> Report:
        separator = ":" if ":" in text else "/" if "/" in text else "!" if "!" in text else "="
        name, *rest = text.split(separator)
        if not text.replace(separator, "").isalnum():  # int() would read signs and spaces too
            raise ValueError(text)
        int(name, 36)
        numbers = [int(part, 36) for part in rest]
        if separator == ":" and len(numbers) in (5, 6):
            _, set_start, set_size, age, total, *open_requests = numbers
            if set_start < self.limiter_count and 0 < set_size <= self.limiter_count:
                plan = _known_tag(rest[0], self.plan_tags, by_place)
                return ChargeReport(
                    name, plan, set_start, set_size, age, total / TENTHS, sum(open_requests)
                )
        elif separator == "/" and len(numbers) == 2:
            plan = _known_tag(rest[0], self.plan_tags, by_place)
            return SpentReport(name, plan, numbers[1] / TENTHS)
        elif separator == "=" and len(numbers) == 1:
            return LoadReport(name, numbers[0] / TENTHS**2)
        elif separator == "!" and len(numbers) == 1:
            return FailureReport(name, self._class_tag(rest[0], by_place))
        raise ValueError(text)

    def _class_tag(self, text: str, by_place: bool) -> str:
        if by_place:
            return _known_tag(text, [*self.class_tags, EVERY_CLASS_TAG], by_place)
        return (
            EVERY_CLASS_TAG
            if text == EVERY_CLASS_TAG
            else _known_tag(text, self.class_tags, by_place)
        )


def _tenths(value: float) -> str:
    return base36(round(TENTHS * value))


def _known_tag(text: str, tags: Collection[str], by_place: bool) -> str:
    """A tag of these settings, which the previous dialect named by its place in the sender's."""
    if by_place:
        return list(tags)[int(text, 36)]
    if text not in tags:
        raise _UnknownTagError(text)
    return text
