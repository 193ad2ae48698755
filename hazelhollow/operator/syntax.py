"""Text to syntax tree.

The subset of CUE that `cue.lark` describes, with a place in the file for every part.

Source: the CUE language specification, sections "Lexical elements" and "Commas". Bounds: MAX_BYTES
of text and MAX_DEPTH of brackets, so that no file can take more than a moment or exhaust the
stack.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any, Union

from lark import Lark, Token, Tree
from lark.exceptions import LarkError, UnexpectedCharacters, UnexpectedToken

MAX_BYTES = 256 * 1024
MAX_DEPTH = 32
MAX_DIGITS = 18
MAX_EXPONENT = 300
MAX_ECHOED = 40  # characters of a token that an error repeats
MAX_EXPECTED = 8  # names of what could stand at a place, in an error
OPTIONAL, REQUIRED = "?", "!"  # marks of a field
_COMMA_FOLLOWS = {
    "IDENT",
    "TRUE",
    "FALSE",
    "NULL",
    "NUMBER",
    "STRING",
    "RPAR",
    "RSQB",
    "RBRACE",
    "MARK",
}
_OPENS, _CLOSES = {"LPAR", "LSQB", "LBRACE"}, {"RPAR", "RSQB", "RBRACE"}
_ESCAPES = {
    "a": "\a",
    "b": "\b",
    "f": "\f",
    "n": "\n",
    "r": "\r",
    "t": "\t",
    "v": "\v",
    "/": "/",
    "\\": "\\",
    '"': '"',
}
_MULTIPLIERS = {
    "K": 10**3,
    "M": 10**6,
    "G": 10**9,
    "T": 10**12,
    "Ki": 2**10,
    "Mi": 2**20,
    "Gi": 2**30,
    "Ti": 2**40,
}
_TOKEN_NAMES = {
    "_COMMA": "a new line",
    "COLON": "':'",
    "IDENT": "a name",
    "STRING": "a string",
    "NUMBER": "a number",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "LSQB": "'['",
    "RSQB": "']'",
    "BOUND": "a bound",
    "$END": "the end",
}
_END_NAMES = {"$END": "the end of the file", "_COMMA": "the end of a line or of an item"}


@dataclass(frozen=True)
class Place:
    """Where something stands: the file's name, line and column from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Trouble:
    """One thing that is wrong: where, at which path, what was found and what is allowed."""

    place: Place
    path: str
    found: str
    allowed: str = ""

    def __str__(self) -> str:
        path = f"{self.path}: " if self.path else ""
        return f"{self.place}: {path}{self.found}" + (
            f"; allowed: {self.allowed}" if self.allowed else ""
        )


class CueError(Exception):
    """The text cannot be used. `troubles` are all that was found, in the order of the file."""

    def __init__(self, troubles: list[Trouble]) -> None:
        self.troubles = sorted(troubles, key=lambda t: (t.place.file, t.place.line, t.place.column))
        super().__init__("\n".join(map(str, self.troubles)))


Concrete = Union[str, int, float, bool, None]


@dataclass(frozen=True)
class Literal:
    """A string, number, boolean or null."""

    place: Place
    value: Concrete


@dataclass(frozen=True)
class Reference:
    """A name, or names with dots between them."""

    place: Place
    names: tuple[str, ...]


@dataclass(frozen=True)
class Bound:
    """`>= 1`, `=~ "^a"` and the like: a comparison with what it stands at."""

    place: Place
    sign: str
    operand: Expr


@dataclass(frozen=True)
class Conjunction:
    """`A & B`: all of its parts at once."""

    place: Place
    parts: tuple[Expr, ...]


@dataclass(frozen=True)
class Choice:
    """One part of a disjunction; a default is marked by `*`."""

    is_default: bool
    expr: Expr


@dataclass(frozen=True)
class Disjunction:
    """`A | *B`: one of its choices."""

    place: Place
    choices: tuple[Choice, ...]


@dataclass(frozen=True)
class Field:
    """One field of a struct: regular, or marked as optional or required."""

    place: Place
    label: str
    mark: str  # OPTIONAL, REQUIRED or nothing
    value: Expr


@dataclass(frozen=True)
class Struct:
    """Fields in braces, or the whole file."""

    place: Place
    fields: tuple[Field, ...]


@dataclass(frozen=True)
class ListLiteral:
    """A list; an open one goes on with values of `rest`, or any."""

    place: Place
    items: tuple[Expr, ...]
    open: bool
    rest: Expr | None


Expr = Union[Literal, Reference, Bound, Conjunction, Disjunction, Struct, ListLiteral]


class CommaInserter:
    """Turns a line's end into a comma where CUE does, and bounds the depth of brackets."""

    always_accept = ("_NL",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        """The tokens with those commas. Raises `UnexpectedToken` where brackets are too deep."""
        last: Token | None = None
        depth = 0
        for token in stream:
            depth += (token.type in _OPENS) - (token.type in _CLOSES)
            if depth > MAX_DEPTH:
                raise UnexpectedToken(token, {f"at most {MAX_DEPTH} brackets deep"})  # type: ignore[no-untyped-call]
            if token.type != "_NL":
                yield token
            elif last is not None and last.type in _COMMA_FOLLOWS:
                yield (token := Token.new_borrow_pos("_COMMA", ",", token))
            last = token
        if last is not None and last.type in _COMMA_FOLLOWS:
            yield Token.new_borrow_pos("_COMMA", ",", last)


@cache
def _parser() -> Lark:
    grammar = (Path(__file__).parent / "cue.lark").read_text()
    return Lark(grammar, parser="lalr", postlex=CommaInserter(), propagate_positions=True)


def parse(data: bytes, file: str) -> Struct:
    """The file's own struct.

    Raises `CueError`, with one trouble: after the first, the rest would be guesses.
    """
    begin = Place(file, 1, 1)
    if len(data) > MAX_BYTES:
        raise _error(begin, f"{len(data)} bytes", f"at most {MAX_BYTES}")
    text = _decode(data, file)
    try:
        return Struct(begin, _Builder(file).fields(_parser().parse(text).children))
    except UnexpectedCharacters as error:
        place = Place(file, error.line, error.column)
        raise _error(place, f"{error.char!r} cannot stand here", _expected(error.allowed)) from None
    except UnexpectedToken as error:
        token = error.token
        place = Place(file, token.line or text.count("\n") + 1, token.column or 1)
        word = _END_NAMES.get(token.type, repr(str(token)[:MAX_ECHOED]))
        raise _error(place, f"{word} cannot stand here", _expected(error.expected)) from None
    except LarkError as error:
        raise _error(begin, str(error).splitlines()[0]) from None


def _decode(data: bytes, file: str) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        before = data[: error.start]
        place = Place(file, before.count(b"\n") + 1, error.start - (before.rfind(b"\n") + 1) + 1)
        raise _error(place, "a byte that is not UTF-8") from None


def _error(place: Place, found: str, allowed: str = "") -> CueError:
    return CueError([Trouble(place, "", found, allowed)])


def _expected(tokens: Iterable[str] | None) -> str:
    names = {
        _TOKEN_NAMES.get(name, name.lower() if name.isupper() else name)
        for name in tokens or ()
        if name != "_NL"
    }
    return ", ".join(sorted(names)[:MAX_EXPECTED])


class _Builder:
    """Makes the typed tree out of lark's."""

    def __init__(self, file: str) -> None:
        self.file = file

    def fields(self, trees: list[Any]) -> tuple[Field, ...]:
        return tuple(self._field(tree) for tree in trees if isinstance(tree, Tree))

    def _place(self, item: Any) -> Place:
        token = item if isinstance(item, Token) else item.meta
        return Place(self.file, getattr(token, "line", 1) or 1, getattr(token, "column", 1) or 1)

    def _field(self, tree: Any) -> Field:
        label, *mark, value = tree.children
        place, name = self._place(label), str(label.children[0])
        name = self._text(label.children[0]) if label.data == "quoted" else name
        if label.data == "name" and name == "_":
            raise _error(place, "'_' cannot be a label")
        inner = (
            Struct(self._place(value), (self._field(value),))
            if value.data == "field"
            else self.expr(value)
        )
        return Field(place, name, str(mark[0]) if mark else "", inner)

    def expr(self, tree: Any) -> Expr:
        place, parts = self._place(tree), tree.children
        kind = tree.data
        if kind == "number":
            return Literal(place, self._number(parts[0]))
        if kind == "negative":
            return Literal(place, -self._number(parts[1]))
        if kind == "string":
            return Literal(place, self._text(parts[0]))
        if kind in ("yes", "no", "null"):
            return Literal(place, {"yes": True, "no": False, "null": None}[kind])
        if kind == "reference":
            return Reference(place, tuple(map(str, parts)))
        if kind == "bound":
            return Bound(place, str(parts[0]), self.expr(parts[1]))
        if kind == "both":
            return Conjunction(place, tuple(map(self.expr, parts)))
        if kind == "either":
            return Disjunction(place, tuple(self._choice(part) for part in parts))
        if kind == "preferred":
            return Disjunction(place, (self._choice(tree),))
        if kind == "struct":
            return Struct(place, self.fields(parts))
        rest = parts[-1] if parts and parts[-1].data == "rest" else None
        items = tuple(map(self.expr, parts[: len(parts) - (rest is not None)]))
        element = (
            self.expr(rest.children[1]) if rest is not None and len(rest.children) > 1 else None
        )
        return ListLiteral(place, items, rest is not None, element)

    def _choice(self, tree: Any) -> Choice:
        if tree.data == "preferred":
            return Choice(True, self.expr(tree.children[1]))
        return Choice(False, self.expr(tree))

    def _number(self, token: Token) -> int | float:
        text = token.replace("_", "")
        match = re.fullmatch(r"([0-9.eE+-]+?)([KMGT]i?)?", text)
        assert match
        digits, multiplier = match[1], _MULTIPLIERS.get(match[2] or "", 1)
        if len(digits) > MAX_DIGITS or _exponent(digits) > MAX_EXPONENT:
            allowed = f"{MAX_DIGITS} digits, 1e{MAX_EXPONENT}"
            raise _error(self._place(token), f"a number of {len(digits)} digits", allowed)
        if digits.isdigit():
            return int(digits) * multiplier
        return int(float(digits) * multiplier) if match[2] else float(digits)

    def _text(self, token: Token) -> str:
        def escape(match: re.Match[str]) -> str:
            if match[1]:
                code = int(match[1][1:], 16)
                if code < 0x110000 and not 0xD800 <= code < 0xE000:
                    return chr(code)
            if match[2] and match[2] in _ESCAPES:
                return _ESCAPES[match[2]]
            allowed = '\\n \\t \\" \\\\ \\uXXXX and the like'
            raise _error(self._place(token), f"the escape {match[0]!r}", allowed)

        return re.sub(r"\\(?:(u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8})|(.))", escape, token[1:-1])


def _exponent(digits: str) -> int:
    """The size of a number's exponent, whatever its sign; 0 where there is none."""
    _, _, exponent = digits.lower().partition("e")
    return abs(int(exponent)) if exponent else 0
