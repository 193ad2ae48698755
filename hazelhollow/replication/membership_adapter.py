"""Reports which other members are up; no other module of replication queries the membership."""

from __future__ import annotations

from collections.abc import Sequence, Set

from hazelhollow.membership.driver import MembershipDriver
from hazelhollow.replication.catch_up import FULL_KNOWLEDGE_AFTER_S


class OtherMembers:
    """The other members, as this one saw them at the last call of `update`.

    `present` are the numbers of those that are up, in order. It is empty while this member may not
    admit requests.
    """

    def __init__(self, driver: MembershipDriver, own_number: int, member_count: int) -> None:
        self._driver = driver
        self.present: list[int] = []
        self._unreachable = set(range(member_count)) - {own_number}
        self._last_view: tuple[Sequence[int], bool, Set[int], Sequence[int]] | None = None

    def update(self) -> list[int]:
        """Reads the membership and returns the members that are reachable again or new."""
        membership = self._driver.membership
        view = (
            membership.present(),
            membership.may_admit,
            self._driver.unreachable_but_serving(),
            membership.unreachable(),
        )
        if view == self._last_view:
            return []
        self._last_view = present, may_admit, silent, unreachable = view
        self.present = (
            [number for number in present if number != membership.limiter_id] if may_admit else []
        )
        others = set(range(membership.member_count)) - {membership.limiter_id}
        all_unreachable = others.difference(self.present) | silent | set(unreachable)
        returned = sorted(self._unreachable - all_unreachable)
        self._unreachable = all_unreachable
        return returned

    def older(self) -> set[int]:
        """Returns the present members that started long enough before this one to be complete."""
        membership = self._driver.membership
        return membership.members_older_by(FULL_KNOWLEDGE_AFTER_S).intersection(self.present)
