"""How a settings document gets from one member to another, in datagrams.

`codec` has the datagrams, `fetch` assembles a document that is wanted, `source` cuts up the one
that is in force, `exchange` decides whom to ask and what may be sent. `delta` and `history` make
the changes between two documents, `incremental` does such work in slices. Nothing here does I/O or
reads a clock; `configuration.driver` calls `exchange`.
"""
