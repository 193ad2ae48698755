"""The operator file's values as frozen records.

`schema.cue` defines each value's limits and default. All durations are in seconds. Paths are
strings; an empty string means that there is none.
"""

from __future__ import annotations

from typing import Literal

import msgspec


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all records: frozen, and no unknown fields."""


class LogSettings(Settings, frozen=True):
    """The format of log lines and the lowest level that is logged."""

    format: Literal["json", "console"]
    level: Literal["debug", "info", "warning", "error"]


class TlsSettings(Settings, frozen=True):
    """TLS to the shared store: paths of PEM files, and the name in the store's certificate."""

    ca_file: str
    cert_file: str = ""
    key_file: str = ""
    server_name: str = ""


class LeaseSettings(Settings, frozen=True):
    """Leases of units from the shared store.

    Attributes:
        term: Seconds for which a lease is valid.
        base_share: Share of each limit that is never kept in the store.
        ahead: Seconds of usage that are leased in advance.
    """

    term: float
    base_share: float
    ahead: float


class PresenceSettings(Settings, frozen=True):
    """Heartbeats in the shared store: seconds between two, and seconds until one expires."""

    every: float
    term: float


class StoreSettings(Settings, frozen=True):
    """The connection to the shared store (Redis) and the limits that are kept in it."""

    address: tuple[str, int]
    database: int
    prefix: str
    call_timeout: float
    connect_timeout: float
    retry_least: float
    retry_most: float
    calls_waiting: int
    hold: Literal["ceilings", "quotas", "both"]
    plans: tuple[str, ...]
    lease: LeaseSettings
    presence: PresenceSettings
    username: str = ""
    password_file: str = ""
    tls: TlsSettings | None = None


class ReplicationSettings(Settings, frozen=True):
    """Replication of counts; `state_dir` is a folder for snapshots that outlive the process."""

    state_dir: str = ""


class AuditSettings(Settings, frozen=True):
    """Distribution and audit of settings.

    Attributes:
        order: Revision of the settings, increased by the operator with each change.
        state_dir: Folder for the audit record, which outlives the process.
        samples: Requests per second that are written to the record.
    """

    order: int = 0
    state_dir: str = ""
    samples: int = 3


class ControlSettings(Settings, frozen=True):
    """The control budget: bytes per second of one limiter's control traffic.

    The bytes include headers; the budget holds over any ten seconds.
    """

    bytes_per_s: float


class FleetSettings(Settings, frozen=True):
    """Membership and the subsystems that depend on it."""

    seeds: tuple[tuple[str, int], ...] = ()
    keys_file: str = ""
    view_file: str = ""
    replicate: ReplicationSettings | None = None
    audit: AuditSettings | None = None
    control: ControlSettings | None = None


class OperatorSettings(Settings, frozen=True):
    """The complete operator file; a subsystem that is absent is switched off."""

    log: LogSettings
    store: StoreSettings | None = None
    fleet: FleetSettings | None = None
