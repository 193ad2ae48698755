"""Configures structlog and `logging` to write lines in the same format, JSON or console."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

from hazelhollow.operator.settings import LogSettings


def configure(log: LogSettings, sink: TextIO | None = None) -> None:
    """Writes log lines to `sink` (default: standard error) from now on.

    May be called again when the operator file has changed.
    """
    stamp = structlog.processors.TimeStamper(fmt="iso", utc=True, key="at")
    shared: list[Any] = [structlog.stdlib.add_log_level, structlog.stdlib.add_logger_name, stamp]
    last: Any = (
        structlog.processors.JSONRenderer()
        if log.format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            last,
        ],
    )
    handler = logging.StreamHandler(sink or sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(log.level.upper())
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=False,
    )
