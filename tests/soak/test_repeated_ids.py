"""Ids that come again after their client has left, at the same or at the other process."""

from __future__ import annotations

from collections import Counter

import pytest

from hazelhollow.soak.rig import Rig, RigOptions
from hazelhollow.soak.wire import Kind
from hazelhollow.standins.answer_script import Pause, Write, answer
from tests.soak.helpers import new_id, request

COUNT = 12


def runs_by_id(rig: Rig, ids: list[bytes]) -> Counter[bytes]:
    return Counter(run.id for run in rig.executions if run.id in ids)


@pytest.mark.parametrize("left_after", ["its answer", "its request ran"])
def test_unsafe_id_runs_twice_after_its_client_has_left(left_after: str) -> None:
    ids, kinds = [new_id() for _ in range(COUNT)], []
    with Rig() as rig:
        rig.script = lambda arguments: [Pause(0.3), Write(answer(arguments[2]))]

        def scenario() -> None:
            rig.start()
            for request_id in ids:
                client = rig.connect()
                client.send(request("pay", request_id))
                if left_after == "its answer":
                    client.answer(2.0)
                else:
                    client.pause_reading(0.1)
                client.close()
            rig.scheduler.sleep(0.1)
            for request_id in ids:
                client = rig.connect()
                client.send(request("pay", request_id))
                again = client.answer(2.0)
                kinds.append(again and again.kind)
                client.close()

        rig.run(scenario)
        assert runs_by_id(rig, ids) == Counter(ids)
    assert kinds == [Kind.ERROR] * COUNT  # it may have run: no -BUSY, which promises the contrary


def test_unsafe_id_that_never_ran_is_not_served_when_it_comes_again() -> None:
    """Guards against remembering too much: what surely never ran may be sent."""
    got = []
    with Rig() as rig:

        def scenario() -> None:
            rig.start()
            for name in list(rig.endpoints):
                rig.endpoints[name].draining = True  # each answers -BUSY
            request_id = new_id()
            client = rig.connect()
            client.send(request("pay", request_id, 400))
            got.append(client.answer(2.0))
            client.close()
            for name in list(rig.endpoints):
                rig.endpoints[name].draining = False
            until = rig.scheduler.clock() + 8.0
            while rig.scheduler.clock() < until and not rig.executions:
                client = rig.connect()
                client.send(request("pay", request_id))
                got.append(client.answer(2.0))
                client.close()
                rig.scheduler.sleep(0.2)

        rig.run(scenario)
        assert len(rig.executions) == 1
    kinds = [found and found.kind for found in got]
    assert kinds[0] is Kind.BUSY and kinds[-1] is Kind.VALUE


def test_keyed_id_that_comes_again_runs_in_a_second_group() -> None:
    """Its first attempt ran in one cell, unanswered; a repeat may run there only."""
    ids = [new_id() for _ in range(COUNT)]
    with Rig(RigOptions(endpoints=4, cells=2)) as rig:
        rig.script = lambda arguments: [Pause(0.25), Write(answer(arguments[2]))]

        def scenario() -> None:
            rig.start()
            for _ in range(3):
                for request_id in ids:
                    client = rig.connect()
                    client.send(request("buy", request_id))
                    client.pause_reading(0.03)
                    client.close()
                rig.scheduler.sleep(0.4)

        rig.run(scenario)
        cells = {
            request_id: {run.cell for run in rig.executions if run.id == request_id}
            for request_id in ids
        }
    assert all(len(found) == 1 for found in cells.values()), cells


def test_unsafe_id_runs_twice_at_the_other_process_of_an_upgrade() -> None:
    ids = [new_id() for _ in range(COUNT)]
    with Rig() as rig:
        rig.script = lambda arguments: [Pause(0.1), Write(answer(arguments[2]))]

        def scenario() -> None:
            rig.start()
            for request_id in ids:
                client = rig.connect()
                client.send(request("pay", request_id))
                client.pause_reading(0.03)
                client.close()
            rig.start_upgrade("n0")
            rig.scheduler.sleep(1.5)
            rig.terminate("n0")
            for _ in range(2):  # connections go to either process, then to the new one only
                for request_id in ids:
                    client = rig.connect()
                    client.send(request("pay", request_id))
                    client.answer(1.0)
                    client.close()
                rig.scheduler.sleep(1.0)

        rig.run(scenario)
        assert runs_by_id(rig, ids) == Counter(ids)
