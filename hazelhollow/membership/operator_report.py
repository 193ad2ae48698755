"""Membership as operators and checkers read it; the keys are those of the operators' pages."""

from __future__ import annotations

from typing import Any

from hazelhollow.membership.membership import Membership
from hazelhollow.membership.partition_quota import PartitionQuota


def fleet_document(membership: Membership, quota: PartitionQuota, now: float) -> dict[str, Any]:
    """The answer to `call fleet` (`docs/operators/fleet-view.md`).

    Each member has its state, its incarnation, the seconds in that state and the members that it
    cannot receive from. `out_of_reach` lists members whose part of the quotas is reserved for them
    because they cannot be reached.
    """
    members = {
        str(record.number): {
            "state": record.state.label,
            "life": record.incarnation,
            "for_s": round(now - membership.state_since(record.number, now), 1),
            "unheard": list(record.unreachable),
        }
        for record in sorted(membership.table)
    }
    return {
        "me": membership.limiter_id,
        "acting": membership.may_admit,
        "members": members,
        "out_of_reach": sorted(quota.unreachable_but_serving),
        "counts": dict(membership.counts),
    }


def history_row(membership: Membership, now: float) -> dict[str, Any]:
    """One line of the file that is written whenever the membership changes (`view_file`)."""
    return {
        "t": now,
        "me": membership.limiter_id,
        "acting": membership.may_admit,
        "members": {str(number): entry for number, entry in membership.member_states().items()},
    }
