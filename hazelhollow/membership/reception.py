"""The handling of received datagrams."""

from __future__ import annotations

from collections.abc import Callable

from hazelhollow.membership import codec, counters
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.incarnation_conflict import (
    IncarnationConflict,
    Resolution,
    next_incarnation,
)
from hazelhollow.membership.records import MemberState, Record
from hazelhollow.membership.replay_window import Freshness, ReplayGuard
from hazelhollow.membership.sender import Outgoing, Piggyback
from hazelhollow.membership.state import MembershipState


class Reception:
    """Drops invalid datagrams, merges the records of valid ones and handles each message kind."""

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
        """Processes a datagram from that member's address."""
        state = self._state
        message = codec.decode(text, state.settings.member_count)
        if state.superseded or message is None:
            state.counts[counters.GARBLED] += 1
        elif message.sender.number != sender_id or sender_id == self._limiter_id:
            state.counts[counters.FORGED] += 1
        elif self._is_fresh(message):
            state.detector.datagram_received(sender_id)
            state.set_unreachable(sender_id, False)
            self._handle_suspect_or_dead_sender(message.sender)
            self._process_report(message.sender)
            for record in message.records:
                self._process_report(record)
            if not state.superseded:
                self._handlers[message.kind](message)
                same_table = state.exchange.compare(message, state.now)
                state.dissemination.table_compared(same_table)

    def _is_fresh(self, message: Message) -> bool:
        """Whether it is neither a replay nor of an earlier incarnation; counts it otherwise.

        The sender of an earlier incarnation is notified of the later one.
        """
        state = self._state
        sender, known = message.sender, state.table.get(message.sender.number)
        freshness = self._replays.check(sender, message.serial, known)
        if freshness is Freshness.REPLAYED:
            state.counts[counters.REPLAYED] += 1
        elif freshness is Freshness.EARLIER_INCARNATION:
            state.counts[counters.EARLIER_INCARNATION] += 1
            if known and self._replays.claim_hint(sender.number, state.now):
                hint = Outgoing(
                    sender.number,
                    MessageKind.RECORDS,
                    records=[known],
                    piggyback=Piggyback.NONE,
                )
                state.sender.send(hint, state.now)
        return freshness is Freshness.FRESH

    def _handle_suspect_or_dead_sender(self, sender: Record) -> None:
        """Handles a sender that is suspect or dead here in that same incarnation.

        Since it is up, its suspicion restarts, and the signs of a mass failure no longer hold.
        """
        state = self._state
        known = state.table.get(sender.number)
        if known is None or known.incarnation != sender.incarnation:
            return
        if known.state in (MemberState.SUSPECT, MemberState.DEAD):
            timeout_s = state.health.suspicion_timeout_s
            state.suspicions.datagram_received(sender.number, state.now, timeout_s)
            state.confirmations.reset_mass_failure()

    def _process_report(self, record: Record) -> None:
        """Merges a record that a peer sent, or starts a death confirmation for it."""
        state = self._state
        known = state.table.get(record.number)
        if record.number == self._limiter_id:
            self._process_own_report(record)
        elif not state.confirmations.is_needed(record, known):
            state.apply(record)
        elif known is not None and record > known:
            is_new = state.confirmations.add(record, state.now)
            if is_new and state.confirmations.has_room():
                state.ping_reported_dead(record.number)

    def _process_own_report(self, reported: Record) -> None:
        """Handles a record of this member itself that a peer sent."""
        state = self._state
        resolution = self._conflict.resolve(state.own, reported)
        if resolution is Resolution.YIELD:
            state.supersede()
        elif resolution is Resolution.EXCEED:
            state.apply(state.own_record.begin_incarnation(next_incarnation(reported.incarnation)))
            state.counts[counters.INCARNATION_RAISED] += 1
        elif self._must_refute(reported):
            state.counts[counters.REFUTED] += 1
            state.apply(state.own_record.refute(reported))

    def _must_refute(self, reported: Record) -> bool:
        """Whether others hold a wrong record of this incarnation that would win a merge."""
        own = self._state.own
        is_same_incarnation = reported.incarnation == own.incarnation
        return is_same_incarnation and reported > own and own.state != MemberState.LEFT

    def _handle_ping(self, ping: Message) -> None:
        """Acks a ping, and sends what this member holds about the sender if that differs."""
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
            Piggyback.SUSPICION if same_table else Piggyback.DISSEMINATION,
        )
        state.sender.send(ack, state.now)
        if reported_death:
            state.confirmations.pinged(peer, state.now + state.health.probe_timeout_s)

    def _handle_ack(self, message: Message) -> None:
        """Completes a probe; an ack to this member's own probe also completes its joining."""
        if self._state.detector.acknowledged(message.arguments[0], message.sender.number):
            self._state.complete_join()

    def _handle_ping_request(self, message: Message) -> None:
        """Pings the target on behalf of the prober."""
        probe_id, target = message.arguments
        self._send(target, MessageKind.INDIRECT_PING, (probe_id, message.sender.number))

    def _handle_indirect_ping(self, message: Message) -> None:
        """Answers the helper, and also the prober, in case the link works in that direction."""
        probe_id, prober = message.arguments
        self._send(prober, MessageKind.ACK, (probe_id,))
        indirect_ack = (probe_id, prober, self._limiter_id)
        self._send(message.sender.number, MessageKind.INDIRECT_ACK, indirect_ack)

    def _handle_indirect_ack(self, message: Message) -> None:
        """Records an indirect ack at the prober, or passes it on at the helper."""
        state = self._state
        probe_id, prober, target = message.arguments
        if prober == self._limiter_id:
            state.detector.acknowledged_indirectly(probe_id, target)
        elif message.sender.number == target:  # only the helper passes it on, and only once
            self._send(prober, MessageKind.INDIRECT_ACK, message.arguments)

    def _handle_table_message(self, message: Message) -> None:
        """Passes an anti-entropy message to the table exchange."""
        self._state.exchange.receive(message, self._state.now)

    def _send(self, number: int, kind: MessageKind, arguments: tuple[int, ...]) -> None:
        """Sends a message with piggybacked records."""
        state = self._state
        state.sender.send(Outgoing(number, kind, arguments), state.now)
