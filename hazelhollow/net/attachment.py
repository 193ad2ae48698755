"""The interface between a limiter and the subsystems that an operator file enables.

`hazelhollow.operator.attach.Attached` implements it. Without an operator file there is no
attachment, and the packages of those subsystems are not imported.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from hazelhollow.decisions import interface as api
from hazelhollow.net.engine_driver import Decisions

if TYPE_CHECKING:
    from hazelhollow.net.service import Service


class Attachment(Protocol):
    """The operator-file subsystems of one limiter, from its start to its end.

    Every method is called from the limiter's own thread.
    """

    def settings(self, settings: api.Settings) -> api.Settings:
        """Returns the platform's settings with the operator file's changes applied."""

    def wrap_engine(
        self, inner: Decisions, settings: api.Settings, seed: int, now: float
    ) -> Decisions:
        """Returns the decision engine, wrapped in the layers that the operator file enables."""

    def start(self, service: Service) -> None:
        """Called when the limiter is about to serve."""

    def reload(self, config_accepted: bool) -> None:
        """Called on SIGHUP.

        `config_accepted`: whether the platform's configuration was read and accepted.
        """

    def settings_applied(self) -> None:
        """Called when a reload's settings are in force, before a request is served under them."""

    def ready(self) -> bool:
        """Whether this limiter may receive requests."""

    def fleet_document(self) -> dict[str, Any] | None:
        """Returns the answer to `call fleet`, or None if that call is disabled."""

    def audit_entries(self) -> list[Any] | None:
        """Returns the answer to `call audit`, or None if that call is disabled."""

    def config_call(self, arguments: tuple[str, ...]) -> str | None:
        """Returns the answer to `call config ...`, or None if that call is disabled."""

    def override_set(self, endpoint: str, disabled: bool) -> None:
        """Called when an operator has disabled or enabled an endpoint at this limiter."""

    def stop(self) -> None:
        """Called in the last step of the graceful shutdown, after requests have been answered."""
