"""Learned statistics of request classes: units, work, value, demand and how long clients wait.

Work is the time in seconds that an endpoint takes for a request. The value of a class is its
priority weight per second of work. No request requires an iteration over all classes.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence

from hazelhollow.decisions.settings import RequestClass
from hazelhollow.decisions.state.max_tree import MaxTree

INITIAL_WORK_DIVISOR = 6  # the initial work of a class is its latency objective divided by this


def changed_classes(
    before: Mapping[str, RequestClass], after: Iterable[RequestClass]
) -> list[RequestClass]:
    """Returns the classes that are new or differ from the class of the same name in `before`.

    Identical objects are not compared.
    """
    return [c for c in after if (previous := before.get(c.name)) is not c and previous != c]


class RecentDemand:
    """Recent demand by class: weighted units and seconds of work.

    The weight of earlier requests decays exponentially with each request.
    """

    def __init__(self, span: float) -> None:
        """Starts without demand; after `span` requests, one counts for about a third."""
        self._decay, self._number = 1.0 - 1.0 / span, 0
        # Weight by class, and the number of the request up to which it has decayed.
        self._by_class: dict[str, tuple[float, int]] = {}
        self._weight = self._work = 0.0

    def add(self, class_name: str, weight: float, work: float) -> None:
        """Adds a request of a class."""
        self._number += 1
        self._by_class[class_name] = self._weight_of(class_name) + weight, self._number
        self._weight = self._weight * self._decay + weight
        self._work = self._work * self._decay + work

    def mean_value(self) -> float:
        """Returns the weight per second of work; 0 before the first request."""
        return self._weight / self._work if self._work else 0.0

    def share_of(self, class_name: str) -> float:
        """Returns the class's share of the total weight, from 0 to 1."""
        return self._weight_of(class_name) / self._weight if self._weight else 0.0

    def _weight_of(self, class_name: str) -> float:
        weight, number = self._by_class.get(class_name, (0.0, self._number))
        return weight * self._decay ** (self._number - number)


class TimeLeftStatistics:
    """The time that clients of a class leave for an answer when they send a request.

    The few values that most requests have are found with the Misra-Gries algorithm, in which votes
    for different values cancel each other out.
    """

    __slots__ = ("votes", "longest")
    MAX_VALUES = 3
    COMMON_VOTES = 5  # least number of votes of a common value
    MAX_VOTES = 1000
    SAME_TIME_S = 0.001  # times that differ by no more count as equal

    def __init__(self) -> None:
        self.votes: dict[float, int] = {}
        self.longest = 0.0

    def reset(self) -> None:
        """Clears the statistics after a change of the class's deadline."""
        self.votes, self.longest = {}, 0.0

    def is_common(self, time_left: float, tolerance: float) -> bool:
        """Counts a request; returns whether its time left, within `tolerance`, is a common one."""
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
        """Records a time left; returns whether no earlier request had more."""
        self.longest = max(self.longest, time_left)
        return time_left >= self.longest - self.SAME_TIME_S


class ClassStatistics:
    """Learned statistics of each class: mean units, mean work, and value.

    Attributes:
        units: The mean units of a request, by class.
        work: The mean work of a request in seconds, by class.
        size_factors: The observed work of requests relative to the expected work, by class and
            size.
    """

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.units: dict[str, float] = {}
        self.work: dict[str, float] = {}
        self.size_factors: dict[tuple[str, int], float] = {}
        self._sum_of_units = 0.0
        self._by_name = dict[str, RequestClass]()
        self._position = dict[str, int]()
        self.reconfigure(classes)

    def reconfigure(self, classes: Sequence[RequestClass]) -> None:
        """Applies changed classes. Statistics of classes that remain or return are kept."""
        changed = changed_classes(self._by_name, classes)
        self._by_name = {request_class.name: request_class for request_class in classes}
        if list(self._by_name) == list(self._position):
            for request_class in changed:
                self._replace_class(request_class)
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
        self._position = {c.name: number for number, c in enumerate(self._classes)}
        self._position_by_objective = {
            c.name: number for number, c in enumerate(self._by_objective)
        }
        values = {c.name: self._value(c) for c in classes}
        self._values = MaxTree([values[c.name] for c in self._by_objective])
        self._negative = MaxTree([-value for value in values.values()])

    def _replace_class(self, request_class: RequestClass) -> None:
        """Replaces one class, if neither the names nor the order of the classes have changed."""
        position, position_by_objective = (
            self._position[request_class.name],
            self._position_by_objective[request_class.name],
        )
        before, self._classes[position] = self._classes[position], request_class
        if request_class.latency_objective == before.latency_objective:
            self._by_objective[position_by_objective] = request_class
            self._update_value(request_class.name)
            return
        del self._by_objective[position_by_objective]
        new_position = bisect_left(self._by_objective, self._rank(request_class), key=self._rank)
        self._by_objective.insert(new_position, request_class)
        first, end = (
            min(new_position, position_by_objective),
            max(new_position, position_by_objective) + 1,
        )
        moved = self._by_objective[first:end]
        self._position_by_objective.update(
            {c.name: first + number for number, c in enumerate(moved)}
        )
        self._values.put_all(first, [self._value(c) for c in moved])
        self._negative.put(position, -self._value(request_class))

    def _rank(self, request_class: RequestClass) -> tuple[float, int]:
        """Returns the sort key: the objective, then the order of the settings."""
        return request_class.latency_objective, self._position[request_class.name]

    def learn_units(self, request_class: RequestClass, units: float, gain: float) -> None:
        """Updates the mean units with those of a request, which are weighted with `gain`."""
        change = gain * (units - self.units[request_class.name])
        self.units[request_class.name] += change
        self._sum_of_units += change
        self._update_value(request_class.name)

    def learn_work(
        self, request_class: RequestClass, size: int, by_class: float, by_size: float
    ) -> None:
        """Multiplies the learned work of a class, and of one size in it, by the given factors."""
        self.work[request_class.name] *= by_class
        self.size_factors[request_class.name, size] = (
            self.size_factors.get((request_class.name, size), 1.0) * by_size
        )
        self._update_value(request_class.name)

    def work_of(self, class_name: str, units: float, size: int) -> float:
        """Returns the expected work of a request in seconds.

        Half of the class's mean work is fixed, half is proportional to the units. The sum is
        multiplied by the factor learned for the size.
        """
        usual = self.work[class_name] * 0.5 * (1.0 + units / self.units[class_name])
        return usual * self.size_factors.get((class_name, size), 1.0)

    def mean_units(self) -> float:
        """Returns the mean over all classes of their mean units, regardless of demand."""
        return self._sum_of_units / len(self.units)

    def value(self, class_name: str) -> float:
        """Returns the priority weight of a class per second of work."""
        return self._values.value(self._position_by_objective[class_name])

    def highest_value(self) -> float:
        """Returns the value of the most valuable class."""
        return self._values.max()

    def tightest_objective(self) -> float:
        """Returns the shortest latency objective of all classes."""
        return self._by_objective[0].latency_objective

    def least_valuable(self) -> str:
        """Returns the class with the least value; if several have it, the first in the settings."""
        return self._classes[self._negative.first_at_least(self._negative.max())].name

    def tightest_objective_from(self, value: float) -> float:
        """Returns the shortest objective of the classes with at least the given value.

        There must be such a class.
        """
        return self._by_objective[self._values.first_at_least(value)].latency_objective

    def _value(self, request_class: RequestClass) -> float:
        return (
            request_class.priority_weight
            * self.units[request_class.name]
            / self.work[request_class.name]
        )

    def _update_value(self, name: str) -> None:
        position = self._position.get(name)
        if position is not None:  # None: the class was removed while its requests were in flight
            value = self._value(self._classes[position])
            self._values.put(self._position_by_objective[name], value)
            self._negative.put(position, -value)
