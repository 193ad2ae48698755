"""SWIM's failure detector: probes, indirect probes, and what their outcome shows.

    prober                          target                           helper
      | -- PING --------------------> |                                |
      | <--------------------- ACK -- |                                |
      |                                                                |
      |    no ack within INDIRECT_PROBE_AFTER_S:                       |
      | -- PING_REQUEST ---------------------------------------------> |
      |                               | <--------------- INDIRECT_PING |
      | <--------------------- ACK -- |                                |
      |                               | -- INDIRECT_ACK -------------> |
      | <----------------------------------------------- INDIRECT_ACK  |

The ack that the target sends to the prober after an indirect ping distinguishes the directions of
a link: the prober receives from the target, although the target did not receive the prober's ping.

| at `PROBE_TIMEOUT_S` | outcome |
| --- | --- |
| an ack arrived | `ANSWERED_DIRECTLY`: up |
| only an indirect ack arrived | `ANSWERED_INDIRECTLY`: up |
| the same, `INDIRECT_UNTIL_UNREACHABLE` times in a row | `UNREACHABLE`: up, but not received here |
| no ack arrived | `FAILED`: it becomes suspect |
| no ack arrived, and the allowance did not permit asking a helper | `INCONCLUSIVE` |

`timing.py` defines the timeouts.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from hazelhollow.membership.allowance import Purpose
from hazelhollow.membership.codec import MessageKind
from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.records import MemberState
from hazelhollow.membership.sender import DatagramSender, Outgoing, Piggyback
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.timing import INDIRECT_PROBE_HELPERS, LocalHealth

INDIRECT_UNTIL_UNREACHABLE = 2  # consecutive probes answered by indirect acks only
PROBE_IDS = 36**4  # probe ids wrap around at this number
# Fraction of a delay that must have passed, since a timer may fire slightly early.
TIMER_TOLERANCE = 0.99


@dataclass(slots=True)
class Probe:
    """One ping and its acks so far.

    `starved`: a helper could not be asked because the allowance was exhausted, so that a missing
    ack is inconclusive.
    """

    target: int
    sent_at: float
    helpers_asked: bool = False
    acked: bool = False
    acked_indirectly: bool = False
    starved: bool = False


class Outcome(Enum):
    """The outcome of a probe whose timeout has expired."""

    ANSWERED_DIRECTLY = auto()
    ANSWERED_INDIRECTLY = auto()
    UNREACHABLE = auto()
    INCONCLUSIVE = auto()
    FAILED = auto()


class ProbeEnded(NamedTuple):
    """The outcome of a probe of one target."""

    target: int
    outcome: Outcome


class FailureDetector:
    """The probes of one member. `health` lengthens their timeouts."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        health: LocalHealth,
        rng: random.Random,
        sender: DatagramSender,
    ) -> None:
        self._limiter_id, self._member_count = settings.limiter_id, settings.member_count
        self._table, self._health, self._random, self._sender = table, health, rng, sender
        self._probe_id = 0
        self._probes: dict[int, Probe] = {}
        self._probe_order: list[int] = []  # members still to be probed; the last one is next
        self._absent_probe_order: list[int] = []
        self._consecutive_indirect = Counter[int]()

    def next_probe_id(self) -> int:
        """Returns a new probe id, which acks repeat."""
        self._probe_id = (self._probe_id + 1) % PROBE_IDS
        return self._probe_id

    def probe_next(self, now: float) -> None:
        """Probes the next of the present members: each in turn, in random order."""
        while self._probe_order and not self._table.is_present(self._probe_order[-1]):
            self._probe_order.pop()
        if not self._probe_order:
            self._probe_order = [n for n in self._table.present() if n != self._limiter_id]
            self._random.shuffle(self._probe_order)
        if self._probe_order:
            self.probe(self._probe_order.pop(), now)

    def probe(self, target: int, now: float) -> None:
        """Pings that member and awaits its ack."""
        probe_id = self.next_probe_id()
        ping = Outgoing(target, MessageKind.PING, (probe_id,), purpose=Purpose.PROBE)
        if self._sender.send(ping, now) is not None:
            self._probes[probe_id] = Probe(target, now)

    def probe_absent(self, now: float) -> None:
        """Pings one of the members that are considered dead, without awaiting an ack.

        No other traffic is sent to them, so nothing else would detect that a partition has healed.
        """
        if not self._absent_probe_order and self._table.present_count < self._member_count:
            self._absent_probe_order = [
                n
                for n in range(self._member_count)
                if n != self._limiter_id and not self._table.is_present(n)
            ]
            self._random.shuffle(self._absent_probe_order)
        if not self._absent_probe_order:
            return
        number = self._absent_probe_order.pop()
        record = self._table.get(number)
        if record is None or record.state == MemberState.DEAD:
            ping_id = (self.next_probe_id(),)
            self._sender.send(
                Outgoing(
                    number,
                    MessageKind.PING,
                    ping_id,
                    piggyback=Piggyback.SUSPICION,
                    purpose=Purpose.ABSENT,
                ),
                now,
            )

    def was_pinged_at(self, target: int, now: float) -> bool:
        """Whether a probe of that member started exactly at `now`."""
        return any(p.target == target and p.sent_at == now for p in self._probes.values())

    def mark_overdue(self, now: float) -> Iterator[tuple[int, Probe]]:
        """Yields probes with their ids that now need helpers, each probe once."""
        for probe_id, probe in self._probes.items():
            waited_s = now - probe.sent_at
            due_after_s = TIMER_TOLERANCE * self._health.indirect_probe_after_s
            if not probe.helpers_asked and not probe.acked and waited_s >= due_after_s:
                probe.helpers_asked = True
                yield probe_id, probe

    def ask_helpers(self, probe_id: int, probe: Probe, now: float) -> None:
        """Asks randomly chosen members to ping the target too."""
        others = [n for n in self._table.present() if n not in (self._limiter_id, probe.target)]
        for helper in self._random.sample(others, min(len(others), INDIRECT_PROBE_HELPERS)):
            ask = Outgoing(
                helper,
                MessageKind.PING_REQUEST,
                (probe_id, probe.target),
                purpose=Purpose.PROBE_REQUEST,
            )
            if self._sender.send(ask, now) is None:
                probe.starved = True

    def acknowledged(self, probe_id: int, source: int) -> bool:
        """Records an ack and returns whether it matches a pending probe of its sender.

        Other acks may belong to probes from before this member's last stall or start.
        """
        probe = self._probes.get(probe_id)
        if probe is None or probe.target != source:
            return False
        probe.acked = True
        return True

    def acknowledged_indirectly(self, probe_id: int, target: int) -> None:
        """Records the target's indirect ack that a helper passes on."""
        probe = self._probes.get(probe_id)
        if probe and probe.target == target:
            probe.acked_indirectly = True

    def datagram_received(self, source: int) -> None:
        """Resets the count of indirect answers after a datagram from that member."""
        self._consecutive_indirect.pop(source, None)

    def drain_ended(self, now: float) -> Iterator[ProbeEnded]:
        """Removes and yields the probes whose timeout has expired.

        They are yielded one by one, since acting on one outcome may change the timeout of the next.
        """
        for probe_id, probe in list(self._probes.items()):
            if now - probe.sent_at >= self._health.probe_timeout_s:
                del self._probes[probe_id]
                yield ProbeEnded(probe.target, self._judge(probe))

    def clear(self) -> None:
        """Discards all pending probes after a stall, since their acks no longer count."""
        self._probes.clear()

    def _judge(self, probe: Probe) -> Outcome:
        if probe.acked:
            return Outcome.ANSWERED_DIRECTLY
        if probe.acked_indirectly:
            self._consecutive_indirect[probe.target] += 1
            if self._consecutive_indirect[probe.target] >= INDIRECT_UNTIL_UNREACHABLE:
                return Outcome.UNREACHABLE
            return Outcome.ANSWERED_INDIRECTLY
        return Outcome.INCONCLUSIVE if probe.starved else Outcome.FAILED
