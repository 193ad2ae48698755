"""The harness.

A whole fleet of real processes on loopback, faults between them, and a checker of what came of it.
"""
