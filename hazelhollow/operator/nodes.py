"""The evaluator's state of each path: its conjuncts with their scopes, and their unification.

A node is `NEW` until it is expanded, `OPEN` during the expansion, and `DONE` after it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from hazelhollow.operator.constraints import Constraint
from hazelhollow.operator.errors import Place
from hazelhollow.operator.kinds import ANY
from hazelhollow.operator.syntax_tree import Concrete, Disjunction, Expr, ListLiteral


@dataclass(frozen=True, eq=False)
class Scope:
    """The struct that encloses an expression: its labels, its node, and the outer scope."""

    labels: frozenset[str]
    node: Node
    outer: Scope | None

    def find(self, name: str) -> Scope | None:
        """Returns the innermost scope, from this one outwards, that has the label."""
        scope: Scope | None = self
        while scope and name not in scope.labels:
            scope = scope.outer
        return scope


@dataclass(frozen=True, eq=False)
class DefinitionUse:
    """One use of a closed definition, which disallows fields that the definition does not list."""

    name: str


@dataclass(frozen=True, eq=False)
class Conjunct:
    """One expression to be unified at a node, and the definitions through which it was reached."""

    expr: Expr
    scope: Scope | None
    uses: frozenset[DefinitionUse] = frozenset()

    def with_expr(self, expr: Expr) -> Conjunct:
        """Returns a conjunct for a part of this expression, in the same scope."""
        return Conjunct(expr, self.scope, self.uses)

    def find_scope(self, name: str) -> Scope | None:
        """Returns the scope that has a name to which the expression refers."""
        return self.scope.find(name) if self.scope else None


class State(Enum):
    """How far a node has been evaluated."""

    NEW = "new"
    OPEN = "open"  # its conjuncts are being expanded
    DONE = "done"


@dataclass(eq=False)
class Node:
    """One path, its conjuncts and the result of their unification."""

    path: str
    place: Place
    conjuncts: list[Conjunct] = field(default_factory=list)
    state: State = State.NEW
    kinds: frozenset[str] = ANY  # kinds that the value can still have
    value: Concrete = None
    is_concrete: bool = False  # whether `value` has been set
    constraints: list[Constraint] = field(default_factory=list)
    fields: dict[str, Node] = field(default_factory=dict)
    field_places: dict[str, Place] = field(default_factory=dict)
    optional: dict[str, list[Conjunct]] = field(default_factory=dict)  # by label
    required: dict[str, Place] = field(default_factory=dict)  # by label
    allowed_labels: dict[DefinitionUse, set[str]] = field(default_factory=dict)
    lists: list[tuple[ListLiteral, Conjunct]] = field(default_factory=list)
    disjunctions: list[tuple[Disjunction, Conjunct]] = field(default_factory=list)
    items: list[Node] | None = None
    # ids of the nodes whose conjuncts have been added by references
    followed: set[int] = field(default_factory=set)

    def child_path(self, label: str) -> str:
        """Returns the path of a field."""
        return f"{self.path}.{label}" if self.path else label

    def adopt(self, other: Node) -> None:
        """Replaces the result by that of another node for the same path."""
        self.kinds, self.value, self.is_concrete = other.kinds, other.value, other.is_concrete
        self.constraints = other.constraints
        self.fields, self.field_places = other.fields, other.field_places
        self.optional, self.required = other.optional, other.required
        self.allowed_labels = other.allowed_labels
        self.lists, self.items = other.lists, other.items
