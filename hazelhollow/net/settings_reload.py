"""The settings in force, and their replacement while the limiter serves.

New settings come from two sources:

- SIGHUP: `reload` reads the platform's configuration file again and applies its settings, its
  timeouts for endpoints and the address of discovery. Plans, the position, the number of limiters,
  listening addresses, memory and socket limits and the file's list of endpoints change only with a
  restart. The operator file is reloaded too, even if the configuration file cannot be read.
- A peer, if an operator file enables the distribution of settings: `check` and `apply` accept a
  settings document.

Settings that cannot be read, that lack a key of the file in force (`missing_keys`), or that a
running limiter cannot apply, change nothing: all settings in force stay in force. For SIGHUP this
module logs `the configuration stays as it was: WHY` and counts `reload_failure` (among the figures
of the operator address); for a peer's settings it returns the reason to the caller. Open requests
keep the class and the number of attempts with which they arrived.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from hazelhollow.decisions import interface as api
from hazelhollow.missing_keys import describe_missing_keys
from hazelhollow.net.stats import Stats
from hazelhollow.platform_config import PlatformConfig, PlatformConfigError
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import KnownSettings, parse_settings

if TYPE_CHECKING:
    from hazelhollow.net.attachment import Attachment

MAX_LOGGED_CLASSES = 8
# Settings that are specific to each limiter; a peer's document does not replace them.
OWN_SETTINGS = ("position", "zone")

log = logging.getLogger("hazelhollow.net.service")  # the logger name in docs/operators


class SettingsReload:
    """The settings in force, and the only way to change them.

    Attributes:
        settings: The settings in force, including the operator file's changes.
        document: The document from which they were parsed.
    """

    def __init__(
        self,
        config: PlatformConfig,
        stats: Stats,
        attachment: Attachment | None,
        apply_settings: Callable[[api.Settings], None],
        apply_addresses: Callable[[PlatformConfig], None],
    ) -> None:
        """Adopts the settings of the initial configuration without a check.

        Args:
            config: The platform's configuration at the start.
            stats: Counts the reloads.
            attachment: The subsystems that an operator file enables.
            apply_settings: Puts settings in force; called only if they differ from the last ones.
            apply_addresses: Applies the rest of a reloaded configuration.
        """
        self._stats, self._attachment = stats, attachment
        self._apply_settings, self._apply_addresses = apply_settings, apply_addresses
        self.settings, self.document = self._with_operator_file(config.settings), config.document
        self._file = config.file
        # The document that was last found valid, and the settings parsed from it.
        self._last_checked: tuple[Mapping[str, Any] | None, api.Settings] = (None, self.settings)

    # SIGHUP

    def reload(self, reread: Callable[[], PlatformConfig]) -> None:
        """Reloads the configuration file. Clients, attempts and budgets are kept."""
        try:
            config = reread()
            _raise_if_keys_are_missing(self._file, config.file)
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
        self._file = config.file
        self._put_in_force(config.settings, config.document)
        if self._attachment:
            self._attachment.settings_applied()
        self._apply_addresses(config)

    # Settings from a peer

    def check(self, document: Mapping[str, Any]) -> str:
        """Returns what is wrong with a settings document, or "" if it could be put in force."""
        try:
            self._last_checked = document, self._parse(self._with_own_settings(document))
        except (WireError, PlatformConfigError, ValueError) as error:
            return str(error)
        return ""

    def apply(self, document: Mapping[str, Any]) -> str:
        """Puts a settings document in force, or returns what is wrong and changes nothing."""
        error = self.check(document) if document is not self._last_checked[0] else ""
        settings, self._last_checked = self._last_checked[1], (None, self.settings)
        if not error:
            self._put_in_force(settings, self._with_own_settings(document))
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

    def _with_own_settings(self, document: Mapping[str, Any]) -> dict[str, Any]:
        own = {name: self.document[name] for name in OWN_SETTINGS if name in self.document}
        return {**document, **own}

    def _parse(self, document: Mapping[str, Any]) -> api.Settings:
        """Parses a document; raises WireError, PlatformConfigError or ValueError."""
        known = KnownSettings(self.document, self.settings)
        settings = parse_settings(Fields("settings", document), known)
        _raise_if_fixed_parts_differ(self.settings, settings)
        return settings


def _raise_if_keys_are_missing(old: Mapping[str, Any], new: Mapping[str, Any]) -> None:
    """Raises PlatformConfigError if a file lacks keys that the file in force has."""
    missing_keys = describe_missing_keys(old, new)
    if missing_keys:
        raise PlatformConfigError(missing_keys)


def _raise_if_fixed_parts_differ(old: api.Settings, new: api.Settings) -> None:
    """Raises PlatformConfigError for a change that a running limiter cannot apply.

    A running limiter cannot become another one of the set, and its budgets belong to its plans.
    """
    if (old.limiter_id, old.limiter_count, old.plans) != (
        new.limiter_id,
        new.limiter_count,
        new.plans,
    ):
        raise PlatformConfigError(
            "plans, position and the number of limiters change with a restart only"
        )
