"""Evaluates syntax trees to plain values: unification, closed definitions, defaults, references.

This follows the CUE language specification, sections "Values", "Structs", "References" and "Default
values". A node represents one path. It collects its conjuncts (the expressions to be unified there,
each with its scope) and is evaluated once all have been collected. The work is bounded for every
file, so that no operator file can hang a limiter that reads it.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import product
from typing import NamedTuple, Union

from hazelhollow.operator.constraints import Constraint
from hazelhollow.operator.describe import describe, show
from hazelhollow.operator.diagnostics import Diagnostics
from hazelhollow.operator.errors import CueError, Place, Problem
from hazelhollow.operator.kinds import LIST, NULL, STRUCT, TYPES, kind_of
from hazelhollow.operator.lists import items_of
from hazelhollow.operator.nodes import Conjunct, DefinitionUse, Node, Scope, State
from hazelhollow.operator.structs import DEFINITION, HIDDEN, add_fields, resolve_fields
from hazelhollow.operator.syntax_tree import (
    Bound,
    Choice,
    Concrete,
    Conjunction,
    Disjunction,
    Literal,
    Reference,
    Struct,
)

MAX_STEPS = 10_000
MAX_COMBINATIONS = 64  # combinations of the choices of all disjunctions at one path
MAX_NESTED_DISJUNCTIONS = 8
MAX_LEVELS = 32

Value = Union[Concrete, dict[str, "Value"], list["Value"]]


class WorkLimitError(Exception):
    """Evaluation would exceed a bound on steps, levels, combinations or nested disjunctions."""


class Fit(NamedTuple):
    """A combination of choices that unifies, with its value and node.

    `is_default`: each choice is a default, or its disjunction has none.
    """

    is_default: bool
    value: Value
    node: Node


class Evaluator:
    """Evaluates nodes and collects problems; places in `own_file` are preferred in messages."""

    def __init__(self, own_file: str) -> None:
        self._diagnostics = Diagnostics(own_file)
        self.places: dict[str, Place] = {}  # for each path that has a value, its place in the file
        self._steps = 0
        self._nested_disjunctions = 0
        self._level = 0

    @property
    def problems(self) -> list[Problem]:
        """Returns the problems found so far."""
        return self._diagnostics.problems

    # Reporting problems

    def _report_value(self, node: Node, place: Place, found: str, allowed: str) -> None:
        """Reports a conflicting value; `allowed` is used if no conjunct of the schema limits it."""
        own_place = self._diagnostics.own_place(node, place)
        self._diagnostics.report(node, own_place, found, self._allowed(node) or allowed)

    def _allowed(self, node: Node) -> str:
        """Returns the schema's limits on a node in CUE notation; references are resolved once."""
        limits = []
        for conjunct in node.conjuncts:
            if not self._diagnostics.is_own(conjunct.expr.place):
                is_reference = isinstance(conjunct.expr, Reference)
                target = self._target(node, conjunct, quiet=True) if is_reference else None
                limits += (
                    [describe(c.expr) for c in target.conjuncts]
                    if target
                    else [describe(conjunct.expr)]
                )
        return " & ".join(dict.fromkeys(limits))

    # Expanding conjuncts

    def expand(self, node: Node) -> None:
        """Splits all conjuncts into kinds, bounds and fields, without evaluating the fields."""
        if node.state is not State.NEW:
            return
        node.state = State.OPEN
        pending = list(node.conjuncts)
        while pending:
            self._steps += 1
            if self._steps > MAX_STEPS:
                raise WorkLimitError
            pending[:0] = self._apply(node, pending.pop(0))
        if node.disjunctions:
            self._choose(node)
        if node.fields and "struct" in node.kinds:
            resolve_fields(node, self._diagnostics)
        node.state = State.DONE

    def _apply(self, node: Node, conjunct: Conjunct) -> list[Conjunct]:
        """Applies one conjunct to the node, or returns the conjuncts that it consists of."""
        expr = conjunct.expr
        if isinstance(expr, Conjunction):
            return [conjunct.with_expr(part) for part in expr.parts]
        if isinstance(expr, Reference):
            return self._follow(node, conjunct, expr)
        if isinstance(expr, Disjunction):
            node.disjunctions.append((expr, conjunct))
        elif isinstance(expr, Literal):
            self._narrow(node, frozenset({kind_of(expr.value)}), expr.place)
            self._set_value(node, expr.value, expr.place)
        elif isinstance(expr, Bound):
            self._constrain(node, conjunct, expr)
        elif isinstance(expr, Struct):
            self._narrow(node, STRUCT, expr.place)
            add_fields(node, conjunct, expr, self._diagnostics)
        else:
            self._narrow(node, LIST, expr.place)
            node.lists.append((expr, conjunct))
        return []

    def _narrow(self, node: Node, kinds: frozenset[str], place: Place) -> None:
        both = node.kinds & kinds
        if both:
            node.kinds = both
        else:
            self._report_value(
                node, place, self._diagnostics.found(node), " or ".join(sorted(node.kinds))
            )

    def _set_value(self, node: Node, value: Concrete, place: Place) -> None:
        if node.is_concrete and (node.value != value or kind_of(node.value) != kind_of(value)):
            self._report_value(node, place, f"{show(value)} is not allowed here", show(node.value))
        node.value, node.is_concrete = value, True

    def _constrain(self, node: Node, conjunct: Conjunct, expr: Bound) -> None:
        operand = self.value(Node(node.path, expr.place, [Conjunct(expr.operand, conjunct.scope)]))
        constraint = Constraint(expr.sign, operand, expr.place)
        problem = constraint.problem()
        if problem:
            self._diagnostics.report(node, expr.place, problem)
            return
        self._narrow(node, constraint.kinds(), expr.place)
        node.constraints.append(constraint)

    # References

    def _follow(self, node: Node, conjunct: Conjunct, expr: Reference) -> list[Conjunct]:
        target = self._target(node, conjunct)
        if target is None:
            name = expr.names[0]
            if len(expr.names) == 1 and name in TYPES and not conjunct.find_scope(name):
                self._narrow(node, TYPES[name], expr.place)
            return []
        if id(target) in node.followed or target is node:
            return []  # by the specification, a reference cycle adds no constraint
        node.followed.add(id(target))
        return _referred_conjuncts(conjunct, expr, target)

    def _target(self, node: Node, conjunct: Conjunct, quiet: bool = False) -> Node | None:
        """Returns the node that a reference resolves to; reports its absence unless `quiet`."""
        expr = conjunct.expr
        assert isinstance(expr, Reference)
        first, *rest = expr.names
        scope = conjunct.find_scope(first)
        if scope is None:
            if not quiet and (first not in TYPES or rest):
                self._diagnostics.report(node, expr.place, f"there is no '{first}' in scope")
            return None
        target = scope.node.fields.get(first)
        for name in rest:
            if target is not None:
                if target.state is State.OPEN:
                    self._diagnostics.report(node, expr.place, f"{describe(expr)} refers to itself")
                    return None
                self.expand(target)
                target = target.fields.get(name)
        if target is None and not quiet:
            self._diagnostics.report(node, expr.place, f"there is no {describe(expr)}")
        return target

    # Disjunctions

    def _choose(self, node: Node) -> None:
        """Tries all combinations of choices and adopts the one that unifies.

        Of several it adopts the default, and reports a problem if they leave the value ambiguous.
        """
        fits = self._fits(node)
        best = [fit for fit in fits if fit.is_default] or fits
        if best and all(fit.value == best[0].value for fit in best):
            node.adopt(best[0].node)
            return
        found = (
            "several values fit, and none is the default" if best else self._diagnostics.found(node)
        )
        self._diagnostics.report(
            node, self._diagnostics.own_place(node, node.place), found, self._allowed(node)
        )
        node.kinds, node.value, node.is_concrete = NULL, None, True

    def _fits(self, node: Node) -> list[Fit]:
        combinations = list(product(*[disjunction.choices for disjunction, _ in node.disjunctions]))
        self._nested_disjunctions += 1
        if (
            len(combinations) > MAX_COMBINATIONS
            or self._nested_disjunctions > MAX_NESTED_DISJUNCTIONS
        ):
            raise WorkLimitError
        is_single = len(combinations) == 1 and len(node.disjunctions) == 1
        must_fit = is_single and all(isinstance(c.expr, Disjunction) for c in node.conjuncts)
        fits: list[Fit] = []
        for combination in combinations:
            fit = self._try_combination(node, combination, must_fit)
            if fit and not any(_is_same_fit(fit, other) for other in fits):
                fits.append(fit)
        self._nested_disjunctions -= 1
        return fits

    def _try_combination(
        self, node: Node, combination: tuple[Choice, ...], must_fit: bool
    ) -> Fit | None:
        chosen = [
            conjunct.with_expr(choice.expr)
            for choice, (_, conjunct) in zip(combination, node.disjunctions, strict=True)
        ]
        trial = Node(node.path, node.place, followed=set(node.followed))
        trial.conjuncts = self._without_disjunctions(node) + chosen
        saved, self._diagnostics.problems = self._diagnostics.problems, []
        value = self.value(trial)
        failed, self._diagnostics.problems = bool(self._diagnostics.problems), saved
        if failed and not must_fit:
            return None
        is_default = all(
            choice.is_default or not any(other.is_default for other in disjunction.choices)
            for choice, (disjunction, _) in zip(combination, node.disjunctions, strict=True)
        )
        return Fit(is_default, value, trial)

    def _without_disjunctions(self, node: Node) -> list[Conjunct]:
        """Returns the conjuncts without disjunctions, with references and conjunctions resolved."""
        flat: list[Conjunct] = []
        pending, followed = list(node.conjuncts), set[int]()
        while pending:
            conjunct = pending.pop(0)
            expr = conjunct.expr
            if isinstance(expr, Conjunction):
                pending[:0] = [conjunct.with_expr(part) for part in expr.parts]
            elif isinstance(expr, Reference):
                target = self._target(node, conjunct, quiet=True)
                if target is None:
                    flat.append(conjunct)
                elif id(target) not in followed and target is not node:
                    followed.add(id(target))
                    pending[:0] = _referred_conjuncts(conjunct, expr, target)
            elif not isinstance(expr, Disjunction):
                flat.append(conjunct)
        return flat

    # Values

    def value(self, node: Node) -> Value:
        """Returns the plain value of a node; invalid and missing values are reported as problems.

        A missing value evaluates to null.
        """
        self._level += 1
        try:
            if self._level > MAX_LEVELS:
                raise WorkLimitError
            self.expand(node)
            self.places[node.path] = self._diagnostics.own_place(node, node.place)
            if node.kinds == STRUCT:
                return self._struct_value(node)
            if node.kinds == LIST:
                return self._list_value(node)
            return self._scalar_value(node)
        finally:
            self._level -= 1

    def _struct_value(self, node: Node) -> Value:
        values: dict[str, Value] = {}
        for label, child in node.fields.items():
            is_own = self._diagnostics.is_own(child.place)
            if not label.startswith(HIDDEN):
                child.place = child.place if is_own else node.place
                values[label] = self.value(child)
            elif is_own and child.conjuncts and self._nested_disjunctions == 0:
                # Definitions need not be concrete, but must not be contradictory.
                self.expand(child)
        return values

    def _list_value(self, node: Node) -> Value:
        if node.items is None:
            node.items = items_of(node, self._diagnostics)
        return [self.value(item) for item in node.items]

    def _scalar_value(self, node: Node) -> Value:
        if not node.is_concrete:
            found = (
                "is not a concrete value" if self._diagnostics.own_conjuncts(node) else "is missing"
            )
            self._diagnostics.report(
                node, self._diagnostics.own_place(node, node.place), found, self._allowed(node)
            )
            return None
        for constraint in node.constraints:
            if not constraint.allows(node.value):
                found = f"{show(node.value)} is not allowed here"
                self._report_value(
                    node, constraint.place, found, constraint.sign + show(constraint.operand)
                )
        return node.value


def _referred_conjuncts(conjunct: Conjunct, reference: Reference, target: Node) -> list[Conjunct]:
    """Returns the conjuncts of `target`; a reference to a definition closes the struct."""
    uses = conjunct.uses
    if any(name.startswith(DEFINITION) for name in reference.names):
        uses = uses | {DefinitionUse(describe(reference))}
    return [Conjunct(c.expr, c.scope, c.uses | uses) for c in target.conjuncts]


def _is_same_fit(one: Fit, other: Fit) -> bool:
    same_value = one.value == other.value and kind_of(one.value) == kind_of(other.value)
    return same_value and one.is_default == other.is_default


def evaluate(own: Struct, schema: Struct | None = None, definition: str = "") -> Value:
    """Returns the file's value, unified with a definition of the schema.

    Raises:
        CueError: The file has problems; the error has all of them.
    """
    return evaluate_placed(own, schema, definition)[0]


def evaluate_placed(
    own: Struct, schema: Struct | None, definition: str
) -> tuple[Value, dict[str, Place]]:
    """Returns the value as `evaluate` does, and the place of each path in the file.

    The place of a path that is not in the file is that of the enclosing path.
    """
    evaluator = Evaluator(own.place.file)
    root = Node("", own.place)
    if schema is not None:
        outer = Node("", schema.place, [Conjunct(schema, None)])
        evaluator.expand(outer)
        scope = Scope(frozenset(outer.fields), outer, None)
        root.conjuncts.append(Conjunct(Reference(schema.place, (definition,)), scope))
    root.conjuncts.append(Conjunct(own, None))
    try:
        value = evaluator.value(root)
    except (WorkLimitError, RecursionError):
        bounds = (
            f"at most {MAX_STEPS} steps, {MAX_LEVELS} levels, {MAX_COMBINATIONS} combinations of "
            f"choices and {MAX_NESTED_DISJUNCTIONS} nested disjunctions"
        )
        problem = Problem(own.place, "", "evaluation takes too much work", bounds)
        raise CueError([*evaluator.problems, problem]) from None
    if evaluator.problems:
        raise CueError(evaluator.problems)
    return value, evaluator.places


def mask(value: Value, secret_labels: Iterable[str]) -> Value:
    """Returns a copy of the value with the values at these labels hidden."""
    if isinstance(value, dict):
        return {
            k: "(hidden)" if k in secret_labels and v else mask(v, secret_labels)
            for k, v in value.items()
        }
    return [mask(v, secret_labels) for v in value] if isinstance(value, list) else value
