"""The evaluator's state for each path: its conjuncts with their scopes, and their unification.

A node is `NEW` until it is expanded, `OPEN` while its conjuncts are taken apart, and `DONE` after.
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
    """The struct in which an expression stands: its labels, its node, and the enclosing scope."""

    labels: frozenset[str]
    node: Node
    outer: Scope | None

    def find(self, name: str) -> Scope | None:
        """The innermost scope, from this one outwards, that has the label."""
        scope: Scope | None = self
        while scope and name not in scope.labels:
            scope = scope.outer
        return scope


@dataclass(frozen=True, eq=False)
class DefinitionUse:
    """One use of a closed definition: what it does not list is not allowed beside it."""

    name: str


@dataclass(frozen=True, eq=False)
class Conjunct:
    """One expression to be unified at a node, and the definitions through which it was reached."""

    expr: Expr
    scope: Scope | None
    uses: frozenset[DefinitionUse] = frozenset()

    def with_expr(self, expr: Expr) -> Conjunct:
        """A part of this expression, in the same scope."""
        return Conjunct(expr, self.scope, self.uses)

    def find_scope(self, name: str) -> Scope | None:
        """The scope in which a name that the expression refers to is found."""
        return self.scope.find(name) if self.scope else None


class State(Enum):
    """How far a node has been evaluated."""

    NEW = "new"
    OPEN = "open"  # its conjuncts are being taken apart
    DONE = "done"


@dataclass(eq=False)
class Node:
    """One path, its conjuncts and what they unify to."""

    path: str
    place: Place
    conjuncts: list[Conjunct] = field(default_factory=list)
    state: State = State.NEW
    kinds: frozenset[str] = ANY  # that the value can still have
    value: Concrete = None
    is_known: bool = False  # `value` is its value
    constraints: list[Constraint] = field(default_factory=list)
    fields: dict[str, Node] = field(default_factory=dict)
    field_places: dict[str, Place] = field(default_factory=dict)
    optional: dict[str, list[Conjunct]] = field(default_factory=dict)  # by label
    required: dict[str, Place] = field(default_factory=dict)  # by label
    allowed_labels: dict[DefinitionUse, set[str]] = field(default_factory=dict)
    lists: list[tuple[ListLiteral, Conjunct]] = field(default_factory=list)
    disjunctions: list[tuple[Disjunction, Conjunct]] = field(default_factory=list)
    items: list[Node] | None = None
    # ids of nodes whose conjuncts it has taken by reference
    followed: set[int] = field(default_factory=set)

    def child_path(self, label: str) -> str:
        """The path of a field."""
        return f"{self.path}.{label}" if self.path else label

    def adopt(self, other: Node) -> None:
        """Takes over the result of another node for the same path."""
        self.kinds, self.value, self.is_known = other.kinds, other.value, other.is_known
        self.constraints = other.constraints
        self.fields, self.field_places = other.fields, other.field_places
        self.optional, self.required = other.optional, other.required
        self.allowed_labels = other.allowed_labels
        self.lists, self.items = other.lists, other.items
