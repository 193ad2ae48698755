"""TLS as a layer that is fed bytes.

`ssl.MemoryBIO` either way, no socket (RFC 8446; the `ssl` module's documentation).

Not imported where no operator file asks for it.
"""

from __future__ import annotations

import ssl

CHUNK = 64 * 1024


def client_context(ca_file: str, cert_file: str = "", key_file: str = "") -> ssl.SSLContext:
    """Reads the files anew each time. Raises `OSError` or `ssl.SSLError`, with the reason."""
    made = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=ca_file)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    if cert_file:
        made.load_cert_chain(cert_file, key_file or None)
    return made


def server_context(cert_file: str, key_file: str = "") -> ssl.SSLContext:
    """Raises `OSError` or `ssl.SSLError`, with the reason."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    made.load_cert_chain(cert_file, key_file or None)
    return made


class Layer:
    """Between plain bytes and the socket's. A server's side names no server."""

    def __init__(self, made: ssl.SSLContext, server_name: str = "") -> None:
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        side = made.protocol == ssl.PROTOCOL_TLS_SERVER
        self._tls = made.wrap_bio(
            self._in, self._out, server_side=side, server_hostname=server_name or None
        )
        self._shaken = False
        self._held = bytearray()  # plain bytes that wait for the handshake

    def begin(self) -> bytes:
        """The first bytes for the other side."""
        self._shake()
        return self._out.read()

    def write(self, plain: bytes) -> bytes:
        """What goes to the other side now; plain bytes wait until the handshake is done."""
        self._held += plain
        if self._shaken and self._held:
            self._tls.write(bytes(self._held))
            self._held.clear()
        return self._out.read()

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Bytes from the other side: the plain ones they hold, and what is to be sent in turn.

        Raises `ssl.SSLError`.
        """
        self._in.write(data)
        if not self._shaken:
            self._shake()
        plain = bytearray()
        while self._shaken:
            try:
                part = self._tls.read(CHUNK)
            except ssl.SSLWantReadError:
                break
            if not part:
                break
            plain += part
        return bytes(plain), self.write(b"")

    def _shake(self) -> None:
        try:
            self._tls.do_handshake()
            self._shaken = True
        except ssl.SSLWantReadError:
            pass
