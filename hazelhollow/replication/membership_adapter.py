"""Who of the other members is up: the one module that knows how membership tells it."""

from __future__ import annotations

from collections.abc import Sequence, Set

from hazelhollow.membership.driver import MembershipDriver
from hazelhollow.replication.catch_up import KNOWS_ALL_AFTER_S


class OtherMembers:
    """The other members, as this one saw them when `update` was called last.

    `present`: numbers of those that are up, in order; none while this member may not admit.
    """

    def __init__(self, driver: MembershipDriver, own_number: int, member_count: int) -> None:
        self._driver = driver
        self.present: list[int] = []
        self._out_of_reach = set(range(member_count)) - {own_number}
        self._seen: tuple[Sequence[int], bool, Set[int], Sequence[int]] | None = None

    def update(self) -> list[int]:
        """Looks again; gives the members that can be heard again, or are new."""
        membership = self._driver.membership
        seen = (
            membership.present(),
            membership.may_admit,
            self._driver.unreachable_but_serving(),
            membership.unreachable(),
        )
        if seen == self._seen:
            return []
        self._seen = present, may_admit, silent, unreachable = seen
        self.present = (
            [number for number in present if number != membership.limiter_id] if may_admit else []
        )
        others = set(range(membership.member_count)) - {membership.limiter_id}
        out_of_reach = others.difference(self.present) | silent | set(unreachable)
        returned = sorted(self._out_of_reach - out_of_reach)
        self._out_of_reach = out_of_reach
        return returned

    def older(self) -> set[int]:
        """Those of `present` that are so much older than this one that they are complete."""
        membership = self._driver.membership
        return membership.members_older_by(KNOWS_ALL_AFTER_S).intersection(self.present)
