"""The thin driver of the replica.

Its datagrams go where the gossip's go, its beats on the limiter's clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence, Set
from typing import Any
from zlib import crc32

from hazelhollow.control_budget.budget import RoleBudget
from hazelhollow.control_budget.send_queue import SendQueue
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.decisions.state.accounts import key_of
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.driver import MembershipDriver
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.replication import replica, snapshot
from hazelhollow.replication.codec import DIALECT, SUMS, AccountCopy, RecentCount
from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.snapshot_collector import SnapshotCollector

TENTHS = 10
SAVE_EVERY = 0.25  # seconds between snapshots
SLICE_EVERY = 0.002  # seconds between two slices of the customers, for one
NAMES = 36**3  # of plans' tags

log = logging.getLogger(__name__)


def tag_of(plan: str) -> str:
    """A plan's name in messages, the same at members whose settings list other plans beside it."""
    return base36(crc32(plan.encode()) % NAMES)


class AccountReader:
    """The decision module's knowledge, as the exchange asks for it."""

    def __init__(self, memory: ReplicatedAccounts) -> None:
        self._memory = memory

    def short(self) -> list[str]:
        return self._memory.names_below_full()

    def slice(self, key: str) -> AccountCopy | None:
        one = self._memory.copy_of(key)
        if one is None or one.level is None:
            return None
        plan = self._memory.plans[one.plan_name]
        recents = tuple(
            RecentCount(
                c.member,
                c.incarnation,
                CountValue(c.since, c.through, _tenths(c.total)),
                _tenths(c.previous_units),
                _tenths(c.current_units),
            )
            for c in one.counts
        )
        return AccountCopy(
            key,
            tag_of(one.plan_name),
            one.set_start,
            one.set_size,
            max(0, _tenths(plan.burst - one.level)),
            recents,
        )


def _tenths(units: float) -> int:
    return round(TENTHS * units)


class ReplicationDriver:
    """`told` is the decision module's handler of events.

    `banned` is called with hosts, and whether each is out by hand, when others' calls have changed
    that. `file`: where snapshots go, at sites with a disk. `allowance`: what it may send; nothing:
    all.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        peers: PeerSocket,
        fleet: MembershipDriver,
        seal: MessageAuthenticator,
        memory: ReplicatedAccounts,
        told: Callable[[api.AccountReplicated], None],
        banned: Callable[[dict[str, bool]], None],
        seed: int,
        most: int,
        file: snapshot.SnapshotFile | None = None,
        allowance: RoleBudget | None = None,
    ) -> None:
        self._scheduler, self._peers, self._fleet, self._seal = scheduler, peers, fleet, seal
        self._memory, self._told, self._banned, self._file = memory, told, banned, file
        me, members = memory.settings.limiter_id, memory.settings.limiter_count
        self.replica = replica.Replica(
            me,
            members,
            "",
            seed,
            AccountReader(memory),
            most,
            replica.QUIET_WITHIN if allowance else replica.QUIET,
        )
        self._allowance = allowance
        self._waiting: SendQueue[replica.Datagram] | None = (
            SendQueue(allowance) if allowance else None
        )
        self._plans = {tag_of(name): name for name in memory.plans}
        self._heard_before = peers.heard
        self._away = set(range(members)) - {me}
        self._here: list[int] = []  # the others that are up, in order
        # What those were reckoned from.
        self._seen: tuple[Sequence[int], bool, Set[int], Sequence[int]] | None = None
        self._ended = self._was_whole = False
        self._log = RateLimitedLog(log, scheduler.clock)
        self._snapshot: snapshot.Snapshot | None = None
        self._gathering: SnapshotCollector | None = None  # for the next snapshot
        self._began = self._saved = 0.0

    def start(self) -> None:
        self._heard_before, self._peers.heard = self._peers.heard, self.heard
        now = self._began = self._scheduler.clock()
        self._snapshot = self._file.load(now) if self._file else None
        if self._snapshot:
            for one in self._snapshot.calls():
                self.replica.hands.put(one)
            self._banned(self.replica.hands.out())
        self._beat()

    def heard(self, sender: int, text: str) -> None:
        if not text.startswith(DIALECT[0]):
            self._heard_before(sender, text)
            return
        plain = self._seal.verify(text)
        if plain is None:
            self.replica.counts["unsealed"] += 1
            return
        self._pass_on(self.replica.heard(sender, plain, self._scheduler.clock()))

    def closed(self, action: api.ReplicateCount) -> None:
        """What the decision module says of its own counts, and of others' as it heard them."""
        count = action.replicated_count
        own = count.member == self.replica.me and count.incarnation == self.replica.incarnation
        value = CountValue(count.since, count.through, _tenths(count.total), int(own))
        self.replica.charged(
            CountRow(
                action.key,
                tag_of(action.plan_name),
                action.set_start,
                action.set_size,
                count.member,
                count.incarnation,
                value,
            )
        )

    def call(self, host: str, down: bool) -> None:
        """An operator's call at this limiter."""
        self._pass_on(self.replica.call(host, down, self._scheduler.clock()))

    def end(self) -> None:
        """This member lets nothing in any more."""
        if not self._ended:
            self._ended = True
            self._save(final=self.replica.whole)

    def document(self) -> dict[str, Any]:
        one = self.replica
        return {
            "whole": one.whole,
            "gives": one.gives(),
            "customers": len(one.book),
            "owed": round(sum(account.debt for account in self._memory.accounts.values()), 1),
            "troubles": dict(one.book.troubles),
            "counts": dict(one.counts),
            "hosts_out": sorted(host for host, out in one.hands.out().items() if out),
        }

    def _beat(self) -> None:
        if self._ended:
            return
        now = self._scheduler.clock()
        self._scheduler.at(now + replica.BEAT, self._beat)
        view = self._fleet.membership
        self._look_who_is_there()
        if self._memory.incarnation:  # which the first event gives it
            self.replica.incarnation = self._memory.incarnation
            older = (
                set[int]()
                if self.replica.whole
                else view.started_before(replica.GIVES_AFTER).intersection(self._here)
            )
            # Also those whose gossip is silent: a catch-up goes on.
            self._pass_on(self.replica.beat(now, self._here, older))
        if self._file and self._gathering is None and now - self._saved >= SAVE_EVERY:
            self._saved = now
            self._save()

    def _look_who_is_there(self) -> None:
        """Who is up, and who can be heard again, if the view has changed."""
        view = self._fleet.membership
        seen = (
            view.present(),
            view.may_admit,
            self._fleet.unreachable_but_serving(),
            view.unreachable(),
        )
        if seen == self._seen:
            return
        self._seen = seen
        self._here = (
            [number for number in view.present() if number != view.limiter_id]
            if view.may_admit
            else []
        )
        others = set(range(view.member_count)) - {view.limiter_id}
        away = (
            others.difference(self._here)
            | self._fleet.unreachable_but_serving()
            | set(view.unreachable())
        )
        for number in sorted(self._away - away):
            self.replica.returned(number)
        self._away = away

    def _pass_on(self, sends: list[replica.Datagram]) -> None:
        for send in self._may_leave(sends):
            self._peers.tell(send.number, self._seal.sign(send.text))
        one = self.replica
        slices, one.slices = one.slices, []
        for piece in slices:
            self._tell_slice(*piece)
        if one.whole and not self._was_whole:
            self._now_whole()
        if one.whole:
            rows, one.rows = one.rows, []
            self._tell_rows(rows)
        if one.calls:
            for call in one.calls:
                self._log.say(
                    logging.WARNING,
                    "server %s is %s by an operator at member %d",
                    call.host,
                    "out" if call.down else "back",
                    call.member,
                )
            one.calls = []
            self._banned(one.hands.out())

    def _may_leave(self, sends: list[replica.Datagram]) -> list[replica.Datagram]:
        """Within the allowance, the most useful first. Digests do not wait: newer ones come."""
        if self._allowance is None or self._waiting is None:
            return sends
        now = self._scheduler.clock()
        for send in sends:
            rank = replica.RANKS[send.text[len(DIALECT)]]
            if rank != replica.RANKS[SUMS]:
                self._waiting.add(rank, len(send.text), send, now)
        found = self._waiting.take_sendable(now)
        if not self._waiting:
            digests = [send for send in sends if send.text[len(DIALECT)] == SUMS]
            found += [send for send in digests if self._allowance.take(len(send.text), now)]
        return found

    def _now_whole(self) -> None:
        """Counts that came before a customer was told of have changed nothing yet.

        They are told again.
        """
        self._was_whole = True
        one = self.replica
        if one.told_by is not None:
            log.info(
                "replica: whole, told by member %d of %d customers",
                one.told_by,
                len(self._memory.accounts),
            )
            self._told(api.AccountReplicated(""))
        elif self._snapshot:
            self._restore(self._snapshot)
        one.rows = [
            row
            for key in self._memory.accounts
            for row in one.book.rows(key)
            if (row.member, row.incarnation) != (one.me, one.incarnation)
        ]

    def _restore(self, kept: snapshot.Snapshot) -> None:
        """Nobody is there who knows more: all ended at once."""
        now = self._scheduler.clock()
        for left in kept.customers:
            plan = self._memory.plans.get(left.plan)
            if plan:
                level = min(
                    plan.burst, self._carried(left, plan, kept) + plan.rate * (now - self._began)
                )
                incarnations = self._lives_heard(left.key)
                told = api.AccountReplicated(
                    left.key, left.plan, left.first, left.spread, incarnations, level, int(now)
                )
                self._told(told)
        log.info(
            "replica: nobody to be told by; %d customers of a snapshot %.1f s old",
            len(kept.customers),
            now - kept.at,
        )
        self._told(api.AccountReplicated(""))
        self.replica.restored = True

    def _carried(
        self, left: snapshot.SavedAccount, plan: api.Plan, kept: snapshot.Snapshot
    ) -> float:
        """What was left of a customer when this incarnation began."""
        return snapshot.least_left(left.level, plan.rate, plan.burst, kept, self._began)

    def _lives_heard(self, key: str) -> tuple[api.ReplicatedCount, ...]:
        """Those that have charged a customer since all began anew.

        The snapshot knows nothing of what they charged.
        """
        known = self._memory.copy_of(key)
        return (
            tuple(
                api.ReplicatedCount(one.member, one.incarnation, 0, 0, 0.0) for one in known.counts
            )
            if known
            else ()
        )

    def _tell_slice(self, one: AccountCopy, period: int) -> None:
        name = self._plans.get(one.plan)
        if name is None:
            self.replica.counts["plans unknown"] += 1
            return
        counts = tuple(
            api.ReplicatedCount(
                r.member,
                r.incarnation,
                r.value.since,
                r.value.through,
                r.value.total / TENTHS,
                r.first / TENTHS,
                r.second / TENTHS,
            )
            for r in one.recents
        )
        level = self._memory.plans[name].burst - one.spent / TENTHS
        self._told(
            api.AccountReplicated(one.key, name, one.first, one.spread, counts, level, period)
        )

    def _tell_rows(self, rows: list[CountRow]) -> None:
        for row in rows:
            name = self._plans.get(row.plan)
            if name is None:
                self.replica.counts["plans unknown"] += 1
                continue
            value = row.value
            count = api.ReplicatedCount(
                row.member, row.incarnation, value.since, value.through, value.total / TENTHS
            )
            self._told(api.AccountReplicated(row.key, name, row.first, row.spread, (count,)))

    def _save(self, final: bool = False) -> None:
        """A snapshot of now.

        Before the end the customers are gone through in slices, so that no turn is long.
        """
        if self._file is None:
            return
        if not self.replica.whole:
            self._write_snapshot(self._known_before_whole(), final)
            return
        gathering = self._gathering = SnapshotCollector(self._memory)
        if final:
            gathering.finish()
        self._gather(gathering, final)

    def _gather(self, gathering: SnapshotCollector, final: bool = False) -> None:
        if gathering is not self._gathering:
            return  # the end has come in between
        if not gathering.step():
            self._scheduler.at(self._scheduler.clock() + SLICE_EVERY, self._gather, gathering)
            return
        self._gathering = None
        self._write_snapshot(gathering.left(), final)

    def _write_snapshot(self, left: list[snapshot.SavedAccount], final: bool) -> None:
        assert self._file is not None
        hands = [tuple(one) for one in self.replica.hands.calls.values()]
        taken = snapshot.Snapshot(
            snapshot.FORMAT,
            snapshot.VERSION,
            self._scheduler.clock(),
            self._memory.settings.limiter_id,
            left,
            hands,  # type: ignore[arg-type]
            final,
        )
        self._file.save(taken)

    def _known_before_whole(self) -> list[snapshot.SavedAccount]:
        """By the snapshot of the incarnation before, less what was charged in this one.

        Until it is whole a member acts by its cautious share, whatever was left; those of all come
        to one burst, which may be used before the next snapshot.
        """
        memory, left, seen = self._memory, list[snapshot.SavedAccount](), set[str]()
        since = self._scheduler.clock() - self._began
        for one in self._snapshot.customers if self._snapshot else ():
            plan = memory.plans.get(one.plan)
            if plan and self._snapshot:
                name = memory.name_of(one.key, plan)
                seen.add(name)
                charged = max(plan.burst, self._charged(name))
                level = self._carried(one, plan, self._snapshot) + plan.rate * since - charged
                left.append(snapshot.SavedAccount(one.key, one.plan, one.first, one.spread, level))
        for name, account in memory.accounts.items():
            charged = self._charged(name)
            if name not in seen and charged and account.set_size:
                level = account.plan.burst + account.plan.rate * since - charged
                left.append(
                    snapshot.SavedAccount(
                        key_of(name), account.plan.name, account.set_start, account.set_size, level
                    )
                )
        return left[: snapshot.MOST]

    def _charged(self, name: str) -> float:
        """Units that this incarnation has charged a customer, and heard of others' charges."""
        account = self._memory.accounts.get(name)
        if account is None:
            return 0.0
        totals = account.charges
        closed = totals.own_closed + sum(
            total for _, _, total in (totals.closed_counts or {}).values()
        )
        return closed + totals.open_total()
