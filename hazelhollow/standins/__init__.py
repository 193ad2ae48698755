"""Stand-ins for the external systems of a limiter, written from public specifications."""
