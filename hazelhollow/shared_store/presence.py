"""Whether this limiter can reach the store, who else can.

And when it may fall back to its even share. No I/O, no clock.

A limiter shows that it is present by a heartbeat. While it cannot, it waits until nobody counts it
as present any more and every lease from before has ended, and only then is isolated, which gives it
its even share of each pool.
"""

from __future__ import annotations

import math

from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.scripts import PresenceAnswer, milliseconds, presence_key

CLOCK_DIFFERENCE = 0.1  # seconds by which limiters' clocks may differ
ISOLATION_MARGIN = 0.1  # seconds beside all that is added up, before a limiter is isolated
# seconds for which a view lasts beyond the heartbeat that should have renewed it
VIEW_MARGIN = 0.05
CLOCK_JUMP = 0.5  # seconds of change in the store's clock against ours that is no drift


class Presence:
    """One limiter's part in the set of those that reach the store. `limiter` is its number."""

    def __init__(self, limiter: int, store_settings: StoreSettings, now: float) -> None:
        self.limiter, self.store_settings = limiter, store_settings
        self.connected = False
        self.clock_offset = 0.0  # seconds by which the store's clock is ahead of ours
        self.store_started_at = 0.0  # by the store's clock
        self.view: frozenset[int] = frozenset()  # the limiters present
        self.view_at = -math.inf
        self.last_heartbeat_at = now  # a process before this one may have written one until now
        self.next_heartbeat_at = now
        self.isolated = False
        self.isolations = 0  # how many times it was

    def store_connected(self, store_started_at: float, store_now: float, now: float) -> None:
        """The store answers.

        The first two are of its clock: when its process began, and what it is now.
        """
        self.connected, self.next_heartbeat_at = True, now
        self.clock_offset = store_now - now
        self.store_started_at = min(store_started_at, store_now)

    def may_lease(self, now: float) -> bool:
        """Only who knows who is present may take a lease: the absent ones' shares are theirs."""
        return self.connected and not self.isolated and now - self.view_at <= self.view_lifetime()

    def view_lifetime(self) -> float:
        """Seconds for which a limiter goes by what it was told of who is present."""
        return (
            self.store_settings.presence.every + 2 * self.store_settings.call_timeout + VIEW_MARGIN
        )

    def call_deadline(self, now: float) -> str:
        """Of the store's clock, in milliseconds.

        A call that has its turn later than this has been given up for certain.
        """
        return milliseconds(now + self.clock_offset + self.store_settings.call_timeout)

    def isolated_at(self) -> float:
        """From when the even share may be had.

        Nobody counts this limiter as present any more, and every lease that was taken while
        somebody did has ended.
        """
        settings = self.store_settings
        return (
            self.last_heartbeat_at
            + settings.presence.term
            + CLOCK_DIFFERENCE
            + self.view_lifetime()
            + 2 * settings.call_timeout
            + settings.lease.term
            + ISOLATION_MARGIN
        )

    def becomes_isolated(self, now: float) -> bool:
        """Whether isolation begins now."""
        if self.isolated or now < self.isolated_at():
            return False
        self.isolated = True
        self.isolations += 1
        return True

    def heartbeat_due(self, now: float) -> bool:
        """Whether a heartbeat should be written now."""
        return self.connected and now >= self.next_heartbeat_at

    def next_due(self, now: float) -> float:
        """When to look again whether a heartbeat is due."""
        return (
            self.next_heartbeat_at if self.connected else now + self.store_settings.presence.every
        )

    def heartbeat(self, now: float) -> ScriptCall:
        """The call that shows this limiter as present.

        It ends isolation: fallbacks must be let go of before it is written.
        """
        settings = self.store_settings
        self.next_heartbeat_at, self.last_heartbeat_at = now + settings.presence.every, now
        self.isolated = False
        args = [
            str(self.limiter),
            milliseconds(now),
            self.call_deadline(now),
            milliseconds(settings.presence.term),
            milliseconds(CLOCK_DIFFERENCE),
        ]
        return ScriptCall("presence", presence_key(settings.prefix), args, now)

    def heartbeat_soon(self, now: float) -> None:
        """Brings the next heartbeat forward; its answer tells what the store's clock is now."""
        self.next_heartbeat_at = min(self.next_heartbeat_at, now)

    def answered(self, call: ScriptCall, answer: PresenceAnswer, now: float) -> bool:
        """Takes the answer to a heartbeat.

        False where that had its turn too late and shows nothing.
        """
        offset = answer.store_now - (call.sent_at + now) / 2
        # set back, by a process that did not begin anew
        if offset < self.clock_offset - CLOCK_JUMP:
            self.store_started_at += offset - self.clock_offset
        self.clock_offset = offset
        if answer.present is None:
            self.next_heartbeat_at = now + self.store_settings.call_timeout
            return False
        self.view, self.view_at = answer.present, call.sent_at
        return True
