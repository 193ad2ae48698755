"""Faults of the stand-in by schedule and by seed.

A plan is read from a file or extended by an admin command; `FaultSchedule` says what is active
at an instant. No I/O.
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
TIMES = frozenset({"at", "lasts", "every", "delay", "age", "by"})  # fields that are spans of time
MAX_JUNK = 40  # bytes in place of a reply


class Fault(msgspec.Struct, frozen=True):
    """One line of a plan; times in seconds. `faults.cue` says what the kinds are."""

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
    outcome: str = ""  # one of OUTCOMES; empty: the reply goes out as it is


def read_plan(data: bytes, file: str) -> list[Fault]:
    """The faults of a plan file. Raises `CueError`, which says where and why."""
    path = Path(__file__).parent / "faults.cue"
    value = evaluate(parse(data, file), parse(path.read_bytes(), "faults.cue"), "#Plan")
    assert isinstance(value, dict) and isinstance(value["faults"], list)
    rows = []
    for row in value["faults"]:
        assert isinstance(row, dict)
        rows.append({k: _seconds(str(part)) if k in TIMES else part for k, part in row.items()})
    return msgspec.convert(rows, list[Fault])


def _seconds(text: str) -> float:
    return -seconds(text[1:]) if text.startswith("-") else seconds(text)


class LastingFault(NamedTuple):
    """A fault that is active from `begin` until `end` (seconds of the schedule's clock)."""

    begin: float
    end: float
    fault: Fault

    def is_active(self, now: float) -> bool:
        """Whether it is active now."""
        return self.begin <= now < self.end


class MomentaryFault(NamedTuple):
    """A fault that happens at an instant."""

    at: float
    fault: Fault


class FaultSchedule:
    """The plan at work. `start` is the time from which it counts."""

    def __init__(self, plan: list[Fault], seed: int, start: float) -> None:
        self._random = random.Random(seed)
        self._lasting = list[LastingFault]()
        self._momentary = list[MomentaryFault]()
        self.hits: Counter[str] = Counter()  # commands and moments that faults have hit, by kind
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
        """Ends all faults."""
        self._lasting.clear()
        self._momentary.clear()

    def next_at(self) -> float | None:
        """When the next momentary fault comes, if there is one."""
        return min((momentary.at for momentary in self._momentary), default=None)

    def due(self, now: float) -> list[Fault]:
        """The momentary faults whose time has come, in their order."""
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
        """The fault of that kind that is active now, if there is one."""
        return next((found.fault for found in self._active(kind, now)), None)

    def until(self, kind: str, now: float) -> float:
        """When the fault of that kind that is active now ends; now, where there is none."""
        return max([found.end for found in self._active(kind, now)], default=now)

    def _active(self, kind: str, now: float) -> list[LastingFault]:
        return [
            lasting
            for lasting in self._lasting
            if lasting.fault.kind == kind and lasting.is_active(now)
        ]

    def effect_on(self, command: bytes, now: float) -> FaultEffect:
        """Draws for each fault that is active; of the outcomes the first counts."""
        effect = FaultEffect()
        for lasting in self._lasting:
            fault = lasting.fault
            if not lasting.is_active(now) or (
                fault.share < 1 and self._random.random() >= fault.share
            ):
                continue
            if fault.kind == "slow":
                effect.delay_before += self._draw(fault)
            elif fault.kind == "late":
                effect.delay_after += self._draw(fault)
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
        """Bytes that are no reply."""
        return self._random.randbytes(self._random.randint(1, MAX_JUNK))

    def _draw(self, fault: Fault) -> float:
        if fault.spread == "constant":
            return fault.delay
        if fault.spread == "uniform":
            return self._random.uniform(0.0, 2 * fault.delay)
        return self._random.expovariate(1 / fault.delay) if fault.delay else 0.0

    def _count(self, kind: str) -> None:
        self.hits[kind] += 1
