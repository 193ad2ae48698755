"""A keyed hash at the end of each datagram, with keys that can be rotated while the fleet runs.

TEXT ~0123456789abcdef      BLAKE2b with the key, 8 bytes in hex
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from hashlib import blake2b

SEPARATOR = " ~"
HASH_BYTES = 8
SUFFIX_BYTES = len(SEPARATOR) + 2 * HASH_BYTES
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # longer keys are truncated, since BLAKE2b accepts no more


class MessageAuthenticator:
    """Signs with the first of its `keys` and accepts any of them; without keys it does neither.

    To rotate keys without interruption, the new key is added second on every member, then moved to
    the first place on every member, and then the old one is removed.
    """

    def __init__(self, keys: Sequence[bytes] = ()) -> None:
        self.keys = list(keys)

    @property
    def overhead_bytes(self) -> int:
        """The number of bytes that signing adds to a text."""
        return SUFFIX_BYTES if self.keys else 0

    def sign(self, text: str) -> str:
        """Returns the text with its hash appended."""
        return text + SEPARATOR + _hash(self.keys[0], text) if self.keys else text

    def verify(self, signed: str) -> str | None:
        """Returns the text without its hash, or None if the hash matches none of the keys."""
        if not self.keys:
            return signed
        text, suffix = signed[:-SUFFIX_BYTES], signed[-SUFFIX_BYTES:]
        separator, given = suffix[: len(SEPARATOR)], suffix[len(SEPARATOR) :]
        if separator != SEPARATOR or not given.isascii():
            return None
        # All keys are tried, so that the duration does not reveal which one matched.
        matches = [hmac.compare_digest(_hash(key, text), given) for key in self.keys]
        return text if any(matches) else None


def _hash(key: bytes, text: str) -> str:
    return blake2b(text.encode(), key=key[:MAX_KEY_BYTES], digest_size=HASH_BYTES).hexdigest()


def parse_keys(data: bytes) -> list[bytes]:
    """Parses a key file with one key per line; ignores blank lines and those that begin with `#`.

    Raises ValueError if a key is too short or if there is none.
    """
    lines = [line.strip() for line in data.splitlines()]
    keys = [line for line in lines if line and not line.startswith(b"#")]
    short = [number for number, key in enumerate(keys, 1) if len(key) < MIN_KEY_BYTES]
    if short:
        raise ValueError(f"key {short[0]} is shorter than {MIN_KEY_BYTES} bytes")
    if not keys:
        raise ValueError("no key in the file, only blank lines or comments")
    return keys
