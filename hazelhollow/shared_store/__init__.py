"""The shared store.

Customers' limits kept in a Redis by leases, so that no request waits for it.
"""
