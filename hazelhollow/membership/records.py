"""What is known of a member, and the rule by which two records of one member become one.

| state | meaning | becomes |
| --- | --- | --- |
| joining | started; no peer has answered yet | alive: one answered, or none did in time; suspect |
| alive | answers probes and may admit work | suspect; shut out; left |
| shut out | alive, but admits nothing new: its settings are too old | alive; suspect; left |
| suspect | a probe of it failed | as before: it refuted; dead: it did not in time; left |
| dead | did not refute, or was never heard of | as before: it refuted; joining: it started again |
| left | said that it goes for good | joining: it started again |

Only a member itself raises its record version and its incarnation. It refutes a suspicion or a
death by a record of a higher version; a restart begins a higher incarnation. `timing.py` says when
others hold it suspect or dead.
"""

from __future__ import annotations

import socket
from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple


class MemberState(IntEnum):
    """State of a member. Of two records of one version the one with the greater state holds."""

    JOINING = 0
    ALIVE = 1
    SHUT_OUT = 2
    SUSPECT = 3
    DEAD = 4
    LEFT = 5

    @property
    def label(self) -> str:
        """As operators read it, such as `shut out`."""
        return self.name.lower().replace("_", " ")


# Of members that may answer.
PRESENT_STATES = (
    MemberState.JOINING,
    MemberState.ALIVE,
    MemberState.SHUT_OUT,
    MemberState.SUSPECT,
)


class Record(NamedTuple):
    """What a member says of itself, or others of it. The order of the fields is the merge rule's.

    `number`: the member's id. `incarnation`: its run (`incarnation.py`). `record_version`: grows
    within the incarnation. `unreachable`: members that it cannot hear though others can.
    `versions`: of the settings that it acts on, as `configuration/versions.py` writes them.
    `address`: twelve hex digits, empty where the configuration lists it.
    """

    number: int
    incarnation: int
    record_version: int
    state: MemberState
    unreachable: tuple[int, ...] = ()
    versions: str = ""
    address: str = ""

    def as_dead(self) -> Record:
        """The same member considered dead, without what matters of one that is there only."""
        return self._replace(state=MemberState.DEAD, unreachable=(), versions="")


def merge(first: Record, second: Record) -> Record:
    """The greater by incarnation, record version and state, then the remaining fields.

    Associative, commutative and idempotent: order, duplication and loss of records cannot matter.
    """
    return max(first, second)


def pack_address(host: str, port: int) -> str:
    """An IPv4 address and port as twelve hex digits."""
    return socket.inet_aton(host).hex() + f"{port:04x}"


def unpack_address(text: str) -> tuple[str, int]:
    """Host and port. Raises ValueError for what is no packed address."""
    if len(text) != 12:
        raise ValueError(f"an address has 12 hex digits, not {text!r}")
    return socket.inet_ntoa(bytes.fromhex(text[:8])), int(text[8:], 16)


def fingerprint(record: Record) -> int:
    """64 bits that differ for records that differ in what the merge rule compares first."""
    text = f"{record.number}.{record.incarnation}.{record.record_version}.{record.state}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
