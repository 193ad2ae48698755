"""Checks whether the limiters of a run agreed on the membership, and how soon."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

from hazelhollow.fault_injection.fault_history import NEVER, FaultHistory
from hazelhollow.fault_injection.run_files import quantile, read_json_lines

DEATH_EXCUSED_S = 10.0  # a fault excuses a death that is declared up to this long after it
OBSERVABLE_S = 3.0  # a process that is down for longer than this must be suspected
DEAD = ("dead", "left")
PARTIAL_FAULTS = ("lose", "delay", "double", "reorder")
NO_FIGURES: dict[str, Any] = {
    "settled_s_p50": None,
    "settled_s_p99": None,
    "views_differ": None,
    "false_deaths": None,
    "suspected_s_max": None,
}


def membership_figures(folder: Path, plan: dict[str, Any], faults: FaultHistory) -> dict[str, Any]:
    """Compares each limiter's membership with the others' and with the injected faults."""
    names = [f"n{n}" for n in range(plan.get("instances", 5))]
    histories = {name: read_json_lines(folder / f"{name}.view.jsonl") for name in names}
    if not any(histories.values()):
        return dict(NO_FIGURES)
    gone = faults.gone_at_end()
    survivors = [name for name in names if name not in gone]
    final = {name: histories[name][-1]["members"] if histories[name] else {} for name in survivors}
    actual = {str(names.index(name)): "dead" if name in gone else "alive" for name in names}
    correct = [
        json.dumps(view, sort_keys=True) for view in final.values() if _states(view) == actual
    ]
    common = Counter(correct).most_common(1)[0][0] if correct else ""
    differ = [n for n in survivors if json.dumps(final[n], sort_keys=True) != common]
    agreeing = [name for name in survivors if name not in differ] if faults.last_change_at else []
    settled = [
        _settling_time(histories[name], final[name], faults.last_change_at) for name in agreeing
    ]
    return {
        "settled_s_p50": quantile(settled, 0.5),
        "settled_s_p99": quantile(settled, 0.99),
        "views_differ": len(differ),
        "differ": differ[:10],
        "false_deaths": _false_deaths(histories, names, faults),
        "suspected_s_max": _max_suspicion_delay(histories, names, faults),
    }


def _states(view: dict[str, Any]) -> dict[str, str]:
    # A member that is shut out is still running.
    equivalent = {"dead": "dead", "left": "dead", "shut out": "alive"}
    return {number: equivalent.get(entry[0], entry[0]) for number, entry in view.items()}


def _settling_time(lines: list[dict[str, Any]], final: dict[str, Any], since: float) -> float:
    """Returns the seconds from `since` until a limiter's membership was the final one."""
    at = since
    for line in lines:
        if line["members"] != final:
            at = NEVER
        elif at == NEVER:
            at = line["t"]
    return max(0.0, at - since)


def _false_deaths(
    histories: dict[str, list[dict[str, Any]]], names: list[str], faults: FaultHistory
) -> int:
    """Counts incarnations that were declared dead although they ran and were reachable."""
    falsely_dead = set[tuple[int, Any]]()
    for observer, lines in histories.items():
        previous: dict[str, Any] = {}
        for line in lines:
            for number, (state, incarnation, *_) in line["members"].items():
                was_dead = previous.get(number, [""])[0] == "dead"
                member, at = names[int(number)], line["t"]
                if state != "dead" or was_dead:
                    continue
                since = at - DEATH_EXCUSED_S
                was_down = faults.was_down(member, since, at) or faults.was_down(
                    observer, since, at
                )
                if not was_down and not _was_partitioned(faults, names, since, at):
                    falsely_dead.add((int(number), incarnation))
            previous = line["members"]
    return len(falsely_dead)


def _was_partitioned(faults: FaultHistory, names: list[str], since: float, until: float) -> bool:
    """Whether any link between limiters lost all datagrams in the period.

    Every link counts: the observer may have learned of the death from other members.
    """
    return any(
        faults.was_link_affected(sender, receiver, since, until, ignored=PARTIAL_FAULTS)
        for sender in names
        for receiver in names
    )


def _max_suspicion_delay(
    histories: dict[str, list[dict[str, Any]]], names: list[str], faults: FaultHistory
) -> float | None:
    """Returns the longest time until any member suspected a process that was paused or killed."""
    delays = list[float]()
    for name in names:
        observers = [other for other in names if other != name]
        for begin, end in faults.down.get(name, []):
            long_enough = end - begin > OBSERVABLE_S
            if long_enough and any(
                not faults.was_down(observer, begin, begin + OBSERVABLE_S) for observer in observers
            ):
                lines = {observer: histories[observer] for observer in observers}
                delays.append(_suspicion_delay(lines, str(names.index(name)), begin))
    longest = max(delays, default=None)
    return round(longest, 3) if longest is not None and longest != NEVER else longest


def _suspicion_delay(
    histories: dict[str, list[dict[str, Any]]], number: str, begin: float
) -> float:
    """Returns the seconds from `begin` until any observer saw a member as suspect or dead.

    The delay is 0 if an observer, for example one partitioned from the member, already suspected
    it.
    """
    shortest = min(
        (
            line["t"] - begin
            for lines in histories.values()
            for line, following in zip(lines, [*lines[1:], None], strict=True)
            if following is None or following["t"] >= begin
            if line["members"].get(number, ["alive"])[0] in ("suspect", *DEAD)
        ),
        default=NEVER,
    )
    return max(0.0, shortest)
