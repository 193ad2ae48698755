"""State shared by all rules of one engine: settings, current time, membership and actions."""

from __future__ import annotations

from random import Random

from hazelhollow.decisions.actions import Action
from hazelhollow.decisions.events import MembershipChanged
from hazelhollow.decisions.settings import RequestClass, Settings
from hazelhollow.decisions.state.accounts import MAX_DIRECT_SET

PERIOD_S = 1.0  # charges are accumulated and reported per period of this length


class DecisionContext:
    """One engine's settings and the context of the event being handled.

    The engine sets `now`, `period` and `actions` before it calls a handler; rules read them and
    append to `actions`. Nothing here is shared with another engine.

    Attributes:
        settings: The settings in force.
        random: The engine's only random number generator.
        classes: The request classes in force, by name.
        plans: The plans, by name; they don't change while the limiter runs.
        small_fleet: Whether the fleet is small enough for limiters to exchange their loads.
        now: The time of the event.
        period: The number of the period that contains `now`.
        actions: The actions produced by the event so far.
        started_at: The time of the first event.
        incarnation: The name of this run; "" before the first event.
        may_admit: Whether this limiter may take new work.
        away: Members that get no messages: they are not up, or can't receive from this limiter.
        unreachable: Members that this limiter can't receive from but that may still be admitting.
        counts_replicated: Whether charges of closed periods are replicated as counts.
    """

    __slots__ = (
        "settings",
        "random",
        "classes",
        "plans",
        "small_fleet",
        "now",
        "period",
        "actions",
        "started_at",
        "incarnation",
        "may_admit",
        "away",
        "unreachable",
        "counts_replicated",
    )

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings, self.random = settings, random
        self.classes: dict[str, RequestClass] = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.small_fleet = settings.limiter_count <= MAX_DIRECT_SET
        self.now, self.period = 0.0, 0
        self.actions: list[Action] = []
        self.started_at, self.incarnation = 0.0, ""
        self.may_admit, self.counts_replicated = True, False
        self.away = self.unreachable = frozenset[int]()

    def reconfigure(self, settings: Settings) -> None:
        """Applies new settings; requests in flight keep their class."""
        self.settings, self.classes = settings, {c.name: c for c in settings.classes}

    def apply_membership(self, event: MembershipChanged) -> None:
        """Applies a membership change."""
        all_limiters = frozenset(range(self.settings.limiter_count))
        self.may_admit, self.counts_replicated = event.may_admit, event.counts_replicated
        self.away = all_limiters.difference(event.present).union(event.cannot_hear_us)
        self.unreachable = frozenset(event.unreachable_but_serving)
