"""The view's datagrams: values to at most 256 bytes of text and back.

Translation only; knows no rule and no socket.

    v1p 3.9k2jd01xa.2.1.1f.abcde 7 5.9k2jd00aa.0.2 ...

Dialect and kind; the sender's number, incarnation, turn, state, the message's serial and the digest
of the sender's table; what the kind needs; records. Numbers are base 36. A message that any part of
is not so is none.

A record may be written relative to the sender's, ` 5.+1ab.0.2=`: how much later its incarnation
began (or `-`, earlier), and `=` behind the state where its versions are the sender's. Most of a
fleet began within days of each other and acts on the same versions, so that a datagram holds twice
to three times as many.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Sequence
from functools import lru_cache
from typing import NamedTuple

from hazelhollow.decisions.gossip.codec import base36, number36
from hazelhollow.membership.records import BUCKETS, SUM_RANGE, MemberState, Record, unpack_address

DIALECT = "v1"
MOST_BYTES = 256
MOST_UNHEARD = 8  # members named in one record; the rest are left out
MAX_VERSIONS_BYTES = 24  # bytes
SAME, SIGNS = (
    "=",
    ("+", "-"),
)  # of relative records: the sender's versions; before what their incarnations are apart by
KEPT = 4096  # records whose words are known both ways: most that come have come before
PING, ANSWER = "p", "a"
# of a helper; by it to the target; its answer, by way of the helper
ASK, INDIRECT, RELAYED = "q", "i", "j"
SUMS, PIECE = "s", "t"  # of a table's buckets; records that the other's table lacks
BITS = "b"  # who is there, as a bitmap: the first member's number and BITS_SPAN bits
BITS_SPAN = 1008  # members in one bitmap: 168 characters
_PARTS = {
    PING: 1,
    ANSWER: 1,
    ASK: 2,
    INDIRECT: 2,
    RELAYED: 3,
    SUMS: BUCKETS,
    PIECE: 0,
}  # numbers that a kind needs
_MOST_LIFE = 36**12
_MOST = 36**7


class Message(NamedTuple):
    """`parts`: PING, ANSWER: the probe's number.

    ASK: that and the target. INDIRECT: that and the asker. RELAYED: that, the asker and the target.
    SUMS: one a bucket. BITS: the first member, and the bitmap, whose lowest bit is that member's.
    """

    kind: str
    sender: Record
    serial: int
    digest: int
    parts: tuple[int, ...] = ()
    records: tuple[Record, ...] = ()


@lru_cache(KEPT)
def record_word(record: Record) -> str:
    """One record, with the space before it."""
    numbers = (record.number, record.incarnation, record.record_version)
    text = f" {'.'.join(map(base36, numbers))}.{record.state}"
    return text + _tail(record.unreachable, record.versions, record.address)


def _tail(unheard: Sequence[int], versions: str, address: str) -> str:
    """The parts that most records lack; empty ones stand only before others."""
    parts = "-".join(base36(n) for n in unheard[:MOST_UNHEARD]), versions, address
    return "".join(f".{part}" for part in parts).rstrip(".")


@lru_cache(KEPT)
def relative_word(record: Record, incarnation: int, versions: str) -> str:
    """One record, with the space before it, for a reader who knows the sender's incarnation and
    versions.

    The full word where that is not longer.
    """
    apart, same = record.incarnation - incarnation, bool(versions) and record.versions == versions
    sign = "-" if apart < 0 else "+"
    state = f"{record.state}{SAME if same else ''}"
    numbers = f"{base36(record.number)}.{sign}{base36(abs(apart))}.{base36(record.record_version)}"
    text = f" {numbers}.{state}"
    text += _tail(record.unreachable, "" if same else record.versions, record.address)
    return min(record_word(record), text, key=len)


def write(
    message: Message, records: Sequence[Record], most: int = MOST_BYTES, relative: bool = False
) -> tuple[str, int]:
    """The text with as many of the records, in their order.

    As fit into so many bytes, and their number. `relative`: records are written relative to the
    sender's.
    """
    own = record_word(message.sender)[1:]
    line = f"{DIALECT}{message.kind} {own}/{base36(message.serial)}/{base36(message.digest)} "
    line += (
        _bits_word(*message.parts) if message.kind == BITS else "-".join(map(base36, message.parts))
    )
    for number, record in enumerate(records):
        word = (
            relative_word(record, message.sender.incarnation, message.sender.versions)
            if relative
            else record_word(record)
        )
        if len(line) + len(word) > most:
            return line, number
        line += word
    return line, len(records)


def read(text: str, members: int) -> Message | None:
    """The message.

    Nothing where any part of it cannot be: too long, of another dialect, garbled, out of range.
    """
    try:
        head, own, parts, *records = text.split(" ")
        sender, serial, digest = own.split("/")
        kind = head[len(DIALECT) :]
        if len(text) > MOST_BYTES or not head.startswith(DIALECT) or kind not in (*_PARTS, BITS):
            return None
        numbers: tuple[int, ...]
        if kind == BITS:
            numbers = _bits(parts, members)
        else:
            numbers = tuple(number36(part, _MOST) for part in parts.split("-")) if parts else ()
        if kind != BITS and len(numbers) != _PARTS[kind]:
            return None
        if kind in (ASK, INDIRECT, RELAYED) and any(n >= members for n in numbers[1:]):
            return None
        message = Message(
            kind,
            _record(sender, members),
            number36(serial, _MOST),
            number36(digest, SUM_RANGE),
            numbers,
        )
        return message._replace(
            records=tuple([_told(word, members, message.sender) for word in records])
        )
    except (ValueError, KeyError):
        return None


def _told(word: str, members: int, sender: Record) -> Record:
    """A record that a message tells of. Raises ValueError for what is none."""
    if word[word.find(".") + 1 :].startswith(SIGNS):
        return _relative_record(word, members, sender.incarnation, sender.versions)
    return _record(word, members)


@lru_cache(KEPT)
def _relative_record(word: str, members: int, incarnation: int, versions: str) -> Record:
    number, apart, turn, state, *rest = word.split(".")
    same = state.endswith(SAME)
    if same and (not versions or (len(rest) > 1 and rest[1])):
        raise ValueError(word)  # the sender's are none, or others stand there too
    began = incarnation + (-1 if apart[0] == "-" else 1) * number36(apart[1:], _MOST_LIFE)
    if began < 0:
        raise ValueError(word)
    plain = ".".join((number, base36(began), turn, state.removesuffix(SAME), *rest))
    record = _record(plain, members)
    return record._replace(versions=versions) if same else record


@lru_cache(KEPT)
def _record(word: str, members: int) -> Record:
    number, incarnation, turn, state, *rest = word.split(".")
    unheard = tuple(number36(n, members) for n in rest[0].split("-")) if rest and rest[0] else ()
    versions, address = (*rest[1:], "", "")[:2]
    plain = (versions + address).isascii() and (versions + address + "0").isalnum()
    if (
        len(rest) > 3
        or len(unheard) > MOST_UNHEARD
        or len(versions) > MAX_VERSIONS_BYTES
        or not plain
    ):
        raise ValueError(word)
    if address:
        unpack_address(address)
    return Record(
        number36(number, members),
        number36(incarnation, _MOST_LIFE),
        number36(turn, _MOST),
        MemberState(number36(state, len(MemberState))),
        unheard,
        versions,
        address,
    )


def _bits_word(start: int, bits: int) -> str:
    """The bitmap without the zeros at its end."""
    packed = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    return f"{base36(start)}:{base64.urlsafe_b64encode(packed).decode()}"


def _bits(text: str, members: int) -> tuple[int, int]:
    """Raises ValueError for what is no bitmap of these members."""
    start, packed = text.split(":")
    try:
        bits = int.from_bytes(base64.b64decode(packed, altchars=b"-_", validate=True), "little")
    except binascii.Error as error:
        raise ValueError(text) from error
    first = number36(start, members)
    if bits.bit_length() > min(BITS_SPAN, members - first):
        raise ValueError(text)
    return first, bits
