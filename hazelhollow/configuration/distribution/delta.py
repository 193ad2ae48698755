"""Deltas between settings documents: their computation and application.

A change is a list that can be encoded as JSON. Its path starts at the top of the document and
consists of field names; an entry of a list whose entries all have distinct names is identified by
its `name`.

    ["=", path, value]               sets the value at that place
    ["-", path]                      removes that field
    ["*", path, removed, inserted]   in a list with names: removes the entries with these names,
                                     then inserts these entries, each at its index

Routes and plans are such lists, so that one changed route of thousands is one short change.
The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import orjson

PUT, REMOVE, RELIST = "=", "-", "*"  # the kinds of changes, as encoded

Change = list[Any]


class Place(NamedTuple):
    """A place in two documents: the value there in the base and in the new one."""

    base: Any
    new: Any
    path: list[str]


def compute_delta(base: Mapping[str, Any], new: Mapping[str, Any]) -> list[Change]:
    """Computes the changes from the base to the new document, in the order to apply them.

    They depend only on the contents of the documents, not on the order of their fields.
    """
    changes = list[Change]()
    places = deque([Place(base, new, [])])
    while places:
        places.extend(compare_place(places.popleft(), changes))
    return changes


def compare_place(place: Place, changes: list[Change]) -> list[Place]:
    """Appends the changes at that place itself to `changes`.

    Returns:
        The places below it that have to be compared after this one.
    """
    base, new, path = place
    if base is new:
        return []
    if isinstance(base, Mapping) and isinstance(new, Mapping):
        return _compare_fields(base, new, path, changes)
    base_names, new_names = _entry_names(base), _entry_names(new)
    if base_names and new_names:
        return _compare_lists(
            _NamedList(base_names, base), _NamedList(new_names, new), path, changes
        )
    if _canonical_json(base) != _canonical_json(new):
        changes.append([PUT, path, new])
    return []


def concatenate_deltas(deltas: Iterable[Sequence[Change]]) -> list[Change]:
    """Joins deltas into one; each starts from the document that the previous one makes."""
    return [change for delta in deltas for change in delta]


def apply_delta(base: Mapping[str, Any], changes: Sequence[Change]) -> dict[str, Any]:
    """Applies a delta; the new document shares unchanged parts with the base.

    Raises:
        ValueError: The changes do not fit the base.
    """
    try:
        return _CopyOnWrite(base).apply(changes)
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise ValueError(f"the changes do not fit the base: {error!r}") from error


class _NamedList(NamedTuple):
    """A list whose entries have names of their own."""

    names: list[str]
    entries: list[Any]


def _canonical_json(value: Any) -> bytes:
    """Encodes a value for comparison: unlike in Python, 1, 1.0 and true differ."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def _compare_fields(
    base: Mapping[str, Any], new: Mapping[str, Any], path: list[str], changes: list[Change]
) -> list[Place]:
    # Most entries of a long list are unchanged: one comparison of the entry suffices for them,
    # instead of one for each field.
    if path and _canonical_json(base) == _canonical_json(new):
        return []
    changes += [[REMOVE, [*path, name]] for name in sorted(base) if name not in new]
    changes += [[PUT, [*path, name], new[name]] for name in sorted(new) if name not in base]
    return [Place(base[name], new[name], [*path, name]) for name in sorted(new) if name in base]


def _compare_lists(
    base: _NamedList, new: _NamedList, path: list[str], changes: list[Change]
) -> list[Place]:
    if base.names == new.names:
        places = zip(base.entries, new.entries, new.names, strict=True)
        return [Place(old, entry, [*path, name]) for old, entry, name in places if old is not entry]
    base_by_name = dict(zip(base.names, base.entries, strict=True))
    new_by_name = dict(zip(new.names, new.entries, strict=True))
    kept_in_base = [name for name in base.names if name in new_by_name]
    if kept_in_base != [name for name in new.names if name in base_by_name]:
        changes.append([PUT, path, new.entries])  # the entries in both are in another order
        return []
    removed = [name for name in base.names if name not in new_by_name]
    inserted = [
        [index, entry]
        for index, (name, entry) in enumerate(new_by_name.items())
        if name not in base_by_name
    ]
    changes.append([RELIST, path, removed, inserted])
    return [
        Place(base_by_name[name], entry, [*path, name])
        for name, entry in new_by_name.items()
        if name in base_by_name and base_by_name[name] is not entry
    ]


def _entry_names(value: Any) -> list[str] | None:
    """The names of a list's entries, in order; None if a name is missing or not unique."""
    if not isinstance(value, list) or not value or {*map(type, value)} != {dict}:
        return None
    names = [entry.get("name") for entry in value]
    if {*map(type, names)} != {str} or len({*names}) != len(names):
        return None
    return names


class _CopyOnWrite:
    """A document under change; each container on the path to a change is copied once."""

    def __init__(self, base: Mapping[str, Any]) -> None:
        self._top: dict[str, Any] = dict(base)
        # Containers no longer shared with the base, by id; the references keep the ids unique.
        self._copied: dict[int, Any] = {id(self._top): self._top}
        # For each list with names, by the list's id: the index of each entry by its name.
        self._indexes: dict[int, dict[str, int]] = {}

    def apply(self, changes: Sequence[Change]) -> dict[str, Any]:
        for kind, path, *rest in changes:
            if kind == RELIST:
                self._relist(path, *rest)
                continue
            parent = self._container(path[:-1])
            key = self._key(parent, path[-1])
            if kind == PUT:
                (parent[key],) = rest
            elif kind == REMOVE and not rest and isinstance(parent, dict):
                del parent[key]
            else:
                raise ValueError(f"unknown or malformed change {kind!r}")
        return self._top

    def _relist(self, path: list[str], removed: list[str], inserted: list[list[Any]]) -> None:
        parent = self._container(path[:-1])
        key, removed_names = self._key(parent, path[-1]), set(removed)
        entries = [entry for entry in parent[key] if entry["name"] not in removed_names]
        if len(entries) + len(removed_names) != len(parent[key]):
            raise ValueError(
                f"cannot remove {len(removed_names)} entries: not all of them are in the list"
            )
        for index, entry in inserted:
            entries.insert(index, entry)
        self._copied[id(entries)] = parent[key] = entries

    def _container(self, path: list[str]) -> Any:
        """Returns the container at a path; copies those on the path still shared with the base."""
        container: Any = self._top
        for step in path:
            key = self._key(container, step)
            value = container[key]
            if id(value) not in self._copied:
                value = dict(value) if isinstance(value, Mapping) else list(value)
                self._copied[id(value)] = container[key] = value
            container = value
        return container

    def _key(self, container: Any, step: str) -> Any:
        """Returns the field's name, or the index of the list entry with that name."""
        if not isinstance(container, list):
            return step
        indexes = self._indexes.get(id(container))
        if indexes is None:
            indexes = {entry["name"]: index for index, entry in enumerate(container)}
            self._indexes[id(container)] = indexes
        return indexes[step]
