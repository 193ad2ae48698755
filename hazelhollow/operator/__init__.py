"""The operator file: our own settings as typed records, written in a subset of CUE."""
