"""The settings in force, and how new ones take their place while the limiter serves.

New settings come from two sources:

- SIGHUP: `reload` reads the platform's configuration file again. It takes its settings, its
  timeouts towards endpoints and the address of discovery. Plans, the position, the number of
  limiters, listening addresses, limits of memory and sockets and the file's list of endpoints
  change with a restart only. The operator file is read again too, also if this one can't be.
- a peer, where an operator file distributes settings: `check` and `apply` take a settings document.

Settings that cannot be read, or that a running limiter cannot take, change nothing: those in force
stay in force as a whole. For SIGHUP this module logs `the configuration stays as it was: WHY` and
counts `reload_failure` (the figures of the operator address); for a peer's settings the text goes
back to the caller. Open requests keep the class and the attempts that they came with.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from hazelhollow.decisions import interface as api
from hazelhollow.net.stats import Stats
from hazelhollow.platform_config import PlatformConfig, PlatformConfigError
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import KnownSettings, parse_settings

if TYPE_CHECKING:
    from hazelhollow.net.attachment import Attachment

MAX_LOGGED_CLASSES = 8
# Parts of the settings that are each limiter's own: a peer's document does not replace them.
OWN_SETTINGS = ("position", "zone")

log = logging.getLogger("hazelhollow.net.service")  # the name that docs/operators show


class SettingsReload:
    """The settings in force, and the only way to change them.

    Attributes:
        settings: In force, with what the operator file changes in them.
        document: What they were read from.
    """

    def __init__(
        self,
        config: PlatformConfig,
        stats: Stats,
        attachment: Attachment | None,
        apply_settings: Callable[[api.Settings], None],
        apply_addresses: Callable[[PlatformConfig], None],
    ) -> None:
        """Takes the settings of the start as they are.

        Args:
            config: What the platform gave at the start.
            stats: For the count of reloads.
            attachment: What the operator file adds.
            apply_settings: Puts settings in force; called only for such as differ from the last.
            apply_addresses: Takes the rest of a configuration that was read again.
        """
        self._stats, self._attachment = stats, attachment
        self._apply_settings, self._apply_addresses = apply_settings, apply_addresses
        self.settings, self.document = self._with_operator_file(config.settings), config.document
        # The document that was found to be sound last, and the settings that were read from it.
        self._checked: tuple[Mapping[str, Any] | None, api.Settings] = (None, self.settings)

    # SIGHUP

    def reload(self, reread: Callable[[], PlatformConfig]) -> None:
        """Takes the configuration file anew. Clients, attempts and budgets stay."""
        try:
            config = reread()
            _raise_if_fixed_parts_differ(self.settings, config.settings)
        except PlatformConfigError as error:
            self._stats.reload_failure += 1
            log.error("the configuration stays as it was: %s", error)
            if self._attachment:
                self._attachment.reload(config_accepted=False)
            return
        if self._attachment:
            self._attachment.reload(config_accepted=True)
        self._stats.reload_success += 1
        self._put_in_force(config.settings, config.document)
        if self._attachment:
            self._attachment.settings_applied()
        self._apply_addresses(config)

    # Settings from a peer

    def check(self, document: Mapping[str, Any]) -> str:
        """Says what is wrong with a settings document, or nothing if it could be put in force."""
        try:
            self._checked = document, self._read(self._with_own(document))
        except (WireError, PlatformConfigError, ValueError) as error:
            return str(error)
        return ""

    def apply(self, document: Mapping[str, Any]) -> str:
        """Puts a settings document in force, or says what is wrong with it and changes nothing."""
        error = self.check(document) if document is not self._checked[0] else ""
        settings, self._checked = self._checked[1], (None, self.settings)
        if not error:
            self._put_in_force(settings, self._with_own(document))
        return error

    def _put_in_force(self, platform_settings: api.Settings, document: Mapping[str, Any]) -> None:
        self.document, settings = document, self._with_operator_file(platform_settings)
        if settings != self.settings:
            self.settings = settings
            self._apply_settings(settings)
            names = [kind.name for kind in settings.classes[:MAX_LOGGED_CLASSES]]
            log.info("settings: %d classes: %s", len(settings.classes), ", ".join(names))

    def _with_operator_file(self, settings: api.Settings) -> api.Settings:
        return self._attachment.settings(settings) if self._attachment else settings

    def _with_own(self, document: Mapping[str, Any]) -> dict[str, Any]:
        own = {name: self.document[name] for name in OWN_SETTINGS if name in self.document}
        return {**document, **own}

    def _read(self, document: Mapping[str, Any]) -> api.Settings:
        """Raises WireError, PlatformConfigError or ValueError for what cannot be put in force."""
        known = KnownSettings(self.document, self.settings)
        settings = parse_settings(Fields("settings", document), known)
        _raise_if_fixed_parts_differ(self.settings, settings)
        return settings


def _raise_if_fixed_parts_differ(old: api.Settings, new: api.Settings) -> None:
    """Raises PlatformConfigError for a change that a running limiter cannot take.

    It cannot become another limiter of the set, and its budgets belong to the plans that it has.
    """
    if (old.limiter_id, old.limiter_count, old.plans) != (
        new.limiter_id,
        new.limiter_count,
        new.plans,
    ):
        raise PlatformConfigError(
            "plans, position and the number of limiters change with a restart only"
        )
