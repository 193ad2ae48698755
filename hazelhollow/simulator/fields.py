"""Typed access to the fields of a message."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hazelhollow.simulator.errors import WireError

# Names of the figures in an endpoint's load report: those of the simulator's wire, and those of the
# decision engine, which real endpoints use.
REPORT_FIGURES = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "busy",
    "svc_ms": "latency_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
}


class Fields:
    """The fields of a message or a document, or of an object in one.

    Fields that are not read are ignored. If a field is missing or null, a method returns its
    default value or, if it has none, raises an error.

    Raises:
        WireError: A field is missing or has a wrong type. The text names the message.
    """

    def __init__(self, name: str, values: Any) -> None:
        """Wraps the values of a message; `name` stands for it in error texts."""
        if not isinstance(values, dict):
            raise WireError(f"{name}: value of type {type(values).__name__} is not an object")
        self.name = name
        self._values = values

    def _checked(self, key: str, kind: type | tuple[type, ...], default: Any) -> Any:
        value = self._values.get(key)
        if value is None:
            if default is None:
                raise WireError(f"{self.name}: field '{key}' is missing")
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise WireError(f"{self.name}: field '{key}' has a wrong type")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a string."""
        return str(self._checked(key, str, default))

    def number(self, key: str, default: float | None = None) -> float:
        """Returns a number."""
        return float(self._checked(key, (int, float), default))

    def integer(self, key: str, default: int | None = None) -> int:
        """Returns a number truncated to an integer."""
        return int(self._checked(key, (int, float), default))

    def flag(self, key: str) -> bool:
        """Returns a boolean; false by default."""
        return bool(self._checked(key, bool, False))

    def one_of(self, key: str, table: Mapping[str, str]) -> Any:
        """Returns the entry of a table whose key is the value of the field."""
        name = self.text(key)
        if name not in table:
            raise WireError(f"{self.name}: field '{key}' has the unknown value '{name}'")
        return table[name]

    def part(self, key: str, needed: bool = False) -> Fields:
        """Returns an object; empty by default, unless it is `needed`."""
        return Fields(f"{self.name}.{key}", self._checked(key, dict, None if needed else {}))

    def parts(self, key: str) -> list[Fields]:
        """Returns a list of objects; empty by default."""
        return [self.entry(key, item) for item in self.items(key)]

    def items(self, key: str) -> list[Any]:
        """Returns a list of arbitrary items; empty by default."""
        entries: list[Any] = self._checked(key, list, [])
        return entries

    def entry(self, key: str, item: Any) -> Fields:
        """Returns an item of the list `key`, which must be an object."""
        return Fields(f"{self.name}.{key}", item)

    def texts(self, key: str) -> list[str]:
        """Returns a list of strings; empty by default."""
        items = self._checked(key, list, [])
        if not all(isinstance(item, str) for item in items):
            raise WireError(f"{self.name}: field '{key}' has a wrong type")
        return list(items)

    def raw(self, key: str) -> dict[str, Any] | None:
        """Returns an object that another module parses; None if it is empty."""
        value: dict[str, Any] = self._checked(key, dict, {})
        return value or None

    def report(self) -> dict[str, float]:
        """Returns the load report of the field `metrics`, without unknown and invalid figures."""
        values = self._checked("metrics", dict, {})
        return {
            REPORT_FIGURES[name]: float(value)
            for name, value in values.items()
            if name in REPORT_FIGURES and type(value) in (int, float)
        }
