"""What one gateway remembers, and its plain arithmetic. No decision, no table, no tuned value."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import islice, takewhile
from random import Random

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.state.accounts import Account, Store, Totals, at_least, key_of, mask_of
from hazelhollow.decisions.state.class_statistics import (
    Asked,
    ClassStats,
    Patience,
    changed_classes,
)
from hazelhollow.decisions.state.endpoint_table import Group, Health, Server, ServerTable, Window

__all__ = [
    "Account",
    "Asked",
    "Attempt",
    "Group",
    "Health",
    "Held",
    "Memory",
    "Server",
    "ServerTable",
    "Store",
    "Totals",
    "Window",
    "at_least",
    "key_of",
]

NEWS_LOOKED_AT = 500  # of what waits for a peer, for one message: most of it may be too old by now


class Attempt:
    def __init__(self, server: Server, sent_at: float, work: float, backlog: float) -> None:
        self.server, self.sent_at, self.work, self.backlog = server, sent_at, work, backlog
        self.out, self.may_have_run = True, True


class Held:
    """A request that is owed its final answer, or whose attempts are still out."""

    def __init__(
        self,
        event: api.RequestArrived,
        kind: api.RequestClass,
        key: str,
        account: Account,
        now: float,
        most: int,
    ):
        self.event, self.kind, self.key, self.account = event, kind, key, account
        self.most = most  # attempts, as the settings said when it came: they may say fewer later
        self.came, self.aim_at, self.deadline = (
            now,
            now + kind.latency_objective,
            now + event.time_left,
        )
        self.attempts: list[Attempt] = []
        self.size = 0  # by which its work is known
        self.inside = self.ended = self.settled = False

    def out(self) -> bool:
        return any([a.out for a in self.attempts])

    def repeat_until(self) -> float:
        """When what may have run may no longer be repeated.

        The window counts from the first such attempt.
        """
        ran = next((a for a in self.attempts if a.may_have_run), None)
        return (
            ran.sent_at + self.kind.dedup_window if ran and self.kind.effect != "safe" else math.inf
        )

    def bound_to(self) -> Group | None:
        """The zone or cell that a further attempt has to go to, if any.

        The servers that drop a repeat of what may have run.
        """
        if self.kind.effect != "keyed" or self.kind.dedup_scope == "all":
            return None
        ran = next((a for a in self.attempts if a.may_have_run), None)
        return (
            (self.kind.dedup_scope, getattr(ran.server.entry, self.kind.dedup_scope))
            if ran
            else None
        )

    def tried(self, server: Server) -> int:
        """How many attempts have gone to a server."""
        return sum([a.server is server for a in self.attempts]) if self.attempts else 0


class Memory:
    """All that one gateway remembers."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.plan_of = {gossip.tag(p.name): p for p in settings.plans}  # by the tags in messages
        self.class_of = {gossip.tag(c.name): c.name for c in settings.classes}
        self.unread: Counter[str] = Counter()  # what peers said that could not be used here
        self.learned = ClassStats(settings.classes)
        self.patience = {c.name: Patience() for c in settings.classes}
        self.accounts: dict[str, Account] = {}
        self.due: list[
            tuple[float, int, Account]
        ] = []  # a heap: when accounts are looked at whether to forget them
        self.due_number = 0  # tells apart those of one moment
        # Accounts with charges in periods that may get more, where counts are kept; those looked at
        # last stand last. The period in which they were looked at, and how many of them still are
        # to be in it.
        self.unclosed: dict[str, None] = {}
        self.looked_period = self.to_look_at = 0
        # customers charged before, whose final figure is due
        self.closing: Iterator[str] = iter(())
        self.servers: dict[str, Server] = {}  # the listed ones
        self.near: list[Server] = []  # those that this gateway keeps to, and until when that holds
        self.near_until = 0.0
        self.held: dict[str, Held] = {}
        self.acting, self.away = (
            True,
            frozenset[int](),
        )  # by the fleet's view: whether to take new work; whom not to tell
        self.lost = frozenset[int]()  # by the same: who cannot be heard and may let in
        self.back: dict[str, float] = {}  # servers put back by hand, and when: they start cold then
        # by whom to tell: customer, period, word
        self.dirty: dict[int, dict[tuple[str, int], str]] = {}
        self.booked: dict[str, None] = {}  # customers charged since the last renewal
        self.keeps, self.known_from = (
            False,
            math.inf,
        )  # counts are kept; since when it knows of every customer's use
        self.news: dict[str, tuple[float, str]] = {}  # what hubs told of accounts, and when
        self.late: dict[str, float] = {}  # news that the first hub should have told, and since when
        self.incarnations: dict[int, str] = {}  # peers met at the start, and when they began
        self.failed: dict[tuple[str, str], float] = {}  # servers' failures seen here, and when
        # peers' work out, by server's tag
        self.loads: dict[int, tuple[float, dict[str, float]]] = {}
        self.heard, self.heard_at = dict[str, float](), -1.0  # the same added up, and when
        self.warm_sent = Window(settings.overload_window)  # work sent to warm servers
        # when, head and words of the last message
        self.said: tuple[float, str, list[str]] = (-1.0, "", [])
        self.latest = ("", "")  # customer and key
        self.leftover = self.wait = 0.0  # units; seconds that answers waited lately
        self.together = 1.0  # the part of the burst that those that began together begin with
        self.born, self.whole = (
            0.0,
            False,
        )  # its start, and whether it is known that all others began then too
        self.now, self.period, self.flushed, self.incarnation = 0.0, 0, 0, ""
        self.actions: list[api.Action] = []

    def retune(self, settings: api.Settings) -> None:
        """Settings read again: classes come, go or change, attempts may be fewer.

        What is open keeps its class and its attempts; what was learned of a class that stays is
        kept.
        """
        before, self.settings, self.classes = (
            self.classes,
            settings,
            {c.name: c for c in settings.classes},
        )
        if before.keys() != self.classes.keys():
            self.class_of = {gossip.tag(c.name): c.name for c in settings.classes}
        self.learned.retune(settings.classes)
        for c in changed_classes(before, settings.classes):
            known = self.patience.setdefault(c.name, Patience())
            if c.name not in before or before[c.name].deadline != c.deadline:
                known.forget()  # how long clients waited under another deadline says nothing of now

    def name_of(self, key: str, plan: api.Plan) -> str:
        """What an account of that key in messages is called here.

        Two customers may come to one key, and one may change its plan: neither goes by the other's
        plan, so the second plan's account has a name of its own.
        """
        known = self.accounts.get(key)
        if known and known.plan is plan:
            return key
        other = f"{key}.{gossip.tag(plan.name)}"
        return other if known or other in self.accounts else key

    def end(self, request: str) -> None:
        """Nothing is owed any more."""
        if request in self.held:
            self.held[request].ended = True
            self.drop(request)

    def drop(self, request: str) -> None:
        """Let go of a request that has ended, once none of its attempts is out."""
        if self.held[request].ended and not self.held[request].out():
            self.held.pop(request).account.open -= 1

    def take_view(self, event: api.MembershipChanged, direct: int, hubs: int) -> None:
        """`direct`: members of the largest set without hubs; `hubs`: of a larger one."""
        self.acting, lost, limiter_count = (
            event.may_admit,
            frozenset(event.unreachable_but_serving),
            self.settings.limiter_count,
        )
        self.away = (
            frozenset(range(limiter_count)).difference(event.present).union(event.cannot_hear_us)
        )
        changed = mask_of(lost ^ self.lost) | mask_of(number for number, _ in event.unused)
        self.lost, self.keeps = lost, event.counts_replicated
        for key, account in self.accounts.items() if changed else ():
            if not account.set_mask & changed:
                continue  # what its members can hear of each other is as it was
            account.budget.fill(self.now)
            if account.spread > direct:
                account.place(
                    account.first, account.spread, self.settings, int(key_of(key), 36), hubs, lost
                )
            self.leave_to_lost(account)
            account.budget.level += account.reclaim(event.unused, limiter_count)

    # Counts, where they are kept

    def closed(self, most: int) -> list[api.Action]:
        """The counts that have grown by periods that get no more charges.

        Each customer once a period, those that waited longest first, and no more customers once
        there are so many counts. What is left is told at the next call.
        """
        found = list[api.Action]()
        if not self.keeps:
            return found
        if self.looked_period < self.period:
            self.looked_period, self.to_look_at = self.period, len(self.unclosed)
        for key in list(islice(self.unclosed, min(most, self.to_look_at))):
            if len(found) >= most:
                break
            self.to_look_at -= 1
            del self.unclosed[key]
            account = self.accounts.get(key)
            if account is not None:
                found += self._closed_counts(account)
        return found

    def _closed_counts(self, account: Account) -> list[api.Action]:
        """Of one customer.

        Others' counts too, as they were heard: of one that has died nobody else can tell them, and
        of one that incarnations they are what it tells itself.
        """
        totals, found = account.totals, list[api.Action]()
        if account.spread:
            totals.turn(self.period)
            fresh, totals.fresh = totals.fresh, set()
            for who in fresh:
                count = self._own_count(account) if not who else self._heard_count(account, who)
                if count.since:
                    plan = account.plan.name
                    found.append(
                        api.ReplicateCount(
                            key_of(account.name), plan, account.first, account.spread, count
                        )
                    )
        if not account.spread or totals.charged or totals.heard:
            # looked at again in the next period, after the others
            self.unclosed[account.name] = None
        return found

    def _own_count(self, account: Account) -> api.ReplicatedCount:
        """Of the periods that have closed."""
        t = account.totals
        return api.ReplicatedCount(
            self.settings.limiter_id, self.incarnation, t.since, t.last or t.since, t.closed
        )

    def _heard_count(self, account: Account, who: str) -> api.ReplicatedCount:
        """The same of another incarnation's charges, as they were heard."""
        member, _, incarnation = who.partition(".")
        return api.ReplicatedCount(
            int(member), incarnation, *(account.totals.bases or {}).get(who, (0, 0, 0.0))
        )

    def _counts_with_recent(self, account: Account) -> list[api.ReplicatedCount]:
        """All that is known of a customer, with the charges of the period before this one and of
        this one.
        """
        totals, recent = account.totals, (self.period - 1, self.period)
        first, second = (totals.charged.get(period, 0.0) for period in recent)
        counts = [self._own_count(account)._replace(previous_units=first, current_units=second)]
        for who in dict.fromkeys([*(totals.bases or ()), *(who for who, _ in totals.heard)]):
            first, second = (totals.heard.get((who, period), 0.0) for period in recent)
            counts.append(
                self._heard_count(account, who)._replace(previous_units=first, current_units=second)
            )
        return counts

    def short(self) -> list[str]:
        """Customers whose budget is not full, those with the least left first."""
        left = {
            key: a.budget.fill(self.now) / a.plan.burst
            for key, a in self.accounts.items()
            if a.plan.burst and a.spread
        }
        return sorted((key for key, share in left.items() if share < 1.0), key=left.__getitem__)

    def copy_of(self, key: str) -> api.AccountReplicated | None:
        """All that is known of a customer, for a peer that has just begun."""
        a = self.accounts.get(key)
        if a is None or a.totals.bases is None or not a.spread:
            return None
        a.totals.turn(self.period)
        counts = self._counts_with_recent(a)
        # what is on its way by gossip too
        counts.sort(key=lambda c: c.previous_units + c.current_units, reverse=True)
        level = (a.budget if a.hubs_hear(self.settings.limiter_id) else a.told).fill(
            self.now
        ) - a.owed
        level += sum(
            units for (_, at), units in a.totals.heard.items() if at > self.period
        )  # of a clock that is ahead: not told
        return api.AccountReplicated(
            key_of(key), a.plan.name, a.first, a.spread, tuple(counts), level, self.period
        )

    def copied(
        self,
        event: api.AccountReplicated,
        make: Callable[[str, api.Plan, int, int], Account],
        pay_back: float,
    ) -> None:
        """Counts and whole customers, as peers know them."""
        plan = self.plans.get(event.plan_name)
        account = self.accounts.get(self.name_of(event.key, plan)) if plan else None
        if not event.key and self.known_from == math.inf:
            self.known_from = -math.inf
            # nobody has used what its cautious beginning left to others
            for one in self.accounts.values():
                one.budget.level += (
                    0.0 if one.copied else one.plan.burst * (1.0 - 1.0 / max(one.spread, 1))
                )
        if plan is None or not 0 < event.set_size <= self.settings.limiter_count:
            return
        if event.level is not None:
            account = make(event.key, plan, event.set_start, event.set_size)
            if not account.copied and account.totals.bases is not None:
                self._adopt(account, event.counts, event.level, event.period)
            return
        for count in event.counts:
            come_in = 0.0  # again, since it was used
            if account is None and count.total > plan.rate * (self.now - count.since):
                account = make(event.key, plan, event.set_start, event.set_size)
                account.totals.knows, come_in = count.since, plan.rate * (self.now - count.since)
            if (
                account
                and account.totals.bases is not None
                and account.hubs_hear(self.settings.limiter_id)
            ):
                account.fill(self.now, pay_back, self.period)
                who = f"{count.member}.{count.incarnation}"
                account.missed(
                    count.member,
                    account.totals.told(who, count.since, count.through, count.total) - come_in,
                )

    def _adopt(
        self, account: Account, counts: tuple[api.ReplicatedCount, ...], level: float, period: int
    ) -> None:
        """What the giver knew in that period, less what has come to be known here beyond that."""
        totals, account.copied = account.totals, True
        assert totals.bases is not None
        self.mark_unclosed(account)
        if not account.hubs_hear(self.settings.limiter_id):
            account.told.level, account.told.at, account.telling = level, self.now, True
            account.budget.level = min(level, account.budget.most)
            return
        own, known, mine = (
            totals.closed + sum(totals.charged.values()),
            0.0,
            f"{self.settings.limiter_id}.{self.incarnation}",
        )
        for count in counts:
            who = f"{count.member}.{count.incarnation}"
            if count.since:
                totals.knows = min(totals.knows, count.since)
            if who == mine:
                own -= count.total + count.previous_units + count.current_units
                continue
            since, through, total = totals.bases.get(who, (0, 0, 0.0))
            base, last = count.total, count.through
            for at in [
                at for w, at in totals.heard if w == who and at < period - 1
            ]:  # closed where the giver is
                through, total = max(through, at), total + totals.heard.pop((who, at))
            for at, units in ((period - 1, count.previous_units), (period, count.current_units)):
                if at < self.period - 1:  # open when the giver told it, closed here
                    base, last = base + units, at if units else last
                    continue
                level -= max(0.0, totals.heard.get((who, at), 0.0) - units)
                totals.heard[who, at] = max(units, totals.heard.get((who, at), 0.0))
            known += max(0.0, total - base)  # what has closed here since
            totals.bases[who] = max(since, count.since), max(through, last), max(total, base)
        told = {f"{c.member}.{c.incarnation}" for c in counts}
        more = sum(
            units
            for (who, at), units in totals.heard.items()
            if who not in told or not period - 1 <= at <= period
        )
        account.budget.level = min(level - own - known - more, account.budget.most)

    def work_of(self, held: Held) -> float:
        """Seconds of work that a request is taken to be."""
        return self.learned.work_of(held.kind.name, held.event.units, held.size)

    def hanging(self, times: float, least: float) -> list[tuple[Held, int]]:
        """Attempts out for longer than so many times what is usual for them, and than the least."""
        found = []
        for held in self.held.values():
            for number, a in enumerate(held.attempts):
                usual = a.server.pace * (a.work + a.backlog / a.server.width)
                if a.out and not held.ended and self.now - a.sent_at > max(times * usual, least):
                    found.append((held, number))
        return found

    def out_since(self, start: float) -> list[Attempt]:
        held = self.held.values()
        return [a for one in held for a in one.attempts if a.out and a.sent_at > start]

    def meet(self, sender: int, incarnation: str, together: float, within: float) -> None:
        """Once all others are met and all began with this gateway, nothing was spent before.

        The whole burst is there, less what was charged since. Of one that starts among older ones
        it is not known.
        """
        if self.whole or self.now - self.born > within:
            return
        self.incarnations[sender] = incarnation
        apart = [gossip.apart(self.incarnation, other) for other in self.incarnations.values()]
        if len(apart) == self.settings.limiter_count - 1 and max(apart) <= together:
            self.whole = True
            part = (
                self.together if self.known_from == math.inf else 0.0
            )  # else it has been told what there is
            for account in self.accounts.values():
                account.budget.level += (
                    account.plan.burst * (1.0 - 1.0 / max(account.spread, 1)) * part
                )
                account.ceiling.level += account.ceiling.most or account.plan.ceiling_burst

    def latest_failed(self, count: int, span: float) -> list[tuple[str, str]]:
        """Of the failures seen here within that span; the older ones are forgotten."""
        while self.failed and self.now - next(iter(self.failed.values())) >= span:
            del self.failed[next(iter(self.failed))]
        return list(self.failed)[-count:]

    def note_failed(self, server: str, kind: str) -> None:
        """By their tags."""
        self.failed.pop((server, kind), None)  # the latest stands last
        self.failed[server, kind] = self.now

    def told_spent(self, account: Account, word: gossip.Spent, sender: int, most: float) -> None:
        """`most`: members of the largest set that one hub tells by itself.

        In a larger one it is to be passed on, but not what has been passed on already: that grows
        old.
        """
        account.told.fill(self.now)
        account.told.level, account.telling = account.plan.burst - word.units, True
        if sender in account.hubs and account.spread > most:
            self.news.pop(account.name, None)  # the latest stands last
            self.news[account.name] = self.now, gossip.write(word)

    def passed_on(self, peer: int, span: float, most: int, chance: Random) -> list[str]:
        """Some of what hubs told here within that span, of customers who may come to the peer as
        well.
        """
        while self.news and self.now - next(iter(self.news.values()))[0] >= span:
            del self.news[next(iter(self.news))]
        gateways, found = self.settings.limiter_count, list[str]()
        for name, (_, word) in self.news.items():
            account = self.accounts.get(name)
            if account is not None and account.has(peer, gateways):
                found.append(word)
        return chance.sample(found, min(len(found), most))

    def heard_loads(self, latest: float) -> dict[str, float]:
        """By server's tag, of the peers that spoke within so many seconds.

        Added up once for each event.
        """
        if self.heard_at != self.now:
            self.heard_at, self.heard = self.now, dict[str, float]()
            for at, load in self.loads.values():
                if at > self.now - latest:
                    for tag, work in load.items():
                        self.heard[tag] = self.heard.get(tag, 0.0) + work
        return self.heard

    def read(self, event: api.GossipReceived) -> gossip.Message | None:
        """Counts what cannot be used, and says each kind of it once."""
        message = gossip.read(event.text, self.plan_of, self.settings.limiter_count, self.class_of)
        if message is None or message.unknown:
            what = (
                "message of another dialect or garbled"
                if message is None
                else "plan or class that these settings do not have"
            )
            if not self.unread[what]:
                self.actions.append(
                    api.WriteLog(f"gateway {event.sender} tells of a {what}: {event.text[:40]}")
                )
            self.unread[what] += 1 if message is None else message.unknown
        return message

    def charge_word(self, key: str, period: int) -> str:
        """What peers are told of a customer; nothing once it is too old for them."""
        account = self.accounts.get(key) if period >= self.period - 1 else None
        if not account:
            return ""
        plan, total = gossip.tag(account.plan.name), account.totals.charged.get(period, 0.0)
        open_now = account.open if account.plan.open_limit else 0
        word = gossip.Charge(
            key_of(key), plan, account.first, account.spread, self.period - period, total, open_now
        )
        return gossip.write(word)

    def late_for(self, span: float) -> list[str]:
        """Customers whose first hub should have told of them for so long.

        The oldest stand first.
        """
        return [
            key for key, _ in takewhile(lambda late: self.now - late[1] >= span, self.late.items())
        ]

    def units_charged(self, news: tuple[str, int]) -> float:
        """By an account's name and a period."""
        account = self.accounts.get(news[0])
        return account.totals.charged.get(news[1], 0.0) if account else 0.0

    def take_news(self, line: str, waiting: dict[tuple[str, int], str]) -> str:
        """The line with as much of what waits, in its order, as a message holds.

        That waits no more.
        """
        taken = list[tuple[str, int]]()
        for news, word in waiting.items():
            if not word and news[1] >= self.period - 1:  # else it is too old for them
                word = self.charge_word(*news)
            if len(line) + len(word) > gossip.MOST_BYTES or len(taken) >= NEWS_LOOKED_AT:
                break
            line += word
            taken.append(news)
        for news in taken:
            del waiting[news]
        return line

    def work_out(self) -> dict[str, float]:
        """Seconds of work that this gateway has out at listed servers, by their tags."""
        out = {a.server for one in self.held.values() for a in one.attempts if a.out}
        return {s.tag: sum(s.out.values()) for s in out if self.servers.get(s.entry.name) is s}

    def renew(self) -> None:
        """A period has begun: the final figures of those charged in the one before are due."""
        self.closing, self.booked = iter(self.booked), {}

    def finals(self, most: int) -> list[Account]:
        """So many of the accounts whose final figure is due."""
        return [self.accounts[key] for key in islice(self.closing, most) if key in self.accounts]

    def mark_unclosed(self, account: Account) -> None:
        """It was charged, here or elsewhere.

        Where counts are kept, they grow once the period has closed.
        """
        if account.totals.bases is not None:
            self.unclosed[account.name] = None

    def remember(self, account: Account, least: float) -> None:
        """A new account; `least`: seconds for which it is not forgotten."""
        self.accounts[account.name] = account
        self._look_at(account, self.now + least)

    def leave_to_lost(self, account: Account) -> None:
        """The even part of the members that cannot be heard."""
        account.leave_to(self.lost, self.settings.limiter_count, self.now)
        if account.back:  # which is given back soon
            self._look_at(account, self.now)

    def _look_at(self, account: Account, when: float) -> None:
        account.due, self.due_number = when, self.due_number + 1
        heapq.heappush(self.due, (when, self.due_number, account))

    def forget(self, most: int, least: float, settled: float) -> None:
        """Let go of accounts that would have filled up by now anyway, looking at so many at most.

        `least`: seconds since their last use; `settled`: seconds after which members that are back
        have told all. `used` counts charges heard of too: an account that was let go of in between
        would take a total that is said again for a new one.
        """
        while most and self.due and self.due[0][0] <= self.now:
            when, _, account = heapq.heappop(self.due)
            if account.due != when or self.accounts.get(account.name) is not account:
                continue
            most -= 1
            if account.back:
                account.give_back(self.now, settled, self.away)
            again = account.may_be_forgotten_at(self.now, least)
            if again <= self.now:
                del self.accounts[account.name]
            else:
                self._look_at(account, again)
