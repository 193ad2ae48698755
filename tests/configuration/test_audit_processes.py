"""Tests with real processes that act on settings of different revisions.

They cover how members adopt settings, are shut out and return, and what their records show.
"""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import Any

import pytest

from hazelhollow.configuration.audit import merge, reader
from hazelhollow.fault_injection import plan
from hazelhollow.fault_injection.addresses import CLIENT_PORT
from hazelhollow.fault_injection.clients import ClientTarget
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.operator_files import audit_file
from hazelhollow.fault_injection.plan import FIRST_PLAN_REVISION
from hazelhollow.fault_injection.run import FaultInjectionRun
from hazelhollow.fault_injection.run_commands import GUARANTEE_VIOLATIONS
from hazelhollow.fault_injection.settings_probes import ProbeOptions, SettingsProber
from hazelhollow.net.scheduler import Clock, Scheduler
from tests.replication.test_processes import ReplicatedFleet

REQUEST_INTERVAL_S = 0.005  # seconds


class Audited(ReplicatedFleet):
    def audit(self, name: str) -> dict[str, Any]:
        first = self.call(name, "fleet").splitlines()
        found: dict[str, Any] = json.loads(first[0])["audit"] if len(first) == 2 else {}
        return found

    def orders(self, *names: str) -> list[int | None]:
        return [self.audit(name).get("order") for name in names or self.cluster.names]

    def state(self, observer: str, number: int) -> str:
        """Returns a member's state at an observer, which may have started just now."""
        return str(self.view(observer).get(str(number), [""])[0])

    def change(self, name: str, order: int) -> None:
        self.cluster.write_files(name, order)
        self.cluster.processes.signal(name, signal.SIGHUP)

    def records(self) -> merge.AuditMerge:
        return merge.merge_entries(reader.read_entries(self.folder, lambda text: None))


@pytest.fixture
def audited(tmp_path: Path) -> Any:
    (tmp_path / "fleet").mkdir()
    three = plan.Plan(name="x", instances=3, hosts=1)
    fleet = Audited(
        LoopbackCluster(Scheduler(Clock()), three, tmp_path / "fleet", operator=audit_file)
    )
    fleet.until(lambda: fleet.all_alive() and fleet.orders() == [0, 0, 0])
    yield fleet
    fleet.cluster.close()


def test_settings_reach_all_members_and_one_that_was_down(
    audited: Audited,
) -> None:
    """One of three members is down while settings change, and restarts with its old files."""
    audited.cluster.processes.kill("n2")
    audited.change("n0", 1)
    audited.until(lambda: audited.orders("n0", "n1") == [1, 1])
    audited.cluster.processes.start("n2")  # with its old files
    audited.until(lambda: audited.orders() == [1, 1, 1])
    assert len({audited.audit(name)["settings"] for name in audited.cluster.names}) == 1
    # An operator rolls back by giving any member the old settings under a greater revision.
    audited.cluster.write_files("n2", 0)
    operator_file = audited.folder / "n2" / "operator.cue"
    operator_file.write_text(operator_file.read_text().replace("order: 0", "order: 2"))
    audited.cluster.processes.signal("n2", signal.SIGHUP)

    def why_of(found: merge.AuditMerge) -> dict[tuple[int, int], str]:
        return {
            (span.member, span.revision): span.reason
            for timeline in found.members.values()
            for span in timeline.spans
        }

    audited.until(lambda: {(n, 2) for n in range(3)} <= set(why_of(audited.records())))
    audited.until(lambda: audited.orders() == [2, 2, 2])
    found = audited.records()
    why = why_of(found)
    assert (
        why[0, 1] == "read again"
        and why[1, 1].startswith("given by")
        and why[2, 1].startswith("given by")
    )
    assert why[2, 2] == "read again" and not found.findings
    assert why[0, 2].startswith("told of by member") and why[0, 2].endswith("known from before")


@pytest.mark.parametrize("killed", ["n0", "n1"])
def test_settings_are_on_record_before_a_request_is_served_by_them(
    audited: Audited, killed: str
) -> None:
    """A member is killed right after its first answer under new settings.

    This is the member that read the file (n0) or one that got the settings from it (n1).
    """
    cluster = audited.cluster
    number = cluster.names.index(killed)
    answers: list[str] = []

    def ask_until_served() -> None:
        with (audited.folder / "asked.jsonl").open("wb") as out:
            target = ClientTarget(killed, number, cluster.own(number + 1, CLIENT_PORT))
            prober = SettingsProber(cluster.scheduler, target, ProbeOptions(1, set_size=3), out)
            while prober.ask("o1") != "served":
                cluster.scheduler.sleep(REQUEST_INTERVAL_S)
        cluster.processes.kill(killed)
        answers.append("served")

    cluster.scheduler.spawn(ask_until_served)
    audited.change("n0", 1)
    audited.until(lambda: bool(answers))
    assert [span.revision for span in audited.records().members[number].spans] == [0, 1]


def test_running_limiters_return_their_records(audited: Audited) -> None:
    audited.change("n0", 1)
    audited.until(lambda: audited.orders() == [1, 1, 1])

    def live() -> merge.AuditMerge:
        return merge.merge_entries(
            [
                entry
                for name in audited.cluster.names
                for entry in reader.decode_answer(audited.call(name, "audit"))
            ]
        )

    audited.until(
        lambda: [span.revision for timeline in live().members.values() for span in timeline.spans]
        == [0, 1] * 3
    )
    assert not live().findings


def test_a_member_that_needs_a_restart_for_newer_settings_is_shut_out(
    audited: Audited,
) -> None:
    """The newer settings change a plan, which needs a restart."""
    audited.change("n0", FIRST_PLAN_REVISION)
    audited.until(lambda: b'"reload_failure":1' in audited.call("n0", "vars"))
    assert audited.orders() == [0, 0, 0]  # it does not announce settings that it cannot apply
    for name in ("n0", "n1"):  # these two are restarted with the changed plan
        audited.cluster.processes.kill(name)
        audited.cluster.write_files(name, FIRST_PLAN_REVISION)
        audited.cluster.processes.start(name)
    audited.until(lambda: audited.audit("n2").get("state") == "shut out")
    assert "restart" in audited.audit("n2")["why"]
    audited.until(lambda: audited.call("n2", "check").startswith(b"error"))
    audited.until(lambda: audited.state("n0", 2) == "shut out")
    assert audited.call("n0", "check").startswith(b"done") and audited.call(
        "n1", "check"
    ).startswith(b"done")
    audited.cluster.processes.kill("n2")
    audited.cluster.write_files("n2", FIRST_PLAN_REVISION)
    audited.cluster.processes.start("n2")
    audited.until(
        lambda: audited.call("n2", "check").startswith(b"done")
        and audited.audit("n2").get("state") == "current"
    )
    audited.until(lambda: audited.state("n0", 2) == "alive")


def test_half_of_the_processes_keep_serving_when_most_are_behind(audited: Audited) -> None:
    """Two of three members cannot use the newer settings; one of these keeps serving."""
    audited.cluster.processes.kill("n0")
    audited.cluster.write_files("n0", FIRST_PLAN_REVISION)
    audited.cluster.processes.start("n0")
    audited.until(lambda: audited.audit("n2").get("state") == "shut out")
    audited.until(
        lambda: audited.audit("n1").get("state") == "behind"
    )  # so two of three serve: at least half have to
    assert audited.call("n1", "check").startswith(b"done")


def test_a_revision_with_two_settings_in_a_partition_is_reported(audited: Audited) -> None:
    """Each side of a partition gets different settings under one revision; all keep serving."""
    number = audited.apart(("n0",))
    audited.change("n0", 1)
    audited.cluster.write_files("n1", 2)  # different settings under the same revision
    operator_file = audited.folder / "n1" / "operator.cue"
    operator_file.write_text(operator_file.read_text().replace("order: 2", "order: 1"))
    audited.cluster.processes.signal("n1", signal.SIGHUP)
    audited.until(lambda: audited.orders("n0", "n1", "n2") == [1, 1, 1])
    audited.cluster.relay.end(number)
    audited.until(
        lambda: {audited.audit(name).get("state") for name in audited.cluster.names}
        == {"contradiction"}
    )
    assert all(audited.call(name, "check").startswith(b"done") for name in audited.cluster.names)
    audited.until(
        lambda: "contradiction" in {finding.kind for finding in audited.records().findings}
    )
    audited.change("n2", 3)  # a greater revision resolves the contradiction
    audited.until(
        lambda: audited.orders() == [3, 3, 3]
        and {audited.audit(n).get("state") for n in audited.cluster.names} == {"current"}
    )


def test_the_audit_is_correct_through_loss_a_pause_and_a_kill(
    tmp_path: Path,
) -> None:
    """Settings change while datagrams are lost and members are paused or killed."""
    events = (
        plan.Event(at=2.0, what="lose", whom=("*",), others=("*",), lasts=6.0, amount=0.2),
        plan.Event(at=2.5, what="pause", whom=("n3",), lasts=3.0),
        plan.Event(at=3.0, what="settings", whom=("n0",), amount=1),
        plan.Event(at=3.2, what="kill", whom=("n2",), lasts=0.5),
        plan.Event(at=7.0, what="old", whom=("n1",), lasts=0.5),
    )
    folder = tmp_path / "drill"
    folder.mkdir()
    found = FaultInjectionRun(
        plan.Plan(name="x", instances=4, seconds=11.0, events=events),
        folder,
        operator=audit_file,
        keep=True,
    ).run()
    promises = [key for key in GUARANTEE_VIOLATIONS if key not in ("false_deaths", "views_differ")]
    assert {key: found[key] or 0 for key in promises} == dict.fromkeys(promises, 0)
    assert (
        found["acted_on_old_after_s_p99"] <= 3.0
        and found["brought_up"] >= 3
        and found["shut_out"] == 0
    )
    assert not found["audit_findings"] and found["requests"] > 300


def test_a_rollout_continues_without_its_leader(
    audited: Audited,
) -> None:
    """The leader of a rollout is killed, and restarts with its old files.

    An operator releases the candidate at another canary and rolls it back at a third member.
    """
    names = audited.cluster.names
    new = audited.cluster.config(0, 1)
    (audited.folder / "n0" / "next.json").write_text(json.dumps(new))
    assert audited.call("n0", "config push next.json 1 2 600") == b"done config push\n"

    def canary_names() -> list[str]:
        return [name for name in names if audited.audit(name).get("candidate")]

    audited.until(lambda: len(canary_names()) == 2)
    (other,) = set(canary_names()) - {"n0"}
    (idle,) = set(names) - {"n0", other}
    assert audited.audit(idle)["order"] == 0
    # Membership announces the candidate to the idle member some heartbeats after it is tried.
    audited.until(lambda: b"members that do" in audited.call(idle, "config hold"))
    audited.cluster.processes.kill("n0")
    audited.until(lambda: audited.state(other, 0) == "dead")
    audited.until(lambda: set(canary_names()) == {other, idle})  # another member replaces it
    audited.cluster.processes.start("n0")
    audited.until(lambda: audited.state(other, 0) == "alive" and audited.audit("n0")["order"] == 0)
    assert audited.call(other, "config release") == b"done config release\n"
    audited.until(lambda: audited.orders() == [1, 1, 1] and not canary_names())
    assert audited.call(idle, "config rollback") == b"done config rollback\n"
    audited.until(lambda: audited.orders() == [2, 2, 2])
    assert len({audited.audit(name)["settings"] for name in names}) == 1
    expected = ["pushed", "taken", "taken", "released", "released", "rolled back"]
    # Each member writes its record in a thread, so the entries of one may arrive after another's.
    audited.until(lambda: len(audited.records().rollout_events) >= len(expected))
    found = audited.records()
    assert [event.event for event in found.rollout_events] == expected
    assert not found.findings
