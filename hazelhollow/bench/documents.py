"""How long a document of settings takes to reach members within their budgets of control traffic.

The audit's own cutting, asking and giving, on a virtual clock, with a model of datagrams that are
all taken 20 ms to arrive.
"""

from __future__ import annotations

import random

from hazelhollow.configuration.distribution import codec
from hazelhollow.configuration.distribution.exchange import (
    HOLDER_REQUEST_PROBABILITY,
    MAX_QUEUED_DATAGRAMS,
    PIECE_RANK,
    REQUEST_INTERVAL_S,
    REQUEST_RANK,
)
from hazelhollow.configuration.distribution.fetch import PIECE_RETRY_S, DeltaBase, DocumentFetch
from hazelhollow.configuration.distribution.history import SettingsHistory
from hazelhollow.configuration.distribution.source import DocumentSource
from hazelhollow.configuration.versions import settings_digest
from hazelhollow.control_budget.budget import (
    BucketSettings,
    BudgetSettings,
    ControlBudget,
    RoleBudget,
    TrafficRole,
    settings_for,
)
from hazelhollow.control_budget.send_queue import SendQueue

STEP = 0.05  # seconds of the virtual clock
LONGEST = 3600.0  # seconds until it counts as never


class Member:
    """One that has the document, or takes it."""

    def __init__(self, settings: BudgetSettings, has: bool) -> None:
        allowance = RoleBudget(ControlBudget(settings, 0.0), TrafficRole.CONFIGURATION)
        self.waiting = SendQueue[tuple[int, str]](allowance, MAX_QUEUED_DATAGRAMS, PIECE_RETRY_S)
        self.has = has


BASE = DeltaBase("base", {"step": 1})


class _Given:
    """A whole document of so many pieces, whatever they say."""

    def __init__(self, pieces: int) -> None:
        self.digest = "digest"
        self._pieces = [f"{n:x}".rjust(codec.PIECE_CHARACTERS, "0") for n in range(pieces)]

    def answer_at_once(self, asked: codec.PieceRequest) -> list[str]:
        total = len(self._pieces)
        return [
            codec.encode_piece(codec.Piece(1, self.digest, n, total, self._pieces[n]))
            for n in asked.pieces or (0,)
        ]


def _changed() -> DocumentSource:
    """Settings that came after `BASE`, and the difference."""
    history, document = SettingsHistory(), {"step": 2}
    history.put(BASE.digest, BASE.document)
    history.put(settings_digest(document), document)
    return DocumentSource(1, document, history)


def seconds_to_all(
    members: int, holders: int, texts: int, bytes_per_s: float, contended: bool, seed: int
) -> float:
    """Until every member has a document of so many pieces.

    Which `holders` of them have at the start; of none: until it has the difference from what it
    acts on, in one.
    """
    settings, chance, now = settings_for(bytes_per_s), random.Random(seed), 0.0
    if contended:
        own = settings.roles[TrafficRole.CONFIGURATION]
        settings = BudgetSettings(
            own.rate, {TrafficRole.CONFIGURATION: BucketSettings(own.rate, own.burst)}, 0.0
        )
    all_members = [Member(settings, number < holders) for number in range(members)]
    given = _Given(texts) if texts else _changed()
    base = None if texts else BASE
    takers = {number: DocumentFetch(1, given.digest, base) for number in range(holders, members)}
    got = {number: set[int]() for number in takers}
    steps_per_request = round(REQUEST_INTERVAL_S / STEP)
    while any(not one.has for one in all_members) and now < LONGEST:
        now += STEP
        having = [number for number, one in enumerate(all_members) if one.has]
        mail = list[tuple[int, int, str]]()
        for number, one in enumerate(all_members):
            if not one.has and round(now / STEP) % steps_per_request == number % steps_per_request:
                text = takers[number].next_budgeted_request(chance, now, bool(takers[number].base))
                few = not takers[number].base and 2 * len(having) < members - 1
                of_others = few and not (
                    takers[number].may_be_short() and chance.random() < HOLDER_REQUEST_PROBABILITY
                )
                others = range(members) if of_others else having
                giver = chance.choice([n for n in others if n != number])
                if text is not None:
                    one.waiting.add(REQUEST_RANK, len(text), (giver, text), now)
            mail += [(number, to, text) for to, text in one.waiting.take_sendable(now)]
        for sender, receiver, text in mail:
            said, one = codec.decode(text), all_members[receiver]
            if isinstance(said, codec.PieceRequest):
                for line in (
                    given.answer_at_once(said) if one.has else takers[receiver].answer(said)
                ):
                    if not one.waiting.contains((sender, line)):
                        one.waiting.add(PIECE_RANK, len(line), (sender, line), now)
            elif isinstance(said, codec.Piece) and not one.has:
                got[receiver].add(said.number)
                one.has = len(got[receiver]) == max(texts, 1)
                if not one.has:
                    takers[receiver].put(said)
    return now
