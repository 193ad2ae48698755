"""Which accounts of a catch-up are still to be asked for. No I/O, no clock.

The sender numbers the accounts of its list; a place is such a number. Places are asked for a window
after another, and then those that did not arrive.
"""

from __future__ import annotations

from typing import NamedTuple

WINDOW = 40  # accounts asked for at once
MAX_GAP_REQUESTS = 16  # gaps asked for at once at the end


class PlaceRange(NamedTuple):
    """`length` places from `first` on."""

    first: int
    length: int


class Transfer:
    """One catch-up from the member `source`, under the transfer's `number`."""

    def __init__(self, source: int, number: int, now: float) -> None:
        self.source, self.number = source, number
        self.total = -1  # accounts in the source's list; below 0: not known yet
        self.last_heard_at, self.attempts = now, 0  # attempts since the source was last heard
        self._next_place = 0  # the first that has not been asked for
        self._missing: dict[int, None] = {}  # asked for and not received, in order
        self._awaited: set[int] = set()  # places of the latest requests that have not arrived
        self._asked_last = 0  # how many places the latest requests asked for

    def receive(self, first: int, count: int) -> set[int]:
        """Notes that places arrived; gives those that are new."""
        new = {place for place in range(first, first + count) if place in self._missing}
        for place in new:
            del self._missing[place]
        self._awaited -= new
        return new

    def set_total(self, total: int) -> None:
        """The source has told how many accounts its list has; what it says first holds."""
        if self.total < 0:
            self.total = total
            for place in [place for place in self._missing if place >= total]:
                del self._missing[place]
                self._awaited.discard(place)
            self._next_place = min(self._next_place, total)

    def next_requests(self) -> list[PlaceRange]:
        """What is to be asked for now."""
        requests = self._next_window() if self._has_more_windows() else self._gaps()
        self._asked_last = len(self._awaited)
        return requests

    def is_complete(self) -> bool:
        """Whether all accounts have arrived."""
        return 0 <= self.total <= self._next_place and not self._missing

    def is_request_due(self) -> bool:
        """Whether half of what was asked for last has arrived, so that more can be asked for."""
        return 2 * len(self._awaited) <= self._asked_last

    def _has_more_windows(self) -> bool:
        return self.total < 0 or self._next_place < self.total

    def _next_window(self) -> list[PlaceRange]:
        """The next window; the last once more where nothing of it has arrived."""
        if self.total < 0 or len(self._awaited) < WINDOW:
            self._open_window()
        first = min(self._awaited)
        return [PlaceRange(first, max(self._awaited) + 1 - first)]

    def _open_window(self) -> None:
        if self.total < 0 and self._next_place:
            return  # the first window, of which nothing has arrived
        end = self._next_place + WINDOW
        if self.total >= 0:
            end = min(end, self.total)
        places = range(self._next_place, end)
        self._awaited = set(places)
        self._missing.update(dict.fromkeys(places))
        self._next_place = end

    def _gaps(self) -> list[PlaceRange]:
        gaps = list[PlaceRange]()
        for place in self._missing:
            if gaps and place == sum(gaps[-1]) and gaps[-1].length < WINDOW:
                gaps[-1] = PlaceRange(gaps[-1].first, gaps[-1].length + 1)
            elif len(gaps) == MAX_GAP_REQUESTS:
                break
            else:
                gaps.append(PlaceRange(place, 1))
        self._awaited = {
            place for gap in gaps for place in range(gap.first, gap.first + gap.length)
        }
        return gaps
