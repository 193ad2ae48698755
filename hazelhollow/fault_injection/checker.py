"""What came of a drill, from files alone.

What crossed the relay, the clients', the hosts' and the views' lines.

It shares no code with the program. Files of the folder, JSON or a JSON line each:

    plan.json       what was asked for (seconds, instances, rates)
    faults.jsonl    what was done: {"t", "what", "whom", "pairs", "on"}; when the load began and
      ended; when the drill itself was
                    late (an answer that did not come then counts as `unsure`, not as `lost`)
    clients.jsonl   each request and its end
    hN.jsonl        each request that host N began
    relay.jsonl     datagrams and bytes by direction, second by second
    nN.view.jsonl   each limiter's own view, whenever it changed
"""

from __future__ import annotations

import json
import math
import statistics
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

SLACK = 0.3  # seconds past its patience in which an answer is late and not lost
NEAR = 0.4  # seconds round a fault in which what it hits is its doing
AFTER = 10.0  # seconds after a fault of links or processes in which a death need not be false
RATES = {"iron": (10.0, 20.0), "gold": None}  # rate and burst; gold: from the plan
CEILINGS = {"iron": (12.0, 24.0)}
CEILING_SLACK = 0.15  # seconds of its rate
DEAD = ("dead", "left")


def rows(path: Path) -> list[dict[str, Any]]:
    """A line that was cut short by a kill is left out."""
    found = []
    for line in path.read_text().splitlines() if path.exists() else []:
        try:
            found.append(json.loads(line))
        except ValueError:
            continue
    return found


class Faults:
    """When each process and each direction was not sound."""

    def __init__(self, lines: list[dict[str, Any]]) -> None:
        self.down: dict[str, list[list[float]]] = defaultdict(
            list
        )  # processes that were dead, stopped or starting
        self.why: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.links: dict[tuple[str, str], list[tuple[float, float, str]]] = defaultdict(list)
        self.begin = self.end = self.last = 0.0
        self.late: list[tuple[float, float]] = []  # when the drill itself was
        self.changed: list[
            tuple[float, int, list[str]]
        ] = []  # when settings of which order were given to whom
        began: dict[int, dict[str, Any]] = {}
        for line in lines:
            if line["what"] == "late":
                self.late.append((line["t"] - line["late"], line["t"]))
                continue
            if line["what"] == "load":
                self.begin, self.end = line["t"], line["until"]
            elif line["what"] == "settings":
                self.changed.append((line["t"], line["order"], line["whom"]))
            elif line.get("pairs") is not None:
                self._link(line, began)
            else:
                self._process(line)
            if line["what"] != "load":
                self.last = max(self.last, line["t"])

    def _link(self, line: dict[str, Any], began: dict[int, dict[str, Any]]) -> None:
        if line["on"]:
            began[line["number"]] = line
            return
        first = began.pop(line["number"])
        for a, b in first["pairs"]:
            self.links[a, b].append((first["t"], line["t"], first["what"]))

    def _process(self, line: dict[str, Any]) -> None:
        for name in line["whom"]:
            self.why[name].append((line["t"], line["what"]))
            if line["on"]:
                self.down[name].append([line["t"], float("inf")])
            elif self.down[name]:
                self.down[name][-1][1] = line["t"]

    def was_down(self, name: str, since: float, until: float) -> bool:
        return any(a <= until and b >= since for a, b in self.down.get(name, []))

    def link_hit(
        self, a: str, b: str, since: float, until: float, but: tuple[str, ...] = ()
    ) -> bool:
        return any(
            s <= until and e >= since and what not in but
            for s, e, what in self.links.get((a, b), [])
        )

    def gone_at_end(self) -> set[str]:
        return {name for name, spans in self.down.items() if spans and spans[-1][1] == float("inf")}


def over_bucket(taken: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Units beyond a bucket of that rate and size, at the worst moment."""
    level, at, worst = burst, taken[0][0] if taken else 0.0, 0.0
    for when, units in sorted(taken):
        level = min(burst, level + rate * (when - at)) - units
        at, worst = when, min(worst, level)
    return -worst


def quantile(values: list[float], share: float) -> float | None:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3) if ordered else None


def check(folder: Path) -> dict[str, Any]:
    """The figures of one drill.

    Raises nothing for lines that are missing: an empty drill shows as `requests` 0.
    """
    plan = json.loads((folder / "plan.json").read_text())
    lines = rows(folder / "faults.jsonl")
    faults = Faults(lines)
    requests = rows(folder / "clients.jsonl")
    ran = [
        row | {"host": path.stem} for path in sorted(folder.glob("h*.jsonl")) for row in rows(path)
    ]
    found: dict[str, Any] = {
        "requests": len(requests),
        "accepted": sum(row["outcome"] == "served" for row in requests),
        "outcomes": dict(Counter(row["outcome"] for row in requests)),
    }
    found |= answers(requests, ran, faults)
    found |= {
        "kills": sum(len(line["whom"]) for line in lines if line["what"] == "kill" and line["on"]),
        "stalls": sum(
            len(line["whom"]) for line in lines if line["what"] == "pause" and line["on"]
        ),
        "cuts": sum(line["what"] == "cut" and line["on"] for line in lines),
    }
    found |= units(plan, requests, ran, faults)
    found |= views(folder, plan, faults)
    found |= messages(folder, plan, faults)
    found |= settings(folder, plan, faults)
    return found


def answers(
    requests: list[dict[str, Any]], ran: list[dict[str, Any]], faults: Faults
) -> dict[str, Any]:
    """Each request against what the hosts began."""
    begun = Counter(row["id"] for row in ran)
    lost, unsure, doubled, untrue = list[str](), 0, 0, 0
    for row in requests:
        since, until = row["t"] - NEAR, row["end"] + NEAR
        excused = faults.was_down(row["to"], since, until) or any(
            faults.link_hit(a, b, since, until) for a, b in (("c", row["to"]), (row["to"], "c"))
        )
        late = row["end"] - row["t"] > row["patience"] + SLACK
        if not excused and (
            late or row["outcome"] in ("silent", "closed", "crossed", "reset", "refused")
        ):
            if any(a <= until and b >= since for a, b in faults.late):
                unsure += 1
            else:
                lost.append(row["id"])
        doubled += row["extra"]
        if row["outcome"] == "served" and (
            row["value"] != f"served {row['id']}" or not begun[row["id"]]
        ):
            untrue += 1
        if row["outcome"] == "busy" and row["kind"] == "buy" and begun[row["id"]]:
            untrue += 1  # busy, which promises that it has not run
    once = {row["id"] for row in requests if row["kind"] == "buy"}
    return {
        "lost": len(lost),
        "lost_ids": lost[:20],
        "unsure": unsure,
        "doubled": doubled,
        "untrue_answers": untrue,
        "repeats_not_allowed": sum(
            count > 1 for request, count in begun.items() if request in once
        ),
    }


def units(
    plan: dict[str, Any], requests: list[dict[str, Any]], ran: list[dict[str, Any]], faults: Faults
) -> dict[str, Any]:
    """What customers used against their quotas and ceilings.

    A try counts once, when its first attempt began.
    """
    first: dict[str, float] = {}
    for row in ran:
        first[row["id"]] = min(row["t"], first.get(row["id"], row["t"]))
    used: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    asked: Counter[tuple[str, str]] = Counter()
    for row in requests:
        key = row["plan"], row["customer"]
        asked[key] += row["units"]
        if row["id"] in first:
            used[key].append((first[row["id"]], row["units"]))
    span = faults.end - faults.begin
    quota = served = due = worst = 0.0
    over = -math.inf
    passed = 0
    for (name, customer), _ in asked.items():
        rate, burst = RATES.get(name) or (plan.get("per_second", 20.0), plan.get("burst", 40.0))
        taken = used[name, customer]
        total = sum(amount for _, amount in taken)
        allowed = rate * span
        quota += allowed
        over = max(over, total - allowed - burst)  # the customer who got most beyond its own
        worst = max(worst, over_bucket(taken, rate, burst))
        served += min(total, allowed + burst)
        due += min(asked[name, customer], allowed + burst)
        if name in CEILINGS:
            ceiling, hard = CEILINGS[name]
            passed += over_bucket(taken, ceiling, hard + CEILING_SLACK * ceiling) > 0
    return {
        "ceilings_passed": passed,
        "over_quota_units": round(over, 1) if asked else None,
        "over_quota_worst": round(worst, 1),
        "quota_units": round(quota, 1),
        "service_share": round(served / due, 4) if due else None,
    }


def views(folder: Path, plan: dict[str, Any], faults: Faults) -> dict[str, Any]:
    """Each limiter's own view against the others' and against what was done to the processes."""
    names = [f"n{n}" for n in range(plan.get("instances", 5))]
    said = {name: rows(folder / f"{name}.view.jsonl") for name in names}
    if not any(said.values()):
        return {
            "settled_s_p50": None,
            "settled_s_p99": None,
            "views_differ": None,
            "false_deaths": None,
            "suspected_s_max": None,
        }
    gone = faults.gone_at_end()
    left = [name for name in names if name not in gone]
    final = {name: said[name][-1]["members"] if said[name] else {} for name in left}
    true = {str(names.index(name)): "dead" if name in gone else "alive" for name in names}
    right = [json.dumps(view, sort_keys=True) for view in final.values() if _states(view) == true]
    common = Counter(right).most_common(1)[0][0] if right else ""
    differ = [n for n in left if json.dumps(final[n], sort_keys=True) != common]
    calm = not faults.last
    settled = (
        []
        if calm
        else [_settled(said[name], final[name], faults.last) for name in left if name not in differ]
    )
    return {
        "settled_s_p50": quantile(settled, 0.5),
        "settled_s_p99": quantile(settled, 0.99),
        "views_differ": len(differ),
        "differ": differ[:10],
        "false_deaths": _false_deaths(said, names, faults),
        "suspected_s_max": _suspected(said, names, faults),
    }


def _states(view: dict[str, Any]) -> dict[str, str]:
    same = {"dead": "dead", "left": "dead", "shut out": "alive"}  # one that is shut out is there
    return {number: same.get(entry[0], entry[0]) for number, entry in view.items()}


def _settled(lines: list[dict[str, Any]], final: dict[str, Any], since: float) -> float:
    """Seconds after the last fault from which this process held its final view."""
    at = since
    for line in lines:
        if line["members"] != final:
            at = float("inf")
        elif at == float("inf"):
            at = line["t"]
    return max(0.0, at - since)


def _false_deaths(said: dict[str, list[dict[str, Any]]], names: list[str], faults: Faults) -> int:
    """One that was running and could be heard, and was declared dead all the same.

    By incarnation, however many said so.
    """
    found = set[tuple[int, Any]]()
    for observer, lines in said.items():
        before: dict[str, Any] = {}
        for line in lines:
            for number, entry in line["members"].items():
                whom, at = names[int(number)], line["t"]
                if entry[0] == "dead" and before.get(number, [""])[0] != "dead":
                    hit = faults.was_down(whom, at - AFTER, at) or faults.was_down(
                        observer, at - AFTER, at
                    )
                    cut = any(
                        faults.link_hit(
                            a, b, at - AFTER, at, but=("lose", "delay", "double", "reorder")
                        )
                        for a in names
                        for b in names
                    )
                    if not hit and not cut:
                        found.add((int(number), entry[1]))
            before = line["members"]
    return len(found)


def _suspected(
    said: dict[str, list[dict[str, Any]]], names: list[str], faults: Faults
) -> float | None:
    """The longest time until a stopped or killed process was suspected by anybody."""
    worst: float | None = None
    for name, spans in faults.down.items():
        if name not in names:
            continue
        number = str(names.index(name))
        for begin, end in spans:
            seen = [
                line["t"] - begin  # one that was cut off before may have been suspected by then
                for observer, lines in said.items()
                for line, after in zip(lines, [*lines[1:], None], strict=True)
                if observer != name and (after is None or after["t"] >= begin)
                if line["members"].get(number, ["alive"])[0] in ("suspect", *DEAD)
            ]
            if end - begin > 3.0 and any(
                not faults.was_down(o, begin, begin + 3.0) for o in names if o != name
            ):
                worst = max(worst or 0.0, min(seen, default=float("inf")))
    return round(worst, 3) if worst is not None and worst != float("inf") else worst


def settings(folder: Path, plan: dict[str, Any], faults: Faults) -> dict[str, Any]:
    """Who served by older settings after newer ones were out and could be heard of.

    As probes saw it from outside.
    """
    probes = rows(folder / "probes.jsonl")
    if not probes or not faults.changed:
        return {"acted_on_old_after_s_p99": None, "stragglers": None}
    order = max(number for _, number, _ in faults.changed)
    out = min(at for at, number, _ in faults.changed if number == order)
    after = []
    for name in [f"n{n}" for n in range(plan.get("instances", 5))]:
        old = [
            row["t"]
            for row in probes
            if row["to"] == name
            and row["t"] > out
            and row["new"] == "unknown"
            and row["look"] == "served"
        ]
        hidden = [
            end
            for (a, b), spans in faults.links.items()
            if name in (a, b)
            for begin, end, what in spans
            if end > out and what in ("cut", "stall")
        ]
        down = [end for begin, end in faults.down.get(name, []) if end > out]
        later = [at for at in old if at > max([out, *hidden, *down])]
        after.append(
            max(
                (at - max([out, *(t for t in [*hidden, *down] if t <= at)]) for at in later),
                default=0.0,
            )
        )
    return {
        "acted_on_old_after_s_p99": quantile(after, 0.99),
        "stragglers": sum(seconds > 0 for seconds in after),
    }


def messages(folder: Path, plan: dict[str, Any], faults: Faults) -> dict[str, Any]:
    """Datagrams that limiters sent, a second and member."""
    seconds = [row for row in rows(folder / "relay.jsonl") if row["members"]]
    if not seconds:
        return {"messages_per_member_s": None, "bytes_per_member_s": None}
    sent = [row["datagrams"] / row["members"] for row in seconds]
    size = [row["bytes"] / row["members"] for row in seconds]
    return {
        "messages_per_member_s": round(statistics.mean(sent), 2),
        "bytes_per_member_s": round(statistics.mean(size), 1),
    }
