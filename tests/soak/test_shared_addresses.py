"""A gone server and its successor stand in the list at one address."""

from __future__ import annotations

from hazelhollow.soak.rig import CLASSES, Rig, RigOptions
from hazelhollow.standins.answer_script import End, Pause, Write, answer
from tests.soak.helpers import new_id, request

COUNT = 60


def test_keyed_id_runs_in_two_groups_at_a_shared_address() -> None:
    """The successor at the address of the gone server is in another cell; it breaks connections."""
    ids = [new_id() for _ in range(COUNT)]
    settings = {"safety": {"cold": 0.5, "cold_from": 1.0, "drain_grace": 0.25, "tip_after": 2.0,
                           "tip_multiple": 100.0}}  # fmt: skip
    options = RigOptions(endpoints=4, cells=2, classes=CLASSES, settings=settings)
    with Rig(options) as rig:

        def scenario() -> None:
            rig.start()
            gone = rig.endpoints.pop("s-0")
            gone.close()
            # The gone server (cell 0) stays listed; its successor is in cell 1, which has s-1, s-3.
            started = rig.scheduler.clock()
            rig.add_endpoint("s-9", 0, 1, started)
            rig.script = lambda arguments: (
                [Pause(0.02), End.RESET]
                if sum(run.id == arguments[2] for run in rig.executions) == 1
                else [Write(answer(arguments[2]))]
            )
            rig.scheduler.sleep(0.5)
            for request_id in ids:
                client = rig.connect()
                client.send(request("buy", request_id))
                client.answer(3.0)
                client.close()
                rig.scheduler.sleep(0.02)

        rig.run(scenario)
        cells = {
            request_id: sorted({run.cell for run in rig.executions if run.id == request_id})
            for request_id in ids
        }
        addressed = sum(run.endpoint == "s-9" for run in rig.executions)
    assert addressed and all(len(found) <= 1 for found in cells.values()), cells
