"""Forty real decision modules in one process.

Virtual time, a seed, datagrams that come late or never.

Customers arrive as at a month's end: most use a part of their quota, some nearly all of it, some
ask several times as much for seconds or all day. What all gateways together do is held against one
store for each customer, which sees every try at once: the share of the worth that is let in, what
goes beyond quotas, and what is refused with room.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.state.token_bucket import TokenBucket

CLASSES = (
    api.RequestClass(
        "read", latency_objective=5.0, deadline=15.0, priority_weight=2.0, effect="safe"
    ),
    api.RequestClass(
        "check", latency_objective=3.0, deadline=8.0, priority_weight=1.0, effect="safe"
    ),
    api.RequestClass(
        "order",
        latency_objective=4.0,
        deadline=15.0,
        priority_weight=2.0,
        effect="keyed",
        dedup_scope="cell",
        dedup_window=30.0,
    ),
)
PLANS = (
    api.Plan("small", rate=1.0, burst=12.0, excess_cost=0.6),
    api.Plan("middle", rate=3.0, burst=14.0, excess_cost=1.2),
    api.Plan(
        "wide",
        rate=9.0,
        burst=24.0,
        excess_cost=1.2,
        open_limit=8,
        ceiling_rate=18.0,
        ceiling_burst=50.0,
    ),
    api.Plan("partner", rate=18.0, burst=36.0, excess_cost=1.0),
)
PRICES, SHARES = (0.55, 0.8, 1.3, 1.8), (0.2, 0.37, 0.22, 0.21)
UNITS = (1, 1, 1, 2, 2, 2, 3, 3, 4, 6)
MEAN_UNITS = sum(UNITS) / len(UNITS)


@dataclass
class Customer:
    name: str
    plan: int
    first: int
    spread: int
    use: float  # of the rate
    spikes: tuple[float, float, float] = (0.0, 1.0, 0.0)  # first, every, for how long
    weights: list[float] = field(default_factory=list)

    def rate(self, now: float) -> float:
        """Requests a second."""
        first, every, span = self.spikes
        spiking = span > 0 and (now - first) % every < span
        return PLANS[self.plan].rate * (6.0 if spiking else self.use) / MEAN_UNITS


@dataclass
class Count:
    """Over the whole fleet. Worth is units times the plan's price."""

    offered: float = 0.0
    served: float = 0.0
    over: float = 0.0  # the price of tries beyond quotas
    tries: int = 0
    sent: int = 0
    with_room: Counter[str] = field(default_factory=Counter)  # refused, by reason
    refused: Counter[str] = field(default_factory=Counter)
    by_plan: Counter[tuple[str, str]] = field(default_factory=Counter)
    messages: int = 0
    message_bytes: int = 0
    lowest_ceiling: float = 0.0
    lost_in_room: int = 0  # messages beyond what a gateway takes in
    half_unused: Counter[str] = field(
        default_factory=Counter
    )  # refused with half of the quota unused, by reason
    seconds: dict[tuple[str, int], float] = field(
        default_factory=lambda: defaultdict(float)
    )  # worth by second


class Fleet:
    """`limiter_count` of them and their customers; `play` runs them for so many seconds."""

    def __init__(
        self,
        seed: int,
        limiter_count: int = 40,
        load: float = 450.0,
        make: Callable[..., DecisionEngine] = DecisionEngine,
        hosts: int = 60,
        stay: float = 0.5,
        loss: float = 0.05,
        intake: int = 60,
        **changes: Any,
    ) -> None:
        self.random, self.number, self.intake = random.Random(seed), limiter_count, intake
        self.stay, self.loss, self.count = stay, loss, Count()
        self.now = self.start = 1_000_000.0 + self.random.random()
        self.changes, self.make = changes, make
        self.hosts = [
            api.EndpointEntry(f"s{i}", "up", "abc"[i % 3], i // 4, 1.0) for i in range(hosts)
        ]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = 0
        self.gateways = [self._gateway(i, self.start) for i in range(limiter_count)]
        self.heard: list[list[float]] = [[] for _ in range(limiter_count)]
        self.customers = list(self._customers(load))
        self.truth = {
            c.name: TokenBucket(
                PLANS[c.plan].rate, PLANS[c.plan].burst, PLANS[c.plan].burst, self.start
            )
            for c in self.customers
        }
        self.ideal = {
            c.name: TokenBucket(
                PLANS[c.plan].rate, PLANS[c.plan].burst, PLANS[c.plan].burst, self.start
            )
            for c in self.customers
        }
        self.ceilings = {
            c.name: TokenBucket(
                PLANS[c.plan].ceiling_rate,
                PLANS[c.plan].ceiling_burst,
                PLANS[c.plan].ceiling_burst,
                self.start,
            )
            for c in self.customers
        }
        self.out: Counter[str] = Counter()
        self.owners: dict[
            str, tuple[Customer, int, int, bool]
        ] = {}  # by request: who, units, tries left, inside

    def _gateway(self, me: int, now: float) -> DecisionEngine:
        values: dict[str, Any] = dict(
            limiter_id=me,
            limiter_count=self.number,
            classes=CLASSES,
            plans=PLANS,
            zone="abc"[me % 3],
            max_units=6.0,
            max_attempts=6,
            peers=True,
            gossip_messages_per_s=float(self.intake),
            max_retry_after=1.0,
            warm_up_time=10.0,
            warm_up_initial_share=0.35,
            overload_multiple=2.0,
            overload_window=3.0,
            cancellation=True,
            hedging=True,
        )
        gateway = self.make(
            api.Settings(**{**values, **self.changes}), seed=self.random.randrange(1 << 30)
        )
        self.at(
            now + self.random.uniform(0.0, 0.1),
            lambda: self.tell(me, api.EndpointsUpdated("cached", tuple(self.hosts))),
        )
        return gateway

    def _customers(self, load: float) -> Iterator[Customer]:
        """Until the units asked for inside quotas come to `load` a second."""
        chance = self.random
        for plan, share in enumerate(SHARES):
            asked = 0.0
            while asked < share * load:
                way = chance.choices(("calm", "full", "heavy", "spiky"), (0.61, 0.14, 0.09, 0.16))[
                    0
                ]
                use = {"calm": 0.28, "full": 0.97, "heavy": 3.9, "spiky": 0.28}[way]
                spikes = (
                    (chance.uniform(0, 20), chance.uniform(14, 24), chance.uniform(0.8, 4.9))
                    if way == "spiky"
                    else (0.0, 1.0, 0.0)
                )
                spread = chance.randint(self.number // 2, self.number)
                # so few gateways that a share holds two of the largest requests
                if PLANS[plan].ceiling_rate:
                    spread = min(spread, int(PLANS[plan].ceiling_burst / (2 * max(UNITS))))
                one = Customer(
                    f"{chance.getrandbits(33):016x}",
                    plan,
                    chance.randrange(self.number),
                    spread,
                    use * chance.uniform(0.85, 1.15),
                    spikes,
                )
                skew = chance.uniform(0.21, 1.2)
                one.weights = [(i + 1) ** -skew for i in range(spread)]
                chance.shuffle(one.weights)
                asked += PLANS[plan].rate * min(1.0, use)
                yield one

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.events, (when, self.serial, call))

    def play(self, seconds: float) -> Count:
        end = self.now + seconds
        for customer in self.customers:
            self._arrive(customer, end)
        while self.events and self.events[0][0] < end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end
        return self.count

    def _arrive(self, customer: Customer, end: float) -> None:
        """Thinned arrivals: the highest rate draws, the present one keeps."""
        top = max(
            customer.rate(customer.spikes[0] + self.start),
            PLANS[customer.plan].rate * customer.use / MEAN_UNITS,
        )
        top = max(top, PLANS[customer.plan].rate * 6.0 / MEAN_UNITS if customer.spikes[2] else 0.0)

        def come() -> None:
            if self.random.random() * top < customer.rate(self.now - self.start):
                units = self.random.choice(UNITS)
                store = self.ideal[customer.name]
                if store.refill(self.now) >= units:
                    store.level -= units
                    self.count.offered += units * PRICES[customer.plan]
                    self.count.seconds["offered", int(self.now - self.start)] += (
                        units * PRICES[customer.plan]
                    )
                    self.count.by_plan[PLANS[customer.plan].name, "offered"] += units
                self._ask(customer, units, 2)
            self.at(self.now + self.random.expovariate(top), come)

        self.at(self.now + self.random.expovariate(top), come)

    def _ask(self, customer: Customer, units: int, left: int) -> None:
        me = (
            customer.first + self.random.choices(range(customer.spread), customer.weights)[0]
        ) % self.number
        self.serial += 1
        name, kind = f"r{self.serial}", self.random.choices(CLASSES, (0.47, 0.44, 0.09))[0]
        self.owners[name] = (customer, units, left, False)
        self.count.tries += 1
        self.tell(
            me,
            api.RequestArrived(
                name,
                kind.name,
                PLANS[customer.plan].name,
                customer.name,
                float(units),
                kind.deadline,
                customer.first,
                customer.spread,
            ),
        )

    def tell(self, me: int, event: api.Event) -> None:
        for action in self.gateways[me].handle(event, self.now):
            self._act(me, action)

    def _act(self, me: int, action: api.Action) -> None:
        if isinstance(action, api.SendGossip):
            self._post(me, action)
        elif isinstance(action, api.SetTimer):
            gateway = self.gateways[me]
            self.at(
                self.now + action.delay,
                lambda: self.tell(me, api.TimerFired("beat"))
                if self.gateways[me] is gateway
                else None,
            )
        elif isinstance(action, api.StartAttempt):
            self._send(me, action)
        elif isinstance(action, api.RejectRequest):
            self._refused(action)

    def _post(self, me: int, action: api.SendGossip) -> None:
        self.count.messages += 1
        self.count.message_bytes += len(action.text)
        if self.random.random() < self.loss:
            return

        def arrive() -> None:
            self.heard[action.limiter_id] = [
                t for t in self.heard[action.limiter_id] if t > self.now - 1.0
            ]
            if len(self.heard[action.limiter_id]) >= self.intake:
                self.count.lost_in_room += 1
                return
            self.heard[action.limiter_id].append(self.now)
            self.tell(action.limiter_id, api.GossipReceived(me, action.text))

        self.at(self.now + self.random.uniform(0.0019, 0.03), arrive)

    def _send(self, me: int, action: api.StartAttempt) -> None:
        if action.id not in self.owners:
            return
        customer, units, left, inside = self.owners[action.id]
        plan, store = PLANS[customer.plan], self.truth[customer.name]
        self.count.sent += 1
        inside = store.refill(self.now) >= units and not (
            plan.open_limit and self.out[customer.name] >= plan.open_limit
        )
        if inside:
            store.level -= units
        else:
            self.count.over += units * PRICES[customer.plan] * plan.excess_cost
            self.count.by_plan[plan.name, "over" if store.level < units else "over open"] += units
        if plan.ceiling_rate:
            ceiling = self.ceilings[customer.name]
            ceiling.refill(self.now)
            ceiling.level -= units
            self.count.lowest_ceiling = min(self.count.lowest_ceiling, ceiling.level)
        self.out[customer.name] += 1
        status, elapsed = self.answer(action.endpoint, units)
        gateway = self.gateways[me]

        def done() -> None:
            self.out[customer.name] -= 1
            self.owners.pop(action.id, None)
            if inside and status == "ok":
                self.count.served += units * PRICES[customer.plan]
                self.count.seconds["served", int(self.now - self.start)] += (
                    units * PRICES[customer.plan]
                )
                self.count.by_plan[plan.name, "served"] += units
            if self.gateways[me] is gateway:
                self.tell(
                    me,
                    api.AttemptEnded(
                        action.id, 0, action.endpoint, status, elapsed, final=status == "ok"
                    ),
                )

        self.at(self.now + elapsed, done)

    def answer(self, server: str, units: int) -> tuple[api.Status, float]:
        """What becomes of an attempt, and after how many seconds."""
        return "ok", self.random.expovariate(1 / (self.stay * units / MEAN_UNITS)) + 0.005

    def _refused(self, action: api.RejectRequest) -> None:
        if action.id not in self.owners:
            return
        customer, units, left, _ = self.owners.pop(action.id)
        self.count.refused[action.reason] += 1
        store, plan = self.truth[customer.name], PLANS[customer.plan]
        room = store.refill(self.now) >= units and not (
            plan.open_limit and self.out[customer.name] >= plan.open_limit
        )
        if room:
            self.count.with_room[action.reason] += 1
            if store.level >= plan.burst / 2:
                self.count.half_unused[f"{plan.name} {action.reason}"] += 1
            self.count.by_plan[plan.name, "refused with room"] += units
        if left:
            self.at(
                self.now + self.random.uniform(0.03, 0.24),
                lambda: self._ask(customer, units, left - 1),
            )
