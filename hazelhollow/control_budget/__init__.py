"""One bandwidth budget for all the control traffic of a limiter."""
