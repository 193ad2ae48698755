"""Between the network and the decision module: events in, actions out.

Alone knows both, decides nothing.
"""

from __future__ import annotations

import logging
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from hazelhollow.decisions import interface as api
from hazelhollow.net.backend import Attempt, Backend, Result
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import Scheduler, Timer
from hazelhollow.net.stats import Stats
from hazelhollow.simulator.endpoint_reports import read_cost, read_report
from hazelhollow.simulator.errors import WireError

TIMER_AGAIN = 1.0  # seconds until a timer at which the module failed comes again
# Seconds since the sockets were looked at, past which a client is looked at anew before an attempt
# begins for it: one that has gone must get none that begins over 0.1 s later, also from a process
# that has been busy for longer.
STALE = 0.03

log = logging.getLogger(__name__)


class Decisions(Protocol):
    """The decision module, as the network sees it."""

    def handle(self, event: api.Event, now: float) -> list[api.Action]: ...


class Caller(Protocol):
    """The client side of one request, whatever protocol it came by.

    It gets one of these calls, once.
    """

    def served(self, value: bytes) -> None: ...
    def refused(self, wait_ms: int) -> None: ...
    def failed(self) -> None: ...

    def has_left(self) -> bool:
        """Whether the client has gone by now, asked of the system. May be called at any time."""


class Ask(Protocol):
    """One request, as the client side has read it."""

    request: api.RequestArrived

    def command(self, wait_ms: int) -> bytes:
        """What goes to a backend host that is to answer within that time."""


class Open:
    """A request that is owed its answer, or whose attempts are still out."""

    __slots__ = (
        "id",
        "ask",
        "caller",
        "deadline",
        "attempts",
        "out",
        "answered",
        "timer",
        "__weakref__",
    )

    def __init__(self, key: str, ask: Ask, caller: Caller, deadline: float) -> None:
        self.id, self.ask, self.caller, self.deadline = key, ask, caller, deadline
        self.attempts: list[Attempt] = []
        self.out = 0
        self.answered = False
        self.timer: Timer | None = None


class Limiter:
    def __init__(
        self,
        decisions: Decisions,
        scheduler: Scheduler,
        backend: Backend,
        stats: Stats,
        most_open: int,
    ) -> None:
        self._decisions, self._scheduler = decisions, scheduler
        self._backend, self._stats, self._most_open = backend, stats, most_open
        self.peers: PeerSocket | None = None
        self.closed: Callable[[api.ReplicateCount], None] | None = (
            None  # who wants the module's own counts
        )
        self.sent: Counter[str] | None = None  # attempts by host, where somebody wants to know
        self.samples, self.most_samples = (
            list[str](),
            0,
        )  # and requests among them, so many at most until somebody takes them
        self.open: dict[str, Open] = {}
        self._events: deque[tuple[api.Event, Open | None]] = deque()
        self._busy = False
        self.most_units = 0.0  # that an answer may settle; 0 where units are not settled afterwards
        self._log = RateLimitedLog(log, scheduler.clock)

    # The client side

    def ask(self, ask: Ask, caller: Caller) -> Open | None:
        """Takes a request.

        What is not answered at once gives a record, to be given to `gone` if its client leaves.
        """
        request = ask.request
        self._stats.requests += 1
        if len(self.open) >= self._most_open:
            self._stats.refused += 1
            self._stats.reply(request.class_name, "overload")
            caller.refused(0)
            return None
        known = self.open.get(request.id)
        if (
            known and known.ask.request.customer != request.customer
        ):  # two clients may pick one: each is its own request
            request = ask.request = replace(request, id=f"{request.id}/{request.customer}")
            known = self.open.get(request.id)
        if known:
            # Every request of a customer has an id of its own, a retry too. The one that came first
            # gets the answer, and what the host would say to a second of that name is nobody's.
            self._stats.failed += 1
            self._stats.reply(request.class_name, "error")
            caller.failed()
            return None
        one = Open(request.id, ask, caller, self._scheduler.clock() + request.time_left)
        self.open[request.id] = one
        self._handle(request, one)
        if one.answered:  # most refusals come at once and need no timer
            return None
        one.timer = self._scheduler.at(one.deadline, self._expire, one)
        return one

    def concurrent(self) -> int:
        """Requests taken and not answered yet."""
        return sum([not one.answered for one in self.open.values()])

    def gone(self, one: Open) -> None:
        """The client has left: nothing is owed any more.

        What has not gone out whole can be begun by no host yet, however long its connection takes
        to come up, and never will be.
        """
        if not one.answered:
            self._stats.clients_gone += 1
            one.answered = True
            self._handle(api.ClientDisconnected(one.id), one)
            for attempt in one.attempts:
                self._backend.hold_back(attempt, CloseReason.CANCELLED)

    # Everything else that happens

    def told(self, event: api.EndpointsUpdated) -> None:
        self._handle(event)

    def ban(self, server: str, down: bool) -> None:
        self._handle(api.EndpointOverridden(server, down))

    def fleet(self, event: api.MembershipChanged) -> None:
        self._handle(event)

    def copied(self, event: api.AccountReplicated) -> None:
        self._handle(event)

    def heard(self, sender: int, text: str) -> None:
        self._handle(api.GossipReceived(sender, text))

    def _timer(self, name: str) -> None:
        self._handle(api.TimerFired(name))

    def _expire(self, one: Open) -> None:
        """The client stops waiting now: so do the attempts, and the answer is due."""
        for attempt in one.attempts:
            self._backend.give_up(attempt, CloseReason.TIMED_OUT)
        if not one.answered and not self._busy:
            self._rescue(one, "no decision by its deadline")
        self._let_go(one)

    def _attempt_done(self, one: Open, number: int, result: Result) -> None:
        attempt, now = one.attempts[number], self._scheduler.clock()
        one.out -= 1
        self._stats.outcomes[result.status] += 1
        if result.status == "ok" and not one.answered:
            one.answered = True
            self._stats.served += 1
            self._stats.reply(one.ask.request.class_name, "success")
            self._stats.ok_seconds += now - attempt.started
            one.caller.served(result.value)
        event = api.AttemptEnded(
            one.id,
            number,
            attempt.host.name,
            result.status,
            now - attempt.started,
            one.answered,
            self._true_units(result),
            read_report(result.report),
        )
        self._handle(event, one)

    def _true_units(self, result: Result) -> float:
        """Of a good answer, also where the client has left: the host did the work.

        Figures that cannot be true are left out; the value that came with them has been passed on
        all the same.
        """
        if result.status != "ok" or not self.most_units:
            return 0.0
        try:
            units = read_cost(result.figures, self.most_units)
        except WireError as error:
            self._stats.figures_bad += 1
            self._log.warning("%s", error)
            return 0.0
        self._stats.settled += units > 0
        return units

    # To the module and back

    def _handle(self, event: api.Event, one: Open | None = None) -> None:
        """An action may bring about the next event at once.

        The module gets it after, not within, this one.
        """
        self._events.append((event, one))
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._one_event(*self._events.popleft())
        finally:
            self._busy = False

    def _one_event(self, event: api.Event, one: Open | None) -> None:
        now, broken = self._scheduler.clock(), False
        try:
            actions = self._decisions.handle(event, now)
        except Exception:  # a fault in the module costs this event, and no other request
            log.exception("the module failed at %s", type(event).__name__)
            self._stats.errors += 1
            actions, broken = [], True
            if isinstance(
                event, api.TimerFired
            ):  # what it would have set again must not stop for good
                self._scheduler.at(now + TIMER_AGAIN, self._timer, event.name)
        for action in actions:
            self._perform(action, now)
        if one:
            if broken and not one.answered and not one.out:
                self._rescue(one, "the module failed")
            self._let_go(one)

    def _perform(self, action: api.Action, now: float) -> None:
        if isinstance(action, api.StartAttempt):
            self._send(action, now)
        elif isinstance(action, api.RejectRequest):
            one = self._answer(action.id)
            if one:
                self._stats.refused += 1
                self._stats.refusals[action.reason] += 1
                self._stats.reply(one.ask.request.class_name, "overload")
                one.caller.refused(math.ceil(action.retry_after * 1000))
        elif isinstance(action, api.FailRequest):
            one = self._answer(action.id)
            if one:
                self._stats.failed += 1
                self._stats.reply(one.ask.request.class_name, "error")
                one.caller.failed()
        elif isinstance(action, api.SetTimer):
            self._scheduler.at(now + action.delay, self._timer, action.name)
        elif isinstance(action, api.SendGossip):
            if self.peers:
                self.peers.tell(action.limiter_id, action.text)
        elif isinstance(action, api.CancelAttempt):
            found = self.open.get(action.id)
            if found and action.attempt < len(found.attempts):
                self._backend.give_up(found.attempts[action.attempt], CloseReason.CANCELLED)
        elif isinstance(action, api.WriteLog):
            log.info("%s", action.text)
        elif isinstance(action, api.ReplicateCount) and self.closed:
            self.closed(action)
        # Subscribe: the watch on discovery always stands.

    def _send(self, action: api.StartAttempt, now: float) -> None:
        one = self.open.get(action.id)
        if one is None or self._has_ended(one) or now >= one.deadline:
            self._events.append(
                (
                    api.AttemptEnded(
                        action.id,
                        len(one.attempts) if one else 0,
                        action.endpoint,
                        "never_sent",
                        0.0,
                    ),
                    one,
                )
            )
            return
        if self.sent is not None:
            self.sent[action.endpoint] += 1
            if len(self.samples) < self.most_samples:
                self.samples.append(action.id)
        number, left = len(one.attempts), one.deadline - now
        if 0 < action.timeout < left:
            left = action.timeout
        command = one.ask.command(max(1, round(left * 1000)))
        one.out += 1
        attempt = self._backend.start(
            action.endpoint,
            command,
            lambda result: self._attempt_done(one, number, result),
            lambda: self._has_ended(one),
        )
        one.attempts.append(attempt)
        if action.begin_by < now + left:
            attempt.begin_timer = self._scheduler.at(
                action.begin_by, self._backend.hold_back, attempt, CloseReason.NEVER_UP
            )
        if now + left < one.deadline:
            attempt.timer = self._scheduler.at(
                now + left, self._backend.give_up, attempt, CloseReason.TIMED_OUT
            )

    def _has_ended(self, one: Open) -> bool:
        """Whether nothing is owed any more.

        As the system knows it where the sockets were looked at too long ago.
        """
        if not one.answered and self._scheduler.time_since_poll() > STALE and one.caller.has_left():
            self.gone(one)
        return one.answered

    def _answer(self, request: str) -> Open | None:
        """The record of a request that gets its final answer now."""
        one = self.open.get(request)
        if one is None or one.answered:
            return None
        one.answered = True
        return one

    def _rescue(self, one: Open, why: str) -> None:
        """What was taken is answered, whatever the module does."""
        log.error("request %s: %s", one.id, why)
        self._stats.rescued += 1
        self._stats.reply(one.ask.request.class_name, "error")
        one.answered = True
        one.caller.failed()
        self._handle(api.ClientDisconnected(one.id), one)

    def _let_go(self, one: Open) -> None:
        if one.answered and not one.out and self.open.get(one.id) is one:
            del self.open[one.id]
            if one.timer:
                one.timer.cancel()
