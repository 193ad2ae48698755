"""What is known of a member, and the rule that merges two records of one member.

| state | meaning | next states |
| --- | --- | --- |
| joining | started; no peer has answered yet | alive: one answered, or none did in time; suspect |
| alive | answers probes and may admit work | suspect; shut out; left |
| shut out | alive, but admits nothing new: its settings are too old | alive; suspect; left |
| suspect | a probe of it failed | previous state: it refuted; dead: it did not in time; left |
| dead | did not refute, or was never seen | previous state: it refuted; joining: it restarted |
| left | announced that it leaves for good | joining: it restarted |

Only a member itself raises its record version and its incarnation. It refutes a suspicion or a
death with a record of a higher version; a restart begins a higher incarnation. `timing.py` defines
when others consider it suspect or dead.
"""

from __future__ import annotations

import socket
from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple


class MemberState(IntEnum):
    """State of a member. Of two records of the same version, the greater state wins."""

    JOINING = 0
    ALIVE = 1
    SHUT_OUT = 2
    SUSPECT = 3
    DEAD = 4
    LEFT = 5

    @property
    def label(self) -> str:
        """The state as operators read it, such as `shut out`."""
        return self.name.lower().replace("_", " ")


# States of members that may answer.
PRESENT_STATES = (
    MemberState.JOINING,
    MemberState.ALIVE,
    MemberState.SHUT_OUT,
    MemberState.SUSPECT,
)


class Record(NamedTuple):
    """What a member states about itself, or others about it; fields in the order of the merge rule.

    `number` is the member's id and `incarnation` its run (`incarnation.py`). `record_version` grows
    within the incarnation. `unreachable` lists members that it cannot receive from although others
    can. `versions` are those of the settings that it acts on, as written by
    `configuration/versions.py`. `address` is twelve hex digits, or empty where the configuration
    lists the address.
    """

    number: int
    incarnation: int
    record_version: int
    state: MemberState
    unreachable: tuple[int, ...] = ()
    versions: str = ""
    address: str = ""

    def as_dead(self) -> Record:
        """The record of the member considered dead, without fields that apply only while up."""
        return self._replace(state=MemberState.DEAD, unreachable=(), versions="")


def merge(first: Record, second: Record) -> Record:
    """The greater record by incarnation, record version and state, then by the remaining fields.

    The merge is associative, commutative and idempotent, so order, duplication and loss of records
    do not affect the result.
    """
    return max(first, second)


def pack_address(host: str, port: int) -> str:
    """Encodes an IPv4 address and a port as twelve hex digits."""
    return socket.inet_aton(host).hex() + f"{port:04x}"


def unpack_address(text: str) -> tuple[str, int]:
    """Returns the host and port of a packed address; raises ValueError if it is malformed."""
    if len(text) != 12:
        raise ValueError(f"packed address must have 12 hex digits, got {text!r}")
    return socket.inet_ntoa(bytes.fromhex(text[:8])), int(text[8:], 16)


def fingerprint(record: Record) -> int:
    """A 64-bit hash of the fields that the merge rule compares first."""
    text = f"{record.number}.{record.incarnation}.{record.record_version}.{record.state}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
