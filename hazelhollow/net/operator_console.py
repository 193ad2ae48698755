"""Executes the calls of the operator address and builds their answers.

`operator_calls` parses a call, this module executes it, and `operator_address` handles the
connection. docs/operators/days-of-service.md specifies the figures' names and the answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from hazelhollow.net import operator_calls

if TYPE_CHECKING:
    from hazelhollow.net.service import Service


class OperatorConsole:
    """Executes operators' calls at one limiter."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def answer(self, call: operator_calls.OperatorCall) -> bytes:
        """Executes a call and returns its complete answer."""
        if call.verb == "check":
            return b"done ready\n" if self.is_ready() else b"error not ready yet\n"
        if call.verb == "vars":
            return _encode_document(self.figures())
        if call.verb in ("fleet", "audit", "config"):
            return self._call_attachment(call)
        error = self._set_disabled(call.endpoint, call.verb == "set-down")
        if error:
            return b"error %b\n" % error.encode()
        return b"done %b %b\n" % (call.verb.encode(), call.endpoint.encode())

    def is_ready(self) -> bool:
        """Whether this limiter may receive requests."""
        service = self._service
        return (
            service.frontend.is_ready()
            and not service.shutdown.has_begun
            and (not service.attachment or service.attachment.ready())
        )

    def figures(self) -> dict[str, Any]:
        """Returns the current figures; counters start at the start of this process."""
        service = self._service
        stats, listed = service.stats, service.endpoint_list.entries
        targets = {name for name, entry in listed.items() if entry.state != "gone"}
        return {
            "replies": {kind: dict(counts) for kind, counts in stats.replies.items()},
            "dispatches": stats.dispatches,
            "concurrent": service.engine_driver.concurrent(),
            "targets": len(targets),
            "targets_disabled": len(targets & service.engine.unavailable_endpoints()),
            "reload_success": stats.reload_success,
            "reload_failure": stats.reload_failure,
        }

    def _call_attachment(self, call: operator_calls.OperatorCall) -> bytes:
        """Answers the calls that exist only if an operator file enables them."""
        attachment = self._service.attachment
        if call.verb == "config":
            text = attachment.config_call(call.arguments) if attachment else None
            return _unknown_call(call.verb) if text is None else b"%b\n" % text.encode()
        document: Any = None
        if attachment:
            document = (
                attachment.fleet_document() if call.verb == "fleet" else attachment.audit_entries()
            )
        return _unknown_call(call.verb) if document is None else _encode_document(document)

    def _set_disabled(self, name: str, disabled: bool) -> str | None:
        """Disables or enables an endpoint; returns the error message if that is impossible.

        The call is idempotent.
        """
        service = self._service
        is_known = name in service.endpoint_list.ever_listed or name in service.overrides.disabled
        if not is_known:
            return f"no server '{name}' has been listed"
        service.overrides.apply({name: disabled})
        if service.attachment:
            service.attachment.override_set(name, disabled)
        return None


def _encode_document(value: Any) -> bytes:
    return orjson.dumps(value) + b"\nend\n"


def _unknown_call(verb: str) -> bytes:
    return b"error %b\n" % str(operator_calls.unknown_call_error(verb)).encode()
