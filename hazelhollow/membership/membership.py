"""The membership protocol of one member, without I/O and without a clock.

The driver passes in received datagrams and the time in Unix seconds, and sends the datagrams that
the calls return:

| call | when |
| --- | --- |
| `tick` | every `timing.PROBE_INTERVAL_S`; before any other call after this process was paused |
| `request_indirect_probes` | `indirect_probe_after_s` after each tick |
| `receive` | for each datagram from a member's address |
| `leave` | once, at a graceful shutdown |

After each call, `consume_changed` returns whether the decision engine must be notified.

`Membership` is composed of:

| module | concern |
| --- | --- |
| `period`, `reception` | the work of each protocol period, and of each received datagram |
| `state` | the components, and the propagation of a changed record |
| `timing` | all timeouts of suspicion and death, and local health |
| `failure_detector` | probes and indirect probes |
| `suspicion`, `death_confirmation` | from suspect to dead; deaths that others report |
| `records`, `member_table` | states of a member, the merge rule, the table |
| `dissemination`, `table_exchange` | piggybacked records; anti-entropy |
| `join`, `stall`, `incarnation_conflict` | joining; a stall of this process; duplicate ids |
| `codec`, `authentication`, `replay_window` | datagram format, and which datagrams are accepted |
| `sender`, `allowance` | what is sent, within membership's part of the control budget |

`docs/design/fleet-view.md` explains the design, `docs/operators/fleet-view.md` what operators see
of it.
"""

from __future__ import annotations

from hazelhollow.membership import codec
from hazelhollow.membership.allowance import Allowance
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.membership.period import ProtocolPeriod
from hazelhollow.membership.reception import Reception
from hazelhollow.membership.records import MemberState, Record, unpack_address
from hazelhollow.membership.sender import Datagram, Outgoing
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.stall import StallDetector
from hazelhollow.membership.state import MembershipState
from hazelhollow.membership.timing import INDIRECT_PROBE_HELPERS

LEAVE_FANOUT = 2 * INDIRECT_PROBE_HELPERS  # members that are notified when this one leaves


class Membership:
    """One member of the fleet.

    `allowance` limits what it may send; None means no limit. `started_at` is the wall clock's time
    from which its incarnation is derived, by default `now`.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        now: float,
        allowance: Allowance | None = None,
        started_at: float | None = None,
    ) -> None:
        self.limiter_id, self.member_count = settings.limiter_id, settings.member_count
        self.settings, self.allowance = settings, allowance
        self._state = MembershipState(settings, now, allowance, started_at)
        self.table, self.counts = self._state.table, self._state.counts
        self._stall = StallDetector(now)
        self._period, self._reception = ProtocolPeriod(self._state), Reception(self._state)

    # Calls by the driver

    def tick(self, now: float) -> list[Datagram]:
        """Runs one protocol period: probes, expired timers, joining and anti-entropy."""
        state, lateness = self._state, self._stall.tick(now)
        state.now = now
        if state.superseded or state.own.state == MemberState.LEFT:
            return []
        self._period.run(lateness)
        return state.sender.drain()

    def request_indirect_probes(self, now: float) -> list[Datagram]:
        """Asks helpers to ping the targets of probes that have not been acked in time."""
        state = self._state
        state.now = now
        if not state.superseded and not self.is_stalled(now):
            for probe_id, probe in state.detector.mark_overdue(now):
                is_suspected = state.suspicions.record(probe.target) is not None
                if not is_suspected and not state.suspicions.is_mass_failure():
                    state.detector.ask_helpers(probe_id, probe, now)
        return state.sender.drain()

    def receive(self, sender_id: int, text: str, now: float) -> list[Datagram]:
        """Processes a datagram from that member's address; drops and counts invalid ones."""
        self._state.now = now
        self._reception.receive(sender_id, text)
        return self._state.sender.drain()

    def leave(self, now: float) -> list[Datagram]:
        """Announces that this member leaves for good.

        Several members are notified at once, since a leaving member cannot repeat the announcement.
        """
        self._state.now = now
        if not self._state.superseded and self.own.state != MemberState.LEFT:
            self._state.apply(self._state.own_record.restate(MemberState.LEFT))
            others = [n for n in self.table.present() if n != self.limiter_id]
            for number in self._state.random.sample(others, min(len(others), LEAVE_FANOUT)):
                ping_id = (self._state.detector.next_probe_id(),)
                self._state.sender.send(Outgoing(number, MessageKind.PING, ping_id), now)
        return self._state.sender.drain()

    def detect_duplicate(self, text: str) -> bool:
        """Whether a datagram sent from this machine carries this member's own id.

        It may come from this process itself or from a duplicate; one that started later supersedes
        this process.
        """
        message = codec.decode(text, self.member_count)
        if message is None or message.sender.number != self.limiter_id:
            return False
        if message.sender.incarnation > self.own.incarnation:
            self._state.supersede()
        return True

    def identify_sender(self, text: str, address: tuple[str, int]) -> int | None:
        """The sender's id, if its own record states that address; otherwise None."""
        message = codec.decode(text, self.member_count)
        if message is None or not message.sender.address:
            return None
        if unpack_address(message.sender.address) != address:
            return None
        return message.sender.number if message.sender.number != self.limiter_id else None

    def own_announcement(self) -> str:
        """The text by which this process announces itself."""
        message = Message(MessageKind.RECORDS, self.own, 0, 0)
        return codec.encode(message, (), self.settings.max_text_bytes)[0]

    def set_versions(self, versions: str) -> None:
        """Sets the settings versions that this member acts on."""
        if versions != self.own.versions:
            self._state.apply(self._state.own_record.restate(self.own.state, versions))

    def set_shut_out(self, shut_out: bool) -> None:
        """Sets whether this member admits no new work because its settings are too old."""
        state = MemberState.SHUT_OUT if shut_out else MemberState.ALIVE
        joined = self.own.state in (MemberState.ALIVE, MemberState.SHUT_OUT)
        if joined and self.own.state != state:
            self._state.apply(self._state.own_record.restate(state))

    # Queries

    @property
    def own(self) -> Record:
        """This member's record of itself."""
        return self._state.own

    @property
    def start_time(self) -> float:
        """When this member started, in Unix seconds."""
        return self._state.start_time

    @property
    def superseded(self) -> bool:
        """Whether another process uses this member's id and replaces this process."""
        return self._state.superseded

    @property
    def may_admit(self) -> bool:
        """Whether it may admit work: a peer has answered since the last start or stall."""
        return self._state.may_admit

    @property
    def indirect_probe_after_s(self) -> float:
        """Seconds after a tick at which `request_indirect_probes` must be called."""
        return self._state.health.indirect_probe_after_s

    def is_stalled(self, now: float) -> bool:
        """Whether this process was paused, so that `tick` must be called before anything else."""
        return self._stall.is_stalled(now)

    def consume_changed(self) -> bool:
        """Returns whether anything has changed since the last call."""
        return self._state.changes.consume_changed()

    def drain_changed_members(self) -> list[int]:
        """Members whose state or incarnation has changed since the last call, oldest first."""
        return self._state.changes.drain_members()

    def state_since(self, number: int, default: float) -> float:
        """When this member first saw the current state of that member, in Unix seconds."""
        return self._state.changes.since(number, default)

    def member_states(self) -> dict[int, tuple[str, int]]:
        """State and incarnation of each member, for operators and for checkers of recorded runs."""
        return {
            record.number: (record.state.label, record.incarnation) for record in sorted(self.table)
        }

    def members_older_by(self, seconds: float) -> set[int]:
        """Members whose incarnation began at least that many seconds before this member's."""
        latest = self.own.incarnation - int(seconds * INCARNATIONS_PER_S)
        return {
            record.number
            for record in self.table
            if record.incarnation and record.incarnation <= latest
        }

    def present(self) -> tuple[int, ...]:
        """Members that may answer, including this member, in ascending order."""
        return self._state.presence.present()

    def cannot_hear_us(self) -> tuple[int, ...]:
        """Members that report that they cannot receive from this member, in ascending order."""
        return self._state.presence.cannot_hear_us()

    def unreachable(self) -> list[int]:
        """Members that this member cannot receive from although others can, in ascending order."""
        return sorted(self._state.own_record.unreachable)
