"""Endpoints that an operator has disabled: they get nothing new, whatever discovery says.

Three sources change the set: a call at the operator address, a call at a peer (where an operator
file replicates them), and the override file, which a second process of this limiter may have
written during an upgrade. Every change is written to the file, except one that was read from it.
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
    """The endpoints that are disabled by hand.

    Attributes:
        disabled: Their names.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        file: OverrideFile,
        notify: Callable[[api.EndpointOverridden], None],
        on_change: Callable[[], None],
    ) -> None:
        """Does not read the file yet: see `poll_file`.

        Args:
            scheduler: For the poll of the file.
            file: Where the overrides are kept.
            notify: Tells the decision engine of one endpoint.
            on_change: Called when the set has changed and the engine knows.
        """
        self._scheduler, self._file = scheduler, file
        self._notify, self._on_change = notify, on_change
        self.disabled = set[str]()

    def poll_file(self) -> None:
        """Takes what the file says now, and looks again every FILE_POLL_INTERVAL_S."""
        self._scheduler.at(self._scheduler.clock() + FILE_POLL_INTERVAL_S, self.poll_file)
        found = self._file.read()
        if found is not None and found != self.disabled:
            self._replace(found)

    def replace(self, disabled: set[str]) -> None:
        """Makes `disabled` the set of endpoints that get nothing new, and writes it to the file."""
        self._replace(disabled)
        self._file.write(self.disabled)

    def apply(self, changes: dict[str, bool]) -> None:
        """Takes overrides made here or at a peer: endpoint to whether it is disabled."""
        unchanged = {name for name in self.disabled if name not in changes}
        disabled = unchanged | {name for name, is_disabled in changes.items() if is_disabled}
        if disabled != self.disabled:
            self.replace(disabled)

    def _replace(self, disabled: set[str]) -> None:
        for name in sorted(disabled - self.disabled):
            log.warning("server %s is left out by hand", name)
            self._notify(api.EndpointOverridden(name, True))
        for name in sorted(self.disabled - disabled):
            log.warning("server %s is put back by hand", name)
            self._notify(api.EndpointOverridden(name, False))
        self.disabled = set(disabled)
        self._on_change()
