"""Runs data commands on the keyspace, and checks whether a command may run.

Source: the public command reference (redis.io/docs/latest/commands) as of Redis 7. The commands for
connections, transactions and scripts are in `dispatch.py`.
"""

from __future__ import annotations

from hazelhollow.standins.redis import (
    hash_commands,
    key_commands,
    sorted_set_commands,
    string_commands,
)
from hazelhollow.standins.redis.command import Command
from hazelhollow.standins.redis.keyspace import Keyspace
from hazelhollow.standins.redis.values import OUT_OF_MEMORY, CommandError, Reply

MAX_ECHOED_BYTES = 128  # length of an argument in an error message
COMMANDS: dict[bytes, Command] = {
    **string_commands.COMMANDS,
    **key_commands.COMMANDS,
    **hash_commands.COMMANDS,
    **sorted_set_commands.COMMANDS,
}


class Engine(Keyspace):
    """A keyspace that runs commands given as lists of arguments."""

    def call(self, database: int, arguments: list[bytes], scripted: bool = False) -> Reply:
        """Runs a data command on a database.

        Raises:
            CommandError: the command cannot be run.
        """
        command = find_command(arguments)
        if scripted and not command.in_script:
            raise CommandError("ERR This Redis command is not allowed from script")
        self.check_may_run(command)
        return command.run(self, database, arguments[1:])

    def check_may_run(self, command: Command) -> None:
        """Checks that the server's state permits a command.

        Raises:
            CommandError: the server is read-only or out of memory.
        """
        if command.writes and self.readonly:
            raise CommandError("READONLY You can't write against a read only replica.")
        if command.needs_memory and self.out_of_memory:
            raise CommandError(OUT_OF_MEMORY)


def find_command(arguments: list[bytes]) -> Command:
    """Returns the command that the arguments call.

    Raises:
        CommandError: the command is unknown, or the number of arguments is wrong.
    """
    name = arguments[0].upper()
    command = COMMANDS.get(name)
    if command is None:
        given = arguments[0][:MAX_ECHOED_BYTES].decode("ascii", "replace")
        first = b" ".join(
            b"'%b'" % argument[:MAX_ECHOED_BYTES] for argument in arguments[1:10]
        ).decode("ascii", "replace")
        raise CommandError(f"ERR unknown command '{given}', with args beginning with: {first}")
    if not command.fits(arguments):
        raise CommandError(wrong_arguments(name))
    return command


def wrong_arguments(name: bytes) -> str:
    """Returns the error text for a call with too many or too few arguments."""
    return f"ERR wrong number of arguments for '{name.decode().lower()}' command"
