"""Commands on hashes: HSET, HGET, HMGET, HGETALL, HLEN, HINCRBY, HINCRBYFLOAT, HDEL."""

from __future__ import annotations

from hazelhollow.standins.redis.command import Command, reader, remover, writer
from hazelhollow.standins.redis.keyspace import Keyspace
from hazelhollow.standins.redis.values import (
    CommandError,
    Reply,
    add_floats,
    add_integers,
    format_float,
    parse_float,
    parse_integer,
)


def _hset(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    if len(args) % 2 == 0:
        raise CommandError("ERR wrong number of arguments for 'hset' command")
    fields = keyspace.hash(database, args[0])
    before = len(fields)
    fields.update(zip(args[1::2], args[2::2], strict=True))
    keyspace.put(database, args[0], fields)
    return len(fields) - before


def _hmget(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    fields = keyspace.hash(database, args[0])
    return [fields.get(name) for name in args[1:]]


def _hgetall(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    return [argument for pair in keyspace.hash(database, args[0]).items() for argument in pair]


def _hincrby(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    fields, amount = keyspace.hash(database, args[0]), parse_integer(args[2])
    old = parse_integer(fields.get(args[1], b"0"), "ERR hash value is not an integer")
    total = add_integers(old, amount)
    fields[args[1]] = b"%d" % total
    keyspace.put(database, args[0], fields)
    return total


def _hincrbyfloat(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    fields, amount = keyspace.hash(database, args[0]), parse_float(args[2])
    old = parse_float(fields.get(args[1], b"0"), "ERR hash value is not a float")
    total = format_float(add_floats(old, amount))
    fields[args[1]] = total
    keyspace.put(database, args[0], fields)
    return total


def _hdel(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    fields = keyspace.hash(database, args[0])
    removed = sum(fields.pop(name, None) is not None for name in args[1:])
    if removed:
        keyspace.put(database, args[0], fields)
    return removed


COMMANDS: dict[bytes, Command] = {
    b"HSET": writer(_hset, -4),
    b"HGET": reader(
        lambda keyspace, database, args: keyspace.hash(database, args[0]).get(args[1]), 3
    ),
    b"HMGET": reader(_hmget, -3),
    b"HGETALL": reader(_hgetall, 2),
    b"HLEN": reader(lambda keyspace, database, args: len(keyspace.hash(database, args[0])), 2),
    b"HINCRBY": writer(_hincrby, 4),
    b"HINCRBYFLOAT": writer(_hincrbyfloat, 4),
    b"HDEL": remover(_hdel, -3),
}
