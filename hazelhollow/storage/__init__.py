"""Files that a running limiter writes without waiting for the disk.

This list gives the files on disk, what writes them, and what happens if they are damaged. All paths
except that of the bans come from the operator file (`operator/settings.py`); if a path is empty,
that file is not written.

- `fleet.replicate.state_dir`/`replica-N`, a snapshot of accounts and overrides. Written by
  `replication.snapshot_saver`, completely and by rename. One that is damaged, of another format or
  member, or older than an hour is renamed to `replica-N.bad` and logged; the limiter starts
  without it.
- `fleet.audit.state_dir`/`audit-N-INCARNATION-NUMBER.seg`, the audit record, at most 16 segments of
  1 MiB. Appended to by `configuration`. Limiters never read it; the tools that read it use the
  entries before the damage and report the rest.
- `$TMPDIR/hazelhollow-NAME-bans.json`, endpoints that an operator disabled. Written by `net`,
  completely and by rename, under the lock of the empty file `...-bans.json.lock` beside it. One
  that is damaged or was written by another program is logged and ignored until it is written again.
- `$TMPDIR/hazelhollow-NAME-executions-N`, which requests that must not run twice were forwarded.
  Appended to by `net.execution_log`, read by the other process of an upgrade, at most 2 MiB each;
  three remain. A torn line is skipped; while it cannot be written, entries wait in memory.
- `view_file` of the operator file, lines about the membership. Appended to by `membership`.
  Limiters never read it; programs that read it skip a torn line. Its size is not bounded.

What cannot be written waits in memory (bounded) and is written once the disk works again.

The first, second and last are written by `writer.BackgroundWriter`, which bounds the pending
bytes: a disk that is full or slow affects these files only. The bans and the
executions are written and read by the event loop: a slow `$TMPDIR` delays answers.
"""
