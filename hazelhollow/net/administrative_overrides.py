"""Endpoints that an operator has disabled: they get no new requests, even if discovery lists them.

Three sources change the set: a call at the operator address, a call at a peer (if an operator file
enables their replication), and the override file, which a second process of this limiter may have
written during an upgrade. Every change is written to the file, except one that was read from it. A
change that cannot be written was accepted nevertheless: it is written as soon as the disk allows.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from hazelhollow.decisions import interface as api
from hazelhollow.net.override_file import OverrideFile
from hazelhollow.net.scheduler import Scheduler

FILE_POLL_INTERVAL_S = 0.25

log = logging.getLogger(__name__)


class AdministrativeOverrides:
    """The set of endpoints that operators have disabled.

    Attributes:
        disabled: The names of the disabled endpoints.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        file: OverrideFile,
        notify: Callable[[api.EndpointOverridden], None],
        on_change: Callable[[], None],
    ) -> None:
        """Does not read the file yet; see `poll_file`.

        Args:
            scheduler: Runs the polling of the file.
            file: Stores the overrides.
            notify: Notifies the decision engine of a change for one endpoint.
            on_change: Called after the set has changed and the engine has been notified.
        """
        self._scheduler, self._file = scheduler, file
        self._notify, self._on_change = notify, on_change
        self.disabled = set[str]()
        self._unwritten = dict[str, bool]()  # changes that the file does not have yet

    def poll_file(self) -> None:
        """Applies the file if it has changed, now and then every FILE_POLL_INTERVAL_S."""
        self._scheduler.at(self._scheduler.clock() + FILE_POLL_INTERVAL_S, self.poll_file)
        if self._unwritten:
            self.apply({})
            return
        found = self._file.read_if_changed()
        if found is not None and found != self.disabled:
            self._replace(found)

    def apply(self, changes: dict[str, bool]) -> None:
        """Applies overrides made here or at a peer, by endpoint name: whether it is disabled.

        They are added to those in the file. Guards against an override that is lost in an upgrade:
        the other process may have written one that this process has not read yet.
        """
        changes = self._unwritten = {**self._unwritten, **changes}
        with self._file.exclusive():
            in_file = self._file.read()
            before = self.disabled if in_file is None else in_file
            unchanged = {name for name in before if name not in changes}
            disabled = unchanged | {name for name, is_disabled in changes.items() if is_disabled}
            if disabled == in_file or self._file.write(disabled):
                self._unwritten = {}
        if disabled != self.disabled:
            self._replace(disabled)

    def _replace(self, disabled: set[str]) -> None:
        for name in sorted(disabled - self.disabled):
            log.warning("server %s disabled by operator override; it gets no new requests", name)
            self._notify(api.EndpointOverridden(name, True))
        for name in sorted(self.disabled - disabled):
            log.warning(
                "server %s enabled by operator override; it gets new requests if it is in service",
                name,
            )
            self._notify(api.EndpointOverridden(name, False))
        self.disabled = set(disabled)
        self._on_change()
