"""The subset of HTTP/1.1 that discovery needs: GET requests and complete responses. No I/O."""

from __future__ import annotations

import re

from hazelhollow.net.errors import ProtocolError, RingBufferFullError
from hazelhollow.net.ring_buffer import RingBuffer

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
# Grammar of RFC 9112, without obsolete line folding.
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-9][0-9]{2})( [\t -~\x80-\xff]*)?")
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t -~\x80-\xff]*?)[ \t]*")
_FRAMING_FIELDS = (b"content-length", b"transfer-encoding")
_LENGTH = re.compile(rb"[0-9]{1,19}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[\t -~\x80-\xff]*)?")


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
        status = _STATUS_LINE.fullmatch(first)
        if not status:
            raise ProtocolError("malformed HTTP/1.1 status line")
        fields = _read_fields(lines)
        connection = fields.get(b"connection", b"").lower()
        self._status = int(status[2])
        self._keep_alive = (
            connection == b"keep-alive" if status[1] == b"0" else connection != b"close"
        )
        coding = fields.get(b"transfer-encoding", b"").lower()
        self._chunked = coding == b"chunked"
        if coding and (not self._chunked or b"content-length" in fields):
            raise ProtocolError("a transfer coding other than chunked, or beside a length")
        bodiless = self._status < 200 or self._status in (204, 304)
        self._until_close = not (self._chunked or bodiless or b"content-length" in fields)
        self._keep_alive = self._keep_alive and not self._until_close
        length = fields.get(b"content-length", b"0")
        if not _LENGTH.fullmatch(length) or int(length) > MAX_BODY_BYTES:
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
                chunk = self.ring.consume(self._bytes_left + 2)
                if chunk[-2:] != b"\r\n":
                    raise ProtocolError("HTTP chunk not terminated by CRLF")
                self._body += chunk[:-2]
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
            size = _read_chunk_size(line)
            self._bytes_left, self._in_trailer = (size, False) if size else (-1, True)


def _read_chunk_size(line: bytes) -> int:
    match = _CHUNK_SIZE.fullmatch(line)
    if not match:
        raise ProtocolError("malformed HTTP chunk size")
    size = int(match[1], 16)
    if size > MAX_BODY_BYTES:
        raise ProtocolError(f"HTTP chunk larger than {MAX_BODY_BYTES} bytes")
    return size


def _read_fields(lines: list[bytes]) -> dict[bytes, bytes]:
    """Returns the header fields by lower-case name.

    Raises:
        ProtocolError: A line is malformed, or the framing is given twice with different values.
    """
    fields: dict[bytes, bytes] = {}
    for line in lines:
        match = _FIELD_LINE.fullmatch(line)
        if not match:
            raise ProtocolError("malformed HTTP header field")
        name, value = match[1].lower(), match[2]
        if name in _FRAMING_FIELDS and fields.get(name, value) != value:
            raise ProtocolError(f"HTTP header field {name.decode()} twice with different values")
        fields[name] = value
    return fields
