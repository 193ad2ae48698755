"""The command group `hazelhollow bench`."""

from __future__ import annotations

import click

from hazelhollow.bench.membership_commands import fleet_command, zones_command
from hazelhollow.bench.replication_commands import model_command, replica_command
from hazelhollow.bench.store_commands import cpu_command, store_command


@click.group("bench")
def bench() -> None:
    """Seeded runs in virtual time. The same seed gives the same figures on any machine."""


for command in (
    store_command,
    cpu_command,
    fleet_command,
    zones_command,
    replica_command,
    model_command,
):
    bench.add_command(command)
