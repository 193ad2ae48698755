"""Settlement: estimated units are replaced by the true units of the answer."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hazelhollow.net import attempts
from hazelhollow.simulator.endpoint_reports import read_report
from tests.net.scenario import PLAN, SETTINGS, Stage

SETTLED = replace(
    SETTINGS, post_paid=True, max_units=4.0, plans=(replace(PLAN, rate=1.0, burst=8.0),)
)
GUESS = "[Q.ASK 00000000b4d65521 r{0} c=look,t=basic,d=1000,units={1},spread=1,first=0]"


def settled_request(figures: str, number: int = 1, units: int = 1) -> str:
    """Returns a scenario in which the host's answer carries these usage figures.

    The client gets the value regardless of the figures.
    """
    words = GUESS.format(number, units)
    return f"""
        a send {words}
        s1 expect {words}
        s1 send *3\\r\\n$2\\r\\nhi\\r\\n${len(figures)}\\r\\n{figures}\\r\\n$7\\r\\nqueue=2
        a expect $2\\r\\nhi"""


def quota_level(stage: Stage) -> float:
    """Returns the customer's current quota level, in units."""
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
def test_valid_true_units_settle_the_quota_and_invalid_ones_do_not(
    figures: str, left: float, bad: int
) -> None:
    stage = Stage(hosts=1, settings=SETTLED)
    stage.play(settled_request(figures))
    assert quota_level(stage) == pytest.approx(left)
    assert (stage.service.stats.figures_bad, stage.service.stats.settled) == (
        bad,
        "cost" in figures and not bad,
    )


def test_without_settlement_the_units_of_the_request_are_charged() -> None:
    stage = Stage(hosts=1, settings=replace(SETTLED, post_paid=False))
    stage.play(settled_request("cost=4"))
    assert quota_level(stage) == pytest.approx(7.0)


def test_answer_after_the_client_disconnected_settles_the_request_once() -> None:
    stage = Stage(hosts=1, settings=SETTLED)
    words = GUESS.format(1, 1)
    stage.play(
        f"a send {words}\ns1 expect {words}\na close\ns1 send "
        "*3\\r\\n$1\\r\\nx\\r\\n$6\\r\\ncost=3\\r\\n$-1\nwait 0.05"
    )
    assert quota_level(stage) == pytest.approx(5.0, abs=0.1) and stage.service.stats.settled == 1


def test_reloaded_settings_can_enable_settlement() -> None:
    stage = Stage(hosts=1, settings=replace(SETTLED, post_paid=False))
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=SETTLED))
    stage.play(settled_request("cost=4"))
    assert quota_level(stage) == pytest.approx(4.0)


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
def test_error_line_may_contain_usage_figures_before_its_report(
    line: bytes, status: str, report: dict[str, float]
) -> None:
    result = attempts.read_error(line)
    assert result and result.status == status and not result.figures
    assert read_report(result.report) == report
