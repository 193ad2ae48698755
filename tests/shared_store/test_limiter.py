"""Tests of a complete limiter with the stand-in store on sockets, and of the bench's checker."""

from __future__ import annotations

from pathlib import Path

from hazelhollow.bench import store as bench
from hazelhollow.bench.checker import Bucket
from hazelhollow.decisions import interface as api
from hazelhollow.operator import attach, load
from hazelhollow.standins.redis.node import Node
from hazelhollow.standins.redis.server import Server
from tests.net.scenario import BUY, LOOK, START, Stage


def test_limiter_on_sockets_leases_from_the_stand_in(tmp_path: Path) -> None:
    stage_now = [START]
    plan = api.Plan("basic", rate=20.0, burst=40.0, ceiling_rate=40.0, ceiling_burst=80.0)
    engine_settings = api.Settings(
        0, 2, (LOOK, BUY), (plan,), zone="a", max_attempts=3, max_units=4.0
    )
    file = tmp_path / "o.cue"
    (tmp_path / "password").write_text("open sesame\nnot this\n")
    # The stage's clock advances in steps of 50 ms, and a call may take several steps.
    file.write_text(
        "store: "
        '{address: "127.0.0.1:1", call_timeout: "300ms", '
        f'password_file: "{tmp_path}/password"}}'
    )
    attached = attach.Attached(str(file), load.load(str(file)))

    class StageWithStore(Stage):
        """Runs the stand-in in the same event loop and on the same clock as the limiter."""

        def settle(self, turns: int = 60) -> None:
            stage_now[0] = self.now
            super().settle(turns)

    stage = StageWithStore(attached=attached, settings=engine_settings)
    server = Server(stage.scheduler, Node(lambda: stage.now, 1, "open sesame"), ("127.0.0.1", 0))
    server.start()
    file.write_text(file.read_text().replace("127.0.0.1:1", f"127.0.0.1:{server.address[1]}"))
    attached.reload(config_accepted=True)
    stage.play("wait 4")
    assert (
        attached.ledger
        and attached.ledger.presence.connected
        and attached.ledger.presence.view == {0}
    )
    # For a customer that is new to the store, the pool opens after a lease's term.
    for n in range(80):
        stage.play(f"""
            a send [Q.ASK 00000000b4d65521 {n:016x} c=look,t=basic,d=900,units=1,spread=2,first=0]
            wait 0.05""")
    stage.play("wait 1")
    assert server.node.state.calls["EVALSHA"] > 3 and attached.ledger.counts["granted"] > 0
    assert b"hh:{00000000b4d65521/basic}" in server.node.state.engine.databases[0].entries
    server.close()


def test_bench_runs_are_reproducible_by_seed_and_stay_within_limits() -> None:
    jobs = [
        bench.Job(seed, kind, 3, 14.0)
        for kind, seed in [("mixed", 1), ("mixed", 2), ("restart_old", 1), ("down", 1), ("kill", 3)]
    ]
    results = [bench.run_job(job) for job in jobs]
    assert not any(result.broken or result.overshoot > 0 for result in results)
    assert bench.run_job(jobs[0]) == results[0] != results[1]
    figures = bench.summary(results)
    assert (
        figures["runs"] == 5
        and figures["broken"] == 0
        and set(figures["by_fault"]) == {"mixed", "restart_old", "down", "kill"}
    )


def test_checker_detects_an_exceeded_limit() -> None:
    bucket = Bucket(10.0, 20.0, 0.0)
    for _ in range(28):
        bucket.take(1.0, 0.0)
    assert (
        bucket.overshoot_share() == 0.4
        and bucket.is_broken(largest_request=6.0)
        and not bucket.is_broken(largest_request=7.0)
    )
    assert bucket.refill(10.0) == 20.0
