"""A stand-in for Redis that speaks RESP2 and can simulate the failures of a store."""
