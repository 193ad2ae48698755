"""The versions that a limiter acts on, in the few characters that ride with its membership record.

Example, and what each part of it is:

    i4pz002k3f9005wa1cz0q13b        (i 4pz 002 k3f9 005w a1c z0q1 3b)

    gossip dialect, program, revision, settings, endpoint list, discovery, administrative
    overrides; and while it tries settings as a canary, the number of canaries and the phase

A program that knows of no canaries ignores text of the longer form, and so never follows one.
No I/O.
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
CANDIDATE_LENGTH = 2  # characters more
MAX_REVISION: int = 36**_REVISION - 1
MAX_CANARIES = 35  # members; one character
_LIST_INDEXES: int = 36**_LIST  # the index of the list is told modulo this
LIMITER_FIELDS = ("position", "zone")  # of the settings: those that differ from limiter to limiter


class Phase(StrEnum):
    """Of settings that canaries try before all members act on them; as they are encoded."""

    BAKING = "b"
    HELD = "h"


class Candidate(NamedTuple):
    """Settings that are tried: how many members are to be canaries, and the phase."""

    canaries: int
    phase: Phase


class Versions(NamedTuple):
    """What one member acts on.

    Attributes:
        dialect: of its gossip.
        program: digest of the program's version.
        revision: the operator's number of the settings; newer is greater.
        settings: digest of the settings.
        list_index: discovery's index of the endpoint list, modulo 36**4.
        discovery: digest of discovery's address.
        overrides: digest of the hosts that operators have disabled.
        candidate: set while the settings are tried, and not in force for all.
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
    """`width` characters that stand for a JSON value, whatever the order of its fields."""
    data = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    number = int.from_bytes(blake2b(data, digest_size=8).digest(), "big") % 36**width
    return base36(number).rjust(width, "0")


def settings_digest(document: Mapping[str, Any]) -> str:
    """The digest of a settings document, without the fields that are each limiter's own."""
    return digest(shared_settings(document), _SETTINGS)


def program_digest(version: str) -> str:
    """The digest of a program's version."""
    return digest(version, _PROGRAM)


def discovery_digest(address: str) -> str:
    """The digest of discovery's address."""
    return digest(address, _DISCOVERY)


def overrides_digest(hosts: set[str]) -> str:
    """The digest of the hosts that operators have disabled."""
    return digest(sorted(hosts), _OVERRIDES)


def bounded_list_index(index: int) -> int:
    """The index of the endpoint list, as `Versions` has room for it."""
    return index % _LIST_INDEXES


def shared_settings(document: Mapping[str, Any]) -> dict[str, Any]:
    """The settings without the fields that are each limiter's own."""
    return {name: value for name, value in document.items() if name not in LIMITER_FIELDS}


def encode(versions: Versions) -> str:
    """The text that rides with the membership record; numbers beyond their width are bounded."""
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
    """Reads what `encode` wrote; None for anything else, such as a later program's longer text."""
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
