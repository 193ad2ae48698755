"""Tracks which accounts of a catch-up are still to be requested.

This module does no I/O and reads no clock.

The source lists its accounts; a position is an index in that list. Positions are requested window
by window, and then those that did not arrive.
"""

from __future__ import annotations

from typing import NamedTuple

WINDOW = 40  # accounts requested at once
MAX_GAP_REQUESTS = 16  # gaps requested at once, after the last window


class PositionRange(NamedTuple):
    """`length` positions from `first` on."""

    first: int
    length: int


class Transfer:
    """One catch-up from the member `source`, identified by `number`."""

    def __init__(self, source: int, number: int, now: float) -> None:
        self.source, self.number = source, number
        self.total = -1  # accounts in the source's list; negative while it is not known
        # The time of the last piece or repeated request, and the number of repeats since a piece.
        self.waiting_since, self.attempts = now, 0
        self._next_position = 0  # the first position that has not been requested
        self._missing: dict[int, None] = {}  # requested and not received, in order
        self._awaited: set[int] = set()  # positions of the latest requests that have not arrived
        self._last_requested = 0  # number of positions that the latest requests asked for

    def receive(self, first: int, count: int) -> set[int]:
        """Notes that `count` positions from `first` on arrived and returns those that are new."""
        new = {position for position in range(first, first + count) if position in self._missing}
        for position in new:
            del self._missing[position]
        self._awaited -= new
        return new

    def set_total(self, total: int) -> None:
        """Stores the length of the source's list as first reported; later reports are ignored."""
        if self.total < 0:
            self.total = total
            for position in [position for position in self._missing if position >= total]:
                del self._missing[position]
                self._awaited.discard(position)
            self._next_position = min(self._next_position, total)

    def next_requests(self) -> list[PositionRange]:
        """Returns the requests to be sent now."""
        requests = self._next_window() if self._has_more_windows() else self._gaps()
        self._last_requested = len(self._awaited)
        return requests

    def is_complete(self) -> bool:
        """Whether all accounts have arrived."""
        return 0 <= self.total <= self._next_position and not self._missing

    def is_request_due(self) -> bool:
        """Whether at least half of the latest requests' positions have arrived."""
        return 2 * len(self._awaited) <= self._last_requested

    def _has_more_windows(self) -> bool:
        return self.total < 0 or self._next_position < self.total

    def _next_window(self) -> list[PositionRange]:
        """Returns the request for the next window, or again for the last if none of it arrived."""
        if self.total < 0 or len(self._awaited) < WINDOW:
            self._open_window()
        first = min(self._awaited)
        return [PositionRange(first, max(self._awaited) + 1 - first)]

    def _open_window(self) -> None:
        if self.total < 0 and self._next_position:
            return  # nothing of the first window has arrived
        end = self._next_position + WINDOW
        if self.total >= 0:
            end = min(end, self.total)
        positions = range(self._next_position, end)
        self._awaited = set(positions)
        self._missing.update(dict.fromkeys(positions))
        self._next_position = end

    def _gaps(self) -> list[PositionRange]:
        gaps = list[PositionRange]()
        for position in self._missing:
            if gaps and position == sum(gaps[-1]) and gaps[-1].length < WINDOW:
                gaps[-1] = PositionRange(gaps[-1].first, gaps[-1].length + 1)
            elif len(gaps) == MAX_GAP_REQUESTS:
                break
            else:
                gaps.append(PositionRange(position, 1))
        self._awaited = {
            position for gap in gaps for position in range(gap.first, gap.first + gap.length)
        }
        return gaps
