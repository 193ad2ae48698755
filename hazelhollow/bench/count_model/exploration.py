"""Breadth-first search through the states of the model."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from hazelhollow.bench.count_model.cluster import Bounds, Cluster, Step
from hazelhollow.bench.errors import InvariantError

PROGRESS_INTERVAL = 1000  # states between two calls of `progress`


def replay(bounds: Bounds, steps: tuple[Step, ...]) -> Cluster:
    """Returns the state after these steps, applied to the initial state."""
    cluster = Cluster(bounds)
    for step in steps:
        cluster.apply(step)
    return cluster


@dataclass
class SearchResult:
    """The result of a search.

    Args:
        states: Number of states visited.
        steps: The shortest sequence that violates an invariant; empty if none was found.
        failure: Description of the violation; empty if none was found.
    """

    states: int
    steps: tuple[Step, ...] = ()
    failure: str = ""


def explore(
    bounds: Bounds,
    progress: Callable[[int], None] = lambda _: None,
    first: tuple[Step, ...] = (),
) -> SearchResult:
    """Visits every state within the bounds and stops at the first that violates an invariant.

    Args:
        bounds: The events that may happen.
        progress: Called with the number of visited states, every PROGRESS_INTERVAL states.
        first: Steps that all sequences start with.

    Returns:
        The number of visited states, and the shortest sequence that violates an invariant.
    """
    seen = {replay(bounds, first).snapshot()}
    queue, states = deque[tuple[Step, ...]]([first]), 0
    while queue:
        steps = queue.popleft()
        states += 1
        if states % PROGRESS_INTERVAL == 0:
            progress(states)
        try:
            replay(bounds, steps).check()
            replay(bounds, steps).check_after_exchange()
        except InvariantError as error:
            return SearchResult(states, steps, str(error))
        if len(steps) == bounds.depth:
            continue
        for step in list(replay(bounds, steps).possible_steps()):
            snapshot = replay(bounds, (*steps, step)).snapshot()
            if snapshot not in seen:
                seen.add(snapshot)
                queue.append((*steps, step))
    return SearchResult(states)
