"""Hosts instances of the decision module on the simulator's wire: lines in, lines out."""

from __future__ import annotations

import sys
from typing import TextIO

from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.simulator import wire


class Host:
    """The instances, and one batch of messages at a time."""

    def __init__(self) -> None:
        self._gateways: dict[int, DecisionEngine] = {}

    def answer(self, batch: list[tuple[str, wire.Fields]]) -> str:
        """The whole reply to one batch, the clock's message first."""
        if not batch or batch[0][0] != "frame":
            raise wire.WireError("batch does not begin with 'frame'")
        now = batch[0][1].number("t")
        lines: list[str] = []
        for name, fields in batch[1:]:
            lines += self._event(name, fields, now)
        return "".join(lines) + wire.end_line()

    def _event(self, name: str, fields: wire.Fields, now: float) -> list[str]:
        instance = fields.integer("who")
        if name == "halt":
            self._gateways.pop(instance, None)
            return []
        event = wire.parse_event(name, fields) if name != "hello" else None
        try:
            if name == "hello":
                self._gateways[instance] = DecisionEngine(*wire.parse_hello(fields))
                return []
            if instance not in self._gateways or event is None:
                return []
            actions = self._gateways[instance].handle(event, now)
            return [wire.action_line(instance, action) for action in actions]
        except wire.WireError:
            raise
        except Exception as error:  # the module is broken: the wire has an action for that
            return [wire.fault_line(instance, f"{type(error).__name__}: {error}")]


def run(source: TextIO, sink: TextIO) -> None:
    host = Host()
    batch: list[tuple[str, wire.Fields]] = []
    for line in source:
        if not line.strip():
            continue
        name, fields = wire.parse_line(line)
        if name != "eof_batch":
            batch.append((name, fields))
            continue
        sink.write(host.answer(batch))
        sink.flush()
        batch = []


def main() -> int:
    try:
        run(sys.stdin, sys.stdout)
    except (wire.WireError, UnicodeDecodeError) as error:
        print(f"hazelhollow: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
