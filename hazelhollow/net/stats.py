"""Counters: what the limiter takes in, sends and answers.

Plain numbers, printed on request and at exit.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import orjson

from hazelhollow.net.close_reason import CloseReason


class Stats:
    def __init__(self) -> None:
        self.at = 0.0  # Unix time in seconds of a line that is printed again and again
        self.accepted = self.commands = self.malformed = self.bad = self.relieved = 0  # client side
        self.requests = self.served = self.refused = self.failed = self.clients_gone = 0
        self.refusals: Counter[str] = Counter()  # by the module's reason
        self.rescued = 0  # requests answered here because the module had not
        self.attempts = self.reused = self.opened = self.no_descriptor = 0  # backend hosts
        self.ok_seconds = 0.0  # that attempts which served took, together
        # answers with true units, and with figures that cannot be true
        self.settled = self.figures_bad = 0
        self.outcomes: Counter[str] = Counter()
        self.endings: Counter[CloseReason] = Counter()
        self.tables = self.watches_lost = 0  # routing
        self.told = self.heard = self.junk = self.untold = 0  # peers
        self.errors = 0
        self.replies: dict[str, Counter[str]] = {}  # by class: success, overload, error
        self.dispatches = 0  # attempts written whole to backend hosts
        self.reload_success = self.reload_failure = 0
        self.operator_calls: Counter[str] = Counter()
        self.operator_endings: Counter[CloseReason] = Counter()
        self.view: Counter[str] = Counter()  # the fleet's, where an operator file switches it on
        self.replica: Counter[str] = Counter()
        self.control: dict[str, Any] = {}  # the budget's, by role, where an operator file sets one
        # the shared store, where an operator file has one
        self.store: dict[str, dict[str, Any]] = {}

    def reply(self, kind: str, what: str) -> None:
        """A final answer to a request of that class: `success`, `overload` or `error`."""
        counts = self.replies.get(kind)
        if counts is None:
            counts = self.replies[kind] = Counter(success=0, overload=0, error=0)
        counts[what] += 1

    def text(self) -> str:
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
