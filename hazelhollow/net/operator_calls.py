"""The calls of the operator address: one line each, read from bytes fed in. No socket, no clock."""

from __future__ import annotations

import re
from typing import NamedTuple

MOST_LINE = 256  # bytes of a call with its end of line
SERVER_VERBS = ("set-down", "set-up")  # which take a server's id
WORDS_VERBS = ("config",)  # which take words that are another module's concern
VERBS = ("check", "vars", "fleet", "audit", *SERVER_VERBS, *WORDS_VERBS)
_ID = re.compile(r"[!-~]{1,128}")


class Call(NamedTuple):
    verb: str
    server: str = ""
    words: tuple[str, ...] = ()


class CallError(Exception):
    """What is wrong with a call, in words for the one who made it."""


class Parser:
    """Collects bytes until the first end of line, then says which call it was.

    What comes after it is not read.
    """

    def __init__(self) -> None:
        self._held = bytearray()
        self._call: Call | None = None

    def feed(self, data: bytes) -> Call | None:
        """The call, once its line is whole; None while it is not.

        Raises CallError for a call that cannot be.
        """
        if self._call is not None:
            return self._call
        self._held += data
        end = self._held.find(b"\n")
        if end < 0:
            if len(self._held) >= MOST_LINE:
                raise CallError(f"a line longer than {MOST_LINE} bytes")
            return None
        if end >= MOST_LINE:
            raise CallError(f"a line longer than {MOST_LINE} bytes")
        self._call = read(bytes(self._held[:end]))
        return self._call

    def partial(self) -> bool:
        """Whether a part of a line has come."""
        return bool(self._held) and self._call is None


def unknown(verb: str) -> CallError:
    return CallError(f"no call '{verb[:32]}'; calls: check, vars, set-down ID, set-up ID")


def read(line: bytes) -> Call:
    """One line without its newline; a carriage return before it is allowed."""
    try:
        text = line.removesuffix(b"\r").decode("ascii")
    except UnicodeDecodeError:
        raise CallError("a call is plain ASCII") from None
    words = text.split()
    if not words:
        raise CallError("an empty line; calls: check, vars, set-down ID, set-up ID")
    verb, arguments = words[0].lower(), words[1:]
    if verb not in VERBS:
        raise unknown(words[0])
    if verb in WORDS_VERBS:
        return Call(verb, words=tuple(arguments))
    if verb in SERVER_VERBS:
        if len(arguments) != 1 or not _ID.fullmatch(arguments[0]):
            raise CallError(f"{verb} takes one server id")
        return Call(verb, arguments[0])
    if arguments:
        raise CallError(f"{verb} takes nothing after it")
    return Call(verb)
