"""The wall clock is stepped before a limiter starts; all spans stay spans of real time."""

from __future__ import annotations

from collections import Counter

import pytest

from hazelhollow.decisions.gossip.peer_periods import LEARNING_TIME_S, PeerPeriods
from hazelhollow.net.start_times import MAX_TELL_DELAY_S, StartTimes
from hazelhollow.soak.rig import Rig, RigOptions
from tests.soak.helpers import new_id, request

STEPS_S = [3600.0, 7.0, 0.0, -7.0, -3600.0]
MEASURED_S = 2.0
CLIENTS = 16
WARM_UP_S, INITIAL_SHARE, MULTIPLE = 20.0, 0.1, 4.0
SLOW_START = {
    "cold": WARM_UP_S,
    "cold_from": INITIAL_SHARE,
    "drain_grace": 0.25,
    "tip_after": MEASURED_S,
    "tip_multiple": MULTIPLE,
}


@pytest.mark.parametrize("step", STEPS_S)
def test_cold_endpoint_is_not_spared_by_a_limiter_with_a_stepped_clock(step: float) -> None:
    """It joins while the limiter runs. The limiter's own law: at most twice its share of a warm
    endpoint's load, and what chance adds, N + 3 x root of N + 3 for few requests."""
    options = RigOptions(
        module="tests.soak.stepped_serve",
        environment={"WALL_CLOCK_STEP": str(step)},
        endpoints=4,
        work=0.03,
        settings={"safety": SLOW_START},
    )
    with Rig(options) as rig:

        def use(until: float) -> None:
            client = rig.connect()
            while rig.scheduler.clock() < until:
                client.send(request("look", new_id()))
                client.answer(2.0)
            client.close()

        def scenario() -> None:
            rig.start()
            rig.scheduler.sleep(0.3)
            started = rig.scheduler.clock()
            for _ in range(CLIENTS):  # at once, so that the load is spread over all endpoints
                rig.scheduler.spawn(use, started + MEASURED_S)
            rig.add_endpoint("s-cold", 9, 0, started)
            rig.scheduler.sleep(MEASURED_S + 0.3)

        rig.run(scenario)
        runs = Counter(run.endpoint for run in rig.executions)
    cold = runs.pop("s-cold", 0)
    warm = sum(runs.values()) / len(runs)
    assert len(runs) == 4
    share = INITIAL_SHARE + (1 - INITIAL_SHARE) * MEASURED_S / WARM_UP_S
    allowed = 2.0 * share * warm
    assert warm > 30 and cold <= allowed + 3 * allowed**0.5 + 3, (cold, runs)


def test_answers_come_in_time_and_grace_ends_with_any_step() -> None:
    """A process that starts an hour ahead beside one from before the step: an upgrade."""
    with Rig(RigOptions(module="tests.soak.stepped_serve")) as rig:

        def scenario() -> None:
            rig.start()
            ids = [new_id() for _ in range(10)]
            for request_id in ids:
                client = rig.connect()
                client.send(request("pay", request_id))
                client.pause_reading(0.02)
                client.close()
            rig.options = RigOptions(
                module="tests.soak.stepped_serve", environment={"WALL_CLOCK_STEP": "-3600"}
            )
            rig.start_upgrade("n0")
            rig.scheduler.sleep(1.5)
            rig.terminate("n0")
            for request_id in ids * 2:
                client = rig.connect()
                client.send(request("pay", request_id))
                client.answer(1.0)
                client.close()
                rig.scheduler.sleep(0.05)
            assert rig.await_end("n0", 4.0)
            runs = Counter(run.id for run in rig.executions)
            assert all(runs[request_id] == 1 for request_id in ids), runs

        rig.run(scenario)


# The modules


class Clock:
    def __init__(self, now: float) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize("step", STEPS_S)
def test_start_told_while_discovery_is_followed_is_recent(step: float) -> None:
    true_now = 1_000_000.0
    clock = Clock(true_now + step)
    times = StartTimes(clock)
    times.begin_list([true_now - 500.0], cached=False)
    times.convert("old", true_now - 500.0)
    clock.now += 1.5
    times.begin_list([true_now + 1.0], cached=False)
    started = times.convert("new", true_now + 1.0)
    assert clock.now - MAX_TELL_DELAY_S <= started <= clock.now
    clock.now += 5.0
    times.begin_list([true_now + 1.0], cached=False)
    assert times.convert("new", true_now + 1.0) == started  # the same start, told again


def test_long_gap_of_discovery_makes_old_starts_plausible() -> None:
    clock = Clock(1000.0)
    times = StartTimes(clock)
    times.begin_list([], cached=False)
    clock.now += 60.0
    times.begin_list([1010.0], cached=False)
    assert times.convert("new", 1010.0) == 1010.0


def test_clock_that_is_behind_keeps_the_order_of_starts() -> None:
    clock = Clock(1000.0)
    times = StartTimes(clock)
    times.begin_list([4600.0, 4540.0], cached=False)
    assert (times.convert("a", 4600.0), times.convert("b", 4540.0)) == (1000.0, 940.0)


@pytest.mark.parametrize("shift", [-17, -5, -2, 2, 5, 17])
def test_datagrams_of_a_peer_with_a_stepped_clock_are_used_after_a_while(shift: int) -> None:
    """Guards against limiters that ignore each other's charges for as long as both run."""
    periods, ages = PeerPeriods(), []
    for number in range(40):
        now = 500.0 + 0.25 * number
        peer_period = int(now - shift) % 36
        ages.append((now, periods.age((1, "x"), peer_period, int(now), now)))
    assert all(age in (0, 1) for now, age in ages if now >= 500.0 + LEARNING_TIME_S + 1.5)


def test_single_late_datagrams_stay_stale() -> None:
    periods = PeerPeriods()
    for number in range(40):
        now = 500.0 + 0.25 * number
        assert periods.age((1, "x"), int(now) % 36, int(now), now) == 0
        if number % 2:
            assert periods.age((1, "x"), int(now - 3.0) % 36, int(now), now) is None
