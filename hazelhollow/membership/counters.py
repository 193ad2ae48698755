"""Names of membership's counters, as operators read them (`docs/operators/fleet-view.md`)."""

from __future__ import annotations

SUSPECTED = "suspected"  # failed probes of this member
REFUTED = "refuted"  # reports of this member's own death or suspicion that it contradicted
STALLED = "stood_still"  # times that this process stood still
OUTBID = "life_raised"  # times that it took a later incarnation than an earlier run of its own
GARBLED = "garbled"  # dropped: not readable, of another dialect, or this process is superseded
FORGED = "forged"  # dropped: the sender's id is not that of its address, or is this member's
REPLAYED = "replayed"  # dropped: received before
EARLIER_INCARNATION = "earlier_life"  # dropped: of a run that is over
UNAUTHENTICATED = "unsealed"  # dropped: without a right keyed hash
HELD_BACK = "held back"  # not sent: the allowance had no room

# What was dropped, which the log reports.
DROPPED = (GARBLED, FORGED, REPLAYED, UNAUTHENTICATED, EARLIER_INCARNATION)
