"""Problems of an operator file and their places. All are errors in the file, not in the program."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Place:
    """A position in a file: the file's name, and line and column counted from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Problem:
    """One problem of a file: its place and path, what was found and what is allowed."""

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
    """The file cannot be used. `problems` has all problems found, in the order of the file."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda t: (t.place.file, t.place.line, t.place.column))
        super().__init__("\n".join(map(str, self.problems)))
