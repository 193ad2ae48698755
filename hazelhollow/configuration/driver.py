"""The driver of the configuration: handles datagrams, sets timers and calls the rules.

On each tick it records and announces what changed (`record_keeping`), triggers an evaluation of the
admission verdict, checks the rollout (`rollout_control`) and requests missing settings
(`distribution`, `adoption`). Long work on documents is done in slices between ticks.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hazelhollow.configuration.admission_verdict import (
    FETCH_TIMEOUT_S,
    AdmissionVerdict,
    SettingsState,
)
from hazelhollow.configuration.adoption import ProposedSettings, SettingsAdoption
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.distribution.codec import DATAGRAM_PREFIX
from hazelhollow.configuration.distribution.exchange import (
    REQUEST_INTERVAL_S,
    DocumentExchange,
    ExchangePort,
    ReceivedDocument,
)
from hazelhollow.configuration.record_keeping import RecordKeeper
from hazelhollow.configuration.rollout_control import RolloutControl
from hazelhollow.configuration.state import ConfigurableLimiter, ConfigurationState
from hazelhollow.control_budget.budget import RoleBudget
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.driver import MembershipDriver
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.scheduler import Scheduler

DISK_CHECK_INTERVAL_S = 0.005  # while settings wait for their record to be on disk
SLICE_INTERVAL_S = 0.002  # between steps of long work on documents


@dataclass(frozen=True)
class Connections:
    """The objects that a driver is connected to.

    Attributes:
        scheduler: Its clock and timers.
        peers: Sends and receives datagrams.
        membership: Announces versions and requests the admission verdict.
        authenticator: Signs and verifies datagrams.
        limiter: The limiter itself.
    """

    scheduler: Scheduler
    peers: PeerSocket
    membership: MembershipDriver
    authenticator: MessageAuthenticator
    limiter: ConfigurableLimiter


@dataclass(frozen=True)
class ConfigurationOptions:
    """Options of a driver.

    Attributes:
        file_revision: Returns the revision that the operator file names at the time of the call.
        record: The audit record of the limiter.
        seed: Seed of its random draws.
        allowance: Its budget for sending; None: unlimited.
    """

    file_revision: Callable[[], int]
    record: AuditRecord
    seed: int
    allowance: RoleBudget | None = None


class ConfigurationDriver:
    """Keeps one limiter on the settings that are in force.

    Attributes:
        record: The limiter's audit record.
        rollouts: Rollouts, with the operations for operators.
        verdict: Whether the limiter may accept new work, as evaluated last.
    """

    def __init__(self, connections: Connections, options: ConfigurationOptions) -> None:
        self._scheduler, self._peers = connections.scheduler, connections.peers
        self._membership = connections.membership
        self._authenticator = connections.authenticator
        self.record, self.verdict = options.record, AdmissionVerdict(SettingsState.CURRENT)
        clock = connections.scheduler.clock
        limiter_id = connections.membership.membership.limiter_id
        self._state = ConfigurationState(
            limiter_id, connections.limiter, options.file_revision, options.record, clock
        )
        port = ExchangePort(self._send, self._piece_arrived, options.allowance)
        self._exchange = DocumentExchange(
            limiter_id, self._state.in_force.history, random.Random(options.seed), port
        )
        self._keeper = RecordKeeper(
            self._state, options.record, self._announce, self._exchange.serve
        )
        self._adoption = SettingsAdoption(self._state, self._keeper, self._reevaluate)
        self.rollouts = RolloutControl(
            self._state, self._keeper, self._adoption, lambda: self.verdict, self._reevaluate
        )
        self._next_handler = connections.peers.on_message
        self._resumed_at = clock()
        self._ended = self._slice_is_due = False

    def start(self) -> None:
        """Starts the driver; called just before the limiter serves."""
        self._next_handler, self._peers.on_message = self._peers.on_message, self.receive
        self._keeper.announce()
        self._membership.membership.table.subscribe(self._state.peers.update_from)
        self._membership.evaluate_shut_out = self.evaluate_admission
        self._keeper.begin()
        self._tick()

    def end(self) -> None:
        """Ends the driver, when the limiter ends."""
        if not self._ended:
            self._ended = True
            self._keeper.end()

    def revision(self) -> int:
        """Returns the revision of the settings that the limiter acts on."""
        return self._state.in_force.revision()

    def document(self) -> dict[str, Any]:
        """Returns what `call fleet` shows as `audit`."""
        return self._state.document(self.verdict)

    def publish(self, reason: str) -> None:
        """Records and announces the versions in use, with that reason, if they have changed.

        Must be called in the event loop turn of the change, before a request is served under it.
        """
        self._keeper.publish(reason)

    def settings_reloaded(self) -> None:
        """Handles a reload: the limiter has read its files again and acts on their settings.

        Candidates and settings received from peers are dropped.
        """
        self._state.in_force.clear_adopted_revision()
        self._adoption.cancel()
        self._state.rollout.end()
        self._keeper.publish("read again")
        self._reevaluate()
        self._fetch()

    # Timers

    def _tick(self) -> None:
        if self._ended:
            return
        now = self._scheduler.clock()
        self._scheduler.at(now + REQUEST_INTERVAL_S, self._tick)
        self._keeper.publish("read again")
        self._state.activity.peers(self._state.known_versions(), self.revision())
        self._reevaluate()
        self.rollouts.tick(now, self._membership.membership.may_admit)
        self._fetch()
        self._exchange.send_due(now)
        self._schedule_slice()
        if self._keeper.tick(now):
            self._exchange.new_second()

    def _schedule_slice(self) -> None:
        """Sets a timer if there is long work to do and no timer is set."""
        if self._slice_is_due:
            return
        if self._exchange.is_busy() or not self._state.in_force.history.step():
            self._slice_is_due = True
            self._scheduler.at(self._scheduler.clock() + SLICE_INTERVAL_S, self._do_slice)

    def _do_slice(self) -> None:
        self._slice_is_due = False
        if not self._ended:
            self._exchange.step(self._scheduler.clock())
            self._schedule_slice()

    # Membership

    def _announce(self, encoded_versions: str) -> None:
        self._membership.membership.set_versions(encoded_versions)

    def _reevaluate(self) -> None:
        """Triggers a call of `evaluate_admission` by membership."""
        self._membership.reevaluate()

    def evaluate_admission(self, now: float) -> bool:
        """Evaluates the admission verdict; returns whether it rejects new work.

        Membership calls it before it notifies the decision engine of a change, so that a member
        that resumes after a pause gets a verdict before it accepts work.
        """
        if not self._membership.membership.may_admit:
            self._resumed_at = now
        state, before = self._state, self.verdict
        just_started = now - self._resumed_at < FETCH_TIMEOUT_S
        self.verdict = verdict = state.admission.evaluate(state.known_versions(), now, just_started)
        if verdict.state is not before.state:
            state.activity.verdict(now, verdict, self.revision())
            self._log_verdict(verdict)
        return verdict.rejects_new_work

    def _log_verdict(self, verdict: AdmissionVerdict) -> None:
        warns = verdict.state in (SettingsState.SHUT_OUT, SettingsState.CONTRADICTION)
        level = logging.WARNING if warns else logging.INFO
        reason = f": {verdict.reason}" if verdict.reason else ""
        self._state.log.log(level, "audit: %s%s", verdict.state, reason)

    # Documents

    def _fetch(self) -> None:
        """Requests settings that this member has to adopt, or gets them from its history."""
        wanted = self._adoption.wanted(self.verdict)
        if wanted is None:
            return
        revision, digest, holders = wanted.document
        if self._adoption.is_pending(revision, digest):
            return
        history = self._state.in_force.history
        document = history.document(digest) if history.knows(digest) else None
        if document is None:
            self._exchange.fetch(
                wanted.document, self._state.known_versions(), self._scheduler.clock()
            )
            return
        reason = f"told of by member {min(holders)}, known from before"
        self._adopt(ProposedSettings(revision, digest, document, reason, wanted.invitation))

    def receive(self, sender: int, text: str) -> None:
        """Handles a datagram; those of other subsystems are passed to the next handler."""
        if not text.startswith(DATAGRAM_PREFIX[0]):
            self._next_handler(sender, text)
            return
        plain = self._authenticator.verify(text)
        received = None
        if plain is not None:
            received = self._exchange.receive(sender, plain, self._scheduler.clock())
        if received is not None:
            # Adopted in a separate event loop turn: checking a long document takes as long as
            # assembling it.
            self._scheduler.at(
                self._scheduler.clock() + SLICE_INTERVAL_S, self._adopt_received, received
            )
        self._schedule_slice()

    def _send(self, number: int, text: str) -> None:
        self._peers.send_to(number, self._authenticator.sign(text))

    def _piece_arrived(self, revision: int) -> None:
        self._state.admission.piece_arrived(revision, self._scheduler.clock())

    def _adopt_received(self, received: ReceivedDocument) -> None:
        settings = None if self._ended else self._adoption.accept(received)
        if settings is not None:
            self._adopt(settings)

    def _adopt(self, settings: ProposedSettings) -> None:
        if self._adoption.propose(settings):
            self._advance_adoption(settings)

    def _advance_adoption(self, settings: ProposedSettings) -> None:
        if not self._ended and self._adoption.advance(settings):
            self._scheduler.at(
                self._scheduler.clock() + DISK_CHECK_INTERVAL_S, self._advance_adoption, settings
            )
