"""The audit: each limiter's record of what it acted on, and what many records say together.

`entries` has the stored form, `record` and `segments` write it, `activity` decides what to write
down. `reader` reads records back, `merge` puts them in one order (`timeline`, `clocks`,
`findings`), `report_page` and `commands` show the result.
"""
