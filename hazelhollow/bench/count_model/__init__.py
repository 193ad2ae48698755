"""A model checker for replicated counts: explores every order of events within given bounds.

It searches breadth first over sequences of steps that drive the product's own functions
(`ReplicatedAccounts`, `PeriodCharges`, `replication.count_table.CountTable`). Each sequence is
replayed from the initial state, so that no product object has to support copying.

| step | what happens |
| --- | --- |
| `charge MEMBER` | the member charges a customer's request |
| `turn` | the period ends at all members |
| `turn MEMBER` | the period ends at all members but this one, whose clock lags |
| `gossip A B`, `counts A B` | A sends B its charges by period, or its rows of counts |
| `ask NEW SOURCE` | a member that is catching up requests another member's account |
| `deliver POSITION` | the datagram at this position of those in flight arrives |
| `again POSITION` | the datagram arrives and also stays in flight: a duplicate |
| `crash MEMBER` | the member restarts and loses its state |

Invariants: in no state does a complete member account for more used units than were charged; and
once all members have exchanged all counts, each member accounts for every charge exactly once
(`cluster.Cluster.check` and `check_after_exchange`).
"""
