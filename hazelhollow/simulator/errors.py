"""What is wrong with a message: always the fault of whoever wrote it."""

from __future__ import annotations


class WireError(Exception):
    """A message is not of this wire; the text names the message and the field."""
