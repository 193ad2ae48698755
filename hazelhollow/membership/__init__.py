"""The view of the fleet that the limiters keep themselves.

Who is there, in which life, and who hears whom.
"""
