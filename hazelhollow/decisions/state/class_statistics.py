"""What a gateway learns of request classes: units, work, worth, how long clients wait.

No decision.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence

from hazelhollow.decisions import interface as api


def changed_classes(
    before: Mapping[str, api.RequestClass], now: Iterable[api.RequestClass]
) -> list[api.RequestClass]:
    """Classes that are new, or not as they were under that name.

    One that is the same object needs no comparison.
    """
    return [kind for kind in now if (known := before.get(kind.name)) is not kind and known != kind]


class Asked:
    """What was asked for lately, by class: worth, and seconds of work.

    Each request makes all before it count less.
    """

    def __init__(self, span: float) -> None:
        """`span`: requests after which one counts for some third."""
        self._kept, self._number = 1.0 - 1.0 / span, 0
        self._by_class: dict[
            str, tuple[float, int]
        ] = {}  # worth, and the number of the request it is reckoned at
        self._worth = self._work = 0.0

    def add(self, kind: str, worth: float, work: float) -> None:
        self._number += 1
        self._by_class[kind] = self._of(kind) + worth, self._number
        self._worth = self._worth * self._kept + worth
        self._work = self._work * self._kept + work

    def mean(self) -> float:
        """Worth for a second of work."""
        return self._worth / self._work if self._work else 0.0

    def part(self, kind: str) -> float:
        """Of all worth."""
        return self._of(kind) / self._worth if self._worth else 0.0

    def _of(self, kind: str) -> float:
        worth, at = self._by_class.get(kind, (0.0, self._number))
        return worth * self._kept ** (self._number - at)


class Patience:
    """How long clients of a class wait.

    The few values that most tries come with, by votes that cancel out.
    """

    __slots__ = ("votes", "most")
    MOST, COMMON, ENOUGH, SAME = 3, 5, 1000, 0.001  # the last in seconds

    def __init__(self) -> None:
        self.votes: dict[float, int] = {}
        self.most = 0.0

    def forget(self) -> None:
        self.votes, self.most = {}, 0.0

    def common(self, patience: float, near: float) -> bool:
        """Counts one more try; whether many come with that patience."""
        for value in self.votes:
            if abs(value - patience) <= near:
                self.votes[value] = min(self.votes[value] + 1, self.ENOUGH)
                return self.votes[value] >= self.COMMON
        if len(self.votes) < self.MOST:
            self.votes[patience] = 1
        else:
            self.votes = {value: count - 1 for value, count in self.votes.items() if count > 1}
        return False

    def longest(self, patience: float) -> bool:
        """Whether nobody has been seen to wait longer."""
        self.most = max(self.most, patience)
        return patience >= self.most - self.SAME


class Highest:
    """Numbers at places.

    The highest of all, and the first place that holds at least so much, in time that grows with the
    logarithm of their number (a segment tree).
    """

    def __init__(self, values: Sequence[float]) -> None:
        self._leaves = 1 << max(0, len(values) - 1).bit_length()
        self._nodes = [-math.inf] * (2 * self._leaves)
        self.put_all(0, values)

    def put_all(self, first: int, values: Sequence[float]) -> None:
        """At the places from `first` on."""
        nodes, low = self._nodes, first + self._leaves
        high = low + len(values)  # behind the last node of a level that has changed
        nodes[low:high] = values
        while low > 1:
            low, high = low >> 1, (high + 1) >> 1
            nodes[low:high] = map(
                max, nodes[2 * low : 2 * high : 2], nodes[2 * low + 1 : 2 * high : 2]
            )

    def put(self, place: int, value: float) -> None:
        nodes, node = self._nodes, place + self._leaves
        nodes[node] = value
        while node > 1:
            node >>= 1
            left, right = nodes[2 * node], nodes[2 * node + 1]
            higher = left if left >= right else right
            if nodes[node] == higher:
                return
            nodes[node] = higher

    def value(self, place: int) -> float:
        return self._nodes[place + self._leaves]

    def highest(self) -> float:
        return self._nodes[1]

    def first(self, least: float) -> int:
        """The first place that holds at least so much; there is one."""
        node = 1
        while node < self._leaves:
            node = 2 * node if self._nodes[2 * node] >= least else 2 * node + 1
        return node - self._leaves


class ClassStats:
    """What is learned of each class.

    The units that its requests ask for, the seconds of work that one is, and what it is worth for a
    second of work. No pass over all classes for a request.
    """

    def __init__(self, classes: Sequence[api.RequestClass]) -> None:
        self.units: dict[str, float] = {}  # of a mean request
        self.work: dict[str, float] = {}  # seconds of one
        # by class and size: times what the class alone says
        self.sized: dict[tuple[str, int], float] = {}
        self._all_units = 0.0
        self._by_name = dict[str, api.RequestClass]()
        self._place = dict[str, int]()
        self.retune(classes)

    def retune(self, classes: Sequence[api.RequestClass]) -> None:
        """Classes come, go or change.

        What was learned of one that stays, or comes back, is kept.
        """
        changed = changed_classes(self._by_name, classes)
        self._by_name = {kind.name: kind for kind in classes}
        if list(self._by_name) == list(self._place):
            for kind in changed:
                self._replace(kind)
        else:
            self._place_all(classes)

    def _place_all(self, classes: Sequence[api.RequestClass]) -> None:
        for kind in classes:
            self.units.setdefault(kind.name, 1.0)
            self.work.setdefault(kind.name, kind.latency_objective / 6)
        self._all_units = sum(self.units.values())
        self._classes, self._by_aim = (
            list(classes),
            sorted(classes, key=lambda c: c.latency_objective),
        )
        self._place = {c.name: number for number, c in enumerate(self._classes)}
        self._place_by_aim = {c.name: number for number, c in enumerate(self._by_aim)}
        values = {c.name: self._value(c) for c in classes}
        self._values = Highest([values[c.name] for c in self._by_aim])
        self._negative = Highest([-value for value in values.values()])

    def _replace(self, kind: api.RequestClass) -> None:
        """One class is not as it was; its name, and all others, are."""
        place, place_by_aim = self._place[kind.name], self._place_by_aim[kind.name]
        before, self._classes[place] = self._classes[place], kind
        if kind.latency_objective == before.latency_objective:
            self._by_aim[place_by_aim] = kind
            self._changed(kind.name)
            return
        del self._by_aim[place_by_aim]
        now = bisect_left(self._by_aim, self._rank(kind), key=self._rank)
        self._by_aim.insert(now, kind)
        first, behind = min(now, place_by_aim), max(now, place_by_aim) + 1
        moved = self._by_aim[first:behind]
        self._place_by_aim.update({c.name: first + number for number, c in enumerate(moved)})
        self._values.put_all(first, [self._value(c) for c in moved])
        self._negative.put(place, -self._value(kind))

    def _rank(self, kind: api.RequestClass) -> tuple[float, int]:
        """By aim, and of one aim as they are listed."""
        return kind.latency_objective, self._place[kind.name]

    def learn_units(self, kind: api.RequestClass, units: float, gain: float) -> None:
        """`gain`: the part of the newest request in the mean."""
        more = gain * (units - self.units[kind.name])
        self.units[kind.name] += more
        self._all_units += more
        self._changed(kind.name)

    def learn_work(
        self, kind: api.RequestClass, size: int, by_class: float, by_size: float
    ) -> None:
        """Factors by which a request of that size and class turned out to be more work."""
        self.work[kind.name] *= by_class
        self.sized[kind.name, size] = self.sized.get((kind.name, size), 1.0) * by_size
        self._changed(kind.name)

    def work_of(self, kind: str, units: float, size: int) -> float:
        """Seconds of work that a request is taken to be.

        Its class's, at first by half its units, and what its size showed.
        """
        usual = self.work[kind] * 0.5 * (1.0 + units / self.units[kind])
        return usual * self.sized.get((kind, size), 1.0)

    def mean_units(self) -> float:
        """Over the classes, whether they are asked for or not."""
        return self._all_units / len(self.units)

    def value(self, kind: str) -> float:
        """Worth for a second of work."""
        return self._values.value(self._place_by_aim[kind])

    def highest_value(self) -> float:
        return self._values.highest()

    def tightest(self) -> float:
        """The shortest aim of all."""
        return self._by_aim[0].latency_objective

    def cheapest(self) -> str:
        """The class of the least value; of several the one listed first."""
        return self._classes[self._negative.first(self._negative.highest())].name

    def tightest_aim(self, value: float) -> float:
        """The shortest aim among the classes of at least that value, of which there is one."""
        return self._by_aim[self._values.first(value)].latency_objective

    def _value(self, kind: api.RequestClass) -> float:
        return kind.priority_weight * self.units[kind.name] / self.work[kind.name]

    def _changed(self, name: str) -> None:
        place = self._place.get(name)
        if place is not None:  # else it is listed no more, and requests of it are still out
            value = self._value(self._classes[place])
            self._values.put(self._place_by_aim[name], value)
            self._negative.put(place, -value)
