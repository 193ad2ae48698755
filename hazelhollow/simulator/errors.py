"""The error for messages that violate the wire format, which is always their sender's fault."""

from __future__ import annotations


class WireError(Exception):
    """A message violates the wire format; the text names the message and the field."""
