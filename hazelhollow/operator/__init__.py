"""The operator file: settings beyond the platform's, written in a subset of CUE."""
