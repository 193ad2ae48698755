"""Stand-ins for the systems outside the limiter, written from public specifications."""
