"""The entries of an audit record, and their stored form.

A segment is a sequence of entries, each preceded by its length and its checksum, so that a
truncated tail is detected and the entries before it can be read. An entry is a msgpack array: its
fields are stored by position, so that new ones can only be added at the end, with a default.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from zlib import crc32

import msgspec

_LENGTH_BYTES = _CHECKSUM_BYTES = 4
HEADER_BYTES = _LENGTH_BYTES + _CHECKSUM_BYTES  # before an entry
MAX_ENTRY_BYTES = 1 << 16
ACTIVITY_PERIOD_S = 1.0  # covered by an ACTIVITY entry, up to its time


class EntryKind(StrEnum):
    """The kind of an entry; the values are stored."""

    PROGRAM = "program"
    SETTINGS = "settings"
    ENDPOINT_LIST = "list"
    OVERRIDES = "hands"
    VERDICT = "ruling"
    ROLLOUT = "rollout"
    PEER_VERSIONS = "heard"
    ACTIVITY = "second"


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry. The order of the fields is part of the stored form.

    What `version` and the optional fields hold depends on the kind:

    | kind            | version                 | other fields                                 |
    | --------------- | ----------------------- | -------------------------------------------- |
    | `PROGRAM`       | of the program          | `reason`: it began or ended                  |
    | `SETTINGS`      | digest of the settings  | `reason`; `candidate`: they are tried        |
    | `ENDPOINT_LIST` | index of the list       | `reason`, if the index is an older one       |
    | `OVERRIDES`     | digest of the overrides | `hosts`: the disabled ones, each with 1      |
    | `VERDICT`       | a `SettingsState`       | `reason`                                     |
    | `ROLLOUT`       | a `RolloutEvent`        | `reason`                                     |
    | `PEER_VERSIONS` | a peer's, as encoded    | `peer`: the peer, first observed with these  |
    | `ACTIVITY`      | digest of the settings  | for the preceding second: `counts` of        |
    |                 |                         | requests, attempts by `hosts`, `samples` of  |
    |                 |                         | request ids                                  |

    Attributes:
        time: Unix seconds by the writer's clock.
        member: Number of the writer.
        incarnation: Incarnation of the writer; its start in milliseconds.
        serial: Serial number of the entry within the incarnation, from 1.
        kind: Kind of the entry.
        version: See the table.
        reason: Reason in words.
        revision: Revision of the writer's settings at that time.
        peer: Number of another member; -1: none.
        counts: See the table.
        hosts: See the table.
        samples: See the table.
        candidate: See the table.
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
    """Encodes an entry for a segment, with its header."""
    body = msgspec.msgpack.encode(entry)
    header = len(body).to_bytes(_LENGTH_BYTES, "big")
    return header + crc32(body).to_bytes(_CHECKSUM_BYTES, "big") + body


def decode_entries(data: bytes) -> Iterator[AuditEntry | str]:
    """Decodes the entries of a segment; yields a line of text for each that cannot be read.

    Decoding ends at the first entry whose length or checksum is wrong.
    """
    position, decoder = 0, msgspec.msgpack.Decoder[AuditEntry](AuditEntry)
    while position < len(data):
        header = data[position : position + HEADER_BYTES]
        length = int.from_bytes(header[:_LENGTH_BYTES], "big")
        checksum = int.from_bytes(header[_LENGTH_BYTES:], "big")
        body = data[position + HEADER_BYTES : position + HEADER_BYTES + length]
        if len(body) < length or length > MAX_ENTRY_BYTES or crc32(body) != checksum:
            yield f"{len(data) - position} bytes at the end could not be read (damaged)"
            return
        try:
            yield decoder.decode(body)
        except msgspec.DecodeError as error:
            yield f"the entry at byte {position} has an unknown form: {error}"
        position += HEADER_BYTES + length
