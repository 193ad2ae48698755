"""The operator file: settings beyond the platform's configuration, in a subset of CUE."""
