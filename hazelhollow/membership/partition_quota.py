"""Which members cannot be reached but may still be admitting, so that their quota is reserved.

During a partition neither side knows what the other admits, so each side reserves for the other
side's members their even share of each quota. `docs/design/replication.md` states the rule and its
bound.

| peer | its share |
| --- | --- |
| can be reached | shared by all |
| suspect, dead, or silent although gossip is sent every round | reserved for it |
| the same for `TAKE_OVER_AFTER_S`, seen from the larger side | taken over by that side |
| returns in the same incarnation | shared again: it may have used its share |
| returns in another one, share not taken over | shared again; its unused quota is credited |
| left | shared: it announced that it leaves |

In a small fleet all members are checked, in a large one only those whose record has changed.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelhollow.membership.records import MemberState, Record

# Time without gossip after which a peer that gossips every round counts as unreachable.
SILENCE_S = 0.35
# Time for which members must be unreachable before the larger side takes over their shares.
TAKE_OVER_AFTER_S = 10.0


@dataclass
class Peer:
    """What is known of one peer; times are in Unix seconds.

    `last_gossip_at` is the time of its last gossip or of its first record. `known_incarnation` and
    `is_suspect_or_dead` are from the member table. `admitting_incarnation` is the one in which it
    was last known to admit. `unreachable_since` is 0 while its share is not reserved.
    `is_taken_over` says whether the larger side has taken its share over.
    """

    last_gossip_at: float
    known_incarnation: int
    admitting_incarnation: int
    is_suspect_or_dead: bool
    unreachable_since: float = 0.0
    is_taken_over: bool = False


class PartitionQuota:
    """The reserved shares as one member determines them.

    `gossips_every_round` says that peers send gossip in every round, so that silence indicates a
    failure at once.
    """

    def __init__(self, limiter_id: int, gossips_every_round: bool) -> None:
        self._limiter_id, self._gossips_every_round = limiter_id, gossips_every_round
        self.peers: dict[int, Peer] = {}
        # Members whose share is reserved.
        self.unreachable_but_serving: frozenset[int] = frozenset()
        self._changed = dict[int, Record]()  # records changed since the last update
        self._unreachable = set[int]()  # unreachable peers, taken over or not

    def record_changed(self, record: Record) -> None:
        """Notes a record that the member table has adopted, for the next update."""
        if record.number != self._limiter_id:
            self._changed[record.number] = record

    def gossip_received(self, number: int, now: float) -> None:
        """Notes that a gossip datagram from that peer has arrived."""
        peer = self.peers.get(number)
        if peer is not None:
            peer.last_gossip_at = now

    def update(self, now: float) -> list[tuple[int, float]]:
        """Updates the reservations, in each protocol period and when the membership changes.

        Returns members with the seconds for which their share was unused: those that returned in
        another incarnation before their share was taken over.
        """
        changed, self._changed = self._changed, {}
        for record in changed.values():
            self._apply_record(record, now)
        unused = list[tuple[int, float]]()
        for number in list(self.peers) if self._gossips_every_round else changed:
            peer = self.peers.get(number)
            if peer is not None:
                unused += self._update_reservation(number, peer, now)
        taken_over = self._take_over_shares(now)
        if changed or taken_over or self._gossips_every_round:
            self.unreachable_but_serving = frozenset(
                number for number in self._unreachable if not self.peers[number].is_taken_over
            )
        return unused

    def _apply_record(self, record: Record, now: float) -> None:
        """Applies a changed record to its member's entry."""
        number, incarnation = record.number, record.incarnation
        if record.state == MemberState.LEFT:
            self.peers.pop(number, None)
            self._unreachable.discard(number)
            return
        is_suspect_or_dead = record.state in (MemberState.SUSPECT, MemberState.DEAD)
        peer = self.peers.get(number)
        if peer is not None:
            peer.known_incarnation, peer.is_suspect_or_dead = incarnation, is_suspect_or_dead
        elif incarnation:  # incarnation 0: no member has ever seen it
            self.peers[number] = Peer(now, incarnation, incarnation, is_suspect_or_dead)

    def _update_reservation(self, number: int, peer: Peer, now: float) -> list[tuple[int, float]]:
        """Reserves the peer's share, or shares it again.

        Returns the peer with the seconds for which its share was unused, if any.
        """
        is_silent = self._gossips_every_round and now - peer.last_gossip_at > SILENCE_S
        if peer.is_suspect_or_dead or is_silent:
            if not peer.unreachable_since:
                peer.unreachable_since = now
                self._unreachable.add(number)
            return []
        unused = list[tuple[int, float]]()
        if peer.unreachable_since:
            has_restarted = peer.known_incarnation != peer.admitting_incarnation
            if has_restarted and not peer.is_taken_over:  # it was down and admitted nothing
                unused.append((number, now - peer.unreachable_since))
            peer.unreachable_since, peer.is_taken_over = 0.0, False
            self._unreachable.discard(number)
        peer.admitting_incarnation = peer.known_incarnation
        return unused

    def _take_over_shares(self, now: float) -> bool:
        """Takes over shares if this member is on the larger side; returns whether it took any.

        If the smaller side did so too, each side would use quota that the other side still uses.
        """
        member_count, has_taken = len(self.peers) + 1, False
        if 2 * (member_count - len(self._unreachable)) <= member_count:
            return False
        for number in self._unreachable:
            peer = self.peers[number]
            if not peer.is_taken_over and now - peer.unreachable_since >= TAKE_OVER_AFTER_S:
                peer.is_taken_over = has_taken = True
        return has_taken
