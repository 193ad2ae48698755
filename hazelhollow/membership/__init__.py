"""The view of the fleet that the limiters keep themselves.

Who is there, in which incarnation, and who hears whom.
"""
