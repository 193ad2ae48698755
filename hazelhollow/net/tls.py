"""TLS as a layer that is fed bytes: `ssl.MemoryBIO` in both directions, no socket.

Used for the shared store, if an operator file asks for it; not imported otherwise.
"""

from __future__ import annotations

import ssl

READ_CHUNK_BYTES = 64 * 1024


def client_context(ca_file: str, cert_file: str = "", key_file: str = "") -> ssl.SSLContext:
    """The context of a client that checks the server's certificate. Reads the files each time.

    Args:
        ca_file: Certificates of the authorities that are trusted.
        cert_file: The client's own certificate, if it has one.
        key_file: Its key, if that is not in `cert_file`.

    Raises:
        OSError: A file cannot be read.
        ssl.SSLError: A file is no certificate or key.
    """
    made = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=ca_file)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    if cert_file:
        made.load_cert_chain(cert_file, key_file or None)
    return made


def server_context(cert_file: str, key_file: str = "") -> ssl.SSLContext:
    """The context of a server with that certificate.

    Raises:
        OSError: A file cannot be read.
        ssl.SSLError: A file is no certificate or key.
    """
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    made.load_cert_chain(cert_file, key_file or None)
    return made


class Layer:
    """Stands between plain bytes and the bytes on a socket; for a server without `server_name`."""

    def __init__(self, made: ssl.SSLContext, server_name: str = "") -> None:
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        side = made.protocol == ssl.PROTOCOL_TLS_SERVER
        self._tls = made.wrap_bio(
            self._in, self._out, server_side=side, server_hostname=server_name or None
        )
        self._handshake_done = False
        self._waiting = bytearray()  # plain bytes that wait for the handshake

    def begin(self) -> bytes:
        """The first bytes for the other side."""
        self._continue_handshake()
        return self._out.read()

    def write(self, plain: bytes) -> bytes:
        """What goes to the other side now; plain bytes wait until the handshake is done."""
        self._waiting += plain
        if self._handshake_done and self._waiting:
            self._tls.write(bytes(self._waiting))
            self._waiting.clear()
        return self._out.read()

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Takes bytes from the other side; gives the plain ones in them, and bytes to be sent.

        Raises:
            ssl.SSLError: The handshake failed, or what came is not TLS.
        """
        self._in.write(data)
        if not self._handshake_done:
            self._continue_handshake()
        plain = bytearray()
        while self._handshake_done:
            try:
                part = self._tls.read(READ_CHUNK_BYTES)
            except ssl.SSLWantReadError:
                break
            if not part:
                break
            plain += part
        return bytes(plain), self.write(b"")

    def _continue_handshake(self) -> None:
        try:
            self._tls.do_handshake()
            self._handshake_done = True
        except ssl.SSLWantReadError:
            pass
