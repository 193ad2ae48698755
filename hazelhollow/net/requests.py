"""A request as a client words it.

What the settings let it say, and the command that goes on to a backend host.
"""

from __future__ import annotations

import math
import re

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.state.class_statistics import changed_classes
from hazelhollow.net import resp

_CUSTOMER = re.compile(rb"0{7}[01][0-9a-f]{8}")  # 16 hex digits, a number below 2**33
_ID = re.compile(rb"[!-~]{1,64}")
_WHOLE = re.compile(r"[0-9]{1,9}")
_UNITS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class BadCommandError(Exception):
    """A command that is answered with an error, and why."""


class Terms:
    """What the settings let a request say.

    Nothing else may reach the module or a backend host: there a single `nan`, or a wait of years,
    would spoil what is learned from all the others.
    """

    def __init__(self, settings: api.Settings, before: Terms | None = None) -> None:
        """`before`.

        Those that held until now, and by which requests that are on their way were made.
        """
        self.classes = {c.name: c for c in settings.classes}
        known = before.longest if before else dict[str, float]()
        changed = changed_classes(before.classes if before else {}, settings.classes)
        longest = known | {c.name: max(c.deadline, known.get(c.name, 0.0)) for c in changed}
        gone = longest.keys() - self.classes.keys()
        self.longest: dict[str, float] = {
            name: seconds for name, seconds in longest.items() if name not in gone
        }
        self.plans = {p.name for p in settings.plans}
        self.gateways, self.most_units = settings.limiter_count, settings.max_units

    def read(self, words: list[bytes], late: float) -> api.RequestArrived:
        """`late`: how long ago the command may have arrived."""
        if len(words) != (5 if words[0].upper() == b"Q.DO" else 4):
            raise BadCommandError("wrong number of arguments")
        if not _CUSTOMER.fullmatch(words[1]) or not _ID.fullmatch(words[2]):
            raise BadCommandError("no such customer, or no id")
        try:
            items = [item.split("=", 1) for item in words[3].decode("ascii").split(",")]
            fields = dict(items)
            kind, plan = self.classes.get(fields["c"]), fields["t"]
            patience, spread, first = fields["d"], fields["spread"], fields["first"]
            units = fields["units"]
        except (KeyError, ValueError):
            raise BadCommandError("unreadable request") from None
        if len(fields) != len(items):
            raise BadCommandError("a field comes twice")
        if kind is None or plan not in self.plans:
            raise BadCommandError("no such class or plan")
        if (kind.effect == "safe") != (len(words) == 4) or (
            kind.effect == "keyed" and not fields.get("k")
        ):
            raise BadCommandError("not the command for this class")
        if not _WHOLE.fullmatch(patience) or int(patience) > math.ceil(
            self.longest[kind.name] * 1000
        ):
            raise BadCommandError("d out of range")
        if not _UNITS.fullmatch(units) or not 0 < float(units) <= self.most_units:
            raise BadCommandError("units out of range")
        if not (_WHOLE.fullmatch(spread) and _WHOLE.fullmatch(first)):
            raise BadCommandError("set out of range")
        if not (0 < int(spread) <= self.gateways and int(first) < self.gateways):
            raise BadCommandError("set out of range")
        return api.RequestArrived(
            id=words[2].decode("ascii"),
            class_name=kind.name,
            plan_name=plan,
            customer=words[1].decode("ascii"),
            units=float(units),
            time_left=int(patience) / 1000.0 - late,
            set_start=int(first),
            set_size=int(spread),
            is_retry=fields.get("r") == "1",
        )


class Ask:
    """`Q.ASK` or `Q.DO`, read; it can be said again with another wait and nothing else changed."""

    __slots__ = ("request", "size", "_words", "_before", "_after")

    def __init__(self, words: list[bytes], request: api.RequestArrived) -> None:
        self.request, self._words, self.size = request, words, sum(map(len, words))
        text = words[3]
        start = 0 if text.startswith(b"d=") else text.index(b",d=") + 1
        end = text.find(b",", start)
        self._before, self._after = text[: start + 2], text[end:] if end >= 0 else b""

    def command(self, wait_ms: int) -> bytes:
        words = self._words
        return resp.encode_command(
            [*words[:3], b"%b%d%b" % (self._before, wait_ms, self._after), *words[4:]]
        )
