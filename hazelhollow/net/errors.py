"""The exceptions of the network code, grouped by the party that caused them.

| class | caused by | raised by | consequence |
| --- | --- | --- | --- |
| `ProtocolError` | the other side | all parsers | the connection is closed |
| `ClientError` | a client | see its subclasses | the client is answered with an error line |
| `EndpointError` | an endpoint | `attempts.read_answer` | the connection is closed |
| `DiscoveryError` | discovery | `endpoint_list` | the complete list is requested |
| `RingBufferFullError` | this process | `ring_buffer.RingBuffer` | parsers raise `ProtocolError` |

A parser does not know which party sent the bytes that it reads, so `ProtocolError` is independent
of the party; the owner of the connection knows it. The ways in which a connection ends are not
exceptions: see `close_reason`.
"""

from __future__ import annotations


class ProtocolError(Exception):
    """The other side violated the protocol or exceeded one of its size limits."""


class ClientError(Exception):
    """A client sent something that cannot be executed; the text is sent as its answer."""


class BadCommandError(ClientError):
    """A command is not allowed by the protocol or the settings."""


class OperatorCallError(ClientError):
    """A call at the operator address does not exist or has invalid arguments."""


class EndpointError(Exception):
    """An endpoint sent a well-formed RESP value that is not a valid answer."""


class DiscoveryError(Exception):
    """Discovery's answer cannot be used."""


class EndpointListError(DiscoveryError):
    """An endpoint list, or a change to one, is malformed; the text says where."""


class RingBufferFullError(Exception):
    """A write to a ring buffer exceeded its maximum size."""
