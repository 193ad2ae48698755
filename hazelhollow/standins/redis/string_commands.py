"""Commands on strings: GET, MGET, SET, INCR, DECR, INCRBY, DECRBY, INCRBYFLOAT."""

from __future__ import annotations

from dataclasses import dataclass

from hazelhollow.standins.redis.command import ALL_KEYS, Command, reader, writer
from hazelhollow.standins.redis.keyspace import Keyspace
from hazelhollow.standins.redis.values import (
    OK,
    SYNTAX,
    CommandError,
    Reply,
    add_floats,
    add_integers,
    format_float,
    parse_float,
    parse_integer,
)

_FLAGS = (b"NX", b"XX", b"GET", b"KEEPTTL")
_EXPIRIES = (b"PX", b"EX", b"PXAT", b"EXAT")


@dataclass
class SetOptions:
    """The options of SET; `expires_at` is in seconds of the keyspace's clock."""

    flags: set[bytes]
    expires_at: float | None = None


def _get(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    return keyspace.string(database, args[0])


def _mget(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    entries = [keyspace.find(database, key) for key in args]
    return [entry.value if entry and isinstance(entry.value, bytes) else None for entry in entries]


def _set(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    key, value = args[0], args[1]
    options = _parse_set_options(keyspace, args[2:])
    old = keyspace.string(database, key) if b"GET" in options.flags else None
    exists = keyspace.find(database, key) is not None
    if (b"NX" in options.flags and exists) or (b"XX" in options.flags and not exists):
        return old
    keyspace.put(database, key, value, keep_expiry=b"KEEPTTL" in options.flags)
    if options.expires_at is not None:
        keyspace.expire(database, key, options.expires_at)
    return old if b"GET" in options.flags else OK


def _parse_set_options(keyspace: Keyspace, args: list[bytes]) -> SetOptions:
    options = SetOptions(set())
    arguments = [argument.upper() for argument in args]
    while arguments:
        argument = arguments.pop(0)
        if argument in _FLAGS:
            options.flags.add(argument)
        elif argument in _EXPIRIES and options.expires_at is None and arguments:
            options.expires_at = _parse_expiry(keyspace, argument, arguments.pop(0))
        else:
            raise CommandError(SYNTAX)
    if options.flags >= {b"NX", b"XX"} or (
        b"KEEPTTL" in options.flags and options.expires_at is not None
    ):
        raise CommandError(SYNTAX)
    return options


def _parse_expiry(keyspace: Keyspace, option: bytes, text: bytes) -> float:
    amount = parse_integer(text)
    if amount <= 0:
        raise CommandError("ERR invalid expire time in 'set' command")
    seconds = amount / 1000 if option.startswith(b"P") else float(amount)
    return seconds if option.endswith(b"AT") else keyspace.now() + seconds


def _add(keyspace: Keyspace, database: int, key: bytes, amount: int) -> Reply:
    total = add_integers(parse_integer(keyspace.string(database, key) or b"0"), amount)
    keyspace.put(database, key, b"%d" % total)
    return total


def _incrbyfloat(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    old = parse_float(keyspace.string(database, args[0]) or b"0")
    total = format_float(add_floats(old, parse_float(args[1])))
    keyspace.put(database, args[0], total)
    return total


COMMANDS: dict[bytes, Command] = {
    b"GET": reader(_get, 2),
    b"MGET": reader(_mget, -2, ALL_KEYS),
    b"SET": writer(_set, -3),
    b"INCR": writer(lambda keyspace, database, args: _add(keyspace, database, args[0], 1), 2),
    b"DECR": writer(lambda keyspace, database, args: _add(keyspace, database, args[0], -1), 2),
    b"INCRBY": writer(
        lambda keyspace, database, args: _add(keyspace, database, args[0], parse_integer(args[1])),
        3,
    ),
    b"DECRBY": writer(
        lambda keyspace, database, args: _add(keyspace, database, args[0], -parse_integer(args[1])),
        3,
    ),
    b"INCRBYFLOAT": writer(_incrbyfloat, 3),
}
