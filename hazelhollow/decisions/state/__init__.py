"""What a limiter remembers: customer accounts, pending requests, endpoints, class statistics."""
