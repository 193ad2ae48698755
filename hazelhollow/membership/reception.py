"""What a member does with a received datagram."""

from __future__ import annotations

from collections.abc import Callable

from hazelhollow.membership import codec, counters
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.incarnation_conflict import (
    IncarnationConflict,
    Resolution,
    outbidding,
)
from hazelhollow.membership.records import MemberState, Record
from hazelhollow.membership.replay_window import Freshness, ReplayGuard
from hazelhollow.membership.sender import Outgoing, Piggyback
from hazelhollow.membership.state import MembershipState


class Reception:
    """Drops what cannot be, learns from the records, and does what the kind of message asks for."""

    def __init__(self, state: MembershipState) -> None:
        self._state = state
        self._limiter_id = state.settings.limiter_id
        self._replays, self._conflict = ReplayGuard(), IncarnationConflict()
        self._handlers: dict[MessageKind, Callable[[Message], None]] = {
            MessageKind.PING: self._handle_ping,
            MessageKind.ACK: self._handle_ack,
            MessageKind.PING_REQUEST: self._handle_ping_request,
            MessageKind.INDIRECT_PING: self._handle_indirect_ping,
            MessageKind.INDIRECT_ACK: self._handle_indirect_ack,
            MessageKind.BUCKET_DIGESTS: self._handle_table_message,
            MessageKind.RECORDS: self._handle_table_message,
            MessageKind.PRESENCE_BITMAP: self._handle_table_message,
        }

    def receive(self, sender_id: int, text: str) -> None:
        """A datagram from that member's address."""
        state = self._state
        message = codec.decode(text, state.settings.member_count)
        if state.superseded or message is None:
            state.counts[counters.GARBLED] += 1
        elif message.sender.number != sender_id or sender_id == self._limiter_id:
            state.counts[counters.FORGED] += 1
        elif self._is_fresh(message):
            state.detector.heard_directly(sender_id)
            state.set_unreachable(sender_id, False)
            self._heard_from_suspect_or_dead(message.sender)
            self._learn(message.sender)
            for record in message.records:
                self._learn(record)
            if not state.superseded:
                self._handlers[message.kind](message)
                same_table = state.exchange.compare(message, state.now)
                state.dissemination.table_compared(same_table)

    def _is_fresh(self, message: Message) -> bool:
        """Not of an earlier incarnation, and not received before; else it is counted."""
        state = self._state
        sender, known = message.sender, state.table.get(message.sender.number)
        freshness = self._replays.check(sender, message.serial, known)
        if freshness is Freshness.REPLAYED:
            state.counts[counters.REPLAYED] += 1
        elif freshness is Freshness.EARLIER_INCARNATION:
            state.counts[counters.EARLIER_INCARNATION] += 1
            if known and self._replays.take_hint(sender.number, state.now):
                hint = Outgoing(
                    sender.number,
                    MessageKind.RECORDS,
                    records=[known],
                    piggyback=Piggyback.NOTHING,
                )
                state.sender.send(hint, state.now)
        return freshness is Freshness.FRESH

    def _heard_from_suspect_or_dead(self, sender: Record) -> None:
        """A member that is suspect or dead here in that incarnation is there."""
        state = self._state
        known = state.table.get(sender.number)
        if known is None or known.incarnation != sender.incarnation:
            return
        if known.state in (MemberState.SUSPECT, MemberState.DEAD):
            timeout_s = state.health.suspicion_timeout_s
            state.suspicions.heard_from(sender.number, state.now, timeout_s)
            state.confirmations.heard_from_suspect_or_dead()

    def _learn(self, record: Record) -> None:
        """A record that a peer has sent."""
        state = self._state
        known = state.table.get(record.number)
        if record.number == self._limiter_id:
            self._learn_of_itself(record)
        elif not state.confirmations.is_needed(record, known):
            state.apply(record)
        elif known is not None and record > known:
            is_new = state.confirmations.add(record, state.now)
            if is_new and state.confirmations.has_room():
                state.ping_reported_dead(record.number)

    def _learn_of_itself(self, reported: Record) -> None:
        """A record of this member that a peer has sent."""
        state = self._state
        resolution = self._conflict.resolve(state.own, reported)
        if resolution is Resolution.YIELD:
            state.supersede()
        elif resolution is Resolution.OUTBID:
            state.apply(state.own_record.begin_again(outbidding(reported.incarnation)))
            state.counts[counters.OUTBID] += 1
        elif self._must_refute(reported):
            state.counts[counters.REFUTED] += 1
            state.apply(state.own_record.refute(reported))

    def _must_refute(self, reported: Record) -> bool:
        """Whether others know something of this incarnation that is wrong and would win a merge."""
        own = self._state.own
        same_run = reported.incarnation == own.incarnation
        return same_run and reported > own and own.state != MemberState.LEFT

    def _handle_ping(self, ping: Message) -> None:
        """Answers a ping, and sends what is known of its sender here if that differs."""
        state = self._state
        peer, known = ping.sender.number, state.table.get(ping.sender.number)
        reported_death = state.confirmations.record(peer)
        report = reported_death
        if report is None and known is not None and known > ping.sender:
            report = known
        same_table = ping.digest == state.table.digest()
        ack = Outgoing(
            peer,
            MessageKind.ACK,
            ping.arguments,
            [report] if report else [],
            Piggyback.SUSPICION if same_table else Piggyback.NEWS,
        )
        state.sender.send(ack, state.now)
        if reported_death:
            state.confirmations.pinged(peer, state.now + state.health.probe_timeout_s)

    def _handle_ack(self, message: Message) -> None:
        """Ends a probe's wait; one of this member's own also ends its joining."""
        if self._state.detector.acknowledged(message.arguments[0], message.sender.number):
            self._state.complete_join()

    def _handle_ping_request(self, message: Message) -> None:
        """Pings the target for the prober."""
        probe_id, target = message.arguments
        self._send(target, MessageKind.INDIRECT_PING, (probe_id, message.sender.number))

    def _handle_indirect_ping(self, message: Message) -> None:
        """Answers the helper, and the prober too: it may hear this member, if not the reverse."""
        probe_id, prober = message.arguments
        self._send(prober, MessageKind.ACK, (probe_id,))
        indirect_ack = (probe_id, prober, self._limiter_id)
        self._send(message.sender.number, MessageKind.INDIRECT_ACK, indirect_ack)

    def _handle_indirect_ack(self, message: Message) -> None:
        """As the prober notes it; as the helper passes it on."""
        state = self._state
        probe_id, prober, target = message.arguments
        if prober == self._limiter_id:
            state.detector.acknowledged_indirectly(probe_id, target)
        elif message.sender.number == target:  # passed on once, by the helper, and by nobody else
            self._send(prober, MessageKind.INDIRECT_ACK, message.arguments)

    def _handle_table_message(self, message: Message) -> None:
        """Anti-entropy."""
        self._state.exchange.receive(message, self._state.now)

    def _send(self, number: int, kind: MessageKind, arguments: tuple[int, ...]) -> None:
        """With whatever rides along."""
        state = self._state
        state.sender.send(Outgoing(number, kind, arguments), state.now)
