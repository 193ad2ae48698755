"""Bounds on a value: comparisons and patterns, and whether a value keeps to them."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hazelhollow.operator.describe import show
from hazelhollow.operator.errors import Place
from hazelhollow.operator.kinds import ANY, NUMBER, STRING, kind_of

MAX_PATTERN_CHARACTERS = 200  # characters
PATTERN_SIGNS = ("=~", "!~")
# Repeats of repeats, look-around and back references can take exponential time: such a pattern is
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
        """Why the sign does not go with the operand; nothing where it does."""
        kind = kind_of(self.operand)
        if self.sign in PATTERN_SIGNS and isinstance(self.operand, str):
            return _pattern_problem(self.operand)
        if kind == "null" and self.sign == "!=":
            return ""
        if self.sign in PATTERN_SIGNS or kind not in NUMBER | STRING:
            return f"{self.sign} does not go with {kind}"
        return ""

    def kinds(self) -> frozenset[str]:
        """The kinds of the values that can keep to it."""
        kind = kind_of(self.operand)
        if kind == "null":
            return ANY
        return NUMBER if kind in NUMBER else STRING

    def allows(self, value: Any) -> bool:
        """Whether a value keeps to it."""
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
        return f"the pattern {show(pattern)}: too long, or repeats within repeats"
    return ""
