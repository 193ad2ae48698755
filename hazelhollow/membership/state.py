"""The components of one member's state, and the propagation of a changed record to all of them."""

from __future__ import annotations

import random
from collections import Counter

from hazelhollow.membership.allowance import Allowance, Purpose
from hazelhollow.membership.change_log import ChangeLog
from hazelhollow.membership.codec import MessageKind
from hazelhollow.membership.death_confirmation import DeathConfirmations
from hazelhollow.membership.dissemination import DisseminationQueue
from hazelhollow.membership.failure_detector import FailureDetector
from hazelhollow.membership.incarnation import new_incarnation
from hazelhollow.membership.join import JoinProtocol
from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.own_record import OwnRecord
from hazelhollow.membership.presence_index import PresenceIndex
from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.membership.sender import (
    DatagramSender,
    Outgoing,
    Piggyback,
    PiggybackSources,
    SendLimits,
)
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.suspicion import SuspicionTable
from hazelhollow.membership.table_exchange import TableExchange
from hazelhollow.membership.timing import LocalHealth


class MembershipState:
    """The components shared by the protocol period, the reception of datagrams and the facade.

    `now` is the time of the call in progress, which the facade sets. The other parameters are those
    of `membership.Membership`.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        now: float,
        allowance: Allowance | None,
        started_at: float | None,
    ) -> None:
        self.settings, self.now, self.start_time = settings, now, now
        self._limiter_id = settings.limiter_id
        self.superseded = False  # another process uses this member's id and replaces this process
        self.counts: Counter[str] = Counter()  # keys: the names in `counters.py`
        self.random = random.Random(settings.seed)
        incarnation = new_incarnation(now if started_at is None else started_at, self.random)
        self.own_record = OwnRecord(
            Record(
                settings.limiter_id,
                incarnation,
                0,
                MemberState.JOINING,
                versions=settings.versions,
                address=settings.address,
            )
        )
        self.table, self.presence = MemberTable(), PresenceIndex(settings.limiter_id)
        self.table.subscribe(self.presence.record_changed)
        self.changes, self.health = ChangeLog(), LocalHealth()
        self.suspicions, self.confirmations = SuspicionTable(), DeathConfirmations(self.random)
        bounded = allowance is not None
        self.dissemination = DisseminationQueue(settings.member_count, bounded)
        self.sender = DatagramSender(
            self.own_record,
            self.table,
            PiggybackSources(self.dissemination, self.suspicions),
            SendLimits(settings.max_text_bytes, allowance),
            self.counts,
        )
        self.detector = FailureDetector(settings, self.table, self.health, self.random, self.sender)
        self.join = JoinProtocol(settings, self.random, now)
        self.exchange = TableExchange(settings, self.table, self.random, self.sender, bounded)
        self.table.put(self.own)
        self.changes.record_changed(None, self.own, now)

    @property
    def own(self) -> Record:
        """This member's record of itself."""
        return self.own_record.record

    @property
    def may_admit(self) -> bool:
        """Whether this member may admit work.

        True once a peer has answered since the last start or stall, unless this process is
        superseded.
        """
        return self.join.may_admit and not self.superseded

    def apply(self, record: Record) -> None:
        """Merges a record into the table and notifies every component that depends on a change."""
        before = self.table.get(record.number)
        if not self.table.put(record):
            return
        after = self.table.get(record.number)
        assert after is not None
        self.dissemination.record_changed(after)
        self.changes.record_changed(before, after, self.now)
        if record.number != self._limiter_id:
            timeout_s = self.health.suspicion_timeout_s
            self.suspicions.record_changed(after, self.now, timeout_s)
            self.confirmations.record_changed(after)
            if after.state not in PRESENT_STATES:
                self.set_unreachable(record.number, False)

    def set_unreachable(self, number: int, unreachable: bool) -> None:
        """Records whether this member cannot receive from that member although others can.

        The list is part of this member's own record.
        """
        if unreachable == (number in self.own_record.unreachable):
            return
        if unreachable:
            self.own_record.unreachable.add(number)
        else:
            self.own_record.unreachable.discard(number)
        self.apply(self.own_record.restate(self.own.state))

    def complete_join(self) -> None:
        """Ends joining, after a peer has answered or because no peer is up.

        What the peer reported about this member has been processed before this call.
        """
        if self.join.complete():
            self.changes.note_change()
        if self.own.state == MemberState.JOINING:
            self.apply(self.own_record.restate(MemberState.ALIVE))

    def supersede(self) -> None:
        """Stops this process permanently: another process with the same id replaces it."""
        self.superseded = True
        self.changes.note_change()

    def ping_reported_dead(self, number: int) -> None:
        """Pings a member whose death others report, so that it can refute the report."""
        record = self.confirmations.record(number)
        if record and self.ping(number, Purpose.CONFIRMATION, record) is not None:
            self.confirmations.pinged(number, self.now + self.health.probe_timeout_s)

    def ping(self, number: int, purpose: Purpose, report: Record | None = None) -> int | None:
        """Sends a ping whose ack is not awaited.

        It shows the recipient what this member holds about it.
        """
        ping = Outgoing(
            number,
            MessageKind.PING,
            (self.detector.next_probe_id(),),
            [report] if report else [],
            Piggyback.SUSPICION,
            purpose,
        )
        return self.sender.send(ping, self.now)
