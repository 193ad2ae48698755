"""What is learned of request classes: units, work, value, demand, how long clients wait.

Work is measured in seconds that an endpoint takes for a request. A class's value is its priority
weight for a second of work. No request costs a pass over all classes.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence

from hazelhollow.decisions.settings import RequestClass
from hazelhollow.decisions.state.max_tree import MaxTree

INITIAL_WORK_DIVISOR = 6  # work of a class not learned of yet: its objective divided by this


def changed_classes(
    before: Mapping[str, RequestClass], after: Iterable[RequestClass]
) -> list[RequestClass]:
    """Classes that are new, or not as they were under that name.

    One that is the same object needs no comparison.
    """
    return [c for c in after if (known := before.get(c.name)) is not c and known != c]


class RecentDemand:
    """What was asked for lately, by class: weighted units and seconds of work.

    Each request makes all before it count less.
    """

    def __init__(self, span: float) -> None:
        """`span`: requests after which one counts for about a third."""
        self._decay, self._number = 1.0 - 1.0 / span, 0
        # Weight, and the number of the request as of which it is reckoned.
        self._by_class: dict[str, tuple[float, int]] = {}
        self._weight = self._work = 0.0

    def add(self, class_name: str, weight: float, work: float) -> None:
        """One more request of that class."""
        self._number += 1
        self._by_class[class_name] = self._weight_of(class_name) + weight, self._number
        self._weight = self._weight * self._decay + weight
        self._work = self._work * self._decay + work

    def mean_value(self) -> float:
        """Weight for a second of work; 0 before any request."""
        return self._weight / self._work if self._work else 0.0

    def share_of(self, class_name: str) -> float:
        """The class's share of all weight, from 0 to 1."""
        return self._weight_of(class_name) / self._weight if self._weight else 0.0

    def _weight_of(self, class_name: str) -> float:
        weight, number = self._by_class.get(class_name, (0.0, self._number))
        return weight * self._decay ** (self._number - number)


class TimeLeftStatistics:
    """How much time clients of a class leave for an answer when they ask.

    The few values that most requests come with are found by votes that cancel out (the algorithm
    of Misra and Gries).
    """

    __slots__ = ("votes", "longest")
    MAX_VALUES = 3
    COMMON_VOTES = 5  # from so many votes on a value is common
    MAX_VOTES = 1000
    SAME_TIME_S = 0.001  # times that differ by less are the same

    def __init__(self) -> None:
        self.votes: dict[float, int] = {}
        self.longest = 0.0

    def reset(self) -> None:
        """Forgets everything: the deadline of the class has changed."""
        self.votes, self.longest = {}, 0.0

    def is_common(self, time_left: float, tolerance: float) -> bool:
        """Counts one more request; whether many come with that much time, within `tolerance`."""
        for value in self.votes:
            if abs(value - time_left) <= tolerance:
                self.votes[value] = min(self.votes[value] + 1, self.MAX_VOTES)
                return self.votes[value] >= self.COMMON_VOTES
        if len(self.votes) < self.MAX_VALUES:
            self.votes[time_left] = 1
        else:
            self.votes = {value: count - 1 for value, count in self.votes.items() if count > 1}
        return False

    def is_longest(self, time_left: float) -> bool:
        """Whether no request has come with more time."""
        self.longest = max(self.longest, time_left)
        return time_left >= self.longest - self.SAME_TIME_S


class ClassStatistics:
    """What is learned of each class: mean units, mean work, and its value.

    Attributes:
        units: Units of a mean request, by class.
        work: Seconds of work of a mean request, by class.
        size_factors: Times that work that a request of a class and size turned out to be.
    """

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.units: dict[str, float] = {}
        self.work: dict[str, float] = {}
        self.size_factors: dict[tuple[str, int], float] = {}
        self._sum_of_units = 0.0
        self._by_name = dict[str, RequestClass]()
        self._place = dict[str, int]()
        self.reconfigure(classes)

    def reconfigure(self, classes: Sequence[RequestClass]) -> None:
        """Takes over other classes. What was learned of one that stays, or comes back, is kept."""
        changed = changed_classes(self._by_name, classes)
        self._by_name = {request_class.name: request_class for request_class in classes}
        if list(self._by_name) == list(self._place):
            for request_class in changed:
                self._replace(request_class)
        else:
            self._place_all(classes)

    def _place_all(self, classes: Sequence[RequestClass]) -> None:
        for request_class in classes:
            self.units.setdefault(request_class.name, 1.0)
            self.work.setdefault(
                request_class.name, request_class.latency_objective / INITIAL_WORK_DIVISOR
            )
        self._sum_of_units = sum(self.units.values())
        self._classes, self._by_objective = (
            list(classes),
            sorted(classes, key=lambda c: c.latency_objective),
        )
        self._place = {c.name: number for number, c in enumerate(self._classes)}
        self._place_by_objective = {c.name: number for number, c in enumerate(self._by_objective)}
        values = {c.name: self._value(c) for c in classes}
        self._values = MaxTree([values[c.name] for c in self._by_objective])
        self._negative = MaxTree([-value for value in values.values()])

    def _replace(self, request_class: RequestClass) -> None:
        """Takes over one changed class; its name, and all others, are as they were."""
        place, place_by_objective = (
            self._place[request_class.name],
            self._place_by_objective[request_class.name],
        )
        before, self._classes[place] = self._classes[place], request_class
        if request_class.latency_objective == before.latency_objective:
            self._by_objective[place_by_objective] = request_class
            self._update_value(request_class.name)
            return
        del self._by_objective[place_by_objective]
        now = bisect_left(self._by_objective, self._rank(request_class), key=self._rank)
        self._by_objective.insert(now, request_class)
        first, behind = min(now, place_by_objective), max(now, place_by_objective) + 1
        moved = self._by_objective[first:behind]
        self._place_by_objective.update({c.name: first + number for number, c in enumerate(moved)})
        self._values.put_all(first, [self._value(c) for c in moved])
        self._negative.put(place, -self._value(request_class))

    def _rank(self, request_class: RequestClass) -> tuple[float, int]:
        """By objective; classes of one objective stay in the order of the settings."""
        return request_class.latency_objective, self._place[request_class.name]

    def learn_units(self, request_class: RequestClass, units: float, gain: float) -> None:
        """Takes a request's units into the mean; `gain`: the weight of the newest."""
        more = gain * (units - self.units[request_class.name])
        self.units[request_class.name] += more
        self._sum_of_units += more
        self._update_value(request_class.name)

    def learn_work(
        self, request_class: RequestClass, size: int, by_class: float, by_size: float
    ) -> None:
        """Takes the factors by which a request turned out to be more work than was expected."""
        self.work[request_class.name] *= by_class
        self.size_factors[request_class.name, size] = (
            self.size_factors.get((request_class.name, size), 1.0) * by_size
        )
        self._update_value(request_class.name)

    def work_of(self, class_name: str, units: float, size: int) -> float:
        """Seconds of work that a request is expected to be.

        Half of the class's mean, half in proportion to its units, times what its size showed.
        """
        usual = self.work[class_name] * 0.5 * (1.0 + units / self.units[class_name])
        return usual * self.size_factors.get((class_name, size), 1.0)

    def mean_units(self) -> float:
        """The mean over all classes of their mean units, whether they are asked for or not."""
        return self._sum_of_units / len(self.units)

    def value(self, class_name: str) -> float:
        """Priority weight for a second of work."""
        return self._values.value(self._place_by_objective[class_name])

    def highest_value(self) -> float:
        """The value of the most valuable class."""
        return self._values.max()

    def tightest_objective(self) -> float:
        """The shortest latency objective of all classes."""
        return self._by_objective[0].latency_objective

    def least_valuable(self) -> str:
        """The class of the least value; of several the first in the settings."""
        return self._classes[self._negative.first_at_least(self._negative.max())].name

    def tightest_objective_from(self, value: float) -> float:
        """The shortest objective among the classes of at least that value. There must be one."""
        return self._by_objective[self._values.first_at_least(value)].latency_objective

    def _value(self, request_class: RequestClass) -> float:
        return (
            request_class.priority_weight
            * self.units[request_class.name]
            / self.work[request_class.name]
        )

    def _update_value(self, name: str) -> None:
        place = self._place.get(name)
        if place is not None:  # else the class has gone while requests of it are in flight
            value = self._value(self._classes[place])
            self._values.put(self._place_by_objective[name], value)
            self._negative.put(place, -value)
