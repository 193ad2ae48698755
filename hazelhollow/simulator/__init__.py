"""The simulator's wire format and the adapter that hosts decision engines for it."""
