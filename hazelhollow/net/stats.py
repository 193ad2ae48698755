"""Counters: what the limiter takes in, sends and answers. Plain numbers, printed on request and at exit."""

from __future__ import annotations

from collections import Counter
from typing import Any

import orjson

from hazelhollow.net.ending import Ending


class Stats:
    def __init__(self) -> None:
        self.at = 0.0  # Unix time in seconds of a line that is printed again and again
        self.accepted = self.commands = self.malformed = self.bad = self.relieved = 0  # acquirer side
        self.requests = self.served = self.declined = self.failed = self.clients_gone = 0
        self.declines: Counter[str] = Counter()  # by the module's reason
        self.rescued = 0  # requests answered here because the module had not
        self.legs = self.reused = self.opened = self.no_descriptor = 0  # issuer hosts
        self.ok_seconds = 0.0  # that legs which served took, together
        self.outcomes: Counter[str] = Counter()
        self.endings: Counter[Ending] = Counter()
        self.tables = self.watches_lost = 0  # routing
        self.told = self.heard = self.junk = self.untold = 0  # peers
        self.errors = 0
        self.store: dict[str, dict[str, Any]] = {}  # the shared store, where an operator file has one

    def text(self) -> str:
        values: dict[str, Any] = {}
        for name, value in vars(self).items():
            if isinstance(value, Counter):
                value = {str(getattr(key, "name", key)).lower(): count for key, count in value.items()}
            values[name] = value
        return orjson.dumps(values).decode()
