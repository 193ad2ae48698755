"""What is wrong with an operator file, and where. The fault is always the file's author's."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Place:
    """Where something stands: the file's name, line and column from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Problem:
    """One thing that is wrong: where, at which path, what was found and what is allowed."""

    place: Place
    path: str
    found: str
    allowed: str = ""

    def __str__(self) -> str:
        path = f"{self.path}: " if self.path else ""
        return f"{self.place}: {path}{self.found}" + (
            f"; allowed: {self.allowed}" if self.allowed else ""
        )


class CueError(Exception):
    """The text cannot be used. `problems` are all that was found, in the order of the file."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda t: (t.place.file, t.place.line, t.place.column))
        super().__init__("\n".join(map(str, self.problems)))
