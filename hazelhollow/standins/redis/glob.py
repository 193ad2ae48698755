"""Redis's glob patterns, as SCAN accepts them."""

from __future__ import annotations

import re


def matches(pattern: bytes, key: bytes) -> bool:
    """Whether a key matches a pattern with `*`, `?`, `[..]` and backslash escapes.

    Apart from `*`, matching takes linear time.
    """
    parts: list[bytes] = []
    at = 0
    while at < len(pattern):
        char = pattern[at : at + 1]
        end = pattern.find(b"]", at + 1) if char == b"[" else -1
        if char == b"*":
            parts += [b".*"] if not parts or parts[-1] != b".*" else []
        elif char == b"?":
            parts.append(b".")
        elif char == b"\\" and at + 1 < len(pattern):
            at += 1
            parts.append(re.escape(pattern[at : at + 1]))
        elif end > 0:
            inside = pattern[at + 1 : end].replace(b"\\", b"\\\\")
            parts.append(b"[" + inside + b"]")
            at = end
        else:
            parts.append(re.escape(char))
        at += 1
    return re.fullmatch(b"".join(parts), key, re.S) is not None
