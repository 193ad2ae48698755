"""What a limiter does that is behind, or that hears of a contradiction.

One rule, from what the view says. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hazelhollow.configuration.known import KnownVersions
from hazelhollow.configuration.versions import Versions

ASK_FOR = 5.0  # seconds in which somebody may give the newer settings
STEADY = 1.0  # seconds for which one that has come back stays, whatever it hears: against flapping
LONGEST_ASK = 600.0  # seconds of asking, as long as pieces come
FLOOR = 0.5  # of the members that are up: so many serve, whoever is behind

State = Literal["current", "asking", "behind", "shut out", "contradiction"]


@dataclass(frozen=True)
class Ruling:
    """`shut`: it takes nothing new.

    `ask`: members that act on the newest order, one of which is to be asked for it.
    """

    state: State
    shut: bool = False
    ask: tuple[int, ...] = ()
    why: str = ""


def _is_behind(one: Versions, order: int, digests: set[str]) -> bool:
    """`order`: the newest in force anywhere.

    Candidates give way to what is in force under the same order.
    """
    if one.candidate and one.order == order:
        return one.settings not in digests
    return one.order < order


class Rule:
    """`me`'s own case, looked at on each beat."""

    def __init__(self, me: int) -> None:
        self.me = me
        # orders that are newer than its own, and when each was heard of
        self._since: dict[int, float] = {}
        self._progress: dict[int, float] = {}  # and when a piece of its document came last
        self._refused: dict[int, str] = {}  # and those that it cannot take, and why
        self._back = -1e9

    def refused(self, order: int, why: str) -> None:
        """The document of that order cannot be taken here by a running limiter."""
        self._refused[order] = why

    def progressed(self, order: int, now: float) -> None:
        """A piece of that order's document has come."""
        self._progress[order] = now

    def _asks_on(self, order: int, now: float) -> bool:
        """Whether it may still be given: for a while at first, and as long as pieces come."""
        since = self._since[order]
        heard = min(self._progress.get(order, since), since + LONGEST_ASK)
        return now - max(since, heard) < ASK_FOR

    def look(self, known: KnownVersions, now: float, fresh: bool = False) -> Ruling:
        """`known`: what the members that are up act on, this one among them.

        `fresh`: it has just begun or woken, and must not act on what was in force then.
        """
        own = known[self.me]
        order, digests = known.newest()
        if not _is_behind(own, order, digests):
            if self._since:
                self._since, self._progress, self._refused, self._back = {}, {}, {}, now
            if len(digests) > 1:
                return Ruling(
                    "contradiction",
                    why=(
                        f"order {order} stands for {len(digests)} settings: "
                        f"{', '.join(sorted(digests))}"
                    ),
                )
            return Ruling("current")
        self._since.setdefault(order, now)
        givers = tuple(
            sorted(n for n, one in known.items() if one.order == order and one.settings in digests)
        )
        if len(digests) > 1:
            return Ruling(
                "contradiction",
                why=f"order {order} stands for {len(digests)} settings; {own.order} goes on here",
            )
        if order not in self._refused and self._asks_on(order, now):
            shut = fresh and self._may_go(known, order)
            return Ruling(
                "asking", shut, givers, why=f"order {order} is out, {own.order} acts here"
            )
        why = self._refused.get(order, f"nobody gave order {order} within {ASK_FOR:g} s")
        if now - self._back < STEADY or not self._may_go(known, order):
            return Ruling("behind", ask=givers, why=f"{why}; it goes on, or too few would serve")
        return Ruling("shut out", True, givers, why)

    def _may_go(self, known: KnownVersions, order: int) -> bool:
        """Whether enough serve without it.

        Those that are not behind and, of those that are, the ones with the smaller numbers, up to
        the floor. All that see the same reckon the same.
        """
        digests = known.newest()[1]
        behind = sorted(n for n, one in known.items() if _is_behind(one, order, digests))
        current, least = len(known) - len(behind), FLOOR * len(known)
        stay = 0
        while current + stay < least:
            stay += 1
        return behind.index(self.me) >= stay
