"""Breadth-first search through the states of the model."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from hazelhollow.bench.count_model.cluster import Bounds, Cluster, Step
from hazelhollow.bench.errors import InvariantError

PROGRESS_INTERVAL = 1000  # states


def play(bounds: Bounds, steps: tuple[Step, ...]) -> Cluster:
    """The state after these steps."""
    cluster = Cluster(bounds)
    for step in steps:
        cluster.take(step)
    return cluster


@dataclass
class Found:
    """What a search found.

    Args:
        states: How many states were visited.
        steps: The shortest steps to a broken invariant; empty if none is broken.
        failure: What is broken; empty if nothing is.
    """

    states: int
    steps: tuple[Step, ...] = ()
    failure: str = ""


def explore(
    bounds: Bounds,
    progress: Callable[[int], None] = lambda _: None,
    first: tuple[Step, ...] = (),
) -> Found:
    """Visit every state within the bounds, or up to the first that breaks an invariant.

    Args:
        bounds: How much may happen.
        progress: Called with the number of states so far, now and then.
        first: Steps that all sequences begin with.

    Returns:
        Statistics, and the shortest sequence that breaks an invariant.
    """
    seen = {play(bounds, first).snapshot()}
    waiting, states = deque[tuple[Step, ...]]([first]), 0
    while waiting:
        steps = waiting.popleft()
        states += 1
        if states % PROGRESS_INTERVAL == 0:
            progress(states)
        try:
            play(bounds, steps).check()
            play(bounds, steps).check_after_exchange()
        except InvariantError as error:
            return Found(states, steps, str(error))
        if len(steps) == bounds.depth:
            continue
        for step in list(play(bounds, steps).possible_steps()):
            snapshot = play(bounds, (*steps, step)).snapshot()
            if snapshot not in seen:
                seen.add(snapshot)
                waiting.append((*steps, step))
    return Found(states)
