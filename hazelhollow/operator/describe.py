"""Formats values and expressions in CUE notation, for messages and for `config show`."""

from __future__ import annotations

from typing import Any

from hazelhollow.operator.syntax_tree import (
    Bound,
    Conjunction,
    Disjunction,
    Expr,
    Literal,
    Reference,
    Struct,
)


def describe(expr: Expr) -> str:
    """Returns an expression as one line."""
    if isinstance(expr, Literal):
        return show(expr.value)
    if isinstance(expr, Reference):
        return ".".join(expr.names)
    if isinstance(expr, Bound):
        return expr.sign + describe(expr.operand)
    if isinstance(expr, Conjunction):
        return " & ".join(map(describe, expr.parts))
    if isinstance(expr, Disjunction):
        return " | ".join(
            "*" * choice.is_default + describe(choice.expr) for choice in expr.choices
        )
    if isinstance(expr, Struct):
        return "{" + ", ".join(field.label for field in expr.fields) + "}"
    return "a list of " + (describe(expr.rest) if expr.rest else "values")


def show(value: Any) -> str:
    """Returns a scalar value as CUE text."""
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if value is None:
        return "null"
    return str(value).lower() if isinstance(value, bool) else str(value)
