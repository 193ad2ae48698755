"""Between the network and the decision engine: events in, actions out.

The only module that knows both. It turns what happens on sockets into the engine's events and
performs the actions that come back; it decides nothing. It owns the open requests, and with them
the rule that each gets exactly one final answer (see `open_request`).

Why a request was answered with `-BUSY`, as far as the network code is concerned:

- `-BUSY MS`: the engine rejected it (`RejectRequest`), and MS is `retry_after` of that action in
  milliseconds, rounded up: `_reject`. The reason is counted in `refusals` of the counters; which
  rule set it, and why that long, is said in `decisions/rejections.py`.
- `-BUSY` without a time: the engine gave no time, or never saw the request because as many as
  `policy_limits.max_open` were open: `submit`. The latter has no entry in `refusals`.

No other path of the network code leads to `-BUSY`; `answer_slot.AnswerSlot.send_busy` writes it.
"""

from __future__ import annotations

import logging
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from hazelhollow.decisions import interface as api
from hazelhollow.net.attempts import AttemptResult
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.connection_pool import ConnectionPool
from hazelhollow.net.open_request import Forwardable, OpenRequest, Responder
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.stats import Stats
from hazelhollow.simulator.endpoint_reports import read_cost, read_report
from hazelhollow.simulator.errors import WireError

FAILED_TIMER_RETRY_S = 1.0  # until a timer at which the engine failed fires again
# Since the last poll, past which a client's connection is looked at before an attempt starts for
# it. A client that has gone must get no attempt that starts over 0.1 s later, also from a process
# that was busy for longer than that.
STALE_POLL_S = 0.03

log = logging.getLogger(__name__)


class Decisions(Protocol):
    """The decision engine, or a decorator of it, as the network code sees it."""

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Takes an event at the time `now`, and gives the actions that follow from it, in order."""


class EngineDriver:
    """Feeds the decision engine and performs its actions.

    Attributes:
        peers: Sends gossip; None where the configuration allows no datagrams between limiters.
        on_count: Gets the engine's own counts of charges, if something replicates them.
        max_settled_units: That an answer may settle; 0 where units are not settled afterwards.
        open_requests: By their ids.
        attempts_by_endpoint: Attempts started by endpoint, if something counts them.
        sampled_ids: Ids of requests that were forwarded, at most `max_samples` until they are
            taken.
    """

    def __init__(
        self,
        decisions: Decisions,
        scheduler: Scheduler,
        pool: ConnectionPool,
        stats: Stats,
        max_open: int,
    ) -> None:
        """`max_open`: requests at once; any more are rejected without asking the engine."""
        self._decisions, self._scheduler = decisions, scheduler
        self._pool, self._stats, self._max_open = pool, stats, max_open
        self.peers: PeerSocket | None = None
        self.on_count: Callable[[api.ReplicateCount], None] | None = None
        self.attempts_by_endpoint: Counter[str] | None = None
        self.sampled_ids, self.max_samples = list[str](), 0
        self.open_requests: dict[str, OpenRequest] = {}
        self.max_settled_units = 0.0
        self._events: deque[tuple[api.Event, OpenRequest | None]] = deque()
        self._in_engine = False
        self._log = RateLimitedLog(log, scheduler.clock)

    # The client side

    def submit(self, parsed: Forwardable, responder: Responder) -> OpenRequest | None:
        """Takes a request.

        Returns:
            Its record, to be given to `client_disconnected` if the client leaves; None if it was
            answered at once.
        """
        request = parsed.request
        self._stats.requests += 1
        if len(self.open_requests) >= self._max_open:
            self._stats.refused += 1
            self._stats.reply(request.class_name, "overload")
            responder.send_busy(0)
            return None
        known = self.open_requests.get(request.id)
        if known and known.parsed.request.customer != request.customer:
            # Two customers may pick the same id: each is a request of its own.
            request = parsed.request = replace(request, id=f"{request.id}/{request.customer}")
            known = self.open_requests.get(request.id)
        if known:
            # Every request of a customer has an id of its own, a client's retry too. The first one
            # gets the answer; the endpoint's answer to a second of that id would be nobody's.
            self._stats.failed += 1
            self._stats.reply(request.class_name, "error")
            responder.send_failure()
            return None
        deadline = self._scheduler.clock() + request.time_left
        opened = OpenRequest(request.id, parsed, responder, deadline)
        self.open_requests[request.id] = opened
        self._handle(request, opened)
        if opened.answered:  # most rejections come at once and need no timer
            return None
        opened.deadline_timer = self._scheduler.at(opened.deadline, self._expire, opened)
        return opened

    def concurrent(self) -> int:
        """Requests taken and not answered yet."""
        return sum([not opened.answered for opened in self.open_requests.values()])

    def client_disconnected(self, opened: OpenRequest) -> None:
        """The client has left: no answer is owed any more.

        A request that has not gone out completely can have been begun by no endpoint, however long
        its connection takes to come up, and is withdrawn.
        """
        if not opened.answered:
            self._stats.clients_gone += 1
            opened.answered = True
            self._handle(api.ClientDisconnected(opened.id), opened)
            for attempt in opened.attempts:
                self._pool.withdraw(attempt, CloseReason.CANCELLED)

    # Everything else that happens

    def notify(self, event: api.Event) -> None:
        """Gives the engine an event that belongs to no open request."""
        self._handle(event)

    def gossip_received(self, sender: int, text: str) -> None:
        """A gossip datagram has come from the limiter of that number."""
        self._handle(api.GossipReceived(sender, text))

    def _timer_fired(self, name: str) -> None:
        self._handle(api.TimerFired(name))

    def _expire(self, opened: OpenRequest) -> None:
        """The client stops waiting now: so do the attempts, and the answer is due."""
        for attempt in opened.attempts:
            self._pool.abort(attempt, CloseReason.TIMED_OUT)
        if not opened.answered and not self._in_engine:
            self._fail_unanswered(opened, "no decision by its deadline")
        self._drop_if_ended(opened)

    def _attempt_ended(self, opened: OpenRequest, number: int, result: AttemptResult) -> None:
        attempt, now = opened.attempts[number], self._scheduler.clock()
        opened.attempts_out -= 1
        self._stats.outcomes[result.status] += 1
        if result.status == "ok" and not opened.answered:
            opened.answered = True
            self._stats.served += 1
            self._stats.reply(opened.parsed.request.class_name, "success")
            self._stats.ok_seconds += now - attempt.started_at
            opened.responder.send_value(result.value)
        event = api.AttemptEnded(
            opened.id,
            number,
            attempt.endpoint,
            result.status,
            now - attempt.started_at,
            opened.answered,
            self._settled_units(result),
            read_report(result.report),
        )
        self._handle(event, opened)

    def _settled_units(self, result: AttemptResult) -> float:
        """Units that the endpoint says the request used, 0 if it does not say.

        Read from every good answer, also where the client has left: the endpoint did the work.
        Figures that cannot be true are left out; their value has been passed on all the same.
        """
        if result.status != "ok" or not self.max_settled_units:
            return 0.0
        try:
            units = read_cost(result.figures, self.max_settled_units)
        except WireError as error:
            self._stats.figures_bad += 1
            self._log.warning("%s", error)
            return 0.0
        self._stats.settled += units > 0
        return units

    # To the engine and back

    def _handle(self, event: api.Event, opened: OpenRequest | None = None) -> None:
        """Gives the engine an event and performs what follows.

        An action may bring about another event at once. The engine gets it after this one, never
        within it.
        """
        self._events.append((event, opened))
        if self._in_engine:
            return
        self._in_engine = True
        try:
            while self._events:
                self._handle_one(*self._events.popleft())
        finally:
            self._in_engine = False

    def _handle_one(self, event: api.Event, opened: OpenRequest | None) -> None:
        now, engine_failed = self._scheduler.clock(), False
        try:
            actions = self._decisions.handle(event, now)
        except Exception:  # a fault in the engine costs this event, and no other request
            log.exception("the decision engine failed at %s", type(event).__name__)
            self._stats.errors += 1
            actions, engine_failed = [], True
            if isinstance(event, api.TimerFired):
                # the engine has not set its next timer, and would do nothing periodic any more
                self._scheduler.at(now + FAILED_TIMER_RETRY_S, self._timer_fired, event.name)
        for action in actions:
            self._perform(action, now)
        if opened:
            if engine_failed and not opened.answered and not opened.attempts_out:
                self._fail_unanswered(opened, "the decision engine failed")
            self._drop_if_ended(opened)

    def _perform(self, action: api.Action, now: float) -> None:
        if isinstance(action, api.StartAttempt):
            self._start_attempt(action, now)
        elif isinstance(action, api.RejectRequest):
            self._reject(action)
        elif isinstance(action, api.FailRequest):
            self._fail(action)
        elif isinstance(action, api.SetTimer):
            self._scheduler.at(now + action.delay, self._timer_fired, action.name)
        elif isinstance(action, api.SendGossip):
            if self.peers:
                self.peers.send_to(action.limiter_id, action.text)
        elif isinstance(action, api.CancelAttempt):
            self._cancel(action)
        elif isinstance(action, api.WriteLog):
            log.info("%s", action.text)
        elif isinstance(action, api.ReplicateCount) and self.on_count:
            self.on_count(action)
        # SubscribeToEndpoints needs nothing: the watch on discovery always stands.

    def _cancel(self, action: api.CancelAttempt) -> None:
        opened = self.open_requests.get(action.id)
        if opened and action.attempt < len(opened.attempts):
            self._pool.abort(opened.attempts[action.attempt], CloseReason.CANCELLED)

    def _reject(self, action: api.RejectRequest) -> None:
        opened = self._take_answer(action.id)
        if opened:
            self._stats.refused += 1
            self._stats.refusals[action.reason] += 1
            self._stats.reply(opened.parsed.request.class_name, "overload")
            opened.responder.send_busy(math.ceil(action.retry_after * 1000))

    def _fail(self, action: api.FailRequest) -> None:
        opened = self._take_answer(action.id)
        if opened:
            self._stats.failed += 1
            self._stats.reply(opened.parsed.request.class_name, "error")
            opened.responder.send_failure()

    def _start_attempt(self, action: api.StartAttempt, now: float) -> None:
        opened = self.open_requests.get(action.id)
        if opened is None or self._check_no_answer_needed(opened) or now >= opened.deadline:
            number = len(opened.attempts) if opened else 0
            event = api.AttemptEnded(action.id, number, action.endpoint, "never_sent", 0.0)
            self._events.append((event, opened))
            return
        if self.attempts_by_endpoint is not None:
            self.attempts_by_endpoint[action.endpoint] += 1
            if len(self.sampled_ids) < self.max_samples:
                self.sampled_ids.append(action.id)
        number, timeout = len(opened.attempts), opened.deadline - now
        if 0 < action.timeout < timeout:
            timeout = action.timeout
        opened.attempts_out += 1
        attempt = self._pool.start(
            action.endpoint,
            opened.parsed.command(max(1, round(timeout * 1000))),
            lambda result: self._attempt_ended(opened, number, result),
            lambda: self._check_no_answer_needed(opened),
        )
        opened.attempts.append(attempt)
        if action.send_by < now + timeout:
            attempt.send_by_timer = self._scheduler.at(
                action.send_by, self._pool.withdraw, attempt, CloseReason.NEVER_UP
            )
        if now + timeout < opened.deadline:
            attempt.timeout_timer = self._scheduler.at(
                now + timeout, self._pool.abort, attempt, CloseReason.TIMED_OUT
            )

    def _check_no_answer_needed(self, opened: OpenRequest) -> bool:
        """Whether the request is answered or its client has gone.

        Asks the system about the client where the sockets were polled too long ago to know.
        """
        if (
            not opened.answered
            and self._scheduler.time_since_poll() > STALE_POLL_S
            and opened.responder.has_disconnected()
        ):
            self.client_disconnected(opened)
        return opened.answered

    def _take_answer(self, request_id: str) -> OpenRequest | None:
        """Marks a request as answered; None if it is unknown or was answered before."""
        opened = self.open_requests.get(request_id)
        if opened is None or opened.answered:
            return None
        opened.answered = True
        return opened

    def _fail_unanswered(self, opened: OpenRequest, why: str) -> None:
        """Answers with an error a request that the engine leaves without an answer."""
        log.error("request %s: %s", opened.id, why)
        self._stats.rescued += 1
        self._stats.reply(opened.parsed.request.class_name, "error")
        opened.answered = True
        opened.responder.send_failure()
        self._handle(api.ClientDisconnected(opened.id), opened)

    def _drop_if_ended(self, opened: OpenRequest) -> None:
        if (
            opened.answered
            and not opened.attempts_out
            and self.open_requests.get(opened.id) is opened
        ):
            del self.open_requests[opened.id]
            if opened.deadline_timer:
                opened.deadline_timer.cancel()
