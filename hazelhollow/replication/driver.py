"""Sends and receives the replica's datagrams and sets its timers; it decides nothing.

Replication's datagrams use the same socket as gossip's and are distinguished by their first letter.
The limiter creates one driver, gives it the engine's counts and operators' overrides, and stops it
when the limiter shuts down.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hazelhollow.control_budget.budget import RoleBudget
from hazelhollow.decisions import interface as api
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.driver import MembershipDriver
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.catch_up import PIECE_TIMEOUT_S, PIECE_TIMEOUT_UNDER_BUDGET_S
from hazelhollow.replication.codec import DIALECT
from hazelhollow.replication.engine_updates import EngineUpdates
from hazelhollow.replication.membership_adapter import OtherMembers
from hazelhollow.replication.outbox import Datagram, LocalMember
from hazelhollow.replication.replica import ROUND_INTERVAL_S, Replica
from hazelhollow.replication.restore import RestorePoint
from hazelhollow.replication.send_priority import PrioritySender
from hazelhollow.replication.snapshot_file import SnapshotFile
from hazelhollow.replication.snapshot_saver import SnapshotSaver

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Network:
    """How datagrams reach the other members, and which members there are.

    `max_bytes` bounds a message's text before it is signed. `budget` bounds what may be sent; None
    means no bound.
    """

    peers: PeerSocket
    membership: MembershipDriver
    authenticator: MessageAuthenticator
    max_bytes: int
    budget: RoleBudget | None = None


@dataclass(frozen=True)
class EngineLink:
    """The decision engine whose accounts are replicated, and the callbacks for changes.

    `on_account` is the engine's event handler. `on_overrides` is called when overrides were
    restored or another member changed one. Its argument has all endpoints that ever had an
    override, and whether each is disabled.
    """

    accounts: EngineAccounts
    on_account: Callable[[api.AccountReplicated], None]
    on_overrides: Callable[[dict[str, bool]], None]


class ReplicationDriver:
    """Replication of one limiter.

    `seed` seeds its random draws. Snapshots are written to `file`; with None none are kept on disk.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        engine: EngineLink,
        seed: int,
        file: SnapshotFile | None = None,
    ) -> None:
        self._scheduler, self._network = scheduler, network
        self._on_overrides, self._file = engine.on_overrides, file
        self._accounts = accounts = engine.accounts
        local = LocalMember(accounts.limiter_id, accounts.limiter_count)
        piece_timeout = PIECE_TIMEOUT_UNDER_BUDGET_S if network.budget else PIECE_TIMEOUT_S
        self.replica = Replica(local, seed, accounts, network.max_bytes, piece_timeout)
        self._members = OtherMembers(network.membership, local.number, local.member_count)
        self._sender = PrioritySender(network.budget) if network.budget else None
        self._restore_point = RestorePoint()
        self._updates = EngineUpdates(
            self.replica, accounts, self._restore_point, engine.on_account
        )
        self.snapshots = (
            SnapshotSaver(scheduler, file, self.replica, accounts, self._restore_point)
            if file
            else None
        )
        self._next_receiver = network.peers.on_message  # handles datagrams of other protocols
        self._stopped = False
        self._log = RateLimitedLog(log, scheduler.clock)

    def start(self) -> None:
        """Loads the last incarnation's snapshot, if any, and starts the rounds."""
        peers = self._network.peers
        self._next_receiver, peers.on_message = peers.on_message, self.receive
        now = self._restore_point.started_at = self._scheduler.clock()
        snapshot = self._restore_point.snapshot = self._file.load(now) if self._file else None
        if snapshot:
            overrides = self.replica.anti_entropy.overrides
            for override in snapshot.overrides:
                overrides.merge_in(override)
            self._on_overrides(overrides.disabled())
        self._run_round()

    def receive(self, sender: int, text: str) -> None:
        """Handles a datagram of another member; others are passed to the next handler."""
        if not text.startswith(DIALECT[0]):
            self._next_receiver(sender, text)
            return
        plain = self._network.authenticator.verify(text)
        if plain is None:
            self.replica.counters["unsealed"] += 1
            return
        now = self._scheduler.clock()
        self._send_and_forward(self.replica.receive(sender, plain, now), now)

    @property
    def counters(self) -> Counter[str]:
        """Counts of sent and refused messages, by the names in the operators' documentation."""
        return self.replica.counters

    def record_charge(self, action: api.ReplicateCount) -> None:
        """Records a counter that the engine reports: its own, or another's summed from gossip."""
        self.replica.record_charge(self._accounts.row_of(action, self.replica.local))

    def set_override(self, endpoint: str, disabled: bool) -> None:
        """Applies an operator's instruction at this limiter."""
        now = self._scheduler.clock()
        self._send_and_forward(self.replica.set_override(endpoint, disabled, now), now)

    def stop(self) -> None:
        """Stops the rounds and saves the last snapshot; this limiter admits nothing from now on."""
        if not self._stopped:
            self._stopped = True
            if self.snapshots:
                self.snapshots.save_last()

    def document(self) -> dict[str, Any]:
        """Returns the state that operators see, by the names in the operators' documentation."""
        anti_entropy, catch_up = self.replica.anti_entropy, self.replica.catch_up
        disabled = anti_entropy.overrides.disabled()
        return {
            "whole": catch_up.is_complete,
            "gives": catch_up.can_serve(),
            "customers": len(anti_entropy.counts),
            "owed": round(self._accounts.total_debt(), 1),
            "troubles": dict(anti_entropy.counts.contradictions),
            "counts": dict(self.replica.counters),
            "hosts_out": sorted(endpoint for endpoint, is_out in disabled.items() if is_out),
        }

    def _run_round(self) -> None:
        if self._stopped:
            return
        now = self._scheduler.clock()
        self._scheduler.at(now + ROUND_INTERVAL_S, self._run_round)
        for member in self._members.update():
            self.replica.anti_entropy.member_returned(member)
        if self._accounts.incarnation:
            self.replica.local.incarnation = self._accounts.incarnation
            older = set[int]() if self.replica.catch_up.is_complete else self._members.older()
            # `present` includes members whose gossip does not arrive, so that a catch-up from one
            # continues.
            self._send_and_forward(self.replica.run_round(now, self._members.present, older), now)
        if self.snapshots:
            self.snapshots.run_round(now)

    def _send_and_forward(self, datagrams: list[Datagram], now: float) -> None:
        if self._sender:
            datagrams = self._sender.sendable(datagrams, now)
        for datagram in datagrams:
            self._network.peers.send_to(
                datagram.member, self._network.authenticator.sign(datagram.text)
            )
        self._updates.forward_new(now)
        anti_entropy = self.replica.anti_entropy
        if anti_entropy.new_overrides:
            for override in anti_entropy.new_overrides:
                self._log.log(
                    logging.WARNING,
                    "endpoint %s was %s by an operator at member %d",
                    override.endpoint,
                    "disabled" if override.disabled else "enabled",
                    override.member,
                )
            anti_entropy.new_overrides = []
            self._on_overrides(anti_entropy.overrides.disabled())
