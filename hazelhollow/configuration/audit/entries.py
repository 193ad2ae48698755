"""The entries of an audit record, and their stored form.

A segment is a row of entries, each behind its length and its checksum, so that a torn tail is
noticed and what stands before it can be read. An entry is a msgpack array: its fields are stored by
position, so that new ones can only be added at the end, with a default.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from zlib import crc32

import msgspec

_LENGTH_BYTES = _CHECKSUM_BYTES = 4
HEADER_BYTES = _LENGTH_BYTES + _CHECKSUM_BYTES  # before an entry
MAX_ENTRY_BYTES = 1 << 16
ACTIVITY_PERIOD_S = 1.0  # that an ACTIVITY entry covers, up to its time


class EntryKind(StrEnum):
    """What an entry tells; the values are the stored words."""

    PROGRAM = "program"
    SETTINGS = "settings"
    ENDPOINT_LIST = "list"
    OVERRIDES = "hands"
    VERDICT = "ruling"
    ROLLOUT = "rollout"
    PEER_VERSIONS = "heard"
    ACTIVITY = "second"


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry. The order of the fields is the stored form.

    What `version` and the optional fields hold depends on the kind:

    | kind            | version                 | other fields                                 |
    | --------------- | ----------------------- | -------------------------------------------- |
    | `PROGRAM`       | of the program          | `reason`: it began or ended                  |
    | `SETTINGS`      | digest of the settings  | `reason`; `candidate`: they are tried        |
    | `ENDPOINT_LIST` | index of the list       | `reason`, if the index is an older one       |
    | `OVERRIDES`     | digest of the overrides | `hosts`: the disabled ones, each with 1      |
    | `VERDICT`       | a `SettingsState`       | `reason`                                     |
    | `ROLLOUT`       | a `RolloutEvent`        | `reason`                                     |
    | `PEER_VERSIONS` | a peer's, as encoded    | `peer`: whose, heard of for the first time   |
    | `ACTIVITY`      | digest of the settings  | of the second before: `counts` of requests,  |
    |                 |                         | attempts by `hosts`, `samples` of requests   |

    Attributes:
        time: Unix seconds by the writer's clock.
        member: the writer.
        incarnation: of the writer; its start in milliseconds.
        serial: of the entry within the incarnation, from 1.
        kind: what it tells.
        version: see the table.
        reason: in words.
        revision: of the writer's settings at that time.
        peer: another member; -1: none.
        counts: see the table.
        hosts: see the table.
        samples: see the table.
        candidate: see the table.
    """

    time: float
    member: int
    incarnation: int
    serial: int
    kind: EntryKind
    version: str
    reason: str = ""
    revision: int = 0
    peer: int = -1
    counts: dict[str, int] = {}
    hosts: dict[str, int] = {}
    samples: list[str] = []
    candidate: bool = False


def encode_entry(entry: AuditEntry) -> bytes:
    """The entry as it stands in a segment, with its header."""
    body = msgspec.msgpack.encode(entry)
    header = len(body).to_bytes(_LENGTH_BYTES, "big")
    return header + crc32(body).to_bytes(_CHECKSUM_BYTES, "big") + body


def decode_entries(data: bytes) -> Iterator[AuditEntry | str]:
    """The entries of a segment, with a line in the place of each that could not be read.

    Nothing is read behind the first one whose length or checksum is wrong.
    """
    position, decoder = 0, msgspec.msgpack.Decoder[AuditEntry](AuditEntry)
    while position < len(data):
        header = data[position : position + HEADER_BYTES]
        length = int.from_bytes(header[:_LENGTH_BYTES], "big")
        checksum = int.from_bytes(header[_LENGTH_BYTES:], "big")
        body = data[position + HEADER_BYTES : position + HEADER_BYTES + length]
        if len(body) < length or length > MAX_ENTRY_BYTES or crc32(body) != checksum:
            yield f"{len(data) - position} bytes at the end could not be read"
            return
        try:
            yield decoder.decode(body)
        except msgspec.DecodeError as error:
            yield f"an entry at byte {position} is of another form: {error}"
        position += HEADER_BYTES + length
