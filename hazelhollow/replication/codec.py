"""Encodes replication messages as datagrams of at most 256 bytes of ASCII, and decodes them.

This module only translates: it applies no rule and uses no socket. The text does not contain the
field names of `messages`.

    c1r 9k2/t4f3k0  8tl2m:7kq:1:5:3.9k2.4.2.1c-1.8aa.4.2.7

consists of dialect and kind; the sender's incarnation and the message's period; the numbers that
the kind needs, joined by `-` (counts need none, hence the two spaces); then items, each preceded by
a space. Numbers are in base 36. Other periods are written as their distance before the message's
period. A text is rejected entirely if any part of it is invalid or it is of another dialect.
"""

from __future__ import annotations

from collections.abc import Sequence

from hazelhollow.decisions.gossip.codec import base36, number36
from hazelhollow.replication.count_table import BUCKET_COUNT, DIGEST_RANGE, CountRow, CountValue
from hazelhollow.replication.messages import (
    AccountCopy,
    Body,
    Counts,
    Digests,
    Kind,
    Message,
    NotComplete,
    Overrides,
    RecentCount,
    TransferPiece,
    TransferRequest,
)
from hazelhollow.replication.overrides import Override

DIALECT = "c1"  # the letter that identifies replication's datagrams, and the format version
MAX_MESSAGE_BYTES = 256
SECOND_HAND_SUFFIX = ".h"  # marks a counter that is not first-hand
FORGOTTEN = "-"  # stands for an account that the sender has forgotten
# The greatest numbers of a transfer piece, which give the length of its longest header.
PIECE_NUMBERS_LIMIT = (36**4, 36**5, 36**5)
NUMBERS_OF_KIND = {
    Kind.DIGESTS: BUCKET_COUNT + 2,
    Kind.COUNTS: 0,
    Kind.OVERRIDES: 0,
    Kind.TRANSFER_REQUEST: 3,
    Kind.TRANSFER_PIECE: 3,
    Kind.NOT_COMPLETE: 1,
}
_NUMBER_LIMIT = 36**7
_TIME_LIMIT_MS = 36**9
_MAX_NAME_LENGTH = 5
_MAX_ENDPOINT_LENGTH = 64

# Encoding


def encode_header(kind: Kind, incarnation: str, period: int, numbers: Sequence[int] = ()) -> str:
    """Returns the text before the items."""
    return f"{DIALECT}{kind.value} {incarnation}/{base36(period)} " + "-".join(
        base36(number) for number in numbers
    )


def encode_counts(rows: Sequence[CountRow], period: int) -> str:
    """Returns the item for one customer's counters, with the space before it; empty for no rows."""
    if not rows:
        return ""
    first = rows[0]
    return f"{_customer_text(first)}:" + "-".join(
        f"{base36(row.member)}.{row.incarnation}.{_value_text(row.value, period)}"
        f"{'' if row.value.first_hand else SECOND_HAND_SUFFIX}"
        for row in rows
    )


def encode_account(account: AccountCopy, period: int, room: int) -> str:
    """Returns the item for an account, with its first counts, as many as fit into `room` bytes."""
    text = f"{_customer_text(account)}:{base36(account.spent)}:"
    parts = list[str]()
    for count in account.counts:
        part = (
            f"{base36(count.member)}.{count.incarnation}.{_value_text(count.value, period)}"
            f".{base36(count.in_next_period)}.{base36(count.in_second_period)}"
        )
        room -= len(part) + 1
        if room < len(text):
            break
        parts.append(part)
    return text + "-".join(parts)


def encode_forgotten() -> str:
    """Returns the item that stands for an account that the sender has forgotten."""
    return f" {FORGOTTEN}"


def encode_override(override: Override) -> str:
    """Returns the item for an override."""
    return (
        f" {override.endpoint}:{base36(override.lamport_time)}:{override.disabled}"
        f":{base36(override.made_at_ms)}:{base36(override.member)}"
    )


def append_items(header: str, items: Sequence[str], max_bytes: int) -> tuple[str, int]:
    """Returns the header with its first items, as many as fit, and the number of these items."""
    text = header
    for number, item in enumerate(items):
        if len(text) + len(item) > max_bytes:
            return text, number
        text += item
    return text, len(items)


def _customer_text(keyed: CountRow | AccountCopy) -> str:
    return f" {keyed.customer}:{keyed.plan_tag}:{base36(keyed.set_start)}:{base36(keyed.set_size)}"


def _value_text(value: CountValue, period: int) -> str:
    since, through = max(0, period - value.since), max(0, period - value.through)
    return f"{base36(since)}.{base36(through)}.{base36(value.total)}"


# Decoding


def decode(text: str, member_count: int) -> Message | None:
    """Returns the message; None if any part is invalid: too long, another dialect, out of range."""
    try:
        return _decode(text, member_count)
    except ValueError:
        return None


def _decode(text: str, member_count: int) -> Message:
    head, origin, number_texts, *items = text.split(" ")
    incarnation, period_text = origin.split("/")
    period = number36(period_text, _NUMBER_LIMIT)
    if len(text) > MAX_MESSAGE_BYTES or not head.startswith(DIALECT):
        raise ValueError(text)
    kind = Kind(head[len(DIALECT) :])
    numbers = (
        tuple(number36(number, _NUMBER_LIMIT) for number in number_texts.split("-"))
        if number_texts
        else ()
    )
    if len(numbers) != NUMBERS_OF_KIND[kind]:
        raise ValueError(number_texts)
    body = _decode_body(kind, numbers, items, period, member_count)
    return Message(_checked_name(incarnation), period, body)


def _decode_body(
    kind: Kind, numbers: tuple[int, ...], items: list[str], period: int, member_count: int
) -> Body:
    if kind is Kind.COUNTS:
        return Counts(
            tuple(row for item in items for row in _decode_counts(item, period, member_count))
        )
    if kind is Kind.TRANSFER_PIECE:
        accounts = tuple(
            None if item == FORGOTTEN else _decode_account(item, period, member_count)
            for item in items
        )
        transfer, first, total = numbers
        return TransferPiece(transfer, first, total, accounts)
    if kind is Kind.OVERRIDES:
        return Overrides(tuple(_decode_override(item, member_count) for item in items))
    if items:
        raise ValueError(items)
    if kind is Kind.DIGESTS:
        if any(number >= DIGEST_RANGE for number in numbers):
            raise ValueError(numbers)
        *buckets, overrides, is_answer = numbers
        return Digests(tuple(buckets), overrides, bool(is_answer))
    return TransferRequest(*numbers) if kind is Kind.TRANSFER_REQUEST else NotComplete(*numbers)


def _checked_name(text: str) -> str:
    is_valid = text.isascii() and text.isalnum() and text == text.lower()
    if not 0 < len(text) <= _MAX_NAME_LENGTH or not is_valid:
        raise ValueError(text)
    return text


def _decode_value(
    since: str, through: str, total: str, period: int, first_hand: int = 1
) -> CountValue:
    return CountValue(
        period - number36(since, _NUMBER_LIMIT),
        period - number36(through, _NUMBER_LIMIT),
        number36(total, _NUMBER_LIMIT),
        first_hand,
    )


def _decode_customer(fields: Sequence[str], member_count: int) -> tuple[str, str, int, int]:
    customer, plan_tag, set_start, set_size = fields
    size = number36(set_size, member_count + 1)
    if size == 0:
        raise ValueError(set_size)
    return _checked_name(customer), _checked_name(plan_tag), number36(set_start, member_count), size


def _decode_counts(item: str, period: int, member_count: int) -> list[CountRow]:
    *customer_fields, counts = item.split(":")
    customer = _decode_customer(customer_fields, member_count)
    rows = []
    for count in counts.split("-"):
        member, incarnation, *value_fields = count.split(".")
        first_hand = 0 if value_fields[3:] == [SECOND_HAND_SUFFIX[1:]] else 1
        since, through, total = value_fields if first_hand else value_fields[:3]
        value = _decode_value(since, through, total, period, first_hand)
        rows.append(
            CountRow(*customer, number36(member, member_count), _checked_name(incarnation), value)
        )
    return rows


def _decode_account(item: str, period: int, member_count: int) -> AccountCopy:
    *customer_fields, spent, counts = item.split(":")
    recent_counts = []
    for count in counts.split("-") if counts else ():
        member, incarnation, since, through, total, in_next, in_second = count.split(".")
        recent_counts.append(
            RecentCount(
                number36(member, member_count),
                _checked_name(incarnation),
                _decode_value(since, through, total, period),
                number36(in_next, _NUMBER_LIMIT),
                number36(in_second, _NUMBER_LIMIT),
            )
        )
    customer = _decode_customer(customer_fields, member_count)
    return AccountCopy(*customer, number36(spent, _NUMBER_LIMIT), tuple(recent_counts))


def _decode_override(item: str, member_count: int) -> Override:
    endpoint, lamport_time, disabled, made_at_ms, member = item.split(":")
    is_length_valid = 0 < len(endpoint) <= _MAX_ENDPOINT_LENGTH
    if not is_length_valid or not endpoint.isascii() or not endpoint.isprintable():
        raise ValueError(endpoint)
    return Override(
        endpoint,
        number36(lamport_time, _NUMBER_LIMIT),
        number36(disabled, 2),
        number36(made_at_ms, _TIME_LIMIT_MS),
        number36(member, member_count),
    )
