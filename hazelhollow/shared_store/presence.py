"""Tracks which limiters reach the store, and when this one may use its even share of the pools.

No I/O, no clock. A limiter announces its presence in the store by heartbeats.

| state | may lease | ends when | next state |
| --- | --- | --- | --- |
| present: has a current view | yes | the view is too old, or the connection ended | unseen |
| unseen: has no current view | no | a heartbeat is answered | present |
| | | `isolated_at`: no limiter counts it as present any more | isolated |
| isolated: uses its even share | no | it writes a heartbeat | unseen |

The view is the set of limiters present. An isolated limiter drops its even share before it writes a
heartbeat, so that it never has both its even share and access to the pools.
"""

from __future__ import annotations

import math

from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.scripts import PresenceAnswer, milliseconds, presence_key

CLOCK_DIFFERENCE_S = 0.1  # maximum difference between limiters' clocks
ISOLATION_MARGIN_S = 0.1  # safety margin added to the wait before isolation
VIEW_MARGIN_S = 0.05  # lifetime of a view beyond the heartbeat that should have renewed it
CLOCK_JUMP_S = 0.5  # a larger change of the store's clock offset is a jump, not drift


class Presence:
    """One limiter's presence in the store and its view of the others. `limiter` is its number.

    Times are in Unix seconds, by this limiter's clock unless stated otherwise.
    """

    def __init__(self, limiter: int, store_settings: StoreSettings, now: float) -> None:
        self.limiter, self.store_settings = limiter, store_settings
        self.connected = False
        self.clock_offset = 0.0  # seconds by which the store's clock is ahead of this limiter's
        self.store_started_at = 0.0  # by the store's clock
        self.view: frozenset[int] = frozenset()  # the limiters present
        self.view_at = -math.inf
        # An earlier process of this limiter may have written a heartbeat up to now.
        self.last_heartbeat_at = now
        self.next_heartbeat_at = now
        self.isolated = False
        self.isolations = 0  # number of isolation periods so far

    def store_connected(self, store_started_at: float, store_now: float, now: float) -> None:
        """Handles an established connection.

        `store_started_at` is the start time of the store's process, and `store_now` is the current
        time, both by the store's clock.
        """
        self.connected, self.next_heartbeat_at = True, now
        self.clock_offset = store_now - now
        self.store_started_at = min(store_started_at, store_now)

    def may_lease(self, now: float) -> bool:
        """Whether this limiter has a current view of the limiters present.

        Without one it must not lease, since the shares of absent limiters must be left to them.
        """
        return self.connected and not self.isolated and now - self.view_at <= self.view_lifetime()

    def view_lifetime(self) -> float:
        """Returns the seconds for which a view of the limiters present is valid."""
        return (
            self.store_settings.presence.every
            + 2 * self.store_settings.call_timeout
            + VIEW_MARGIN_S
        )

    def call_deadline(self, now: float) -> str:
        """Returns the time, in milliseconds of the store's clock, at which a call times out.

        A call that the store runs later than this must have no effect.
        """
        return milliseconds(now + self.clock_offset + self.store_settings.call_timeout)

    def isolated_at(self) -> float:
        """Returns the time from which the even share may be used.

        By then no limiter counts this one as present any more, and every lease that was granted
        while one did has ended.
        """
        settings = self.store_settings
        return (
            self.last_heartbeat_at
            + settings.presence.term
            + CLOCK_DIFFERENCE_S
            + self.view_lifetime()
            + 2 * settings.call_timeout
            + settings.lease.term
            + ISOLATION_MARGIN_S
        )

    def becomes_isolated(self, now: float) -> bool:
        """Enters isolation if it is due; returns whether it begins now."""
        if self.isolated or now < self.isolated_at():
            return False
        self.isolated = True
        self.isolations += 1
        return True

    def heartbeat_due(self, now: float) -> bool:
        """Whether a heartbeat should be written now."""
        return self.connected and now >= self.next_heartbeat_at

    def next_due(self, now: float) -> float:
        """Returns when to check again whether a heartbeat is due."""
        return (
            self.next_heartbeat_at if self.connected else now + self.store_settings.presence.every
        )

    def heartbeat(self, now: float) -> ScriptCall:
        """Returns the call that marks this limiter as present.

        It ends isolation, so the fallbacks must be dropped before it is written.
        """
        settings = self.store_settings
        self.next_heartbeat_at, self.last_heartbeat_at = now + settings.presence.every, now
        self.isolated = False
        args = [
            str(self.limiter),
            milliseconds(now),
            self.call_deadline(now),
            milliseconds(settings.presence.term),
            milliseconds(CLOCK_DIFFERENCE_S),
        ]
        return ScriptCall("presence", presence_key(settings.prefix), args, now)

    def heartbeat_soon(self, now: float) -> None:
        """Schedules a heartbeat now; its answer contains the store's current time."""
        self.next_heartbeat_at = min(self.next_heartbeat_at, now)

    def answered(self, call: ScriptCall, answer: PresenceAnswer, now: float) -> bool:
        """Handles the answer to a heartbeat; False if the store ran it too late to count it."""
        offset = answer.store_now - (call.sent_at + now) / 2
        # The store's clock was set back while its process kept running.
        if offset < self.clock_offset - CLOCK_JUMP_S:
            self.store_started_at += offset - self.clock_offset
        self.clock_offset = offset
        if answer.present is None:
            self.next_heartbeat_at = now + self.store_settings.call_timeout
            return False
        self.view, self.view_at = answer.present, call.sent_at
        return True
