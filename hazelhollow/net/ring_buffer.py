"""A ring buffer of bytes: one a direction for each connection."""

from __future__ import annotations

START = 2048


class RingBufferFullError(Exception):
    """More was written than the ring may ever hold."""


class RingBuffer:
    """Bytes in their order.

    The buffer starts small, grows up to `most` and shrinks once it is empty.
    """

    __slots__ = ("most", "_buffer", "_head", "_size")

    def __init__(self, most: int) -> None:
        self.most = most
        self._buffer = bytearray(min(START, most))
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    def room(self) -> int:
        return self.most - self._size

    def write(self, data: bytes) -> None:
        size, need = len(data), self._size + len(data)
        if need > len(self._buffer):
            self._grow(need)
        capacity = len(self._buffer)
        tail = (self._head + self._size) % capacity
        first = min(size, capacity - tail)
        self._buffer[tail : tail + first] = data[:first]
        if first < size:
            self._buffer[: size - first] = data[first:]
        self._size = need

    def peek(self) -> memoryview:
        """The bytes that lie in one piece from the head on.

        All of them unless the ring has wrapped.
        """
        return memoryview(self._buffer)[
            self._head : min(self._head + self._size, len(self._buffer))
        ]

    def drop(self, count: int) -> None:
        self._size -= count
        if self._size:
            self._head = (self._head + count) % len(self._buffer)
        else:
            self.clear()

    def take(self, count: int) -> bytes:
        if self._head + count > len(self._buffer):
            self._straighten(len(self._buffer))
        data = bytes(memoryview(self._buffer)[self._head : self._head + count])
        self.drop(count)
        return data

    def find(self, mark: bytes) -> int:
        """How far behind the head `mark` begins, or -1."""
        if self._head + self._size > len(self._buffer):
            self._straighten(len(self._buffer))
        at = self._buffer.find(mark, self._head, self._head + self._size)
        return at - self._head if at >= 0 else -1

    def clear(self) -> None:
        self._head = self._size = 0
        if (
            len(self._buffer) > START
        ):  # one large value must not cost its memory for a connection's whole lifetime
            self._buffer = bytearray(START)

    def _grow(self, need: int) -> None:
        if need > self.most:
            raise RingBufferFullError
        capacity = len(self._buffer)
        while capacity < need:
            capacity *= 2
        self._straighten(min(capacity, self.most))

    def _straighten(self, capacity: int) -> None:
        buffer, first = bytearray(capacity), self.peek()
        buffer[: len(first)] = first
        buffer[len(first) : self._size] = self._buffer[: self._size - len(first)]
        self._buffer, self._head = buffer, 0
