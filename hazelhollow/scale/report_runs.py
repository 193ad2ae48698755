"""The results of a capacity report, by file and by the program that was measured."""

from __future__ import annotations

import msgspec

from hazelhollow.scale import report_claims
from hazelhollow.scale.results import Results


class Run(msgspec.Struct, frozen=True):
    """Results with the name of the file that they came from."""

    name: str
    results: Results


class Runs(msgspec.Struct, frozen=True):
    """The results of a report.

    Attributes:
        now: Results that the figures are made of.
        before: Results of an earlier program, shown beside them.
    """

    now: tuple[Run, ...]
    before: tuple[Run, ...] = ()

    def without_first_look(self) -> Runs:
        """Without the runs that only repeat the first look's figures, as their base differs."""
        return Runs(
            *(
                tuple(run for run in group if run.results.plan != report_claims.FIRST_LOOK_PLAN)
                for group in (self.now, self.before)
            )
        )
