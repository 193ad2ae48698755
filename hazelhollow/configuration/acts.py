"""What a member writes down of its own acts and of what it hears, as the record's entries.

No I/O: the record writes.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from hazelhollow.configuration import versions
from hazelhollow.configuration.known import KnownVersions
from hazelhollow.configuration.record import Record
from hazelhollow.configuration.rollout import Step
from hazelhollow.configuration.versions import Versions

log = logging.getLogger(__name__)


class Limiter(Protocol):
    """What is asked of the limiter."""

    def listed(self) -> tuple[int, str]:
        """The index of its list, and where discovery is."""

    def out(self) -> set[str]:
        """Hosts that are out by hand."""

    def figures(self) -> dict[str, int]:
        """Counts that only grow: requests, served, refused, failed."""

    def sent(self) -> Counter[str]:
        """Attempts by host since this was asked last."""

    def samples(self) -> list[str]:
        """Requests among them, some or all."""


class Acts:
    """Member `me`'s. Each entry is written when it differs from what was written before."""

    def __init__(
        self, me: int, record: Record, limiter: Limiter, clock: Callable[[], float]
    ) -> None:
        self._me, self._record, self._limiter, self._clock = me, record, limiter, clock
        self._settings = ("", 0, False)
        self._out: set[str] = set()
        self._list = -1
        self._told: dict[int, Versions] = {}  # by member, as heard
        self._figures: dict[str, int] = {}

    def settings(self, digest: str, order: int, tried: bool, why: str) -> bool:
        """It acts on these settings, or is about to; whether they are others than before."""
        if (digest, order, tried) == self._settings:
            return False
        self._settings = digest, order, tried
        self._record.add(self._clock(), "settings", digest, why, order=order, candidate=tried)
        return True

    def servers(self, order: int) -> None:
        """Its list, and the hosts that are out by hand."""
        out = self._limiter.out()
        if out != self._out:
            self._out = set(out)
            digest, hosts = versions.digest(sorted(out), 4), dict.fromkeys(sorted(out), 1)
            self._record.add(self._clock(), "hands", digest, hosts=hosts, order=order)
        index = self._limiter.listed()[0]
        if index != self._list:
            why = "" if index > self._list else "an older index: discovery began anew or is another"
            self._list = index
            self._record.add(self._clock(), "list", f"{index}", why, order=order)

    def heard(self, known: KnownVersions, order: int) -> None:
        """What others act on, where it has changed since this was called last."""
        for number, one in known.take_changed():
            told = _settings_of(one)
            if number != self._me and self._told.get(number) != told:
                self._told[number] = told
                self._record.add(
                    self._clock(), "heard", versions.write(one), order=order, other=number
                )

    def second(self, digest: str, order: int) -> None:
        """What was done in the last second, under these settings."""
        figures = self._limiter.figures()
        counts = {name: count - self._figures.get(name, 0) for name, count in figures.items()}
        self._figures = figures
        hosts = self._limiter.sent()
        if any(counts.values()) or hosts:
            more: dict[str, Any] = {
                "counts": counts,
                "hosts": dict(hosts),
                "samples": self._limiter.samples(),
            }
            self._record.add(self._clock(), "second", digest, order=order, **more)

    def step(self, step: Step, why: str, order: int) -> None:
        """What became of settings that are tried."""
        self._record.add(self._clock(), "rollout", step, why, order=order)
        level = logging.WARNING if step in (Step.HELD, Step.REFUSED) else logging.INFO
        log.log(level, "audit: candidate %d %s: %s", order, step, why)


def _settings_of(one: Versions) -> Versions:
    """Without what says nothing of the settings."""
    return one._replace(program="", listed=0, discovery="", hands="")
