"""Unifies the list literals of a node item by item."""

from __future__ import annotations

from hazelhollow.operator.diagnostics import Diagnostics
from hazelhollow.operator.nodes import Node


def items_of(node: Node, diagnostics: Diagnostics) -> list[Node]:
    """Returns one node for each item; reports closed lists whose length differs."""
    count = max(len(literal.items) for literal, _ in node.lists)
    for literal, _ in node.lists:
        length = len(literal.items)
        if not literal.open and length != count:
            place = diagnostics.own_place(node, literal.place)
            diagnostics.report(node, place, f"a list of {count} values", f"{length} values")
    return [_item(node, at, diagnostics) for at in range(count)]


def _item(node: Node, at: int, diagnostics: Diagnostics) -> Node:
    item = Node(f"{node.path}[{at}]", node.place)
    for literal, conjunct in node.lists:
        expr = literal.items[at] if at < len(literal.items) else literal.rest
        if expr is not None:
            item.conjuncts.append(conjunct.with_expr(expr))
            item.place = expr.place if diagnostics.is_own(expr.place) else item.place
    return item
