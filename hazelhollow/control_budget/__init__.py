"""One bandwidth budget for all the control traffic of a limiter.

`budget` is the token bucket and a role's part of it, `send_queue` holds messages that wait for
their role's part, `limiter_budget` is how a limiter's subsystems are given it. The operators' page
is `docs/operators/control-budget.md`.
"""
