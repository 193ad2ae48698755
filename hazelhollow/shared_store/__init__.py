"""The shared store: customers' quotas and ceilings held together by leases in a Redis.

No request waits for the store: a limiter leases units ahead of need and spends those.
`lease_ledger` has the accounting at a limiter (`leased_account`, `lease_pool`, `lease_demand`) and
`presence` who else reaches the store; `lease.lua` and `presence.lua` are the store's part,
`scripts` their arguments and answers. `link` is one connection and `client` all of them, without
I/O; `driver` has the socket. `leased_decisions` puts this before the decision engine.
"""
