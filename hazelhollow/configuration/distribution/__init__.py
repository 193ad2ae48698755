"""Distribution of settings documents between members, in datagrams.

`codec` defines the datagrams, `fetch` assembles a wanted document, `source` splits the one in force
into pieces, `exchange` decides which member to ask and what may be sent. `delta` and `history`
compute the changes between two documents, `incremental` does such work in slices. Nothing here does
I/O or reads a clock; `configuration.driver` calls `exchange`.
"""
