"""The limiter on sockets: the network side of the real process.

It decides nothing: `engine_driver` hands what happens to the decision engine and performs what the
engine says. Where to begin:

- `lifecycle`: start, signals, end; `service`: how the parts are put together.
- a request's way: `frontend`, `session`, `command_reader`, `requests`, `engine_driver`,
  `connection_pool`, and back by `answer_slot`.
- `open_request`, `pooled_connection`, `session`, `discovery_watch`, `graceful_shutdown`: the
  states.
- `scheduler`, `stream`, `ring_buffer`, `resp`, `http1`, `tls`: the event loop, sockets and
  protocols.
"""
