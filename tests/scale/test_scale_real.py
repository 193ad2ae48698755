"""Tests of the measurements with real processes.

They check how the client's request rows become figures, when a measurement raises an error instead,
and that no process is left running.
"""

from __future__ import annotations

import fcntl
import os
import resource
import select
import socket
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.net import scheduler
from hazelhollow.scale import (
    budgets,
    fleet_comparison,
    hollow_figures,
    real,
    real_commands,
    real_fleet,
    results,
)
from hazelhollow.scale.comparison_plan import FleetPlan
from hazelhollow.scale.errors import BusyMachineError, LateClientError, MeasurementError
from hazelhollow.scale.incarnation_scheduler import IncarnationScheduler
from hazelhollow.scale.measure import Meter
from hazelhollow.scale.real import LIMITER, SERVER, LatencyPlan, RequestRow
from hazelhollow.scale.results import Latency, Size

SIZE = Size(limiters=930, servers=20, routes=3, tenants=1, requests_per_s=50.0)


def client_rows(
    count: int = 1000,
    late: float = 0.0,
    direct_s: float = 0.001,
    limiter_s: float = 0.002,
    outcome: str = "served",
) -> list[RequestRow]:
    """Requests on both paths, one on each every 10 ms from 0 s on."""
    found = []
    for number in range(count):
        due = number / 100
        found.append(RequestRow(LIMITER, due, due + late, due + limiter_s, outcome))
        found.append(RequestRow(SERVER, due, due + late, due + direct_s, "served"))
    return found


def test_latency_is_counted_from_the_scheduled_time() -> None:
    """The client sends late. Counted from the time of sending, a slow limiter would look fast."""
    late = real.MAX_CLIENT_DELAY_P99_S / 2
    found = real.summarize(SIZE, client_rows(late=late), 0.0)
    assert found.limiter_median_s == pytest.approx(0.002) and found.limiter_p99_s == pytest.approx(
        0.002
    )
    assert found.direct_median_s == pytest.approx(0.001) and found.requests == 1000


def test_blocks_in_which_the_client_was_late_are_excluded() -> None:
    """The client was late for two seconds. Its delay must not count as latency of the limiter."""
    slow = [
        RequestRow(row.to, row.due, row.began + 0.02, row.end + 0.02, row.outcome)
        if row.due < 2.0
        else row
        for row in client_rows()
    ]
    found = real.summarize(SIZE, slow, 0.0)
    assert found.limiter_p99_s == pytest.approx(0.002) and found.left_out == pytest.approx(0.2)
    assert found.requests == 800
    slow_limiter = [
        RequestRow(row.to, row.due, row.began, row.end + 0.02, row.outcome)
        if row.due < 2.0 and row.to == LIMITER
        else row
        for row in client_rows()
    ]
    assert real.summarize(SIZE, slow_limiter, 0.0).limiter_p99_s == pytest.approx(0.022)


def test_requests_due_before_the_counted_period_are_excluded() -> None:
    """Slow or failed requests of the warm-up must not enter the figures."""
    warm_up = [
        RequestRow(LIMITER, -1.0, -1.0, 5.0, "served"),
        RequestRow(SERVER, -1.0, -1.0, 5.0, "failed"),
    ] * 500
    assert real.summarize(SIZE, warm_up + client_rows(), 0.0).limiter_p99_s == pytest.approx(0.002)


@pytest.mark.parametrize(
    ("rows", "error", "why"),
    [
        (
            client_rows(late=2 * real.MAX_CLIENT_DELAY_P99_S),
            LateClientError,
            "the client was late in 100 of 100 blocks",
        ),
        (client_rows(count=real.MIN_REQUESTS - 1), MeasurementError, "^499 .* 499 .* are too few"),
        (
            client_rows(direct_s=2 * real.MAX_DIRECT_P99_S),
            BusyMachineError,
            r"directly to the server is 6\.00 ms, above 3 ms",
        ),
        (
            client_rows(outcome="busy"),
            MeasurementError,
            r"1000 of 2000 requests were not served \(busy\)",
        ),
        ([], MeasurementError, "too few"),
    ],
)
def test_unreliable_measurement_raises_instead_of_giving_a_figure(
    rows: list[RequestRow], error: type[Exception], why: str
) -> None:
    """The client or the machine was slow, or requests failed: a figure would be misleading."""
    with pytest.raises(error, match=why):
        real.summarize(SIZE, rows, 0.0)


@given(st.lists(st.floats(0, 10), min_size=1, max_size=200), st.floats(0.01, 1.0))
def test_quantile_is_the_smallest_value_that_covers_the_share(
    values: list[float], share: float
) -> None:
    found = real.quantile(values, share)
    assert found in values
    assert sum(value <= found for value in values) >= share * len(values) - 1e-9
    assert sum(value < found for value in values) < share * len(values) + 1e-9


def test_late_client_is_measured_again_until_attempts_are_used_up() -> None:
    """The client is late in some attempts. Each is repeated, up to the allowed number."""
    messages: list[str] = []
    attempts: list[LatencyPlan] = []
    figure = real.summarize(SIZE, client_rows(), 0.0)

    def late_until(good_attempt: int) -> real.Measure:
        def play(plan: LatencyPlan) -> Latency:
            attempts.append(plan)
            if len(attempts) < good_attempt:
                raise LateClientError("late")
            return figure

        return play

    plan = LatencyPlan(size=SIZE)
    assert real.measure_again(plan, 3, messages.append, late_until(3)) is figure
    assert len(attempts) == 3 and len(messages) == 2
    attempts.clear()
    with pytest.raises(LateClientError):
        real.measure_again(plan, 2, messages.append, late_until(9))
    assert len(attempts) == 2


def test_poller_never_wakes_early_and_returns_ready_descriptors() -> None:
    poller, (near_end, far_end) = real.MicrosecondPoller(), socket.socketpair()
    with near_end, far_end:
        poller.register(near_end.fileno(), select.POLLIN)
        for wait_ms in (0.0, 0.3, 1.4, 5.2):
            began = time.monotonic()
            assert poller.poll(wait_ms) == []
            assert time.monotonic() - began >= wait_ms / 1000
        far_end.send(b"x")
        assert poller.poll(1000.0) == [(near_end.fileno(), select.POLLIN)]
        number = near_end.fileno()
        near_end.close()
        assert poller.poll(1000.0) == [(number, select.POLLNVAL)]  # closed but still registered
        poller.unregister(number)
        assert poller.poll(0.0) == []


def test_poller_accepts_descriptors_above_the_limit_of_select() -> None:
    """A descriptor above 1,023 makes select raise; the poller must fall back to poll."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(2048, hard)), hard))
    poller, (near_end, far_end) = real.MicrosecondPoller(), socket.socketpair()
    high_fd = fcntl.fcntl(near_end.fileno(), fcntl.F_DUPFD, 1024)
    try:
        poller.register(high_fd, select.POLLIN)
        assert poller.poll(0.0) == []
        far_end.send(b"x")
        assert poller.poll(1000.0) == [(high_fd, select.POLLIN)]
    finally:
        os.close(high_fd)
        near_end.close()
        far_end.close()


def test_settings_have_the_number_of_routes_of_the_size() -> None:
    found = real.settings(SIZE)
    names = [grade["name"] for grade in found["grades"]]
    assert len(names) == len(set(names)) == 3 and names[0] == real.ROUTE
    assert found["balancers"] == 930


def test_latency_run_alternates_both_paths_and_leaves_no_process(tmp_path: Path) -> None:
    folder = tmp_path / "run"
    folder.mkdir()
    run = real.LatencyRun(LatencyPlan(size=SIZE, seconds=1.0), folder)
    try:
        found = run.play()
        pids = [int(line.split()[0]) for line in (folder / "pids").read_text().splitlines()]
        counted = [row for row in found if row.due >= run.counted_from]
        assert all(
            "served" in {row.outcome for row in counted if row.to == path}
            for path in (LIMITER, SERVER)
        )
        due_times = {
            path: sorted(row.due for row in counted if row.to == path) for path in (LIMITER, SERVER)
        }
        assert (
            abs(len(due_times[LIMITER]) - len(due_times[SERVER])) <= 1
            and len(due_times[LIMITER]) >= 49
        )
        gaps = [b - a for a, b in zip(due_times[LIMITER], due_times[LIMITER][1:], strict=False)]
        assert gaps == pytest.approx(
            [1 / 50] * len(gaps)
        )  # on schedule, independent of earlier outcomes
        assert abs(due_times[SERVER][0] - due_times[LIMITER][0]) == pytest.approx(1 / 100)
    finally:
        run.close()
    assert len(pids) == 2 and run.memory_bytes() > 1e6
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
    assert not folder.exists()


def test_sizes_are_varied_alone_and_planned_together_at_the_end() -> None:
    found = real_commands.sizes()
    planned = budgets.PLANNED
    assert len(found) == len(set(found))
    assert found[-1] == (planned.servers, planned.routes, planned.requests_per_s)
    grown = [(servers > found[0][0]) + (routes > found[0][1]) for servers, routes, _ in found[:-1]]
    assert max(grown) == 1


def test_latency_command_appends_figures_and_reports_failed_sizes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    figure = real.summarize(SIZE, client_rows(), 0.0)

    def play(plan: LatencyPlan, tries: int, progress: object) -> Latency:
        if plan.size.servers > 200:
            raise LateClientError("the client was late")
        return msgspec.structs.replace(figure, size=plan.size)

    monkeypatch.setattr(real, "measure_again", play)
    file = tmp_path / "latency.json"
    arguments = ["--json", str(file), "--size", "200", "1", "50"]
    for count in (1, 2):
        assert CliRunner().invoke(real_commands.latency, arguments).exit_code == 0
        assert len(results.load(file).latencies) == count
    result = CliRunner().invoke(real_commands.latency, [*arguments, "--size", "2000", "1", "50"])
    assert result.exit_code == 1 and "no figure: the client was late" in result.output
    assert len(results.load(file).latencies) == 3
    file.write_text("{}")
    result = CliRunner().invoke(real_commands.latency, arguments)
    assert result.exit_code == 2 and "Traceback" not in result.output


# Comparison of real processes with hollow limiters


def line(at: float, *states: str) -> dict[str, Any]:
    """A line of a membership file: the states of members 0, 1, ..."""
    return {"t": at, "members": {str(number): [state, 1] for number, state in enumerate(states)}}


@pytest.mark.parametrize(
    ("lines", "since"),
    [
        ([line(1, "alive", "dead")], 1.0),
        ([line(1, "alive"), line(2, "alive", "dead"), line(3, "alive", "dead")], 2.0),
        # It matched at 1 s, but the state changed again.
        ([line(1, "alive", "dead"), line(2, "alive", "alive"), line(3, "alive", "dead")], 3.0),
    ],
)
def test_membership_settles_when_it_matches_until_the_end(
    lines: list[dict[str, Any]], since: float
) -> None:
    assert real_fleet.settled_at(lines, {"0": "alive", "1": "dead"}) == since


@pytest.mark.parametrize("lines", [[], [line(1, "alive", "dead"), line(2, "alive", "suspect")]])
def test_membership_that_does_not_match_at_the_end_raises(
    lines: list[dict[str, Any]],
) -> None:
    """A member that still suspects another at the end has no time of agreement."""
    with pytest.raises(MeasurementError):
        real_fleet.settled_at(lines, {"0": "alive", "1": "dead"})


def hollow_point(cpu_s: float, reached: int = 4) -> results.Point:
    seen = results.Spread(median=2.0, p99=3.0, worst=3.0, reached=reached, of=4)
    sums = [
        results.RoleSums(
            role=role,
            calls=1,
            cpu_s=cpu_s,
            longest_turn_s=0.1,
            turn_p99_s=0.1,
            datagrams_out=400,
            bytes_out=4000,
        )
        for role in results.Role
    ]
    events = [
        results.Event(
            kind=kind,
            at_s=0.0,
            until_agreed=seen,
            worst_second_bytes_mean=0.0,
            worst_second_bytes_most=0.0,
            worst_ten_seconds_bytes_mean=0.0,
            false_deaths=0,
        )
        for kind in (results.EventKind.START, results.EventKind.RACK_LOST)
    ]
    return results.Point(
        axis=results.Axis.LIMITERS,
        size=SIZE,
        seed=1,
        seconds=10.0,
        dilation=1.0,
        hollow=4,
        real=0,
        roles=tuple(sums),
        memory_bytes=0.0,
        events=tuple(events),
    )


def test_hollow_figures_are_per_limiter_without_requests_and_lists() -> None:
    found = hollow_figures.figures_at_rest(hollow_point(cpu_s=0.4))
    assert found["processor for control at rest"] == pytest.approx(5 * 0.4 / 40)
    assert found["datagrams at rest, view"] == pytest.approx(10)
    assert found["bytes at rest, view"] == pytest.approx(100 + 28 * 10)
    assert not any(name.endswith(("requests", "list", "timers")) for name in found)


def test_hollow_limiters_that_did_not_agree_raise() -> None:
    """One of four members never agreed, so the seconds of the others are not a valid figure."""
    assert (
        hollow_figures.agreed(hollow_point(1.0), results.EventKind.START).until_agreed.worst == 3.0
    )
    for kind, reached in ((results.EventKind.START, 3), (results.EventKind.ZONE_LOST, 4)):
        with pytest.raises(MeasurementError):
            hollow_figures.agreed(hollow_point(1.0, reached), kind)


def test_figures_of_only_one_side_are_not_compared() -> None:
    found = fleet_comparison.comparisons(
        {"bytes at rest, view": 100.0, "agreed after x": 1.0},
        {"bytes at rest, view": 90.0, "datagrams": 3.0},
    )
    assert [(each.figure, each.unit, each.real, each.hollow, each.margin) for each in found] == [
        ("bytes at rest, view", "B/s", 100.0, 90.0, fleet_comparison.MARGIN)
    ]


def test_real_fleet_gives_all_hollow_figures_and_leaves_no_process(
    tmp_path: Path,
) -> None:
    folder = tmp_path / "run"
    folder.mkdir()
    plan = FleetPlan(limiters=3, settle_s=4.0, rest_s=1.0, deaths=1, death_s=10.0)
    run = real_fleet.RealRun(plan, folder, lambda text: None)
    try:
        found = run.play()
        pids = [int(row.split()[0]) for row in (folder / "pids").read_text().splitlines()]
    finally:
        run.close()
    hollow = hollow_figures.figures_at_rest(hollow_point(1.0))
    assert set(hollow) <= set(found)
    assert {
        "bytes under load, gossip",
        "agreed after the start, worst",
        "agreed after one death, worst",
    } <= set(found)
    assert all(name.split()[0] in fleet_comparison.UNITS for name in found)
    assert found["datagrams at rest, view"] > 0 and found["bytes under load, gossip"] > 0
    assert len(pids) == 3 + plan.servers + 1  # plus the one that was restarted
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def test_hollow_limiter_takes_the_time_since_poll_from_the_shared_loop() -> None:
    """The scheduler of an incarnation has no loop of its own, so it must use the shared one."""
    now = [100.0]
    shared = scheduler.Scheduler(lambda: now[0])
    own_scheduler = IncarnationScheduler(shared, Meter())
    now[0] = 100.4
    assert own_scheduler.time_since_poll() == shared.time_since_poll() == pytest.approx(0.4)
