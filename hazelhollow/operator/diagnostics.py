"""What is wrong with a file, gathered while it is evaluated, and where in it each thing is told."""

from __future__ import annotations

from hazelhollow.operator.describe import describe
from hazelhollow.operator.nodes import Conjunct, Node
from hazelhollow.operator.syntax import Place, Trouble


class Diagnostics:
    """The troubles of one evaluation.

    `own_file`: whose places are told where there is a choice of places.
    """

    def __init__(self, own_file: str) -> None:
        self.own_file = own_file
        self.troubles: list[Trouble] = []

    def report(self, node: Node, place: Place, found: str, allowed: str = "") -> None:
        """Notes what was found at a node and what is allowed; once for a place and a path."""
        if not any(t.place == place and t.path == node.path for t in self.troubles):
            self.troubles.append(Trouble(place, node.path, found, allowed))

    def is_own(self, place: Place) -> bool:
        """Whether a place is in the operator's file."""
        return place.file == self.own_file

    def own_conjuncts(self, node: Node) -> list[Conjunct]:
        """The conjuncts that the operator's file has written."""
        return [c for c in node.conjuncts if self.is_own(c.expr.place)]

    def own_place(self, node: Node, fallback: Place) -> Place:
        """Where the operator's file bears on this node."""
        own = self.own_conjuncts(node)
        if own:
            return own[-1].expr.place
        return fallback if self.is_own(fallback) else node.place

    def found(self, node: Node) -> str:
        """What stands at a node and does not fit."""
        conjuncts = self.own_conjuncts(node) or node.conjuncts
        return describe(conjuncts[-1].expr) + " is not allowed here"
