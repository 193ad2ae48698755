"""Names of membership's counters, as operators read them (`docs/operators/fleet-view.md`)."""

from __future__ import annotations

SUSPECTED = "suspected"  # members suspected after failed probes by this member
REFUTED = "refuted"  # reports of this member's own suspicion or death that it refuted
STALLED = "stood_still"  # stalls of this process
INCARNATION_RAISED = "life_raised"  # incarnations raised above an earlier run of its own
GARBLED = "garbled"  # dropped: malformed, another dialect, or this process is superseded
FORGED = "forged"  # dropped: the sender's id does not match its address, or is this member's
REPLAYED = "replayed"  # dropped: received before, or too far behind the newest
EARLIER_INCARNATION = "earlier_life"  # dropped: from an earlier run of its sender
UNAUTHENTICATED = "unsealed"  # dropped: no valid keyed hash
HELD_BACK = "held back"  # not sent: the allowance was exhausted

# Counters of dropped datagrams, which the log reports.
DROPPED = (GARBLED, FORGED, REPLAYED, UNAUTHENTICATED, EARLIER_INCARNATION)
