"""The versions that a limiter acts on, and their compact encoding in its membership record.

An example and its parts:

    i4pz002k3f9005wa1cz0q13b        (i 4pz 002 k3f9 005w a1c z0q1 3b)

    gossip dialect, program, revision, settings, endpoint list, discovery, administrative
    overrides; and while it tries settings as a canary, the number of canaries and the phase

An earlier release without canary rollouts ignores the longer form, and so never follows a canary.
The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

from hazelhollow.decisions.gossip.codec import base36

# Characters of each part, in order.
_DIALECT, _PROGRAM, _REVISION, _SETTINGS, _LIST, _DISCOVERY, _OVERRIDES = 1, 3, 3, 4, 4, 3, 4
_WIDTHS = (_DIALECT, _PROGRAM, _REVISION, _SETTINGS, _LIST, _DISCOVERY, _OVERRIDES)
ENCODED_LENGTH = sum(_WIDTHS)  # characters, without a candidate
CANDIDATE_LENGTH = 2  # additional characters with a candidate
MAX_REVISION: int = 36**_REVISION - 1
MAX_CANARIES = 35  # members; one character
_LIST_INDEX_MODULUS: int = 36**_LIST  # the announced index of the endpoint list is modulo this
LIMITER_FIELDS = ("position", "zone")  # settings that each limiter has for itself


class Phase(StrEnum):
    """The phase of settings that canaries try; the values are the encoded form."""

    BAKING = "b"
    HELD = "h"


class Candidate(NamedTuple):
    """Settings that are tried: the number of canaries and the phase."""

    canaries: int
    phase: Phase


class Versions(NamedTuple):
    """The versions that one member acts on.

    Attributes:
        dialect: Dialect of its gossip.
        program: Digest of the program's version.
        revision: The operator's number of the settings; newer settings have a greater one.
        settings: Digest of the settings.
        list_index: Discovery's index of the endpoint list, modulo 36**4.
        discovery: Digest of discovery's address.
        overrides: Digest of the hosts that operators have disabled.
        candidate: Set while the settings are tried and not in force for all.
    """

    dialect: str
    program: str
    revision: int
    settings: str
    list_index: int = 0
    discovery: str = "000"
    overrides: str = "0000"
    candidate: Candidate | None = None


def digest(value: Any, width: int) -> str:
    """Returns a digest of a JSON value in `width` characters, independent of field order."""
    data = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    number = int.from_bytes(blake2b(data, digest_size=8).digest(), "big") % 36**width
    return base36(number).rjust(width, "0")


def settings_digest(document: Mapping[str, Any]) -> str:
    """Returns the digest of a settings document without the fields in LIMITER_FIELDS."""
    return digest(shared_settings(document), _SETTINGS)


def program_digest(version: str) -> str:
    """Returns the digest of a program's version."""
    return digest(version, _PROGRAM)


def discovery_digest(address: str) -> str:
    """Returns the digest of discovery's address."""
    return digest(address, _DISCOVERY)


def overrides_digest(hosts: set[str]) -> str:
    """Returns the digest of the hosts that operators have disabled."""
    return digest(sorted(hosts), _OVERRIDES)


def bounded_list_index(index: int) -> int:
    """Returns the index of the endpoint list, reduced to the range that `Versions` can hold."""
    return index % _LIST_INDEX_MODULUS


def shared_settings(document: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the settings without the fields in LIMITER_FIELDS."""
    return {name: value for name, value in document.items() if name not in LIMITER_FIELDS}


def encode(versions: Versions) -> str:
    """Encodes versions for the membership record; numbers too long for their part are bounded."""
    parts = (
        versions.dialect,
        versions.program,
        base36(min(versions.revision, MAX_REVISION)),
        versions.settings,
        base36(bounded_list_index(versions.list_index)),
        versions.discovery,
        versions.overrides,
    )
    text = "".join(part.rjust(width, "0") for part, width in zip(parts, _WIDTHS, strict=True))
    if versions.candidate:
        canaries = base36(min(versions.candidate.canaries, MAX_CANARIES))
        text += canaries + versions.candidate.phase
    return text


def decode(text: str) -> Versions | None:
    """Decodes the output of `encode`; None for other text, such as a later release's."""
    if len(text) not in (ENCODED_LENGTH, ENCODED_LENGTH + CANDIDATE_LENGTH):
        return None
    if not (text.isascii() and text.isalnum() and text == text.lower()):
        return None
    candidate = None
    if len(text) > ENCODED_LENGTH:
        candidate = _decode_candidate(text[ENCODED_LENGTH], text[ENCODED_LENGTH + 1])
        if candidate is None:
            return None
    parts, start = list[str](), 0
    for width in _WIDTHS:
        parts.append(text[start : start + width])
        start += width
    dialect, program, revision, settings, list_index, discovery, overrides = parts
    return Versions(
        dialect,
        program,
        int(revision, 36),
        settings,
        int(list_index, 36),
        discovery,
        overrides,
        candidate,
    )


def _decode_candidate(canaries: str, phase: str) -> Candidate | None:
    if phase not in tuple(Phase) or canaries == "0":
        return None
    return Candidate(int(canaries, 36), Phase(phase))
