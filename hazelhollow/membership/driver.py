"""The driver of membership: sends and receives its datagrams and runs its timers.

Each limiter has one driver, created by `operator/attach.py`. Membership's datagrams share a socket
with gossip, replication and configuration, and are identified by `DATAGRAM_PREFIX`. Every change of
the fleet's state is sent to the decision engine as a `MembershipChanged` event.
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

DATAGRAM_PREFIX = DIALECT[0]  # datagrams of other subsystems begin with other letters
STARTUP_ANNOUNCE_S = 3.0  # after the start, during which it announces itself at each tick
ANNOUNCE_EVERY_S = 2.0  # between announcements to its own address after that
MAX_MEMBERS_GOSSIPING_EVERY_ROUND = 8  # in a larger fleet, each round goes to some peers only
DROPPED_LOG_EVERY_S = 10.0  # between log lines about dropped datagrams

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class DriverOptions:
    """The options of a driver.

    `on_change` receives each event for the decision engine. `on_superseded` is called once, if
    another process has this member's id. `history_file` receives a JSON line whenever the
    membership changes. `seeds` are addresses to contact where peers are not listed. `replicates`
    says whether counts are replicated. `gossip_is_paced` says that gossip is limited to a byte
    budget, so that a pause in a peer's gossip does not indicate a failure.
    """

    on_change: Callable[[api.MembershipChanged], None]
    on_superseded: Callable[[], None]
    history_file: AppendFile | None = None
    seeds: Sequence[tuple[str, int]] = ()
    replicates: bool = False
    gossip_is_paced: bool = False


class MembershipDriver:
    """Runs a member on the socket `peers`.

    It handles datagrams that begin with `DATAGRAM_PREFIX` and passes all others to the handler that
    was set on the socket before.

    `evaluate_shut_out`, if set, returns for a given time whether this member is shut out because of
    its old settings. It is called before each notification of the decision engine.
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
        is_small_fleet = membership.member_count <= MAX_MEMBERS_GOSSIPING_EVERY_ROUND
        self._quota = PartitionQuota(
            membership.limiter_id,
            gossips_every_round=is_small_fleet and not options.gossip_is_paced,
        )
        membership.table.subscribe(self._quota.record_changed)
        self._last_event: api.MembershipChanged | None = None
        self._next_handler = peers.on_message
        self._has_ended = False
        self._dropped_logged = 0
        self._log = RateLimitedLog(log, scheduler.clock)
        self._random = random.Random(membership.own.incarnation)

    # Calls by the limiter

    def start(self) -> None:
        """Attaches to the socket and starts probing."""
        self._peers.on_message, self._peers.on_unknown_sender = (
            self.received,
            self._received_from_unknown_address,
        )
        self._scheduler.on_process_pause = self._resumed_after_stall
        self._tick()
        self._log_dropped()
        self._announce_to_own_address()

    def leave(self) -> None:
        """Notifies the others that this limiter leaves for good."""
        if not self._has_ended:
            self._has_ended = True
            self._send_all(self.membership.leave(self._scheduler.clock()))

    def reevaluate(self) -> None:
        """Re-evaluates this member's state after a change that affects `evaluate_shut_out`."""
        self.membership.consume_changed()
        self._report_changes()

    def may_admit(self) -> bool:
        """Whether this limiter may admit work, as last reported to the decision engine."""
        return self._last_event is not None and self._last_event.may_admit

    def unreachable_but_serving(self) -> frozenset[int]:
        """Members that cannot be reached and may still be admitting."""
        return self._quota.unreachable_but_serving

    def document(self) -> dict[str, Any]:
        """Membership as shown to operators."""
        return fleet_document(self.membership, self._quota, self._scheduler.clock())

    # Datagrams

    def received(self, sender_id: int, text: str) -> None:
        """Handles a datagram from that member's address."""
        now = self._scheduler.clock()
        if not text.startswith(DATAGRAM_PREFIX):
            self._quota.gossip_received(sender_id, now)
            self._next_handler(sender_id, text)
            return
        plain = self._authenticator.verify(text)
        if plain is None:
            self.membership.counts[counters.UNAUTHENTICATED] += 1
            return
        self._send_all(self.membership.receive(sender_id, plain, now))

    def _received_from_unknown_address(self, text: str, source: tuple[str, int]) -> bool:
        """Handles a datagram from an unknown address and returns whether it was for this driver.

        It may come from another process with this member's id and address. The kernel then delivers
        each datagram of a peer to one of the two processes. Where members are found through seeds,
        it may also come from a member that is not known yet.
        """
        is_membership = text.startswith(DATAGRAM_PREFIX)
        plain = self._authenticator.verify(text) if is_membership else None
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
        if not self._options.seeds or self._peers.has_address(datagram.recipient):
            self._peers.send_to(datagram.recipient, text)
        else:  # any seed answers with the members that it knows
            self._peers.send(self._random.choice(self._options.seeds), text)

    def _announce_to_own_address(self) -> None:
        """Announces this process to another one that may use the same id and address.

        The kernel selects the receiving process by the source port, so each announcement is sent
        from a new port.
        """
        if self._has_ended:
            return
        membership, now = self.membership, self._scheduler.clock()
        is_starting = now - membership.start_time < STARTUP_ANNOUNCE_S
        next_in_s = PROBE_INTERVAL_S if is_starting else ANNOUNCE_EVERY_S
        self._scheduler.at(now + next_in_s, self._announce_to_own_address)
        text = membership.own_announcement()
        if membership.allowance and not membership.allowance.take(len(text), now):
            return  # the next announcement is already scheduled
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.setblocking(False)
                sock.bind((self._peers.address[0], 0))
                sock.sendto(self._authenticator.sign(text).encode(), self._peers.address)
        except OSError as error:
            self._log.warning("membership: cannot send announcement to own address: %s", error)

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
        """Runs the overdue tick before any datagram that arrived during the stall is processed.

        Otherwise the member would admit work on outdated knowledge, and answer members that
        consider it dead as if it were still a member.
        """
        now = self._scheduler.clock()
        if not self._has_ended and self.membership.is_stalled(now):
            self._send_all(self.membership.tick(now))

    def _log_dropped(self) -> None:
        """Logs the counts of dropped datagrams if any were added.

        Repeats itself every `DROPPED_LOG_EVERY_S`, so that this is at most one line in that time.
        """
        if self._has_ended:
            return
        self._scheduler.at(self._scheduler.clock() + DROPPED_LOG_EVERY_S, self._log_dropped)
        counts = self.membership.counts
        dropped = {name: counts[name] for name in counters.DROPPED if counts[name]}
        if sum(dropped.values()) > self._dropped_logged:
            self._dropped_logged = sum(dropped.values())
            log.warning("membership: datagrams dropped so far: %s", dropped)

    # Changes

    def _report_changes(self) -> None:
        """Reports changes to the decision engine, the log, the history file and the socket."""
        membership = self.membership
        admission_changed = self._notify_engine()
        changed_members = membership.drain_changed_members()
        if self._options.seeds:
            self._update_addresses(changed_members)
        if changed_members or admission_changed:
            states = membership.member_states()
            for number in dict.fromkeys(changed_members):
                state, _ = states[number]
                self._log.log(logging.INFO, "membership: member %d is %s", number, state)
            self._write_history()
        if membership.superseded and not self._has_ended:
            self._has_ended = True
            log.error(
                "membership: another process with limiter id %d started later; this one leaves",
                membership.limiter_id,
            )
            self._options.on_superseded()

    def _update_addresses(self, numbers: list[int]) -> None:
        for number in numbers:
            record = self.membership.table.get(number)
            if record and record.address and number != self.membership.limiter_id:
                self._peers.set_address(number, unpack_address(record.address))

    def _notify_engine(self) -> bool:
        """Notifies the decision engine of changes and returns whether `may_admit` changed."""
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
        # Unused quota is credited once and is not part of the state to compare with.
        state_event = replace(event, unused=())
        if state_event != last or event.unused:
            self._last_event = state_event
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
    """The maximum bytes of a text that fits into a datagram together with its hash."""
    return MAX_TEXT_BYTES - authenticator.overhead_bytes
