"""The adapter between the network and the decision engine: events in, actions out.

This is the only module that connects the two. It turns what happens on sockets into events for the
engine and performs the actions that the engine returns; it makes no decisions. It owns the open
requests and ensures that each gets exactly one final answer (see `open_request`).

The network code answers a request with `-BUSY` in two forms:

- `-BUSY MS`: the engine rejected the request (`RejectRequest`), and MS is `retry_after` of that
  action in milliseconds, rounded up (`_reject`). The reason is counted in the counter `refusals`;
  `decisions/rejections.py` documents which rule sets the time, and why it is that long.
- `-BUSY` without a time: the engine gave no time, or never received the request because the limit
  `policy_limits.max_open` was reached (`submit`). The latter has no entry in `refusals`.

No other path of the network code leads to `-BUSY`; `answer_slot.AnswerSlot.send_busy` writes it.
"""

from __future__ import annotations

import logging
import math
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.retry import NEVER_RAN
from hazelhollow.net.attempts import Attempt, AttemptResult
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.connection_pool import ConnectionPool
from hazelhollow.net.execution_log import ExecutionLog
from hazelhollow.net.open_request import Forwardable, OpenRequest, Responder
from hazelhollow.net.peer_socket import PeerSocket
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.stats import Stats
from hazelhollow.net.value_forwarding import LongValue, release_collected
from hazelhollow.simulator.endpoint_reports import read_cost, read_report
from hazelhollow.simulator.errors import WireError

FAILED_TIMER_RETRY_S = 1.0  # until a timer whose handling failed in the engine fires again
# If the last poll was longer ago than this, the client's connection is checked before an attempt
# starts. No attempt may start more than 0.1 s after its client has disconnected, even if the
# process was busy for longer than that.
STALE_POLL_S = 0.03
LATE_ANSWER_S = 0.5  # after its time a final answer only earns nothing for this long

log = logging.getLogger(__name__)


class Decisions(Protocol):
    """The interface of the decision engine, or of a decorator of it, to the network code."""

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Handles an event at the time `now`; returns the resulting actions in order."""


class EngineDriver:
    """Passes events to the decision engine and performs its actions.

    Attributes:
        peers: Sends gossip; None if the configuration allows no datagrams between limiters.
        on_count: Receives the engine's own counts of charges; None if nothing replicates them.
        max_settled_units: The most units that an answer may settle; 0 if units are not settled
            after the answer.
        open_requests: The open requests by their ids.
        attempts_by_endpoint: Started attempts by endpoint; None if nothing uses these counts.
        executions: Shares what was forwarded with the other process of an upgrade; None if nothing
            does.
        classes_to_run_once: The classes that are not safe to repeat.
        sampled_ids: Ids of forwarded requests, at most `max_samples` until they are collected.
    """

    def __init__(
        self,
        decisions: Decisions,
        scheduler: Scheduler,
        pool: ConnectionPool,
        stats: Stats,
        max_open: int,
    ) -> None:
        """`max_open`: concurrent requests; any more are rejected without consulting the engine."""
        self._decisions, self._scheduler = decisions, scheduler
        self._pool, self._stats, self._max_open = pool, stats, max_open
        self.peers: PeerSocket | None = None
        self.on_count: Callable[[api.ReplicateCount], None] | None = None
        self.attempts_by_endpoint: Counter[str] | None = None
        self.executions: ExecutionLog | None = None
        self.classes_to_run_once = frozenset[str]()
        self.sampled_ids, self.max_samples = list[str](), 0
        self.open_requests: dict[str, OpenRequest] = {}
        self.max_settled_units = 0.0
        self._progress: dict[tuple[str, int], float] = {}  # by request and attempt: time
        self._events: deque[tuple[api.Event, OpenRequest | None]] = deque()
        self._in_engine = False
        self._log = RateLimitedLog(log, scheduler.clock)

    # The client side

    def submit(self, parsed: Forwardable, responder: Responder) -> OpenRequest | None:
        """Accepts a request.

        Returns:
            The open request, to be passed to `client_disconnected` if the client disconnects; None
            if it was answered immediately.
        """
        request = parsed.request
        self._stats.requests += 1
        if len(self.open_requests) >= self._max_open:
            self._stats.refused += 1
            self._stats.reply(request.class_name, "overload")
            responder.send_busy(0)
            return None
        if request.id in self.open_requests or self._is_open_elsewhere(request):
            # An id stands for one request, whoever sends it, while that is open or runs; an
            # endpoint's answer could not be assigned to either of two. The first one goes on.
            self._stats.duplicate_ids += 1
            self._stats.failed += 1
            self._stats.reply(request.class_name, "error")
            responder.send_failure()
            return None
        deadline = self._scheduler.clock() + request.time_left
        opened = OpenRequest(request.id, parsed, responder, deadline)
        self.open_requests[request.id] = opened
        self._handle(request, opened)
        if opened.answered:  # most rejections are immediate and need no timer
            return None
        opened.deadline_timer = self._scheduler.at(opened.deadline, self._expire, opened)
        return opened

    def _is_open_elsewhere(self, request: api.RequestArrived) -> bool:
        """Whether this id is open at the other process; else tells that process of it."""
        if not self.executions:
            return False
        reported = self.executions.read()
        if reported:
            self._handle(api.ExecutionsReported(reported))
        if self.executions.is_open_elsewhere(request):
            return True
        if request.class_name not in self.classes_to_run_once:
            self.executions.append_open(request)
        return False

    def concurrent(self) -> int:
        """Returns the number of accepted requests whose answer has not ended yet."""
        opened_requests = self.open_requests.values()
        return sum([not opened.answered or bool(opened.forwarding) for opened in opened_requests])

    def is_forwarding(self) -> bool:
        """Whether a long value is being passed on to a client."""
        return any(opened.forwarding for opened in self.open_requests.values())

    def client_disconnected(self, opened: OpenRequest) -> None:
        """Records that the client has disconnected and needs no answer any more.

        Attempts whose request has not been sent completely are withdrawn: no endpoint can have
        started to execute it, however long the connection takes to be established. A value that is
        being forwarded is given up.
        """
        if opened.forwarding:
            self._stats.clients_gone += 1
            self._pool.abort(opened.forwarding, CloseReason.CANCELLED)
        elif not opened.answered:
            self._stats.clients_gone += 1
            opened.answered = True
            self._handle(api.ClientDisconnected(opened.id), opened)
            for attempt in opened.attempts:
                self._pool.withdraw(attempt, CloseReason.CANCELLED)
            self._abort_collected_values(opened)

    def give_up(self, opened: OpenRequest) -> None:
        """Ends a request whose client has sent something unreadable, and all its attempts.

        The caller answers it with an error.
        """
        self._stats.given_up += 1
        self._stats.failed += 1
        self._stats.reply(opened.parsed.request.class_name, "error")
        if not opened.answered:
            opened.answered = True
            self._handle(api.ClientDisconnected(opened.id), opened)
        for attempt in opened.attempts:
            self._pool.abort(attempt, CloseReason.CANCELLED)

    # Other events

    def notify(self, event: api.Event) -> None:
        """Passes the engine an event that belongs to no open request."""
        self._handle(event)

    def gossip_received(self, sender: int, text: str) -> None:
        """Passes the engine a gossip datagram from the limiter with the number `sender`."""
        self._handle(api.GossipReceived(sender, text))

    def _timer_fired(self, name: str) -> None:
        if self._progress:
            answers = [api.AnswerProgress(*key, at) for key, at in self._progress.items()]
            self._progress.clear()
            self._handle(api.AnswersProgressed(tuple(answers)))
        self._handle(api.TimerFired(name))

    def _expire(self, opened: OpenRequest) -> None:
        """Aborts all attempts at the deadline and answers if the engine has not done so.

        Not called once a value is being forwarded: it began in time.
        """
        for attempt in opened.attempts:
            self._pool.abort(attempt, CloseReason.TIMED_OUT)
        if not opened.answered and not self._in_engine:
            self._fail_unanswered(opened, "no decision by its deadline, answering with an error")
        self._drop_if_ended(opened)

    def _attempt_ended(self, opened: OpenRequest, number: int, result: AttemptResult) -> None:
        attempt, now = opened.attempts[number], self._scheduler.clock()
        opened.attempts_out -= 1
        if attempt.answer_began_at:
            self._progress.pop((opened.id, number), None)
        release_collected(opened, attempt)
        self._stats.outcomes[result.status] += 1
        if result.status in NEVER_RAN:
            self._retract_execution(opened, attempt.execution, attempt.started_at)
        # The time that a client takes to read a long value says nothing about the endpoint.
        ended_at = attempt.forwarding_since or now
        elapsed = ended_at - attempt.started_at
        if opened.forwarding is attempt:
            self._end_forwarding(opened, result.status)
        elif result.status == "ok" and result.value is not None and not opened.answered:
            self._set_answered(opened)
            self._count_served(opened, elapsed)
            opened.responder.send_value(result.value)
        event = api.AttemptEnded(
            opened.id,
            number,
            attempt.endpoint,
            result.status,
            elapsed,
            opened.answered,
            self._settled_units(result),
            read_report(result.report),
            attempt.answer_time(ended_at),
        )
        self._handle(event, opened)

    def _count_served(self, opened: OpenRequest, elapsed: float) -> None:
        self._stats.served += 1
        self._stats.reply(opened.parsed.request.class_name, "success")
        self._stats.ok_seconds += elapsed

    # Long values

    def value_collected(self) -> None:
        """Counts a long value that is collected, since other requests wait behind it."""
        self._stats.collected += 1

    def begin_forwarding(self, opened: OpenRequest, number: int, length: int) -> None:
        """Begins to forward a long value as the final answer.

        From here on the request has this attempt alone.
        """
        attempt = opened.attempts[number]
        self._set_answered(opened)
        opened.forwarding = attempt
        if opened.deadline_timer:
            opened.deadline_timer.cancel()
        self._stats.forwarded += 1
        for other in opened.attempts:
            if other is not attempt:
                self._pool.abort(other, CloseReason.CANCELLED)
        opened.responder.start_value(length, attempt.wake_connection)
        self._handle(api.AttemptStarted(opened.id, number, attempt.endpoint), opened)

    def _end_forwarding(self, opened: OpenRequest, status: api.Status) -> None:
        """Ends a forwarded value: completely, or so that the client can tell that it is not."""
        attempt, opened.forwarding = opened.forwarding, None
        assert attempt
        if status == "ok":
            self._count_served(opened, attempt.forwarding_since - attempt.started_at)
            opened.responder.complete_value()
            return
        if status == "cancelled":  # the client has left
            return
        log.info(
            "request %s: its answer from endpoint %s broke off (%s)",
            opened.id,
            attempt.endpoint,
            status,
        )
        self._stats.failed += 1
        self._stats.broken_values += 1
        self._stats.reply(opened.parsed.request.class_name, "error")
        opened.responder.break_value()

    def answer_progressed(self, opened: OpenRequest, number: int, at: float) -> None:
        """Notes that a part of an answer has arrived; the engine is told before its next round.

        Most answers are complete by then, so that it is told of the few that come slowly.
        """
        self._progress[opened.id, number] = at

    def answer_stalled(self, opened: OpenRequest, number: int) -> None:
        """Handles a short value that stopped arriving: the engine may try another endpoint."""
        if opened.answered:
            self._pool.abort(opened.attempts[number], CloseReason.STALLED)
        else:
            self._handle(api.AnswerStalled(opened.id, number), opened)

    def _settled_units(self, result: AttemptResult) -> float:
        """Returns the units that the request used according to the endpoint, 0 if not given.

        The units count for every successful answer, also if the client has disconnected, since the
        endpoint did the work. Invalid figures are ignored; the client has already been sent the
        value of such an answer.
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

    # Events to the engine, actions from it

    def _handle(self, event: api.Event, opened: OpenRequest | None = None) -> None:
        """Passes the engine an event and performs the resulting actions.

        An action may cause another event immediately. That event is queued until the engine has
        handled the current one, so that calls of the engine never nest.
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
        except Exception:  # the engine loses this event; no other request is affected
            log.exception(
                "the decision engine raised an exception at event %s, which is lost",
                type(event).__name__,
            )
            self._stats.errors += 1
            actions, engine_failed = [], True
            if isinstance(event, api.TimerFired):
                # the engine has not set the next timer, so its periodic work would stop
                self._scheduler.at(now + FAILED_TIMER_RETRY_S, self._timer_fired, event.name)
        for action in actions:
            self._perform(action, now)
        if opened:
            if engine_failed and not opened.answered and not opened.attempts_out:
                self._fail_unanswered(opened, "the decision engine failed, answering with an error")
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
        # SubscribeToEndpoints needs no action: the watch on discovery is always active.

    def _cancel(self, action: api.CancelAttempt) -> None:
        opened = self.open_requests.get(action.id)
        if opened is None or action.attempt >= len(opened.attempts):
            return
        attempt = opened.attempts[action.attempt]
        if attempt is opened.forwarding or attempt.on_result is None:
            return
        now = self._scheduler.clock()
        self._stats.cancellations[action.reason] += 1
        self._log.info(
            "request %s: cancelling attempt %d at endpoint %s (%s) after %.3f s, %d bytes of its "
            "answer have come, the last %.3f s ago",
            opened.id,
            action.attempt,
            attempt.endpoint,
            action.reason,
            now - attempt.started_at,
            attempt.received_bytes,
            now - (attempt.progressed_at or attempt.started_at),
        )
        self._pool.abort(attempt, CloseReason.CANCELLED)

    def _reject(self, action: api.RejectRequest) -> None:
        opened = self._mark_answered(action.id)
        if opened:
            self._stats.refused += 1
            self._stats.refusals[action.reason] += 1
            self._note_retry_denial(opened, action.retry_denial)
            self._stats.reply(opened.parsed.request.class_name, "overload")
            opened.responder.send_busy(math.ceil(action.retry_after * 1000))

    def _note_retry_denial(self, opened: OpenRequest, denial: api.RetryDenial | None) -> None:
        """Counts and logs why a request ends without another attempt."""
        if denial is None:
            return
        self._stats.retry_denials[denial] += 1
        self._log.info(
            "request %s: no further attempt (%s) with %.3f s left, after attempts at %s",
            opened.id,
            denial,
            opened.deadline - self._scheduler.clock(),
            ", ".join(attempt.endpoint for attempt in opened.attempts),
        )

    def _fail(self, action: api.FailRequest) -> None:
        opened = self._mark_answered(action.id)
        if opened:
            self._note_retry_denial(opened, action.retry_denial)
            self._stats.failed += 1
            self._stats.reply(opened.parsed.request.class_name, "error")
            opened.responder.send_failure()

    def _start_attempt(self, action: api.StartAttempt, now: float) -> None:
        opened = self.open_requests.get(action.id)
        if opened and action.execution and self.executions:
            # Before the client's connection is checked: see `execution_log`.
            self.executions.append(opened.parsed.request, action.execution, 0.0)
        if (
            opened is None
            or self._check_no_answer_needed(opened, action.execution is not None)
            or now >= opened.deadline
        ):
            self._end_unstarted(opened, action, now)
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
            lambda: self._prepare_to_send(opened, number, now + timeout),
            LongValue(self, opened, number),
        )
        attempt.execution = action.execution
        opened.attempts.append(attempt)
        if action.send_by < now + timeout:
            attempt.send_by_timer = self._scheduler.at(
                action.send_by, self._pool.withdraw, attempt, CloseReason.NEVER_UP
            )
        if now + timeout < opened.deadline:
            attempt.timeout_timer = self._scheduler.at(
                now + timeout, self._pool.abort, attempt, CloseReason.TIMED_OUT
            )

    def _end_unstarted(
        self, opened: OpenRequest | None, action: api.StartAttempt, now: float
    ) -> None:
        """Tells the engine that an attempt did not begin.

        The attempt keeps its number, or the numbers of later ones would differ from the engine's.
        """
        number = 0
        if opened:
            self._retract_execution(opened, action.execution, now)
            number = len(opened.attempts)
            opened.attempts.append(Attempt.never_started(action.endpoint, now))
        event = api.AttemptEnded(action.id, number, action.endpoint, "never_sent", 0.0)
        self._events.append((event, opened))

    def _prepare_to_send(self, opened: OpenRequest, number: int, ends_at: float) -> bool:
        """Called when the attempt's new connection is up and nothing has been sent on it.

        Connecting took time, which the client does not have any more. `ends_at`: when the attempt
        times out.

        Returns:
            Whether the request may be sent now, as far as it is known that its client is there.
        """
        attempt = opened.attempts[number]
        if self._check_no_answer_needed(opened, attempt.execution is not None):
            return True
        if not self.is_client_known(opened):
            return False
        time_left = ends_at - self._scheduler.clock()
        attempt.command = opened.parsed.command(max(1, round(time_left * 1000)))
        return True

    def _retract_execution(
        self, opened: OpenRequest, execution: api.Execution | None, started_at: float
    ) -> None:
        """Tells the other process that an attempt never ran, so that its id may be used there."""
        if execution and self.executions:
            age = self._scheduler.clock() - started_at
            self.executions.retract(opened.parsed.request, execution, age)

    def _check_no_answer_needed(self, opened: OpenRequest, runs_once: bool = False) -> bool:
        """Whether the request is answered or its client has disconnected.

        The operating system is asked about the client's connection if the sockets were last polled
        too long ago or input of the client is unread, and always if the request must not run twice:
        a client that has left may send it again elsewhere at once.
        """
        if (
            not opened.answered
            and (
                runs_once
                or self._scheduler.time_since_poll() > STALE_POLL_S
                or not opened.responder.shows_disconnect()
            )
            and opened.responder.has_disconnected()
        ):
            self.client_disconnected(opened)
        return opened.answered

    def is_client_known(self, opened: OpenRequest) -> bool:
        """Whether the client was certainly connected a moment ago, so that an attempt may begin.

        Guards against attempts for a client whose close stands behind input that is not read.
        """
        return opened.responder.is_client_known()

    def _mark_answered(self, request_id: str) -> OpenRequest | None:
        """Marks a request as answered; returns None if it is not open or already answered."""
        opened = self.open_requests.get(request_id)
        if opened is None or opened.answered:
            return None
        self._set_answered(opened)
        return opened

    def _set_answered(self, opened: OpenRequest) -> None:
        """Notes that the final answer is given, or begun; reports one that is late."""
        opened.answered = True
        self._abort_collected_values(opened)
        late = self._scheduler.clock() - opened.deadline
        if late <= LATE_ANSWER_S:
            return
        self._stats.late_answers += 1
        attempts = [
            f"{attempt.endpoint} ({'ended' if attempt.on_result is None else 'in flight'})"
            for attempt in opened.attempts
        ]
        self._log.warning(
            "request %s: its final answer is %.3f s after its time; attempts: %s",
            opened.id,
            late,
            ", ".join(attempts) or "none",
        )

    def _abort_collected_values(self, opened: OpenRequest) -> None:
        """Ends the attempts whose long values are collected: nobody waits for these any more."""
        for attempt in opened.attempts:
            if attempt.collects_value:
                self._pool.abort(attempt, CloseReason.CANCELLED)

    def _fail_unanswered(self, opened: OpenRequest, why: str) -> None:
        """Sends an error for a request that the engine left unanswered."""
        log.error("request %s: %s", opened.id, why)
        self._stats.rescued += 1
        self._stats.reply(opened.parsed.request.class_name, "error")
        self._set_answered(opened)
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
