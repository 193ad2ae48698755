"""Which settings each limiter acts on: versions, distribution, canary rollout and the audit.

Every member announces with its membership record which settings it acts on (`versions`). One that
has older ones fetches the newer (`distribution`), adopts them (`adoption`) and may take no new work
while it cannot (`admission_verdict`). Settings can be tried by a few members first (`rollout`,
`rollout_control`, `operator_calls`). What each member acted on when goes on record (`audit`).

`operator.attach` creates a `driver.ConfigurationDriver` for a limiter; it is the only part with
timers, datagrams and files.
"""
