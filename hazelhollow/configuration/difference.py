"""What has changed between two documents of settings, and a document made again from that.

No I/O, no clock.

A change is a list that JSON can hold. Its path names the way from the top: the names of fields, and
in a list whose entries all have a `name` of their own, that name.

    ["=", path, value]              that place holds this value now
    ["-", path]                     that field is gone
    ["*", path, names, entries]     of a list with names: these are gone, and then these came, each
      with its index

Routes and plans are such lists, so that one changed route of thousands is one short change.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import orjson

PUT, REMOVE, RELIST = "=", "-", "*"

Change = list[Any]


class Pair(NamedTuple):
    """The same place in two documents."""

    base: Any
    new: Any
    path: list[str]


def difference(base: Mapping[str, Any], new: Mapping[str, Any]) -> list[Change]:
    """The changes that make the new document from the base, in the order in which they are to be
    made. They follow from what the two say alone, whatever the order of their fields.
    """
    found = list[Change]()
    pairs = deque([Pair(base, new, [])])
    while pairs:
        pairs.extend(compare(pairs.popleft(), found))
    return found


def compare(pair: Pair, found: list[Change]) -> list[Pair]:
    """Adds to `found` what has changed at that place itself.

    Places below it that are still to be compared, after this one.
    """
    base, new, path = pair
    if base is new:
        return []
    if isinstance(base, Mapping) and isinstance(new, Mapping):
        return _compare_fields(base, new, path, found)
    before, after = _names(base), _names(new)
    if before and after:
        return _compare_lists(base, before, new, after, path, found)
    if _json(base) != _json(new):
        found.append([PUT, path, new])
    return []


def merged(changes: Iterable[Sequence[Change]]) -> list[Change]:
    """Several differences, each from the document that the one before makes, as one."""
    return [change for one in changes for change in one]


def apply(base: Mapping[str, Any], changes: Sequence[Change]) -> dict[str, Any]:
    """A new document; what did not change is the base's own.

    Raises ValueError for changes that do not fit the base.
    """
    try:
        return _Copy(base).changed(changes)
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise ValueError(f"changes that do not fit: {error!r}") from error


def _json(value: Any) -> bytes:
    """By which values are compared: in it 1, 1.0 and true are not the same."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def _compare_fields(
    base: Mapping[str, Any], new: Mapping[str, Any], path: list[str], found: list[Change]
) -> list[Pair]:
    if path and _json(base) == _json(new):  # an entry among many, of which most are as they were
        return []
    found += [[REMOVE, [*path, name]] for name in sorted(base) if name not in new]
    found += [[PUT, [*path, name], new[name]] for name in sorted(new) if name not in base]
    return [Pair(base[name], new[name], [*path, name]) for name in sorted(new) if name in base]


def _compare_lists(
    base: list[Any],
    before: list[str],
    new: list[Any],
    after: list[str],
    path: list[str],
    found: list[Change],
) -> list[Pair]:
    """Lists of entries with names: `before` and `after`, in order."""
    if before == after:
        places = zip(base, new, after, strict=True)
        return [Pair(one, other, [*path, name]) for one, other, name in places if one is not other]
    known, now = dict(zip(before, base, strict=True)), dict(zip(after, new, strict=True))
    if [name for name in before if name in now] != [name for name in after if name in known]:
        found.append([PUT, path, new])  # in another order
        return []
    gone = [name for name in before if name not in now]
    came = [[index, entry] for index, (name, entry) in enumerate(now.items()) if name not in known]
    found.append([RELIST, path, gone, came])
    return [
        Pair(known[name], entry, [*path, name])
        for name, entry in now.items()
        if name in known and known[name] is not entry
    ]


def _names(value: Any) -> list[str] | None:
    """Of the entries of a list, in order; nothing where one has none, or two have the same."""
    if not isinstance(value, list) or not value or {*map(type, value)} != {dict}:
        return None
    names = [entry.get("name") for entry in value]
    if {*map(type, names)} != {str} or len({*names}) != len(names):
        return None
    return names


class _Copy:
    """A document that is being changed. Each container on the way to a change is copied once."""

    def __init__(self, base: Mapping[str, Any]) -> None:
        self._top: dict[str, Any] = dict(base)
        # containers that are no longer the base's
        self._own: dict[int, Any] = {id(self._top): self._top}
        # of lists with names, by the list: index by name
        self._places: dict[int, dict[str, int]] = {}

    def changed(self, changes: Sequence[Change]) -> dict[str, Any]:
        for what, path, *rest in changes:
            if what == RELIST:
                self._relist(path, *rest)
                continue
            parent = self._down(path[:-1])
            place = self._place(parent, path[-1])
            if what == PUT:
                (parent[place],) = rest
            elif what == REMOVE and not rest and isinstance(parent, dict):
                del parent[place]
            else:
                raise ValueError(f"no such change: {what!r}")
        return self._top

    def _relist(self, path: list[str], gone: list[str], came: list[list[Any]]) -> None:
        parent = self._down(path[:-1])
        place, left = self._place(parent, path[-1]), set(gone)
        entries = [entry for entry in parent[place] if entry["name"] not in left]
        if len(entries) + len(left) != len(parent[place]):
            raise ValueError("an entry is to go that is not there")
        for index, entry in came:
            entries.insert(index, entry)
        self._own[id(entries)] = parent[place] = entries

    def _down(self, path: list[str]) -> Any:
        """The container there, made this document's own on the way."""
        at: Any = self._top
        for step in path:
            place = self._place(at, step)
            value = at[place]
            if id(value) not in self._own:
                value = dict(value) if isinstance(value, Mapping) else list(value)
                self._own[id(value)] = at[place] = value
            at = value
        return at

    def _place(self, container: Any, step: str) -> Any:
        """The field, or the index of the entry with that name."""
        if not isinstance(container, list):
            return step
        places = self._places.get(id(container))
        if places is None:
            places = {entry["name"]: index for index, entry in enumerate(container)}
            self._places[id(container)] = places
        return places[step]
