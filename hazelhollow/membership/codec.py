"""Membership's datagrams: messages to at most 256 bytes of text and back. Translation only.

    v1p 3.9k2jd01xa.2.1.1f.abcde/7/5k 5 9.5k2jd00aa.0.2 ...
    |   |                       | |   | records, each: number.incarnation.record_version.state, and
    |   |                       | |   |   where they are not empty .unreachable.versions.address
    |   |                       | |   arguments, joined by -
    |   |                       | digest of the sender's table
    |   |                       serial of the datagram
    |   the sender's record
    dialect and kind

Numbers are base 36. A text that any part of is not so is no message.

| kind | letter | arguments |
| --- | --- | --- |
| PING | p | id of the probe |
| ACK | a | id of the probe |
| PING_REQUEST | q | id of the probe, target |
| INDIRECT_PING | i | id of the probe, prober |
| INDIRECT_ACK | j | id of the probe, prober, target |
| BUCKET_DIGESTS | s | one digest a bucket of the member table |
| RECORDS | t | none: carries records that the other's table lacks |
| PRESENCE_BITMAP | b | first member, bitmap of who has joined (`first:base64`) |

A record may be written relative to the sender's, ` 5.+1ab.0.2=`: by how much its incarnation is
later (`-`: earlier), and `=` behind the state where its versions are the sender's. Most of a fleet
began within days of each other and acts on the same versions, so that a datagram holds two to three
times as many.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Sequence
from enum import StrEnum
from functools import lru_cache
from typing import NamedTuple

from hazelhollow.decisions.gossip.codec import base36, number36
from hazelhollow.membership.member_table import BUCKETS, DIGEST_SPAN
from hazelhollow.membership.records import MemberState, Record, unpack_address

DIALECT = "v1"
MAX_TEXT_BYTES = 256
MAX_UNREACHABLE = 8  # members that one record names; the rest is left out
MAX_VERSIONS_BYTES = 24
BITMAP_SPAN = 1008  # members in one bitmap: 168 characters
CACHED_RECORDS = 4096  # whose texts are known both ways: most that come have come before
_SAME_VERSIONS = "="  # in a relative record
_SIGNS = ("+", "-")  # before the difference of incarnations in a relative record
_INCARNATION_SPAN = 36**12  # incarnations are below it
_NUMBER_SPAN = 36**7  # all other numbers are below it, unless they are members


class MessageKind(StrEnum):
    """What a message is for; the letter that stands for it."""

    PING = "p"
    ACK = "a"
    PING_REQUEST = "q"
    INDIRECT_PING = "i"
    INDIRECT_ACK = "j"
    BUCKET_DIGESTS = "s"
    RECORDS = "t"
    PRESENCE_BITMAP = "b"


# Numbers that each kind takes, but for the bitmap, which has a form of its own.
ARGUMENT_COUNTS = {
    MessageKind.PING: 1,
    MessageKind.ACK: 1,
    MessageKind.PING_REQUEST: 2,
    MessageKind.INDIRECT_PING: 2,
    MessageKind.INDIRECT_ACK: 3,
    MessageKind.BUCKET_DIGESTS: BUCKETS,
    MessageKind.RECORDS: 0,
}
_KINDS = {kind.value: kind for kind in MessageKind}
# Kinds whose arguments after the first are members.
_NAMING_MEMBERS = (
    MessageKind.PING_REQUEST,
    MessageKind.INDIRECT_PING,
    MessageKind.INDIRECT_ACK,
)


class Message(NamedTuple):
    """One datagram's message; `arguments` as the kind takes them."""

    kind: MessageKind
    sender: Record
    serial: int
    digest: int
    arguments: tuple[int, ...] = ()
    records: tuple[Record, ...] = ()


def encode(
    message: Message,
    records: Sequence[Record],
    max_bytes: int = MAX_TEXT_BYTES,
    relative: bool = False,
) -> tuple[str, int]:
    """The text with as many of `records`, in their order, as fit, and how many that are.

    `relative`: records are written relative to the sender's where that is shorter.
    """
    sender = message.sender
    own = _encode_record(sender)[1:]
    text = f"{DIALECT}{message.kind} {own}/{base36(message.serial)}/{base36(message.digest)} "
    if message.kind is MessageKind.PRESENCE_BITMAP:
        text += _encode_bitmap(*message.arguments)
    else:
        text += "-".join(map(base36, message.arguments))
    for count, record in enumerate(records):
        if relative:
            item = _encode_relative(record, sender.incarnation, sender.versions)
        else:
            item = _encode_record(record)
        if len(text) + len(item) > max_bytes:
            return text, count
        text += item
    return text, len(records)


def decode(text: str, member_count: int) -> Message | None:
    """The message.

    None where any part of it cannot be: too long, of another dialect, garbled, out of range.
    """
    try:
        head, own, arguments, *records = text.split(" ")
        sender_text, serial, digest = own.split("/")
        if len(text) > MAX_TEXT_BYTES or not head.startswith(DIALECT):
            return None
        kind = _KINDS[head[len(DIALECT) :]]
        numbers = _decode_arguments(kind, arguments, member_count)
        sender = _decode_record(sender_text, member_count)
        return Message(
            kind,
            sender,
            number36(serial, _NUMBER_SPAN),
            number36(digest, DIGEST_SPAN),
            numbers,
            tuple([_decode_reported(item, member_count, sender) for item in records]),
        )
    except (ValueError, KeyError):
        return None


def _decode_arguments(kind: MessageKind, text: str, member_count: int) -> tuple[int, ...]:
    """Raises ValueError where they are not what the kind takes."""
    if kind is MessageKind.PRESENCE_BITMAP:
        return _decode_bitmap(text, member_count)
    numbers = tuple(number36(part, _NUMBER_SPAN) for part in text.split("-")) if text else ()
    if len(numbers) != ARGUMENT_COUNTS[kind]:
        raise ValueError(f"{kind.name} takes {ARGUMENT_COUNTS[kind]} arguments, not {len(numbers)}")
    if kind in _NAMING_MEMBERS and any(number >= member_count for number in numbers[1:]):
        raise ValueError(f"{text} names no member of {member_count}")
    return numbers


@lru_cache(CACHED_RECORDS)
def _encode_record(record: Record) -> str:
    """One record, with the space before it."""
    numbers = (record.number, record.incarnation, record.record_version)
    text = f" {'.'.join(map(base36, numbers))}.{record.state}"
    return text + _encode_rest(record.unreachable, record.versions, record.address)


@lru_cache(CACHED_RECORDS)
def _encode_relative(record: Record, incarnation: int, versions: str) -> str:
    """One record relative to a sender of that incarnation and versions, with a space before it.

    The full form where that is not longer.
    """
    later = record.incarnation - incarnation
    same_versions = bool(versions) and record.versions == versions
    sign = "-" if later < 0 else "+"
    numbers = f"{base36(record.number)}.{sign}{base36(abs(later))}.{base36(record.record_version)}"
    text = f" {numbers}.{record.state}{_SAME_VERSIONS if same_versions else ''}"
    text += _encode_rest(
        record.unreachable, "" if same_versions else record.versions, record.address
    )
    return min(_encode_record(record), text, key=len)


def _encode_rest(unreachable: Sequence[int], versions: str, address: str) -> str:
    """The parts that most records lack; empty ones stand only before others."""
    named = "-".join(base36(number) for number in unreachable[:MAX_UNREACHABLE])
    return "".join(f".{part}" for part in (named, versions, address)).rstrip(".")


def _decode_reported(item: str, member_count: int, sender: Record) -> Record:
    """A record, full or relative to the sender's. Raises ValueError for what is none."""
    if item[item.find(".") + 1 :].startswith(_SIGNS):
        return _decode_relative(item, member_count, sender.incarnation, sender.versions)
    return _decode_record(item, member_count)


@lru_cache(CACHED_RECORDS)
def _decode_relative(item: str, member_count: int, incarnation: int, versions: str) -> Record:
    number, difference, record_version, state, *rest = item.split(".")
    same_versions = state.endswith(_SAME_VERSIONS)
    if same_versions and (not versions or (len(rest) > 1 and rest[1])):
        raise ValueError(f"{item}: the sender has no versions, or others stand there too")
    later = number36(difference[1:], _INCARNATION_SPAN)
    own_incarnation = incarnation + (-later if difference[0] == "-" else later)
    if own_incarnation < 0:
        raise ValueError(f"{item}: the incarnation is below 0")
    plain_state = state.removesuffix(_SAME_VERSIONS)
    full = ".".join((number, base36(own_incarnation), record_version, plain_state, *rest))
    record = _decode_record(full, member_count)
    return record._replace(versions=versions) if same_versions else record


@lru_cache(CACHED_RECORDS)
def _decode_record(item: str, member_count: int) -> Record:
    number, incarnation, record_version, state, *rest = item.split(".")
    unreachable: tuple[int, ...] = ()
    if rest and rest[0]:
        unreachable = tuple(number36(part, member_count) for part in rest[0].split("-"))
    versions, address = (*rest[1:], "", "")[:2]
    plain = (versions + address).isascii() and (versions + address + "0").isalnum()
    if (
        len(rest) > 3
        or len(unreachable) > MAX_UNREACHABLE
        or len(versions) > MAX_VERSIONS_BYTES
        or not plain
    ):
        raise ValueError(f"{item} is no record")
    if address:
        unpack_address(address)
    return Record(
        number36(number, member_count),
        number36(incarnation, _INCARNATION_SPAN),
        number36(record_version, _NUMBER_SPAN),
        MemberState(number36(state, len(MemberState))),
        unreachable,
        versions,
        address,
    )


def _encode_bitmap(start: int, bits: int) -> str:
    """The bitmap without the zeros at its end."""
    packed = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    return f"{base36(start)}:{base64.urlsafe_b64encode(packed).decode()}"


def _decode_bitmap(text: str, member_count: int) -> tuple[int, int]:
    """The first member, and the bits. Raises ValueError for what is no bitmap of the members."""
    start, packed = text.split(":")
    try:
        bits = int.from_bytes(base64.b64decode(packed, altchars=b"-_", validate=True), "little")
    except binascii.Error as error:
        raise ValueError(f"{text} is no bitmap") from error
    first = number36(start, member_count)
    if bits.bit_length() > min(BITMAP_SPAN, member_count - first):
        raise ValueError(f"{text} goes beyond the {member_count} members")
    return first, bits
