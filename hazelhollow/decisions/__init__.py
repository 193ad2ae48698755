"""The decisions of a rate limiter, without I/O: events in, actions out.

`engine.DecisionEngine` is what drivers use, with `settings`, `events` and `actions` (together in
`interface`). A request's way: `admission` asks `quota` and `load_shedding`, `endpoint_selection`
finds an endpoint by `slow_start`, `outlier_detection` and `subsetting`, and `attempts` follows it
to its end by the rules of `retry`. Every rejection and its wait is in `rejections`. The parts
share a `context`; what they remember is in `state`, what limiters tell each other in `gossip`.
"""
