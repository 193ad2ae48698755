"""Documents of settings between members: whom this one asks, what it gives, within its allowance.

No I/O, no clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any, NamedTuple

from hazelhollow.configuration import transfer
from hazelhollow.configuration.history import History
from hazelhollow.control_budget.budget import RoleBudget
from hazelhollow.control_budget.send_queue import SendQueue

GIVES_A_S = 200  # datagrams of documents that are given a second
MOST_WAITING = 32  # of them that wait, where a budget bounds them
MOST_ASKS_WAITING = 64  # asks that wait until what they ask for is made
ASK_HOLDERS = 0.5  # of the asks for a short document that few have: to those that have it
ASK_RANK, GIVE_RANK = range(2)  # in which order they leave
BEAT = 0.25  # seconds between asks


class Target(NamedTuple):
    """Settings that this member wants; `givers` act on them."""

    order: int
    digest: str
    givers: Sequence[int]


class Arrived(NamedTuple):
    """A document that is whole."""

    order: int
    digest: str
    document: dict[str, Any]
    sender: int


class _WaitingAsk(NamedTuple):
    sender: int
    asked: transfer.Asked


class DocumentExchange:
    """`send` gets the number of a member and what it is told.

    `progressed` the order of a document of which a piece has come. `allowance`: what may be sent;
    nothing: all.
    """

    def __init__(
        self,
        me: int,
        history: History,
        chance: random.Random,
        send: Callable[[int, str], None],
        progressed: Callable[[int], None],
        allowance: RoleBudget | None,
    ) -> None:
        self._me, self._history, self._random = me, history, chance
        self._send_now, self._progressed = send, progressed
        self._waiting: SendQueue[tuple[int, str]] | None = (
            SendQueue(allowance, MOST_WAITING, transfer.AGAIN_AFTER) if allowance else None
        )
        self._taker: transfer.Taker | None = None
        self._giver: transfer.Giver | None = None
        self._asks = list[_WaitingAsk]()
        self._gives = GIVES_A_S

    # What this member asks for

    def fetch(self, target: Target, known: Collection[int], now: float) -> None:
        """To be called at each beat, as long as it wants these settings.

        `known`: the members that are up.
        """
        if self._taker is None or (self._taker.order, self._taker.digest) != (
            target.order,
            target.digest,
        ):
            base = self._history.document(self._history.current)
            assert base is not None  # what it acts on
            self._taker = transfer.Taker(
                target.order, target.digest, transfer.Base(self._history.current, base)
            )
        givers = self._taker.may_differ(target.givers)
        if self._waiting is None:
            number = self._random.choice(givers or target.givers)
            self._send(number, self._taker.wants(bool(givers)), ASK_RANK, now)
            return
        text = self._taker.wants_few(self._random, now, bool(givers))
        if text is not None:
            number = (
                self._random.choice(givers) if givers else self._holder(self._taker, target, known)
            )
            self._send(number, text, ASK_RANK, now)

    def _holder(self, taker: transfer.Taker, target: Target, known: Collection[int]) -> int:
        """Whom to ask for some pieces of a whole document.

        One that has all, or where those are few another one that lacks it too, who may have some:
        else all would ask the first that has it. Of a short one that has it is asked half of the
        times.
        """
        others = [number for number in known if number != self._me]
        few = 2 * len(target.givers) < len(others)
        of_others = few and not (taker.short() and self._random.random() < ASK_HOLDERS)
        return self._random.choice(others if of_others else target.givers)

    # What comes

    def heard(self, sender: int, text: str, now: float) -> Arrived | None:
        """The document that this datagram makes whole, if it does."""
        said = transfer.read(text)
        if isinstance(said, transfer.Asked):
            self._answer(sender, said, now)
        elif isinstance(said, transfer.Given) and self._taker is not None:
            return self._take(self._taker, sender, said, now)
        elif isinstance(said, transfer.NoDifference) and self._taker is not None:
            self._taker.refused(sender, said)
        return None

    def _take(
        self, taker: transfer.Taker, sender: int, given: transfer.Given, now: float
    ) -> Arrived | None:
        if given.order == taker.order:
            self._progressed(given.order)
        document = taker.take(given)
        if document is not None:
            self._taker = None
            return Arrived(taker.order, taker.digest, document, sender)
        if self._waiting is None and taker.due(given):
            self._send(sender, taker.wants(bool(given.base)), ASK_RANK, now)
        return None

    # What it gives

    def acts_on(self, order: int, digest: str, document: Mapping[str, Any]) -> None:
        """From now on this is what it gives."""
        self._giver = transfer.Giver(order, document, self._history, digest)
        self._asks.clear()

    def new_second(self) -> None:
        self._gives = GIVES_A_S

    def busy(self) -> bool:
        """Whether there is something to be made, so that `step` is to be called soon."""
        return bool(self._asks)

    def step(self, now: float) -> None:
        """Does a part of what asks wait for, and answers them once it is made."""
        if self._giver is None or not self._giver.step():
            return
        asks, self._asks = self._asks, []
        for one in asks:
            self._answer(one.sender, one.asked, now)

    def _answer(self, sender: int, asked: transfer.Asked, now: float) -> None:
        """Of the document that it acts on, or of the one that is on its way here."""
        giver = self._giver
        if giver is None or asked.order != giver.order:
            of_others = self._taker is not None and self._waiting is not None
            self._give(sender, self._taker.answer(asked) if self._taker and of_others else [], now)
        elif giver.ready(asked):
            self._give(sender, giver.answer(asked), now)
        elif len(self._asks) < MOST_ASKS_WAITING:
            self._asks.append(_WaitingAsk(sender, asked))

    def _give(self, sender: int, texts: Sequence[str], now: float) -> None:
        for text in texts:
            if self._gives > 0:
                self._gives -= 1
                self._send(sender, text, GIVE_RANK, now)

    # What leaves

    def _send(self, number: int, text: str, rank: int, now: float) -> None:
        if self._waiting is None:
            self._send_now(number, text)
        elif not self._waiting.contains((number, text)):
            self._waiting.add(rank, len(text), (number, text), now)
            self.send_due(now)

    def send_due(self, now: float) -> None:
        """What the allowance has room for now."""
        if self._waiting is not None:
            for number, text in self._waiting.take_sendable(now):
                self._send_now(number, text)
