"""Commands on the connection: AUTH, HELLO, SELECT, CLIENT, RESET."""

from __future__ import annotations

from hazelhollow.standins.redis.keyspace import DATABASES
from hazelhollow.standins.redis.server_state import ServerState
from hazelhollow.standins.redis.session import Session
from hazelhollow.standins.redis.values import OK, CommandError, Reply, Status, parse_integer

VERSION = "7.2.0"
PROTOCOL = 2
DEFAULT_USER = b"default"
IGNORED_CLIENT_SUBCOMMANDS = frozenset({b"SETINFO", b"NO-EVICT", b"NO-TOUCH", b"REPLY"})


def auth(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes AUTH [user] password."""
    user, password = (args[0], args[1]) if len(args) == 2 else (DEFAULT_USER, args[0])
    if not state.password and len(args) == 1:
        raise CommandError(
            "ERR AUTH <password> called without any password configured for the default user. "
            "Are you sure your configuration is correct?"
        )
    if user != DEFAULT_USER or (state.password and password != state.password):
        raise CommandError("WRONGPASS invalid username-password pair or user is disabled.")
    session.authenticated = True
    return OK


def hello(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes HELLO [2 [AUTH user password] [SETNAME name]]."""
    if args and args[0] != b"%d" % PROTOCOL:
        if args[0].isdigit():
            raise CommandError("NOPROTO unsupported protocol version")
        raise CommandError("ERR Protocol version is not an integer or out of range")
    rest = args[1:]
    while rest:
        option = rest[0].upper()
        if option == b"AUTH" and len(rest) >= 3:
            auth(state, session, rest[1:3])
            rest = rest[3:]
        elif option == b"SETNAME" and len(rest) >= 2:
            session.name, rest = rest[1], rest[2:]
        else:
            raise CommandError(
                f"ERR Syntax error in HELLO option '{rest[0].decode('ascii', 'replace')}'"
            )
    if not session.authenticated:
        raise CommandError(
            "NOAUTH HELLO must be called with the client already authenticated, otherwise "
            "the HELLO <proto> AUTH "
            "<user> <pass> option can be used to authenticate the client and select the "
            "RESP protocol version at the same time"
        )
    mode = b"cluster" if state.cluster else b"standalone"
    role = b"replica" if state.engine.readonly else b"master"
    return [
        b"server",
        b"redis",
        b"version",
        VERSION.encode(),
        b"proto",
        PROTOCOL,
        b"id",
        session.id,
        b"mode",
        mode,
        b"role",
        role,
        b"modules",
        [],
    ]


def select(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes SELECT database."""
    database = parse_integer(args[0], "ERR invalid DB index")
    if not 0 <= database < DATABASES:
        raise CommandError("ERR DB index is out of range")
    if state.cluster and database:
        raise CommandError("ERR SELECT is not allowed in cluster mode")
    session.database = database
    return OK


def client(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes CLIENT ID, GETNAME, SETNAME and INFO; accepts the ignored subcommands."""
    subcommand = args[0].upper()
    if subcommand == b"ID":
        return session.id
    if subcommand == b"GETNAME":
        return session.name or None
    if subcommand == b"SETNAME" and len(args) == 2:
        session.name = args[1]
        return OK
    if subcommand in IGNORED_CLIENT_SUBCOMMANDS:
        return OK
    if subcommand == b"INFO":
        name = session.name.decode("ascii", "replace")
        return f"id={session.id} name={name} db={session.database} resp={PROTOCOL}\n".encode()
    raise CommandError(
        f"ERR unknown subcommand '{args[0].decode('ascii', 'replace')}'. Try CLIENT HELP."
    )


def reset(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes RESET: returns the session to its initial state."""
    session.end_transaction()
    session.database, session.name, session.authenticated = 0, b"", not state.password
    return Status(b"RESET")
