"""Agreement of all limiters on their settings: versions, distribution, canary rollout and audit.

Every member announces with its membership record which settings it acts on (`versions`). A member
with older settings fetches the newer ones (`distribution`) and adopts them (`adoption`); while it
cannot, it may have to reject new work (`admission_verdict`). Settings can be tried by a few members
first (`rollout`, `rollout_control`, `operator_calls`). Each member records which settings it acted
on and when (`audit`).

`operator.attach` creates a `driver.ConfigurationDriver` for a limiter. The driver is the only part
with timers, datagrams and files.
"""
