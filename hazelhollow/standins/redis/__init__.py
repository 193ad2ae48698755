"""A stand-in for Redis that speaks RESP2 and can be made to fail as a store does."""
