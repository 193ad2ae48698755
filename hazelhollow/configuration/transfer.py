"""The settings document from one member to another, in datagrams. No I/O, no clock.

    d1q 002 0-1-2                 asks for order 2, pieces 0, 1 and 2 (none named: the first, which
      says how many there are)
    d1q 002 0-1-2 a0x1            the same of its difference from the settings whose digest is a0x1
    d1g 002 k3f9 3-12 TEXT        piece 3 of 12 of order 2, whose digest is k3f9
    d1g 002 k3f9 0-1 TEXT a0x1    piece 0 of 1 of its difference from those settings
    d1n 002 a0x1                  no difference from those can be given

What travels is compressed, as base64. A document is taken when all pieces are there and its digest
is the one that the view told. Who acts on older settings asks for the difference from them first,
and for the whole document where nobody gives one.
"""

from __future__ import annotations

import base64
import binascii
import random
import zlib
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import orjson

from hazelhollow.configuration.difference import apply
from hazelhollow.configuration.history import History
from hazelhollow.configuration.slices import Comparison, Packing, finished
from hazelhollow.configuration.versions import MOST_ORDER, common, settings_digest
from hazelhollow.decisions.gossip.codec import base36, number36

DIALECT = "d1"
ASK, GIVE, NO_DIFFERENCE = "q", "g", "n"
PIECE = 160  # characters of text in a datagram
MOST_PIECES = 2048
MOST_DOCUMENT = 4 << 20  # bytes, whatever the compressed text says
AT_ONCE = 16  # pieces asked for, and given, at once
FEW = 4  # pieces asked for at once of one member, where a budget bounds what each gives
# members that can give no difference, after which the whole document is asked for
MOST_REFUSALS = 3
MOST_UNANSWERED = 6  # asks in a row for a difference that nobody answered, after which it is too
# seconds after which the first piece, which tells of how many, is asked for again
FIRST_AGAIN_AFTER = 1.0
# seconds after which a piece of a difference, which has few, is asked for again
DIFFERENCE_AGAIN_AFTER = 1.0
AGAIN_AFTER = 3.0  # seconds after which a piece that was asked for so is asked for again


class Asked(NamedTuple):
    """`base`.

    The digest of the settings from which the difference is asked for; nothing: the whole document.
    """

    order: int
    pieces: tuple[int, ...]
    base: str = ""


class Given(NamedTuple):
    order: int
    digest: str
    piece: int
    total: int
    text: str
    base: str = ""


class NoDifference(NamedTuple):
    order: int
    base: str


class Base(NamedTuple):
    """Settings that a member acts on, or has acted on."""

    digest: str
    document: Mapping[str, Any]


def ask(order: int, pieces: Sequence[int], base: str = "") -> str:
    wanted = "-".join(base36(n) for n in pieces[:AT_ONCE])
    return f"{DIALECT}{ASK} {base36(order)} {wanted}" + (f" {base}" if base else "")


def give(one: Given) -> str:
    place = f"{base36(one.piece)}-{base36(one.total)}"
    text = f"{DIALECT}{GIVE} {base36(one.order)} {one.digest} {place} {one.text}"
    return text + (f" {one.base}" if one.base else "")


def give_no_difference(one: NoDifference) -> str:
    return f"{DIALECT}{NO_DIFFERENCE} {base36(one.order)} {one.base}"


def read(text: str) -> Asked | Given | NoDifference | None:
    """Nothing where any part of it cannot be."""
    try:
        first, order_text, *rest = text.split(" ")
        order = number36(order_text, MOST_ORDER + 1)
        if first == DIALECT + ASK and len(rest) in (1, 2):
            return _read_asked(order, *rest)
        if first == DIALECT + GIVE and len(rest) in (3, 4):
            return _read_given(order, *rest)
        if first == DIALECT + NO_DIFFERENCE and len(rest) == 1 and rest[0].isalnum():
            return NoDifference(order, rest[0])
    except ValueError:
        pass
    return None


def _read_asked(order: int, wanted: str, base: str = "") -> Asked | None:
    pieces = tuple(number36(part, MOST_ORDER + 1) for part in wanted.split("-")) if wanted else ()
    return Asked(order, pieces, base) if len(pieces) <= AT_ONCE and _digest_or_none(base) else None


def _read_given(order: int, digest: str, place: str, text: str, base: str = "") -> Given | None:
    piece, total = (number36(part, MOST_ORDER + 1) for part in place.split("-"))
    sound = (
        piece < total <= MOST_PIECES
        and len(text) <= PIECE
        and digest.isalnum()
        and _digest_or_none(base)
    )
    return Given(order, digest, piece, total, text, base) if sound else None


def _digest_or_none(text: str) -> bool:
    return not text or (text.isalnum() and text.isascii())


def _unpack(text: str) -> Any:
    """Nothing for what is none."""
    try:
        unpacked = zlib.decompressobj().decompress(
            base64.b64decode(text, validate=True), MOST_DOCUMENT
        )
        return orjson.loads(unpacked)
    except (binascii.Error, zlib.error, orjson.JSONDecodeError):
        return None


class _Making:
    """A text that is given, on its way to pieces.

    Of a whole document, or of the difference from a base.
    """

    def __init__(self, document: Mapping[str, Any], base: Mapping[str, Any] | None = None) -> None:
        self._document = document
        self._comparison = Comparison(base, document) if base is not None else None
        self._packing = Packing(document, PIECE) if base is None else None

    def step(self) -> bool:
        if self._packing is None:
            assert self._comparison is not None
            if self._comparison.step():
                self._packing = Packing(self._comparison.changes, PIECE)
            return False
        return self._packing.step()

    def pieces(self) -> list[str]:
        """None of a difference that is as long as the document, but where one datagram holds it."""
        pieces = self._packing.pieces if self._packing else []
        return [] if len(pieces) > 1 and self._is_long() else pieces

    def _is_long(self) -> bool:
        if self._comparison is None:
            return False
        return len(orjson.dumps(self._comparison.changes)) >= len(orjson.dumps(self._document))


class Giver:
    """One document, cut up.

    And the difference from earlier ones that `history` knows, each made in slices when it is asked
    for first. All that know both documents make the same pieces.
    """

    def __init__(
        self,
        order: int,
        document: Mapping[str, Any],
        history: History | None = None,
        digest: str = "",
    ) -> None:
        """`digest`: the document's, where it is known already."""
        self.order, self.digest = order, digest or settings_digest(document)
        self._common, self._history = common(document), history or History()
        self._made: dict[str, list[str]] = {}  # pieces by base; of the whole document under no name
        self._making: dict[str, _Making] = {}

    def step(self) -> bool:
        """Does a part of what is to be made; whether all is done."""
        if not self._history.step():
            return False
        for base, making in list(self._making.items())[:1]:
            if making.step():
                del self._making[base]
                self._made[base] = making.pieces()
        return not self._making

    def ready(self, asked: Asked) -> bool:
        """Whether it can be answered now; else its making has begun."""
        if asked.order != self.order or asked.base in self._made:
            return True
        if asked.base in self._making or (asked.base and not self._history.worked_out()):
            return False
        base = self._history.document(asked.base) if asked.base else None
        if asked.base and base is None:
            return True
        self._making[asked.base] = _Making(self._common, base)
        return False

    def whole(self) -> list[str]:
        """The pieces of the whole document, made at once: for tools, which have no event loop."""
        self.answer_at_once(Asked(self.order, ()))
        return self._made[""]

    def answer_at_once(self, asked: Asked) -> list[str]:
        """Makes what is asked for first, as `whole` does."""
        while not self.ready(asked):
            finished(self)
        return self.answer(asked)

    def answer(self, asked: Asked) -> list[str]:
        """To an ask that is ready."""
        if asked.order != self.order:
            return []
        texts = self._made.get(asked.base, [])
        if len(texts) > MOST_PIECES or (asked.base and not texts):
            return [give_no_difference(NoDifference(asked.order, asked.base))] if asked.base else []
        wanted = [n for n in asked.pieces or (0,) if n < len(texts)]
        return [
            give(Given(self.order, self.digest, n, len(texts), texts[n], asked.base))
            for n in wanted
        ]


class _Pieces:
    """One text on its way here: of the whole document, or, from that base, of the difference."""

    def __init__(self, order: int, digest: str, base: str, again_after: float) -> None:
        self._order, self._digest, self._base, self._again_after = order, digest, base, again_after
        self._texts: dict[int, str] = {}
        self._asked: dict[int, float] = {}  # when each piece was asked for last
        self._total = self._last = 0

    def wants(self) -> str:
        missing = [n for n in range(self._total) if n not in self._texts][:AT_ONCE]
        self._last = missing[-1] if missing else 0
        return ask(self._order, missing, self._base)

    def wants_few(self, chance: random.Random, now: float) -> str | None:
        """Some missing pieces by chance, none of them asked for lately.

        So that members that lack the same give each other what they have. Nothing while all are on
        their way.
        """
        places = [n for n in range(self._total) if n not in self._texts] if self._total else [0]
        again_after = self._again_after if self._total else FIRST_AGAIN_AFTER
        due = [n for n in places if now - self._asked.get(n, -again_after) >= again_after]
        if not due:
            return None
        wanted = chance.sample(due, min(FEW, len(due)))
        self._asked.update(dict.fromkeys(wanted, now))
        return ask(self._order, sorted(wanted), self._base)

    def short(self) -> bool:
        """Whether it may be so short that who has it gives it to many."""
        return self._total <= FEW

    def answer(self, asked: Asked) -> list[str]:
        """What is here, though it is not whole."""
        wanted = [n for n in asked.pieces if n in self._texts]
        return [
            give(Given(self._order, self._digest, n, self._total, self._texts[n], self._base))
            for n in wanted
        ]

    def due(self, given: Given) -> bool:
        """Whether that piece ended what was asked for last, so that more can be asked for."""
        return given.piece == self._last

    def put(self, given: Given) -> bool:
        """Whether all pieces are there now. Those that cannot be of it are left."""
        if self._total and given.total != self._total:
            return False
        self._total = given.total
        self._texts[given.piece] = given.text
        return len(self._texts) == self._total

    def unpacked(self) -> Any:
        """What the whole text holds; nothing where it cannot be read."""
        return _unpack("".join(self._texts[n] for n in range(self._total)))


class Taker:
    """One document on its way here, whoever gives it.

    `base`: what this member acts on, so that the difference will do.

    It asks for the difference as long as there is a member that may give it, and for the whole
    document meanwhile of those that cannot: the first that has taken the whole can give the others
    the difference.
    """

    def __init__(self, order: int, digest: str, base: Base | None = None) -> None:
        self.order, self.digest, self._base = order, digest, base
        self._unanswered = 0  # asks for the difference in a row
        self._refused = set[int]()  # members that can give no difference
        self._whole = _Pieces(order, digest, "", AGAIN_AFTER)
        self._difference = _Pieces(order, digest, self.base, DIFFERENCE_AGAIN_AFTER)

    @property
    def base(self) -> str:
        """The digest of the settings from which it takes the difference.

        Nothing once it takes the whole alone.
        """
        return self._base.digest if self._base else ""

    def may_differ(self, givers: Sequence[int]) -> list[int]:
        """Those of whom the difference can be asked for.

        None once it was asked for so often without an answer.
        """
        if self._base is None or self._unanswered >= MOST_UNANSWERED:
            return []
        return [number for number in givers if number not in self._refused]

    def short(self) -> bool:
        """Whether the whole document may be short: also while nothing is known of it."""
        return self._whole.short()

    def wants(self, difference: bool) -> str:
        self._unanswered += difference
        return self._pieces(difference).wants()

    def wants_few(self, chance: random.Random, now: float, difference: bool) -> str | None:
        """As `_Pieces.wants_few`."""
        text = self._pieces(difference).wants_few(chance, now)
        self._unanswered += difference and text is not None
        return text

    def answer(self, asked: Asked) -> list[str]:
        """What it has of that order's document, though it is not whole."""
        if asked.order != self.order or asked.base not in ("", self.base):
            return []
        return self._pieces(bool(asked.base)).answer(asked)

    def due(self, given: Given) -> bool:
        """As `_Pieces.due`."""
        return self._pieces(bool(given.base)).due(given)

    def refused(self, sender: int, said: NoDifference) -> None:
        """A member can give no difference from what this one acts on."""
        if self.base and (said.order, said.base) == (self.order, self.base):
            self._refused.add(sender)
            if len(self._refused) >= MOST_REFUSALS:
                self._base = None

    def take(self, given: Given) -> dict[str, Any] | None:
        """The document, once it is whole.

        Pieces of another one are left; a whole one that is not what was told is thrown away.
        """
        if (given.order, given.digest) != (self.order, self.digest) or given.base not in (
            "",
            self.base,
        ):
            return None
        if given.base:
            self._unanswered = 0
        pieces = self._pieces(bool(given.base))
        if not pieces.put(given):
            return None
        document = self._made_of(pieces.unpacked(), bool(given.base))
        if document is None or settings_digest(document) != self.digest:
            self._throw_away(bool(given.base))
            return None
        return document

    def _pieces(self, difference: bool) -> _Pieces:
        return self._difference if difference else self._whole

    def _made_of(self, unpacked: Any, difference: bool) -> dict[str, Any] | None:
        if not difference or self._base is None:
            return unpacked if isinstance(unpacked, dict) else None
        try:
            return apply(self._base.document, unpacked) if isinstance(unpacked, list) else None
        except ValueError:
            return None

    def _throw_away(self, difference: bool) -> None:
        """A false difference is not asked for again.

        A false document is, from its first piece on.
        """
        if difference:
            self._base = None
        else:
            self._whole = _Pieces(self.order, self.digest, "", AGAIN_AFTER)
