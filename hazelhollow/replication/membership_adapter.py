"""Who of the other members is up: the one module that knows how membership tells it."""

from __future__ import annotations

from collections.abc import Sequence, Set

from hazelhollow.membership.driver import Driver as MembershipDriver
from hazelhollow.replication.catch_up import KNOWS_ALL_AFTER_S


class OtherMembers:
    """The other members, as this one saw them when `update` was called last.

    `present`: numbers of those that are up, in order; none while this member may not admit.
    """

    def __init__(self, membership: MembershipDriver, own_number: int, member_count: int) -> None:
        self._membership = membership
        self.present: list[int] = []
        self._out_of_reach = set(range(member_count)) - {own_number}
        self._seen: tuple[Sequence[int], bool, Set[int], Sequence[int]] | None = None

    def update(self) -> list[int]:
        """Looks again; gives the members that can be heard again, or are new."""
        view = self._membership.view
        seen = view.present(), view.acting, self._membership.lost(), view.unheard()
        if seen == self._seen:
            return []
        self._seen = present, may_admit, unreachable, unheard = seen
        self.present = [number for number in present if number != view.me] if may_admit else []
        others = set(range(view.members)) - {view.me}
        out_of_reach = others.difference(self.present) | unreachable | set(unheard)
        returned = sorted(self._out_of_reach - out_of_reach)
        self._out_of_reach = out_of_reach
        return returned

    def older(self) -> set[int]:
        """Those of `present` that are so much older than this one that they are complete."""
        return self._membership.view.older(KNOWS_ALL_AFTER_S).intersection(self.present)
