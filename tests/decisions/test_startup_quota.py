"""Initial quota levels of a limiter that has just started."""

from __future__ import annotations

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip.codec import base36, incarnation_name
from tests.decisions.helpers import (
    actions_of,
    ask,
    count_admitted,
    make_engine,
)


def test_new_limiter_admits_its_share_of_the_burst_and_an_old_one_all() -> None:
    """A limiter is restarted after its peers have used up the burst.

    It must not admit the full burst again.
    """
    assert count_admitted(make_engine(), 0.0, 30) == 4  # 12 / 3
    assert count_admitted(make_engine(), 0.0, 30, set_size=2) == 6
    assert count_admitted(make_engine(), 100.0, 30) == 12


@pytest.mark.parametrize(
    "incarnations, basic, hard", [((0.0, 0.6), 12, 8), ((0.0, -10.0), 4, 0), ((0.0,), 4, 0)]
)
def test_full_burst_is_available_only_if_all_limiters_started_together(
    incarnations: tuple[float, ...], basic: int, hard: int
) -> None:
    """A limiter starts in an older fleet, or has not received gossip from all peers.

    Units used before its start are then unknown to it.
    """
    for plan, expected in (("basic", basic), ("hard", hard)):
        engine = make_engine()
        engine.context.started_at, engine.context.incarnation = 1000.0, incarnation_name(1000.0)
        results = [ask(engine, 1000.0, plan_name=plan)]
        for peer, start in enumerate(incarnations, 1):
            engine.handle(
                api.GossipReceived(
                    peer, f"h{base36(1000 % 36)}0{incarnation_name(1000.0 + start)}"
                ),
                1000.0,
            )
        results += [ask(engine, 1000.0, plan_name=plan) for _ in range(30)]
        assert sum(bool(actions_of(actions, api.StartAttempt)) for actions in results) == expected
