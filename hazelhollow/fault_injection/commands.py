"""`hazelhollow fleet`: collects its commands from the modules that define them."""

from __future__ import annotations

from hazelhollow.configuration import commands as configuration_commands
from hazelhollow.configuration.audit import commands as audit_commands
from hazelhollow.fault_injection import run_commands
from hazelhollow.fault_injection.cluster_commands import fleet

fleet.add_command(audit_commands.audit)
fleet.add_command(configuration_commands.config)

__all__ = ["fleet", "run_commands"]
