"""Decides which gossip updates are sent to which limiter, and when.

- A charge of a small set is sent to its members: in a small fleet with the next round, in a large
  fleet at once.
- A charge of a large set is sent to its hubs at once.
- The level of a large set is sent to its members, or to the busiest of them, when it changes their
  decisions. The first hub announces it; another hub does if the first is late.
- The final charges of a period are sent to the same limiters in the rounds after its end.

A limiter sends at most `SENT_SHARE` of the datagrams per second that one limiter can process, so
that the average limiter receives no more than that. Updates beyond the limit wait. Under a byte
budget (`gossip_bytes_per_s`) updates wait in a `GossipOutbox`, and the most useful ones are sent
first.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice, takewhile

from hazelhollow.decisions.actions import SendGossip
from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.gossip.composer import GossipComposer
from hazelhollow.decisions.gossip.outbox import GossipOutbox, PendingUpdate
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.state.accounts import MAX_DIRECT_SET, Account, key_of
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.token_bucket import TokenBucket

ROUNDS_PER_PERIOD = 15
SENT_SHARE = 0.8  # maximum send rate, as a share of the rate that one limiter can process
LEVEL = -1  # stands for a period in updates that announce an account's level
BUSY_SHARE = 0.6  # share of its rate that a customer must use for its level to be announced
# Shares of the burst: a level is announced if it, or the level that members assume, is below the
# first, and the two differ by the second or more.
ANNOUNCED_BELOW = 1.0
ANNOUNCED_CHANGE = 0.6
MIN_LEVEL_SHARE = 0.05  # share of the burst; lower levels do not make an update more useful
MAX_FINAL_CHARGES = 256  # accounts whose final charges are enqueued in one round
MAX_AWAY_PEERS = 64  # away peers whose waiting updates are pruned in one round


class GossipScheduler:
    """Queues updates and sends them.

    Attributes:
        messages: A token bucket of the datagrams that may be sent.
        max_announced_members: The number of members that one hub can notify within a period.
        unsent: The updates that wait for each peer, if there is no byte budget.
        outbox: The updates that wait for each peer under a byte budget; None without one.
        charged_this_period: The names of accounts charged in the current period.
        overdue: Accounts whose level is still to be announced, and since when.
        final_due: Accounts charged in the previous period whose final charges are not sent yet.
    """

    def __init__(
        self,
        context: DecisionContext,
        load: LoadEstimate,
        accounts: CustomerAccounts,
        composer: GossipComposer,
    ) -> None:
        settings = context.settings
        self._context, self._load = context, load
        self._accounts, self._composer = accounts, composer
        rate = SENT_SHARE * settings.gossip_messages_per_s
        self.messages = TokenBucket(rate, rate * PERIOD_S, 0.0, 0.0)
        self.max_announced_members = self.messages.capacity
        peers = range(settings.limiter_count if context.small_fleet and settings.peers else 0)
        self.unsent: dict[int, dict[PendingUpdate, str]] = {
            n: {} for n in peers if n != settings.limiter_id and not settings.gossip_bytes_per_s
        }
        self.outbox = (
            GossipOutbox(settings.gossip_bytes_per_s, self.usefulness)
            if settings.peers and settings.gossip_bytes_per_s
            else None
        )
        self.charged_this_period: dict[str, None] = {}
        self.overdue: dict[str, float] = {}
        self.final_due: Iterator[str] = iter(())
        # Peers that were away at the start of the period.
        self._away_peers: Iterator[int] = iter(())

    # Queueing updates

    def report_charge(self, account: Account, period: int) -> None:
        """Queues a report of this limiter's charges to an account."""
        self.charged_this_period[account.name] = None
        self.enqueue(account.hubs, account.name, period)
        self.schedule_announcement(account)

    def schedule_announcement(self, account: Account) -> None:
        """Lets a hub of a large set announce the level after a charge.

        The first hub announces at once, and so does every hub if one hub cannot notify the complete
        set within a period. The others only mark the announcement as due.
        """
        limiter_id = self._context.settings.limiter_id
        if account.set_size > MAX_DIRECT_SET and limiter_id in account.hubs:
            self.overdue.setdefault(account.name, self._context.now)
            one_hub_suffices = account.set_size <= self.max_announced_members
            if account.hubs[0] == limiter_id or not one_hub_suffices:
                self._announce(account.name)

    def enqueue(self, peers: list[int], name: str, period: int, text: str = "") -> None:
        """Enqueues an account's charges in a period, or the given `text`, for peers.

        In a small fleet they are sent in the next round. In a large fleet they are sent at once,
        since two charges seldom have the same recipients and could not share a datagram.
        """
        context = self._context
        for peer in [peer for peer in peers if peer != context.settings.limiter_id]:
            if self.outbox:
                self._enqueue_under_budget(self.outbox, peer, (name, period), text)
                continue
            self.unsent.setdefault(peer, {})[name, period] = text
            if not context.small_fleet and peer not in context.away:
                self._send_waiting_to(peer)

    def _enqueue_under_budget(
        self, outbox: GossipOutbox, peer: int, update: PendingUpdate, text: str
    ) -> None:
        """Enqueues an update under a byte budget.

        It is sent in the next round, or at once in a large fleet while at least half of the burst
        is left.
        """
        outbox.bytes.refill(self._context.now)
        useful = outbox.put(peer, update, text)
        if useful and not self._context.small_fleet and outbox.has_plenty():
            self._send_most_useful(at_once=True)

    def _announce(self, name: str) -> None:
        """Announces an account's level to its set, or to its busiest members, if this is useful.

        It is useful if the customer is busy and near its limit, and the level that the members
        assume, which is the last announced one, differs enough from the actual level.
        """
        self.overdue.pop(name, None)
        context, account = self._context, self._accounts.by_name.get(name)
        mean_units = self._load.classes.mean_units()
        if not account:
            return
        plan, charges = account.plan, account.charges
        level, assumed = account.quota.refill(context.now), account.announced.refill(context.now)
        span = context.now - (charges.period - 1) * PERIOD_S
        busy = charges.open_total() >= BUSY_SHARE * plan.rate * span
        near_limit = min(level, assumed) < mean_units + ANNOUNCED_BELOW * plan.burst
        min_change = max(mean_units / 2, ANNOUNCED_CHANGE * plan.burst)
        if busy and near_limit and abs(assumed - level) >= min_change:
            account.announced.level, account.has_announcement = level, True
            report = codec.SpentReport(
                key_of(name), codec.name_tag(plan.name), max(plan.burst - level, 0.0)
            )
            members = account.busiest_members(
                context.settings.limiter_count, int(self.messages.capacity), context.random
            )
            self.enqueue(members, name, LEVEL, codec.encode(report))

    # Rounds

    def begin_period(self) -> None:
        """Starts a period: the final charges of the previous one become due."""
        context = self._context
        self.final_due, self.charged_this_period = iter(self.charged_this_period), {}
        self._away_peers = iter([peer for peer in self.unsent if peer in context.away])
        if self.outbox:
            self.outbox.begin_period(context.period)

    def enqueue_final_charges(self) -> None:
        """Enqueues some of the final charges of the previous period.

        Accounts of large sets without an announced level are left out, since no member waits for
        their final charges.
        """
        by_name = self._accounts.by_name
        names = list(islice(self.final_due, MAX_FINAL_CHARGES))
        for account in [by_name[name] for name in names if name in by_name]:
            if account.set_size <= MAX_DIRECT_SET or account.has_announcement:
                self.enqueue(account.hubs, account.name, self._context.period - 1)

    def announce_overdue(self, max_delay: float) -> None:
        """Announces the levels that the first hub has not announced within `max_delay` seconds."""
        now = self._context.now
        overdue = takewhile(lambda item: now - item[1] >= max_delay, self.overdue.items())
        for name in [name for name, _ in overdue]:
            self._announce(name)

    def send_waiting(self) -> None:
        """Sends the waiting updates.

        Under a byte budget the most useful updates are sent first; without one, the peers are
        visited in turn, the one that has waited longest first.
        """
        self._send_most_useful()
        if self.messages.refill(self._context.now) >= 1.0:
            for peer in list(self.unsent):
                if peer not in self._context.away and self.messages.level >= 1.0:
                    self._send_waiting_to(peer)

    def drop_old_updates(self) -> None:
        """Drops outdated updates for some of the peers that are away.

        When they are back, only updates of the current and the previous period are useful to them.
        """
        oldest = self._context.period - 1
        for peer in islice(self._away_peers, MAX_AWAY_PEERS):
            if peer in self.unsent:
                self.unsent[peer] = {
                    update: text
                    for update, text in self.unsent[peer].items()
                    if update[1] >= oldest
                }

    # Sending

    def _send_waiting_to(self, peer: int) -> None:
        """Sends a peer its waiting updates, up to the limit on datagrams.

        In a small fleet a datagram is sent even if no update waits, since it also reports loads.
        Only the first datagram holds loads, so that they do not displace charges.
        """
        small_fleet, composer = self._context.small_fleet, self._composer
        waiting, sent = self.unsent[peer], 0
        header = composer.header()
        while self.messages.refill(self._context.now) >= 1.0 and (
            waiting or (small_fleet and not sent)
        ):
            datagram = composer.fill_datagram(header, waiting)
            if not sent:
                datagram = codec.append_that_fit(datagram, composer.observations(peer))[0]
            sent += 1
            self._send(peer, datagram)
        if not waiting and not small_fleet:
            del self.unsent[peer]

    def _send_most_useful(self, at_once: bool = False) -> None:
        """Sends to the peers with the most useful updates, as far as the byte budget allows.

        With `at_once`, it stops when less than half of the burst is left.
        """
        outbox, composer, context = self.outbox, self._composer, self._context
        while (
            outbox
            and self.messages.refill(context.now) >= 1.0
            and (outbox.has_plenty() or not at_once)
        ):
            peer = outbox.most_urgent_peer(context.now, context.away)
            if peer is None:
                return
            header = composer.header()
            datagram = outbox.fill_datagram(
                peer, header, composer.charge_report, self._units_charged
            )
            if datagram != header:
                datagram = codec.append_that_fit(datagram, composer.observations(peer))[0]
                self._send(peer, datagram)
                outbox.charge_sent(datagram)

    def _send(self, peer: int, datagram: str) -> None:
        self.messages.level -= 1.0
        self._context.actions.append(SendGossip(peer, datagram))

    # Usefulness, under a byte budget

    def usefulness(self, peer: int, update: PendingUpdate) -> float:
        """Returns how useful an update is to a peer: more if the customer is nearer to its limit.

        0 if the peer has been sent the same amount.
        """
        account = self._accounts.by_name.get(update[0])
        if not account or self.unreported(account, peer, update) <= 0:
            return 0.0
        level_share = account.quota.refill(self._context.now) / (account.plan.burst or 1.0)
        return 1.0 / max(level_share, MIN_LEVEL_SHARE)

    def unreported(self, account: Account, peer: int, update: PendingUpdate) -> float:
        """Returns the units charged since the last report to a peer, as a share of the burst.

        1 for an announcement of a level, and 0 for closed periods, whose reports peers ignore.
        """
        period = update[1]
        if period == LEVEL:
            return 1.0
        if period < self._context.period - 1 or self.outbox is None:
            return 0.0
        units = account.charges.own.get(period, 0.0)
        sent = self.outbox.sent_units.get((peer, *update), 0.0)
        return abs(units - sent) / (account.plan.burst or 1.0)

    def _units_charged(self, update: PendingUpdate) -> float:
        account = self._accounts.by_name.get(update[0])
        return account.charges.own.get(update[1], 0.0) if account else 0.0
