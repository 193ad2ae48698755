"""The thin driver of the audit.

Versions ride with the view, stragglers are ruled on, documents passed on, candidates tried, acts
written down.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from hazelhollow import __version__
from hazelhollow.configuration import transfer, versions
from hazelhollow.configuration.acts import Acts, Limiter
from hazelhollow.configuration.documents import BEAT, Arrived, DocumentExchange, Target
from hazelhollow.configuration.history import History
from hazelhollow.configuration.known import KnownVersions
from hazelhollow.configuration.record import Record
from hazelhollow.configuration.rollout import Invitation, Rollout, Step, meanings
from hazelhollow.configuration.stragglers import ASK_FOR, Rule, Ruling
from hazelhollow.configuration.versions import MOST_CANARIES, MOST_ORDER, Candidate, Versions
from hazelhollow.control_budget.budget import RoleBudget
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.driver import MembershipDriver
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import Scheduler

# Seconds at most until settings are on record, before a request is served by them: a peer's, and an
# operator's, which are in force already, so that nobody is served meanwhile.
WAIT_FOR_RECORD = 1.0
BLOCKS_FOR_RECORD = 0.05
LOOKS_EVERY = 0.005  # seconds between looks whether they are
SLICE_EVERY = 0.002  # seconds between steps of long work on documents

log = logging.getLogger(__name__)


class Port(Limiter, Protocol):
    """What is asked of the limiter."""

    def document(self) -> Mapping[str, Any]:
        """Its settings as it was told them."""

    def check(self, document: Mapping[str, Any]) -> str:
        """What is wrong with others' settings.

        As far as a running limiter would take them, or nothing.
        """

    def take(self, document: Mapping[str, Any]) -> str:
        """Takes others' settings, as far as a running limiter can.

        What is wrong with them, or nothing.
        """


@dataclass(frozen=True)
class _Pending:
    """Settings that are to be acted on once they are on record; `until`: or then at the latest."""

    order: int
    digest: str
    document: Mapping[str, Any]
    why: str
    invitation: Invitation | None
    until: float


class Driver:
    """`order`.

    The operator's number of the settings, as the operator file says it now; `allowance`: what it
    may send; nothing: all.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        peers: PeerSocket,
        fleet: MembershipDriver,
        seal: MessageAuthenticator,
        port: Port,
        order: Callable[[], int],
        record: Record,
        seed: int,
        allowance: RoleBudget | None = None,
    ) -> None:
        self._scheduler, self._peers, self._fleet, self._seal = scheduler, peers, fleet, seal
        self._port, self._order, self.record = port, order, record
        me = fleet.membership.limiter_id
        self.rule, self.ruling, self.rollout = Rule(me), Ruling("current"), Rollout(me)
        self._acts = Acts(me, record, port, scheduler.clock)
        self._log = RateLimitedLog(log, scheduler.clock)
        self._heard_before = peers.heard
        self._given_order = 0  # of settings that a peer gave, or that are tried
        # digest and order of the settings, and whether they are tried
        self._current = ("", 0, False)
        self._history = History()
        self._documents = DocumentExchange(
            me, self._history, random.Random(seed), self._tell, self._progressed, allowance
        )
        # Digests of the settings that it acted on without trying them, the newest last.
        self._in_force = list[str]()
        self._known = KnownVersions()
        self._woke = scheduler.clock()
        self._second, self._ended, self._working = int(scheduler.clock()), False, False
        # what the digest was made of
        self._document: tuple[Mapping[str, Any] | None, str] = (None, "")
        self._pending: _Pending | None = None

    def start(self) -> None:
        self._heard_before, self._peers.heard = self._peers.heard, self.heard
        self._fleet.membership.set_versions(versions.write(self.versions()))
        self._fleet.membership.table.subscribe(self._known.note)
        self._fleet.shut_out_rule = self.shut
        self.record.add(
            self._scheduler.clock(), "program", __version__, "began", order=self.order()
        )
        self._write_versions("began")
        self._beat()

    def order(self) -> int:
        return max(self._order(), self._given_order)

    def versions(self) -> Versions:
        index, discovery = self._port.listed()
        hands = versions.digest(sorted(self._port.out()), 4)
        return Versions(
            gossip.DIALECT,
            versions.digest(__version__, 3),
            self.order(),
            self._digest(),
            index % 36**4,
            versions.digest(discovery, 3),
            hands,
            self.rollout.candidate,
        )

    def _digest(self) -> str:
        document = self._port.document()
        if self._document[0] is not document:
            self._settings_are(document, versions.settings_digest(document))
        return self._document[1]

    def _settings_are(self, document: Mapping[str, Any], digest: str) -> None:
        """What it acts on, as the limiter holds it."""
        self._document = document, digest
        self._history.put(digest, versions.common(document))

    # The rule

    def known(self) -> KnownVersions:
        """What the members that are up act on, this one as it is now."""
        self._known.put(self._fleet.membership.limiter_id, self.versions())
        return self._known

    def shut(self, now: float) -> bool:
        """Asked by the view's driver before it tells the decision module.

        So one that wakes is judged before it acts.
        """
        if not self._fleet.membership.may_admit:
            self._woke = now
        before, self.ruling = (
            self.ruling,
            self.rule.look(self.known(), now, now - self._woke < ASK_FOR),
        )
        if self.ruling.state != before.state:
            self.record.add(now, "ruling", self.ruling.state, self.ruling.why, order=self.order())
            level = (
                logging.WARNING
                if self.ruling.state in ("shut out", "contradiction")
                else logging.INFO
            )
            self._log.say(
                level,
                "audit: %s%s",
                self.ruling.state,
                f": {self.ruling.why}" if self.ruling.why else "",
            )
        return self.ruling.shut

    # Beats

    def _beat(self) -> None:
        if self._ended:
            return
        now = self._scheduler.clock()
        self._scheduler.at(now + BEAT, self._beat)
        self.write_changes("read again")
        self._acts.heard(self.known(), self.order())
        self._fleet.reevaluate()
        self._look_at_rollout(now)
        self._fetch()
        self._documents.send_due(now)
        self._work()
        if int(now) > self._second:
            self._second = int(now)
            self._documents.new_second()
            self._acts.second(*self._current[:2])
        self.record.flush()

    def _work(self) -> None:
        """Begins with what is to be done in slices."""
        if not self._working and (self._documents.busy() or not self._history.step()):
            self._working = True
            self._scheduler.at(self._scheduler.clock() + SLICE_EVERY, self._work_on)

    def _work_on(self) -> None:
        self._working = False
        if not self._ended:
            self._documents.step(self._scheduler.clock())
            self._work()

    def write_changes(self, why: str) -> None:
        """Writes down what this member acts on now, if it changed for the reason `why`.

        And tells the others.

        To be called in the same turn as the change, before a request is served by it: one killed
        right after has new settings on record, but where the disk takes longer than
        BLOCKS_FOR_RECORD, which is logged.
        """
        if self._write_versions(why):
            self.record.flush()
            if not self.record.written(BLOCKS_FOR_RECORD):
                log.warning(
                    "audit: the disk is slow; what this member acts on is not on record yet"
                )
        self._fleet.membership.set_versions(versions.write(self.versions()))

    def _write_versions(self, why: str) -> bool:
        """Writes down what is other than before; whether the settings are."""
        tried = self.rollout.candidate is not None
        one = (self._digest(), self.order(), tried)
        if one != self._current:
            self._current = one
            self._documents.acts_on(one[1], one[0], self._document[0] or {})
            if not tried and self._in_force[-1:] != [one[0]]:
                self._in_force = [*self._in_force[-1:], one[0]]
        changed = self._pending is None and self._acts.settings(*one, why)
        self._acts.servers(one[1])
        return changed

    def end(self) -> None:
        if not self._ended:
            self._ended = True
            self.record.add(
                self._scheduler.clock(), "program", __version__, "ended", order=self.order()
            )
            self.record.close()

    # Documents

    def _fetch(self) -> None:
        """Settings that this member is to act on.

        Those in force, or else those that it is to try.
        """
        known, candidate = self.known(), None
        order, digests = known.newest()
        target = (
            Target(order, next(iter(digests)), self.ruling.ask)
            if self.ruling.ask and digests
            else None
        )
        invitation = None if target else self.rollout.invitation(known)
        if invitation is not None:
            target, candidate = (
                Target(invitation.order, invitation.digest, invitation.givers),
                invitation,
            )
        if target is None or self._is_pending(target.order, target.digest):
            return
        document = (
            self._history.document(target.digest) if self._history.knows(target.digest) else None
        )
        if document is not None:
            why = f"told of by member {min(target.givers)}, known from before"
            self._take(target.order, target.digest, document, why, candidate)
        else:
            self._documents.fetch(target, known, self._scheduler.clock())

    def _tell(self, number: int, text: str) -> None:
        self._peers.tell(number, self._seal.sign(text))

    def _progressed(self, order: int) -> None:
        self.rule.progressed(order, self._scheduler.clock())

    def heard(self, sender: int, text: str) -> None:
        if not text.startswith(transfer.DIALECT[0]):
            self._heard_before(sender, text)
            return
        plain = self._seal.verify(text)
        arrived = (
            self._documents.heard(sender, plain, self._scheduler.clock())
            if plain is not None
            else None
        )
        if arrived is not None:
            # In a turn of its own: a long document takes as long to check as to put together.
            self._scheduler.at(self._scheduler.clock() + SLICE_EVERY, self._take_arrived, arrived)
        self._work()

    def _take_arrived(self, arrived: Arrived) -> None:
        """Settings that are whole, if they are still wanted."""
        if self._ended:
            return
        order, digests = self.known().newest()
        why = f"given by member {arrived.sender}"
        if (arrived.order, {arrived.digest}) == (order, digests):
            self._take(arrived.order, arrived.digest, arrived.document, why, None)
            return
        invitation = self.rollout.invitation(self.known())
        if invitation and (invitation.order, invitation.digest) == (arrived.order, arrived.digest):
            self._take(arrived.order, arrived.digest, arrived.document, why, invitation)

    def _take(
        self,
        order: int,
        digest: str,
        document: Mapping[str, Any],
        why: str,
        invitation: Invitation | None,
    ) -> None:
        """These settings are to be acted on, as soon as that is on record."""
        if self._is_pending(order, digest):
            return
        trouble = self._port.check(document) if digest != self._digest() else ""
        if trouble:
            self._refuse(order, trouble, invitation)
            return
        until = self._scheduler.clock() + WAIT_FOR_RECORD
        self._pending = _Pending(order, digest, document, why, invitation, until)
        self._acts.settings(digest, order, invitation is not None, why)
        self.record.flush()
        self._take_pending(self._pending)

    def _is_pending(self, order: int, digest: str) -> bool:
        return self._pending is not None and (self._pending.order, self._pending.digest) == (
            order,
            digest,
        )

    def _take_pending(self, pending: _Pending) -> None:
        if self._ended or pending is not self._pending:
            return
        now = self._scheduler.clock()
        if not self.record.written() and now < pending.until:
            self._scheduler.at(now + LOOKS_EVERY, self._take_pending, pending)
            return
        self._pending = None
        if pending.digest != self._digest():
            self._port.take(pending.document)
            self._settings_are(self._port.document(), pending.digest)
        self._given_order = pending.order
        if pending.invitation:
            self.rollout.take(pending.invitation.candidate, self._port.figures())
            self._acts.step(Step.TAKEN, pending.why, self.order())
        else:
            self.rollout.end()
        self.write_changes(pending.why)
        self._fleet.reevaluate()
        log.info("audit: settings of order %d taken: %s", pending.order, pending.why)

    def _refuse(self, order: int, trouble: str, invitation: Invitation | None) -> None:
        if invitation:
            self.rollout.refuse(invitation)
            self._acts.step(Step.REFUSED, trouble, order)
        else:
            self.rule.refused(order, trouble)
        self._log.say(logging.ERROR, "audit: order %d cannot be taken: %s", order, trouble)

    # Candidates

    def _look_at_rollout(self, now: float) -> None:
        verdict = self.rollout.look(
            self.known(), self._port.figures(), now, self._fleet.membership.may_admit
        )
        if verdict is None:
            return
        if verdict.step is Step.HELD:
            self._hold(verdict.why)
        else:
            self._release(verdict.why)

    def _hold(self, why: str) -> None:
        self.rollout.hold()
        self._acts.step(Step.HELD, why, self.order())
        self.write_changes("held")

    def _release(self, why: str) -> None:
        self._acts.step(Step.RELEASED, why, self.order())
        self.rollout.end()
        self.write_changes("released")
        self._fleet.reevaluate()

    # What an operator does here; each gives what is wrong, or nothing

    def settings_in_force(self) -> None:
        """The limiter has read its files again, and acts on what they say.

        Candidates and what peers gave no longer count.
        """
        self._given_order, self._pending = 0, None
        self.rollout.end()
        self.write_changes("read again")
        self._fleet.reevaluate()
        self._fetch()

    def push(self, order: int, canaries: int, after: float, document: Mapping[str, Any]) -> str:
        """These settings are tried here and by others, `canaries` members in all.

        And in force for all after so many seconds, if nothing speaks against it.
        """
        trouble = self._push_trouble(order, canaries, document) or self._port.take(document)
        if trouble:
            return trouble
        self._pending = None
        self._given_order = order
        self.rollout.push(canaries, self._scheduler.clock() + after, self._port.figures())
        self._acts.step(
            Step.PUSHED, f"{canaries} members try it, all act on it after {after:g} s", self.order()
        )
        self.write_changes("pushed by an operator")
        return ""

    def _push_trouble(self, order: int, canaries: int, document: Mapping[str, Any]) -> str:
        known = self.known()
        greatest = known.greatest()
        if self.ruling.state != "current":
            return f"this member is not on the newest settings: {self.ruling.state}"
        if not greatest < order <= MOST_ORDER:
            return (
                f"order {order} is not above {greatest}, the greatest that is out, or above "
                f"{MOST_ORDER}"
            )
        most = min(MOST_CANARIES, len(known) - 1)
        if not 1 <= canaries <= most:
            return (
                f"{canaries} members cannot try it first: of {len(known)} that are up {most} "
                "at most"
            )
        if versions.settings_digest(document) == self._digest():
            return "these are the settings that this member acts on"
        return ""

    def hold(self) -> str:
        """The candidate that this member tries stays with those that try it."""
        if self.rollout.candidate is None:
            return self._no_candidate()
        self._hold("by an operator")
        return ""

    def release(self) -> str:
        """The candidate that this member tries is in force for all from now on."""
        if self.rollout.candidate is None:
            return self._no_candidate()
        if len(meanings(self.known(), self.order())) > 1:
            return (
                f"order {self.order()} stands for other settings at others: push one of them "
                "under a greater order"
            )
        self._release("by an operator")
        return ""

    def _no_candidate(self) -> str:
        trying = sorted(self.known().candidates())
        if not trying:
            return "no settings are tried anywhere"
        return f"this member tries no settings; members that do: {', '.join(map(str, trying))}"

    def roll_back(self) -> str:
        """The settings from before come into force for all, under an order above all that are out.

        Those from before the candidate, where there is one, else those from before the ones that
        are in force.
        """
        known = self.known()
        earlier = self._in_force if known.candidates() else self._in_force[:-1]
        digest = earlier[-1] if earlier else ""
        document = self._history.document(digest) if digest else None
        if document is None:
            return (
                "this member knows of no earlier settings; ask another, or give them under a "
                "greater order"
            )
        order = known.greatest() + 1
        if order > MOST_ORDER:
            return f"there is no order above {MOST_ORDER}"
        trouble = self._port.take(document) if digest != self._digest() else ""
        if trouble:
            return trouble
        self._settings_are(self._port.document(), digest)
        self._given_order, self._pending = order, None
        self.rollout.end()
        self._acts.step(Step.ROLLED_BACK, "by an operator", self.order())
        self.write_changes("rolled back by an operator")
        self._fleet.reevaluate()
        return ""

    def document(self) -> dict[str, Any]:
        return {
            "order": self.order(),
            "settings": self._digest(),
            "candidate": _shown(self.rollout.candidate),
            "state": self.ruling.state,
            "why": self.ruling.why,
            "members": {
                str(n): {
                    "order": one.order,
                    "settings": one.settings,
                    "candidate": _shown(one.candidate),
                    "listed": one.listed,
                }
                for n, one in sorted(self.known().items())
            },
        }


def _shown(candidate: Candidate | None) -> dict[str, Any] | None:
    return (
        {"canaries": candidate.canaries, "phase": candidate.phase.name.lower()}
        if candidate
        else None
    )
