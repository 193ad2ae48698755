"""Replicated state of the limiters: customers' charges and operators' overrides of endpoints.

Counts of charges (`count_table`) and overrides (`overrides`) are merged by rules that give the same
result in any order. `anti_entropy` finds and repairs differences between members, `catch_up` and
`catch_up_server` bring a new member up to date, and `replica` combines these without I/O.
`account_adapter` is the only module that depends on the decision engine's accounts. `driver` sends
and receives the datagrams and sets the timers; `snapshot`, `snapshot_file` and `snapshot_saver`
keep snapshots on disk.
"""
