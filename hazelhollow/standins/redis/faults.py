"""Scheduled and random faults of the stand-in.

A plan is read from a file and can be extended by an admin command; `FaultSchedule` determines which
faults are active at a given time. Apart from reading the schema `faults.cue` there is no I/O.
"""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Literal, NamedTuple

import msgspec

from hazelhollow.operator.evaluate import evaluate
from hazelhollow.operator.load import seconds
from hazelhollow.operator.parser import parse

MOMENTARY = frozenset({"restart_empty", "restart_old", "flush_scripts", "flush_data", "clock_jump"})
ERRORS = {
    "loading": "LOADING Redis is loading the dataset in memory",
    "busy": (
        "BUSY Redis is busy running a script. You can only call SCRIPT KILL or SHUTDOWN " "NOSAVE."
    ),
}
ALLOWED_WHILE_LOADING = frozenset(
    {b"AUTH", b"HELLO", b"CLIENT", b"INFO", b"SELECT", b"QUIT", b"ROLE"}
)
OUTCOMES = frozenset({"lost", "cut_before", "cut_after", "half", "garbage"})
DURATION_FIELDS = frozenset({"at", "lasts", "every", "delay", "age", "by"})
MAX_JUNK_BYTES = 40  # sent instead of a reply


class Fault(msgspec.Struct, frozen=True):
    """One entry of a plan, with times in seconds; `faults.cue` describes the fields and kinds."""

    kind: str
    at: float = 0.0
    lasts: float = 86_400.0
    every: float = 0.0
    share: float = 1.0
    delay: float = 0.05
    spread: Literal["exponential", "constant", "uniform"] = "exponential"
    age: float = 5.0
    by: float = 30.0


class FaultEffect(msgspec.Struct):
    """What the active faults do to one command; delays in seconds."""

    delay_before: float = 0.0
    delay_after: float = 0.0
    error: str = ""
    outcome: str = ""  # one of OUTCOMES; empty: the reply is sent unchanged


def read_plan(data: bytes, file: str) -> list[Fault]:
    """Parses a plan file.

    Raises:
        CueError: the plan is invalid; the error gives the location and the reason.
    """
    path = Path(__file__).parent / "faults.cue"
    value = evaluate(parse(data, file), parse(path.read_bytes(), "faults.cue"), "#Plan")
    assert isinstance(value, dict) and isinstance(value["faults"], list)
    rows = []
    for row in value["faults"]:
        assert isinstance(row, dict)
        rows.append(
            {k: _seconds(str(part)) if k in DURATION_FIELDS else part for k, part in row.items()}
        )
    return msgspec.convert(rows, list[Fault])


def _seconds(text: str) -> float:
    return -seconds(text[1:]) if text.startswith("-") else seconds(text)


class LastingFault(NamedTuple):
    """A fault that is active from `begin` to `end`, in seconds of the schedule's clock."""

    begin: float
    end: float
    fault: Fault

    def is_active(self, now: float) -> bool:
        """Whether the fault is active at the time `now`."""
        return self.begin <= now < self.end


class MomentaryFault(NamedTuple):
    """A fault that takes effect at a single point in time."""

    at: float
    fault: Fault


class FaultSchedule:
    """The active and pending faults of a plan, whose times count from `start`."""

    def __init__(self, plan: list[Fault], seed: int, start: float) -> None:
        self._random = random.Random(seed)
        self._lasting = list[LastingFault]()
        self._momentary = list[MomentaryFault]()
        self.hits: Counter[str] = Counter()  # by kind, how many times a fault took effect
        for fault in plan:
            self.add(fault, start)

    def add(self, fault: Fault, start: float) -> None:
        """Adds a fault whose times count from `start`."""
        begin = start + fault.at
        if fault.kind in MOMENTARY:
            self._momentary.append(MomentaryFault(begin, fault))
        else:
            self._lasting.append(LastingFault(begin, begin + fault.lasts, fault))

    def clear(self) -> None:
        """Removes all active and pending faults."""
        self._lasting.clear()
        self._momentary.clear()

    def next_at(self) -> float | None:
        """Returns the time of the next momentary fault, or None."""
        return min((momentary.at for momentary in self._momentary), default=None)

    def pop_due(self, now: float) -> list[Fault]:
        """Removes and returns the momentary faults that are due, in order of time.

        A fault with `every` is scheduled again.
        """
        ready = sorted(
            [m for m in self._momentary if m.at <= now], key=lambda momentary: momentary.at
        )
        self._momentary = [m for m in self._momentary if m.at > now]
        for at, fault in ready:
            self._count(fault.kind)
            if fault.every > 0:
                self._momentary.append(MomentaryFault(at + fault.every, fault))
        return [momentary.fault for momentary in ready]

    def active(self, kind: str, now: float) -> Fault | None:
        """Returns an active fault of the given kind, or None."""
        return next((found.fault for found in self._active(kind, now)), None)

    def active_until(self, kind: str, now: float) -> float:
        """Returns when the active faults of the given kind end; `now` if there are none."""
        return max([found.end for found in self._active(kind, now)], default=now)

    def _active(self, kind: str, now: float) -> list[LastingFault]:
        return [
            lasting
            for lasting in self._lasting
            if lasting.fault.kind == kind and lasting.is_active(now)
        ]

    def effect_on(self, command: bytes, now: float) -> FaultEffect:
        """Returns the combined effect of the active faults on a command.

        A random draw decides whether a fault with a share below 1 applies. If several faults set an
        outcome, the first one counts.
        """
        effect = FaultEffect()
        for lasting in self._lasting:
            fault = lasting.fault
            if not lasting.is_active(now) or (
                fault.share < 1 and self._random.random() >= fault.share
            ):
                continue
            if fault.kind == "slow":
                effect.delay_before += self._draw_delay(fault)
            elif fault.kind == "late":
                effect.delay_after += self._draw_delay(fault)
            elif fault.kind in ERRORS and not (
                fault.kind == "loading" and command in ALLOWED_WHILE_LOADING
            ):
                effect.error = effect.error or ERRORS[fault.kind]
            elif fault.kind in OUTCOMES and not effect.outcome:
                effect.outcome = fault.kind
            else:
                continue
            self._count(fault.kind)
        return effect

    def junk(self) -> bytes:
        """Returns random bytes to send instead of a reply."""
        return self._random.randbytes(self._random.randint(1, MAX_JUNK_BYTES))

    def _draw_delay(self, fault: Fault) -> float:
        if fault.spread == "constant":
            return fault.delay
        if fault.spread == "uniform":
            return self._random.uniform(0.0, 2 * fault.delay)
        return self._random.expovariate(1 / fault.delay) if fault.delay else 0.0

    def _count(self, kind: str) -> None:
        self.hits[kind] += 1
