"""When each process and each link of a run was affected by a fault."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

NEVER = float("inf")


class FaultHistory:
    """The faults of a run, from the lines of its file.

    Attributes:
        down: by process, begin and end of each time that it was dead, stopped or starting.
        kinds: by process, time and kind of each fault.
        links: by sender and receiver, begin, end and kind of each fault.
        begin: of the load.
        end: of the load.
        last: when the last fault began or ended.
        late: begin and end of each time that the harness itself was late.
        changed: time, revision and processes of each change of settings.
    """

    def __init__(self, lines: list[dict[str, Any]]) -> None:
        self.down: dict[str, list[list[float]]] = defaultdict(list)
        self.kinds: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.links: dict[tuple[str, str], list[tuple[float, float, str]]] = defaultdict(list)
        self.begin = self.end = self.last = 0.0
        self.late: list[tuple[float, float]] = []
        self.changed: list[tuple[float, int, list[str]]] = []
        began: dict[int, dict[str, Any]] = {}
        for line in lines:
            if line["what"] == "late":
                self.late.append((line["t"] - line["late"], line["t"]))
                continue
            if line["what"] == "load":
                self.begin, self.end = line["t"], line["until"]
            elif line["what"] == "settings":
                self.changed.append((line["t"], line["order"], line["whom"]))
            elif line.get("pairs") is not None:
                self._link(line, began)
            else:
                self._process(line)
            if line["what"] != "load":
                self.last = max(self.last, line["t"])

    def _link(self, line: dict[str, Any], began: dict[int, dict[str, Any]]) -> None:
        if line["on"]:
            began[line["number"]] = line
            return
        first = began.pop(line["number"])
        for a, b in first["pairs"]:
            self.links[a, b].append((first["t"], line["t"], first["what"]))

    def _process(self, line: dict[str, Any]) -> None:
        for name in line["whom"]:
            self.kinds[name].append((line["t"], line["what"]))
            if line["on"]:
                self.down[name].append([line["t"], NEVER])
            elif self.down[name]:
                self.down[name][-1][1] = line["t"]

    def was_down(self, name: str, since: float, until: float) -> bool:
        """Whether a process was dead, stopped or starting within that time."""
        return any(begin <= until and end >= since for begin, end in self.down.get(name, []))

    def link_hit(
        self, sender: str, receiver: str, since: float, until: float, but: tuple[str, ...] = ()
    ) -> bool:
        """Whether what `sender` sent to `receiver` met a fault within that time."""
        return any(
            begin <= until and end >= since and kind not in but
            for begin, end, kind in self.links.get((sender, receiver), [])
        )

    def gone_at_end(self) -> set[str]:
        """Processes that were not started again."""
        return {name for name, spans in self.down.items() if spans and spans[-1][1] == NEVER}
