"""The checker: it sees each broken promise, and excuses only what a fault explains."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from hazelhollow.fault_injection import checker, plan
from hazelhollow.fault_injection.fault_history import FaultHistory


def played(folder: Path, **files: list[dict[str, Any]]) -> dict[str, Any]:
    (folder / "plan.json").write_bytes(
        plan.write(plan.Plan(name="x", instances=2, hosts=1, seconds=10))
    )
    load = [{"what": "load", "t": 100.0, "until": 110.0, "whom": []}]
    every: dict[str, list[dict[str, Any]]] = {"faults": [], "clients": [], "h0": [], "relay": []}
    for name, lines in (every | files).items():
        lines = load + lines if name == "faults" else lines
        (folder / f"{name.replace('_', '.')}.jsonl").write_text(
            "".join(json.dumps(line) + "\n" for line in lines)
        )
    return checker.check(folder)


def asked(number: int, **other: Any) -> dict[str, Any]:
    return {
        "t": 101.0 + number / 1000,
        "end": 101.05,
        "id": f"r{number}",
        "to": "n0",
        "customer": "c",
        "plan": "gold",
        "kind": "look",
        "units": 1,
        "patience": 1.0,
        "extra": 0,
        "outcome": "served",
        "value": f"served r{number}",
    } | other


def ran(number: int, t: float = 101.01) -> dict[str, Any]:
    return {"t": t, "id": f"r{number}"}


LATE = [{"what": "late", "whom": [], "t": 102.0, "late": 0.5}]


KILL = [
    {"what": "kill", "whom": ["n0"], "t": 100.9, "on": True},
    {"what": "kill", "whom": ["n0"], "t": 101.5, "on": False},
]


@dataclass(frozen=True)
class PromiseCase:
    """A client's row, what hosts ran, the faults, and the figure that is expected."""

    row: dict[str, Any]
    host: list[dict[str, Any]]
    faults: list[dict[str, Any]]
    key: str
    value: int


@pytest.mark.parametrize(
    "case",
    [
        PromiseCase(asked(1), [ran(1)], [], "lost", 0),
        PromiseCase(asked(1, outcome="silent", end=102.5), [], [], "lost", 1),
        PromiseCase(asked(1, outcome="reset"), [], [], "lost", 1),
        PromiseCase(asked(1, outcome="reset"), [], KILL, "lost", 0),
        PromiseCase(asked(1, outcome="silent", end=102.5), [], LATE, "lost", 0),
        PromiseCase(asked(1, outcome="silent", end=102.5), [], LATE, "unsure", 1),
        PromiseCase(asked(1, outcome="silent", end=100.5), [], LATE, "unsure", 0),
        PromiseCase(asked(1, end=102.4), [ran(1)], [], "lost", 1),
        PromiseCase(asked(1, extra=1), [ran(1)], [], "doubled", 1),
        PromiseCase(asked(1), [], [], "untrue_answers", 1),
        PromiseCase(asked(1, value="served r2"), [ran(1)], [], "untrue_answers", 1),
        PromiseCase(asked(1, kind="buy", outcome="busy"), [ran(1)], [], "untrue_answers", 1),
        PromiseCase(asked(1, kind="buy"), [ran(1), ran(1)], [], "repeats_not_allowed", 1),
        PromiseCase(asked(1), [ran(1), ran(1)], [], "repeats_not_allowed", 0),
    ],
)
def test_checker_reports_broken_promises(tmp_path: Path, case: PromiseCase) -> None:
    """A request was lost, doubled, answered untruly or repeated although that is not allowed. The
    checker counts it, unless a kill or a pause of its process explains it.
    """
    found = played(tmp_path, clients=[case.row], h0=case.host, faults=case.faults)
    assert found[case.key] == case.value


@pytest.mark.parametrize(
    ("many", "name", "over", "passed"),
    [(240, "gold", 0, 0), (250, "gold", 10, 0), (30, "iron", -90, 1)],
)
def test_checker_counts_units_beyond_quotas_and_ceilings(
    tmp_path: Path, many: int, name: str, over: float, passed: int
) -> None:
    """The endpoints ran more units than a quota or a ceiling allows; the checker counts them."""
    rows = [asked(n, plan=name) for n in range(many)]
    found = played(tmp_path, clients=rows, h0=[ran(n) for n in range(many)])
    assert (found["over_quota_units"], found["ceilings_passed"]) == (over, passed)


def seen(t: float, **members: str) -> dict[str, Any]:
    return {"t": t, "members": {name[1:]: [state, "life"] for name, state in members.items()}}


def test_checker_reports_diverging_views_false_deaths_and_settling_times(
    tmp_path: Path,
) -> None:
    """A member that is up is held dead by another: the views differ and that is a false death. A
    member that was killed is neither, and the checker says how long detection took.
    """
    both = [seen(99, n0="alive", n1="alive")]
    assert played(tmp_path, n0_view=both, n1_view=both)["views_differ"] == 0
    found = played(tmp_path, n0_view=[*both, seen(105, n0="alive", n1="dead")], n1_view=both)
    assert (found["views_differ"], found["false_deaths"]) == (1, 1)
    gone = [{"what": "kill", "whom": ["n1"], "t": 103.0, "on": True}]
    lines = [*both, seen(104, n0="alive", n1="suspect"), seen(105.5, n0="alive", n1="dead")]
    found = played(tmp_path, n0_view=lines, n1_view=both, faults=gone)
    assert (
        found["views_differ"],
        found["false_deaths"],
        found["settled_s_p99"],
        found["suspected_s_max"],
    ) == (0, 0, 2.5, 1.0)


def test_suspicion_before_a_death_counts_as_no_delay(tmp_path: Path) -> None:
    """A member was already suspected when it was killed: the delay is zero. Where it refuted that
    suspicion first, the delay counts from the kill.
    """
    gone = [{"what": "kill", "whom": ["n1"], "t": 103.0, "on": True}]
    lines = [
        seen(99, n0="alive", n1="alive"),
        seen(101, n0="alive", n1="suspect"),
        seen(102.5, n0="alive", n1="dead"),
        seen(109, n0="alive", n1="left"),
    ]
    assert played(tmp_path, n0_view=lines, n1_view=lines[:1], faults=gone)["suspected_s_max"] == 0.0
    early = [
        seen(99, n0="alive", n1="alive"),
        seen(101, n0="alive", n1="suspect"),
        seen(102.5, n0="alive", n1="alive"),
        seen(104, n0="alive", n1="dead"),
    ]
    assert played(tmp_path, n0_view=early, n1_view=early[:1], faults=gone)["suspected_s_max"] == 1.0


def test_checker_finds_members_that_serve_by_old_settings(
    tmp_path: Path,
) -> None:
    """Member 1 serves by old settings for 2 s, member 2 is cut off until then, and member 3 takes
    nothing new. Only those that could hear of the change count.
    """
    rows = {
        "faults.jsonl": [
            {"t": 100.0, "what": "load", "until": 120.0, "whom": []},
            {"t": 105.0, "what": "settings", "whom": ["n0"], "order": 1},
            {
                "t": 104.0,
                "what": "cut",
                "pairs": [["n2", "n0"], ["n0", "n2"]],
                "number": 1,
                "on": True,
            },
            {
                "t": 109.0,
                "what": "cut",
                "pairs": [["n2", "n0"], ["n0", "n2"]],
                "number": 1,
                "on": False,
            },
        ],
        "probes.jsonl": [
            {"t": 106.0, "end": 106.1, "to": "n0", "order": 1, "new": "served", "look": "served"},
            {"t": 107.0, "end": 107.1, "to": "n1", "order": 1, "new": "unknown", "look": "served"},
            {"t": 108.0, "end": 108.1, "to": "n2", "order": 1, "new": "unknown", "look": "served"},
            {"t": 119.0, "end": 119.1, "to": "n3", "order": 1, "new": "unknown", "look": "busy"},
        ],
    }
    for name, lines in rows.items():
        (tmp_path / name).write_text("\n".join(map(json.dumps, lines)))
    found = checker.settings(tmp_path, {"instances": 4}, FaultHistory(rows["faults.jsonl"]))
    assert found == {"acted_on_old_after_s_p99": 2.0, "stragglers": 1}
