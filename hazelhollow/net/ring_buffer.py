"""A ring buffer of bytes, used for each direction of a connection."""

from __future__ import annotations

from collections.abc import Callable

from hazelhollow.net.errors import RingBufferFullError

INITIAL_CAPACITY = 2048  # bytes; enough for a typical command or answer
CAPACITY_STEP = 4096  # bytes; the buffer grows by a quarter, and to a multiple of this


class RingBuffer:
    """A queue of bytes that starts small, grows up to `max_size` and shrinks once it is empty."""

    __slots__ = ("max_size", "_buffer", "_head", "_size", "_on_resize")

    def __init__(self, max_size: int, on_resize: Callable[[int], object] | None = None) -> None:
        """Creates an empty buffer.

        Args:
            max_size: The maximum number of bytes in the buffer.
            on_resize: Told by how many bytes the buffer's memory grows, or shrinks (negative).
        """
        self.max_size, self._on_resize = max_size, on_resize
        self._buffer = bytearray(min(INITIAL_CAPACITY, max_size))
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    def room(self) -> int:
        """Returns how many bytes may still be written."""
        return self.max_size - self._size

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Appends bytes.

        Raises:
            RingBufferFullError: There are more bytes than `room`; nothing was written.
        """
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
        """Returns the contiguous bytes from the head on: all of them unless the buffer wraps."""
        return memoryview(self._buffer)[
            self._head : min(self._head + self._size, len(self._buffer))
        ]

    def drop(self, count: int) -> None:
        """Removes that many bytes from the head; the buffer must hold at least as many."""
        self._size -= count
        if self._size:
            self._head = (self._head + count) % len(self._buffer)
        else:
            self.clear()

    def consume(self, count: int) -> bytes:
        """Removes and returns that many bytes from the head; it must hold at least as many."""
        if self._head + count > len(self._buffer):
            self._linearize(len(self._buffer))
        data = bytes(memoryview(self._buffer)[self._head : self._head + count])
        self.drop(count)
        return data

    def find(self, pattern: bytes, limit: int | None = None) -> int:
        """Returns the offset of `pattern` from the head, or -1.

        `limit`: the number of bytes from the head that are searched; None searches all.
        """
        if self._head + self._size > len(self._buffer):
            self._linearize(len(self._buffer))
        size = self._size if limit is None else min(limit, self._size)
        at = self._buffer.find(pattern, self._head, self._head + size)
        return at - self._head if at >= 0 else -1

    def byte_at(self, offset: int) -> bytes:
        """Returns the byte at an offset from the head; the buffer must hold it."""
        at = (self._head + offset) % len(self._buffer)
        return bytes(self._buffer[at : at + 1])

    def to_bytes(self) -> bytes:
        """Returns all bytes, which stay in the buffer."""
        end = self._head + self._size
        capacity = len(self._buffer)
        return bytes(self._buffer[self._head : end]) + bytes(self._buffer[: max(end - capacity, 0)])

    def clear(self) -> None:
        """Removes all bytes."""
        self._head = self._size = 0
        if len(self._buffer) > INITIAL_CAPACITY:
            # one large value must not occupy its memory for the lifetime of the connection
            self._replace(bytearray(INITIAL_CAPACITY))

    def _grow(self, need: int) -> None:
        if need > self.max_size:
            raise RingBufferFullError
        capacity = len(self._buffer)
        capacity = max(need, capacity + capacity // 4)
        capacity += -capacity % CAPACITY_STEP
        self._linearize(min(capacity, self.max_size))

    def _linearize(self, capacity: int) -> None:
        """Moves the bytes to the start of a new buffer of that capacity."""
        buffer, first = bytearray(capacity), self.peek()
        buffer[: len(first)] = first
        buffer[len(first) : self._size] = self._buffer[: self._size - len(first)]
        first.release()
        self._replace(buffer)
        self._head = 0

    def _replace(self, buffer: bytearray) -> None:
        if self._on_resize and len(buffer) != len(self._buffer):
            self._on_resize(len(buffer) - len(self._buffer))
        self._buffer = buffer
