"""The little of HTTP/1.1 that discovery needs: a request out, complete responses in. No socket."""

from __future__ import annotations

from hazelhollow.net.errors import ProtocolError, RingBufferFullError
from hazelhollow.net.ring_buffer import RingBuffer

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024


def get(target: str, host: str) -> bytes:
    """A GET request, encoded."""
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()


class Response:
    """One complete response.

    Attributes:
        status: Of its first line.
        body: Without its framing.
        keep_alive: Whether another request may be sent on the connection.
    """

    __slots__ = ("status", "body", "keep_alive")

    def __init__(self, status: int, body: bytes, keep_alive: bool) -> None:
        self.status, self.body, self.keep_alive = status, body, keep_alive


class Parser:
    """Fed bytes as they come; returns complete responses.

    Reads bodies with a length, in chunks, or up to the end of the connection.
    """

    def __init__(self) -> None:
        self.ring = RingBuffer(MAX_HEAD_BYTES + MAX_BODY_BYTES)
        self._restart()

    def _restart(self) -> None:
        self._status = 0  # 0 while the head has not come
        self._keep_alive = True
        # Bytes of the body, or of this chunk, still to come; -1: a chunk's size comes next.
        self._left = -1
        self._chunked = self._until_close = False
        self._in_trailer = False
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Takes bytes.

        Raises:
            ProtocolError: Too much waits to be parsed.
        """
        try:
            self.ring.write(data)
        except RingBufferFullError:
            raise ProtocolError("too much at once") from None

    def next(self) -> Response | None:
        """The next response, if it is complete.

        Raises:
            ProtocolError: It is not HTTP/1.1, or too large; the parser is of no use then.
        """
        while not self._status:
            if not self._read_head():
                return None
            if 100 <= self._status < 200:  # informational: the response is still to come
                self._restart()
        if self._until_close or not (
            self._read_chunks() if self._chunked else self._read_sized_body()
        ):
            return None
        return self._finish()

    def end(self) -> Response | None:
        """The other side has closed the connection: the response that ends with it, if any.

        Not to be called after a reset: what came before that may be incomplete.

        Raises:
            ProtocolError: The body is too large.
        """
        if not self._until_close:
            return None
        self._body += self.ring.consume(len(self.ring))
        if len(self._body) > MAX_BODY_BYTES:
            raise ProtocolError("too large a body")
        return self._finish()

    def _finish(self) -> Response:
        response = Response(self._status, bytes(self._body), self._keep_alive)
        self._restart()
        return response

    def _take_line(self) -> bytes | None:
        at = self.ring.find(b"\r\n")
        if at > MAX_HEAD_BYTES or (at < 0 and len(self.ring) > MAX_HEAD_BYTES):
            raise ProtocolError("too long a line")
        return self.ring.consume(at + 2)[:-2] if at >= 0 else None

    def _read_head(self) -> bool:
        at = self.ring.find(b"\r\n\r\n")
        if at > MAX_HEAD_BYTES or (at < 0 and len(self.ring) > MAX_HEAD_BYTES):
            raise ProtocolError("too long a head")
        if at < 0:
            return False
        first, *lines = self.ring.consume(at + 4)[:-4].split(b"\r\n")
        parts = first.split(b" ", 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not parts[1].isdigit():
            raise ProtocolError("not an HTTP/1.1 answer")
        fields: dict[bytes, bytes] = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon:
                raise ProtocolError("a header without a colon")
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
            raise ProtocolError("a length out of range")
        self._left = -1 if self._chunked else int(length)
        return True

    def _read_sized_body(self) -> bool:
        if len(self.ring) < self._left:
            return False
        self._body += self.ring.consume(self._left)
        return True

    def _read_chunks(self) -> bool:
        while True:
            if self._left >= 0:
                if len(self.ring) < self._left + 2:
                    return False
                self._body += self.ring.consume(self._left + 2)[:-2]
                if len(self._body) > MAX_BODY_BYTES:
                    raise ProtocolError("too large a body")
                self._left = -1
                continue
            line = self._take_line()
            if line is None:
                return False
            if self._in_trailer:
                if not line:
                    return True
                continue
            try:
                size = int(line.split(b";")[0], 16)
            except ValueError:
                raise ProtocolError("not a chunk's size") from None
            if not 0 <= size <= MAX_BODY_BYTES:
                raise ProtocolError("a length out of range")
            self._left, self._in_trailer = (size, False) if size else (-1, True)
