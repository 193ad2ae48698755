"""The thin driver of the view.

Its datagrams go with the gossip's, its beats on the limiter's clock.
"""

from __future__ import annotations

import logging
import random
import socket
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

import orjson

from hazelhollow.decisions import interface as api
from hazelhollow.membership import view as views
from hazelhollow.membership.messages import DIALECT, MOST_BYTES
from hazelhollow.membership.records import NAMES, unpack_address
from hazelhollow.membership.seal import Seal
from hazelhollow.membership.shares import Shares
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


class Driver:
    """`told` gets what the decision module is to know, whenever it changes.

    `yielded` is called once if another process has this one's number. `lines`: a file that gets the
    view as a JSON line whenever it changes. `paced_gossip`: the gossip keeps to a budget of bytes,
    so that its silence says nothing.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        peers: PeerSocket,
        view: views.View,
        seal: Seal,
        told: Callable[[api.MembershipChanged], None],
        yielded: Callable[[], None],
        lines: AppendFile | None = None,
        seeds: Sequence[tuple[str, int]] = (),
        keeps: bool = False,
        paced_gossip: bool = False,
    ) -> None:
        self._keeps = keeps
        self._scheduler, self._peers, self.view, self._seal = scheduler, peers, view, seal
        self._told, self._yielded, self._seeds = told, yielded, tuple(seeds)
        self._lines = lines
        self._last: api.MembershipChanged | None = None
        self.rule: Callable[[float], bool] | None = (
            None  # whether it is shut out, asked before the decision module is told
        )
        talks = view.members <= TALKS and not paced_gossip
        self._shares = Shares(view.me, view.members, scheduler.clock(), talks)
        view.table.watch(self._shares.note)
        self._gossip = peers.on_message
        self._ended = False
        self._reported = 0
        self._log = RateLimitedLog(log, scheduler.clock)
        self._random = random.Random(view.own.incarnation)

    def start(self) -> None:
        self._peers.on_message, self._peers.on_unknown_sender = self.heard, self._stranger
        self._scheduler.on_process_pause = self._woken
        self._beat()
        self._report()
        self._tell_twin()

    def heard(self, sender: int, text: str) -> None:
        if not text.startswith(MARK):
            self._shares.gossip(sender, self._scheduler.clock())
            self._gossip(sender, text)
            return
        plain = self._seal.open(text)
        if plain is None:
            self.view.counts["unsealed"] += 1
            return
        self._pass_on(self.view.heard(sender, plain, self._scheduler.clock()))

    def _stranger(self, text: str, source: tuple[str, int]) -> bool:
        """From an address that is no peer's.

        A process that has this one's number and address (of what peers send here each gets a part,
        by chance), or, where members are found by seeds, one that is not known yet.
        """
        plain = self._seal.open(text) if text.startswith(MARK) else None
        if plain is None:
            return False
        if source[0] == self._peers.address[0] and self.view.heard_twin(plain):
            self._pass_on([])
            return True
        number = self.view.introduced(plain, source) if self._seeds else None
        if number is None:
            return False
        self._peers.set_address(number, source)
        self._pass_on(self.view.heard(number, plain, self._scheduler.clock()))
        return True

    def _tell_twin(self) -> None:
        """Datagrams to the own address go to one of the processes that listen there, by the port
        that they come from: so each comes from another.
        """
        if self._ended:
            return
        young = self._scheduler.clock() - self.view.began < YOUNG
        self._scheduler.at(
            self._scheduler.clock() + (views.BEAT if young else TWIN_EVERY), self._tell_twin
        )
        word = self.view.own_word()
        if self.view.allowance and not self.view.allowance.take(len(word), self._scheduler.clock()):
            return  # at the next time
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.setblocking(False)
                sock.bind((self._peers.address[0], 0))
                sock.sendto(self._seal.close(word).encode(), self._peers.address)
        except OSError as error:
            self._log.warning("view: cannot send to the own address: %s", error)

    def look_again(self) -> None:
        """What the rule goes by may have changed."""
        self.view.changed = False
        self._changed()

    def acts(self) -> bool:
        return self._last is not None and self._last.acting

    def lost(self) -> frozenset[int]:
        """Those that cannot be heard and may go on letting in."""
        return self._shares.lost

    def end(self) -> None:
        if not self._ended:
            self._ended = True
            self._pass_on(self.view.leave(self._scheduler.clock()))

    def _beat(self) -> None:
        if self._ended:
            return
        now = self._scheduler.clock()
        self._scheduler.at(now + views.BEAT, self._beat)
        self._pass_on(self.view.beat(now))
        self._tell()
        self._scheduler.at(now + self.view.wait(), self._due)

    def _woken(self) -> None:
        """Before anything is read that came while the process stood still.

        What is taken by what it knew then, or answered to those who hold it dead, would be a
        member's act.
        """
        if (
            not self._ended
            and self._scheduler.clock() - self.view.last_beat > views.BEAT + views.STALL
        ):
            self._pass_on(self.view.beat(self._scheduler.clock()))

    def _due(self) -> None:
        if not self._ended:
            self._pass_on(self.view.due(self._scheduler.clock()))
            self._tell()

    def _report(self) -> None:
        """Datagrams that were dropped, said within a bound."""
        if self._ended:
            return
        self._scheduler.at(self._scheduler.clock() + TROUBLE_EVERY, self._report)
        counts = {
            k: self.view.counts[k]
            for k in ("garbled", "forged", "replayed", "unsealed", "earlier_life")
            if self.view.counts[k]
        }
        if sum(counts.values()) > self._reported:
            self._reported = sum(counts.values())
            log.warning("view: datagrams dropped so far: %s", counts)

    def _pass_on(self, sends: list[views.Send]) -> None:
        for send in sends:
            self._send(send)
        if self.view.changed:
            self.view.changed = False
            self._changed()

    def _send(self, send: views.Send) -> None:
        text = self._seal.close(send.text)
        if not self._seeds or self._peers.knows(send.number):
            self._peers.send_to(send.number, text)
        else:  # whoever gets it answers, with what it knows
            self._peers.send(self._random.choice(self._seeds), text)

    def _learn_addresses(self, moved: list[int]) -> None:
        for number in moved:
            record = self.view.table.get(number)
            if record and record.address and number != self.view.me:
                self._peers.set_address(number, unpack_address(record.address))

    def _changed(self) -> None:
        view = self.view
        acts = self._tell()
        moved, view.moved = view.moved, []
        if self._seeds:
            self._learn_addresses(moved)
        if moved or acts:
            shown = view.shown()
            for number in dict.fromkeys(moved):
                self._log.log(logging.INFO, "view: member %d is %s", number, shown[number][0])
            self._write(shown)
        if view.yielded and not self._ended:
            self._ended = True
            log.error(
                "view: another process has number %d and began later; this one leaves", view.me
            )
            self._yielded()

    def _tell(self) -> bool:
        """The decision module, of what is new to it.

        Whether this one has begun or ceased to act.
        """
        view, now = self.view, self._scheduler.clock()
        shut = self.rule(now) if self.rule else False
        view.set_shut(shut)
        unused = self._shares.look(now)
        event = api.MembershipChanged(
            view.acting and not shut,
            view.present(),
            tuple(view.unheard()),
            view.deaf(),
            tuple(sorted(self._shares.lost)),
            tuple(unused),
            self._keeps,
        )
        before, quiet = self._last, replace(event, unused=())
        acts = before is None or event.acting != before.acting
        if before is not None and acts:
            log.warning(
                "view: %s",
                "takes work again"
                if event.acting
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
        now, view, members = self._scheduler.clock(), self.view, {}
        for record in sorted(view.table):
            members[str(record.number)] = {
                "state": NAMES[record.state],
                "life": record.incarnation,
                "for_s": round(now - view.since.get(record.number, now), 1),
                "unheard": list(record.unheard),
            }
        return {
            "me": view.me,
            "acting": view.acting,
            "members": members,
            "out_of_reach": sorted(self._shares.lost),
            "counts": dict(view.counts),
        }

    def _write(self, shown: dict[int, tuple[str, int]]) -> None:
        if self._lines:
            members = {str(number): entry for number, entry in shown.items()}
            row = {
                "t": self._scheduler.clock(),
                "me": self.view.me,
                "acting": self.view.acting,
                "members": members,
            }
            self._lines.append(orjson.dumps(row) + b"\n")


def budget(seal: Seal) -> int:
    """Bytes that a text of the view may have, so that it fits into a datagram with its hash."""
    return MOST_BYTES - seal.length
