"""The work of a member in each protocol period."""

from __future__ import annotations

from hazelhollow.membership import counters
from hazelhollow.membership.allowance import Purpose
from hazelhollow.membership.failure_detector import Outcome, ProbeEnded
from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.membership.stall import Lateness
from hazelhollow.membership.state import MembershipState
from hazelhollow.membership.timing import NEVER_SEEN_TIMEOUT_S

ABSENT_PROBE_INTERVAL_TICKS = 2  # ticks between pings to members considered dead


class ProtocolPeriod:
    """Handles expired timers first, then sends the period's pings and requests."""

    def __init__(self, state: MembershipState) -> None:
        self._state = state
        self._ticks = 0

    def run(self, lateness: Lateness) -> None:
        """Runs one period. `lateness` is that of the tick that begins it."""
        state = self._state
        self._ticks += 1
        if lateness is Lateness.STALLED:
            self._restart_after_stall()
        elif lateness is Lateness.LATE:
            state.health.worsen()
        self._expire()
        if not state.may_admit:
            self._ping_to_join()
        state.detector.probe_next(state.now)
        self._ping_suspects()
        for number in state.confirmations.next_to_ping():
            state.ping_reported_dead(number)
        if self._ticks % ABSENT_PROBE_INTERVAL_TICKS == 0:
            state.detector.probe_absent(state.now)
        self._declare_never_seen_dead()
        state.exchange.tick(self._ticks, state.now)

    def _restart_after_stall(self) -> None:
        """Discards everything that was timed before a stall, and rejoins.

        The others may consider this member dead.
        """
        state = self._state
        state.counts[counters.STALLED] += 1
        state.detector.clear()
        state.confirmations.clear()
        state.suspicions.restart_all(state.now, state.health.suspicion_timeout_s)
        state.join.begin(state.now)
        state.changes.note_change()

    def _ping_to_join(self) -> None:
        """Pings peers until one answers, or continues alone."""
        state = self._state
        if state.join.is_alone(state.now):
            state.complete_join()
            return
        for number in state.join.peers_to_ask():
            state.detector.probe(number, state.now)

    def _expire(self) -> None:
        """Handles ended probes, confirmed deaths, and suspicions that were not refuted in time."""
        state = self._state
        for ended in state.detector.drain_ended(state.now):
            self._apply_outcome(ended)
        wait_s = state.health.probe_timeout_s
        for record in state.confirmations.drain_confirmed(state.now, wait_s):
            state.apply(record.as_dead())  # has no effect if the member has refuted it
        for record in state.suspicions.drain_expired(state.now):
            state.apply(record.as_dead())

    def _apply_outcome(self, ended: ProbeEnded) -> None:
        """Applies the outcome of a probe."""
        state = self._state
        if ended.outcome is Outcome.ANSWERED_DIRECTLY:
            state.health.improve()
        elif ended.outcome is Outcome.UNREACHABLE:
            state.set_unreachable(ended.target, True)
        elif ended.outcome is Outcome.FAILED and state.may_admit:
            record = state.table.get(ended.target)
            if record is None or record.state not in PRESENT_STATES:
                return
            if record.state != MemberState.SUSPECT:
                state.counts[counters.SUSPECTED] += 1
                state.apply(record._replace(state=MemberState.SUSPECT))

    def _ping_suspects(self) -> None:
        """Pings suspects so that they can refute, except one that was probed in this period."""
        state = self._state
        limit = state.suspicions.pings_per_period(state.table.present_count)
        for number in state.suspicions.next_to_ping(limit):
            if not state.detector.was_pinged_at(number, state.now):
                state.ping(number, Purpose.SUSPECT)

    def _declare_never_seen_dead(self) -> None:
        """Declares members dead of which no record has arrived for `NEVER_SEEN_TIMEOUT_S`."""
        state = self._state
        is_due = state.may_admit and state.now - state.start_time > NEVER_SEEN_TIMEOUT_S
        if is_due and len(state.table) < state.settings.member_count:
            for number in range(state.settings.member_count):
                if state.table.get(number) is None:
                    state.apply(Record(number, 0, 0, MemberState.DEAD))
