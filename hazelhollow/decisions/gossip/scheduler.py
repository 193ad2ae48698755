"""Which updates go to which limiter, and when.

- A charge of a small set goes to its members: in a small fleet with the next round, in a large one
  at once.
- A charge of a large set goes to its hubs, at once.
- The level of a large set goes to its members, or the busiest of them, when it changes what they
  would decide. The first hub announces it; another does if the first is late.
- The final charges of a period go the same way as the charges, in the rounds after its end.

No limiter sends more datagrams than `SENT_SHARE` of what one takes in, so that the mean one hears
no more than that. What finds no room waits. Under a byte budget (`gossip_bytes_per_s`) updates wait
in a `GossipOutbox`, and the most useful ones are sent.
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
SENT_SHARE = 0.8  # of the datagrams that a limiter takes in: what one sends at most
LEVEL = -1  # in place of a period: the level of the account, for its set
BUSY_SHARE = 0.6  # of its rate: a customer that uses less is not announced
# Of the burst: a level is announced while it, or what members believe, is below the first, and
# differs from what they believe by the second.
ANNOUNCED_BELOW = 1.0
ANNOUNCED_CHANGE = 0.6
MIN_LEVEL_SHARE = 0.05  # of the burst: levels below count as this for how useful an update is
MAX_FINAL_CHARGES = 256  # accounts whose final charges are enqueued in one round
MAX_AWAY_PEERS = 64  # peers that are away whose updates are gone through in one round


class GossipScheduler:
    """Keeps the updates that are still to be sent, and sends them.

    Attributes:
        messages: Datagrams that may be sent.
        max_announced_members: Members that one hub can notify within a period.
        unsent: Updates that wait for each peer, where there is no byte budget.
        outbox: The same under a byte budget; None without one.
        charged_this_period: Names of accounts charged in the current period.
        overdue: Accounts that the first hub should have announced, and since when.
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
        # Accounts charged in the period before, whose final charges are due.
        self.final_due: Iterator[str] = iter(())
        # Peers that were away when the period began.
        self._away_peers: Iterator[int] = iter(())

    # What is to be sent

    def report_charge(self, account: Account, period: int) -> None:
        """This limiter charged an account."""
        self.charged_this_period[account.name] = None
        self.enqueue(account.hubs, account.name, period)
        self.charge_known(account)

    def charge_known(self, account: Account) -> None:
        """A charge is known here: a hub of a large set may have to announce the level.

        The first hub does, or each where one can't notify the whole set within a period.
        """
        limiter_id = self._context.settings.limiter_id
        if account.set_size > MAX_DIRECT_SET and limiter_id in account.hubs:
            self.overdue.setdefault(account.name, self._context.now)
            alone = account.set_size <= self.max_announced_members
            if account.hubs[0] == limiter_id or not alone:
                self._announce(account.name)

    def enqueue(self, peers: list[int], name: str, period: int, text: str = "") -> None:
        """Enqueues an account's charges in a period for peers, or, with a `text`, that.

        At the next round; in a large fleet at once, where two charges seldom go the same way.
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
        """Sent in a round; in a large fleet at once while there is plenty of the budget."""
        outbox.bytes.refill(self._context.now)
        useful = outbox.put(peer, update, text)
        if useful and not self._context.small_fleet and outbox.has_plenty():
            self._send_most_useful(at_once=True)

    def _announce(self, name: str) -> None:
        """Announces an account's level to its set, or the busiest of it, if that is of use.

        It is if the customer is busy, near its limit, and the members believe otherwise by enough.
        """
        self.overdue.pop(name, None)
        context, account = self._context, self._accounts.by_name.get(name)
        mean_units = self._load.classes.mean_units()
        if not account:
            return
        plan, charges = account.plan, account.charges
        level, believed = account.quota.refill(context.now), account.announced.refill(context.now)
        span = context.now - (charges.period - 1) * PERIOD_S
        busy = charges.open_total() >= BUSY_SHARE * plan.rate * span
        near = min(level, believed) < mean_units + ANNOUNCED_BELOW * plan.burst
        change = max(mean_units / 2, ANNOUNCED_CHANGE * plan.burst)
        if busy and near and abs(believed - level) >= change:
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
        """A period has begun: final charges of the one before are due."""
        context = self._context
        self.final_due, self.charged_this_period = iter(self.charged_this_period), {}
        self._away_peers = iter([peer for peer in self.unsent if peer in context.away])
        if self.outbox:
            self.outbox.begin_period(context.period)

    def enqueue_final_charges(self) -> None:
        """Enqueues some of the final charges, except of a large set that nothing was announced of.

        Nobody waits for these.
        """
        by_name = self._accounts.by_name
        names = list(islice(self.final_due, MAX_FINAL_CHARGES))
        for account in [by_name[name] for name in names if name in by_name]:
            if account.set_size <= MAX_DIRECT_SET or account.has_announcement:
                self.enqueue(account.hubs, account.name, self._context.period - 1)

    def announce_overdue(self, max_delay: float) -> None:
        """Announces what the first hub should have announced for `max_delay` seconds."""
        now = self._context.now
        overdue = takewhile(lambda item: now - item[1] >= max_delay, self.overdue.items())
        for name in [name for name, _ in overdue]:
            self._announce(name)

    def send_waiting(self) -> None:
        """Sends what waits: the most useful, and then each peer's in turn, the longest first."""
        self._send_most_useful()
        if self.messages.refill(self._context.now) >= 1.0:
            for peer in list(self.unsent):
                if peer not in self._context.away and self.messages.level >= 1.0:
                    self._send_waiting_to(peer)

    def drop_old_updates(self) -> None:
        """Drops updates for some peers that are away.

        What is of use to them when they are back is of the current period or the last.
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
        """Sends a peer what waits for it, as far as there is room.

        In a small fleet a datagram goes out even if nothing waits, for the loads in it; these are
        in the first datagram only, so that they don't crowd out charges.
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
        """Under a byte budget: sends to the peers that miss most, as far as the budget goes.

        `at_once`: only as long as there is plenty of it.
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
        """Of telling a peer an update: the nearer the customer is to its limit, the more.

        0 if all of it has been sent to the peer.
        """
        account = self._accounts.by_name.get(update[0])
        if not account or self.unreported(account, peer, update) <= 0:
            return 0.0
        left = account.quota.refill(self._context.now) / (account.plan.burst or 1.0)
        return 1.0 / max(left, MIN_LEVEL_SHARE)

    def unreported(self, account: Account, peer: int, update: PendingUpdate) -> float:
        """The share of the burst that was charged since the last report to a peer; 1 for a level.

        0 for periods that nobody takes reports of any more.
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
