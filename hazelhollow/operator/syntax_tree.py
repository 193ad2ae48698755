"""The nodes of a parsed operator file. Each has the place in the file where it starts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from hazelhollow.operator.errors import Place

OPTIONAL, REQUIRED = "?", "!"  # suffixes of a field's label

Concrete = Union[str, int, float, bool, None]


@dataclass(frozen=True)
class Literal:
    """A string, number, boolean or null."""

    place: Place
    value: Concrete


@dataclass(frozen=True)
class Reference:
    """A reference to a field: a name, or several names separated by dots."""

    place: Place
    names: tuple[str, ...]


@dataclass(frozen=True)
class Bound:
    """A comparison that the value must satisfy, such as `>= 1` or `=~ "^a"`."""

    place: Place
    sign: str
    operand: Expr


@dataclass(frozen=True)
class Conjunction:
    """`A & B`: the value must satisfy all parts."""

    place: Place
    parts: tuple[Expr, ...]


@dataclass(frozen=True)
class Choice:
    """One part of a disjunction; a default is marked by `*`."""

    is_default: bool
    expr: Expr


@dataclass(frozen=True)
class Disjunction:
    """`A | *B`: the value is one of the choices."""

    place: Place
    choices: tuple[Choice, ...]


@dataclass(frozen=True)
class Field:
    """One field of a struct: regular, or marked as optional or required."""

    place: Place
    label: str
    suffix: str  # OPTIONAL, REQUIRED or empty
    value: Expr


@dataclass(frozen=True)
class Struct:
    """Fields in braces, or all fields of a file."""

    place: Place
    fields: tuple[Field, ...]


@dataclass(frozen=True)
class ListLiteral:
    """A list; an open list may have further items that satisfy `rest`, or any if it is None."""

    place: Place
    items: tuple[Expr, ...]
    open: bool
    rest: Expr | None


Expr = Union[Literal, Reference, Bound, Conjunction, Disjunction, Struct, ListLiteral]
