"""The platform's configuration: the RELAY_ variables and the JSON file that RELAY_CONFIG names.

Read at the start, and again by a running limiter on SIGHUP (`net.settings_reload`). What goes
beyond the platform is in an operator file, see `hazelhollow.operator`; the package
`hazelhollow.configuration` distributes settings between limiters and has nothing to do with this
file.

| variable | in its place without it |
| --- | --- |
| `RELAY_CONFIG` | needed: the path of the file |
| `RELAY_NAME`, `RELAY_LISTEN`, `RELAY_DISCOVERY`, `RELAY_OPERATOR` | the file's key of that name |
"""

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
VARIABLES = ("name", "listen", "discovery", "operator")  # RELAY_NAME and so on
VARIABLES_AGAIN = ("name", "listen", "operator")


class PlatformConfigError(Exception):
    """The configuration cannot be used; the text is one plain line that says why and where."""


@dataclass(frozen=True)
class PlatformConfig:
    """What the platform tells one limiter.

    Attributes:
        name: Of this limiter; names the file of its administrative overrides.
        listen: Where clients connect; port 0 lets the system pick one.
        discovery: Where discovery's agent is.
        seed: Of every random number that the limiter draws.
        settings: For the decision engine.
        peer_listen: Where datagrams from other limiters come in; None where there are none.
        peers: The addresses of all limiters in the order of their numbers.
        counter: An address that the platform may give and that this limiter does not use.
        operator: The operator address; None for none.
        known: The endpoint list as the platform knew it, in discovery's form.
        memory_mb: Memory that the process may use, in MiB.
        sockets: Descriptors that it may use.
        connect_timeout: Seconds in which a connection to an endpoint has to come up.
        conn_idle: Seconds after which an endpoint closes an idle connection.
        max_open: Requests at once; more are rejected.
        document: The settings as the file has them.
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


def load(environment: Mapping[str, str], is_reload: bool = False) -> PlatformConfig:
    """Reads the file; a variable wins over the file's key of the same name.

    Args:
        environment: The process's variables.
        is_reload: Whether a running limiter reads it again. Then the file is newer than the
            variables, and it alone says where discovery is.

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
    for key in VARIABLES_AGAIN if is_reload else VARIABLES:
        if f"RELAY_{key.upper()}" in environment:
            document[key] = environment[f"RELAY_{key.upper()}"]
    try:
        return _read(Fields("config", document))
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
    """Reads `host:port`.

    Args:
        text: What to read.
        least_port: 0 where the system may pick a port.

    Raises:
        ValueError: It is no address.
    """
    host, colon, port = text.rpartition(":")
    if not (
        colon and host and port.isascii() and port.isdigit() and least_port <= int(port) < 65536
    ):
        raise ValueError(f"'{text}' is not host:port")
    return host, int(port)


def _parse_optional(text: str) -> Address | None:
    return parse_address(text) if text else None
