"""Commands run on the keyspace: which there are, and whether one may run now.

Source: the public command reference (redis.io/docs/latest/commands) at the level of Redis 7.
Commands of a connection, of transactions and of scripts are not here; `dispatch.py` has them.
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

MAX_ECHOED = 128  # characters of an argument that an error repeats
COMMANDS: dict[bytes, Command] = {
    **string_commands.COMMANDS,
    **key_commands.COMMANDS,
    **hash_commands.COMMANDS,
    **sorted_set_commands.COMMANDS,
}


class Engine(Keyspace):
    """A keyspace that runs commands by their arguments."""

    def call(self, database: int, arguments: list[bytes], scripted: bool = False) -> Reply:
        """Runs a command of the tables on a database.

        Raises `CommandError` where it cannot be run.
        """
        command = find_command(arguments)
        if scripted and not command.in_script:
            raise CommandError("ERR This Redis command is not allowed from script")
        self.check_may_run(command)
        return command.run(self, database, arguments[1:])

    def check_may_run(self, command: Command) -> None:
        """Raises `CommandError` where the server's state forbids the command now."""
        if command.writes and self.readonly:
            raise CommandError("READONLY You can't write against a read only replica.")
        if command.needs_memory and self.out_of_memory:
            raise CommandError(OUT_OF_MEMORY)


def find_command(arguments: list[bytes]) -> Command:
    """The command that the arguments call.

    Raises `CommandError` for an unknown one or a wrong number of arguments.
    """
    name = arguments[0].upper()
    command = COMMANDS.get(name)
    if command is None:
        given = arguments[0][:MAX_ECHOED].decode("ascii", "replace")
        first = b" ".join(b"'%b'" % argument[:MAX_ECHOED] for argument in arguments[1:10]).decode(
            "ascii", "replace"
        )
        raise CommandError(f"ERR unknown command '{given}', with args beginning with: {first}")
    if not command.fits(arguments):
        raise CommandError(wrong_arguments(name))
    return command


def wrong_arguments(name: bytes) -> str:
    """The error for a call with too many or too few arguments."""
    return f"ERR wrong number of arguments for '{name.decode().lower()}' command"
