"""The shards of a cluster, and their assignment of keys."""

from __future__ import annotations

from dataclasses import dataclass

from hazelhollow.standins.redis import slots
from hazelhollow.standins.redis.values import CommandError, Reply


@dataclass(frozen=True)
class Shard:
    """One server of a cluster."""

    id: str
    host: str
    port: int
    slots: range


class Cluster:
    """All shards of a cluster; `own_number` is the number of this server's shard."""

    def __init__(self, addresses: list[tuple[str, int]], own_number: int, ids: list[str]) -> None:
        ranges = slots.slot_ranges(len(addresses))
        self.own_number = own_number
        self.shards = [
            Shard(id_, host, port, span)
            for id_, (host, port), span in zip(ids, addresses, ranges, strict=True)
        ]

    def check_keys(self, keys: list[bytes]) -> None:
        """Checks that all keys are in one slot, and that this shard owns it.

        Raises:
            CommandError: the keys are in several slots, or in a slot of another shard.
        """
        key_slots = {slots.slot_of(key) for key in keys}
        if len(key_slots) > 1:
            raise CommandError("CROSSSLOT Keys in request don't hash to the same slot")
        for slot in key_slots:
            if slot not in self.shards[self.own_number].slots:
                owner = next(shard for shard in self.shards if slot in shard.slots)
                raise CommandError(f"MOVED {slot} {owner.host}:{owner.port}")

    def slots_reply(self) -> Reply:
        """Returns the reply to CLUSTER SLOTS."""
        return [
            [
                shard.slots.start,
                shard.slots.stop - 1,
                [shard.host.encode(), shard.port, shard.id.encode(), []],
            ]
            for shard in self.shards
        ]

    def shards_reply(self) -> Reply:
        """Returns the reply to CLUSTER SHARDS."""
        return [
            [b"slots", [shard.slots.start, shard.slots.stop - 1], b"nodes", [_node_row(shard)]]
            for shard in self.shards
        ]

    def nodes_reply(self) -> Reply:
        """Returns the reply to CLUSTER NODES."""
        lines = [
            f"{shard.id} {shard.host}:{shard.port}@{shard.port} "
            f"{'myself,' if number == self.own_number else ''}master"
            f" - 0 0 {number + 1} connected {shard.slots.start}-{shard.slots.stop - 1}"
            for number, shard in enumerate(self.shards)
        ]
        return ("\n".join(lines) + "\n").encode()

    def info_reply(self) -> Reply:
        """Returns the reply to CLUSTER INFO."""
        rows = {
            "cluster_state": "ok",
            "cluster_slots_assigned": slots.SLOTS,
            "cluster_known_nodes": len(self.shards),
        }
        return "".join(f"{name}:{value}\r\n" for name, value in rows.items()).encode()


def _node_row(shard: Shard) -> Reply:
    host = shard.host.encode()
    return [
        b"id",
        shard.id.encode(),
        b"port",
        shard.port,
        b"ip",
        host,
        b"endpoint",
        host,
        b"role",
        b"master",
        b"replication-offset",
        0,
        b"health",
        b"online",
    ]
