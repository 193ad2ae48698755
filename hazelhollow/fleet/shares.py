"""Whose part of the quotas is out of reach: members that cannot be heard and may go on letting in. No I/O, no clock.

While a link is down neither side hears what the other lets in. So each side leaves the other its even part. `docs/design/
replication.md` has the rule and its bound.
"""

from __future__ import annotations

from dataclasses import dataclass

QUIET = 0.35  # seconds without gossip after which one that is told at every beat cannot be heard
PATIENCE = 10.0  # seconds after which the larger side takes over what the smaller does not say that it uses


@dataclass
class Peer:
    heard: float  # when it was last heard by gossip or by the view
    life: int = 0
    lost: float = 0.0  # since when its part is out of reach; 0: it is not
    taken: bool = False  # over, by the larger side


class Shares:
    """`members`: how many the fleet has. `talks`: gossip comes at every beat, so that silence tells at once."""

    def __init__(self, me: int, members: int, now: float, talks: bool) -> None:
        self.me, self.members, self.talks, self.began = me, members, talks, now
        self.peers: dict[int, Peer] = {}
        self.lost: frozenset[int] = frozenset()

    def gossip(self, number: int, now: float) -> None:
        """A word of a peer has come."""
        peer = self.peers.get(number)
        if peer is not None:
            peer.heard = now

    def look(self, gone: dict[int, int], present: dict[int, int], now: float) -> list[tuple[int, float]]:
        """To be called at each beat of the view and when it changes. Lives by number, `gone`: of those that the view holds
        suspect or dead, `present`: of those that it holds alive; who has left is in neither. Gives seconds of a member's part that nobody used: it
        came back in another life, before its part was taken over."""
        unused = list[tuple[int, float]]()
        for number, life in (gone | present).items():
            if number not in self.peers and number != self.me and life:
                self.peers[number] = Peer(now, life)
        for number in [n for n in self.peers if n not in gone and n not in present]:
            del self.peers[number]  # it said that it goes: nothing is kept for it
        for number, peer in self.peers.items():
            away = number in gone or (self.talks and now - peer.heard > QUIET)
            life = present.get(number, peer.life)
            if away and not peer.lost:
                peer.lost = now
            elif not away and number in present and peer.lost:
                if life != peer.life and not peer.taken:
                    unused.append((number, now - peer.lost))  # it died, and a dead one lets nothing in
                peer.lost, peer.taken = 0.0, False
            if not away:
                peer.life = life
        self._take_over(now)
        self.lost = frozenset(number for number, peer in self.peers.items() if peer.lost and not peer.taken)
        return unused

    def _take_over(self, now: float) -> None:
        """The larger side alone: both would take what the other uses. The smaller keeps to its own part."""
        lost = [peer for peer in self.peers.values() if peer.lost]
        everybody = len(self.peers) + 1
        if 2 * (everybody - len(lost)) > everybody:
            for peer in lost:
                peer.taken |= now - peer.lost >= PATIENCE
