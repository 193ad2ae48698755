"""Dispatches a session's commands to the functions that execute them.

It first checks arity, authentication, cluster slots and open transactions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hazelhollow.standins.redis import (
    connection_commands,
    script_commands,
    server_commands,
    transaction_commands,
)
from hazelhollow.standins.redis.command import ALL_KEYS, NO_KEY, KeyPositions, arity_fits
from hazelhollow.standins.redis.engine import COMMANDS, find_command, wrong_arguments
from hazelhollow.standins.redis.server_state import ServerState
from hazelhollow.standins.redis.session import Session
from hazelhollow.standins.redis.values import CommandError, Reply, Status

Handler = Callable[[ServerState, Session, list[bytes]], Reply]
SCRIPT_KEYS = KeyPositions(3, 3, 1)


class SessionCommand(NamedTuple):
    """A command that needs the session or the server's state; `arity` is as in `Command`."""

    run: Handler
    arity: int


def execute(state: ServerState, session: Session, arguments: list[bytes]) -> Reply:
    """Runs a command, or queues it if a transaction is open.

    Raises:
        CommandError: the command cannot be run; the error's text is the reply.
    """
    name = arguments[0].upper()
    session_command = SESSION_COMMANDS.get(name)
    if session_command and not arity_fits(arguments, session_command.arity):
        raise CommandError(wrong_arguments(name))
    if not session.authenticated and name not in WITHOUT_AUTHENTICATION:
        raise CommandError("NOAUTH Authentication required.")
    if state.cluster:
        state.cluster.check_keys(_keys_of(name, arguments))
    if session.transaction is not None and name not in NEVER_QUEUED:
        if not session_command:
            state.engine.check_may_run(find_command(arguments))
        return transaction_commands.queue(session, arguments)
    if session_command:
        return session_command.run(state, session, arguments[1:])
    return state.engine.call(session.database, arguments)


def _keys_of(name: bytes, arguments: list[bytes]) -> list[bytes]:
    if name in (b"EVAL", b"EVALSHA") and len(arguments) > 2 and arguments[2].isdigit():
        return arguments[3 : 3 + int(arguments[2])]
    if name == b"WATCH":
        return arguments[1:]
    command = COMMANDS.get(name)
    return command.keys_of(arguments) if command else []


def _exec(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    return transaction_commands.execute_queued(
        state, session, lambda arguments: execute(state, session, arguments)
    )


def _command(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes COMMAND, which clients of a cluster send to learn the positions of keys."""
    subcommand = args[0].upper() if args else b"INFO"
    if subcommand == b"COUNT":
        return len(COMMANDS) + len(SESSION_COMMANDS)
    if subcommand != b"INFO":
        return []
    rows: list[Reply] = []
    for name, command in COMMANDS.items():
        flag = Status(b"write" if command.writes else b"readonly")
        rows.append([name.lower(), command.arity, [flag], *command.keys])
    for name, session_command in SESSION_COMMANDS.items():
        flags: list[Reply] = [Status(b"movablekeys")] if name in (b"EVAL", b"EVALSHA") else []
        rows.append([name.lower(), session_command.arity, flags, *SESSION_KEYS.get(name, NO_KEY)])
    return rows


SESSION_KEYS = {b"EVAL": SCRIPT_KEYS, b"EVALSHA": SCRIPT_KEYS, b"WATCH": ALL_KEYS}
SESSION_COMMANDS: dict[bytes, SessionCommand] = {
    b"AUTH": SessionCommand(connection_commands.auth, -2),
    b"HELLO": SessionCommand(connection_commands.hello, -1),
    b"SELECT": SessionCommand(connection_commands.select, 2),
    b"CLIENT": SessionCommand(connection_commands.client, -2),
    b"INFO": SessionCommand(server_commands.info, -1),
    b"MULTI": SessionCommand(transaction_commands.multi, 1),
    b"EXEC": SessionCommand(_exec, 1),
    b"DISCARD": SessionCommand(transaction_commands.discard, 1),
    b"WATCH": SessionCommand(transaction_commands.watch, -2),
    b"UNWATCH": SessionCommand(transaction_commands.unwatch, 1),
    b"RESET": SessionCommand(connection_commands.reset, 1),
    b"COMMAND": SessionCommand(_command, -1),
    b"SCRIPT": SessionCommand(script_commands.script, -2),
    b"CLUSTER": SessionCommand(server_commands.cluster, -2),
    b"STANDIN": SessionCommand(server_commands.standin, -2),
    b"EVAL": SessionCommand(script_commands.eval_text, -3),
    b"EVALSHA": SessionCommand(script_commands.eval_digest, -3),
}
WITHOUT_AUTHENTICATION = frozenset({b"AUTH", b"HELLO", b"QUIT", b"RESET", b"STANDIN"})
NEVER_QUEUED = frozenset({b"EXEC", b"DISCARD", b"MULTI", b"WATCH", b"RESET", b"STANDIN"})
