"""TLS without a socket: a layer on `ssl.MemoryBIO` objects, one for each direction.

It is used for the shared store if the operator file configures TLS, and not imported otherwise.
"""

from __future__ import annotations

import ssl

READ_CHUNK_BYTES = 64 * 1024


def client_context(ca_file: str, cert_file: str = "", key_file: str = "") -> ssl.SSLContext:
    """Creates the context of a client that verifies the server's certificate.

    The files are read at each call.

    Args:
        ca_file: The certificates of the trusted authorities.
        cert_file: The client's own certificate, if it has one.
        key_file: The key of that certificate, if it is not in `cert_file`.

    Raises:
        OSError: A file cannot be read.
        ssl.SSLError: A file is not a valid certificate or key.
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=ca_file)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if cert_file:
        context.load_cert_chain(cert_file, key_file or None)
    return context


def server_context(cert_file: str, key_file: str = "") -> ssl.SSLContext:
    """Creates the context of a server with that certificate.

    Raises:
        OSError: A file cannot be read.
        ssl.SSLError: A file is not a valid certificate or key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(cert_file, key_file or None)
    return context


class Layer:
    """Converts between plaintext and the bytes on the socket; servers omit `server_name`."""

    def __init__(self, context: ssl.SSLContext, server_name: str = "") -> None:
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        is_server = context.protocol == ssl.PROTOCOL_TLS_SERVER
        self._tls = context.wrap_bio(
            self._in, self._out, server_side=is_server, server_hostname=server_name or None
        )
        self._handshake_done = False
        self._pending_plaintext = bytearray()  # to be sent after the handshake

    def begin(self) -> bytes:
        """Starts the handshake; returns the first bytes for the other side."""
        self._continue_handshake()
        return self._out.read()

    def write(self, plaintext: bytes) -> bytes:
        """Returns the bytes to send now; plaintext waits until the handshake is complete."""
        self._pending_plaintext += plaintext
        if self._handshake_done and self._pending_plaintext:
            self._tls.write(bytes(self._pending_plaintext))
            self._pending_plaintext.clear()
        return self._out.read()

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Processes received bytes; returns the plaintext in them, and bytes to send.

        Raises:
            ssl.SSLError: The handshake failed, or the input is not valid TLS.
        """
        self._in.write(data)
        if not self._handshake_done:
            self._continue_handshake()
        plaintext = bytearray()
        while self._handshake_done:
            try:
                part = self._tls.read(READ_CHUNK_BYTES)
            except ssl.SSLWantReadError:
                break
            if not part:
                break
            plaintext += part
        return bytes(plaintext), self.write(b"")

    def _continue_handshake(self) -> None:
        try:
            self._tls.do_handshake()
            self._handshake_done = True
        except ssl.SSLWantReadError:
            pass
