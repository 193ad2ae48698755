"""Commands on the server: INFO, CLUSTER, and STANDIN, which injects faults."""

from __future__ import annotations

import msgspec

from hazelhollow.standins.redis import faults, slots
from hazelhollow.standins.redis.connection_commands import VERSION
from hazelhollow.standins.redis.server_state import ServerState
from hazelhollow.standins.redis.session import Session
from hazelhollow.standins.redis.values import OK, CommandError, Reply

ALL_SECTIONS = frozenset({"all", "everything", "default"})


def info(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes INFO [section ...]."""
    wanted = {argument.decode("ascii", "replace").lower() for argument in args}
    lines = []
    for section, rows in _info_sections(state).items():
        if not wanted or section in wanted or ALL_SECTIONS & wanted:
            lines += [
                f"# {section.capitalize()}",
                *[f"{name}:{value}" for name, value in rows.items()],
                "",
            ]
    return "\r\n".join(lines).encode()


def _info_sections(state: ServerState) -> dict[str, dict[str, object]]:
    engine, now = state.engine, state.engine.now()
    return {
        "server": {
            "redis_version": VERSION,
            "redis_mode": "cluster" if state.cluster else "standalone",
            "run_id": engine.run_id,
            "server_time_usec": round(now * 1e6),
            "uptime_in_seconds": int(now - engine.started_at),
        },
        "clients": {"connected_clients": len(state.sessions)},
        "persistence": {"loading": int(state.faults.active("loading", state.clock()) is not None)},
        "stats": {"total_commands_processed": sum(state.calls.values())},
        "replication": {"role": "slave" if engine.readonly else "master"},
        "keyspace": {
            f"db{number}": f"keys={len(database.entries)}"
            for number, database in enumerate(engine.databases)
            if database.entries
        },
    }


def cluster(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes CLUSTER KEYSLOT, SLOTS, SHARDS, MYID, NODES and INFO."""
    subcommand = args[0].upper()
    if subcommand == b"KEYSLOT" and len(args) == 2:
        return slots.slot_of(args[1])
    view = state.cluster
    if not view:
        raise CommandError("ERR This instance has cluster support disabled")
    if subcommand == b"SLOTS":
        return view.slots_reply()
    if subcommand == b"SHARDS":
        return view.shards_reply()
    if subcommand == b"MYID":
        return view.shards[view.own_number].id.encode()
    if subcommand == b"NODES":
        return view.nodes_reply()
    if subcommand == b"INFO":
        return view.info_reply()
    raise CommandError(
        f"ERR unknown subcommand '{args[0].decode('ascii', 'replace')}'. Try CLUSTER HELP."
    )


def standin(state: ServerState, session: Session, args: list[bytes]) -> Reply:
    """Executes STANDIN FAULT kind [name value ...], STANDIN CLEAR and STANDIN STATS."""
    subcommand = args[0].upper()
    if subcommand == b"CLEAR":
        state.faults.clear()
        return OK
    if subcommand == b"STATS":
        return msgspec.json.encode(
            {"calls": state.calls, "faults": state.faults.hits, "run_id": state.engine.run_id}
        )
    if subcommand == b"FAULT" and len(args) >= 2 and len(args) % 2 == 0:
        fault = _parse_fault(args[1:])
        state.snapshots.enabled = state.snapshots.enabled or fault.kind == "restart_old"
        state.faults.add(fault, state.clock())
        return OK
    raise CommandError("ERR STANDIN FAULT kind [name value ...], STANDIN CLEAR or STANDIN STATS")


def _parse_fault(args: list[bytes]) -> faults.Fault:
    names = [name.decode("ascii", "replace") for name in args[1::2]]
    fields = [("kind", args[0]), *zip(names, args[2::2], strict=True)]
    text = (
        "faults: [{" + ", ".join(f"{name}: {_to_cue(name, value)}" for name, value in fields) + "}]"
    )
    try:
        return faults.read_plan(text.encode(), "STANDIN")[0]
    except Exception as error:
        raise CommandError(f"ERR {error}") from None


def _to_cue(name: str, value: bytes) -> str:
    text = value.decode("ascii", "replace")
    return text if name == "share" else '"' + text.replace("\\", "").replace('"', "") + '"'
