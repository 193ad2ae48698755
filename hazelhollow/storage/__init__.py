"""Files that a running limiter writes without waiting for the disk.

What is on disk, who writes it, and what happens if it is damaged:

- `STATE_DIR/replica-N`, a snapshot of accounts and overrides. Written by
  `replication.snapshot_saver`, whole and by rename. One that is damaged, foreign or too old is
  renamed to `replica-N.bad` and logged; the limiter starts without it.
- `STATE_DIR/audit-N-INCARNATION-NUMBER.seg`, the audit record. Appended to by `configuration`.
  Limiters never read it; the tools that do take the entries before the damage and report the rest.
- `$TMPDIR/hazelhollow-NAME-bans.json`, endpoints that an operator disabled. Written by `net`, whole
  and by rename. One that is damaged or foreign is logged and ignored, until it is written again.
- `view_file` of the operator file, lines about the membership. Appended to by `membership`.
  Limiters never read it; a torn line is skipped by those who do.

A disk that is full or slow costs these files alone, never an answer: all but the bans, which an
operator's instruction writes, go through `writer.BackgroundWriter`, which bounds what waits.
"""
