"""The state of a limiter: customer accounts, pending requests, endpoints, class statistics."""
