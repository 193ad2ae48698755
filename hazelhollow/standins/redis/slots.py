"""Which shard a key belongs to, as the Redis Cluster specification says.

CRC16 of the key or of its hash tag.
"""

from __future__ import annotations

SLOTS = 16384


def _table() -> list[int]:
    rows = []
    for byte in range(256):
        crc = byte << 8
        for _ in range(8):
            crc = (crc << 1) ^ 0x1021 if crc & 0x8000 else crc << 1
        rows.append(crc & 0xFFFF)
    return rows


_TABLE = _table()


def crc16(data: bytes) -> int:
    """CRC16-CCITT (XModem): the specification's appendix A gives 0x31C3 for `123456789`."""
    crc = 0
    for byte in data:
        crc = ((crc << 8) & 0xFFFF) ^ _TABLE[(crc >> 8) ^ byte]
    return crc


def slot_of(key: bytes) -> int:
    """Of the part between the first `{` and the next `}`, where that is not empty.

    Else of the whole key.
    """
    start = key.find(b"{")
    end = key.find(b"}", start + 1) if start >= 0 else -1
    return crc16(key[start + 1 : end] if end > start + 1 else key) % SLOTS


def slot_ranges(shards: int) -> list[range]:
    """Each shard's slots: equal parts, in order."""
    edges = [SLOTS * n // shards for n in range(shards + 1)]
    return [range(a, b) for a, b in zip(edges, edges[1:], strict=False)]
