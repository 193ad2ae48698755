"""Seeded runs of the product's own modules in virtual time.

The same seed gives the same figures on any machine. Only `cpu` uses real processes and sockets.

| module | what it runs |
| --- | --- |
| `store`, `store_faults` | limiters that lease their limits from the Redis stand-in |
| `world`, `simulated_limiter`, `simulated_store`, `load` | the simulated site of those runs |
| `checker` | exact token buckets that know nothing of leases |
| `fleet`, `zones` | membership by size, and while zones and regions fail |
| `replica` | catch-up, anti-entropy and its cost |
| `count_model/` | every order of events on replicated counts, up to bounds |
| `modules`, `losses`, `gossip_budget` | decision engines: quotas, lost state, gossip budgets |
| `documents` | distribution of settings under a control budget |
| `cpu` | CPU time of a limiter on sockets |
| `commands` | `hazelhollow bench` |
"""
