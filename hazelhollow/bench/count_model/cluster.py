"""The state of the model: members, datagrams in flight, and the actual charges."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Literal

from hazelhollow.bench.count_model.member import CUSTOMER, MemberIncarnation, ModelMember
from hazelhollow.bench.errors import InvariantError
from hazelhollow.decisions import interface as api
from hazelhollow.replication.count_table import CountRow

FIRST_PERIOD = 1_000  # seconds
TOLERANCE_UNITS = 0.01
PERIODS_UNTIL_CLOSED = 4  # after which the periods of all charges are closed

StepKind = Literal["charge", "turn", "gossip", "counts", "ask", "deliver", "again", "crash"]


@dataclass(frozen=True)
class Bounds:
    """Upper bounds on the events of a sequence.

    Args:
        members: Number of members.
        charges: Requests that are charged.
        sends: Datagrams of gossip and of counts, together.
        turns: Ends of periods.
        crashes: Restarts of members that lose their state.
        copies: Datagrams that are duplicated.
        lags: Ends of periods that one member misses because its clock lags.
        depth: Steps in total.
    """

    members: int = 2
    charges: int = 2
    sends: int = 2
    turns: int = 3
    crashes: int = 1
    copies: int = 1
    lags: int = 1
    depth: int = 8


@dataclass(frozen=True)
class Step:
    """One event; the doc comment of the package lists the kinds and their operands."""

    kind: StepKind
    operands: tuple[int, ...] = ()

    def __str__(self) -> str:
        return " ".join((self.kind, *map(str, self.operands)))


@dataclass(frozen=True)
class Gossip:
    """The charges by period of one incarnation of the sender."""

    incarnation: str
    units_by_period: dict[int, float]


@dataclass(frozen=True)
class Counts:
    """Rows of the sender's table of counts."""

    rows: list[CountRow]


@dataclass(frozen=True)
class AccountCopy:
    """The answer to a member that is catching up, addressed to the incarnation that asked."""

    asked_by: str
    account: api.AccountReplicated | None


@dataclass(frozen=True)
class Datagram:
    """A message in flight from one member to another."""

    sender: int
    receiver: int
    content: Gossip | Counts | AccountCopy


class Cluster:
    """A state of the model.

    Args:
        bounds: The events that may happen from the initial state on.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.period = FIRST_PERIOD
        self.members = [
            ModelMember(number, bounds.members, FIRST_PERIOD, f"a{number}", is_complete=True)
            for number in range(bounds.members)
        ]
        self.datagrams: list[Datagram] = []
        self._charged: dict[MemberIncarnation, int] = {}  # units
        self._remaining = {
            "charge": bounds.charges,
            "send": bounds.sends,
            "turn": bounds.turns,
            "crash": bounds.crashes,
            "again": bounds.copies,
            "lag": bounds.lags,
        }

    # Steps

    def possible_steps(self) -> Iterator[Step]:
        """Yields the steps that are possible in this state."""
        numbers = range(len(self.members))
        if self._remaining["charge"]:
            yield from (Step("charge", (n,)) for n in numbers)
        if self._remaining["turn"]:
            yield Step("turn")
            if self._remaining["lag"]:
                yield from (Step("turn", (n,)) for n in numbers)
        pairs = [(a, b) for a in numbers for b in numbers if a != b]
        if self._remaining["send"]:
            yield from (
                Step("gossip", pair)
                for pair in pairs
                if self.members[pair[0]].account().charges.own
            )
            yield from (
                Step("counts", pair) for pair in pairs if self.members[pair[0]].counts.customers
            )
        yield from (
            Step("ask", (new, source))
            for new, source in pairs
            if not self.members[new].is_complete and self.members[source].is_complete
        )
        for position in range(len(self.datagrams)):
            yield Step("deliver", (position,))
            if self._remaining["again"]:
                yield Step("again", (position,))
        if self._remaining["crash"]:
            yield from (Step("crash", (n,)) for n in numbers)

    def apply(self, step: Step) -> None:
        """Applies a step to the state."""
        if step.kind in self._remaining:
            self._remaining[step.kind] -= 1
        match step.kind, step.operands:
            case "charge", (number,):
                self._charge(self.members[number])
            case "turn", lagging_members:
                self._remaining["lag"] -= len(lagging_members)
                self._end_period(lagging_members)
            case (("gossip" | "counts"), (sender, receiver)):
                self._remaining["send"] -= 1
                self._send(step.kind, sender, receiver)
            case "ask", (new, source):
                copy = AccountCopy(
                    self.members[new].context.incarnation, self.members[source].copy_of_account()
                )
                self.datagrams.append(Datagram(source, new, copy))
            case "deliver", (position,):
                self._receive(self.datagrams.pop(position))
            case "again", (position,):
                self._receive(self.datagrams[position])
            case "crash", (number,):
                self._restart(number)

    def _charge(self, member: ModelMember) -> None:
        member.charge()
        self._charged[member.incarnation] = self._charged.get(member.incarnation, 0) + 1

    def _end_period(self, lagging_members: tuple[int, ...]) -> None:
        self.period += 1
        for number, member in enumerate(self.members):
            if number not in lagging_members:
                member.begin_period(self.period)

    def _send(self, kind: str, sender: int, receiver: int) -> None:
        member = self.members[sender]
        content: Gossip | Counts
        if kind == "gossip":
            content = Gossip(member.context.incarnation, dict(member.account().charges.own))
        else:
            content = Counts(member.counts.rows(CUSTOMER))
        self.datagrams.append(Datagram(sender, receiver, content))

    def _receive(self, datagram: Datagram) -> None:
        member, content = self.members[datagram.receiver], datagram.content
        if isinstance(content, Gossip):
            sender = f"{datagram.sender}.{content.incarnation}"
            member.receive_gossip(sender, content.units_by_period)
        elif isinstance(content, Counts):
            member.receive_rows(content.rows)
        elif (
            content.asked_by == member.context.incarnation
            and content.account is not None
            and not member.is_complete
        ):
            member.catch_up(content.account)

    def _restart(self, number: int) -> None:
        self.members[number] = ModelMember(
            number, len(self.members), self.period, f"b{number}{self.period}", is_complete=False
        )
        self.datagrams = [d for d in self.datagrams if d.receiver != number]

    # Invariants

    def check(self) -> None:
        """Raises InvariantError if a complete member accounts for more units than were charged."""
        total = sum(self._charged.values())
        for number, member in enumerate(self.members):
            if member.is_complete and member.used() > total + TOLERANCE_UNITS:
                raise InvariantError(
                    f"member {number} accounts for {member.used():g} used units but only {total} "
                    "were charged: a charge is counted twice"
                )

    def check_after_exchange(self) -> None:
        """Exchanges all counts; raises InvariantError unless each member then has all charges.

        Charges of crashed incarnations that no row reported may be known to only some members, so
        that they are allowed but not required.
        """
        if not self._catch_up_all():
            return  # no complete member is left from which the others could catch up
        for _ in range(PERIODS_UNTIL_CLOSED):
            self.apply(Step("turn"))
        for _ in range(2):
            self._exchange_counts()
        running = {member.incarnation for member in self.members}
        charged_by_running = sum(self._charged.get(incarnation, 0) for incarnation in running)
        reported_of_crashed = [
            max((m.highest_reported.get(incarnation, 0.0) for m in self.members), default=0.0)
            for incarnation in self._charged
            if incarnation not in running
        ]
        least = charged_by_running + sum(reported_of_crashed)
        most = sum(self._charged.values())
        for number, member in enumerate(self.members):
            if not least - TOLERANCE_UNITS <= member.used() <= most + TOLERANCE_UNITS:
                raise InvariantError(
                    f"after all counts were exchanged, member {number} accounts for "
                    f"{member.used():g} used units; {least} to {most} were charged"
                )
        if len({tuple(member.counts.digests()) for member in self.members}) != 1:
            raise InvariantError("all counts were exchanged, but the digests of the tables differ")

    def _catch_up_all(self) -> bool:
        """Completes all members; returns False if no complete member is left to catch up from."""
        for member in self.members:
            source = next((other for other in self.members if other.is_complete), None)
            if member.is_complete:
                continue
            if source is None:
                return False
            account = source.copy_of_account()
            if account is not None:
                member.catch_up(account)
        return True

    def _exchange_counts(self) -> None:
        for sender in self.members:
            for receiver in self.members:
                if sender is not receiver:
                    receiver.receive_rows(sender.counts.rows(CUSTOMER))

    def snapshot(self) -> tuple[Any, ...]:
        """Returns a value that differs between any two distinguishable states."""
        return (
            self.period,
            tuple(member.snapshot() for member in self.members),
            repr(self.datagrams),
            tuple(self._remaining.items()),
        )
