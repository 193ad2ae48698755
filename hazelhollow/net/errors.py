"""The errors of the network code, by whose fault they are.

| class | whose fault | raised by | what follows |
| --- | --- | --- | --- |
| `ProtocolError` | the other side's | `resp.Parser`, `http1.Parser` | the connection is closed |
| `ClientError` | a client's | see its subclasses | the client is answered with an error line |
| `EndpointError` | an endpoint's | `attempts.read_answer` | the connection is closed |
| `DiscoveryError` | discovery's | `endpoint_list` | the whole list is asked for |
| `RingBufferFullError` | ours | `ring_buffer.RingBuffer` | parsers turn it into a `ProtocolError` |

A parser does not know whose bytes it reads, so `ProtocolError` stands above the division; the owner
of the connection says who sent them. Ways in which a connection ends are no errors: see
`close_reason`.
"""

from __future__ import annotations


class ProtocolError(Exception):
    """What the other side sent is not of the protocol, or larger than it allows."""


class ClientError(Exception):
    """A client sent something that cannot be acted on; the text is the answer that it gets."""


class BadCommandError(ClientError):
    """A command that the protocol or the settings do not allow."""


class OperatorCallError(ClientError):
    """A call at the operator address that does not exist or has wrong arguments."""


class EndpointError(Exception):
    """An endpoint sent a well-formed RESP value that is no answer of the platform."""


class DiscoveryError(Exception):
    """Discovery's answer cannot be used."""


class EndpointListError(DiscoveryError):
    """A list, or a change to one, that is not of discovery's form; the text says where."""


class RingBufferFullError(Exception):
    """More was written to a ring buffer than it may ever hold."""
