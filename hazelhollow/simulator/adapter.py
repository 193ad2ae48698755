"""Hosts decision engines on the simulator's wire: lines in, lines out.

The simulator sends messages in batches, each of which begins with the clock (`frame`) and ends with
`eof_batch`, and waits for the whole reply. An engine that breaks says so on the wire; a line that
is not of the wire ends the program with exit status 2.
"""

from __future__ import annotations

import sys
from typing import TextIO

from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.simulator import wire
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields

Message = tuple[str, Fields]  # its name and its fields


class Host:
    """The engines, by the simulator's number for each."""

    def __init__(self) -> None:
        self._engines: dict[int, DecisionEngine] = {}

    def answer(self, batch: list[Message]) -> str:
        """The whole reply to one batch.

        Raises:
            WireError: A message is not of the wire, or the clock doesn't come first.
        """
        if not batch or batch[0][0] != "frame":
            raise WireError("batch does not begin with 'frame'")
        now = batch[0][1].number("t")
        lines: list[str] = []
        for name, fields in batch[1:]:
            lines += self._handle(name, fields, now)
        return "".join(lines) + wire.end_line()

    def _handle(self, name: str, fields: Fields, now: float) -> list[str]:
        """The lines that answer one message."""
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
        except Exception as error:  # a broken engine must not end the others
            return [wire.fault_line(instance, f"{type(error).__name__}: {error}")]


def run(source: TextIO, sink: TextIO) -> None:
    """Answers batches until the source ends; empty lines are ignored."""
    host = Host()
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
    """Runs on the standard streams; the exit status."""
    try:
        run(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"hazelhollow: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
