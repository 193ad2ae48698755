"""What a limiter acts on, in the few characters that ride with its record in the view. No I/O.

Example, and what each part of it is:

- `i 4pz 002 k3f9 005w a1c z0q1 3b`
- dialect, program, order, settings, list, discovery, hosts by hand; of settings that are tried
  first, the number of members that are
  to try them and the phase. A program that knows of no candidates leaves versions of that length
    out, and so never follows one.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

from hazelhollow.decisions.gossip.codec import base36

_WIDTHS = (1, 3, 3, 4, 4, 3, 4)
LENGTH = sum(_WIDTHS)
MOST_ORDER = 36**3 - 1
OWN = ("position", "zone")  # of the settings: what is each limiter's own
CANDIDATE_LENGTH = 2
MOST_CANARIES = 35


class Phase(StrEnum):
    """Of settings that some members try before all act on them."""

    BAKING = "b"
    HELD = "h"


class Candidate(NamedTuple):
    """`canaries`: members that are to try the settings."""

    canaries: int
    phase: Phase


class Versions(NamedTuple):
    """`order`.

    The operator's number of the settings; `listed`: discovery's index of the list, modulo 36**4;
    the others are digests. `dialect`: of the gossip. `candidate`: where the settings are tried, and
    not in force for all.
    """

    dialect: str
    program: str
    order: int
    settings: str
    listed: int = 0
    discovery: str = "000"
    hands: str = "0000"
    candidate: Candidate | None = None


def digest(value: Any, width: int) -> str:
    """Of anything that JSON can hold, whatever the order of its names."""
    data = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    number = int.from_bytes(blake2b(data, digest_size=8).digest(), "big") % 36**width
    return base36(number).rjust(width, "0")


def settings_digest(document: Mapping[str, Any]) -> str:
    """Of the `settings` of a configuration, without what is each limiter's own."""
    return digest(common(document), _WIDTHS[3])


def common(document: Mapping[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in document.items() if name not in OWN}


def write(one: Versions) -> str:
    numbers = base36(min(one.order, MOST_ORDER)), base36(one.listed % 36**4)
    parts = (
        one.dialect,
        one.program,
        numbers[0],
        one.settings,
        numbers[1],
        one.discovery,
        one.hands,
    )
    text = "".join(part.rjust(width, "0") for part, width in zip(parts, _WIDTHS, strict=True))
    if one.candidate:
        text += base36(min(one.candidate.canaries, MOST_CANARIES)) + one.candidate.phase
    return text


def read(text: str) -> Versions | None:
    """Nothing for what is none, or is a later program's and longer."""
    if len(text) not in (LENGTH, LENGTH + CANDIDATE_LENGTH):
        return None
    if not (text.isascii() and text.isalnum() and text == text.lower()):
        return None
    candidate = None
    if len(text) > LENGTH:
        candidate = _read_candidate(text[LENGTH], text[LENGTH + 1])
        if candidate is None:
            return None
    parts, at = list[str](), 0
    for width in _WIDTHS:
        parts.append(text[at : at + width])
        at += width
    order, listed = int(parts[2], 36), int(parts[4], 36)
    return Versions(parts[0], parts[1], order, parts[3], listed, parts[5], parts[6], candidate)


def _read_candidate(canaries: str, phase: str) -> Candidate | None:
    if phase not in tuple(Phase) or canaries == "0":
        return None
    return Candidate(int(canaries, 36), Phase(phase))
