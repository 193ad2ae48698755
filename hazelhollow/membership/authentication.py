"""A keyed hash at the end of a message, with keys that can be changed while the fleet runs.

No I/O.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from hashlib import blake2b

MARK = " ~"
SIZE = 8  # bytes of the hash
LENGTH = len(MARK) + 2 * SIZE
MIN_KEY_BYTES = 16  # bytes


class MessageAuthenticator:
    """The first key seals; each of them opens.

    To change keys: the new one goes second everywhere, then first everywhere, then the old one
    goes. No keys: nothing is sealed, and nothing is asked for.
    """

    def __init__(self, keys: Sequence[bytes] = ()) -> None:
        self.keys = list(keys)

    @property
    def overhead_bytes(self) -> int:
        """Bytes that it adds."""
        return LENGTH if self.keys else 0

    def sign(self, text: str) -> str:
        return text + MARK + _hash(self.keys[0], text) if self.keys else text

    def verify(self, text: str) -> str | None:
        """The text without its hash; nothing if none of the keys made that."""
        if not self.keys:
            return text
        plain, mark, given = (
            text[:-LENGTH],
            text[-LENGTH : -LENGTH + len(MARK)],
            text[-LENGTH + len(MARK) :],
        )
        if mark != MARK or not given.isascii():
            return None
        return (
            plain
            if any([hmac.compare_digest(_hash(key, plain), given) for key in self.keys])
            else None
        )


def _hash(key: bytes, text: str) -> str:
    return blake2b(text.encode(), key=key[:64], digest_size=SIZE).hexdigest()


def parse_keys(data: bytes) -> list[bytes]:
    """One a line; blank lines and those that begin with # say nothing.

    Raises ValueError for a key that is too short.
    """
    lines = [line.strip() for line in data.splitlines()]
    keys = [line for line in lines if line and not line.startswith(b"#")]
    short = [number for number, key in enumerate(keys, 1) if len(key) < MIN_KEY_BYTES]
    if short:
        raise ValueError(f"key {short[0]} is shorter than {MIN_KEY_BYTES} bytes")
    if not keys:
        raise ValueError("no key in it")
    return keys
