"""Every decision of the gateway, every table and every tuned value.

Its types: hazelhollow/interface.py.

`_request` checks the budget, `_choose` picks a server, `_charge` takes the guess, `_outcome`
settles the true units, `_proceed` tries again or ends. `_book` gossips charges; in a large set hubs
sum them and `_announce`.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from hazelhollow.decisions import interface as api
from hazelhollow.decisions import memory as state
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.gossip.outbox import News, Outbox
from hazelhollow.decisions.gossip_schedule import SPENT, Extras, Telling
from hazelhollow.decisions.memory import Account, Attempt, Held, Server, Store, at_least
from hazelhollow.decisions.subsetting import stretch

PERIOD = 1.0  # seconds from one renewal of the budgets to the next
FLUSHES = 15  # gossip rounds a period
INTAKE_SHARE = 0.8  # of the told intake of messages: what a gateway sends at most
# of the rate, for what went over unheard; periods until counts are in
PAY_BACK, RECKONED = 0.5, 4.0
# of the burst, where the view is kept: those that began together may have been there
TOGETHER_AGAIN = 0.5
# the largest set whose members tell each other, and the largest fleet whose gateways tell loads
DIRECT = 8
HUBS = 2  # members of a larger set that sum its charges and tell the rest how much is spent
BUSY = 0.6  # of its rate: a customer that uses less is not worth telling about
UNHEARD = 0.06  # seconds of peers' charges that are on their way
OPEN_RISK = 0.04  # of passing a limit on requests open, which a request may take
# of the burst: the part in which a large set, and one told late, lets in by chance
RESERVE, WIDER = 1.0, 2.0
# of the burst by which the set must be wrong; seconds in which it passes that on
NEWS, PASS_ON = 0.6, 0.5
NEAREST = 0.05  # of the burst: the least level that counts for how pressing news are
# in one message: the latest; what is passed on; the busiest
FAILURES_TOLD, PASSED_ON, LOADS_TOLD = 2, 5, 64
# customers at most: final figures told; looked at to be forgotten
CLOSED_A_BEAT, FORGOTTEN_A_BEAT = 256, 60
AWAY_A_BEAT = 64  # peers that are away, whose news are gone through for old ones
COUNTS_A_BEAT = 45  # counts, where they are kept, that are handed on as their periods close
TOGETHER, MEETING = 1.0, 3.0  # seconds between the starts of gateways that began as one; to meet in
SILENT = 2.0  # periods without a word before a peer counts as silent
SIZES = 8  # units up to which work is learned for each number of them
WIDTH = 2.0  # requests that a server of middling weight is taken to work on at once
CANDIDATES = 4  # servers compared for a request, where loads are not known
SURVEYED = 60  # servers compared at most, where loads are known or no other way found one
GAIN = 0.1  # of the newest sample in a learned mean
# a first try is refused when the shortest wait passes this share of the tightest aim
PRESSURE = 0.35
NEAR = 0.01  # of the deadline: tries whose patience differs by less come with the same
ADVICE = 0.25  # of the aim: how long to stay away under pressure and still come back in time
LEFTOVER = 0.1  # the same for excess worth its cost, and its share of the charges inside budgets
RETRY_SHARE = 0.1  # further attempts for each first one, so that retries cannot feed an overload
MIX = 300.0  # requests over which it is learned what is asked for
YIELD = 2.0  # the power of its worth for its work, against the mean, by which a class gives way
# of the tightest aim: a wait that no overload explains; silence that is too long
CALM, HUSH = 0.1, 0.6
HANGS = 8.0  # times what is usual, after which an attempt is held to hang
ZONE_DELAY = 2.0  # aims of delay that crossing zones is held to be worth, times its price
EJECT_AFTER = 2.5  # failures, each of which counts less as it ages, and half after an answer
EJECT_FOR, EJECT_AT_MOST = 1.0, 8.0  # seconds, doubled each time the trial after it fails
# times the cold share of the warm ones' load; of the fall multiple
COLD_MARGIN, COLD_PART = 2.0, 0.75
EXTRAS = Extras(PASS_ON, PASSED_ON, FAILURES_TOLD, SILENT * PERIOD, LOADS_TOLD)
NEVER_RAN = ("full", "connect_failed", "never_sent")


def may_send(held: Held, server: Server, settings: api.Settings, now: float) -> bool:
    """The gate of rule 2 for a further attempt."""
    over = held.ended or now >= held.deadline or len(held.attempts) >= held.most
    if over or (held.out() and not settings.hedging):
        return False
    ran = [a for a in held.attempts if a.may_have_run]
    if not ran or held.kind.effect == "safe":
        return True
    if held.kind.effect == "unsafe" or now + settings.tick >= held.repeat_until():
        return False
    group = held.kind.dedup_scope
    return group == "all" or all(
        getattr(a.server.entry, group) == getattr(server.entry, group) for a in ran
    )


def may_refuse(held: Held) -> bool:
    """The gate of rule 2 for a refusal, which promises that trying again is harmless."""
    harmless = held.kind.effect == "safe" or (
        held.kind.effect == "keyed" and held.kind.dedup_scope == "all"
    )
    return harmless or not any(a.may_have_run for a in held.attempts)


class DecisionEngine(Telling):
    """One gateway's decisions: no I/O, no clock, nothing shared with another instance."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, EXTRAS, random.Random(seed))
        self.tight = self.learned.tightest()
        # learned seconds that an attempt is out
        self.stay, self.retries = self.tight / 6, 1.0 / RETRY_SHARE
        self.asked = state.Asked(MIX)  # inside quotas
        self.table = state.ServerTable(WIDTH, settings)
        self.servers, self.banned = self.table.servers, self.table.banned
        self.small = settings.limiter_count <= DIRECT
        peers = range(settings.limiter_count if self.small and settings.peers else 0)
        self.dirty = {
            n: {} for n in peers if n != settings.limiter_id and not settings.gossip_bytes_per_s
        }
        self.flush_every = max(PERIOD / FLUSHES, settings.tick)
        rate = INTAKE_SHARE * settings.gossip_messages_per_s
        self.messages = Store(rate, rate * PERIOD, 0.0, 0.0)  # how many may be sent
        if settings.peers and settings.gossip_bytes_per_s:
            self.outbox = Outbox(settings.gossip_bytes_per_s, self._worth)

    def retune(self, settings: api.Settings) -> None:
        super().retune(settings)
        self.table.retune(settings, self.now)
        self.tight = self.learned.tightest()

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.actions = []
        if not self.incarnation:
            self.born, self.incarnation = now, gossip.incarnation(now)
            self.actions.append(
                api.SetTimer(self.flush_every * self.random.uniform(0.5, 1.0), "beat")
            )
            self.actions += [api.SubscribeToEndpoints()] if self.settings.poll_endpoints else []
        self.now, self.period = now, int(now // PERIOD)
        if isinstance(event, api.RequestArrived):
            self._request(event)
        elif isinstance(event, api.AttemptEnded):
            self._outcome(event)
        elif isinstance(event, api.GossipReceived):
            self._peer(event)
        elif isinstance(event, api.TimerFired):
            self._flush()
        elif isinstance(event, api.EndpointsUpdated):
            self._list(event)
        elif isinstance(event, api.ClientDisconnected):
            self.end(event.id)
        elif isinstance(event, api.AllowanceGranted):
            self._allow(event)
        elif isinstance(event, api.EndpointOverridden):
            self._ban(event)
        elif isinstance(event, api.MembershipChanged):
            self.together = TOGETHER_AGAIN
            self.take_view(event, DIRECT, HUBS)
        elif isinstance(event, api.AccountReplicated):
            self.copied(event, self._account, PAY_BACK)
        return self.actions

    # Budgets

    def _account(self, key: str, plan: api.Plan, first: int, spread: int) -> Account:
        account, large = self.accounts.get(name := self.name_of(key, plan)), spread > DIRECT
        if account is None:
            # A new gateway allows the burst divided by its gateways, and the rate since its start.
            # In a large set, whose hubs will tell when it is spent, one request at least, or the
            # quiet would be refused.
            least = self.settings.max_units if large and not self.keeps else 0.0
            part = max(plan.burst / max(spread, 1), least)
            part += max(plan.burst - part, 0.0) * self.together if self.whole else 0.0
            level = min(plan.burst, part + plan.rate * (self.now - min(self.born, self.known_from)))
            account = Account(plan, level, self.born, self.now, self.whole, self.keeps, name)
            self.remember(account, SILENT * PERIOD)
        if spread and (account.first, account.spread) != (first, spread):
            account.place(
                first, spread, self.settings, int(key, 36), HUBS if large else 0, self.lost
            )
            self.leave_to_lost(account)
            if large and self.settings.limiter_id in account.hubs and not account.telling:
                # it hears what is used, and from the other hub what was
                account.budget.level = plan.burst
            account.share_ceiling(spread)  # shares sum to the second store, so each is safe alone
        account.fill(self.now, PAY_BACK, self.period)
        return account

    def _allow(self, event: api.AllowanceGranted) -> None:
        """A limit kept elsewhere is as told right before the request.

        No rate, share or peer changes it.
        """
        plan = self.plans.get(event.plan_name)
        if plan is None:
            return
        spread = max(1, min(event.set_size, self.settings.limiter_count))
        account = self._account(self._key(event.customer), plan, event.set_start, spread)
        if event.ceiling is not None:
            account.ceiling.most, account.ceiling.level = plan.ceiling_burst, event.ceiling
            account.ceiling.at = self.now
        if event.quota is not None:
            account.budget.level, account.kept = event.quota, True

    def _request(self, event: api.RequestArrived) -> None:
        kind, plan = self.classes.get(event.class_name), self.plans.get(event.plan_name)
        if kind is None or plan is None or event.units <= 0 or event.time_left <= 0:
            self.actions.append(api.RejectRequest(event.id, reason="unknown"))
            return
        if not self.acting:  # it stood still, and may be dead to the others: what it knows is old
            self.actions.append(
                api.RejectRequest(event.id, min(PERIOD, self.settings.max_retry_after), "away")
            )
            return
        spread = max(1, min(event.set_size, self.settings.limiter_count))
        account = self._account(self._key(event.customer), plan, event.set_start, spread)
        account.used = self.now
        held = Held(event, kind, account.name, account, self.now, self.settings.max_attempts)
        held.size = min(round(event.units), SIZES)
        self.learned.learn_units(kind, event.units, GAIN)
        held.inside = self._inside(held)
        if held.inside:
            self.asked.add(kind.name, kind.priority_weight * event.units, self.work_of(held))
        if plan.ceiling_rate and account.ceiling.fill(self.now) < event.units:
            self._refuse(
                held, (event.units - account.ceiling.level) / account.ceiling.rate, "ceiling"
            )
        elif not held.inside and not (
            plan.excess_weight > plan.excess_cost and self.leftover >= event.units
        ):
            wait = (event.units - account.budget.level) / plan.rate if plan.rate else PERIOD
            self._refuse(
                held, wait, "quota" if wait > 0 else "open" if plan.open_limit else "reserve"
            )
        else:
            self._admit(held)

    def _admit(self, held: Held) -> None:
        server, delay = self._choose(held)
        wait, limit = (
            delay - (server.pace if server else 1.0) * self.work_of(held),
            self._limit(held.kind),
        )
        # One gateway of many sees no queue: it goes by how long answers waited here and at its
        # peers, by chance so that not all shed at once. Holds against any overload; may hurt just
        # after its end.
        wait = wait if self.small else max(wait, self.wait * self.random.uniform(0.5, 1.0))
        # A retry's cut patience shows its age: past its aim it must not take the place of one that
        # can be in time, whatever the pressure comes from. A patience that many come with is the
        # clients' way, no age; in a large fleet each sees too few to tell, and goes by the longest
        # seen.
        kind, patience, known = held.kind, held.event.time_left, self.patience[held.kind.name]
        usual = (
            known.common(patience, NEAR * kind.deadline) if self.small else known.longest(patience)
        )
        first = usual or (self.settings.clients_mark_retries and not held.event.is_retry)
        late = not first and kind.deadline - patience > kind.latency_objective
        if server is None or wait > (LEFTOVER if late or not held.inside else PRESSURE) * limit:
            self._refuse(
                held,
                ADVICE * kind.latency_objective,
                "late" if late else "pressure" if server else "no server",
            )
            return
        self.held[held.event.id] = held
        self._charge(held.account, held)
        self._send(held, server)

    def _limit(self, kind: api.RequestClass) -> float:
        """A class may fill the queues only as far as each class worth as much for its work can
        bear: by its own aim the longest took all. What is worth less than the mean gives way,
        but not the class that is served worst where the goal weighs that. A large fleet, told
        late, keeps to the tightest.
        """
        value = self.learned.value(kind.name)
        if not self.small:
            return self.tight * value / self.learned.highest_value()
        longest = self.learned.tightest_aim(value)
        if kind.name == self.learned.cheapest():
            value *= 1.0 + self.settings.class_weight / max(self.asked.part(kind.name), 0.01)
        return float(longest * min(1.0, value / (self.asked.mean() or value)) ** YIELD)

    def _inside(self, held: Held) -> bool:
        account, plan = held.account, held.account.plan
        # What a large set was told is soon old: as the level falls fewer are let in, by chance, so
        # that it settles above nothing, where being a little wrong lets in a few more or less and
        # none beyond.
        heard = account.totals.heard_rate(self.now - (self.period - 1) * PERIOD)
        part = (
            account.telling
            * plan.burst
            * (WIDER if account.spread > self.messages.most else RESERVE)
        )
        reserve = 0.0 if account.kept else UNHEARD * heard + (part and part * self.random.random())
        room = not plan.open_limit or self._may_open(account, plan.open_limit, heard)
        return room and (not plan.rate or account.budget.level >= held.event.units + reserve)

    def _may_open(self, account: Account, limit: int, heard: float) -> bool:
        """Shares of so small a limit turn away what the set as a whole has room for."""
        share, left = max(1, limit // account.spread), limit - account.open
        others = max(
            heard / self.learned.mean_units() * self.stay, account.told_open(self.now, self.stay)
        )
        return account.open < share or at_least(left, others) <= OPEN_RISK

    def _charge(self, account: Account, held: Held) -> None:
        units, account.open = held.event.units, account.open + 1
        account.ceiling.level -= units if account.plan.ceiling_rate else 0.0
        self.retries = min(self.retries + RETRY_SHARE, 1.0 / RETRY_SHARE)
        self.leftover = min(
            self.leftover + (LEFTOVER if held.inside else -1.0) * units, account.plan.burst
        )
        if held.inside:
            self._book(held.key, account, units, self.period)

    def _refuse(self, held: Held, wait: float, why: str) -> None:
        wait = min(max(wait, 0.0), self.settings.max_retry_after)
        self.actions.append(api.RejectRequest(held.event.id, wait, why))

    # Gossip

    def _flush(self) -> None:
        self.actions.append(api.SetTimer(self.flush_every, "beat"))
        if self.flushed < self.period:
            self.flushed = self.period
            self.renew()
        self.actions += self.closed(COUNTS_A_BEAT)
        self.forget(FORGOTTEN_A_BEAT, SILENT * PERIOD, RECKONED * PERIOD)
        for account in self.finals(CLOSED_A_BEAT):  # of a large set's quiet customers not
            if account.spread <= DIRECT or account.telling:
                self._mark(account.hubs, account.name, self.period - 1)
        for key in self.late_for(self.flush_every):
            self._announce(key)
        self._leave()
        self.tell_most_useful()
        # In a large fleet those that wait, the longest first.
        for peer in list(self.dirty) if self.messages.fill(self.now) >= 1.0 else ():
            if peer not in self.away and self.messages.level >= 1.0:
                self.tell(peer)
        self.forget_old_news(AWAY_A_BEAT)
        # In a sudden slowing the answers that would tell of it are late: what is out, not what
        # hangs, tells sooner. With all refused nothing tells: what is known of the wait grows old.
        out = self.out_since(self.now - self.tight)
        late = sum(self.now - a.sent_at > 2 * a.work + self.wait for a in out)
        self.wait *= 0.5 ** (self.flush_every / (SILENT * PERIOD))
        self.wait += GAIN * self.tight if 2 * late > len(out) else 0.0

    def _book(self, key: str, account: Account, units: float, period: int) -> None:
        account.budget.level -= account.totals.charge(units, period)
        self.booked[key] = None
        self.mark_unclosed(account)
        self._mark(account.hubs, key, period)
        self._news(key, account)

    def _mark(self, peers: list[int], key: str, period: int, word: str = "") -> None:
        """Told at the next flush.

        In a large fleet at once, where two charges seldom have the same way.
        """
        for peer in [peer for peer in peers if peer != self.settings.limiter_id]:
            if self.outbox:
                self.put_in_outbox(peer, (key, period), word)
                continue
            self.dirty.setdefault(peer, {})[key, period] = word
            if not self.small and peer not in self.away:
                self.tell(peer)

    def _news(self, key: str, account: Account) -> None:
        """First the first hub, or all where one cannot tell the set in a second.

        Another if it is dead.
        """
        if account.spread > DIRECT and self.settings.limiter_id in account.hubs:
            self.late.setdefault(key, self.now)
            if account.hubs[0] == self.settings.limiter_id or account.spread > self.messages.most:
                self._announce(key)

    def _announce(self, key: str) -> None:
        """A set, or its busiest, is told what changes its decisions.

        Of the busy, near the limit, misled.
        """
        self.late.pop(key, None)
        account, need = self.accounts.get(key), self.learned.mean_units()
        if not account:
            return
        plan, level, believed = (
            account.plan,
            account.budget.fill(self.now),
            account.told.fill(self.now),
        )
        busy = account.totals.sum() >= BUSY * plan.rate * (
            self.now - (account.totals.period - 1) * PERIOD
        )
        near = min(level, believed) < need + RESERVE * plan.burst
        if busy and near and abs(believed - level) >= max(need / 2, NEWS * plan.burst):
            account.told.level, account.telling = level, True
            spent = gossip.Spent(
                state.key_of(key), gossip.tag(plan.name), max(plan.burst - level, 0.0)
            )
            told = account.busiest(
                self.settings.limiter_count, int(self.messages.most), self.random
            )
            self._mark(told, key, SPENT, gossip.write(spent))

    def _worth(self, peer: int, news: News) -> float:
        """Of telling it, under a budget of bytes.

        What the customer has left, if anything is untold.
        """
        account = self.accounts.get(news[0])
        if not account or self.untold(account, peer, news) <= 0:
            return 0.0
        return 1.0 / max(account.budget.fill(self.now) / (account.plan.burst or 1.0), NEAREST)

    def _peer(self, event: api.GossipReceived) -> None:
        """Garbled, foreign or stale messages change nothing.

        All is read before anything is applied.
        """
        told = self.settings
        message = self.read(event)
        behind = (self.period - message.period) % 36 if message else 2
        if (
            not message
            or behind > 1
            or event.sender == told.limiter_id
            or not 0 <= event.sender < told.limiter_count
        ):
            return
        self.meet(event.sender, message.incarnation, TOGETHER, MEETING)
        for word in message.words:
            if isinstance(word, gossip.Failed):
                kind = self.class_of.get(word.kind, "")
                if server := self.table.tagged(word.server):
                    self._failure(server, kind)
            elif isinstance(word, gossip.Spent):
                self._hear_spent(word, event.sender)
            elif isinstance(word, gossip.Charge) and behind + word.age <= 1:
                account = self._account(
                    word.customer, self.plan_of[word.plan], word.first, word.spread
                )
                incarnation, period = (
                    f"{event.sender}.{message.incarnation}",
                    self.period - behind - word.age,
                )
                account.budget.level -= account.totals.hear(incarnation, period, word.total)
                account.used = self.now
                account.hear_open(event.sender, self.now, word.open)
                self.mark_unclosed(account)
                self._news(account.name, account)
        loads = {word.server: word.work for word in message.words if isinstance(word, gossip.Load)}
        self.loads.update({event.sender: (self.now, loads)} if self.small else {})
        self.heard_at = -1.0
        self.wait += GAIN * (message.wait * self.tight - self.wait)

    def _hear_spent(self, word: gossip.Spent, sender: int) -> None:
        """A hub goes by its own sum, but one started lately does not know what was used before."""
        account = self._account(word.customer, self.plan_of[word.plan], 0, 0)
        self.told_spent(account, word, sender, self.messages.most)
        young = self.now - self.born < account.plan.burst / (account.plan.rate or 1.0)
        if self.settings.limiter_id not in account.hubs or (
            young and account.told.level < account.budget.level
        ):
            account.budget.level = account.told.level

    # Servers

    def _list(self, event: api.EndpointsUpdated) -> None:
        # the old list still holds
        self.actions += [api.SubscribeToEndpoints()] if event.kind == "failed" else []
        self.table.apply(event, self.now)
        self.table.put_back(self.back, self.now)
        self.near_until = 0.0

    def _ban(self, event: api.EndpointOverridden) -> None:
        """One left out gets nothing new, not even as a rescue.

        Back, it is cold, since it was restarted.
        """
        if event.disabled or event.endpoint in self.banned:
            self.table.ban(event.endpoint, event.disabled, self.now)
            self.back.update({} if event.disabled else {event.endpoint: self.now})
            self.table.put_back(self.back, self.now)
        self.near_until = 0.0

    def _choose(self, held: Held) -> tuple[Server | None, float]:
        """The server of least expected delay among those that the gate allows, and that delay."""
        work, kind, best, heard = (
            self.work_of(held),
            held.kind,
            None,
            self.heard_loads(SILENT * PERIOD),
        )
        again, away = (
            bool(held.attempts),
            ZONE_DELAY * self.settings.cross_zone_price * kind.latency_objective,
        )
        for rescue, servers in self._candidates(held.bound_to() if again else None):
            for server in servers:
                if not self._up(server) or (
                    again and not may_send(held, server, self.settings, self.now)
                ):
                    continue
                if (
                    not rescue
                    and (server.out or server.health)
                    and not self._fit(server, kind.name)
                ):
                    continue
                if server.entry.started and not self._warm(server, work):
                    continue
                delay = server.pace * (work + server.backlog(heard) / server.width)
                aims = away * (server.entry.zone != self.settings.zone)
                aims += again * held.tried(server) * kind.latency_objective
                blind = 1.0 if self.small else self.random.expovariate(server.width / WIDTH)
                rank = (blind * delay + aims, self.random.random(), delay, server)
                best = rank if best is None or rank[:2] < best[:2] else best
            if best:
                return best[3], best[2]
        return None, 0.0

    def _candidates(self, bound: state.Group | None = None) -> Iterator[tuple[bool, list[Server]]]:
        """All where gateways know each other's loads.

        Else a few drawn, since many that rank by little of their own would herd, of the hosts that
        this gateway keeps to; then of all; then ejected ones too: with most ejected the rest would
        fall. Of many servers never more than so many are compared.
        """
        servers = self.table.all()
        many = len(servers) > SURVEYED
        if many:
            servers = self.table.all_up() if bound is None else self.table.all_of(bound)
        if not self.small and len(servers) > CANDIDATES:
            near = self._near() if not many or bound is None else servers
            for rescue, some in ((False, near), (False, near), (False, servers), (True, servers)):
                yield rescue, self.random.sample(some, min(len(some), CANDIDATES))
        if len(servers) > SURVEYED:
            servers = self.random.sample(servers, SURVEYED)
        yield False, servers
        yield True, servers

    def _near(self) -> list[Server]:
        """The servers that this gateway keeps to while they serve, of the warm and of the cold."""
        if self.now >= self.near_until:
            self.near_until, told = self.now + PERIOD, self.settings
            rings = [self.table.ring(cold, self.now) for cold in (False, True)]
            near = [
                place
                for ring in rings
                for place in stretch(ring, told.limiter_id, told.limiter_count)
            ]
            self.near = [self.servers[name] for _, name in near]
        return self.near

    def avoided(self) -> set[str]:
        """The listed servers that get nothing new now: draining, or ejected for every class."""
        unfit = {
            name
            for name, s in self.table.up.items()
            if (s.health or s.out) and not self._fit(s, "")
        }
        return unfit | (self.servers.keys() - self.table.up.keys())

    def _up(self, server: Server) -> bool:
        return server.entry.state == "up" and server.entry.name not in self.banned

    def _fit(self, server: Server, kind: str) -> bool:
        """It may fail one class and serve the rest.

        Its term over, it comes back by one attempt at a time.
        """
        known = (
            [server.health[name] for name in ("", kind) if name in server.health]
            if server.health
            else []
        )
        well = all(
            [h.failures < EJECT_AFTER or (self.now >= h.until and not server.out) for h in known]
        )
        return well and not server.silent(self.now, HUSH * self.tight)

    def _warm(self, server: Server, work: float) -> bool:
        """Rule 4.

        A cold server's load stays under its share of what the warm ones are sent, by each gateway
        for itself. What is less than one request is sent by chance, so that the sum over gateways
        holds.
        """
        age, told = max(self.now - server.entry.started, 0.0), self.settings
        if not server.cold(self.now, told):
            return True
        share = (
            told.warm_up_initial_share + (1 - told.warm_up_initial_share) * age / told.warm_up_time
        )
        warm, could = (
            self.table.warm_width(self.now),
            told.overload_window / server.pace / told.limiter_count,
        )
        mean = (
            self.warm_sent.sum(self.now) / max(warm, WIDTH) if warm else could
        )  # all cold: what it could do
        part = min(1.0, min(COLD_MARGIN, COLD_PART * told.overload_multiple) * share)
        room = mean * server.width * part - server.sent.sum(self.now)
        return self.random.random() * work < room

    # Attempts

    def _send(self, held: Held, server: Server) -> None:
        work, number, until = self.work_of(held), len(held.attempts), held.repeat_until()
        backlog = server.backlog(self.heard_loads(SILENT * PERIOD))
        held.attempts.append(Attempt(server, self.now, work, backlog))
        server.since = server.since if server.out else self.now
        server.out[held.event.id, number] = work
        (server.sent if server.cold(self.now, self.settings) else self.warm_sent).add(
            self.now, work
        )
        self.actions.append(api.StartAttempt(held.event.id, server.entry.name, begin_by=until))

    def _leave(self) -> None:
        """What hangs goes elsewhere while that may be in time.

        Not in an overload, in which all wait.
        """
        calm = self.settings.cancellation and self.retries >= 1.0 and self.wait < CALM * self.tight
        for held, number in self.hanging(HANGS, HUSH * self.tight) if calm else ():
            if held.kind.effect == "safe" and self.now + self.stay < held.aim_at:
                self.actions.append(api.CancelAttempt(held.event.id, number))
                if held.attempts[number].server.silent(self.now, HUSH * self.tight):
                    self._failure(held.attempts[number].server, "")

    def _outcome(self, event: api.AttemptEnded) -> None:
        held = self.held.get(event.id)
        if (
            not held
            or not 0 <= event.attempt < len(held.attempts)
            or not held.attempts[event.attempt].out
        ):
            return
        attempt = held.attempts[event.attempt]
        attempt.out, attempt.may_have_run = False, event.status not in NEVER_RAN
        attempt.server.out.pop((event.id, event.attempt), None)
        self._learn(attempt, held, event)
        if event.true_units and held.inside and not held.settled:
            held.settled = True
            period = max(int(held.came // PERIOD), self.period - 1)
            held.account.totals.turn(self.period)
            self._book(held.key, held.account, event.true_units - held.event.units, period)
        held.ended = held.ended or event.final
        if not held.ended and not held.out():
            # What broke off at once cost the servers nothing: another try cannot feed an overload.
            self._proceed(
                held, 1.0 if event.status == "full" else min(event.elapsed / attempt.work, 1.0)
            )
        self.drop(event.id)

    def _proceed(self, held: Held, price: float) -> None:
        """With no attempt out.

        Another where it is legal and may yet be in time, else the final answer.
        """
        server, delay = self._choose(held)
        if server and self.retries >= price and self.now + delay < min(held.aim_at, held.deadline):
            self.retries -= price
            self._send(held, server)
        else:
            held.ended = True
            fail, advice = api.FailRequest(held.event.id), ADVICE * held.kind.latency_objective
            self._refuse(held, advice, "given up") if may_refuse(held) else self.actions.append(
                fail
            )

    def _learn(self, attempt: Attempt, held: Held, event: api.AttemptEnded) -> None:
        kind = held.kind
        server, waited = attempt.server, event.elapsed - attempt.work > self.wait
        server.since = self.now if event.status in ("ok", "error", "full") else server.since
        # Late while others hardly wait is a failure of this server, whatever slowed it; it may die
        # next. In an overload all are late, and ejecting would make it worse.
        slow = event.elapsed > kind.latency_objective and self.wait < PRESSURE * self.tight
        if event.status == "ok":
            self.stay += GAIN * (event.elapsed - self.stay)
            # Bounded steps: a few costly requests must not pass for a slow server; many slow
            # answers must. By faster ones, which follow single answers, a gateway kept to servers
            # that had looked well once.
            base = server.pace * (attempt.work + attempt.backlog / server.width)
            step = GAIN * min(event.elapsed / max(base, self.settings.tick) - 1, 1.0)
            self.learned.learn_work(kind, held.size, 1 + step / 5, 1 + step / 20)
            server.pace *= 1 + step / 2
            for health in [
                server.health[n] for n in ("", kind.name) if n in server.health and not slow
            ]:
                health.failures, health.ejections = health.failures / 2, 0
        if (slow or event.status != "ok") and event.status not in ("cancelled", "never_sent"):
            # What broke or failed at once did not wait: a lost zone or a bad host is no overload.
            waited = waited or event.status in ("full", "timeout")
            name = "" if event.status in (*NEVER_RAN, "timeout") else kind.name
            refused = event.status == "connect_failed" and not self.small
            self._failure(server, name, EJECT_AFTER if refused else 1.0)
            # one that is short must not eject itself so
            if event.status != "full" and not self.small:
                self.note_failed(server.tag, gossip.tag(name) if name else gossip.EVERY)
        # The middle of what answers waited, not the mean: a few slow or failing servers are no
        # overload.
        self.wait = max(0.0, self.wait + GAIN * self.tight * (1 if waited else -1))

    def _failure(self, server: Server, kind: str, weight: float = 1.0) -> None:
        health = server.health_of(kind, self.now, EJECT_AT_MOST)
        if (
            health.count(self.now, EJECT_AT_MOST, weight) >= EJECT_AFTER
            and self.now >= health.until
        ):
            health.eject(self.now, EJECT_FOR, EJECT_AT_MOST)
            if health.ejections == 1:
                self.actions.append(
                    api.WriteLog(f"ejected {server.entry.name}: {kind or 'every class'} fails")
                )
