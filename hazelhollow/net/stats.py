"""The counters of received, sent and answered traffic since the start of the process.

They are printed on SIGUSR1, by `serve --counters`, in reply to a client's INFO, and at the end. The
names of the attributes are the names in that output, which the operators' pages specify.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import orjson

from hazelhollow.net.close_reason import CloseReason


class Stats:
    """One limiter's counters. The order of the attributes is the order of the output."""

    def __init__(self) -> None:
        self.at = 0.0  # Unix time in seconds of a line of `--counters`
        # Clients' connections
        self.accepted = 0
        self.commands = 0
        self.malformed = 0  # connections that violated the protocol
        self.bad = 0  # requests that the settings do not allow
        self.unexecuted_bytes = 0  # read, but not executed when the limiter closed the connection
        self.relieved = 0  # connections closed because all clients together held too much memory
        # Requests
        self.requests = 0
        self.served = 0
        self.refused = 0
        self.failed = 0
        self.clients_gone = 0
        self.duplicate_ids = 0  # answered with an error: their id was open or ran
        self.given_up = 0  # answered with an error: their client has sent something unreadable
        self.late_answers = 0  # final answers that came over 0.5 s after their time
        self.refusals: Counter[str] = Counter()  # by the engine's reason
        self.rescued = 0  # answered with an error because the engine had not answered
        # Attempts
        self.attempts = 0
        self.reused = 0  # on an open connection
        self.opened = 0  # on a new connection
        self.no_descriptor = 0
        self.withheld = 0  # checks that held a request back: its client may have left unseen
        self.forwarded = 0  # long values that began to be passed on
        self.collected = 0  # long values with requests behind them, which have to be whole first
        self.broken_values = 0  # of those, the ones that were not completed
        self.ok_seconds = 0.0  # total duration of successful attempts
        self.settled = 0  # answers that reported the units used
        self.figures_bad = 0  # answers with invalid usage figures
        self.cancellations: Counter[str] = Counter()  # by the engine's reason
        self.retry_denials: Counter[str] = Counter()  # why a request had no further attempt
        self.outcomes: Counter[str] = Counter()
        self.endings: Counter[CloseReason] = Counter()
        # Discovery
        self.tables = 0  # lists and changes received
        self.watches_lost = 0
        # Datagrams between limiters
        self.told = 0  # sent
        self.heard = 0
        self.junk = 0  # received, but from no peer or not text
        self.untold = 0  # could not be sent
        self.errors = 0  # of the decision engine
        # Figures of the operator address
        self.replies: dict[str, Counter[str]] = {}  # by class and result: success, overload, error
        self.dispatches = 0  # attempts whose request was sent completely
        self.reload_success = 0
        self.reload_failure = 0
        self.operator_calls: Counter[str] = Counter()
        self.operator_endings: Counter[CloseReason] = Counter()
        # Subsystems that an operator file enables
        self.view: Counter[str] = Counter()  # membership
        self.replica: Counter[str] = Counter()  # replication
        self.control: dict[str, Any] = {}  # the control budget, by role
        self.store: dict[str, dict[str, Any]] = {}  # the shared store

    def reply(self, kind: str, result: str) -> None:
        """Counts a final answer to a request by class and result.

        `result` is `success`, `overload` or `error`.
        """
        counts = self.replies.get(kind)
        if counts is None:
            counts = self.replies[kind] = Counter(success=0, overload=0, error=0)
        counts[result] += 1

    def to_json(self) -> str:
        """Returns all counters as one line of JSON, with close reasons in lower case."""
        values: dict[str, Any] = {}
        for name, value in vars(self).items():
            if name == "control" and not value:
                continue
            if name == "replies":
                value = {kind: dict(counts) for kind, counts in value.items()}
            elif isinstance(value, Counter):
                value = {
                    str(getattr(key, "name", key)).lower(): count for key, count in value.items()
                }
            values[name] = value
        return orjson.dumps(values).decode()
