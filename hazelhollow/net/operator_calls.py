"""Parses the calls of the operator address, which are one line each. No I/O and no clock."""

from __future__ import annotations

import re
from typing import NamedTuple

from hazelhollow.net.errors import OperatorCallError

MAX_LINE_BYTES = 256  # including the end of the line
ENDPOINT_VERBS = ("set-down", "set-up")  # with an endpoint's name as argument
ARGUMENT_VERBS = ("config",)  # with arguments that `Attachment.config_call` parses
VERBS = ("check", "vars", "fleet", "audit", *ENDPOINT_VERBS, *ARGUMENT_VERBS)
HELP = "calls: check, vars, set-down ID, set-up ID"
_ENDPOINT_NAME = re.compile(r"[!-~]{1,128}")


class OperatorCall(NamedTuple):
    """One call.

    Attributes:
        verb: One of VERBS.
        endpoint: The endpoint's name, for ENDPOINT_VERBS.
        arguments: The words after the verb, for ARGUMENT_VERBS.
    """

    verb: str
    endpoint: str = ""
    arguments: tuple[str, ...] = ()


class Parser:
    """Collects bytes up to the first end of line and parses the call; later bytes are ignored."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._call: OperatorCall | None = None

    def feed(self, data: bytes) -> OperatorCall | None:
        """Adds received bytes; returns the call once its line is complete.

        Raises:
            OperatorCallError: The line is not a valid call.
        """
        if self._call is not None:
            return self._call
        self._buffer += data
        end = self._buffer.find(b"\n")
        if end >= MAX_LINE_BYTES or (end < 0 and len(self._buffer) >= MAX_LINE_BYTES):
            raise OperatorCallError(f"a line longer than {MAX_LINE_BYTES} bytes")
        if end < 0:
            return None
        self._call = parse_line(bytes(self._buffer[:end]))
        return self._call

    def partial(self) -> bool:
        """Whether an incomplete line has been received."""
        return bool(self._buffer) and self._call is None


def unknown_call_error(verb: str) -> OperatorCallError:
    """Returns the error for a call that does not exist or is disabled."""
    return OperatorCallError(f"no call '{verb[:32]}'; {HELP}")


def parse_line(line: bytes) -> OperatorCall:
    """Parses one line without its newline; a trailing carriage return is allowed.

    Raises:
        OperatorCallError: The line is not a valid call.
    """
    try:
        text = line.removesuffix(b"\r").decode("ascii")
    except UnicodeDecodeError:
        raise OperatorCallError("a call is plain ASCII") from None
    parts = text.split()
    if not parts:
        raise OperatorCallError(f"an empty line; {HELP}")
    verb, arguments = parts[0].lower(), parts[1:]
    if verb not in VERBS:
        raise unknown_call_error(parts[0])
    if verb in ARGUMENT_VERBS:
        return OperatorCall(verb, arguments=tuple(arguments))
    if verb in ENDPOINT_VERBS:
        if len(arguments) != 1 or not _ENDPOINT_NAME.fullmatch(arguments[0]):
            raise OperatorCallError(f"{verb} takes one server id")
        return OperatorCall(verb, arguments[0])
    if arguments:
        raise OperatorCallError(f"{verb} takes nothing after it")
    return OperatorCall(verb)
