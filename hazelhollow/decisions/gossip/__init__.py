"""How limiters tell each other what they charged, and what they saw of endpoints."""
