"""The fault-injection harness.

It runs a complete fleet of real processes on loopback, injects faults into processes and links, and
checks the recorded results.
"""
