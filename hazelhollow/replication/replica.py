"""One member's replicated state: events in, datagrams out.

This module does no I/O and receives times as arguments.

`ReplicationDriver` calls the replica and sends the datagrams that it returns. What is new to this
member is then in `anti_entropy.new_rows`, `anti_entropy.new_overrides` and `catch_up.new_accounts`.
Any datagram may be lost, duplicated, delayed or reordered, so every message may be repeated safely.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence, Set

from hazelhollow.replication import codec
from hazelhollow.replication.anti_entropy import AntiEntropy
from hazelhollow.replication.catch_up import PIECE_TIMEOUT_S, CatchUp
from hazelhollow.replication.catch_up_server import AccountSource, CatchUpServer
from hazelhollow.replication.count_table import CountRow
from hazelhollow.replication.messages import (
    Body,
    Counts,
    Digests,
    Overrides,
    TransferPiece,
    TransferRequest,
)
from hazelhollow.replication.outbox import Datagram, LocalMember, Outbox

ROUND_INTERVAL_S = 0.25


class Replica:
    """Anti-entropy and catch-up of one member, with one outbox and one random generator.

    `max_bytes` bounds a message's text. `piece_timeout` is the time in seconds without a piece of a
    transfer after which the missing ones are requested again. `counters` are shown to operators
    under the names that the operators' documentation gives.
    """

    def __init__(
        self,
        local: LocalMember,
        seed: int,
        source: AccountSource,
        max_bytes: int = codec.MAX_MESSAGE_BYTES,
        piece_timeout: float = PIECE_TIMEOUT_S,
    ) -> None:
        self.local, self.source = local, source
        self.counters: Counter[str] = Counter()
        self.random = random.Random(seed)
        self._outbox = Outbox(local, max_bytes, self.counters)
        self.anti_entropy = AntiEntropy(local, self._outbox, self.random, self.counters)
        self.catch_up = CatchUp(self._outbox, self.random, piece_timeout, self.counters)
        self._server = CatchUpServer(self._outbox, source, self.catch_up)
        self._now = 0.0

    def run_round(
        self, now: float, present: Sequence[int], older: Set[int] | None = None
    ) -> list[Datagram]:
        """Runs a round, which is due every ROUND_INTERVAL_S, and returns the datagrams to send.

        `present` are the other members that are up. `older` are those of them that started so long
        before this one that they are complete, or None if that is not known.
        """
        self._begin_turn(now)
        self.anti_entropy.begin_round()
        self.catch_up.run_round(present, older)
        self.anti_entropy.send_round_digests(present)
        return self._outbox.drain()

    def set_override(self, endpoint: str, disabled: bool, now: float) -> list[Datagram]:
        """Applies an operator's instruction at this member and returns the datagrams to send."""
        self._begin_turn(now)
        self.anti_entropy.set_override(endpoint, disabled, now)
        return self._outbox.drain()

    def record_charge(self, row: CountRow) -> None:
        """Merges a counter that this member's decision engine reports."""
        self.anti_entropy.counts.merge_in(row)

    def receive(self, sender: int, text: str, now: float) -> list[Datagram]:
        """Handles a datagram of another member and returns the datagrams to send."""
        self._begin_turn(now)
        message = codec.decode(text, self.local.member_count)
        if message is None or sender == self.local.number:
            self.counters["garbled"] += 1
        else:
            self._dispatch(sender, message.body, message.period)
        return self._outbox.drain()

    def _begin_turn(self, now: float) -> None:
        self._now = now
        self.catch_up.advance(now)
        self.anti_entropy.counts.advance(int(now))
        self._outbox.period = self.anti_entropy.counts.period

    def _dispatch(self, sender: int, body: Body, period: int) -> None:
        if isinstance(body, Digests):
            self.anti_entropy.receive_digests(sender, body)
        elif isinstance(body, Counts):
            self.anti_entropy.receive_counts(body)
        elif isinstance(body, Overrides):
            self.anti_entropy.receive_overrides(body)
        elif isinstance(body, TransferRequest):
            self._server.answer(sender, body, self._now)
        elif isinstance(body, TransferPiece):
            self.catch_up.receive_piece(sender, body, period)
        else:
            self.catch_up.receive_not_complete(sender, body)
