"""Whether this limiter reaches the store, who else does, and when it may use its even share.

No I/O, no clock. A limiter shows that it is present by heartbeats.

| state | may lease | ends when | then |
| --- | --- | --- | --- |
| present: knows who is present | yes | the answer is too old, or the connection ended | unseen |
| unseen: does not know that | no | a heartbeat is answered | present |
| | | `isolated_at`: nobody counts it as present any more | isolated |
| isolated: uses its even share | no | it writes a heartbeat | unseen |

The even share is let go of before that heartbeat is written: at no moment does a limiter have both.
"""

from __future__ import annotations

import math

from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.scripts import PresenceAnswer, milliseconds, presence_key

CLOCK_DIFFERENCE_S = 0.1  # by which limiters' clocks may differ
ISOLATION_MARGIN_S = 0.1  # beside all that is added up before a limiter is isolated
VIEW_MARGIN_S = 0.05  # for which a view lasts beyond the heartbeat that should have renewed it
CLOCK_JUMP_S = 0.5  # a change of the store's clock against ours beyond this is no drift


class Presence:
    """One limiter's part in the set of those that reach the store. `limiter` is its number.

    Times are in Unix seconds, by this limiter's clock if nothing else is said.
    """

    def __init__(self, limiter: int, store_settings: StoreSettings, now: float) -> None:
        self.limiter, self.store_settings = limiter, store_settings
        self.connected = False
        self.clock_offset = 0.0  # seconds by which the store's clock is ahead of ours
        self.store_started_at = 0.0  # by the store's clock
        self.view: frozenset[int] = frozenset()  # the limiters present
        self.view_at = -math.inf
        # A process before this one may have written a heartbeat until now.
        self.last_heartbeat_at = now
        self.next_heartbeat_at = now
        self.isolated = False
        self.isolations = 0  # how many times it was

    def store_connected(self, store_started_at: float, store_now: float, now: float) -> None:
        """The store answers. By its clock, its process began at the first and it is the second."""
        self.connected, self.next_heartbeat_at = True, now
        self.clock_offset = store_now - now
        self.store_started_at = min(store_started_at, store_now)

    def may_lease(self, now: float) -> bool:
        """Whether it knows who is present: the shares of absent limiters must be left to them."""
        return self.connected and not self.isolated and now - self.view_at <= self.view_lifetime()

    def view_lifetime(self) -> float:
        """Seconds for which an answer about who is present is good."""
        return (
            self.store_settings.presence.every
            + 2 * self.store_settings.call_timeout
            + VIEW_MARGIN_S
        )

    def call_deadline(self, now: float) -> str:
        """In milliseconds of the store's clock: after this a call has been given up for certain."""
        return milliseconds(now + self.clock_offset + self.store_settings.call_timeout)

    def isolated_at(self) -> float:
        """From when the even share may be used.

        Then nobody counts this limiter as present any more, and every lease that was taken while
        somebody did has ended.
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

        It ends isolation: fallbacks must be dropped before it is written.
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
        """Brings the next heartbeat forward; its answer tells what the store's clock is now."""
        self.next_heartbeat_at = min(self.next_heartbeat_at, now)

    def answered(self, call: ScriptCall, answer: PresenceAnswer, now: float) -> bool:
        """Takes the answer to a heartbeat; False where its turn came too late for it to count."""
        offset = answer.store_now - (call.sent_at + now) / 2
        if offset < self.clock_offset - CLOCK_JUMP_S:  # set back, while the process went on
            self.store_started_at += offset - self.clock_offset
        self.clock_offset = offset
        if answer.present is None:
            self.next_heartbeat_at = now + self.store_settings.call_timeout
            return False
        self.view, self.view_at = answer.present, call.sent_at
        return True
