"""The audit: each limiter's record of the settings it acted on, and the evaluation of many records.

`entries` defines the stored form, `record` and `segments` write it, `activity` decides what to
record. `reader` reads records, `merge` combines them on one clock (`timeline`, `clocks`,
`findings`), `report_page` and `commands` show the result.
"""
