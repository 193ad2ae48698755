"""One bandwidth budget for all control traffic of a limiter.

`budget` has the token buckets and the part of one role, `send_queue` holds messages that wait for
their role's part, and `limiter_budget` provides the limiter's subsystems with their parts. The
operators' page is `docs/operators/control-budget.md`.
"""
