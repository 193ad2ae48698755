"""What a limiter is told at its start: the RELAY_ variables and the JSON file that they name."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from hazelhollow.decisions import interface as api
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import parse_settings

Address = tuple[str, int]


class PlatformConfigError(Exception):
    """The configuration cannot be used; its text is one plain line that says why."""


@dataclass(frozen=True)
class PlatformConfig:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    counter: Address | None = None
    operator: Address | None = None  # the operator address
    known: Mapping[str, Any] | None = None
    memory_mb: int = 192
    sockets: int = 1024
    connect_timeout: float = 0.25
    conn_idle: float = 30.0
    max_open: int = 20_000
    document: Mapping[str, Any] = field(default_factory=dict)  # the settings as they were told


def load(environment: Mapping[str, str], again: bool = False) -> PlatformConfig:
    """The file, with the variables before what it says of the same.

    Read `again` by a running limiter, the file is newer than the variables: where discovery is now,
    it says alone.
    """
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise PlatformConfigError("RELAY_CONFIG is not set")
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise PlatformConfigError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise PlatformConfigError(f"{path}: {error}") from None
    if not isinstance(document, dict):
        raise PlatformConfigError(f"{path}: not a JSON object")
    for key in (
        ("name", "listen", "operator") if again else ("name", "listen", "discovery", "operator")
    ):
        if f"RELAY_{key.upper()}" in environment:
            document[key] = environment[f"RELAY_{key.upper()}"]
    try:
        return _config(Fields("config", document))
    except (WireError, ValueError) as error:
        raise PlatformConfigError(f"{path}: {error}") from None


def _config(fields: Fields) -> PlatformConfig:
    settings, limits = fields.part("settings", needed=True), fields.part("limits")
    policy = settings.part("policy_limits")
    return PlatformConfig(
        name=fields.text("name", ""),
        listen=address(fields.text("listen"), least_port=0),
        discovery=address(fields.text("discovery")),
        seed=int(fields.text("seed", "0"), 16),
        settings=parse_settings(settings),
        peer_listen=_optional(fields.text("peer_listen", "")),
        peers=tuple(address(text) for text in fields.texts("peers")),
        counter=_optional(fields.text("counter", "")),
        operator=_optional(fields.text("operator", "")),
        known=fields.raw("known"),
        memory_mb=fields.part("limits").integer("memory_mb", 192),
        sockets=limits.integer("sockets", 1024),
        connect_timeout=policy.number("connect_timeout", 0.25),
        conn_idle=policy.number("conn_idle", 30.0),
        max_open=policy.integer("max_open", 20_000),
        document=fields.raw("settings") or {},
    )


def address(text: str, least_port: int = 1) -> Address:
    """`host:port`; a port of 0, where it is allowed, lets the system pick one."""
    host, colon, port = text.rpartition(":")
    if not (
        colon and host and port.isascii() and port.isdigit() and least_port <= int(port) < 65536
    ):
        raise ValueError(f"'{text}' is not host:port")
    return host, int(port)


def _optional(text: str) -> Address | None:
    return address(text) if text else None
