"""Hosts decision engines for the simulator, which exchanges lines with them on standard streams.

The simulator sends messages in batches, each of which begins with the clock (`frame`) and ends with
`eof_batch`, and waits for the complete reply. An exception in an engine is reported on the wire. A
line that violates the wire format ends the program with exit status 2.
"""

from __future__ import annotations

import sys
from typing import TextIO

from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.simulator import wire
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields

Message = tuple[str, Fields]  # its name and its fields


class EngineHost:
    """Holds the engines by the number that the simulator assigned to each."""

    def __init__(self) -> None:
        self._engines: dict[int, DecisionEngine] = {}

    def answer(self, batch: list[Message]) -> str:
        """Returns the complete reply to one batch.

        Raises:
            WireError: A message violates the wire format, or the first one is not the clock.
        """
        if not batch or batch[0][0] != "frame":
            raise WireError("batch does not begin with 'frame'")
        now = batch[0][1].number("t")
        lines: list[str] = []
        for name, fields in batch[1:]:
            lines += self._handle(name, fields, now)
        return "".join(lines) + wire.end_line()

    def _handle(self, name: str, fields: Fields, now: float) -> list[str]:
        """Returns the lines that answer one message."""
        instance = fields.integer("who")
        if name == "halt":
            self._engines.pop(instance, None)
            return []
        event = wire.parse_event(name, fields) if name != "hello" else None
        try:
            if name == "hello":
                self._engines[instance] = DecisionEngine(*wire.parse_hello(fields))
                return []
            if instance not in self._engines or event is None:
                return []
            actions = self._engines[instance].handle(event, now)
            return [wire.action_line(instance, action) for action in actions]
        except WireError:
            raise
        except Exception as error:  # a fault in one engine must not stop the others
            return [wire.fault_line(instance, f"{type(error).__name__}: {error}")]


def run(source: TextIO, sink: TextIO) -> None:
    """Answers batches until the source ends. Empty lines are ignored."""
    host = EngineHost()
    batch: list[Message] = []
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
    """Runs the adapter on the standard streams and returns the exit status."""
    try:
        run(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"hazelhollow: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
