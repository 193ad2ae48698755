"""Commands on transactions: MULTI, EXEC, DISCARD, WATCH, UNWATCH."""

from __future__ import annotations

from collections.abc import Callable

from hazelhollow.standins.redis.server_state import ServerState
from hazelhollow.standins.redis.session import Session
from hazelhollow.standins.redis.values import NULL_ARRAY, OK, QUEUED, CommandError, Reply

MAX_QUEUED_COMMANDS = 10_000  # in one transaction


def multi(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes MULTI: the commands that follow are queued."""
    if session.transaction is not None:
        raise CommandError("ERR MULTI calls can not be nested")
    session.transaction, session.transaction_failed = [], False
    return OK


def queue(session: Session, arguments: list[bytes]) -> Reply:
    """Queues a command of an open transaction."""
    assert session.transaction is not None
    if len(session.transaction) >= MAX_QUEUED_COMMANDS:
        raise CommandError("ERR too many commands in a transaction")
    session.transaction.append(arguments)
    return QUEUED


def execute_queued(
    state: ServerState, session: Session, run: Callable[[list[bytes]], Reply]
) -> Reply:
    """Executes EXEC: runs each queued command by `run`, or none if a watched key has changed."""
    if session.transaction is None:
        raise CommandError("ERR EXEC without MULTI")
    queued, failed = session.transaction, session.transaction_failed
    unchanged = all(
        state.engine.version(database, key) == version
        for (database, key), version in session.watched_versions.items()
    )
    session.end_transaction()
    if failed:
        raise CommandError("EXECABORT Transaction discarded because of previous errors.")
    if not unchanged:
        return NULL_ARRAY
    replies: list[Reply] = []
    for arguments in queued:
        try:
            replies.append(run(arguments))
        except CommandError as error:
            replies.append(error)
    return replies


def discard(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes DISCARD."""
    if session.transaction is None:
        raise CommandError("ERR DISCARD without MULTI")
    session.end_transaction()
    return OK


def watch(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes WATCH key ..."""
    if session.transaction is not None:
        raise CommandError("ERR WATCH inside MULTI is not allowed")
    for key in args:
        session.watched_versions.setdefault(
            (session.database, key), state.engine.version(session.database, key)
        )
    return OK


def unwatch(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes UNWATCH."""
    session.watched_versions.clear()
    return OK
