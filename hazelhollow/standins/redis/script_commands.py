"""Commands on scripts: EVAL, EVALSHA, SCRIPT."""

from __future__ import annotations

from hazelhollow.standins.redis.server_state import ServerState
from hazelhollow.standins.redis.session import Session
from hazelhollow.standins.redis.values import OK, CommandError, Reply, parse_integer


def eval_text(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes EVAL script count key ... arg ..."""
    keys, script_args = _keys_and_args(args)
    return state.scripts.run(session.database, state.scripts.load(args[0]), keys, script_args)


def eval_digest(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes EVALSHA digest count key ... arg ..."""
    keys, script_args = _keys_and_args(args)
    return state.scripts.run(
        session.database, args[0].decode("ascii", "replace"), keys, script_args
    )


def _keys_and_args(args: list[bytes]) -> tuple[list[bytes], list[bytes]]:
    count = parse_integer(args[1])
    if count < 0:
        raise CommandError("ERR Number of keys can't be negative")
    if count > len(args) - 2:
        raise CommandError("ERR Number of keys can't be greater than number of args")
    return args[2 : 2 + count], args[2 + count :]


def script(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes SCRIPT LOAD, EXISTS and FLUSH."""
    subcommand = args[0].upper()
    if subcommand == b"LOAD" and len(args) == 2:
        return state.scripts.load(args[1]).encode()
    if subcommand == b"EXISTS" and len(args) > 1:
        digests = [digest.decode("ascii", "replace").lower() for digest in args[1:]]
        return [int(digest in state.scripts.loaded) for digest in digests]
    if subcommand == b"FLUSH":
        state.scripts.flush()
        return OK
    given = args[0].decode("ascii", "replace")
    raise CommandError(
        f"ERR unknown subcommand or wrong number of arguments for '{given}'. Try SCRIPT HELP."
    )
