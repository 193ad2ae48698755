"""The input of a capacity report: results by file and by version of the measured program."""

from __future__ import annotations

import msgspec

from hazelhollow.scale import report_claims
from hazelhollow.scale.results import Results


class Run(msgspec.Struct, frozen=True):
    """Results with the name of the file that holds them."""

    name: str
    results: Results


class Runs(msgspec.Struct, frozen=True):
    """The results that a report is rendered from.

    Attributes:
        now: Results of the current program, from which the figures are derived.
        before: Results of an earlier version, shown for comparison.
    """

    now: tuple[Run, ...]
    before: tuple[Run, ...] = ()

    def without_first_look(self) -> Runs:
        """Returns the runs without those of the first-look plan, whose base size differs."""
        return Runs(
            *(
                tuple(run for run in group if run.results.plan != report_claims.FIRST_LOOK_PLAN)
                for group in (self.now, self.before)
            )
        )
