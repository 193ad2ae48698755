"""Who acted on which version.

What members tell each other of it, what is done about one that is behind, and the record.
"""
