"""What this limiter knows of one endpoint."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from zlib import crc32

from hazelhollow.decisions.events import EndpointEntry
from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.decisions.settings import Settings
from hazelhollow.decisions.state.sliding_window import SlidingWindow

if TYPE_CHECKING:
    from hazelhollow.decisions.outlier_detection import OutlierRecord

TAG_COUNT = 36**3  # how many tags there are for the names of endpoints in messages
# Requests that an endpoint of mean weight is taken to work on at once, and one of little weight at
# least, as a part of that.
MEAN_CONCURRENCY = 2.0
MIN_CONCURRENCY = MEAN_CONCURRENCY / 4


class EndpointWeights:
    """The weights of many endpoints, of which few differ.

    Attributes:
        counts: Endpoints by weight.
        total: Their number.
        mean: Their mean weight as of the last `settle`; 1 where there are none.
    """

    __slots__ = ("counts", "total", "mean")

    def __init__(self) -> None:
        self.counts: Counter[float] = Counter()
        self.total, self.mean = 0, 1.0

    def add(self, weight: float, count: int = 1) -> None:
        """Adds endpoints of a weight; a `count` of -1 takes one away."""
        self.counts[weight] += count
        if not self.counts[weight]:
            del self.counts[weight]
        self.total += count

    def replace(self, weights: list[float]) -> None:
        """These in place of all."""
        self.counts, self.total = Counter(weights), len(weights)

    def settle(self) -> None:
        """Reckons the mean after changes."""
        self.mean = sum([w * n for w, n in self.counts.items()]) / max(1, self.total) or 1.0


class Endpoint:
    """One listed endpoint, from the time it is listed until it goes or starts anew.

    Attributes:
        entry: What the endpoint list says of it.
        work_factor: Time that its work takes, against what is learned for the class.
        tag: Its name in messages; several endpoints may share one.
        in_flight: Seconds of work of each attempt in flight, by request and attempt number.
        last_progress_at: When it answered last, or got work while it had none in flight.
        outlier_records: How it failed lately, by class; under "" for every class.
    """

    __slots__ = (
        "entry",
        "work_factor",
        "tag",
        "in_flight",
        "last_progress_at",
        "outlier_records",
        "_window_span",
        "_recent_work",
        "_weights",
    )

    def __init__(self, entry: EndpointEntry, window_span: float, weights: EndpointWeights) -> None:
        """Begins with nothing known.

        Args:
            entry: What the endpoint list says of it.
            window_span: Seconds over which work sent to it counts while it is warming up.
            weights: Those of all listed endpoints.
        """
        self.entry, self.work_factor = entry, 1.0
        self.tag = base36(crc32(entry.name.encode()) % TAG_COUNT)
        self.in_flight: dict[tuple[str, int], float] = {}
        self.last_progress_at = 0.0
        self.outlier_records: dict[str, OutlierRecord] = {}
        self._window_span = window_span
        self._recent_work = None if not entry.started else SlidingWindow(window_span)
        self._weights = weights

    @property
    def concurrency(self) -> float:
        """Requests that it is taken to work on at once, in proportion to its weight."""
        return max(MEAN_CONCURRENCY * self.entry.weight / self._weights.mean, MIN_CONCURRENCY)

    @property
    def recent_work(self) -> SlidingWindow:
        """Seconds of work sent to it lately, while it is warming up."""
        if self._recent_work is None:
            self._recent_work = SlidingWindow(self._window_span)
        return self._recent_work

    def is_silent(self, now: float, span: float) -> bool:
        """Whether it has work and has not answered anything for longer than `span` seconds."""
        return bool(self.in_flight) and now - self.last_progress_at > span

    def is_warming_up(self, now: float, settings: Settings) -> bool:
        """Whether it started so lately that it must be spared."""
        return 0 < self.entry.started > now - settings.warm_up_time

    def backlog(self, peer_loads: dict[str, float]) -> float:
        """Seconds of work in flight there, by this limiter and, as they said, by its peers."""
        return sum(self.in_flight.values()) + peer_loads.get(self.tag, 0.0)
