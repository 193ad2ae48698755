"""Bounds on a value: comparisons and patterns, and checks of values against them."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hazelhollow.operator.describe import show
from hazelhollow.operator.errors import Place
from hazelhollow.operator.kinds import ANY, NUMBER, STRING, kind_of

MAX_PATTERN_CHARACTERS = 200
PATTERN_SIGNS = ("=~", "!~")
# Nested repeats, look-around and back references can take exponential time. Such a pattern is
# rejected, since an operator file must be read in bounded time.
_UNSAFE_PATTERN = re.compile(r"[+*}][)]+[+*{]|\(\?|\\[0-9]")
_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    ">=": lambda value, operand: value >= operand,
    "<=": lambda value, operand: value <= operand,
    ">": lambda value, operand: value > operand,
    "<": lambda value, operand: value < operand,
    "!=": lambda value, operand: value != operand,
    "=~": lambda value, operand: re.search(operand, value) is not None,
    "!~": lambda value, operand: re.search(operand, value) is None,
}


@dataclass(frozen=True)
class Constraint:
    """A bound whose operand has been evaluated."""

    sign: str
    operand: Any
    place: Place

    def problem(self) -> str:
        """Returns why the sign cannot be used with the operand; empty if it can."""
        kind = kind_of(self.operand)
        if self.sign in PATTERN_SIGNS and isinstance(self.operand, str):
            return _pattern_problem(self.operand)
        if kind == "null" and self.sign == "!=":
            return ""
        if self.sign in PATTERN_SIGNS or kind not in NUMBER | STRING:
            return f"{self.sign} cannot be used with a value of kind {kind}"
        return ""

    def kinds(self) -> frozenset[str]:
        """Returns the kinds of values that can satisfy the bound."""
        kind = kind_of(self.operand)
        if kind == "null":
            return ANY
        return NUMBER if kind in NUMBER else STRING

    def allows(self, value: Any) -> bool:
        """Whether a value satisfies the bound."""
        kinds = {kind_of(self.operand), kind_of(value)}
        comparable = len(kinds) == 1 or kinds <= NUMBER
        if not comparable:
            return self.sign == "!="
        return _COMPARISONS[self.sign](value, self.operand)


def _pattern_problem(pattern: str) -> str:
    try:
        re.compile(pattern)
    except re.error as error:
        return f"the pattern {show(pattern)}: {error}"
    if len(pattern) > MAX_PATTERN_CHARACTERS or _UNSAFE_PATTERN.search(pattern):
        return (
            f"the pattern {show(pattern)}: longer than {MAX_PATTERN_CHARACTERS} characters, or has "
            "repeats within repeats, look-around or back references"
        )
    return ""
