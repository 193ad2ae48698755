"""The decision logic of a rate limiter, without I/O: events in, actions out.

Drivers use `engine.DecisionEngine` with `settings`, `events` and `actions` (re-exported together by
`interface`). `admission` checks each request with `quota` and `load_shedding`; `endpoint_selection`
picks its endpoint, subject to `slow_start`, `outlier_detection` and `subsetting`; `attempts` tracks
its attempts to the end under the rules of `retry`. `rejections` defines every rejection reason and
its Retry-After. The modules share a `context`; their state is in `state`, and the messages between
limiters are in `gossip`.
"""
