"""The times at which faults affected each process and each link of a run."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

NEVER = float("inf")


class FaultHistory:
    """The faults of a run, read from the lines of `faults.jsonl`.

    Attributes:
        down: by process, begin and end of each period in which it was dead, paused or starting.
        kinds: by process, the time and kind of each fault.
        links: by sender and receiver, the begin, end and kind of each fault.
        begin: start of the load.
        end: end of the load.
        last_change_at: when the last fault began or ended, or the last settings were distributed.
        harness_delays: begin and end of each period in which the harness itself was late.
        settings_changes: time, revision and processes of each change of settings.
    """

    def __init__(self, lines: list[dict[str, Any]]) -> None:
        self.down: dict[str, list[list[float]]] = defaultdict(list)
        self.kinds: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.links: dict[tuple[str, str], list[tuple[float, float, str]]] = defaultdict(list)
        self.begin = self.end = self.last_change_at = 0.0
        self.harness_delays: list[tuple[float, float]] = []
        self.settings_changes: list[tuple[float, int, list[str]]] = []
        active_link_faults: dict[int, dict[str, Any]] = {}
        for line in lines:
            if line["what"] == "late":
                self.harness_delays.append((line["t"] - line["late"], line["t"]))
                continue
            if line["what"] == "load":
                self.begin, self.end = line["t"], line["until"]
            elif line["what"] == "settings":
                self.settings_changes.append((line["t"], line["order"], line["whom"]))
            elif line.get("pairs") is not None:
                self._add_link_fault(line, active_link_faults)
            else:
                self._add_process_fault(line)
            if line["what"] != "load":
                self.last_change_at = max(self.last_change_at, line["t"])

    def _add_link_fault(
        self, line: dict[str, Any], active_faults: dict[int, dict[str, Any]]
    ) -> None:
        if line["on"]:
            active_faults[line["number"]] = line
            return
        start = active_faults.pop(line["number"])
        for a, b in start["pairs"]:
            self.links[a, b].append((start["t"], line["t"], start["what"]))

    def _add_process_fault(self, line: dict[str, Any]) -> None:
        for name in line["whom"]:
            self.kinds[name].append((line["t"], line["what"]))
            if line["on"]:
                self.down[name].append([line["t"], NEVER])
            elif self.down[name]:
                self.down[name][-1][1] = line["t"]

    def was_down(self, name: str, since: float, until: float) -> bool:
        """Whether a process was dead, paused or starting at some time in the period."""
        return any(begin <= until and end >= since for begin, end in self.down.get(name, []))

    def was_link_affected(
        self, sender: str, receiver: str, since: float, until: float, ignored: tuple[str, ...] = ()
    ) -> bool:
        """Whether a fault affected the direction from `sender` to `receiver` in the period.

        Faults whose kind is in `ignored` do not count.
        """
        return any(
            begin <= until and end >= since and kind not in ignored
            for begin, end, kind in self.links.get((sender, receiver), [])
        )

    def gone_at_end(self) -> set[str]:
        """Returns the processes that were still down at the end of the run."""
        return {name for name, spans in self.down.items() if spans and spans[-1][1] == NEVER}
