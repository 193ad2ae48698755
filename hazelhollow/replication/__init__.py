"""State that limiters keep alike: charges of customers, and operators' overrides of endpoints.

Counts of charges (`count_table`) and overrides (`overrides`) are merged by rules that give the same
result in any order. `anti_entropy` finds and repairs differences between members, `catch_up` and
`catch_up_server` bring a new member up to date, and `replica` puts these together without I/O.
`account_adapter` is the one place that knows the decision engine. `driver` has the datagrams and
timers, `snapshot`, `snapshot_file` and `snapshot_saver` what is kept on disk.
"""
