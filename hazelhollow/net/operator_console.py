"""What the calls of the operator address do, and their answers.

`operator_calls` reads a call, this module carries it out, `operator_address` moves the bytes. The
figures' names and the answers are fixed by docs/operators/days-of-service.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from hazelhollow.net import operator_calls

if TYPE_CHECKING:
    from hazelhollow.net.service import Service


class OperatorConsole:
    """Carries out operators' calls at one limiter."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def answer(self, call: operator_calls.OperatorCall) -> bytes:
        """The whole answer to one call."""
        if call.verb == "check":
            return b"done ready\n" if self.is_ready() else b"error not ready yet\n"
        if call.verb == "vars":
            return _document(self.figures())
        if call.verb in ("fleet", "audit", "config"):
            return self._ask_attachment(call)
        why_not = self._set_disabled(call.server, call.verb == "set-down")
        if why_not:
            return b"error %b\n" % why_not.encode()
        return b"done %b %b\n" % (call.verb.encode(), call.server.encode())

    def is_ready(self) -> bool:
        """Whether this limiter may be given work."""
        service = self._service
        return (
            service.frontend.is_ready()
            and not service.shutdown.has_begun
            and (not service.attachment or service.attachment.ready())
        )

    def figures(self) -> dict[str, Any]:
        """The figures as of now, counted since the start of this process."""
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

    def _ask_attachment(self, call: operator_calls.OperatorCall) -> bytes:
        """Calls that an operator file switches on; without it they do not exist."""
        attachment = self._service.attachment
        if call.verb == "config":
            text = attachment.config_call(call.arguments) if attachment else None
            return _unknown(call.verb) if text is None else b"%b\n" % text.encode()
        document: Any = None
        if attachment:
            document = (
                attachment.fleet_document() if call.verb == "fleet" else attachment.audit_entries()
            )
        return _unknown(call.verb) if document is None else _document(document)

    def _set_disabled(self, name: str, disabled: bool) -> str | None:
        """Disables or enables an endpoint; returns why that cannot be done, if it cannot.

        Done again, it changes nothing.
        """
        service = self._service
        before = service.overrides.disabled
        if name not in service.endpoint_list.ever_listed and name not in before:
            return f"no server '{name}' has been listed"
        service.overrides.replace(before | {name} if disabled else before - {name})
        if service.attachment:
            service.attachment.override_set(name, disabled)
        return None


def _document(value: Any) -> bytes:
    return orjson.dumps(value) + b"\nend\n"


def _unknown(verb: str) -> bytes:
    return b"error %b\n" % str(operator_calls.unknown(verb)).encode()
