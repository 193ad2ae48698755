"""Scale runs: plans, the modelled load, partitions, meters, ground truth and quota reference.

The last part runs the small plan end to end in real processes.
"""

from __future__ import annotations

import os
import select
import subprocess
import sys
import tempfile
from itertools import islice
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.membership.records import MemberState, Record
from hazelhollow.scale import (
    coordinator,
    load,
    measure,
    messages,
    plan,
    point_assembly,
    settings,
    topology,
    truth,
    worker,
)
from hazelhollow.scale.agreement import GroundTruth, MembershipWatcher
from hazelhollow.scale.clock import DilatedClock
from hazelhollow.scale.errors import PlanError, RunError
from hazelhollow.scale.measure import Meter, RoleTotals, Traffic
from hazelhollow.scale.network import DatagramLedger
from hazelhollow.scale.plan import FleetTerms
from hazelhollow.scale.results import Axis, EventKind, Point, Role, Size
from hazelhollow.scale.results import load as load_results

SIZE = Size(limiters=40, servers=20, routes=10, tenants=200, requests_per_s=5.0)
HEAD = """
name = "one"
seed = 1
base = { limiters = 4, servers = 2, routes = 3, tenants = 5, requests_per_s = 1.0 }
planned = { limiters = 930, servers = 14000, routes = 11000, tenants = 73000,\
 requests_per_s = 204.0 }
"""
END_TIMEOUT_S = 20.0  # within which the processes of a killed run end
AXIS = '[[axes]]\naxis = "servers"\nvalues = [2, 9]\n'


# Plans


def test_axis_of_a_plan_changes_one_value_of_the_base_size() -> None:
    points = list(plan.read(HEAD + AXIS, "here").points())
    assert [(point.axis, point.size.servers, point.size.routes) for point in points] == [
        (Axis.SERVERS, 2, 3),
        (Axis.SERVERS, 9, 3),
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (HEAD + '[[axes]]\naxis = "hosts"\nvalues = [1]\n', "$.axes[0].axis"),
        (HEAD + '[[axes]]\naxis = "servers"\nvalues = ["many"]\n', "$.axes[0].values[0]"),
        (HEAD + '[[axes]]\naxis = "servers"\n', "give values alone"),
        (HEAD + '[[axes]]\naxis = "all"\nvalues = [1]\n', "give sizes alone"),
        (HEAD + AXIS + "speed = 3\n", "speed"),
        (HEAD + AXIS + "present = 9\n", "present: 9 of 4"),
        (HEAD + AXIS + "seconds = 0.0\n", "seconds"),
        (
            HEAD + AXIS + 'events = [{ kind = "zone_back", window_s = 5 }]\n',
            "zone_back without zone_lost",
        ),
        (
            HEAD + AXIS + 'events = [{ kind = "region_cut", window_s = 0.5 }]\n',
            "$.axes[0].events[0]",
        ),
        (
            HEAD
            + AXIS
            + 'every_tenant_first = true\nevents = [{ kind = "rack_lost", window_s = 5 }]\n',
            "every_tenant_first",
        ),
        (
            HEAD + AXIS + 'events = [{ kind = "start", window_s = 5 }]\n',
            "start is always the first",
        ),
        (HEAD.replace("limiters = 4", "limiters = 1") + AXIS, "limiters: 1 is not 2 to"),
        ("workers = 99\n" + HEAD + AXIS, "workers"),
        (HEAD + "[fleet]\nzones = 4\n" + AXIS, "$.fleet"),
        ("name = ", "here:"),
    ],
)
def test_invalid_plan_is_rejected_with_the_location_of_the_error(text: str, message: str) -> None:
    with pytest.raises(PlanError) as found:
        plan.read(text, "here")
    assert str(found.value).startswith("here:") and message in str(found.value)


def test_error_for_a_missing_plan_lists_the_available_plans() -> None:
    with pytest.raises(PlanError, match="small"):
        plan.load("no-such-plan")


@pytest.mark.parametrize(
    "path", sorted(plan.PLANS_FOLDER.glob("*.toml")), ids=lambda path: path.stem
)
def test_plan_that_comes_with_the_program_can_be_loaded(path: Path) -> None:
    loaded = plan.load(path.stem)
    assert loaded.name == path.stem and list(loaded.points())


# The load


def _requests(seed: int, limiter: int, numbers: tuple[int, ...]) -> list[load.DrawnRequest]:
    population = load.populate(SIZE, FleetTerms(), seed)
    parts = load.split(population, numbers, SIZE.limiters)
    return list(islice(load.Requests(parts[limiter], SIZE.routes, limiter, seed), 300))


def test_requests_depend_on_seed_and_limiter_but_not_on_the_process() -> None:
    """Processes hold different limiters; a limiter's requests must be the same in each of them."""
    assert _requests(3, 5, (5,)) == _requests(3, 5, tuple(range(40)))
    assert _requests(3, 5, (5,)) != _requests(4, 5, (5,))
    assert _requests(3, 5, (5,)) != _requests(3, 6, (5, 6))
    population = load.populate(SIZE, FleetTerms(), 3)
    parts = load.split(population, (5,), SIZE.limiters)[5]
    first, other = (next(iter(load.Requests(parts, SIZE.routes, number, 3))) for number in (5, 6))
    assert first != other, "limiters with the same tenants drew the same requests"


def test_requests_of_a_tenant_are_split_over_the_limiters_of_its_set_only() -> None:
    population = load.populate(SIZE, FleetTerms(spread_least=3, spread_most=9), 1)
    for tenant in population.tenants:
        parts = [load.weight(tenant, number, SIZE.limiters) for number in range(SIZE.limiters)]
        serving = {(tenant.first + offset) % SIZE.limiters for offset in range(tenant.spread)}
        assert sum(parts) == pytest.approx(1.0)
        assert {number for number, part in enumerate(parts) if part} == serving


def test_total_request_rate_is_that_of_the_size() -> None:
    population = load.populate(SIZE, FleetTerms(), 2)
    parts = load.split(population, range(SIZE.limiters), SIZE.limiters)
    seconds, count = 60.0, 0
    for number in range(SIZE.limiters):
        for request in load.Requests(parts[number], SIZE.routes, number, 2):
            if request.at > seconds:
                break
            count += 1
    assert count / seconds / SIZE.limiters == pytest.approx(SIZE.requests_per_s, rel=0.15)
    assert {tenant.usage for tenant in population.tenants} == {
        pattern.name for pattern in load.USAGE_PATTERNS
    }


def test_size_with_no_requests_a_second_yields_no_requests() -> None:
    silent = msgspec.structs.replace(SIZE, requests_per_s=0.0)
    population = load.populate(silent, FleetTerms(), 1)
    assert all(quota.rate > 0.0 for quota in population.quotas)
    parts = load.split(population, (0,), SIZE.limiters)
    assert parts[0] and not list(load.Requests(parts[0], 3, 0, 1))
    assert not list(load.Requests([], 3, 0, 1))


# Topology and partitions


@given(st.integers(1, 200), st.integers(0, 199), st.integers(0, 199))
def test_region_partition_drops_both_directions_between_regions_only(
    limiters: int, source: int, target: int
) -> None:
    source, target = source % limiters, target % limiters
    layout = topology.make_topology(limiters, FleetTerms())
    cut = topology.region_partition(layout, 0)
    assert (
        cut(source, target)
        == cut(target, source)
        == ((layout.region(source) == 0) != (layout.region(target) == 0))
    )


def test_each_zone_is_in_one_region_and_each_rack_in_one_zone() -> None:
    layout = topology.make_topology(930, FleetTerms())
    places = {(layout.region(n), layout.zone(n), layout.rack(n)) for n in range(930)}
    assert len(places) == 60 and len({(region, zone) for region, zone, _ in places}) == 6


# Meters


def test_nested_call_counts_as_part_of_the_outer_call() -> None:
    ticks = iter(range(0, 1000, 10))
    meter = Meter(lambda: next(ticks))
    meter.measure_call(Role.VIEW, lambda: meter.measure_call(Role.GOSSIP, lambda: None))
    meter.measure_call(Role.VIEW, lambda: None)
    meter.add_cpu_time(Role.VIEW, 5)
    assert (meter.totals[Role.VIEW].calls, meter.totals[Role.VIEW].cpu_ns) == (2, 25)
    assert meter.totals[Role.GOSSIP].calls == 0
    assert (
        sum(meter.drain_totals()[Role.VIEW].turns.values()) == 2
        and meter.totals[Role.VIEW].calls == 0
    )


def test_call_that_raises_is_counted_and_so_is_the_next_call() -> None:
    """If the meter still counted itself inside a call that raised, it would count no later call."""
    meter = Meter()
    with pytest.raises(ZeroDivisionError):
        meter.measure_call(Role.LIST, lambda: 1 / 0)
    meter.measure_call(Role.LIST, lambda: None)
    assert meter.totals[Role.LIST].calls == 2


@given(st.lists(st.integers(1, 10**10), min_size=1, max_size=200), st.integers(1, 5))
def test_merged_role_totals_add_up_and_their_p99_is_within_bounds(
    times: list[int], processes: int
) -> None:
    parts = [RoleTotals() for _ in range(processes)]
    for call_number, spent in enumerate(times):
        Meter._count(parts[call_number % processes], spent)
    merged = RoleTotals()
    for part in parts:
        merged.add(part)
    assert (merged.calls, merged.cpu_ns, merged.longest_ns) == (len(times), sum(times), max(times))
    exact = sorted(times)[max(0, -(-99 * len(times) // 100) - 1)]
    assert exact * 0.999 <= merged.p99_ns() <= max(times)


@pytest.mark.parametrize(
    ("seconds", "window_s", "expected"), [(1, 20.0, 300.0), (10, 20.0, 60.0), (10, 4.0, 150.0)]
)
def test_worst_mean_rate_divides_by_the_interval_within_the_window(
    seconds: int, window_s: float, expected: float
) -> None:
    combined = Traffic()
    combined.add(Traffic({0: 400, 1: 200}, {0: 400, 1: 200}))
    combined.add(Traffic({0: 200, 3: 400}, {0: 200, 3: 400}))
    assert combined.worst_mean_rate(seconds, 2, window_s) == pytest.approx(expected)
    assert combined.most == {0: 400, 1: 200, 3: 400}


def test_dilated_clock_starts_at_its_unix_start_and_advances_slower() -> None:
    now = [100.0]
    clock = DilatedClock(100.0, 5000.0, 4.0, lambda: now[0])
    assert clock() == 5000.0
    now[0] = 108.0
    assert clock() == 5002.0


# Agreement and quotas


def _record(number: int, state: MemberState, started_at: float) -> Record:
    return Record(number, round(started_at * INCARNATIONS_PER_S), 0, state)


def test_member_agrees_once_all_its_records_match_the_ground_truth() -> None:
    """A live member is considered dead for a while: a false death, which restarts the agreement."""
    now, facts = [10.0], GroundTruth(3)
    facts.up_since = {0: 1.0, 1: 1.0, 2: 8.0}
    watcher = MembershipWatcher(0, facts, lambda: now[0])
    watcher.reset(
        [
            _record(0, MemberState.ALIVE, 1.0),
            _record(1, MemberState.ALIVE, 1.5),
            _record(2, MemberState.ALIVE, 3.0),
        ]
    )
    assert watcher.mismatched == {2}, "the record of an earlier incarnation must not match"
    watcher.record_changed(_record(2, MemberState.ALIVE, 8.1))
    assert watcher.agreed_since == 10.0
    now[0] = 11.0
    watcher.record_changed(_record(1, MemberState.SUSPECT, 1.5))
    assert watcher.agreed_since is None and not watcher.falsely_dead
    watcher.record_changed(_record(1, MemberState.DEAD, 1.5))
    assert watcher.falsely_dead == {1}
    now[0] = 12.0
    watcher.record_changed(_record(1, MemberState.ALIVE, 1.5))
    assert watcher.agreed_since == 12.0, "agreement must count from the last mismatch"


def test_dead_records_of_partitioned_limiters_match_the_ground_truth() -> None:
    facts = GroundTruth(4)
    facts.up_since = dict.fromkeys(range(4), 1.0)
    facts.is_cut = lambda source, target: (source < 2) != (target < 2)
    watcher = MembershipWatcher(0, facts, lambda: 5.0)
    watcher.reset(
        [_record(n, MemberState.ALIVE if n < 2 else MemberState.DEAD, 1.0) for n in range(4)]
    )
    assert not watcher.mismatched and not watcher.falsely_dead


def test_quota_figures_use_one_token_bucket_per_tenant_as_reference() -> None:
    population = load.Population(
        (load.Tenant(0, 0, 0, 1, "calm", 1.0, 1.0, 1.0, (0.0, 1.0, 0.0)),),
        (load.Quota("one", 1.0, 4.0),),
    )
    rows = [
        truth.Row(0.0, 0, 3.0, True),
        truth.Row(0.0, 0, 3.0, True),  # one unit is available
        truth.Row(1.0, 0, 2.0, False),  # two units are available
        truth.Row(1.0, 0, 3.0, False),
        truth.Row(9.0, 0, 1.0, True),
    ]
    first, second = truth.measure_quotas(
        rows, population, [truth.Window(0.0, 2.0), truth.Window(2.0, 10.0)]
    )
    assert (first.asked, first.let_in, first.beyond, first.refused_with_room) == (
        11.0,
        6.0,
        3.0,
        2.0,
    )
    assert (second.asked, second.let_in, second.beyond, second.refused_with_room) == (
        1.0,
        1.0,
        0.0,
        0.0,
    )


@pytest.mark.parametrize(
    ("values", "expected"),
    [([None, 1.0, 3.0], (1.0, 3.0, 2, 3)), ([None], (0.0, 0.0, 0, 1)), ([], (0.0, 0.0, 0, 0))],
)
def test_spread_counts_the_members_that_agreed(
    values: list[float | None], expected: tuple[float, float, int, int]
) -> None:
    found = point_assembly.spread(values)
    assert (found.median, found.worst, found.reached, found.of) == expected


def test_one_route_change_changes_one_route_and_zones_are_per_limiter() -> None:
    population = load.populate(SIZE, FleetTerms(), 1)
    before = settings.document(SIZE, population.quotas, FleetTerms())
    after = settings.changed(before, (4,), 1)
    pairs = zip(before["grades"], after["grades"], strict=True)
    assert [route for route, (old, new) in enumerate(pairs) if old != new] == [4]
    layout = topology.make_topology(40, FleetTerms())
    assert settings.own_document(after, 39, layout)["zone"] == "zone-5"


def _report(limiters: int, seconds: float, calls: int) -> messages.Report:
    sums = measure.zero_totals()
    sums[Role.VIEW] = RoleTotals(
        calls=calls, cpu_ns=calls * 1000, longest_ns=calls, datagrams_out=calls, bytes_out=9
    )
    ledger = DatagramLedger(out=10, came=6, cut=1, to_dead=1, dropped=2)
    return messages.Report(
        limiters=limiters, seconds=seconds, roles=sums, ledger=ledger, memory_after=limiters * 100
    )


def test_reports_of_workers_are_merged_into_one_point() -> None:
    planned = _tiny()
    small = plan.read(HEAD + AXIS, "here")
    reports = [_report(3, 8.0, 5), _report(1, 4.0, 7)]
    point = point_assembly.assemble_point(small, planned, 2.0, reports, [])
    view = next(sums for sums in point.roles if sums.role is Role.VIEW)
    assert (view.calls, view.datagrams_out, view.bytes_out, view.longest_turn_s) == (
        12,
        12,
        18,
        7e-9,
    )
    assert (point.hollow, point.seconds, point.memory_bytes) == (4, 7.0, 100.0)
    assert not [note for note in point.notes if "not accounted for" in note]
    reports[1].ledger.came -= 3
    assert [
        note
        for note in point_assembly.assemble_point(small, planned, 2.0, reports, []).notes
        if "3 datagrams are" in note
    ]


# End to end


def _processes(folder: Path) -> list[int]:
    """Returns the processes whose temporary directory is that folder."""
    found = list[int]()
    for process in Path("/proc").glob("[0-9]*"):
        try:
            if f"TMPDIR={folder}".encode() in (process / "environ").read_bytes().split(b"\0"):
                found.append(int(process.name))
        except OSError:
            continue
    return found


def _run(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "hazelhollow", "scale", "run", *arguments]
    environment = {**os.environ, "TMPDIR": str(folder)}
    return subprocess.run(command, env=environment, capture_output=True, text=True, timeout=120)


def test_small_plan_yields_a_complete_point_and_leaves_nothing_behind(
    tmp_path: Path,
) -> None:
    out, work = tmp_path / "small.json", tmp_path / "work"
    work.mkdir()
    done = _run(work, "small", "--json", str(out))
    assert done.returncode == 0, done.stderr
    (point,) = load_results(out).points
    assert point.hollow == point.size.limiters == 12
    for role in point.roles:
        if role.role is not Role.TIMERS:
            assert role.calls and role.cpu_s > 0.0, role.role
        assert role.longest_turn_s >= role.turn_p99_s >= 0.0
    assert sum(role.datagrams_out for role in point.roles) > 0 and point.memory_bytes > 0
    assert 0.0 < point.loop_s < 1.0
    assert not [note for note in point.notes if "not accounted for" in note], point.notes
    by_kind = {event.kind: event for event in point.events}
    assert list(by_kind)[0] is EventKind.START
    for kind, event in by_kind.items():
        assert event.until_agreed.reached == event.until_agreed.of == 12, kind
        assert event.worst_second_bytes_most >= event.worst_second_bytes_mean > 0
        assert event.quotas and event.quotas.let_in <= event.quotas.asked
    assert "cut 0," not in point.notes[0], point.notes[0]
    assert not _processes(work) and not list(work.iterdir())
    again = _run(work, "small", "--json", str(out), "--value", "5")
    assert (
        again.returncode == 0 and len(load_results(out).points) == 1
    ), "the file must keep its point"


def _wait_for_end(pid: int) -> bool:
    """Whether the process ends within the timeout."""
    try:
        handle = os.pidfd_open(pid)
    except ProcessLookupError:
        return True
    poller = select.poll()
    poller.register(handle, select.POLLIN)
    try:
        return bool(poller.poll(END_TIMEOUT_S * 1000))
    finally:
        os.close(handle)


def test_killed_run_leaves_no_processes_and_no_files(tmp_path: Path) -> None:
    """The run is killed with SIGKILL while its workers play, so that it cannot clean up itself."""
    out = tmp_path.parent / "killed.json"
    command = [sys.executable, "-m", "hazelhollow", "scale", "run", "small", "--json", str(out)]
    environment = {**os.environ, "TMPDIR": str(tmp_path)}
    with subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True) as run:
        assert run.stderr
        for line in run.stderr:
            if "workers" in line:
                break
        started = [pid for pid in _processes(tmp_path) if pid != run.pid]
        run.kill()
    assert len(started) == 3, "expected two workers and the process sweeper"
    assert all([_wait_for_end(pid) for pid in started])
    assert not _processes(tmp_path) and not list(tmp_path.iterdir())


def _tiny(**terms: object) -> plan.PlannedPoint:
    size = Size(limiters=2, servers=2, routes=2, tenants=4, requests_per_s=2.0)
    values: dict[str, object] = {"settle_s": 1.0, "seconds": 1.0, "dilation": 1.0, **terms}
    axis = msgspec.convert({"axis": "limiters", "values": [2], **values}, plan.AxisPlan)
    return plan.PlannedPoint(Axis.LIMITERS, size, axis, FleetTerms())


def _play(point: plan.PlannedPoint) -> Point:
    small = plan.read(HEAD + AXIS, "here")
    return coordinator.Coordinator(small, lambda line: None).play(point)


def test_point_whose_workers_use_too_much_memory_fails_without_files(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """The workers use more than half of the machine's memory, here set to 1 MB."""
    monkeypatch.setattr(coordinator, "total_memory", lambda: 1 << 20)
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(tempfile, "tempdir", None)
    with pytest.raises(RunError, match="more than their share of the memory"):
        _play(_tiny())
    assert not list(tmp_path.iterdir())


def test_point_that_exceeds_its_real_time_ends_early_with_a_note() -> None:
    """The point keeps what was measured until then; without the note it would look complete."""
    point = _play(_tiny(seconds=100.0, most_real_s=3.0))
    assert point.seconds < 100.0
    assert [note for note in point.notes if "ended after 3 s of real time" in note], point.notes


def test_every_tenant_first_sends_its_requests_before_the_measurement() -> None:
    point = _tiny(every_tenant_first=True)
    size = msgspec.structs.replace(point.size, tenants=150, requests_per_s=0.0)
    played = _play(
        msgspec.structs.replace(point, size=size, fleet=FleetTerms(spread_least=2, spread_most=2))
    )
    requests = next(totals for totals in played.roles if totals.role is Role.REQUESTS)
    assert requests.calls < 150 and played.quotas
    assert [note for note in played.notes if note.startswith("refused")], "no request came"


def test_failed_worker_is_reported_with_the_last_line_of_its_log() -> None:
    """The settings cannot be parsed; the error must name the worker and the cause."""
    point = _tiny()
    broken = msgspec.structs.replace(
        point, size=msgspec.structs.replace(point.size, servers=-1, routes=0)
    )
    with pytest.raises(RunError, match="worker [01] ended: ValueError: classes: none"):
        _play(broken)


@pytest.mark.parametrize(
    ("looks", "late", "worst_s", "behind"),
    [(0, 0, 0.0, False), (100, 5, 0.2, False), (100, 6, 0.2, True), (100, 1, 0.6, True)],
)
def test_worker_is_behind_by_the_share_of_late_checks_or_by_the_worst(
    looks: int, late: int, worst_s: float, behind: bool
) -> None:
    assert worker.fell_behind(messages.Lag(looks, late, worst_s)) == behind


def test_invalid_plan_ends_the_command_with_an_error_and_no_traceback(tmp_path: Path) -> None:
    """The plan names an unknown axis; the error must give its location."""
    bad = tmp_path / "bad.toml"
    bad.write_text(HEAD + '[[axes]]\naxis = "hosts"\nvalues = [1]\n')
    done = _run(tmp_path, str(bad), "--json", str(tmp_path / "out.json"))
    assert (
        done.returncode == 1 and "$.axes[0].axis" in done.stderr and "Traceback" not in done.stderr
    )
