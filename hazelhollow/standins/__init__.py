"""Stand-ins for the outside systems that the limiter talks to, written from their public
specifications.
"""
