"""The simulator's wire and the adapter that hosts decision engines on it."""
