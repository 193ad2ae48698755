"""A stand-in for Redis that speaks RESP2 and can be made to fail in the ways in which a store does."""
