"""Unifies the structs of a node: regular, optional and required fields, and closed definitions."""

from __future__ import annotations

import difflib

from hazelhollow.operator.describe import describe
from hazelhollow.operator.diagnostics import Diagnostics
from hazelhollow.operator.nodes import Conjunct, Node, Scope
from hazelhollow.operator.syntax_tree import REQUIRED, Field, Struct

DEFINITION = "#"  # first character of the labels of definitions
HIDDEN = (DEFINITION, "_")  # first characters of the labels that are not part of the value


def add_fields(node: Node, conjunct: Conjunct, expr: Struct, diagnostics: Diagnostics) -> None:
    """Adds the fields of one struct to a node."""
    labels = frozenset(field.label for field in expr.fields)
    scope = Scope(labels, node, conjunct.scope)
    for use in conjunct.uses:
        node.allowed_labels.setdefault(use, set()).update(labels)
    for field in expr.fields:
        part = Conjunct(field.value, scope, conjunct.uses)
        if not field.suffix:
            _add_regular_field(node, field, part, diagnostics)
            continue
        node.optional.setdefault(field.label, []).append(part)
        if field.suffix == REQUIRED:
            node.required[field.label] = field.place


def _add_regular_field(
    node: Node, field: Field, conjunct: Conjunct, diagnostics: Diagnostics
) -> None:
    label = field.label
    if label not in node.fields:
        node.fields[label] = Node(node.child_path(label), field.place)
    if diagnostics.is_own(field.place) or label not in node.field_places:
        node.field_places[label] = node.fields[label].place = field.place
    node.fields[label].conjuncts.append(conjunct)


def resolve_fields(node: Node, diagnostics: Diagnostics) -> None:
    """Applies optional and required fields and closedness, once all structs have been added."""
    for label, parts in node.optional.items():
        if label in node.fields:
            present = {id(conjunct) for conjunct in node.fields[label].conjuncts}
            node.fields[label].conjuncts += [part for part in parts if id(part) not in present]
    for label in node.required:
        if label not in node.fields:
            missing = Node(f"{node.path}.{label}", node.place)
            diagnostics.report(
                missing, node.place, "is missing", describe(node.optional[label][0].expr)
            )
    for allowed in node.allowed_labels.values():
        for label in [x for x in node.fields if x not in allowed and not x.startswith(HIDDEN)]:
            _reject_field(node, label, allowed, diagnostics)


def _reject_field(node: Node, label: str, allowed: set[str], diagnostics: Diagnostics) -> None:
    near = difflib.get_close_matches(label, allowed, 1)
    hint = f", is '{near[0]}' meant?" if near else ""
    names = ", ".join(sorted(name for name in allowed if not name.startswith(HIDDEN)))
    diagnostics.report(
        node.fields.pop(label), node.field_places[label], f"there is no such field{hint}", names
    )
