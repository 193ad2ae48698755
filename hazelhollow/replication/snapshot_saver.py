"""Decides when a running limiter saves a snapshot and of which accounts. Sets timers."""

from __future__ import annotations

from hazelhollow.net.scheduler import Scheduler
from hazelhollow.replication import snapshot as snapshots
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.replica import Replica
from hazelhollow.replication.restore import RestorePoint
from hazelhollow.replication.snapshot import SavedAccount, Snapshot
from hazelhollow.replication.snapshot_collector import SnapshotCollector
from hazelhollow.replication.snapshot_file import SnapshotFile

SAVE_INTERVAL_S = 0.25
SLICE_INTERVAL_S = 0.002  # between two slices of the accounts of one snapshot


class SnapshotSaver:
    """Saves the accounts and the replica's overrides to `file`.

    Until this member is complete, the accounts to be saved come from `restore_point`.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        file: SnapshotFile,
        replica: Replica,
        accounts: EngineAccounts,
        restore_point: RestorePoint,
    ) -> None:
        self._scheduler, self._file, self._replica = scheduler, file, replica
        self._accounts, self._restore_point = accounts, restore_point
        self._collector: SnapshotCollector | None = None  # of the snapshot under way
        self._saved_at = 0.0

    def run_round(self, now: float) -> None:
        """Begins a snapshot if SAVE_INTERVAL_S has passed and none is under way."""
        if self._collector is None and now - self._saved_at >= SAVE_INTERVAL_S:
            self._saved_at = now
            self.save()

    def save(self) -> None:
        """Begins a snapshot, whose accounts are collected in slices over several turns.

        A member that is not complete saves its snapshot at once.
        """
        if self._replica.catch_up.is_complete:
            self._collector = SnapshotCollector(self._accounts)
            self._collect(self._collector)
        else:
            self._write(self._accounts_before_complete(), is_final=False)

    def save_last(self) -> None:
        """Saves at once, at an orderly shutdown, and abandons a snapshot that is under way.

        The snapshot is final only if this member is complete: otherwise others may know more.
        """
        if self._replica.catch_up.is_complete:
            collector = SnapshotCollector(self._accounts)
            collector.finish()
            self._collector = None
            self._write(collector.saved_accounts(), is_final=True)
        else:
            self._write(self._accounts_before_complete(), is_final=False)

    def _accounts_before_complete(self) -> list[SavedAccount]:
        now = self._scheduler.clock()
        return self._restore_point.accounts_before_complete(self._accounts, now)

    def _collect(self, collector: SnapshotCollector) -> None:
        if collector is not self._collector:
            return  # `save_last` has abandoned this snapshot
        if not collector.step():
            at = self._scheduler.clock() + SLICE_INTERVAL_S
            self._scheduler.at(at, self._collect, collector)
            return
        self._collector = None
        self._write(collector.saved_accounts(), is_final=False)

    def _write(self, accounts: list[SavedAccount], is_final: bool) -> None:
        overrides = list(self._replica.anti_entropy.overrides.by_endpoint.values())
        self._file.save(
            Snapshot(
                snapshots.FORMAT,
                snapshots.VERSION,
                self._scheduler.clock(),
                self._replica.local.number,
                accounts,
                overrides,
                is_final,
            )
        )
