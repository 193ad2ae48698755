"""System calls that fail for a moment: no request is closed without an answer."""

from __future__ import annotations

from collections import Counter

import pytest

from hazelhollow.soak.rig import Rig, RigOptions
from hazelhollow.soak.wire import Kind
from hazelhollow.standins.answer_script import Pause, Write, answer, in_pieces
from tests.soak.helpers import new_id, request

REQUESTS_EACH = 40
CLIENTS = 12


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_request_is_closed_without_an_answer_while_system_calls_fail(seed: int) -> None:
    """Answers are whole and in order, unsafe requests run once, the process serves and ends."""
    kinds: Counter[object] = Counter()
    wrong, long_value = list[str](), bytes(200_000)
    options = RigOptions(
        module="tests.soak.faulty_serve", environment={"SYSTEM_CALL_FAULTS": f"{seed} 0.03"}
    )
    with Rig(options) as rig:
        rig.script = lambda arguments: (
            in_pieces(answer(long_value), 3, 0.02)
            if arguments[2].endswith(b"0")
            else [Pause(0.005), Write(answer(b"value of " + arguments[2]))]
        )

        def use(number: int) -> None:
            client = rig.connect()
            for _ in range(REQUESTS_EACH):
                request_id = new_id()
                data = request(("look", "buy", "pay")[number % 3], request_id)
                is_new = client.received_bytes == 0
                client.send(data)
                found = client.answer(4.0)
                if found is None and client.closed and not is_new:
                    # An idle connection may be closed; if that crosses a request, the client sends
                    # it once more on a new connection.
                    kinds["crossed"] += 1
                    client.close()
                    client = rig.connect()
                    client.send(data)
                    found = client.answer(4.0)
                kinds[found.kind if found else "closed or silent"] += 1
                expected = long_value if request_id.endswith(b"0") else b"value of " + request_id
                if found and found.kind is Kind.VALUE and found.text != expected:
                    wrong.append(request_id.decode())
                if client.closed:
                    client.close()
                    client = rig.connect()
            client.close()
            kinds["clients"] += 1

        def scenario() -> None:
            rig.start()
            for number in range(CLIENTS):
                rig.scheduler.spawn(use, number)
            while kinds["clients"] < CLIENTS:
                rig.scheduler.sleep(0.05)
            rig.terminate("n0")
            assert rig.await_end("n0", 3.7)
            assert rig.processes.members["n0"].status == 0

        rig.run(scenario)
        runs = Counter(run.id for run in rig.executions if b"c=pay" in run.arguments[3])
    assert not wrong and kinds["closed or silent"] == 0 and kinds["crossed"] <= 2, kinds
    assert max(runs.values()) == 1 and kinds[Kind.VALUE] > 0.9 * CLIENTS * REQUESTS_EACH, kinds
