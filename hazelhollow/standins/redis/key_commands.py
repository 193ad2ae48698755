"""Commands on keys of any type and on databases: DEL, EXPIRE, SCAN, FLUSHALL, TIME and others."""

from __future__ import annotations

from hazelhollow.standins.redis.command import ALL_KEYS, NO_KEY, Command, reader, remover
from hazelhollow.standins.redis.glob import matches
from hazelhollow.standins.redis.keyspace import DATABASES, Keyspace
from hazelhollow.standins.redis.values import (
    OK,
    SYNTAX,
    CommandError,
    Reply,
    SortedSet,
    Status,
    parse_integer,
)

SECOND, MILLISECOND = 1.0, 0.001  # in seconds
MICROSECONDS_PER_S = 10**6
NO_SUCH_KEY, NO_EXPIRY = -2, -1  # replies of TTL
SCAN_COUNT = 10  # keys that SCAN examines if COUNT is not given


def _delete(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    return sum(
        keyspace.find(database, key) is not None and keyspace.remove(database, key) for key in args
    )


def _exists(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    return sum(keyspace.find(database, key) is not None for key in args)


def _expire(keyspace: Keyspace, database: int, args: list[bytes], unit: float) -> Reply:
    key, amount = args[0], parse_integer(args[1])
    if len(args) > 2:
        raise CommandError(f"ERR Unsupported option {args[2].decode('ascii', 'replace')}")
    entry = keyspace.find(database, key)
    if entry is None:
        return 0
    if amount <= 0:
        keyspace.remove(database, key)
        return 1
    keyspace.changes += 1
    entry.version = keyspace.changes
    keyspace.expire(database, key, keyspace.now() + amount * unit)
    return 1


def _time_to_live(keyspace: Keyspace, database: int, args: list[bytes], unit: float) -> Reply:
    entry = keyspace.find(database, args[0])
    if entry is None:
        return NO_SUCH_KEY
    if entry.expires_at is None:
        return NO_EXPIRY
    return round((entry.expires_at - keyspace.now()) / unit)


def _persist(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    entry = keyspace.find(database, args[0])
    if entry is None or entry.expires_at is None:
        return 0
    entry.expires_at = None
    return 1


def _type(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    entry = keyspace.find(database, args[0])
    if entry is None:
        return Status(b"none")
    if isinstance(entry.value, bytes):
        return Status(b"string")
    return Status(b"zset" if isinstance(entry.value, SortedSet) else b"hash")


def _scan(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    cursor, options = parse_integer(args[0], "ERR invalid cursor"), args[1:]
    pattern, count = b"*", SCAN_COUNT
    for option, value in zip(options[::2], options[1::2], strict=False):
        if option.upper() == b"MATCH":
            pattern = value
        elif option.upper() == b"COUNT":
            count = parse_integer(value)
        else:
            raise CommandError(SYNTAX)
    if len(options) % 2 or count < 1:
        raise CommandError(SYNTAX)
    keys = sorted(keyspace.databases[database].entries)
    end = cursor + count
    found: list[Reply] = [key for key in keys[cursor:end] if matches(pattern, key)]
    return [b"%d" % (end if end < len(keys) else 0), found]


def _flush_all(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    keyspace.flush(range(DATABASES))
    return OK


def _flush_database(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    keyspace.flush(range(database, database + 1))
    return OK


def _time(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    micros = round(keyspace.now() * MICROSECONDS_PER_S)
    return [b"%d" % (micros // MICROSECONDS_PER_S), b"%d" % (micros % MICROSECONDS_PER_S)]


def _role(keyspace: Keyspace, database: int, args: list[bytes]) -> Reply:
    return [b"slave" if keyspace.readonly else b"master", 0, []]


COMMANDS: dict[bytes, Command] = {
    b"DEL": remover(_delete, -2, ALL_KEYS),
    b"EXISTS": reader(_exists, -2, ALL_KEYS),
    b"EXPIRE": remover(
        lambda keyspace, database, args: _expire(keyspace, database, args, SECOND), -3
    ),
    b"PEXPIRE": remover(
        lambda keyspace, database, args: _expire(keyspace, database, args, MILLISECOND), -3
    ),
    b"TTL": reader(
        lambda keyspace, database, args: _time_to_live(keyspace, database, args, SECOND), 2
    ),
    b"PTTL": reader(
        lambda keyspace, database, args: _time_to_live(keyspace, database, args, MILLISECOND), 2
    ),
    b"PERSIST": remover(_persist, 2),
    b"TYPE": reader(_type, 2),
    b"TIME": reader(_time, 1, NO_KEY),
    b"PING": reader(
        lambda keyspace, database, args: args[0] if args else Status(b"PONG"), -1, NO_KEY
    ),
    b"ECHO": reader(lambda keyspace, database, args: args[0], 2, NO_KEY),
    b"DBSIZE": reader(
        lambda keyspace, database, args: len(keyspace.databases[database].entries), 1, NO_KEY
    ),
    b"SCAN": reader(_scan, -2, NO_KEY),
    b"FLUSHALL": remover(_flush_all, -1, NO_KEY),
    b"FLUSHDB": remover(_flush_database, -1, NO_KEY),
    b"ROLE": Command(_role, 1, in_script=False),
}
