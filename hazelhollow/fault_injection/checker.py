"""Figures of a run, computed from its files alone. Shares no code with the program under test.

Files of the run's folder, JSON or one JSON line each:

    plan.json       the plan (seconds, instances, rates)
    faults.jsonl    what was done: {"t", "what", "whom", "pairs", "on"}; when the load began and
                    ended; when the harness itself was late (an answer that did not come then
                    counts as `unsure`, not as `lost`)
    clients.jsonl   each request and its end
    hN.jsonl        each request that endpoint N began
    relay.jsonl     datagrams and bytes between limiters, second by second
    nN.view.jsonl   each limiter's own membership, whenever it changed
    probes.jsonl    by which settings each limiter served, as seen from outside
"""

from __future__ import annotations

import json
import math
import statistics
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from hazelhollow.fault_injection import membership_checks
from hazelhollow.fault_injection.fault_history import FaultHistory
from hazelhollow.fault_injection.run_files import quantile, read_json_lines

LATE_ANSWER_S = 0.3  # past its deadline, in which an answer is late and not lost
NEAR_FAULT_S = 0.4  # before and after a fault, in which it excuses what it hits
RATES = {"iron": (10.0, 20.0), "gold": None}  # rate and burst; gold: from the plan
CEILINGS = {"iron": (12.0, 24.0)}
CEILING_SLACK_S = 0.15  # of its rate


def over_bucket(taken: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Units beyond a bucket of that rate and size, at the worst moment."""
    level, at, worst = burst, taken[0][0] if taken else 0.0, 0.0
    for when, units in sorted(taken):
        level = min(burst, level + rate * (when - at)) - units
        at, worst = when, min(worst, level)
    return -worst


def check(folder: Path) -> dict[str, Any]:
    """The figures of one drill.

    Raises nothing for lines that are missing: an empty drill shows as `requests` 0.
    """
    plan = json.loads((folder / "plan.json").read_text())
    lines = read_json_lines(folder / "faults.jsonl")
    faults = FaultHistory(lines)
    requests = read_json_lines(folder / "clients.jsonl")
    ran = [
        row | {"host": path.stem}
        for path in sorted(folder.glob("h*.jsonl"))
        for row in read_json_lines(path)
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
    found |= membership_checks.memberships(folder, plan, faults)
    found |= messages(folder)
    found |= settings(folder, plan, faults)
    return found


def answers(
    requests: list[dict[str, Any]], ran: list[dict[str, Any]], faults: FaultHistory
) -> dict[str, Any]:
    """Each request against what the hosts began."""
    begun = Counter(row["id"] for row in ran)
    lost, unsure, doubled, untrue = list[str](), 0, 0, 0
    for row in requests:
        since, until = row["t"] - NEAR_FAULT_S, row["end"] + NEAR_FAULT_S
        excused = faults.was_down(row["to"], since, until) or any(
            faults.link_hit(a, b, since, until) for a, b in (("c", row["to"]), (row["to"], "c"))
        )
        late = row["end"] - row["t"] > row["patience"] + LATE_ANSWER_S
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
    plan: dict[str, Any],
    requests: list[dict[str, Any]],
    ran: list[dict[str, Any]],
    faults: FaultHistory,
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
            passed += over_bucket(taken, ceiling, hard + CEILING_SLACK_S * ceiling) > 0
    return {
        "ceilings_passed": passed,
        "over_quota_units": round(over, 1) if asked else None,
        "over_quota_worst": round(worst, 1),
        "quota_units": round(quota, 1),
        "service_share": round(served / due, 4) if due else None,
    }


def settings(folder: Path, plan: dict[str, Any], faults: FaultHistory) -> dict[str, Any]:
    """Who served by older settings after newer ones were out and could be heard of.

    As probes saw it from outside.
    """
    probes = read_json_lines(folder / "probes.jsonl")
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


def messages(folder: Path) -> dict[str, Any]:
    """Datagrams that limiters sent, a second and member."""
    seconds = [row for row in read_json_lines(folder / "relay.jsonl") if row["members"]]
    if not seconds:
        return {"messages_per_member_s": None, "bytes_per_member_s": None}
    sent = [row["datagrams"] / row["members"] for row in seconds]
    size = [row["bytes"] / row["members"] for row in seconds]
    return {
        "messages_per_member_s": round(statistics.mean(sent), 2),
        "bytes_per_member_s": round(statistics.mean(size), 1),
    }
