"""Why a call to the store, or the connection to it, failed: by whose fault.

They are handed on as values, in `link`'s events and by `client`; the text is what logs say.
"""

from __future__ import annotations


class StoreError(Exception):
    """Something failed between this limiter and its store."""


class StoreTimeoutError(StoreError):
    """The store, or the network on the way, was too slow."""


class StoreProtocolError(StoreError):
    """What arrived cannot be from a Redis that runs our scripts."""


class StoreRefusedError(StoreError):
    """The store answered with an error: credentials, permissions, or a script it has forgotten."""


class StoreUnavailableError(StoreError):
    """There is no store to ask: it is loading, a replica, or the connection is gone."""
