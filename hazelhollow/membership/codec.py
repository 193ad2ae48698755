"""Encoding and decoding of membership's datagrams: messages as text of at most 256 bytes.

    v1p 3.9k2jd01xa.2.1.1f.abcde/7/5k 5 9.5k2jd00aa.0.2 ...
    |   |                       | |   | records, each: number.incarnation.record_version.state and,
    |   |                       | |   |   where they are not empty, .unreachable.versions.address
    |   |                       | |   arguments, joined by -
    |   |                       | digest of the sender's table
    |   |                       serial of the datagram
    |   the sender's record
    dialect and kind

Numbers are in base 36. A text with any malformed part is rejected.

| kind | letter | arguments |
| --- | --- | --- |
| PING | p | probe id |
| ACK | a | probe id |
| PING_REQUEST | q | probe id, target |
| INDIRECT_PING | i | probe id, prober |
| INDIRECT_ACK | j | probe id, prober, target |
| BUCKET_DIGESTS | s | a digest of each bucket of the member table |
| RECORDS | t | none: it carries records that the recipient's table lacks |
| PRESENCE_BITMAP | b | first member, bitmap of the members that have joined (`first:base64`) |

A record may be written relative to the sender's, as in ` 5.+1ab.0.2=`: the difference of the
incarnations (`+` later, `-` earlier), and `=` after the state if its versions equal the sender's.
Most members of a fleet started within days of each other and act on the same versions, so that a
datagram holds two to three times as many relative records.
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
MAX_UNREACHABLE = 8  # members listed in one record; further ones are omitted
MAX_VERSIONS_BYTES = 24
BITMAP_SPAN = 1008  # members in one bitmap: 168 characters
CACHED_RECORDS = 4096  # size of each codec cache; most records have been received before
_SAME_VERSIONS = "="  # in a relative record
_SIGNS = ("+", "-")  # precede the difference of incarnations in a relative record
_INCARNATION_SPAN = 36**12  # exclusive upper bound of incarnations
_NUMBER_SPAN = 36**7  # exclusive upper bound of all other numbers except member ids


class MessageKind(StrEnum):
    """The kind of a message; the value is its letter in a datagram."""

    PING = "p"
    ACK = "a"
    PING_REQUEST = "q"
    INDIRECT_PING = "i"
    INDIRECT_ACK = "j"
    BUCKET_DIGESTS = "s"
    RECORDS = "t"
    PRESENCE_BITMAP = "b"


# Number of arguments of each kind except the bitmap, which has its own format.
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
# Kinds whose arguments after the first are member ids.
_KINDS_WITH_MEMBER_IDS = (
    MessageKind.PING_REQUEST,
    MessageKind.INDIRECT_PING,
    MessageKind.INDIRECT_ACK,
)


class Message(NamedTuple):
    """The content of one datagram; `arguments` depend on the kind."""

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
    """Encodes a message with as many of `records`, in order, as fit into `max_bytes`.

    Returns the text and the number of records in it. `relative` writes records relative to the
    sender's where that is shorter.
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
    """Decodes a datagram's text.

    Returns None if it is too long, of another dialect, malformed or out of range.
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
    """Decodes the arguments; raises ValueError if they do not match the kind."""
    if kind is MessageKind.PRESENCE_BITMAP:
        return _decode_bitmap(text, member_count)
    numbers = tuple(number36(part, _NUMBER_SPAN) for part in text.split("-")) if text else ()
    if len(numbers) != ARGUMENT_COUNTS[kind]:
        raise ValueError(f"{kind.name} takes {ARGUMENT_COUNTS[kind]} arguments, got {len(numbers)}")
    if kind in _KINDS_WITH_MEMBER_IDS and any(number >= member_count for number in numbers[1:]):
        raise ValueError(
            f"arguments {text!r}: member id out of range, the fleet has {member_count} members"
        )
    return numbers


@lru_cache(CACHED_RECORDS)
def _encode_record(record: Record) -> str:
    """Encodes one record, preceded by a space."""
    numbers = (record.number, record.incarnation, record.record_version)
    text = f" {'.'.join(map(base36, numbers))}.{record.state}"
    return text + _encode_optional_fields(record.unreachable, record.versions, record.address)


@lru_cache(CACHED_RECORDS)
def _encode_relative(record: Record, incarnation: int, versions: str) -> str:
    """Encodes one record relative to a sender's incarnation and versions, preceded by a space.

    Falls back to the full form unless the relative one is shorter.
    """
    offset = record.incarnation - incarnation
    same_versions = bool(versions) and record.versions == versions
    sign = "-" if offset < 0 else "+"
    numbers = f"{base36(record.number)}.{sign}{base36(abs(offset))}.{base36(record.record_version)}"
    text = f" {numbers}.{record.state}{_SAME_VERSIONS if same_versions else ''}"
    text += _encode_optional_fields(
        record.unreachable, "" if same_versions else record.versions, record.address
    )
    return min(_encode_record(record), text, key=len)


def _encode_optional_fields(unreachable: Sequence[int], versions: str, address: str) -> str:
    """Encodes the fields that most records lack; trailing empty ones are omitted."""
    listed = "-".join(base36(number) for number in unreachable[:MAX_UNREACHABLE])
    return "".join(f".{part}" for part in (listed, versions, address)).rstrip(".")


def _decode_reported(item: str, member_count: int, sender: Record) -> Record:
    """Decodes a record, full or relative to the sender's; raises ValueError if it is malformed."""
    if item[item.find(".") + 1 :].startswith(_SIGNS):
        return _decode_relative(item, member_count, sender.incarnation, sender.versions)
    return _decode_record(item, member_count)


@lru_cache(CACHED_RECORDS)
def _decode_relative(item: str, member_count: int, incarnation: int, versions: str) -> Record:
    number, difference, record_version, state, *rest = item.split(".")
    same_versions = state.endswith(_SAME_VERSIONS)
    if same_versions and (not versions or (len(rest) > 1 and rest[1])):
        raise ValueError(
            f"relative record {item!r}: the sender has no versions, or the record has its own too"
        )
    distance = number36(difference[1:], _INCARNATION_SPAN)
    record_incarnation = incarnation + (-distance if difference[0] == "-" else distance)
    if record_incarnation < 0:
        raise ValueError(f"relative record {item!r}: incarnation {record_incarnation} is negative")
    plain_state = state.removesuffix(_SAME_VERSIONS)
    full = ".".join((number, base36(record_incarnation), record_version, plain_state, *rest))
    record = _decode_record(full, member_count)
    return record._replace(versions=versions) if same_versions else record


@lru_cache(CACHED_RECORDS)
def _decode_record(item: str, member_count: int) -> Record:
    number, incarnation, record_version, state, *rest = item.split(".")
    unreachable: tuple[int, ...] = ()
    if rest and rest[0]:
        unreachable = tuple(number36(part, member_count) for part in rest[0].split("-"))
    versions, address = (*rest[1:], "", "")[:2]
    is_alphanumeric = (versions + address).isascii() and (versions + address + "0").isalnum()
    if (
        len(rest) > 3
        or len(unreachable) > MAX_UNREACHABLE
        or len(versions) > MAX_VERSIONS_BYTES
        or not is_alphanumeric
    ):
        raise ValueError(f"malformed record {item!r}")
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
    """Encodes the bitmap without trailing zero bytes."""
    packed = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    return f"{base36(start)}:{base64.urlsafe_b64encode(packed).decode()}"


def _decode_bitmap(text: str, member_count: int) -> tuple[int, int]:
    """Returns the first member and the bits; raises ValueError unless the bitmap is valid."""
    start, packed = text.split(":")
    try:
        bits = int.from_bytes(base64.b64decode(packed, altchars=b"-_", validate=True), "little")
    except binascii.Error as error:
        raise ValueError(f"malformed bitmap {text!r}") from error
    first = number36(start, member_count)
    if bits.bit_length() > min(BITMAP_SPAN, member_count - first):
        raise ValueError(
            f"bitmap {text!r} exceeds the {member_count} members or {BITMAP_SPAN} bits"
        )
    return first, bits
