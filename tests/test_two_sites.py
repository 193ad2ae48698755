"""What one deployment never tries and another incarnations by.

Units settled afterwards, effects, deadlines, reports.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.sliding_window import SlidingWindow
from hazelhollow.net import attempts, resp
from hazelhollow.simulator.endpoint_reports import read_report
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import parse_settings
from tests.net.scenario import PLAN, SETTINGS, Stage
from tests.test_gateway import ask, entry, only, servers

SETTLED = replace(
    SETTINGS, post_paid=True, max_units=4.0, plans=(replace(PLAN, rate=1.0, burst=8.0),)
)
GUESS = "[Q.ASK 00000000b4d65521 r{0} c=look,t=basic,d=1000,units={1},spread=1,first=0]"


def cost(figures: str, number: int = 1, units: int = 1) -> str:
    """A request whose host answers with these figures on use.

    Its value reaches the client whatever they say.
    """
    words = GUESS.format(number, units)
    return f"""
        a send {words}
        s1 expect {words}
        s1 send *3\\r\\n$2\\r\\nhi\\r\\n${len(figures)}\\r\\n{figures}\\r\\n$7\\r\\nqueue=2
        a expect $2\\r\\nhi"""


def room(stage: Stage) -> float:
    """Units that the customer's budget holds, as the next request finds it."""
    (account,) = stage.service.engine.accounts.values()
    return account.quota.level


@pytest.mark.parametrize(
    ("figures", "left", "bad"),
    [
        ("cost=4", 4.0, 0),
        ("used=37,cost=2", 6.0, 0),
        ("cost=1.5,used=3", 6.5, 0),
        ("used=37", 7.0, 0),
        ("cost=-4", 7.0, 1),
        ("cost=inf", 7.0, 1),
        ("cost=nan", 7.0, 1),
        ("cost=", 7.0, 1),
        ("cost=0", 7.0, 1),
        ("cost=4,cost=4", 7.0, 1),
        ("cost=5", 7.0, 1),
        ("cost=1e0", 7.0, 1),
        ("x" * 250 + ",cost=4", 7.0, 1),
    ],
)
def test_true_units_settle_a_budget_and_what_cannot_be_true_does_not(
    figures: str, left: float, bad: int
) -> None:
    stage = Stage(hosts=1, settings=SETTLED)
    stage.play(cost(figures))
    assert room(stage) == pytest.approx(left)
    assert (stage.service.stats.figures_bad, stage.service.stats.settled) == (
        bad,
        "cost" in figures and not bad,
    )


def test_units_that_are_not_settled_afterwards_are_what_the_request_says() -> None:
    stage = Stage(hosts=1, settings=replace(SETTLED, post_paid=False))
    stage.play(cost("cost=4"))
    assert room(stage) == pytest.approx(7.0)


def test_a_client_that_left_is_settled_once_by_the_answer_that_still_comes() -> None:
    stage = Stage(hosts=1, settings=SETTLED)
    words = GUESS.format(1, 1)
    stage.play(
        f"a send {words}\ns1 expect {words}\na close\ns1 send "
        "*3\\r\\n$1\\r\\nx\\r\\n$6\\r\\ncost=3\\r\\n$-1\nwait 0.05"
    )
    assert room(stage) == pytest.approx(5.0, abs=0.1) and stage.service.stats.settled == 1


def test_settings_read_again_may_begin_to_settle() -> None:
    stage = Stage(hosts=1, settings=replace(SETTLED, post_paid=False))
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=SETTLED))
    stage.play(cost("cost=4"))
    assert room(stage) == pytest.approx(4.0)


@pytest.mark.parametrize(
    ("line", "status", "report"),
    [
        (b"ERR failed used=3,cost=4 queue=2", "error", {"queue": 2.0}),
        (b"ERR failed queue=2", "error", {"queue": 2.0}),
        (b"ERR failed used=3", "error", {}),
        (b"BUSY used=3 inflight=7,queue=2", "full", {"inflight": 7.0, "queue": 2.0}),
        (b"BUSY", "full", {}),
        (b"ERR failed", "error", {}),
    ],
)
def test_an_error_line_may_hold_figures_before_its_report(
    line: bytes, status: str, report: dict[str, float]
) -> None:
    result = attempts.read_answer(resp.ErrorReply(line))
    assert result and result.status == status and not result.figures
    assert read_report(result.report) == report


@pytest.mark.parametrize("answer", [[b"v"], [b"v", None], [b"v", None, None], [b"v", [b"x"], 7]])
def test_an_answer_without_figures_is_an_answer(answer: list[resp.Value]) -> None:
    assert attempts.read_answer(answer) == attempts.AttemptResult("ok", b"v")


CHEAP = api.RequestClass(
    "cheap", latency_objective=1.5, deadline=6.0, priority_weight=2.0, effect="safe"
)
DEAR = api.RequestClass(
    "dear", latency_objective=1.0, deadline=4.0, priority_weight=6.0, effect="unsafe"
)


def pressed(**changes: float) -> dict[str, int]:
    """How many of each class a limiter lets in of as many of both, with nothing answered."""
    plan = api.Plan("basic", rate=1000.0, burst=1000.0)
    told = api.Settings(0, 1, (CHEAP, DEAR), (plan,), max_units=4.0, max_attempts=3, **changes)  # type: ignore[arg-type]
    gateway, sent = DecisionEngine(told, seed=1), {"cheap": 0, "dear": 0}
    gateway.handle(servers("full", *(entry(f"s{n}") for n in range(4))), 100.0)
    for turn in range(100):
        for name in sent:
            sent[name] += len(
                only(ask(gateway, 100.0 + turn / 1000, name, set_size=1), api.StartAttempt)
            )
    return sent


def test_under_pressure_the_class_of_less_worth_gives_way_first() -> None:
    assert pressed()["dear"] >= 2 * pressed()["cheap"] > 0


def test_a_goal_that_weighs_the_worst_served_class_lets_none_give_way() -> None:
    sent = pressed(class_weight=1.0)
    assert 0.7 * sent["dear"] <= sent["cheap"] <= 1.5 * sent["dear"]


@pytest.mark.parametrize(
    ("goal", "weight"),
    [
        ({}, 0.0),
        ({"whole": 0.5, "worst_window": 0.25, "worst_class": 0.15}, 0.2),
        ({"whole": 0.0, "worst_class": 1.0}, 1e6),
        ({"whole": 0.45, "worst_window": 0.4, "worst_class": 0.0, "worst_tenant": 0.15}, 0.0),
    ],
)
def test_the_goal_tells_what_the_worst_class_weighs(goal: dict[str, float], weight: float) -> None:
    grades = [{"name": "a", "objective": 1.0, "deadline": 2.0, "effect": "pure"}]
    told = parse_settings(
        Fields("s", {"position": 0, "balancers": 1, "grades": grades, "goal": goal})
    )
    assert told.class_weight == pytest.approx(weight)


def test_work_is_learned_for_each_number_of_units() -> None:
    """Where units are a guess, a large one may mean far more work than its number says.

    And the hosts must be chosen and filled by that.
    """
    plan = api.Plan("basic", rate=1000.0, burst=1000.0)
    gateway = DecisionEngine(
        api.Settings(0, 1, (CHEAP,), (plan,), max_units=4.0, max_attempts=3), seed=1
    )
    gateway.handle(servers("full", *(entry(f"s{n}") for n in range(4))), 100.0)
    for turn in range(2000):
        units, now = 1.0 + 3.0 * (turn % 2), 100.0 + turn / 10
        (send,) = only(ask(gateway, now, "cheap", set_size=1, units=units), api.StartAttempt)
        gateway.handle(
            api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.1 if units == 1.0 else 1.0, True),
            now,
        )
    by_units = []
    for units in (1.0, 4.0):
        (send,) = only(ask(gateway, 310.0, "cheap", set_size=1, units=units), api.StartAttempt)
        by_units.append(gateway.pending_requests[send.id].attempts[0].work)
        gateway.handle(api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.1, True), 310.0)
    assert by_units[1] > 6 * by_units[0]


def test_many_cold_servers_do_not_make_a_choice_dear(monkeypatch: pytest.MonkeyPatch) -> None:
    """Looking at all servers for each cold one took two thirds of a day's CPU at 7 limiters and 49
    servers.
    """
    told = replace(
        SETTINGS,
        limiter_count=1,
        warm_up_time=14.0,
        warm_up_initial_share=0.2,
        overload_multiple=4.0,
        overload_window=2.0,
    )
    gateway, looks, cold = DecisionEngine(told, seed=1), 0, Endpoint.is_warming_up
    gateway.handle(
        servers("full", *(entry(f"s{n}", started=99.0 * (n % 2)) for n in range(80))), 100.0
    )

    def counted(server: Endpoint, now: float, settings: api.Settings) -> bool:
        nonlocal looks
        looks += 1
        return cold(server, now, settings)

    monkeypatch.setattr(Endpoint, "is_warming_up", counted)
    assert only(ask(gateway, 100.1, "look", set_size=1, time_left=3.0), api.StartAttempt)
    assert looks <= 3 * 80


def test_a_server_that_turns_warm_counts_as_warm_from_then() -> None:
    told = replace(
        SETTINGS,
        limiter_count=1,
        warm_up_time=14.0,
        warm_up_initial_share=0.2,
        overload_multiple=4.0,
        overload_window=2.0,
    )
    gateway = DecisionEngine(told, seed=1)
    gateway.handle(servers("full", entry("old"), entry("new", started=99.0)), 100.0)
    ask(gateway, 100.1, "look", set_size=1, time_left=3.0)
    widths = gateway.table.warm_concurrency(100.1)
    gateway.handle(servers("change", entry("third")), 100.1)  # in the same moment
    ask(gateway, 100.1, "look", set_size=1, time_left=3.0)
    assert gateway.table.warm_concurrency(100.1) == 2 * widths > 0


def test_a_window_is_the_sum_of_its_span() -> None:
    window, chance, items = SlidingWindow(2.0), random.Random(3), list[tuple[float, float]]()
    for turn in range(400):
        now, amount = turn * 0.07 + (5.0 if turn > 300 else 0.0), chance.random()
        window.add(now, amount)
        items.append((now, amount))
        assert window.sum(now + 1.0) == pytest.approx(sum(a for at, a in items if at > now - 1.0))
    assert window.sum(1000.0) == 0.0
