"""Finds the keys that a configuration file lacks, compared with the file that is in force.

Most keys have a default, so that a deployment may leave out what it does not need. A file that a
running limiter reads again is judged by its predecessor: if that one had a key, its absence is a
mistake and not a request for the default, which may be the least strict value (an idempotency key
that all endpoints recognise, or no slow start).

Objects of a list are matched by their `name`. An object with a new name, such as an added class,
needs the keys that all objects of the list in force have.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

OPTIONAL_KEYS = frozenset({"aim_stretch"})  # a file may leave them out at any time
# A class that is not keyed has no use for them. `parse_settings` demands them of a keyed one.
KEYED_CLASS_KEYS = frozenset({"dedup_scope", "window"})
MAX_NAMED_KEYS = 8  # in a message


def find_missing_keys(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    """Returns the keys of a document that the next one lacks, at any depth.

    Args:
        before: The document in force.
        after: The document that is to replace it. A null counts as absent.

    Returns:
        The paths of the keys, for example `settings.grades[order].dedup_scope`.
    """
    return list(_missing_in_object(before, after, ""))


def describe_missing_keys(before: Mapping[str, Any], after: Mapping[str, Any]) -> str:
    """Returns a message with the number and names of the missing keys; empty if there are none."""
    missing = find_missing_keys(before, after)
    if not missing:
        return ""
    names = ", ".join(missing[:MAX_NAMED_KEYS])
    return f"missing keys that are in force: {len(missing)}, removable by a restart only: {names}"


def _missing_in_object(
    before: Mapping[str, Any], after: Mapping[str, Any], place: str
) -> Iterator[str]:
    for key, value in before.items():
        if value is None or key in OPTIONAL_KEYS:
            continue
        path = f"{place}.{key}" if place else key
        if after.get(key) is None:
            yield path
        else:
            yield from _missing_in_value(value, after[key], path)


def _missing_in_value(before: Any, after: Any, path: str) -> Iterator[str]:
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        yield from _missing_in_object(before, after, path)
    elif isinstance(before, list) and isinstance(after, list):
        yield from _missing_in_list(_named_objects(before), _named_objects(after), path)


def _missing_in_list(
    before: Mapping[str, Mapping[str, Any]], after: Mapping[str, Mapping[str, Any]], path: str
) -> Iterator[str]:
    template = _common_keys(before)
    for name, item in after.items():
        if item is not before.get(name):  # a document may share unchanged items with the last one
            yield from _missing_in_object(before.get(name, template), item, f"{path}[{name}]")


def _named_objects(items: list[Any]) -> dict[str, Mapping[str, Any]]:
    return {
        str(item["name"]): item for item in items if isinstance(item, Mapping) and "name" in item
    }


def _common_keys(items: Mapping[str, Mapping[str, Any]]) -> dict[str, Any]:
    """Returns the keys that all items have, with the values of one of them."""
    objects = list(items.values())
    first = objects[0] if objects else {}
    return {
        key: value
        for key, value in first.items()
        if key not in KEYED_CLASS_KEYS and all(item.get(key) is not None for item in objects)
    }
