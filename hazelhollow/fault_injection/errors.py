"""Errors of the harness: the caller's (plans and commands) and the machine's."""

from __future__ import annotations


class PlanError(Exception):
    """A plan that is malformed or cannot be played; names the event."""


class CommandError(Exception):
    """A command of a running cluster that cannot be carried out; says why."""


class HarnessError(Exception):
    """The cluster could not be started, or did not become ready."""
