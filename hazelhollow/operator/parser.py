"""Parses the text of an operator file into a syntax tree.

The grammar in `cue.lark` is a subset of CUE; see the CUE language specification, sections "Lexical
elements" and "Commas". The size of the text and the nesting of its brackets are bounded, so that no
file can take long or exhaust the stack.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import LarkError, UnexpectedCharacters, UnexpectedToken

from hazelhollow.operator.errors import CueError, Place, Problem
from hazelhollow.operator.syntax_tree import (
    Bound,
    Choice,
    Conjunction,
    Disjunction,
    Expr,
    Field,
    ListLiteral,
    Literal,
    Reference,
    Struct,
)

MAX_BYTES = 256 * 1024  # size of a file
MAX_DEPTH = 32  # nested brackets
MAX_DIGITS = 18  # characters of a number, without its multiplier
MAX_EXPONENT = 300  # absolute value of a number's exponent
MAX_ECHOED = 40  # characters of a token that an error quotes
MAX_EXPECTED = 8  # expected tokens that an error lists
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
_CONSTANTS = {"yes": True, "no": False, "null": None}
_END_NAMES = {"$END": "the end of the file", "_COMMA": "the end of a line or of an item"}


class CommaInserter:
    """Replaces line ends by commas where CUE does, and bounds the nesting of brackets.

    lark calls it between its lexer and its parser.
    """

    always_accept = ("_NL",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        """Yields the tokens with commas inserted.

        Raises:
            UnexpectedToken: Brackets are nested deeper than MAX_DEPTH.
        """
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
    """Parses a file's bytes; `file` is its name in messages.

    Raises:
        CueError: The text is invalid. The error has only the first problem, since problems after a
            syntax error would be guesses.
    """
    begin = Place(file, 1, 1)
    if len(data) > MAX_BYTES:
        raise _error(begin, f"{len(data)} bytes", f"at most {MAX_BYTES}")
    text = _decode(data, file)
    try:
        return Struct(begin, _Builder(file).fields(_parser().parse(text).children))
    except UnexpectedCharacters as error:
        place = Place(file, error.line, error.column)
        raise _error(
            place, f"{error.char!r} is not expected here", _expected(error.allowed)
        ) from None
    except UnexpectedToken as error:
        token = error.token
        place = Place(file, token.line or text.count("\n") + 1, token.column or 1)
        found = _END_NAMES.get(token.type, repr(str(token)[:MAX_ECHOED]))
        raise _error(place, f"{found} is not expected here", _expected(error.expected)) from None
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
    return CueError([Problem(place, "", found, allowed)])


def _expected(tokens: Iterable[str] | None) -> str:
    names = {
        _TOKEN_NAMES.get(name, name.lower() if name.isupper() else name)
        for name in tokens or ()
        if name != "_NL"
    }
    return ", ".join(sorted(names)[:MAX_EXPECTED])


class _Builder:
    """Converts lark's tree into a typed syntax tree."""

    def __init__(self, file: str) -> None:
        self.file = file

    def fields(self, trees: list[Any]) -> tuple[Field, ...]:
        return tuple(self._field(tree) for tree in trees if isinstance(tree, Tree))

    def _place(self, item: Any) -> Place:
        token = item if isinstance(item, Token) else item.meta
        return Place(self.file, getattr(token, "line", 1) or 1, getattr(token, "column", 1) or 1)

    def _field(self, tree: Any) -> Field:
        label, *suffix, value = tree.children
        place, name = self._place(label), str(label.children[0])
        name = self._text(label.children[0]) if label.data == "quoted" else name
        if label.data == "name" and name == "_":
            raise _error(place, "'_' cannot be a label")
        inner = (
            Struct(self._place(value), (self._field(value),))
            if value.data == "field"
            else self.expr(value)
        )
        return Field(place, name, str(suffix[0]) if suffix else "", inner)

    def expr(self, tree: Any) -> Expr:
        """Converts one expression, whose kind is the name of the grammar rule."""
        place, parts = self._place(tree), tree.children
        match tree.data:
            case "number":
                return Literal(place, self._number(parts[0]))
            case "negative":
                return Literal(place, -self._number(parts[1]))
            case "string":
                return Literal(place, self._text(parts[0]))
            case "yes" | "no" | "null":
                return Literal(place, _CONSTANTS[tree.data])
            case "reference":
                return Reference(place, tuple(map(str, parts)))
            case "bound":
                return Bound(place, str(parts[0]), self.expr(parts[1]))
        return self._compound(tree)

    def _compound(self, tree: Any) -> Expr:
        place, parts = self._place(tree), tree.children
        match tree.data:
            case "both":
                return Conjunction(place, tuple(map(self.expr, parts)))
            case "either":
                return Disjunction(place, tuple(self._choice(part) for part in parts))
            case "preferred":
                return Disjunction(place, (self._choice(tree),))
            case "struct":
                return Struct(place, self.fields(parts))
        return self._list(place, parts)

    def _list(self, place: Place, parts: list[Any]) -> ListLiteral:
        is_open = bool(parts) and parts[-1].data == "rest"
        items = parts[:-1] if is_open else parts
        rest = self.expr(parts[-1].children[1]) if is_open and len(parts[-1].children) > 1 else None
        return ListLiteral(place, tuple(map(self.expr, items)), is_open, rest)

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
            allowed = f"at most {MAX_DIGITS} characters, and an exponent of at most {MAX_EXPONENT}"
            raise _error(self._place(token), f"the number {digits[:MAX_ECHOED]}", allowed)
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
            allowed = '\\a \\b \\f \\n \\r \\t \\v \\/ \\\\ \\" \\uXXXX \\UXXXXXXXX'
            raise _error(self._place(token), f"the escape {match[0]!r}", allowed)

        return re.sub(r"\\(?:(u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8})|(.))", escape, token[1:-1])


def _exponent(digits: str) -> int:
    """Returns the absolute value of a number's exponent; 0 if it has none."""
    _, _, exponent = digits.lower().partition("e")
    return abs(int(exponent)) if exponent else 0
