"""The shared store: customers' limits kept in a Redis by leases, so that no request waits for it."""
