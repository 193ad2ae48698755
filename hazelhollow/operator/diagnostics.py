"""Collects the problems of a file during its evaluation, and chooses the place of each."""

from __future__ import annotations

from hazelhollow.operator.describe import describe
from hazelhollow.operator.errors import Place, Problem
from hazelhollow.operator.nodes import Conjunct, Node


class Diagnostics:
    """The problems of one evaluation.

    A problem can have a place in the operator file and one in the schema that the file is unified
    with; places in `own_file`, the operator file, are preferred.
    """

    def __init__(self, own_file: str) -> None:
        self.own_file = own_file
        self.problems: list[Problem] = []

    def report(self, node: Node, place: Place, found: str, allowed: str = "") -> None:
        """Adds a problem, unless there is one for the same place and path."""
        if not any(other.place == place and other.path == node.path for other in self.problems):
            self.problems.append(Problem(place, node.path, found, allowed))

    def is_own(self, place: Place) -> bool:
        """Whether a place is in the operator file."""
        return place.file == self.own_file

    def own_conjuncts(self, node: Node) -> list[Conjunct]:
        """Returns the conjuncts of a node that come from the operator file."""
        return [c for c in node.conjuncts if self.is_own(c.expr.place)]

    def own_place(self, node: Node, fallback: Place) -> Place:
        """Returns the place in the operator file that a problem of this node refers to."""
        own = self.own_conjuncts(node)
        if own:
            return own[-1].expr.place
        return fallback if self.is_own(fallback) else node.place

    def found(self, node: Node) -> str:
        """Returns the text that says that the value of a node is not allowed."""
        conjuncts = self.own_conjuncts(node) or node.conjuncts
        return describe(conjuncts[-1].expr) + " is not allowed here"
