"""The rules of the limiter, without I/O: events in, actions out."""
