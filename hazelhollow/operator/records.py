"""The operator file's values as frozen records. Times are seconds."""

from __future__ import annotations

from typing import Literal

import msgspec


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All of them are so."""


class Log(Record, frozen=True):
    format: Literal["json", "console"]
    level: Literal["debug", "info", "warning", "error"]


class Tls(Record, frozen=True):
    ca_file: str
    cert_file: str = ""
    key_file: str = ""
    server_name: str = ""


class Lease(Record, frozen=True):
    """`term` and `ahead` in seconds; `base_share` of each limit never enters the store."""

    term: float
    base_share: float
    ahead: float


class Presence(Record, frozen=True):
    """Seconds between signs of incarnation, and until one is void."""

    every: float
    term: float


class Store(Record, frozen=True):
    """`schema.cue` says what each is for; times in seconds."""

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
    lease: Lease
    presence: Presence
    username: str = ""
    password_file: str = ""
    tls: Tls | None = None


class Replicate(Record, frozen=True):
    """A folder that outlives the process; empty where there is none."""

    state_dir: str = ""


class Audit(Record, frozen=True):
    """`order`: of the settings, raised by the operator with each change.

    A folder that outlives the process, or none. `samples`: requests that are written down a second.
    """

    order: int = 0
    state_dir: str = ""
    samples: int = 3


class Control(Record, frozen=True):
    """`bytes_per_s`.

    Of all control traffic of one limiter, headers included, over any ten seconds.
    """

    bytes_per_s: float


class Fleet(Record, frozen=True):
    """Paths; empty where there is none."""

    seeds: tuple[tuple[str, int], ...] = ()
    keys_file: str = ""
    view_file: str = ""
    replicate: Replicate | None = None
    audit: Audit | None = None
    control: Control | None = None


class Operator(Record, frozen=True):
    log: Log
    store: Store | None = None
    fleet: Fleet | None = None
