"""Seeded runs of the product's own modules in virtual time.

The same seed gives the same figures on any machine. Only `cpu` uses real processes and sockets, and
its figures vary.

| module | what it runs |
| --- | --- |
| `store`, `store_faults` | limiters that lease their limits from the Redis stand-in |
| `world`, `simulated_limiter`, `simulated_store`, `load` | the limiter site of those runs |
| `checker` | exact token buckets, independent of the lease accounting |
| `fleet`, `zones` | membership by fleet size, and during failures of zones and regions |
| `replica` | catch-up and anti-entropy of replicated counts, and their cost |
| `count_model/` | every order of events on replicated counts, within bounds |
| `engine_fleet`, `engine_load`, `losses`, `gossip_budget` | quotas, loss of state, gossip budgets |
| `documents`, `contention` | distribution of settings documents within a control budget |
| `cpu` | CPU time per request of a limiter process |
| `commands`, `*_commands`, `output`, `plots` | the commands of `hazelhollow bench` |
| `virtual_time` | the clock and the event queue of all simulations |
"""
