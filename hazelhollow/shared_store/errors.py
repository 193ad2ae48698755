"""Errors of calls to the store and of the connection to it, by cause.

They are passed as values, in the events of `link` and by `client`; their texts appear in logs.
"""

from __future__ import annotations


class StoreError(Exception):
    """A call to the store, or the connection to it, failed."""


class StoreTimeoutError(StoreError):
    """The store or the network was too slow."""


class StoreProtocolError(StoreError):
    """The bytes received cannot be from a Redis that runs the scripts of this package."""


class StoreRefusedError(StoreError):
    """The store answered with an error: credentials, permissions, or a script not loaded."""


class StoreUnavailableError(StoreError):
    """The store cannot serve calls: it is loading, is a replica, or the connection has ended."""
