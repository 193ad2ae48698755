"""The thin driver of the view.

Its datagrams go with the gossip's, its beats on the limiter's clock.
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
from hazelhollow.membership import membership as views
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.codec import DIALECT, MOST_BYTES
from hazelhollow.membership.partition_quota import PartitionQuota
from hazelhollow.membership.records import unpack_address
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.storage.append_file import AppendFile

MARK = DIALECT[0]  # what a datagram of the view begins with; the gossip's begin with another letter
# seconds of incarnation in which a twin is told at each beat; between tellings later
YOUNG, TWIN_EVERY = 3.0, 2.0
TALKS = 8  # members of the largest fleet whose gossip comes at every beat
TROUBLE_EVERY = 10.0  # seconds between lines about datagrams that were dropped

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class DriverOptions:
    """What a driver is given beside its sockets and timers.

    `on_change` gets what the decision engine is to know, whenever it changes. `on_superseded` is
    called once, if another process has this one's id. `history_file` gets a JSON line whenever the
    membership changes. `seeds`: addresses to ask where peers are not listed. `replicates`: whether
    counts are replicated. `gossip_is_paced`: the gossip keeps to a byte budget, so that its silence
    tells nothing.
    """

    on_change: Callable[[api.MembershipChanged], None]
    on_superseded: Callable[[], None]
    history_file: AppendFile | None = None
    seeds: Sequence[tuple[str, int]] = ()
    replicates: bool = False
    gossip_is_paced: bool = False


class MembershipDriver:
    """Reads and writes the datagrams of one member and sets its timers."""

    def __init__(
        self,
        scheduler: Scheduler,
        peers: PeerSocket,
        view: views.Membership,
        seal: MessageAuthenticator,
        options: DriverOptions,
    ) -> None:
        self._keeps = options.replicates
        self._scheduler, self._peers, self.membership, self._seal = scheduler, peers, view, seal
        self._told, self._yielded = options.on_change, options.on_superseded
        self._seeds = tuple(options.seeds)
        self._lines = options.history_file
        self._last: api.MembershipChanged | None = None
        self.shut_out_rule: Callable[[float], bool] | None = (
            None  # whether it is shut out, asked before the decision module is told
        )
        talks = view.member_count <= TALKS and not options.gossip_is_paced
        self._shares = PartitionQuota(view.limiter_id, view.member_count, scheduler.clock(), talks)
        view.table.subscribe(self._shares.note)
        self._gossip = peers.heard
        self._ended = False
        self._reported = 0
        self._log = RateLimitedLog(log, scheduler.clock)
        self._random = random.Random(view.own.incarnation)

    def start(self) -> None:
        self._peers.heard, self._peers.stranger = self.heard, self._stranger
        self._scheduler.on_process_pause = self._woken
        self._beat()
        self._report()
        self._tell_twin()

    def heard(self, sender: int, text: str) -> None:
        if not text.startswith(MARK):
            self._shares.gossip_received(sender, self._scheduler.clock())
            self._gossip(sender, text)
            return
        plain = self._seal.verify(text)
        if plain is None:
            self.membership.counts["unsealed"] += 1
            return
        self._pass_on(self.membership.receive(sender, plain, self._scheduler.clock()))

    def _stranger(self, text: str, source: tuple[str, int]) -> bool:
        """From an address that is no peer's.

        A process that has this one's number and address (of what peers send here each gets a part,
        by chance), or, where members are found by seeds, one that is not known yet.
        """
        plain = self._seal.verify(text) if text.startswith(MARK) else None
        if plain is None:
            return False
        if source[0] == self._peers.address[0] and self.membership.detect_duplicate(plain):
            self._pass_on([])
            return True
        number = self.membership.identify_sender(plain, source) if self._seeds else None
        if number is None:
            return False
        self._peers.learn(number, source)
        self._pass_on(self.membership.receive(number, plain, self._scheduler.clock()))
        return True

    def _tell_twin(self) -> None:
        """Datagrams to the own address go to one of the processes that listen there, by the port
        that they come from: so each comes from another.
        """
        if self._ended:
            return
        young = self._scheduler.clock() - self.membership.began < YOUNG
        self._scheduler.at(
            self._scheduler.clock() + (views.BEAT if young else TWIN_EVERY), self._tell_twin
        )
        word = self.membership.own_announcement()
        if self.membership.allowance and not self.membership.allowance.take(
            len(word), self._scheduler.clock()
        ):
            return  # at the next time
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.setblocking(False)
                sock.bind((self._peers.address[0], 0))
                sock.sendto(self._seal.sign(word).encode(), self._peers.address)
        except OSError as error:
            self._log.warning("view: cannot send to the own address: %s", error)

    def reevaluate(self) -> None:
        """What the rule goes by may have changed."""
        self.membership.changed = False
        self._changed()

    def may_admit(self) -> bool:
        return self._last is not None and self._last.may_admit

    def unreachable_but_serving(self) -> frozenset[int]:
        """Those that cannot be heard and may go on letting in."""
        return self._shares.lost

    def leave(self) -> None:
        if not self._ended:
            self._ended = True
            self._pass_on(self.membership.leave(self._scheduler.clock()))

    def _beat(self) -> None:
        if self._ended:
            return
        now = self._scheduler.clock()
        self._scheduler.at(now + views.BEAT, self._beat)
        self._pass_on(self.membership.tick(now))
        self._tell()
        self._scheduler.at(now + self.membership.indirect_probe_delay(), self._due)

    def _woken(self) -> None:
        """Before anything is read that came while the process stood still.

        What is taken by what it knew then, or answered to those who hold it dead, would be a
        member's act.
        """
        if (
            not self._ended
            and self._scheduler.clock() - self.membership.last_beat > views.BEAT + views.STALL
        ):
            self._pass_on(self.membership.tick(self._scheduler.clock()))

    def _due(self) -> None:
        if not self._ended:
            self._pass_on(self.membership.request_indirect_probes(self._scheduler.clock()))
            self._tell()

    def _report(self) -> None:
        """Datagrams that were dropped, said within a bound."""
        if self._ended:
            return
        self._scheduler.at(self._scheduler.clock() + TROUBLE_EVERY, self._report)
        counts = {
            k: self.membership.counts[k]
            for k in ("garbled", "forged", "replayed", "unsealed", "earlier_life")
            if self.membership.counts[k]
        }
        if sum(counts.values()) > self._reported:
            self._reported = sum(counts.values())
            log.warning("view: datagrams dropped so far: %s", counts)

    def _pass_on(self, sends: list[views.Datagram]) -> None:
        for send in sends:
            self._send(send)
        if self.membership.changed:
            self.membership.changed = False
            self._changed()

    def _send(self, send: views.Datagram) -> None:
        text = self._seal.sign(send.text)
        if not self._seeds or self._peers.knows(send.recipient):
            self._peers.tell(send.recipient, text)
        else:  # whoever gets it answers, with what it knows
            self._peers.send(self._random.choice(self._seeds), text)

    def _learn_addresses(self, moved: list[int]) -> None:
        for number in moved:
            record = self.membership.table.get(number)
            if record and record.address and number != self.membership.limiter_id:
                self._peers.learn(number, unpack_address(record.address))

    def _changed(self) -> None:
        view = self.membership
        acts = self._tell()
        moved, view.moved = view.moved, []
        if self._seeds:
            self._learn_addresses(moved)
        if moved or acts:
            shown = view.member_states()
            for number in dict.fromkeys(moved):
                self._log.say(logging.INFO, "view: member %d is %s", number, shown[number][0])
            self._write(shown)
        if view.superseded and not self._ended:
            self._ended = True
            log.error(
                "view: another process has number %d and began later; this one leaves",
                view.limiter_id,
            )
            self._yielded()

    def _tell(self) -> bool:
        """The decision module, of what is new to it.

        Whether this one has begun or ceased to act.
        """
        view, now = self.membership, self._scheduler.clock()
        shut = self.shut_out_rule(now) if self.shut_out_rule else False
        view.set_shut_out(shut)
        unused = self._shares.update(now)
        event = api.MembershipChanged(
            view.may_admit and not shut,
            view.present(),
            tuple(view.unreachable()),
            view.cannot_hear_us(),
            tuple(sorted(self._shares.lost)),
            tuple(unused),
            self._keeps,
        )
        before, quiet = self._last, replace(event, unused=())
        acts = before is None or event.may_admit != before.may_admit
        if before is not None and acts:
            log.warning(
                "view: %s",
                "takes work again"
                if event.may_admit
                else "shut out"
                if shut
                else "takes no new work until a peer has answered",
            )
        if quiet != before or event.unused:
            self._last = quiet
            self._told(event)
        return acts

    def document(self) -> dict[str, Any]:
        """The view as operators see it.

        State, incarnation, seconds in that state and whom it cannot hear, by number; and whose part
        of the quotas is left to them because they cannot be heard.
        """
        now, view, members = self._scheduler.clock(), self.membership, {}
        for record in sorted(view.table):
            members[str(record.number)] = {
                "state": record.state.label,
                "life": record.incarnation,
                "for_s": round(now - view.since.get(record.number, now), 1),
                "unheard": list(record.unreachable),
            }
        return {
            "me": view.limiter_id,
            "acting": view.may_admit,
            "members": members,
            "out_of_reach": sorted(self._shares.lost),
            "counts": dict(view.counts),
        }

    def _write(self, shown: dict[int, tuple[str, int]]) -> None:
        if self._lines:
            members = {str(number): entry for number, entry in shown.items()}
            row = {
                "t": self._scheduler.clock(),
                "me": self.membership.limiter_id,
                "acting": self.membership.may_admit,
                "members": members,
            }
            self._lines.append(orjson.dumps(row) + b"\n")


def max_text_bytes(seal: MessageAuthenticator) -> int:
    """Bytes that a text of the view may have, so that it fits into a datagram with its hash."""
    return MOST_BYTES - seal.overhead_bytes
