"""The network side of the limiter process.

This package makes no rate-limiting decisions: `engine_driver` passes events to the decision engine
and performs the actions that the engine returns. Where to start reading:

- `lifecycle`: start, signals and exit; `service`: how the parts are assembled.
- The path of a request: `frontend`, `session`, `command_reader`, `requests`, `engine_driver`,
  `connection_pool`, and back through `answer_slot`.
- State machines: `open_request`, `pooled_connection`, `session`, `discovery_watch`,
  `graceful_shutdown`.
- The event loop, sockets and protocols: `scheduler`, `stream`, `ring_buffer`, `resp`, `http1`,
  `tls`.
"""
