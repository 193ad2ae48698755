"""What an operator file adds to a limiter, as the limiter sees it.

`hazelhollow.operator.attach.Attached` implements it. Without an operator file there is none, and
nothing of its packages is imported.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from hazelhollow.decisions import interface as api
from hazelhollow.net.engine_driver import Decisions

if TYPE_CHECKING:
    from hazelhollow.net.service import Service


class Attachment(Protocol):
    """The subsystems of one limiter, from its start to its end.

    Every call comes from the limiter's own thread.
    """

    def settings(self, settings: api.Settings) -> api.Settings:
        """The platform's settings with what the operator file changes in them."""

    def wrap_engine(
        self, inner: Decisions, settings: api.Settings, seed: int, now: float
    ) -> Decisions:
        """The decision engine, with what the operator file puts in front of it."""

    def start(self, service: Service) -> None:
        """The limiter is about to serve."""

    def reload(self, config_accepted: bool) -> None:
        """SIGHUP came; `config_accepted`: whether the platform's configuration could be read."""

    def settings_applied(self) -> None:
        """Settings of a reload are in force, and no request was served by them yet."""

    def ready(self) -> bool:
        """Whether this limiter may be given work."""

    def fleet_document(self) -> dict[str, Any] | None:
        """The answer to `call fleet`; None where that is switched off."""

    def audit_entries(self) -> list[Any] | None:
        """The answer to `call audit`; None where that is switched off."""

    def config_call(self, arguments: tuple[str, ...]) -> str | None:
        """The answer to `call config ...`; None where that is switched off."""

    def override_set(self, endpoint: str, disabled: bool) -> None:
        """An operator has disabled or enabled an endpoint at this limiter."""

    def stop(self) -> None:
        """Every request is answered, and the limiter ends."""
