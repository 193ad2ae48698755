"""The driver of membership: reads and writes its datagrams and sets its timers.

One driver for each limiter, made by `operator/attach.py`. Membership's datagrams share a socket
with gossip, replication and configuration, and are known by `DATAGRAM_PREFIX`. What is known of the
fleet goes to the decision engine as one `MembershipChanged` event whenever it changes.
"""

from __future__ import annotations

import logging
import random
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import orjson

from hazelhollow.decisions import interface as api
from hazelhollow.membership import counters
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.codec import DIALECT, MAX_TEXT_BYTES
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.operator_report import fleet_document, history_row
from hazelhollow.membership.partition_quota import PartitionQuota
from hazelhollow.membership.records import unpack_address
from hazelhollow.membership.sender import Datagram
from hazelhollow.membership.timing import PROBE_INTERVAL_S
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.storage.append_file import AppendFile

DATAGRAM_PREFIX = DIALECT[0]  # the other subsystems' datagrams begin with other letters
STARTUP_ANNOUNCE_S = 3.0  # from the start: it announces itself to its own address at each tick
ANNOUNCE_EVERY_S = 2.0  # between announcements to the own address later
MAX_MEMBERS_GOSSIPING_EVERY_ROUND = 8  # else peers share out the rounds
DROPPED_LOG_EVERY_S = 10.0  # between log lines about datagrams that were dropped

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class DriverOptions:
    """What a driver is given beside its socket and timers.

    `on_change` gets what the decision engine is to know, whenever it changes. `on_superseded` is
    called once, if another process has this member's id. `history_file` gets a JSON line whenever
    the membership changes. `seeds`: addresses to ask where peers are not listed. `replicates`:
    whether counts are replicated. `gossip_is_paced`: gossip keeps to a byte budget, so that its
    silence tells nothing.
    """

    on_change: Callable[[api.MembershipChanged], None]
    on_superseded: Callable[[], None]
    history_file: AppendFile | None = None
    seeds: Sequence[tuple[str, int]] = ()
    replicates: bool = False
    gossip_is_paced: bool = False


class MembershipDriver:
    """Runs a member on the socket `peers`.

    It handles datagrams that begin with `DATAGRAM_PREFIX`, and passes the others to the handler
    that was set when it was made.

    `evaluate_shut_out`, where it is set: given the time, whether this member is shut out for its
    old settings. It is asked before the decision engine is notified of anything.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        peers: PeerSocket,
        membership: Membership,
        authenticator: MessageAuthenticator,
        options: DriverOptions,
    ) -> None:
        self._scheduler, self._peers, self._options = scheduler, peers, options
        self.membership, self._authenticator = membership, authenticator
        self.evaluate_shut_out: Callable[[float], bool] | None = None
        small = membership.member_count <= MAX_MEMBERS_GOSSIPING_EVERY_ROUND
        self._quota = PartitionQuota(
            membership.limiter_id, gossips_every_round=small and not options.gossip_is_paced
        )
        membership.table.subscribe(self._quota.record_changed)
        self._last_event: api.MembershipChanged | None = None
        self._pass_to_others = peers.on_message
        self._has_ended = False
        self._dropped_logged = 0
        self._log = RateLimitedLog(log, scheduler.clock)
        self._random = random.Random(membership.own.incarnation)

    # What the limiter calls

    def start(self) -> None:
        """Takes the socket's datagrams from now on and begins to probe."""
        self._peers.on_message, self._peers.on_unknown_sender = (
            self.received,
            self._received_from_stranger,
        )
        self._scheduler.on_process_pause = self._resumed_after_stall
        self._tick()
        self._log_dropped()
        self._announce_to_own_address()

    def leave(self) -> None:
        """Tells the others that this limiter goes for good."""
        if not self._has_ended:
            self._has_ended = True
            self._send_all(self.membership.leave(self._scheduler.clock()))

    def reevaluate(self) -> None:
        """What `evaluate_shut_out` goes by may have changed."""
        self.membership.consume_changed()
        self._report_changes()

    def may_admit(self) -> bool:
        """Whether this limiter may admit work, as the decision engine was last notified."""
        return self._last_event is not None and self._last_event.may_admit

    def unreachable_but_serving(self) -> frozenset[int]:
        """Members that cannot be heard and may go on admitting."""
        return self._quota.unreachable_but_serving

    def document(self) -> dict[str, Any]:
        """Membership as operators see it."""
        return fleet_document(self.membership, self._quota, self._scheduler.clock())

    # Datagrams

    def received(self, sender_id: int, text: str) -> None:
        """A datagram from that member's address."""
        now = self._scheduler.clock()
        if not text.startswith(DATAGRAM_PREFIX):
            self._quota.gossip_received(sender_id, now)
            self._pass_to_others(sender_id, text)
            return
        plain = self._authenticator.verify(text)
        if plain is None:
            self.membership.counts[counters.UNAUTHENTICATED] += 1
            return
        self._send_all(self.membership.receive(sender_id, plain, now))

    def _received_from_stranger(self, text: str, source: tuple[str, int]) -> bool:
        """A datagram from an address that is no known peer's. Whether it was for this driver.

        It may come from another process with this member's id and address, between which the kernel
        divides what peers send here; or, where members are found by seeds, from one that is not
        known yet.
        """
        is_own = text.startswith(DATAGRAM_PREFIX)
        plain = self._authenticator.verify(text) if is_own else None
        if plain is None:
            return False
        if source[0] == self._peers.address[0] and self.membership.detect_duplicate(plain):
            self._send_all([])
            return True
        sender_id = None
        if self._options.seeds:
            sender_id = self.membership.identify_sender(plain, source)
        if sender_id is None:
            return False
        self._peers.set_address(sender_id, source)
        self._send_all(self.membership.receive(sender_id, plain, self._scheduler.clock()))
        return True

    def _send_all(self, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            self._send(datagram)
        if self.membership.consume_changed():
            self._report_changes()

    def _send(self, datagram: Datagram) -> None:
        text = self._authenticator.sign(datagram.text)
        if not self._options.seeds or self._peers.knows(datagram.recipient):
            self._peers.send_to(datagram.recipient, text)
        else:  # whichever seed gets it answers with the members that it knows
            self._peers.send(self._random.choice(self._options.seeds), text)

    def _announce_to_own_address(self) -> None:
        """Lets another process with this member's id and address know of this process.

        The kernel picks the process that gets a datagram by the port that it comes from, so each
        announcement comes from another port.
        """
        if self._has_ended:
            return
        membership, now = self.membership, self._scheduler.clock()
        is_young = now - membership.start_time < STARTUP_ANNOUNCE_S
        next_in_s = PROBE_INTERVAL_S if is_young else ANNOUNCE_EVERY_S
        self._scheduler.at(now + next_in_s, self._announce_to_own_address)
        text = membership.own_announcement()
        if membership.allowance and not membership.allowance.take(len(text), now):
            return  # at the next time
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.setblocking(False)
                sock.bind((self._peers.address[0], 0))
                sock.sendto(self._authenticator.sign(text).encode(), self._peers.address)
        except OSError as error:
            self._log.warning("membership: cannot send to the own address: %s", error)

    # Timers

    def _tick(self) -> None:
        if self._has_ended:
            return
        now = self._scheduler.clock()
        self._scheduler.at(now + PROBE_INTERVAL_S, self._tick)
        self._send_all(self.membership.tick(now))
        self._notify_engine()
        after_s = self.membership.indirect_probe_after_s
        self._scheduler.at(now + after_s, self._request_indirect_probes)

    def _request_indirect_probes(self) -> None:
        if not self._has_ended:
            now = self._scheduler.clock()
            self._send_all(self.membership.request_indirect_probes(now))
            self._notify_engine()

    def _resumed_after_stall(self) -> None:
        """Called before anything is read that came while the process stood still.

        Else it would admit work by what it knew before, and answer those who consider it dead as
        if it were still a member.
        """
        now = self._scheduler.clock()
        if not self._has_ended and self.membership.is_stalled(now):
            self._send_all(self.membership.tick(now))

    def _log_dropped(self) -> None:
        """One line at most in `DROPPED_LOG_EVERY_S`, where more datagrams were dropped."""
        if self._has_ended:
            return
        self._scheduler.at(self._scheduler.clock() + DROPPED_LOG_EVERY_S, self._log_dropped)
        counts = self.membership.counts
        dropped = {name: counts[name] for name in counters.DROPPED if counts[name]}
        if sum(dropped.values()) > self._dropped_logged:
            self._dropped_logged = sum(dropped.values())
            log.warning("membership: datagrams dropped so far: %s", dropped)

    # What changed

    def _report_changes(self) -> None:
        """To the decision engine, the log, the history file, and the socket's addresses."""
        membership = self.membership
        admission_changed = self._notify_engine()
        changed_members = membership.drain_changed_members()
        if self._options.seeds:
            self._learn_addresses(changed_members)
        if changed_members or admission_changed:
            states = membership.member_states()
            for number in dict.fromkeys(changed_members):
                state, _ = states[number]
                self._log.log(logging.INFO, "membership: member %d is %s", number, state)
            self._write_history()
        if membership.superseded and not self._has_ended:
            self._has_ended = True
            log.error(
                "membership: another process has number %d and began later; this one leaves",
                membership.limiter_id,
            )
            self._options.on_superseded()

    def _learn_addresses(self, numbers: list[int]) -> None:
        for number in numbers:
            record = self.membership.table.get(number)
            if record and record.address and number != self.membership.limiter_id:
                self._peers.set_address(number, unpack_address(record.address))

    def _notify_engine(self) -> bool:
        """Tells the decision engine what is new to it.

        Whether this limiter may admit work from now on, or no longer may.
        """
        membership, now = self.membership, self._scheduler.clock()
        is_shut_out = self.evaluate_shut_out(now) if self.evaluate_shut_out else False
        membership.set_shut_out(is_shut_out)
        unused = self._quota.update(now)
        event = api.MembershipChanged(
            membership.may_admit and not is_shut_out,
            membership.present(),
            tuple(membership.unreachable()),
            membership.cannot_hear_us(),
            tuple(sorted(self._quota.unreachable_but_serving)),
            tuple(unused),
            self._options.replicates,
        )
        last = self._last_event
        admission_changed = last is None or event.may_admit != last.may_admit
        if last is not None and admission_changed:
            self._log_admission(event.may_admit, is_shut_out)
        # What is unused is given back once and is no part of what the engine knows.
        known = replace(event, unused=())
        if known != last or event.unused:
            self._last_event = known
            self._options.on_change(event)
        return admission_changed

    def _log_admission(self, may_admit: bool, is_shut_out: bool) -> None:
        if may_admit:
            text = "takes work again"
        elif is_shut_out:
            text = "shut out"
        else:
            text = "takes no new work until a peer has answered"
        log.warning("membership: %s", text)

    def _write_history(self) -> None:
        if self._options.history_file:
            row = history_row(self.membership, self._scheduler.clock())
            self._options.history_file.append(orjson.dumps(row) + b"\n")


def max_text_bytes(authenticator: MessageAuthenticator) -> int:
    """Bytes that a text may have so that it fits into a datagram together with its hash."""
    return MAX_TEXT_BYTES - authenticator.overhead_bytes
