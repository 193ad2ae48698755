"""Gathers the problems of a file while it is evaluated, and chooses the place of each."""

from __future__ import annotations

from hazelhollow.operator.describe import describe
from hazelhollow.operator.errors import Place, Problem
from hazelhollow.operator.nodes import Conjunct, Node


class Diagnostics:
    """The problems of one evaluation.

    A problem can be due to the operator's file or to the schema that it is unified with; places in
    `own_file`, the operator's, are preferred.
    """

    def __init__(self, own_file: str) -> None:
        self.own_file = own_file
        self.problems: list[Problem] = []

    def report(self, node: Node, place: Place, found: str, allowed: str = "") -> None:
        """Adds a problem, once for each place and path."""
        if not any(known.place == place and known.path == node.path for known in self.problems):
            self.problems.append(Problem(place, node.path, found, allowed))

    def is_own(self, place: Place) -> bool:
        """Whether a place is in the operator's file."""
        return place.file == self.own_file

    def own_conjuncts(self, node: Node) -> list[Conjunct]:
        """The conjuncts that come from the operator's file."""
        return [c for c in node.conjuncts if self.is_own(c.expr.place)]

    def own_place(self, node: Node, fallback: Place) -> Place:
        """The place in the operator's file that concerns this node."""
        own = self.own_conjuncts(node)
        if own:
            return own[-1].expr.place
        return fallback if self.is_own(fallback) else node.place

    def found(self, node: Node) -> str:
        """The text for a value that does not fit at a node."""
        conjuncts = self.own_conjuncts(node) or node.conjuncts
        return describe(conjuncts[-1].expr) + " is not allowed here"
