"""The platform's configuration: the RELAY_ variables and the JSON file that RELAY_CONFIG names.

It is read at the start, and again by a running limiter on SIGHUP (`net.settings_reload`). Settings
beyond the platform's are in an operator file, see `hazelhollow.operator`. The package
`hazelhollow.configuration` distributes settings between limiters and does not use this module.

| variable | value used if it is not set |
| --- | --- |
| `RELAY_CONFIG` | none; it is required: the path of the file |
| `RELAY_NAME`, `RELAY_LISTEN`, `RELAY_DISCOVERY`, `RELAY_OPERATOR` | the file's key of that name |
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from hazelhollow.decisions import interface as api
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import parse_settings

Address = tuple[str, int]
# Keys of the file that a variable overrides (`RELAY_NAME` for `name`), at the start and on reload.
START_VARIABLES = ("name", "listen", "discovery", "operator")
RELOAD_VARIABLES = ("name", "listen", "operator")


class PlatformConfigError(Exception):
    """The configuration cannot be used; the text is one line with the reason and the place."""


@dataclass(frozen=True)
class PlatformConfig:
    """The platform's configuration of one limiter.

    Attributes:
        name: Name of this limiter, and of the file of its administrative overrides.
        listen: Address where clients connect; with port 0 the system picks a port.
        discovery: Address of discovery's agent.
        seed: Seed of the limiter's random number generators.
        settings: Settings of the decision engine.
        peer_listen: Address for datagrams from other limiters; None if there are none.
        peers: Addresses of all limiters in the order of their numbers.
        counter: Address that the platform may set; this limiter does not use it.
        operator: Address for operator calls; None if there is none.
        known: The endpoint list as the platform knew it, in discovery's format.
        memory_mb: Memory that the process may use, in MiB.
        sockets: File descriptors that the process may use.
        connect_timeout: Timeout, in seconds, for opening a connection to an endpoint.
        conn_idle: Seconds after which an endpoint closes an idle connection.
        max_open: Maximum number of concurrent requests; requests beyond it are rejected.
        document: The settings as they are written in the file.
        file: The whole file, with the variables applied and without the list of `known`.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    counter: Address | None = None
    operator: Address | None = None
    known: Mapping[str, Any] | None = None
    memory_mb: int = 192
    sockets: int = 1024
    connect_timeout: float = 0.25
    conn_idle: float = 30.0
    max_open: int = 20_000
    document: Mapping[str, Any] = field(default_factory=dict)
    file: Mapping[str, Any] = field(default_factory=dict)


def load(environment: Mapping[str, str], is_reload: bool = False) -> PlatformConfig:
    """Reads the file; a variable overrides the file's key of the same name.

    Args:
        environment: The environment variables of the process.
        is_reload: Whether a running limiter reads the file again. The file is then newer than the
            variables, so RELAY_DISCOVERY does not override the address of discovery.

    Raises:
        PlatformConfigError: The file cannot be read or used.
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
    for key in RELOAD_VARIABLES if is_reload else START_VARIABLES:
        if f"RELAY_{key.upper()}" in environment:
            document[key] = environment[f"RELAY_{key.upper()}"]
    # Only the start uses the list of endpoints, which may be long: it is not kept with the file.
    file = {**document, "known": {}} if document.get("known") is not None else document
    try:
        return replace(_read(Fields("config", document)), file=file)
    except (WireError, ValueError) as error:
        raise PlatformConfigError(f"{path}: {error}") from None


def _read(fields: Fields) -> PlatformConfig:
    settings, limits = fields.part("settings", needed=True), fields.part("limits")
    policy = settings.part("policy_limits")
    return PlatformConfig(
        name=fields.text("name", ""),
        listen=parse_address(fields.text("listen"), least_port=0),
        discovery=parse_address(fields.text("discovery")),
        seed=int(fields.text("seed", "0"), 16),
        settings=parse_settings(settings),
        peer_listen=_parse_optional(fields.text("peer_listen", "")),
        peers=tuple(parse_address(text) for text in fields.texts("peers")),
        counter=_parse_optional(fields.text("counter", "")),
        operator=_parse_optional(fields.text("operator", "")),
        known=fields.raw("known"),
        memory_mb=fields.part("limits").integer("memory_mb", 192),
        sockets=limits.integer("sockets", 1024),
        connect_timeout=policy.number("connect_timeout", 0.25),
        conn_idle=policy.number("conn_idle", 30.0),
        max_open=policy.integer("max_open", 20_000),
        document=fields.raw("settings") or {},
    )


def parse_address(text: str, least_port: int = 1) -> Address:
    """Parses `host:port`.

    Args:
        text: The text to parse.
        least_port: Smallest valid port; 0 if the system may pick a port.

    Raises:
        ValueError: The text is not a valid address.
    """
    host, colon, port = text.rpartition(":")
    if not (
        colon and host and port.isascii() and port.isdigit() and least_port <= int(port) < 65536
    ):
        raise ValueError(f"'{text}' is not host:port")
    return host, int(port)


def _parse_optional(text: str) -> Address | None:
    return parse_address(text) if text else None
