"""Commands on sorted sets: ZADD, ZRANGEBYSCORE, ZREM, ZREMRANGEBYSCORE, ZCARD, ZSCORE."""

from __future__ import annotations

from dataclasses import dataclass

from hazelhollow.standins.redis.command import Command, reader, remover, writer
from hazelhollow.standins.redis.keyspace import Keyspace
from hazelhollow.standins.redis.values import (
    OUT_OF_MEMORY,
    SYNTAX,
    CommandError,
    Reply,
    format_float,
    parse_float,
    parse_integer,
)

MAX_SCORES = 100_000  # in one sorted set
_ZADD_FLAGS = (b"NX", b"XX", b"GT", b"LT", b"CH")


@dataclass(frozen=True)
class ScoreRange:
    """Scores from `low` to `high`; each bound may be exclusive."""

    low: float
    high: float
    without_low: bool
    without_high: bool

    def __contains__(self, score: float) -> bool:
        above = score > self.low or (score == self.low and not self.without_low)
        return above and (score < self.high or (score == self.high and not self.without_high))


def parse_range(low: bytes, high: bytes) -> ScoreRange:
    """Parses the two bounds of a range; a prefix `(` makes a bound exclusive.

    Raises:
        CommandError: a bound is not a number.
    """
    return ScoreRange(
        _parse_bound(low), _parse_bound(high), low.startswith(b"("), high.startswith(b"(")
    )


def _parse_bound(text: bytes) -> float:
    return parse_float(text.removeprefix(b"("), "ERR min or max is not a float")


def _zadd(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    arguments, flags = args[1:], set[bytes]()
    while arguments and arguments[0].upper() in _ZADD_FLAGS:
        flags.add(arguments.pop(0).upper())
    if not arguments or len(arguments) % 2:
        raise CommandError(SYNTAX)
    if (
        {b"NX", b"XX"} <= flags
        or (b"NX" in flags and flags & {b"GT", b"LT"})
        or {b"GT", b"LT"} <= flags
    ):
        raise CommandError("ERR GT, LT, and/or NX options at the same time are not compatible")
    scores = [parse_float(text) for text in arguments[::2]]
    members, added, changed = keyspace.sorted_set(database, args[0]), 0, 0
    for score, member in zip(scores, arguments[1::2], strict=True):
        old = members.get(member)
        if not _may_set_score(flags, old, score):
            continue
        added, changed = added + (old is None), changed + (old != score)
        members[member] = score
    if len(members) > MAX_SCORES:
        raise CommandError(OUT_OF_MEMORY)
    keyspace.put(database, args[0], members)
    return changed if b"CH" in flags else added


def _may_set_score(flags: set[bytes], old: float | None, score: float) -> bool:
    if old is None:
        return b"XX" not in flags
    if b"NX" in flags:
        return False
    return not ((b"GT" in flags and score <= old) or (b"LT" in flags and score >= old))


def _zrangebyscore(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    scores, options = parse_range(args[1], args[2]), [argument.upper() for argument in args[3:]]
    with_scores, offset, count, at = False, 0, -1, 0
    while at < len(options):
        if options[at] == b"WITHSCORES":
            with_scores, at = True, at + 1
        elif options[at] == b"LIMIT" and at + 2 < len(options):
            offset, count, at = (
                parse_integer(options[at + 1]),
                parse_integer(options[at + 2]),
                at + 3,
            )
        else:
            raise CommandError(SYNTAX)
    found = [item for item in keyspace.sorted_set(database, args[0]).ranked() if item[1] in scores]
    found = found[offset:] if count < 0 else found[offset : offset + count]
    if not with_scores:
        return [member for member, _ in found]
    return [argument for member, score in found for argument in (member, format_float(score))]


def _zrem(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    return _remove_members(keyspace, database, args[0], args[1:])


def _zremrangebyscore(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    scores = parse_range(args[1], args[2])
    members = keyspace.sorted_set(database, args[0])
    inside = [member for member, score in members.items() if score in scores]
    return _remove_members(keyspace, database, args[0], inside)


def _remove_members(keyspace: Keyspace, database: int, key: bytes, members: list[bytes]) -> int:
    scores = keyspace.sorted_set(database, key)
    removed = sum(scores.pop(member, None) is not None for member in members)
    if removed:
        keyspace.put(database, key, scores)
    return removed


def _zscore(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    score = keyspace.sorted_set(database, args[0]).get(args[1])
    return None if score is None else format_float(score)


COMMANDS: dict[bytes, Command] = {
    b"ZADD": writer(_zadd, -4),
    b"ZRANGEBYSCORE": reader(_zrangebyscore, -4),
    b"ZREM": remover(_zrem, -3),
    b"ZREMRANGEBYSCORE": remover(_zremrangebyscore, 4),
    b"ZCARD": reader(
        lambda keyspace, database, args: len(keyspace.sorted_set(database, args[0])), 2
    ),
    b"ZSCORE": reader(_zscore, 3),
}
