"""Whose part of the quotas is out of reach: members that cannot be heard and may go on letting in.

No I/O, no clock.

While a link is down neither side hears what the other lets in. So each side leaves the other its
even part. `docs/design/ replication.md` has the rule and its bound. What is kept changes with the
records that change: a look goes through those, the lost ones and, in a small fleet, through all.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelhollow.membership.records import MemberState, Record

SILENCE_S = (
    0.35  # seconds without gossip after which one that is told at every beat cannot be heard
)
# seconds after which the larger side takes over what the smaller does not say that it uses
TAKE_OVER_AFTER_S = 10.0


@dataclass
class Peer:
    """`known_incarnation`.

    The incarnation that the view knows; `incarnation`: the one it was last known to let in with;
    `gone`: whether the view holds it suspect or dead; `lost`: since when its part is out of reach,
    0 where it is not; `taken`: over, by the larger side.
    """

    heard: float  # when it was last heard by gossip or by the view
    known_incarnation: int
    incarnation: int
    gone: bool
    lost: float = 0.0
    taken: bool = False


class PartitionQuota:
    """`members`: how many the fleet has.

    `talks`: gossip comes at every beat, so that silence tells at once.
    """

    def __init__(self, me: int, members: int, now: float, talks: bool) -> None:
        self.me, self.members, self.talks, self.began = me, members, talks, now
        self.peers: dict[int, Peer] = {}
        self.lost: frozenset[int] = frozenset()
        self._changed = dict[int, Record]()  # since the last look
        self._out_of_reach = set[int]()  # peers whose part is, taken over or not

    def note(self, record: Record) -> None:
        """That record of a member is new."""
        if record.number != self.me:
            self._changed[record.number] = record

    def gossip_received(self, number: int, now: float) -> None:
        """A word of a peer has come."""
        peer = self.peers.get(number)
        if peer is not None:
            peer.heard = now

    def update(self, now: float) -> list[tuple[int, float]]:
        """To be called at each beat of the view and when it changes.

        Gives seconds of a member's part that nobody used: it came back in another incarnation,
        before its part was taken over.
        """
        changed, self._changed = self._changed, {}
        for record in changed.values():
            self._take(record, now)
        unused = list[tuple[int, float]]()
        for number in list(self.peers) if self.talks else changed:
            peer = self.peers.get(number)
            if peer is not None:
                unused += self._judge(number, peer, now)
        taken = self._take_over(now)
        if changed or taken or self.talks:
            self.lost = frozenset(n for n in self._out_of_reach if not self.peers[n].taken)
        return unused

    def _take(self, record: Record, now: float) -> None:
        number, gone = record.number, record.state in (MemberState.SUSPECT, MemberState.DEAD)
        if record.state == MemberState.LEFT:  # it said that it goes: nothing is kept for it
            self.peers.pop(number, None)
            self._out_of_reach.discard(number)
            return
        peer = self.peers.get(number)
        if peer is not None:
            peer.known_incarnation, peer.gone = record.incarnation, gone
        elif record.incarnation:  # else nobody has ever seen it
            self.peers[number] = Peer(now, record.incarnation, record.incarnation, gone)

    def _judge(self, number: int, peer: Peer, now: float) -> list[tuple[int, float]]:
        """Whether its part is out of reach from now on, or within it again.

        The seconds of it that nobody used.
        """
        unused = list[tuple[int, float]]()
        if peer.gone or (self.talks and now - peer.heard > SILENCE_S):
            if not peer.lost:
                peer.lost = now
                self._out_of_reach.add(number)
            return unused
        if peer.lost:
            if peer.known_incarnation != peer.incarnation and not peer.taken:
                unused.append((number, now - peer.lost))  # it died, and a dead one lets nothing in
            peer.lost, peer.taken = 0.0, False
            self._out_of_reach.discard(number)
        peer.incarnation = peer.known_incarnation
        return unused

    def _take_over(self, now: float) -> bool:
        """The larger side alone: both would take what the other uses.

        The smaller keeps to its own part. Whether anything was.
        """
        everybody, taken = len(self.peers) + 1, False
        if 2 * (everybody - len(self._out_of_reach)) <= everybody:
            return False
        for number in self._out_of_reach:
            peer = self.peers[number]
            if not peer.taken and now - peer.lost >= TAKE_OVER_AFTER_S:
                peer.taken = taken = True
        return taken
