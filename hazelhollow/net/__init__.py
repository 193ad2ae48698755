"""The real limiter's network side.

It makes no decision: `limiter` hands events to the decision module.
"""
