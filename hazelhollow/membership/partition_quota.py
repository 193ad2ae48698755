"""Whose part of the quotas is left to them: members that cannot be heard and may go on admitting.

While a link is down neither side hears what the other admits. So each side leaves the other its
even part of each quota. `docs/design/replication.md` has the rule and its bound.

| a peer | its part |
| --- | --- |
| can be heard | shared with all |
| suspect, dead, or silent where gossip comes in every round | left to it |
| the same for `TAKE_OVER_AFTER_S`, seen from the larger side | taken over by that side |
| back in the same incarnation | shared again: it may have used its part |
| back in another one, its part not taken over | shared again, and what nobody used is given back |
| left | shared: it said that it goes |

Only members whose record has changed are looked at, and in a small fleet all.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelhollow.membership.records import MemberState, Record

SILENCE_S = 0.35  # without gossip, until a peer that gossips at every beat cannot be heard
# Until the larger side takes over what the smaller does not say that it uses.
TAKE_OVER_AFTER_S = 10.0


@dataclass
class Peer:
    """What is known of one peer. Times are in Unix seconds.

    `last_heard`: by gossip or by its record. `known_incarnation`: as the member table has it.
    `admitting_incarnation`: the one in which it was last known to admit. `is_suspect_or_dead`: as
    the member table has it. `unreachable_since`: 0 where its part is shared. `is_taken_over`: by
    the larger side.
    """

    last_heard: float
    known_incarnation: int
    admitting_incarnation: int
    is_suspect_or_dead: bool
    unreachable_since: float = 0.0
    is_taken_over: bool = False


class PartitionQuota:
    """The rule for one member.

    `gossips_every_round`: gossip comes in every round, so that silence tells at once.
    """

    def __init__(self, limiter_id: int, gossips_every_round: bool) -> None:
        self._limiter_id, self._gossips_every_round = limiter_id, gossips_every_round
        self.peers: dict[int, Peer] = {}
        self.unreachable_but_serving: frozenset[int] = frozenset()  # whose part is left to them
        self._changed = dict[int, Record]()  # since the last update
        self._unreachable = set[int]()  # peers that cannot be heard, taken over or not

    def record_changed(self, record: Record) -> None:
        """The member table holds this record from now on."""
        if record.number != self._limiter_id:
            self._changed[record.number] = record

    def gossip_received(self, number: int, now: float) -> None:
        """A datagram of gossip has come from that peer."""
        peer = self.peers.get(number)
        if peer is not None:
            peer.last_heard = now

    def update(self, now: float) -> list[tuple[int, float]]:
        """To be called in each protocol period and when the membership changes.

        Returns members with seconds of their part that nobody used: they came back in another
        incarnation, before their part was taken over.
        """
        changed, self._changed = self._changed, {}
        for record in changed.values():
            self._note(record, now)
        unused = list[tuple[int, float]]()
        for number in list(self.peers) if self._gossips_every_round else changed:
            peer = self.peers.get(number)
            if peer is not None:
                unused += self._update_reservation(number, peer, now)
        taken_over = self._take_over(now)
        if changed or taken_over or self._gossips_every_round:
            self.unreachable_but_serving = frozenset(
                number for number in self._unreachable if not self.peers[number].is_taken_over
            )
        return unused

    def _note(self, record: Record, now: float) -> None:
        """What a changed record says of its member."""
        number, incarnation = record.number, record.incarnation
        if record.state == MemberState.LEFT:
            self.peers.pop(number, None)
            self._unreachable.discard(number)
            return
        is_suspect_or_dead = record.state in (MemberState.SUSPECT, MemberState.DEAD)
        peer = self.peers.get(number)
        if peer is not None:
            peer.known_incarnation, peer.is_suspect_or_dead = incarnation, is_suspect_or_dead
        elif incarnation:  # else nobody has ever seen it
            self.peers[number] = Peer(now, incarnation, incarnation, is_suspect_or_dead)

    def _update_reservation(self, number: int, peer: Peer, now: float) -> list[tuple[int, float]]:
        """Whether its part is left to it from now on, or shared again.

        Returns it with the seconds of its part that nobody used, if there are any.
        """
        is_silent = self._gossips_every_round and now - peer.last_heard > SILENCE_S
        if peer.is_suspect_or_dead or is_silent:
            if not peer.unreachable_since:
                peer.unreachable_since = now
                self._unreachable.add(number)
            return []
        unused = list[tuple[int, float]]()
        if peer.unreachable_since:
            has_restarted = peer.known_incarnation != peer.admitting_incarnation
            if has_restarted and not peer.is_taken_over:  # it was dead, and admitted nothing
                unused.append((number, now - peer.unreachable_since))
            peer.unreachable_since, peer.is_taken_over = 0.0, False
            self._unreachable.discard(number)
        peer.admitting_incarnation = peer.known_incarnation
        return unused

    def _take_over(self, now: float) -> bool:
        """Takes parts over, on the larger side only. Whether it took any.

        Else both sides would take what the other uses.
        """
        member_count, has_taken = len(self.peers) + 1, False
        if 2 * (member_count - len(self._unreachable)) <= member_count:
            return False
        for number in self._unreachable:
            peer = self.peers[number]
            if not peer.is_taken_over and now - peer.unreachable_since >= TAKE_OVER_AFTER_S:
                peer.is_taken_over = has_taken = True
        return has_taken
