"""Figures of a run, computed from its files alone.

The checker shares no code with the program under test. It reads these files of the run's folder,
in JSON or JSON Lines:

    plan.json       the plan (seconds, instances, rates)
    faults.jsonl    the injected faults: {"t", "what", "whom", "pairs", "on"}; the begin and end of
                    the load; and the times at which the harness itself was late (an answer missing
                    at such a time counts as `unsure`, not as `lost`)
    clients.jsonl   each request and its outcome
    hN.jsonl        each request that endpoint N began
    relay.jsonl     datagrams and bytes between limiters in each second
    nN.view.jsonl   limiter N's membership, whenever it changed
    probes.jsonl    the settings that each limiter applied, as probes observed them
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

LATE_ANSWER_S = 0.3  # an answer up to this long after its deadline does not count as lost
NEAR_FAULT_S = 0.4  # a fault also excuses failures up to this long before and after it
RATES = {"iron": (10.0, 20.0), "gold": None}  # rate and burst; None: given in the plan
CEILINGS = {"iron": (12.0, 24.0)}  # rate and burst
CEILING_SLACK_S = 0.15  # tolerance, as the units that a ceiling's rate gives in this time


def max_overdraft(usage: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Returns the most units by which usage exceeded a token bucket at any time.

    Args:
        usage: times and units.
        rate: units per second that the bucket gains.
        burst: its capacity in units.
    """
    level, at, lowest = burst, usage[0][0] if usage else 0.0, 0.0
    for when, units in sorted(usage):
        level = min(burst, level + rate * (when - at)) - units
        at, lowest = when, min(lowest, level)
    return -lowest


def check(folder: Path) -> dict[str, Any]:
    """Returns the figures of one drill.

    Missing files and lines raise no error: a drill without requests has `requests` 0.
    """
    plan = json.loads((folder / "plan.json").read_text())
    lines = read_json_lines(folder / "faults.jsonl")
    faults = FaultHistory(lines)
    requests = read_json_lines(folder / "clients.jsonl")
    begun_rows = [
        row | {"host": path.stem}
        for path in sorted(folder.glob("h*.jsonl"))
        for row in read_json_lines(path)
    ]
    figures: dict[str, Any] = {
        "requests": len(requests),
        "accepted": sum(row["outcome"] == "served" for row in requests),
        "outcomes": dict(Counter(row["outcome"] for row in requests)),
    }
    figures |= answer_figures(requests, begun_rows, faults)
    figures |= {
        "kills": sum(len(line["whom"]) for line in lines if line["what"] == "kill" and line["on"]),
        "stalls": sum(
            len(line["whom"]) for line in lines if line["what"] == "pause" and line["on"]
        ),
        "cuts": sum(line["what"] == "cut" and line["on"] for line in lines),
    }
    figures |= quota_figures(plan, requests, begun_rows, faults)
    figures |= membership_checks.membership_figures(folder, plan, faults)
    figures |= message_figures(folder)
    figures |= settings_figures(folder, plan, faults)
    return figures


def answer_figures(
    requests: list[dict[str, Any]], begun_rows: list[dict[str, Any]], faults: FaultHistory
) -> dict[str, Any]:
    """Compares each request's outcome with the requests that the endpoints began."""
    times_begun = Counter(row["id"] for row in begun_rows)
    lost, unsure, doubled, untrue = list[str](), 0, 0, 0
    for row in requests:
        since, until = row["t"] - NEAR_FAULT_S, row["end"] + NEAR_FAULT_S
        excused = faults.was_down(row["to"], since, until) or any(
            faults.was_link_affected(a, b, since, until)
            for a, b in (("c", row["to"]), (row["to"], "c"))
        )
        is_late = row["end"] - row["t"] > row["patience"] + LATE_ANSWER_S
        if not excused and (
            is_late or row["outcome"] in ("silent", "closed", "crossed", "reset", "refused")
        ):
            if any(a <= until and b >= since for a, b in faults.harness_delays):
                unsure += 1
            else:
                lost.append(row["id"])
        doubled += row["extra"]
        if row["outcome"] == "served" and (
            row["value"] != f"served {row['id']}" or not times_begun[row["id"]]
        ):
            untrue += 1
        # `busy` guarantees that the request did not run.
        if row["outcome"] == "busy" and row["kind"] == "buy" and times_begun[row["id"]]:
            untrue += 1
    not_repeatable = {row["id"] for row in requests if row["kind"] == "buy"}
    return {
        "lost": len(lost),
        "lost_ids": lost[:20],
        "unsure": unsure,
        "doubled": doubled,
        "untrue_answers": untrue,
        "repeats_not_allowed": sum(
            count > 1 for request, count in times_begun.items() if request in not_repeatable
        ),
    }


def quota_figures(
    plan: dict[str, Any],
    requests: list[dict[str, Any]],
    begun_rows: list[dict[str, Any]],
    faults: FaultHistory,
) -> dict[str, Any]:
    """Compares the customers' usage with their quotas and ceilings.

    A request counts once, at the time when its first attempt began.
    """
    first_attempt_at: dict[str, float] = {}
    for row in begun_rows:
        first_attempt_at[row["id"]] = min(row["t"], first_attempt_at.get(row["id"], row["t"]))
    usage_by_customer: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    requested: Counter[tuple[str, str]] = Counter()
    for row in requests:
        key = row["plan"], row["customer"]
        requested[key] += row["units"]
        if row["id"] in first_attempt_at:
            usage_by_customer[key].append((first_attempt_at[row["id"]], row["units"]))
    duration = faults.end - faults.begin
    quota = served = entitled = max_excess = 0.0
    max_total_excess = -math.inf
    ceilings_passed = 0
    for (name, customer), _ in requested.items():
        rate, burst = RATES.get(name) or (plan.get("per_second", 20.0), plan.get("burst", 40.0))
        usage = usage_by_customer[name, customer]
        total = sum(amount for _, amount in usage)
        allowed = rate * duration
        quota += allowed
        max_total_excess = max(max_total_excess, total - allowed - burst)
        max_excess = max(max_excess, max_overdraft(usage, rate, burst))
        served += min(total, allowed + burst)
        entitled += min(requested[name, customer], allowed + burst)
        if name in CEILINGS:
            ceiling, hard_burst = CEILINGS[name]
            ceilings_passed += (
                max_overdraft(usage, ceiling, hard_burst + CEILING_SLACK_S * ceiling) > 0
            )
    return {
        "ceilings_passed": ceilings_passed,
        "over_quota_units": round(max_total_excess, 1) if requested else None,
        "over_quota_worst": round(max_excess, 1),
        "quota_units": round(quota, 1),
        "service_share": round(served / entitled, 4) if entitled else None,
    }


def settings_figures(folder: Path, plan: dict[str, Any], faults: FaultHistory) -> dict[str, Any]:
    """Finds limiters that still applied older settings when they could have had the newest.

    A limiter could have the newest settings once these were distributed and its last outage and the
    last cut or stall of its links had ended. The probes show which settings it applied.
    """
    probes = read_json_lines(folder / "probes.jsonl")
    if not probes or not faults.settings_changes:
        return {"acted_on_old_after_s_p99": None, "stragglers": None}
    newest = max(revision for _, revision, _ in faults.settings_changes)
    released_at = min(at for at, revision, _ in faults.settings_changes if revision == newest)
    delays = []
    for name in [f"n{n}" for n in range(plan.get("instances", 5))]:
        old_settings_seen_at = [
            row["t"]
            for row in probes
            if row["to"] == name
            and row["t"] > released_at
            and row["new"] == "unknown"
            and row["look"] == "served"
        ]
        link_ends = [
            end
            for (a, b), spans in faults.links.items()
            if name in (a, b)
            for begin, end, what in spans
            if end > released_at and what in ("cut", "stall")
        ]
        down_ends = [end for begin, end in faults.down.get(name, []) if end > released_at]
        unexcused = [
            at for at in old_settings_seen_at if at > max([released_at, *link_ends, *down_ends])
        ]
        delays.append(
            max(
                (
                    at - max([released_at, *(t for t in [*link_ends, *down_ends] if t <= at)])
                    for at in unexcused
                ),
                default=0.0,
            )
        )
    return {
        "acted_on_old_after_s_p99": quantile(delays, 0.99),
        "stragglers": sum(delay > 0 for delay in delays),
    }


def message_figures(folder: Path) -> dict[str, Any]:
    """Returns the datagrams and bytes that limiters sent, per second and member."""
    seconds = [row for row in read_json_lines(folder / "relay.jsonl") if row["members"]]
    if not seconds:
        return {"messages_per_member_s": None, "bytes_per_member_s": None}
    sent = [row["datagrams"] / row["members"] for row in seconds]
    size = [row["bytes"] / row["members"] for row in seconds]
    return {
        "messages_per_member_s": round(statistics.mean(sent), 2),
        "bytes_per_member_s": round(statistics.mean(size), 1),
    }
