"""The kinds of CUE values, and the type names that denote sets of kinds."""

from __future__ import annotations

from typing import Any

STRUCT, LIST, NULL = frozenset({"struct"}), frozenset({"list"}), frozenset({"null"})
STRING, NUMBER = frozenset({"string"}), frozenset({"int", "float"})
ANY = frozenset({"string", "int", "float", "bool", "null", "struct", "list"})

TYPES: dict[str, frozenset[str]] = {
    "string": STRING,
    "int": frozenset({"int"}),
    "float": frozenset({"float"}),
    "number": NUMBER,
    "bool": frozenset({"bool"}),
    "null": NULL,
    "_": ANY,
}
_KIND_OF_TYPE: dict[type, str] = {
    bool: "bool",
    int: "int",
    float: "float",
    str: "string",
    dict: "struct",
    list: "list",
}


def kind_of(value: Any) -> str:
    """Returns the kind of a plain value."""
    return _KIND_OF_TYPE.get(type(value), "null")
