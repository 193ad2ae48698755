"""Errors of the harness: invalid input from the caller, and failures of the cluster."""

from __future__ import annotations


class PlanError(Exception):
    """A plan is malformed or cannot be played; the message names the event."""


class CommandError(Exception):
    """A command for a running cluster cannot be carried out; the message says why."""


class HarnessError(Exception):
    """The cluster could not be started, or did not become ready."""
