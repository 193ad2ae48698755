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

The target's ack after an indirect ping tells links apart: the prober hears the target, which did
not hear the prober's ping.

| at `PROBE_TIMEOUT_S` | outcome |
| --- | --- |
| an ack came | `ANSWERED_DIRECTLY`: up |
| only an indirect ack came | `ANSWERED_INDIRECTLY`: up |
| the same, `INDIRECT_UNTIL_UNREACHABLE` times in a row | `UNREACHABLE`: up, but not heard here |
| nothing came | `FAILED`: it is suspected |
| nothing came, and the allowance kept a helper from being asked | `INCONCLUSIVE` |

`timing.py` has the times.
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

INDIRECT_UNTIL_UNREACHABLE = 2  # probes of a member in a row that only indirect acks answered
PROBE_IDS = 36**4  # after which ids of probes come again
TIMER_TOLERANCE = 0.99  # share of a time after which a timer that came a little early counts


@dataclass(slots=True)
class Probe:
    """One ping and what came of it so far.

    `starved`: a helper could not be asked for want of allowance, so that silence shows nothing.
    """

    target: int
    sent_at: float
    helpers_asked: bool = False
    acked: bool = False
    acked_indirectly: bool = False
    starved: bool = False


class Outcome(Enum):
    """Of a probe whose time is over."""

    ANSWERED_DIRECTLY = auto()
    ANSWERED_INDIRECTLY = auto()
    UNREACHABLE = auto()
    INCONCLUSIVE = auto()
    FAILED = auto()


class ProbeEnded(NamedTuple):
    """What a probe has shown of its target."""

    target: int
    outcome: Outcome


class FailureDetector:
    """The probes of one member; `health` stretches their times."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        health: LocalHealth,
        chance: random.Random,
        sender: DatagramSender,
    ) -> None:
        self._limiter_id, self._member_count = settings.limiter_id, settings.member_count
        self._table, self._health, self._random, self._sender = table, health, chance, sender
        self._probe_id = 0
        self._probes: dict[int, Probe] = {}
        self._round: list[int] = []  # members still to be probed, the next one last
        self._absent_round: list[int] = []
        self._indirect_in_a_row = Counter[int]()

    def next_probe_id(self) -> int:
        """An id that acks repeat."""
        self._probe_id = (self._probe_id + 1) % PROBE_IDS
        return self._probe_id

    def probe_next(self, now: float) -> None:
        """Probes the next of the present members: all in turn, in an order drawn by chance."""
        while self._round and not self._table.is_present(self._round[-1]):
            self._round.pop()
        if not self._round:
            self._round = [n for n in self._table.present() if n != self._limiter_id]
            self._random.shuffle(self._round)
        if self._round:
            self.probe(self._round.pop(), now)

    def probe(self, target: int, now: float) -> None:
        """Pings that member and awaits its ack."""
        probe_id = self.next_probe_id()
        ping = Outgoing(target, MessageKind.PING, (probe_id,), purpose=Purpose.PROBE)
        if self._sender.send(ping, now) is not None:
            self._probes[probe_id] = Probe(target, now)

    def probe_absent(self, now: float) -> None:
        """Pings one of the members that are considered dead.

        Nobody else would find out that a partition has healed. No ack is awaited.
        """
        if not self._absent_round and self._table.present_count < self._member_count:
            self._absent_round = [
                n
                for n in range(self._member_count)
                if n != self._limiter_id and not self._table.is_present(n)
            ]
            self._random.shuffle(self._absent_round)
        if not self._absent_round:
            return
        number = self._absent_round.pop()
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
        """Whether a probe of that member was begun at this very moment."""
        return any(p.target == target and p.sent_at == now for p in self._probes.values())

    def take_overdue(self, now: float) -> Iterator[tuple[int, Probe]]:
        """Probes, by id, for which helpers are to be asked now; each once."""
        for probe_id, probe in self._probes.items():
            waited_s = now - probe.sent_at
            due_after_s = TIMER_TOLERANCE * self._health.indirect_probe_after_s
            if not probe.helpers_asked and not probe.acked and waited_s >= due_after_s:
                probe.helpers_asked = True
                yield probe_id, probe

    def ask_helpers(self, probe_id: int, probe: Probe, now: float) -> None:
        """Asks others to ping the target too."""
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
        """An ack has come. Whether to a probe that is still awaited of its source.

        Else it may be to one of before this member stood still, or started.
        """
        probe = self._probes.get(probe_id)
        if probe is None or probe.target != source:
            return False
        probe.acked = True
        return True

    def acknowledged_indirectly(self, probe_id: int, target: int) -> None:
        """A helper passes the target's indirect ack on."""
        probe = self._probes.get(probe_id)
        if probe and probe.target == target:
            probe.acked_indirectly = True

    def heard_directly(self, source: int) -> None:
        """A datagram of that member has come."""
        self._indirect_in_a_row.pop(source, None)

    def take_ended(self, now: float) -> Iterator[ProbeEnded]:
        """Takes out probes whose time is over.

        One by one: what follows from one may change the times of the next.
        """
        for probe_id, probe in list(self._probes.items()):
            if now - probe.sent_at >= self._health.probe_timeout_s:
                del self._probes[probe_id]
                yield ProbeEnded(probe.target, self._judge(probe))

    def clear(self) -> None:
        """This member stood still: no ack that is awaited counts."""
        self._probes.clear()

    def _judge(self, probe: Probe) -> Outcome:
        if probe.acked:
            return Outcome.ANSWERED_DIRECTLY
        if probe.acked_indirectly:
            self._indirect_in_a_row[probe.target] += 1
            if self._indirect_in_a_row[probe.target] >= INDIRECT_UNTIL_UNREACHABLE:
                return Outcome.UNREACHABLE
            return Outcome.ANSWERED_INDIRECTLY
        return Outcome.INCONCLUSIVE if probe.starved else Outcome.FAILED
