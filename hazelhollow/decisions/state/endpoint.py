"""The state of one endpoint at this limiter."""

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

TAG_COUNT = 36**3  # number of distinct endpoint tags in messages
# Requests that an endpoint of mean weight is assumed to process concurrently, and the lower bound
# for endpoints of low weight.
MEAN_CONCURRENCY = 2.0
MIN_CONCURRENCY = MEAN_CONCURRENCY / 4


class EndpointWeights:
    """The weights of many endpoints, with few distinct values.

    Attributes:
        counts: The number of endpoints by weight.
        total: The number of all endpoints.
        mean: The mean weight as of the last `settle`; 1 if there are no endpoints or it is 0.
    """

    __slots__ = ("counts", "total", "mean")

    def __init__(self) -> None:
        self.counts: Counter[float] = Counter()
        self.total, self.mean = 0, 1.0

    def add(self, weight: float, count: int = 1) -> None:
        """Adds endpoints of one weight; a `count` of -1 removes one."""
        self.counts[weight] += count
        if not self.counts[weight]:
            del self.counts[weight]
        self.total += count

    def replace(self, weights: list[float]) -> None:
        """Replaces all weights."""
        self.counts, self.total = Counter(weights), len(weights)

    def settle(self) -> None:
        """Updates the mean after changes."""
        self.mean = sum([w * n for w, n in self.counts.items()]) / max(1, self.total) or 1.0


class Endpoint:
    """One listed endpoint, from its listing until it is removed or restarts.

    Attributes:
        entry: The endpoint's entry in the endpoint list.
        work_factor: The time that the endpoint takes for its work, relative to the class's mean.
        tag: The hash of its name that stands for it in messages; several endpoints may share one.
        in_flight: Seconds of work of each attempt in flight, by request id and attempt number.
        last_progress_at: The time of its last answer, of the last bytes of an incomplete one, or of
            the last attempt that started while none was in flight.
        outlier_records: Its recent failures by class, and under "" those that count for every
            class.
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
        """Creates an endpoint without any history.

        Args:
            entry: The endpoint's entry in the endpoint list.
            window_span: Seconds for which work sent to it counts as recent while it is warming up.
            weights: The weights of all listed endpoints.
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
        """The requests that it is assumed to process concurrently, in proportion to its weight."""
        return max(MEAN_CONCURRENCY * self.entry.weight / self._weights.mean, MIN_CONCURRENCY)

    @property
    def recent_work(self) -> SlidingWindow:
        """Seconds of work sent to it recently, while it is warming up."""
        if self._recent_work is None:
            self._recent_work = SlidingWindow(self._window_span)
        return self._recent_work

    def is_silent(self, now: float, span: float) -> bool:
        """Whether it has work in flight and has sent nothing for more than `span` seconds."""
        return bool(self.in_flight) and now - self.last_progress_at > span

    def is_warming_up(self, now: float, settings: Settings) -> bool:
        """Whether it started so recently that its load must be limited."""
        return 0 < self.entry.started > now - settings.warm_up_time

    def backlog(self, peer_loads: dict[str, float]) -> float:
        """Returns the seconds of work that this limiter and its peers have in flight there."""
        return sum(self.in_flight.values()) + peer_loads.get(self.tag, 0.0)
