"""Files that a running limiter writes without waiting for the disk.

What is on disk, who writes it, and what happens if it is damaged. Paths but that of the
bans come from the operator file (`operator/settings.py`); where one is empty there is no such
file.

- `fleet.replicate.state_dir`/`replica-N`, a snapshot of accounts and overrides. Written by
  `replication.snapshot_saver`, completely and by rename. One that is damaged, of another format or
  member, or older than an hour is renamed to `replica-N.bad` and logged; the limiter starts
  without it.
- `fleet.audit.state_dir`/`audit-N-INCARNATION-NUMBER.seg`, the audit record, 16 segments of 1 MiB
  at most. Appended to by `configuration`. Limiters never read it; the tools that do take the
  entries before the damage and report the rest.
- `$TMPDIR/hazelhollow-NAME-bans.json`, endpoints that an operator disabled. Written by `net`,
  completely and by rename. One that is damaged or foreign is logged and ignored, until it is
  written again.
- `view_file` of the operator file, lines about the membership. Appended to by `membership`.
  Limiters never read it; a torn line is skipped by those who do. Nothing bounds its size.

The first, second and fourth go through `writer.BackgroundWriter`, which bounds what waits: a disk
that is full or slow costs these files alone. The bans are written by the event loop at an
operator's call, and read by it every quarter second: a slow `$TMPDIR` delays answers.
"""
