"""Whether the limiters of a run agreed on who was up, and how soon."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

from hazelhollow.fault_injection.fault_history import NEVER, FaultHistory
from hazelhollow.fault_injection.run_files import quantile, read_json_lines

DEATH_EXCUSED_S = 10.0  # after a fault, in which a death need not be false
OBSERVABLE_S = 3.0  # that a process must be down for its suspicion to be due
DEAD = ("dead", "left")
PARTIAL_FAULTS = ("lose", "delay", "double", "reorder")
NO_FIGURES: dict[str, Any] = {
    "settled_s_p50": None,
    "settled_s_p99": None,
    "views_differ": None,
    "false_deaths": None,
    "suspected_s_max": None,
}


def memberships(folder: Path, plan: dict[str, Any], faults: FaultHistory) -> dict[str, Any]:
    """Each limiter's membership against the others' and against the faults of processes."""
    names = [f"n{n}" for n in range(plan.get("instances", 5))]
    histories = {name: read_json_lines(folder / f"{name}.view.jsonl") for name in names}
    if not any(histories.values()):
        return dict(NO_FIGURES)
    gone = faults.gone_at_end()
    left = [name for name in names if name not in gone]
    final = {name: histories[name][-1]["members"] if histories[name] else {} for name in left}
    true = {str(names.index(name)): "dead" if name in gone else "alive" for name in names}
    right = [json.dumps(view, sort_keys=True) for view in final.values() if _states(view) == true]
    common = Counter(right).most_common(1)[0][0] if right else ""
    differ = [n for n in left if json.dumps(final[n], sort_keys=True) != common]
    agreeing = [name for name in left if name not in differ] if faults.last else []
    settled = [_settled(histories[name], final[name], faults.last) for name in agreeing]
    return {
        "settled_s_p50": quantile(settled, 0.5),
        "settled_s_p99": quantile(settled, 0.99),
        "views_differ": len(differ),
        "differ": differ[:10],
        "false_deaths": _false_deaths(histories, names, faults),
        "suspected_s_max": _max_suspicion_delay(histories, names, faults),
    }


def _states(view: dict[str, Any]) -> dict[str, str]:
    same = {"dead": "dead", "left": "dead", "shut out": "alive"}  # one that is shut out is there
    return {number: same.get(entry[0], entry[0]) for number, entry in view.items()}


def _settled(lines: list[dict[str, Any]], final: dict[str, Any], since: float) -> float:
    """Seconds after the last fault from which this process had its final membership."""
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
    """Incarnations that were considered dead though they ran and could be heard."""
    found = set[tuple[int, Any]]()
    for observer, lines in histories.items():
        before: dict[str, Any] = {}
        for line in lines:
            for number, (state, incarnation, *_) in line["members"].items():
                was_dead = before.get(number, [""])[0] == "dead"
                member, at = names[int(number)], line["t"]
                if state != "dead" or was_dead:
                    continue
                since = at - DEATH_EXCUSED_S
                was_down = faults.was_down(member, since, at) or faults.was_down(
                    observer, since, at
                )
                if not was_down and not _was_partitioned(faults, names, since, at):
                    found.add((int(number), incarnation))
            before = line["members"]
    return len(found)


def _was_partitioned(faults: FaultHistory, names: list[str], since: float, until: float) -> bool:
    """Whether any link between limiters lost everything; others may have told the observer."""
    return any(
        faults.link_hit(sender, receiver, since, until, but=PARTIAL_FAULTS)
        for sender in names
        for receiver in names
    )


def _max_suspicion_delay(
    histories: dict[str, list[dict[str, Any]]], names: list[str], faults: FaultHistory
) -> float | None:
    """Seconds at most until anybody suspected a process that was stopped or killed."""
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
    worst = max(delays, default=None)
    return round(worst, 3) if worst is not None and worst != NEVER else worst


def _suspicion_delay(
    histories: dict[str, list[dict[str, Any]]], number: str, begin: float
) -> float:
    """Seconds from `begin` until a member was suspected or dead to anybody.

    An observer that was partitioned from it may have suspected it earlier: then 0.
    """
    first = min(
        (
            line["t"] - begin
            for lines in histories.values()
            for line, following in zip(lines, [*lines[1:], None], strict=True)
            if following is None or following["t"] >= begin
            if line["members"].get(number, ["alive"])[0] in ("suspect", *DEAD)
        ),
        default=NEVER,
    )
    return max(0.0, first)
