"""The subset of HTTP/1.1 that discovery needs: GET requests and complete responses. No I/O."""

from __future__ import annotations

from hazelhollow.net.errors import ProtocolError, RingBufferFullError
from hazelhollow.net.ring_buffer import RingBuffer

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024


def get(target: str, host: str) -> bytes:
    """Returns an encoded GET request."""
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()


class Response:
    """One complete response.

    Attributes:
        status: The status code.
        body: The body without its framing.
        keep_alive: Whether another request may be sent on the connection.
    """

    __slots__ = ("status", "body", "keep_alive")

    def __init__(self, status: int, body: bytes, keep_alive: bool) -> None:
        self.status, self.body, self.keep_alive = status, body, keep_alive


class Parser:
    """An incremental parser: accepts bytes as they arrive and returns complete responses.

    Supports bodies with a content length, chunked bodies, and bodies that end with the connection.
    """

    def __init__(self) -> None:
        self.ring = RingBuffer(MAX_HEAD_BYTES + MAX_BODY_BYTES)
        self._restart()

    def _restart(self) -> None:
        self._status = 0  # 0 until the head has been read
        self._keep_alive = True
        # Remaining bytes of the body or of the current chunk; -1: the next line is a chunk's size.
        self._bytes_left = -1
        self._chunked = self._until_close = False
        self._in_trailer = False
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Adds received bytes.

        Raises:
            ProtocolError: The buffer of unparsed bytes is full.
        """
        try:
            self.ring.write(data)
        except RingBufferFullError:
            raise ProtocolError(
                f"no room to buffer {len(data)} more bytes of an HTTP response"
            ) from None

    def next(self) -> Response | None:
        """Returns the next response, or None if it is not complete yet.

        Raises:
            ProtocolError: The response is not HTTP/1.1 or too large; the parser is then unusable.
        """
        while not self._status:
            if not self._read_head():
                return None
            if 100 <= self._status < 200:  # informational: the actual response follows
                self._restart()
        if self._until_close or not (
            self._read_chunks() if self._chunked else self._read_sized_body()
        ):
            return None
        return self._finish()

    def end(self) -> Response | None:
        """Handles the end of the connection; returns the response that ends with it, if any.

        Must not be called after a reset, because the data received before it may be incomplete.

        Raises:
            ProtocolError: The body is too large.
        """
        if not self._until_close:
            return None
        self._body += self.ring.consume(len(self.ring))
        if len(self._body) > MAX_BODY_BYTES:
            raise ProtocolError(f"HTTP body longer than {MAX_BODY_BYTES} bytes")
        return self._finish()

    def _finish(self) -> Response:
        response = Response(self._status, bytes(self._body), self._keep_alive)
        self._restart()
        return response

    def _read_line(self) -> bytes | None:
        at = self.ring.find(b"\r\n")
        if at > MAX_HEAD_BYTES or (at < 0 and len(self.ring) > MAX_HEAD_BYTES):
            raise ProtocolError(f"HTTP line longer than {MAX_HEAD_BYTES} bytes")
        return self.ring.consume(at + 2)[:-2] if at >= 0 else None

    def _read_head(self) -> bool:
        at = self.ring.find(b"\r\n\r\n")
        if at > MAX_HEAD_BYTES or (at < 0 and len(self.ring) > MAX_HEAD_BYTES):
            raise ProtocolError(f"HTTP response head longer than {MAX_HEAD_BYTES} bytes")
        if at < 0:
            return False
        first, *lines = self.ring.consume(at + 4)[:-4].split(b"\r\n")
        parts = first.split(b" ", 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not parts[1].isdigit():
            raise ProtocolError("malformed HTTP/1.1 status line")
        fields: dict[bytes, bytes] = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon:
                raise ProtocolError("HTTP header without a colon")
            fields[name.strip().lower()] = value.strip()
        connection = fields.get(b"connection", b"").lower()
        self._status = int(parts[1])
        self._keep_alive = (
            connection == b"keep-alive" if parts[0] == b"HTTP/1.0" else connection != b"close"
        )
        self._chunked = fields.get(b"transfer-encoding", b"").lower() == b"chunked"
        bodiless = self._status < 200 or self._status in (204, 304)
        self._until_close = not (self._chunked or bodiless or b"content-length" in fields)
        self._keep_alive = self._keep_alive and not self._until_close
        length = fields.get(b"content-length", b"0")
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            raise ProtocolError(f"Content-Length is not a number up to {MAX_BODY_BYTES}")
        self._bytes_left = -1 if self._chunked else int(length)
        return True

    def _read_sized_body(self) -> bool:
        if len(self.ring) < self._bytes_left:
            return False
        self._body += self.ring.consume(self._bytes_left)
        return True

    def _read_chunks(self) -> bool:
        while True:
            if self._bytes_left >= 0:
                if len(self.ring) < self._bytes_left + 2:
                    return False
                self._body += self.ring.consume(self._bytes_left + 2)[:-2]
                if len(self._body) > MAX_BODY_BYTES:
                    raise ProtocolError(f"HTTP body longer than {MAX_BODY_BYTES} bytes")
                self._bytes_left = -1
                continue
            line = self._read_line()
            if line is None:
                return False
            if self._in_trailer:
                if not line:
                    return True
                continue
            try:
                size = int(line.split(b";")[0], 16)
            except ValueError:
                raise ProtocolError("malformed HTTP chunk size") from None
            if not 0 <= size <= MAX_BODY_BYTES:
                raise ProtocolError(f"HTTP chunk size is not between 0 and {MAX_BODY_BYTES} bytes")
            self._bytes_left, self._in_trailer = (size, False) if size else (-1, True)
