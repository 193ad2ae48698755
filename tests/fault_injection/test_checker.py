"""The checker: it reports each violation of a guarantee, unless an injected fault explains it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from hazelhollow.fault_injection import checker, plan
from hazelhollow.fault_injection.fault_history import FaultHistory


def check_run(folder: Path, **files: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the checker's figures of a run of 10 s with these lines in its files."""
    (folder / "plan.json").write_bytes(
        plan.write(plan.Plan(name="x", instances=2, hosts=1, seconds=10))
    )
    load = [{"what": "load", "t": 100.0, "until": 110.0, "whom": []}]
    empty: dict[str, list[dict[str, Any]]] = {"faults": [], "clients": [], "h0": [], "relay": []}
    for name, lines in (empty | files).items():
        lines = load + lines if name == "faults" else lines
        (folder / f"{name.replace('_', '.')}.jsonl").write_text(
            "".join(json.dumps(line) + "\n" for line in lines)
        )
    return checker.check(folder)


def client_row(number: int, **changed: Any) -> dict[str, Any]:
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
    } | changed


def host_row(number: int, t: float = 101.01) -> dict[str, Any]:
    return {"t": t, "id": f"r{number}"}


HARNESS_DELAY = [{"what": "late", "whom": [], "t": 102.0, "late": 0.5}]
KILL = [
    {"what": "kill", "whom": ["n0"], "t": 100.9, "on": True},
    {"what": "kill", "whom": ["n0"], "t": 101.5, "on": False},
]


@dataclass(frozen=True)
class GuaranteeCase:
    """A client's row, the host's rows, the faults, and the expected value of one figure."""

    row: dict[str, Any]
    host: list[dict[str, Any]]
    faults: list[dict[str, Any]]
    figure: str
    expected: int


@pytest.mark.parametrize(
    "case",
    [
        GuaranteeCase(client_row(1), [host_row(1)], [], "lost", 0),
        GuaranteeCase(client_row(1, outcome="silent", end=102.5), [], [], "lost", 1),
        GuaranteeCase(client_row(1, outcome="reset"), [], [], "lost", 1),
        GuaranteeCase(client_row(1, outcome="reset"), [], KILL, "lost", 0),
        GuaranteeCase(client_row(1, outcome="silent", end=102.5), [], HARNESS_DELAY, "lost", 0),
        GuaranteeCase(client_row(1, outcome="silent", end=102.5), [], HARNESS_DELAY, "unsure", 1),
        GuaranteeCase(client_row(1, outcome="silent", end=100.5), [], HARNESS_DELAY, "unsure", 0),
        GuaranteeCase(client_row(1, end=102.4), [host_row(1)], [], "lost", 1),
        GuaranteeCase(client_row(1, extra=1), [host_row(1)], [], "doubled", 1),
        GuaranteeCase(client_row(1), [], [], "untrue_answers", 1),
        GuaranteeCase(client_row(1, value="served r2"), [host_row(1)], [], "untrue_answers", 1),
        GuaranteeCase(
            client_row(1, kind="buy", outcome="busy"), [host_row(1)], [], "untrue_answers", 1
        ),
        GuaranteeCase(
            client_row(1, kind="buy"), [host_row(1), host_row(1)], [], "repeats_not_allowed", 1
        ),
        GuaranteeCase(client_row(1), [host_row(1), host_row(1)], [], "repeats_not_allowed", 0),
    ],
)
def test_checker_reports_violations_that_no_fault_explains(
    tmp_path: Path, case: GuaranteeCase
) -> None:
    """A request was lost, answered twice or wrongly, or repeated although that is not allowed. The
    checker counts it, unless a kill of the limiter or a delay of the harness explains it.
    """
    figures = check_run(tmp_path, clients=[case.row], h0=case.host, faults=case.faults)
    assert figures[case.figure] == case.expected


@pytest.mark.parametrize(
    ("many", "name", "over", "passed"),
    [(240, "gold", 0, 0), (250, "gold", 10, 0), (30, "iron", -90, 1)],
)
def test_checker_counts_units_beyond_quotas_and_ceilings(
    tmp_path: Path, many: int, name: str, over: float, passed: int
) -> None:
    """The endpoints ran more units than a quota or a ceiling allows; the checker counts them."""
    rows = [client_row(n, plan=name) for n in range(many)]
    figures = check_run(tmp_path, clients=rows, h0=[host_row(n) for n in range(many)])
    assert (figures["over_quota_units"], figures["ceilings_passed"]) == (over, passed)


def view_row(t: float, **members: str) -> dict[str, Any]:
    return {"t": t, "members": {name[1:]: [state, "life"] for name, state in members.items()}}


def test_checker_reports_differing_views_false_deaths_and_settling_times(
    tmp_path: Path,
) -> None:
    """A member that is up is declared dead by another: the views differ, and it is a false death. A
    member that was killed counts as neither, and the checker reports how long detection took.
    """
    both = [view_row(99, n0="alive", n1="alive")]
    assert check_run(tmp_path, n0_view=both, n1_view=both)["views_differ"] == 0
    figures = check_run(
        tmp_path, n0_view=[*both, view_row(105, n0="alive", n1="dead")], n1_view=both
    )
    assert (figures["views_differ"], figures["false_deaths"]) == (1, 1)
    gone = [{"what": "kill", "whom": ["n1"], "t": 103.0, "on": True}]
    lines = [*both, view_row(104, n0="alive", n1="suspect"), view_row(105.5, n0="alive", n1="dead")]
    figures = check_run(tmp_path, n0_view=lines, n1_view=both, faults=gone)
    assert (
        figures["views_differ"],
        figures["false_deaths"],
        figures["settled_s_p99"],
        figures["suspected_s_max"],
    ) == (0, 0, 2.5, 1.0)


def test_suspicion_before_a_kill_counts_as_no_delay(tmp_path: Path) -> None:
    """A member was already suspected when it was killed: the delay is zero. Where it refuted that
    suspicion first, the delay counts from the kill.
    """
    gone = [{"what": "kill", "whom": ["n1"], "t": 103.0, "on": True}]
    lines = [
        view_row(99, n0="alive", n1="alive"),
        view_row(101, n0="alive", n1="suspect"),
        view_row(102.5, n0="alive", n1="dead"),
        view_row(109, n0="alive", n1="left"),
    ]
    assert (
        check_run(tmp_path, n0_view=lines, n1_view=lines[:1], faults=gone)["suspected_s_max"] == 0.0
    )
    refuted = [
        view_row(99, n0="alive", n1="alive"),
        view_row(101, n0="alive", n1="suspect"),
        view_row(102.5, n0="alive", n1="alive"),
        view_row(104, n0="alive", n1="dead"),
    ]
    assert (
        check_run(tmp_path, n0_view=refuted, n1_view=refuted[:1], faults=gone)["suspected_s_max"]
        == 1.0
    )


def test_checker_reports_limiters_that_apply_old_settings(
    tmp_path: Path,
) -> None:
    """Limiter n1 applies old settings 2 s after the change, n2 is partitioned while it does so, and
    n3 answers its probe with busy. Only n1 counts: it could have received the change.
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
    figures = checker.settings_figures(
        tmp_path, {"instances": 4}, FaultHistory(rows["faults.jsonl"])
    )
    assert figures == {"acted_on_old_after_s_p99": 2.0, "stragglers": 1}
