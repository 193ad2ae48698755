"""Typed reading of a message's fields."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hazelhollow.simulator.errors import WireError

# An endpoint's load report: the wire's names, and ours, which real endpoints use.
REPORT_FIGURES = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "busy",
    "svc_ms": "latency_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
}


class Fields:
    """The fields of one message or document, or of an object in it.

    Fields that are not asked for are ignored. A method without a default raises where the field is
    missing or null; with one it returns that.

    Raises:
        WireError: A field is missing or has a wrong type; each text names the message.
    """

    def __init__(self, name: str, values: Any) -> None:
        """Takes the values of a message; `name` is what errors call it."""
        if not isinstance(values, dict):
            raise WireError(f"{name}: the fields are not an object")
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
        """A string."""
        return str(self._checked(key, str, default))

    def number(self, key: str, default: float | None = None) -> float:
        """A number."""
        return float(self._checked(key, (int, float), default))

    def integer(self, key: str, default: int | None = None) -> int:
        """A number, without its fraction."""
        return int(self._checked(key, (int, float), default))

    def flag(self, key: str) -> bool:
        """A boolean; false by default."""
        return bool(self._checked(key, bool, False))

    def one_of(self, key: str, table: Mapping[str, str]) -> Any:
        """The entry of a table that the field names."""
        name = self.text(key)
        if name not in table:
            raise WireError(f"{self.name}: field '{key}' is '{name}', which is unknown")
        return table[name]

    def part(self, key: str, needed: bool = False) -> Fields:
        """An object; empty by default, unless it is `needed`."""
        return Fields(f"{self.name}.{key}", self._checked(key, dict, None if needed else {}))

    def parts(self, key: str) -> list[Fields]:
        """A list of objects; empty by default."""
        return [self.entry(key, item) for item in self.items(key)]

    def items(self, key: str) -> list[Any]:
        """A list of anything; empty by default."""
        found: list[Any] = self._checked(key, list, [])
        return found

    def entry(self, key: str, item: Any) -> Fields:
        """An object that is an item of the list of that name."""
        return Fields(f"{self.name}.{key}", item)

    def texts(self, key: str) -> list[str]:
        """A list of strings; empty by default."""
        items = self._checked(key, list, [])
        if not all(isinstance(item, str) for item in items):
            raise WireError(f"{self.name}: field '{key}' has a wrong type")
        return list(items)

    def raw(self, key: str) -> dict[str, Any] | None:
        """An object whose form is another module's concern; None where it is empty."""
        value: dict[str, Any] = self._checked(key, dict, {})
        return value or None

    def report(self) -> dict[str, float]:
        """The load report in the field `metrics`, in our names; what is unknown is left out."""
        values = self._checked("metrics", dict, {})
        return {
            REPORT_FIGURES[name]: float(value)
            for name, value in values.items()
            if name in REPORT_FIGURES and type(value) in (int, float)
        }
