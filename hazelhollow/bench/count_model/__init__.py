"""A model checker for replicated counts: every order of events up to stated bounds.

Breadth first over sequences of steps that drive the product's own functions
(`ReplicatedAccounts`, `PeriodCharges`, `replication.count_table.CountTable`). Each sequence is
played anew from the start, so that nothing of the product has to be copied.

| step | what happens |
| --- | --- |
| `charge MEMBER` | a customer's request is charged there |
| `turn` | the period ends for all |
| `turn MEMBER` | the period ends for all but this member, whose clock is late |
| `gossip A B`, `counts A B` | A sends B its charges by period, or its rows of counts |
| `ask NEW SOURCE` | a member that catches up asks another for its account |
| `deliver PLACE` | the datagram at this place of those under way arrives |
| `again PLACE` | it arrives and stays under way: a duplicate |
| `crash MEMBER` | the member starts anew without what it knew |

Invariants: in no state does a complete member hold more as used than was charged; and once all
members have exchanged all counts, each holds what was charged, once (`cluster.Cluster.check` and
`check_after_exchange`).
"""
