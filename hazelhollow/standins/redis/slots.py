"""The assignment of keys to hash slots and shards, according to the Redis Cluster specification.

The slot is the CRC16 of the key or of its hash tag.
"""

from __future__ import annotations

SLOTS = 16384


def _make_crc_table() -> list[int]:
    rows = []
    for byte in range(256):
        crc = byte << 8
        for _ in range(8):
            crc = (crc << 1) ^ 0x1021 if crc & 0x8000 else crc << 1
        rows.append(crc & 0xFFFF)
    return rows


_CRC_TABLE = _make_crc_table()


def crc16(data: bytes) -> int:
    """Returns the CRC16-CCITT (XModem).

    Appendix A of the specification gives 0x31C3 for `123456789`.
    """
    crc = 0
    for byte in data:
        crc = ((crc << 8) & 0xFFFF) ^ _CRC_TABLE[(crc >> 8) ^ byte]
    return crc


def slot_of(key: bytes) -> int:
    """Returns the slot of a key.

    The hash covers the part between the first `{` and the next `}` if it is not empty, otherwise
    the entire key.
    """
    start = key.find(b"{")
    end = key.find(b"}", start + 1) if start >= 0 else -1
    return crc16(key[start + 1 : end] if end > start + 1 else key) % SLOTS


def slot_ranges(shards: int) -> list[range]:
    """Divides the slots evenly among the shards, in order."""
    edges = [SLOTS * n // shards for n in range(shards + 1)]
    return [range(a, b) for a, b in zip(edges, edges[1:], strict=False)]
