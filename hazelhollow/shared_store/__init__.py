"""The shared store: enforces customers' quotas and ceilings across limiters by leases in Redis.

No request waits for the store: a limiter leases units ahead of need and spends from those leases.

- `lease_ledger` does the accounting at one limiter, with `leased_account`, `lease_pool` and
  `lease_demand`; `presence` tracks which limiters reach the store.
- `lease.lua` and `presence.lua` run in the store; `scripts` encodes their arguments and decodes
  their answers.
- `link` is the protocol of one connection and `client` spans all connections, both without I/O;
  `driver` owns the socket.
- `leased_decisions` wraps the decision engine.
"""
